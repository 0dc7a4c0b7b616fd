#include "hash_ring/maker.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace mothrack::hash_ring {
namespace {

// A member that makes a generation a second for as long as it lives is below it by far; one that claims more
// would leave no numbers for the others.
constexpr std::uint64_t kMostNumber = std::uint64_t{1} << 48;

// Heavier is greater. Gone is the lightest.
auto Heaviness(const Place& place) { return std::tuple(!place.gone, place.part, place.level); }

bool SameContent(const Place& a, const Place& b) { return Heaviness(a) == Heaviness(b); }

bool Sound(const Place& place) {
  return !place.uid.empty() && place.uid.size() <= kMostUid && place.number > 0 &&
         place.number <= kMostNumber && place.part <= Part::kWhole;
}

}  // namespace

// The lighter, as that one does no harm: a node that was overrated falls over, one that was underrated has
// room.
bool Supersedes(const Place& place, const Place& held) {
  if (place.number != held.number) return place.number > held.number;
  return Heaviness(place) < Heaviness(held);
}

Part Maker::PartAt(Duration age) const {
  if (age >= terms_.cold_time) return Part::kWhole;
  const std::int64_t warmth = terms_.cold_from + (1000 - terms_.cold_from) *
                                                     std::max<std::int64_t>(age.count(), 0) /
                                                     terms_.cold_time.count();
  return warmth >= 500 ? Part::kHalf : warmth >= 250 ? Part::kQuarter : Part::kNone;
}

std::optional<Place> Maker::Wanted(const Held& held, const NodeNews* news, TimePoint now) const {
  const bool has = held.place && !held.place->gone;
  if (news && news->state == NodeNews::State::kActive) {
    Place wanted;
    wanted.uid = news->uid;
    wanted.part = PartAt(news->age);
    if (has) {
      // A measurement that lapsed is no reason to go back to the hint.
      wanted.level =
          news->measured ? Settle(held.place->level, *news->measured, terms_.band) : held.place->level;
      if (SameContent(wanted, *held.place)) return std::nullopt;
    } else {
      if (wanted.part == Part::kNone) return std::nullopt;
      wanted.level = LevelOf(news->measured.value_or(news->hint));
    }
    return wanted;
  }
  if (!has || (!news && now - *held.missing < terms_.grace)) return std::nullopt;
  Place wanted = *held.place;
  wanted.gone = true;
  return wanted;
}

// Noise around a change of one direction does not begin its time anew, a change of direction does.
void Maker::Note(Held& held, std::optional<Place> wanted, TimePoint now) {
  const auto direction = [&](const Place& due) {
    return held.place ? Heaviness(due) < Heaviness(*held.place) : false;
  };
  if (wanted && (!held.due || direction(*wanted) != direction(*held.due))) held.due_since = now;
  held.due = std::move(wanted);
}

bool Maker::MakeWhatIsDue(TimePoint now) {
  bool all_settled = true;
  bool any_settled = false;
  Duration oldest{0};
  for (const auto& [uid, held] : held_) {
    if (!held.due) continue;
    const Duration age = now - held.due_since;
    oldest = std::max(oldest, age);
    (age >= terms_.settle ? any_settled : all_settled) = age >= terms_.settle;
  }
  if (!any_settled || (!all_settled && oldest < terms_.window)) return false;
  ++number_;
  for (auto& [uid, held] : held_) {
    if (!held.due || now - held.due_since < terms_.settle) continue;
    held.place = std::exchange(held.due, std::nullopt);
    held.place->number = number_;
    held.changed = now;
  }
  return true;
}

bool Maker::Turn(const std::vector<NodeNews>& list, bool cut_off, TimePoint now) {
  // What waited is begun anew once it hears again: a node that was missing before may have been back in
  // between.
  if (cut_off) {
    for (auto& [uid, held] : held_) {
      held.due.reset();
      held.missing.reset();
    }
    return false;
  }
  fresh_ = now;
  std::map<std::string_view, const NodeNews*> by_uid;
  for (const NodeNews& news : list) {
    if (news.uid.empty() || news.uid.size() > kMostUid) {
      ++not_taken_;
      continue;
    }
    if (!by_uid.emplace(news.uid, &news).second) continue;
    if (held_.size() < kMostNodes) held_.try_emplace(news.uid);
  }
  bool changed = false;
  for (auto at = held_.begin(); at != held_.end();) {
    Held& held = at->second;
    const auto found = by_uid.find(at->first);
    const NodeNews* news = found == by_uid.end() ? nullptr : found->second;
    if (news) {
      held.missing.reset();
    } else if (!held.missing) {
      held.missing = now;
    }
    const bool passed = !news || news->state != NodeNews::State::kActive || PartAt(news->age) == Part::kNone;
    changed |= std::exchange(held.passed, passed) != passed && held.place && !held.place->gone;
    Note(held, Wanted(held, news, now), now);
    // Nothing is left to be known of it.
    const bool forget = !news && (!held.place || (held.place->gone && now - held.changed >= terms_.remember));
    at = forget ? held_.erase(at) : std::next(at);
  }
  changed |= MakeWhatIsDue(now);
  if (changed) Rebuild();
  return changed;
}

bool Maker::Merge(const std::vector<Place>& places, TimePoint now) {
  bool changed = false;
  for (const Place& place : places) {
    const auto at = held_.find(place.uid);
    if (!Sound(place) || (at == held_.end() && held_.size() >= kMostNodes)) {
      ++not_taken_;
      continue;
    }
    Held& held = at != held_.end() ? at->second : held_[place.uid];
    if (held.place && !Supersedes(place, *held.place)) continue;
    number_ = std::max(number_, place.number);
    // A node of which only its place is known is passed over until the list has it.
    if (at == held_.end()) held.passed = true;
    held.place = place;
    held.changed = now;
    // It may be what was due, or make something else due: the next turn says so, and its time begins anew, as
    // whoever changed it may know more.
    held.due.reset();
    changed = true;
  }
  if (changed) Rebuild();
  return changed;
}

void Maker::Rebuild() {
  std::vector<Node> nodes;
  for (const auto& [uid, held] : held_) {
    if (held.place && !held.place->gone)
      nodes.push_back({uid, held.place->level, held.place->part, held.passed});
  }
  ring_ = std::make_shared<const Ring>(number_, std::move(nodes));
}

std::vector<Place> Maker::places() const {
  std::vector<Place> places;
  for (const auto& [uid, held] : held_) {
    if (held.place) places.push_back(*held.place);
  }
  return places;
}

Staleness Maker::staleness(TimePoint now) const { return {now - fresh_ > terms_.stale_after, now - fresh_}; }

}  // namespace mothrack::hash_ring
