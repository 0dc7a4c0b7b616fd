#include "dispatch/recent_request_ids.h"

namespace mothrack::dispatch {

bool RecentRequestIds::Take(const std::string& name, runtime::TimePoint now) {
  Forget(now);
  return taken_.insert(name).second;
}

void RecentRequestIds::Know(const std::string& name, runtime::TimePoint now) {
  if (Take(name, now)) Ended(name, now);
}

void RecentRequestIds::Ended(std::string name, runtime::TimePoint now) {
  ended_.emplace_back(now, std::move(name));
}

void RecentRequestIds::Forget(runtime::TimePoint now) {
  while (!ended_.empty() && (ended_.size() > most_ || now - ended_.front().first > memory_)) {
    taken_.erase(ended_.front().second);
    ended_.pop_front();
  }
}

}  // namespace mothrack::dispatch
