#include "dispatch/recent_request_ids.h"

namespace mothrack::dispatch {

bool RecentRequestIds::Insert(const std::string& id, runtime::TimePoint now) {
  Expire(now);
  return ids_.insert(id).second;
}

void RecentRequestIds::Import(const std::string& id, runtime::TimePoint now) {
  if (Insert(id, now)) OnRequestEnded(id, now);
}

void RecentRequestIds::OnRequestEnded(std::string id, runtime::TimePoint now, bool repeatable) {
  (repeatable ? ended_repeatable_ : ended_).emplace_back(now, std::move(id));
}

void RecentRequestIds::Expire(runtime::TimePoint now) {
  Expire(ended_, now);
  Expire(ended_repeatable_, now);
}

void RecentRequestIds::Expire(Ended& ended, runtime::TimePoint now) {
  while (!ended.empty() && (ended.size() > max_ended_ || now - ended.front().first > retention_)) {
    ids_.erase(ended.front().second);
    ended.pop_front();
  }
}

}  // namespace mothrack::dispatch
