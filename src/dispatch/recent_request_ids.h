// Names of requests that must not be taken a second time: of those that are open, and of those that ended a
// short while ago. A second request under the name of one that ended just now is a copy that crossed the
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

class RecentRequestIds {
 public:
  // Ended names are kept for `memory`, at most `most` of them.
  RecentRequestIds(runtime::Duration memory, std::size_t most) : memory_(memory), most_(most) {}

  // False where the name is taken.
  bool Take(const std::string& name, runtime::TimePoint now);
  // One that another process took: for as long as one that has ended here.
  void Know(const std::string& name, runtime::TimePoint now);
  std::vector<std::string> All() const { return {taken_.begin(), taken_.end()}; }
  // Its request has ended: the name is forgotten in a while.
  void Ended(std::string name, runtime::TimePoint now);

 private:
  void Forget(runtime::TimePoint now);

  const runtime::Duration memory_;
  const std::size_t most_;
  std::set<std::string, std::less<>> taken_;
  std::deque<std::pair<runtime::TimePoint, std::string>> ended_;
};

}  // namespace mothrack::dispatch
