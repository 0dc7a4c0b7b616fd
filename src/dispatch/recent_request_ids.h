// Duplicate detection: the ids of requests that are open or have ended recently. A second request with such
// an id is a duplicate, for example one that was sent before the answer arrived, and must not run again.
#pragma once

#include <cstddef>
#include <deque>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "runtime/clock.h"

namespace mothrack::dispatch {

// Not thread-safe; called by the event loop only. `now` must not decrease between calls.
class RecentRequestIds {
 public:
  // Ids of ended requests are kept for `retention`, at most `max_ended` of each kind; the oldest are dropped
  // first. The kinds are apart, so that many requests that may be repeated do not displace the ids of those
  // that may not.
  RecentRequestIds(runtime::Duration retention, std::size_t max_ended)
      : retention_(retention), max_ended_(max_ended) {}

  // Adds the id of a new request; false, without effect, if the id is known.
  bool Insert(const std::string& id, runtime::TimePoint now);
  // Adds the id of a request that another process accepted, as if it had ended now.
  void Import(const std::string& id, runtime::TimePoint now);
  // All known ids, sorted.
  std::vector<std::string> All() const { return {ids_.begin(), ids_.end()}; }
  // A request added by Insert() has ended. Must be called once for each. `repeatable`: running it again is
  // harmless.
  void OnRequestEnded(std::string id, runtime::TimePoint now, bool repeatable = false);

 private:
  using Ended = std::deque<std::pair<runtime::TimePoint, std::string>>;  // time of the end, oldest first

  void Expire(runtime::TimePoint now);
  void Expire(Ended& ended, runtime::TimePoint now);

  const runtime::Duration retention_;
  const std::size_t max_ended_;
  std::set<std::string, std::less<>> ids_;
  Ended ended_;
  Ended ended_repeatable_;
};

}  // namespace mothrack::dispatch
