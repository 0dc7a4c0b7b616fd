// How long the other side of a transfer that has begun may move nothing before it is given up: an upstream in
// the middle of a streamed response, or that stops reading a streamed request body, or a client that stops
// reading a streamed response. The rows are in docs/design/connection_limits.md, "Silence in a transfer".
//
// Such a message can't be begun anew elsewhere, so giving it up early saves nobody any time. The limit only
// has to be longer than every pause after which the other side goes on, and has to end what never goes on.
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
  // The longest pause that the deployment states for a server that goes on: "go silent (no reset, no answer)
  // [...] 9 to 27 s" (brief, incident record; hangs are shorter, 21 s at most).
  static constexpr runtime::Duration kLongestPause = std::chrono::seconds(27);
  // For what lies between the two sides: lost packets are sent again at growing intervals, and this process
  // may be held up.
  static constexpr runtime::Duration kMargin = std::chrono::seconds(3);
  static constexpr runtime::Duration kMaxSilence = kLongestPause + kMargin;

  // The transfer is not given up before `earliest`, and is given up at `latest` even if it moves.
  explicit StallDeadline(runtime::TimePoint earliest = runtime::TimePoint::min(),
                         runtime::TimePoint latest = runtime::TimePoint::max())
      : earliest_(earliest), latest_(latest) {}

  // The other side is to move the transfer on. No effect if that is awaited already.
  void Await(runtime::TimePoint now) {
    if (!silent_since_) silent_since_ = now;
  }
  // The transfer moved, and the other side is to move it further.
  void Restart(runtime::TimePoint now) { silent_since_ = now; }
  // Nothing is awaited from the other side: the sidecar itself has nothing to write, or no room to read.
  void Suspend() { silent_since_.reset(); }

  // When the transfer is given up; absent while nothing is awaited.
  std::optional<runtime::TimePoint> due() const {
    if (!silent_since_) return std::nullopt;
    return std::min(std::max(*silent_since_ + kMaxSilence, earliest_), latest_);
  }
  bool Overdue(runtime::TimePoint now) const {
    const auto at = due();
    return at && now > *at;
  }

 private:
  runtime::TimePoint earliest_;
  runtime::TimePoint latest_;
  std::optional<runtime::TimePoint> silent_since_;
};

}  // namespace mothrack::http
