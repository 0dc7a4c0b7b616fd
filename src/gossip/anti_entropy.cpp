#include "gossip/anti_entropy.h"

#include <algorithm>
#include <iterator>

namespace mothrack::gossip {

void AntiEntropy::Ask(Message& digest, std::size_t room, TimePoint now, const Membership& membership,
                      const Values& values) {
  digest.range_from = asked_ = cursor_;
  auto it = membership.all().lower_bound(cursor_);
  for (; it != membership.all().end(); ++it) {
    const MemberNews& news = it->second.news;
    if (!membership.Telling(it->second, now)) continue;
    const DigestLine line{news.life, news.incarnation, news.state, values.HashOf(news.life)};
    if (MostSize(line) > room) break;
    room -= MostSize(line);
    digest.digest.push_back(line);
  }
  if (it != membership.all().end()) digest.range_to = it->first;
  // Without an answer the round goes on all the same: the one asked may be gone.
  cursor_ = digest.range_to;
}

std::size_t AntiEntropy::Answer(const Message& digest, Message& records, std::size_t room, TimePoint now,
                                const Membership& membership, const Values& values) {
  records.range_from = digest.range_from;
  records.range_to = digest.range_to;
  std::map<std::string, const DigestLine*> lines;
  for (const DigestLine& line : digest.digest) lines[line.life.name] = &line;
  std::size_t pieces = 0;
  for (auto it = membership.all().lower_bound(digest.range_from); it != membership.all().end(); ++it) {
    const MemberNews& news = it->second.news;
    if (!digest.range_to.empty() && it->first >= digest.range_to) break;
    if (!membership.Telling(it->second, now)) continue;
    const auto found = lines.find(it->first);
    const DigestLine* line = found == lines.end() ? nullptr : found->second;
    MemberNews theirs;
    if (line != nullptr) {
      theirs.life = line->life;
      theirs.incarnation = line->incarnation;
      theirs.state = line->state;
    }
    const bool later = line == nullptr || Judge(&theirs, news, By::kGossip);
    const auto* said = values.Of(news.life);
    const bool differs =
        said != nullptr && !said->empty() &&
        (line == nullptr || (line->life.born <= news.life.born &&
                             (line->life != news.life || line->values != values.HashOf(news.life))));
    std::size_t size = later ? MostSize(news) : 0;
    if (differs) {
      for (const auto& [key, held] : *said) size += MostSize(held.value);
    }
    // What is too much for any datagram is told in part, from another key each time.
    if (size > room && pieces > 0) {
      records.range_to = it->first;
      break;
    }
    if (later && MostSize(news) <= room) {
      room -= MostSize(news);
      records.news.push_back(news);
      ++pieces;
    }
    if (!differs) continue;
    ++turn_;
    for (std::size_t i = 0; i < said->size(); ++i) {
      const auto& held =
          std::next(said->begin(), static_cast<std::ptrdiff_t>((i + turn_) % said->size()))->second;
      if (MostSize(held.value) > room) continue;
      room -= MostSize(held.value);
      records.values.push_back(Values::Told(held, now));
      ++pieces;
    }
  }
  return pieces;
}

bool AntiEntropy::Answered(const Message& records) {
  if (records.range_from != asked_) return false;
  cursor_ = records.range_to;
  return true;
}

}  // namespace mothrack::gossip
