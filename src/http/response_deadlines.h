// The time limits of one response: until when it has to begin, how long it is buffered, and when it is
// streamed or given up instead.
//
// A plain value without I/O or clock, not bound to a thread; the caller passes in the time, which must not
// decrease.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>

#include "dispatch/exchange.h"
#include "http/stall_deadline.h"
#include "runtime/clock.h"

namespace mothrack::http {

class ResponseDeadlines {
 public:
  // The limits of the attempt begin to run.
  void Begin(const dispatch::AttemptTimeouts& timeouts, runtime::TimePoint now);
  runtime::TimePoint started_at() const { return started_at_; }
  // Until when the response has to begin.
  runtime::TimePoint begin_by() const { return begin_by_; }

  // The head of a 200 has arrived and its body is buffered. A response of known length is buffered for as
  // long as the client's time allows. One of unknown length may be long, so it is streamed earlier: once no
  // other attempt would be made in its place, and 1 s after its head at the latest.
  void BeginBuffering(bool length_known, runtime::TimePoint now);
  // `size` bytes of the body are buffered by now.
  void OnBuffered(std::size_t size, runtime::TimePoint now);
  void EndBuffering() { buffering_.reset(); }
  bool buffering() const { return buffering_.has_value(); }
  // From when on the response is streamed if it is long by then. Only while buffering.
  runtime::TimePoint buffer_until() const { return buffering_->until; }

  // Whether a response of which `size` bytes are buffered is streamed from now on. A short one is buffered
  // further: it may be complete in time, or it may break off, and then the request can be retried. When its
  // client's time is nearly over, it is streamed if it came at the minimum rate of a body or above. If its
  // length is known, its upstream must still be writing it as well: one that has paused for longer than an
  // answer may be late would not complete it in time. Only while buffering.
  bool ShouldStream(std::size_t size, runtime::TimePoint now) const;
  // The limits of a response that is streamed. A short one of known length has to be complete in time, or
  // truncated visibly; a long one only has to begin in time. `length`: absent if unknown.
  StallDeadline WhileStreaming(std::optional<std::uint64_t> length) const;
  // When to call ShouldStream() again; nothing if the response is given up now.
  std::optional<runtime::TimePoint> NextCheck(runtime::TimePoint now) const;

 private:
  struct Buffering {
    runtime::TimePoint head_at;
    runtime::TimePoint until;
    bool length_known = false;
    std::size_t size = 0;
    runtime::TimePoint grown_at;  // when the last bytes came, or the head
  };

  runtime::TimePoint started_at_;
  runtime::TimePoint begin_by_;
  runtime::TimePoint client_deadline_;
  // Of a response that has begun: when it is streamed although it is short, and when it is given up instead.
  runtime::TimePoint forward_at_;
  runtime::TimePoint give_up_at_;
  std::optional<Buffering> buffering_;
};

}  // namespace mothrack::http
