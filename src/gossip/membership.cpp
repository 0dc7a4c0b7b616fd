#include "gossip/membership.h"

#include <algorithm>
#include <cmath>

namespace mothrack::gossip {
namespace {

bool Live(State state) { return state == State::kAlive || state == State::kSuspect; }

}  // namespace

std::optional<State> Judge(const MemberNews* held, const MemberNews& news, By by) {
  if (held == nullptr) return news.state;
  if (news.life.born != held->life.born) {
    if (news.life.born < held->life.born) return std::nullopt;
    return news.state;
  }
  // Its own last word: no incarnation comes after it.
  if (held->state == State::kLeft) return std::nullopt;
  if (news.state == State::kLeft) return State::kLeft;
  MemberNews as = news;
  if (news.state == State::kDead && by == By::kRecords && Live(held->state)) as.state = State::kSuspect;
  if (!Supersedes(as, *held)) return std::nullopt;
  return as.state;
}

Reply JudgeOwn(const MemberNews& self, const MemberNews& news) {
  if (news.life.born < self.life.born) return Reply::kNothing;
  if (news.life.born > self.life.born || news.state == State::kLeft) return Reply::kReborn;
  if (news.incarnation < self.incarnation) return Reply::kNothing;
  if (news.state == State::kAlive && news.incarnation == self.incarnation) return Reply::kNothing;
  if (news.incarnation >= kMostNumber) return Reply::kReborn;
  return news.state == State::kAlive ? Reply::kOutdo : Reply::kRefute;
}

bool Fine(const Life& life) {
  return !life.name.empty() && life.name.size() <= kMostName && life.born > 0 && life.born <= kMostNumber;
}

bool Fine(const MemberNews& news) {
  return Fine(news.life) && news.incarnation <= kMostNumber && news.state >= State::kAlive &&
         news.state <= State::kLeft && (news.role == Role::kSidecar || news.role == Role::kAgent) &&
         !news.address.empty() && news.address.size() <= kMostAddress && news.zone.size() <= kMostName;
}

Membership::Membership(const MemberNews& self, const Terms& terms, TimePoint now)
    : self_(self.life.name), terms_(terms) {
  members_[self_] = {self, now, true, now, now, {}};
}

Membership::Taken Membership::Take(const MemberNews& news, By by, TimePoint now) {
  auto it = members_.find(news.life.name);
  const auto state = Judge(it == members_.end() ? nullptr : &it->second.news, news, by);
  if (!state) return {};
  Taken taken;
  if (it == members_.end()) {
    if (members_.size() >= kMostMembers) {
      if (gone_.empty()) return {false, true, std::nullopt};
      for_room_.push_back(gone_.begin()->second);
      Forget(for_room_.back());
    }
    it = members_.try_emplace(news.life.name).first;
  } else {
    taken.before = it->second.news;
    Unindex(it->first, it->second);
  }
  Member& member = it->second;
  member.news = news;
  member.news.state = *state;
  if (!taken.before || taken.before->state != *state) member.since = now;
  member.lived = member.lived || Live(*state);
  member.suspected = now;
  member.accusers.clear();
  Index(it->first, member);
  if (*state == State::kSuspect) Time(it->first, member);
  taken.taken = true;
  return taken;
}

void Membership::Index(const std::string& name, const Member& member) {
  if (!Live(member.news.state)) {
    gone_.emplace(member.since, name);
    return;
  }
  live_.push_back(name);
  if (member.news.state == State::kSuspect) suspects_.emplace(member.over, name);
}

void Membership::Unindex(const std::string& name, const Member& member) {
  if (!Live(member.news.state)) {
    gone_.erase({member.since, name});
    return;
  }
  live_.erase(std::find(live_.begin(), live_.end(), name));
  suspects_.erase({member.over, name});
}

void Membership::Accuse(const std::string& name, std::uint64_t incarnation, const std::string& by) {
  const auto it = members_.find(name);
  if (it == members_.end() || it->second.news.state != State::kSuspect) return;
  Member& member = it->second;
  // The bound: those that come later change nothing.
  if (member.news.incarnation != incarnation || (member.accusers.size() > kConfirmations && by != self_) ||
      !member.accusers.insert(by).second) {
    return;
  }
  Time(name, member);
}

void Membership::Time(const std::string& name, Member& member) {
  suspects_.erase({member.over, name});
  member.over = member.suspected + Suspicion(member);
  suspects_.emplace(member.over, name);
}

Duration Membership::Suspicion(const Member& member) const {
  const double least = terms_.suspicion *
                       std::log10(std::max<double>(10, static_cast<double>(live_.size() + 1))) *
                       static_cast<double>(terms_.probe_every.count());
  const double longest = least * std::max(1.0, terms_.longest_suspicion);
  const auto wanted = static_cast<double>(std::min(kConfirmations, live_.empty() ? 0 : live_.size() - 1));
  if (wanted < 1) return Duration(std::llround(least));  // nobody is there who could confirm
  const double had = member.accusers.empty() ? 0 : static_cast<double>(member.accusers.size() - 1);
  return Duration(
      std::llround(std::max(least, longest - (longest - least) * std::log(had + 1) / std::log(wanted + 1))));
}

void Membership::Postpone(Duration gap) {
  for (const auto& [over, name] : std::exchange(suspects_, {})) {
    Member& member = members_.at(name);
    member.suspected += gap;
    member.over += gap;
    suspects_.emplace(member.over, name);
  }
}

std::vector<std::string> Membership::Expired(TimePoint now) const {
  std::vector<std::string> over;
  for (const auto& [at, name] : suspects_) {
    if (now < at) break;
    over.push_back(name);
  }
  return over;
}

std::vector<std::string> Membership::Forgettable(TimePoint now) const {
  std::vector<std::string> over;
  for (const auto& [since, name] : gone_) {
    if (now < since + terms_.remember_dead) break;
    over.push_back(name);
  }
  return over;
}

void Membership::Forget(const std::string& name) {
  const auto it = members_.find(name);
  if (it == members_.end() || name == self_) return;
  Unindex(name, it->second);
  members_.erase(it);
}

std::vector<std::string> Membership::forgotten_for_room() { return std::exchange(for_room_, {}); }

TimePoint Membership::next() const {
  const TimePoint forget = gone_.empty() ? TimePoint::max() : gone_.begin()->first + terms_.remember_dead;
  return suspects_.empty() ? forget : std::min(forget, suspects_.begin()->first);
}

bool Membership::Telling(const Member& member, TimePoint now) const {
  return Live(member.news.state) || now < member.since + terms_.remember_dead / 2;
}

const Membership::Member* Membership::Find(const std::string& name) const {
  const auto it = members_.find(name);
  return it == members_.end() ? nullptr : &it->second;
}

std::vector<std::string> Membership::Some(std::size_t count, const std::string& not_this,
                                          Random& random) const {
  std::vector<std::string> some;
  // Drawn until there are enough: `count` is small, and a fleet of few ends by the second bound.
  for (std::size_t tries = 0; some.size() < count && tries < 8 * count && !live_.empty(); ++tries) {
    const std::string& name = live_[random.Below(live_.size())];
    if (name != not_this && std::find(some.begin(), some.end(), name) == some.end()) some.push_back(name);
  }
  return some;
}

}  // namespace mothrack::gossip
