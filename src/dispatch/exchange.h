// The interface between the dispatcher and a protocol. A *front end* accepts requests from clients and
// submits them; each gets exactly one final answer, unless its client disconnects first. A *transport*
// carries attempts and load probes to upstreams; each ends with exactly one call of its on_end. Messages are
// opaque to the dispatcher: the transport reads what the front end of the same protocol made, and the front
// end reads the transport's replies. All calls are made on the thread of the event loop.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "balancer/balancer.h"
#include "dispatch/membership.h"
#include "runtime/clock.h"

namespace mothrack::dispatch {

// A request as it is sent to upstreams; shared by its attempts, immutable.
class Message {
 public:
  virtual ~Message() = default;
};

// An upstream's answer.
class Reply {
 public:
  virtual ~Reply() = default;
};

// The final answer to a request, given to its front end once.
struct FinalAnswer {
  enum class Kind {
    kServed,    // `reply` is the upstream's answer
    kRejected,  // the request had no effect, or repeating it is harmless
    kFailed,    // the request may have taken effect
  };
  Kind kind = Kind::kFailed;
  // If served: the answer. Otherwise the last attempt's reply, if there is one to pass on to the client.
  std::unique_ptr<Reply> reply;
  bool streaming = false;           // the body of `reply` is still arriving; the client may still disconnect
  runtime::Duration retry_after{};  // for the Retry-After of a rejection; zero: none
  bool late = false;                // the answer comes after the request's deadline
  std::size_t attempts = 0;         // sent so far; some may still be in flight
  std::optional<balancer::Outcome> last;  // outcome of the attempt that ended last; absent if none has
};
using OnFinal = std::function<void(FinalAnswer)>;

// A request as a front end submits it.
struct NewRequest {
  balancer::ClassId request_class{};
  std::optional<balancer::TenantId> tenant{};
  runtime::TimePoint deadline{};
  // The body is still arriving: the time until `deadline` counts from Dispatcher::OnRequestComplete() on.
  bool arriving = false;
  std::optional<runtime::Duration> work{};  // expected service time, if the client states it
  bool client_retry = false;                // the client marked it as a retry of its own
  // Request id for duplicate detection, see RecentRequestIds; empty: none.
  std::string key{};
  std::shared_ptr<const Message> message;
  OnFinal on_final;  // must be set; may be called before Submit() returns
};

// Identifies one attempt or load probe; unique within a dispatcher.
enum class ExchangeId : std::uint64_t {};

// How an attempt or a probe ended.
struct ExchangeResult {
  balancer::Outcome outcome = balancer::Outcome::kServed;
  runtime::Duration elapsed{};
  balancer::LoadReport load{};
  // Set if served, or if the upstream's answer may be passed on to the client.
  std::unique_ptr<Reply> reply;
  // Set if a successful answer began: how long after the message was sent. `elapsed` includes its body.
  std::optional<runtime::Duration> answer_time{};
  // What went wrong, for the log: a literal; empty if nothing did, or if the outcome says it all.
  std::string_view cause{};
  // See balancer::AttemptEnded.
  bool request_incomplete = false;
};

// The time limits of an attempt, counted from now, or from the last byte of a message that is still arriving.
struct AttemptTimeouts {
  // Until its answer has begun.
  runtime::Duration until_begun{};
  // Until the request's deadline, at least `until_begun`. An answer that has begun is not ended before: by
  // then it is complete, or it is being passed on to the client, or the upstream has stopped writing it.
  runtime::Duration until_deadline{};
};

// Callbacks of an exchange: on_end is called exactly once, the others at most once before it.
struct ExchangeHooks {
  std::function<void()> on_written;  // the last byte of its message was written
  // An answer began `answer_time` after the message was sent, and its body is still arriving; on_end says
  // whether it was completed.
  std::function<void(std::unique_ptr<Reply>, runtime::Duration answer_time)> on_started;
  std::function<void(ExchangeResult)> on_end;
};

// Carries attempts and probes to upstreams. Outlives the dispatcher that uses it.
class Transport {
 public:
  using OnEnd = std::function<void(ExchangeResult)>;
  virtual ~Transport() = default;

  // Sets the current location of an upstream. If the upstream drains, moved, restarted or was removed,
  // attempts that are not yet being written are not sent and end as kNotSent.
  virtual void Apply(const std::string& uid, const Location& location) = 0;
  // Calls on_end exactly once, also if nothing could be sent, possibly before returning. The transport does
  // not retry.
  virtual void Send(ExchangeId id, const std::string& uid, std::shared_ptr<const Message> message,
                    const AttemptTimeouts& timeouts, ExchangeHooks hooks) = 0;
  // Sends a load probe: a request that the transport itself makes for the upstream's load report.
  virtual void Probe(ExchangeId id, const std::string& uid, OnEnd on_end) = 0;
  // Stops waiting for the answer; on_end is still called. Unknown ids are ignored.
  virtual void Cancel(ExchangeId id) = 0;
  // The request has its final answer, or its client disconnected. A message that is not completely written is
  // not written any further, and the exchange ends as kNotSent or kCancelled; one that is written continues.
  // A connection attempt may be completed first, as its result says something about the upstream. Unknown ids
  // are ignored.
  virtual void Abandon(ExchangeId id) = 0;
  // Closes idle connections to the upstream.
  virtual void CloseIdle(const std::string& uid) = 0;
};

}  // namespace mothrack::dispatch
