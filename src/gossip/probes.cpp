#include "gossip/probes.h"

#include <algorithm>

namespace mothrack::gossip {

Verdict Judge(Outcome outcome) {
  switch (outcome) {
    case Outcome::kAcked:
      return {-1, false};
    // Half the fleet lost is no reason to look more slowly at the other half.
    case Outcome::kAllNacked:
      return {0, true};
    case Outcome::kNackMissed:
    case Outcome::kNobody:
      return {1, true};
    case Outcome::kDoubted:
    case Outcome::kStopped:
      return {1, false};
  }
  return {};
}

Probes::Probes(const Terms& terms, TimePoint now, Random& random)
    // Those that start together do not ask together.
    : terms_(terms),
      next_(now + Duration(random.Below(static_cast<std::size_t>(terms.probe_every.count())))) {}

Probes::Step Probes::Next(TimePoint now, const Membership& membership, Random& random) {
  Step step;
  if (round_) {
    step.name = round_->name;
    step.sequence = round_->sequence;
    step.born = round_->born;
    step.incarnation = round_->incarnation;
    if (!round_->asked && now >= round_->patience && now < round_->end) {
      round_->asked = true;
      step.what = Step::What::kAskOthers;
      return step;
    }
    if (now < round_->end) return step;
    step.what = Step::What::kOver;
    step.outcome = !any_helper_       ? Outcome::kNobody
                   : helpers_.empty() ? Outcome::kAllNacked
                                      : Outcome::kNackMissed;
    round_.reset();
    return step;
  }
  if (now < next_) return step;
  const Duration every = terms_.probe_every * (health_ + 1);
  next_ = now + every;
  const auto gone = [&](const std::string& name) {
    const auto* member = membership.Find(name);
    return member == nullptr || member->news.state > State::kSuspect;
  };
  while (at_ < order_.size() && gone(order_[at_])) ++at_;
  if (at_ >= order_.size()) {
    order_ = membership.live();
    // live() is in the order of arrival; sorted first, so that only the seed decides.
    std::sort(order_.begin(), order_.end());
    random.Shuffle(order_);
    at_ = 0;
    if (order_.empty()) return step;
  }
  const MemberNews& news = membership.Find(order_[at_])->news;
  ++at_;
  helpers_.clear();
  any_helper_ = false;
  round_ = Round{news.life.name,
                 NewSequence(),
                 news.life.born,
                 news.incarnation,
                 now + terms_.probe_patience * (health_ + 1),
                 now + every,
                 false};
  step = {Step::What::kPing, news.life.name,   round_->sequence,
          news.life.born,    news.incarnation, Outcome::kAcked};
  return step;
}

void Probes::Joined(const std::string& name, Random& random) {
  // Somewhere in what is left of this time around: a new one is neither first nor last everywhere.
  const std::size_t left = order_.size() - at_;
  order_.insert(order_.begin() + static_cast<std::ptrdiff_t>(at_ + random.Below(left + 1)), name);
}

bool Probes::Acked(const std::string& by, std::uint64_t sequence) {
  if (!round_ || round_->sequence != sequence || (by != round_->name && !helpers_.contains(by))) return false;
  round_.reset();
  return true;
}

void Probes::Nacked(const std::string& by, std::uint64_t sequence) {
  if (round_ && round_->sequence == sequence) helpers_.erase(by);
}

std::optional<std::uint64_t> Probes::Run(Errand errand) {
  if (errands_.size() >= kMostErrands) return std::nullopt;
  const std::uint64_t sequence = NewSequence();
  errands_.emplace(sequence, std::move(errand));
  return sequence;
}

std::optional<Probes::Errand> Probes::Done(const std::string& by, std::uint64_t sequence) {
  const auto it = errands_.find(sequence);
  if (it == errands_.end() || it->second.subject != by) return std::nullopt;
  Errand errand = std::move(it->second);
  errands_.erase(it);
  return errand;
}

std::vector<Probes::Errand> Probes::Overdue(TimePoint now) {
  std::vector<Errand> over;
  while (!errands_.empty() && errands_.begin()->second.until <= now) {
    over.push_back(std::move(errands_.begin()->second));
    errands_.erase(errands_.begin());
  }
  return over;
}

void Probes::Learn(Outcome outcome) {
  health_ = std::clamp(health_ + Judge(outcome).health, 0, kWorstHealth);
}

void Probes::Restart(TimePoint now) {
  round_.reset();
  errands_.clear();
  next_ = now;
}

TimePoint Probes::next() const {
  TimePoint next = next_;
  if (round_) next = round_->asked ? round_->end : std::min(round_->patience, round_->end);
  if (!errands_.empty()) next = std::min(next, errands_.begin()->second.until);
  return next;
}

}  // namespace mothrack::gossip
