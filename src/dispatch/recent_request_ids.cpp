#include "dispatch/recent_request_ids.h"

namespace mothrack::dispatch {

bool RecentRequestIds::Insert(const std::string& id, runtime::TimePoint now) {
  Expire(now);
  return ids_.insert(id).second;
}

void RecentRequestIds::Import(const std::string& id, runtime::TimePoint now) {
  if (Insert(id, now)) OnRequestEnded(id, now);
}

void RecentRequestIds::OnRequestEnded(std::string id, runtime::TimePoint now) {
  ended_.emplace_back(now, std::move(id));
}

void RecentRequestIds::Expire(runtime::TimePoint now) {
  while (!ended_.empty() && (ended_.size() > max_ended_ || now - ended_.front().first > retention_)) {
    ids_.erase(ended_.front().second);
    ended_.pop_front();
  }
}

}  // namespace mothrack::dispatch
