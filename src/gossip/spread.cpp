#include "gossip/spread.h"

#include <vector>

namespace mothrack::gossip {
namespace {

// Pieces that did not fit, after which no more are tried: a datagram is not worth a walk over all that waits.
constexpr int kMisfits = 8;

}  // namespace

void Spread::Add(const std::string& name, const std::string& key, TimePoint of) {
  Drop(name, key);
  const Id id(name, key);
  const Piece piece{0, of};
  pieces_.emplace(id, piece);
  order_.insert(OrderOf(id, piece));
}

void Spread::Drop(const std::string& name, const std::string& key) {
  const auto it = pieces_.find({name, key});
  if (it == pieces_.end()) return;
  order_.erase(OrderOf(it->first, it->second));
  pieces_.erase(it);
}

void Spread::Told(const Id& id, std::size_t most) {
  const auto it = pieces_.find(id);
  order_.erase(OrderOf(id, it->second));
  if (++it->second.told >= most) {
    pieces_.erase(it);
  } else {
    order_.insert(OrderOf(id, it->second));
  }
}

void Spread::Fill(Message& message, std::size_t room, std::size_t most, TimePoint now,
                  const Membership& membership, const Values& values) {
  std::vector<Id> told, gone;
  int misfits = 0;
  for (auto it = order_.begin(); it != order_.end() && misfits < kMisfits; ++it) {
    const Id& id = std::get<Id>(*it);
    const auto fits = [&](std::size_t size) {
      if (size > room) {
        ++misfits;
        return false;
      }
      room -= size;
      told.push_back(id);
      return true;
    };
    if (id.second.empty()) {
      const auto* member = membership.Find(id.first);
      if (member == nullptr) {
        gone.push_back(id);
      } else if (fits(MostSize(member->news))) {
        message.news.push_back(member->news);
      }
      continue;
    }
    const auto* held = values.Find(id.first, id.second);
    if (held == nullptr || held->lapsed || held->AgeAt(now) >= held->value.lasts) {
      gone.push_back(id);
    } else if (fits(MostSize(held->value))) {
      message.values.push_back(Values::Told(*held, now));
    }
  }
  for (const Id& id : told) Told(id, most);
  for (const Id& id : gone) Drop(id.first, id.second);
}

}  // namespace mothrack::gossip
