#include "gossip/update_queue.h"

#include <vector>

namespace mothrack::gossip {
namespace {

// The search ends after this number of updates that do not fit, so that filling a datagram does not scan a
// long queue to its end.
constexpr int kMaxMisfits = 8;

}  // namespace

void UpdateQueue::Add(const std::string& name, const std::string& key, TimePoint changed_at) {
  Drop(name, key);
  const Id id(name, key);
  const Entry entry{0, changed_at};
  entries_.emplace(id, entry);
  by_priority_.insert(PriorityOf(id, entry));
}

void UpdateQueue::Drop(const std::string& name, const std::string& key) {
  const auto it = entries_.find({name, key});
  if (it == entries_.end()) return;
  by_priority_.erase(PriorityOf(it->first, it->second));
  entries_.erase(it);
}

void UpdateQueue::CountSend(const Id& id, std::size_t max_sends) {
  const auto it = entries_.find(id);
  by_priority_.erase(PriorityOf(id, it->second));
  if (++it->second.sends >= max_sends) {
    entries_.erase(it);
  } else {
    by_priority_.insert(PriorityOf(id, it->second));
  }
}

void UpdateQueue::Fill(Message& message, std::size_t capacity, std::size_t max_sends, TimePoint now,
                       const Membership& membership, const ValueStore& values) {
  std::vector<Id> sent, obsolete;
  int misfits = 0;
  for (auto it = by_priority_.begin(); it != by_priority_.end() && misfits < kMaxMisfits; ++it) {
    const Id& id = std::get<Id>(*it);
    const auto fits = [&](std::size_t size) {
      if (size > capacity) {
        ++misfits;
        return false;
      }
      capacity -= size;
      sent.push_back(id);
      return true;
    };
    if (id.second.empty()) {
      const auto* member = membership.Find(id.first);
      if (member == nullptr) {
        obsolete.push_back(id);
      } else if (fits(MaxEncodedSize(member->update))) {
        message.updates.push_back(member->update);
      }
      continue;
    }
    const auto* stored = values.Find(id.first, id.second);
    if (stored == nullptr || stored->expired || stored->AgeAt(now) >= stored->value.ttl) {
      obsolete.push_back(id);
    } else if (fits(MaxEncodedSize(stored->value))) {
      message.values.push_back(ValueStore::WithCurrentAge(*stored, now));
    }
  }
  for (const Id& id : sent) CountSend(id, max_sends);
  for (const Id& id : obsolete) Drop(id.first, id.second);
}

}  // namespace mothrack::gossip
