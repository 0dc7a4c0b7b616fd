// Ids of requests that must not be accepted a second time: of those that are open, and of those that ended a
// short while ago. A second request under the id of one that ended just now is a copy that crossed the
// answer: it must not run again.
#pragma once

#include <cstddef>
#include <deque>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "runtime/clock.h"

namespace mothrack::dispatch {

// Not thread-safe; called by the event loop only. `now` must not go back between calls.
class RecentRequestIds {
 public:
  // Ids of ended requests are kept for `retention`, at most `max_ended` of them; the oldest go first.
  RecentRequestIds(runtime::Duration retention, std::size_t max_ended)
      : retention_(retention), max_ended_(max_ended) {}

  // Adds the id of a request that is accepted now; false, and nothing changes, where the id is known.
  bool Insert(const std::string& id, runtime::TimePoint now);
  // Adds the id of a request that another process accepted: it is kept as if it had ended here now.
  void Import(const std::string& id, runtime::TimePoint now);
  // Every id that is known, sorted.
  std::vector<std::string> All() const { return {ids_.begin(), ids_.end()}; }
  // The request of an id that Insert() added has ended; to be called once.
  void OnRequestEnded(std::string id, runtime::TimePoint now);

 private:
  void Expire(runtime::TimePoint now);

  const runtime::Duration retention_;
  const std::size_t max_ended_;
  std::set<std::string, std::less<>> ids_;
  std::deque<std::pair<runtime::TimePoint, std::string>> ended_;  // when, the oldest first
};

}  // namespace mothrack::dispatch
