// The time limit of a request: a fixed time for its head, and a minimum rate for its body.
//
// The limit is a bucket of time. It starts full with `capacity` and drains in real time; received body bytes
// refill it at the minimum rate, but never above `capacity`. So a client that sends at the minimum rate is
// never overdue, and one that goes silent is overdue after at most `capacity`, however much it sent before.
//
// A plain value without I/O or clock, not bound to a thread; the caller passes in the time, which must not
// decrease.
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <utility>

#include "runtime/clock.h"

namespace mothrack::http {

class BodyDeadline {
 public:
  // `capacity`: the longest time that the client may be silent. `bytes_per_second`: the minimum rate of a
  // body, above 0.
  BodyDeadline(runtime::Duration capacity, std::int64_t bytes_per_second)
      : capacity_(capacity), bytes_per_second_(bytes_per_second) {}

  // A request, or the wait for one, begins with the full time.
  void Begin(runtime::TimePoint now) {
    due_ = now + capacity_;
    paused_since_.reset();
  }

  // Body bytes were received.
  void OnBodyBytes(std::size_t bytes, runtime::TimePoint now) {
    const auto earned = runtime::Duration(static_cast<std::int64_t>(bytes) * runtime::Duration::period::den /
                                          bytes_per_second_);
    due_ = std::min(due_ + earned, now + capacity_);
  }

  // The sidecar itself stops reading: the time until Resume() does not count. No effect if already paused.
  void Pause(runtime::TimePoint now) {
    if (!paused_since_) paused_since_ = now;
  }
  // No effect if not paused.
  void Resume(runtime::TimePoint now) {
    if (const auto since = std::exchange(paused_since_, std::nullopt)) due_ += now - *since;
  }

  // Whether the time is used up. Never while paused.
  bool Overdue(runtime::TimePoint now) const { return !paused_since_ && now > due_; }

 private:
  runtime::Duration capacity_;
  std::int64_t bytes_per_second_;
  runtime::TimePoint due_{};
  std::optional<runtime::TimePoint> paused_since_;
};

}  // namespace mothrack::http
