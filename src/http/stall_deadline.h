// The idle timeout of a transfer that has begun: how long an upstream may pause in the middle of a streamed
// response or in reading a streamed request body, and a client in reading a streamed response. The tables are
// in docs/design/connection_limits.md, "Silence in a transfer".
//
// Such a message can't be sent again from its start, so an early end saves no time. The timeout has to be
// longer than each pause after which the other side resumes, and has to end a transfer that never resumes.
//
// A plain value without I/O or clock, not bound to a thread; the caller passes in the time, which must not
// decrease.
#pragma once

#include <algorithm>
#include <chrono>
#include <optional>

#include "runtime/clock.h"

namespace mothrack::http {

class StallDeadline {
 public:
  // The longest pause of a server that the deployment's incident record states.
  static constexpr runtime::Duration kLongestPause = std::chrono::seconds(27);
  // Allows for retransmissions, whose intervals grow, and for delays of this process.
  static constexpr runtime::Duration kMargin = std::chrono::seconds(3);
  static constexpr runtime::Duration kMaxPause = kLongestPause + kMargin;

  // The transfer is not ended before `earliest`, and is ended at `latest` even if it progresses.
  explicit StallDeadline(runtime::TimePoint earliest = runtime::TimePoint::min(),
                         runtime::TimePoint latest = runtime::TimePoint::max())
      : earliest_(earliest), latest_(latest) {}

  // Progress of the other side is awaited. No effect if it is awaited already.
  void Await(runtime::TimePoint now) {
    if (!paused_since_) paused_since_ = now;
  }
  // There was progress, and more is awaited.
  void Restart(runtime::TimePoint now) { paused_since_ = now; }
  // No progress is awaited: the sidecar itself has nothing to write, or no capacity to read.
  void Suspend() { paused_since_.reset(); }

  // When the transfer is ended; absent while no progress is awaited.
  std::optional<runtime::TimePoint> due() const {
    if (!paused_since_) return std::nullopt;
    return std::min(std::max(*paused_since_ + kMaxPause, earliest_), latest_);
  }
  bool Overdue(runtime::TimePoint now) const {
    const auto at = due();
    return at && now > *at;
  }

 private:
  runtime::TimePoint earliest_;
  runtime::TimePoint latest_;
  std::optional<runtime::TimePoint> paused_since_;
};

}  // namespace mothrack::http
