#include "gossip/probe_scheduler.h"

#include <algorithm>

namespace mothrack::gossip {

OutcomeEffect EffectOf(Outcome outcome) {
  switch (outcome) {
    case Outcome::kAcked:
      return {-1, false};
    // The score stays: if half the fleet is lost, the other half must not be probed more slowly.
    case Outcome::kAllNacked:
      return {0, true};
    case Outcome::kNackMissed:
    case Outcome::kNoHelper:
      return {1, true};
    case Outcome::kRefuted:
    case Outcome::kPaused:
      return {1, false};
  }
  return {};
}

ProbeScheduler::ProbeScheduler(const ProtocolConfig& config, TimePoint now, Random& random)
    // A random phase: members that start together must not probe together.
    : config_(config),
      next_round_(now + Duration(random.Below(static_cast<std::size_t>(config.probe_interval.count())))) {}

ProbeScheduler::Step ProbeScheduler::Next(TimePoint now, const Membership& membership, Random& random) {
  Step step;
  if (round_) {
    step.name = round_->name;
    step.sequence = round_->sequence;
    step.boot_number = round_->boot_number;
    step.incarnation = round_->incarnation;
    if (!round_->helpers_requested && now >= round_->ack_deadline && now < round_->end) {
      round_->helpers_requested = true;
      step.action = Step::Action::kPingIndirectly;
      return step;
    }
    if (now < round_->end) return step;
    step.action = Step::Action::kRoundOver;
    step.outcome = !any_helper_       ? Outcome::kNoHelper
                   : helpers_.empty() ? Outcome::kAllNacked
                                      : Outcome::kNackMissed;
    round_.reset();
    return step;
  }
  if (now < next_round_) return step;
  const Duration interval = config_.probe_interval * (health_ + 1);
  next_round_ = now + interval;
  const auto not_live = [&](const std::string& name) {
    const auto* member = membership.Find(name);
    return member == nullptr || member->update.state > MemberState::kSuspect;
  };
  while (ring_position_ < ring_.size() && not_live(ring_[ring_position_])) ++ring_position_;
  if (ring_position_ >= ring_.size()) {
    ring_ = membership.live();
    // live() is in the order of arrival. Sort it first, so that only the seed decides the order.
    std::sort(ring_.begin(), ring_.end());
    random.Shuffle(ring_);
    ring_position_ = 0;
    if (ring_.empty()) return step;
  }
  const MembershipUpdate& update = membership.Find(ring_[ring_position_])->update;
  ++ring_position_;
  helpers_.clear();
  any_helper_ = false;
  round_ = Round{update.boot_id.name,
                 NewSequence(),
                 update.boot_id.boot_number,
                 update.incarnation,
                 now + config_.probe_timeout * (health_ + 1),
                 now + interval,
                 false};
  step = {Step::Action::kPing,        update.boot_id.name, round_->sequence,
          update.boot_id.boot_number, update.incarnation,  Outcome::kAcked};
  return step;
}

void ProbeScheduler::AddMember(const std::string& name, Random& random) {
  // Insert at a random position in the rest of this pass, so that a new member is not first or last
  // everywhere.
  const std::size_t remaining = ring_.size() - ring_position_;
  ring_.insert(ring_.begin() + static_cast<std::ptrdiff_t>(ring_position_ + random.Below(remaining + 1)),
               name);
}

bool ProbeScheduler::OnAck(const std::string& by, std::uint64_t sequence) {
  if (!round_ || round_->sequence != sequence || (by != round_->name && !helpers_.contains(by))) return false;
  round_.reset();
  return true;
}

void ProbeScheduler::OnNack(const std::string& by, std::uint64_t sequence) {
  if (round_ && round_->sequence == sequence) helpers_.erase(by);
}

std::optional<std::uint64_t> ProbeScheduler::StartRelayed(RelayedProbe probe) {
  if (relayed_probes_.size() >= kMaxRelayedProbes) return std::nullopt;
  const std::uint64_t sequence = NewSequence();
  relayed_probes_.emplace(sequence, std::move(probe));
  return sequence;
}

std::optional<ProbeScheduler::RelayedProbe> ProbeScheduler::FinishRelayed(const std::string& by,
                                                                          std::uint64_t sequence) {
  const auto it = relayed_probes_.find(sequence);
  if (it == relayed_probes_.end() || it->second.subject != by) return std::nullopt;
  RelayedProbe probe = std::move(it->second);
  relayed_probes_.erase(it);
  return probe;
}

std::vector<ProbeScheduler::RelayedProbe> ProbeScheduler::TakeOverdueRelayed(TimePoint now) {
  std::vector<RelayedProbe> overdue;
  while (!relayed_probes_.empty() && relayed_probes_.begin()->second.until <= now) {
    overdue.push_back(std::move(relayed_probes_.begin()->second));
    relayed_probes_.erase(relayed_probes_.begin());
  }
  return overdue;
}

void ProbeScheduler::RecordOutcome(Outcome outcome) {
  health_ = std::clamp(health_ + EffectOf(outcome).health, 0, kMaxHealthScore);
}

void ProbeScheduler::Restart(TimePoint now) {
  round_.reset();
  relayed_probes_.clear();
  next_round_ = now;
}

TimePoint ProbeScheduler::next() const {
  TimePoint next = next_round_;
  if (round_) next = round_->helpers_requested ? round_->end : std::min(round_->ack_deadline, round_->end);
  if (!relayed_probes_.empty()) next = std::min(next, relayed_probes_.begin()->second.until);
  return next;
}

}  // namespace mothrack::gossip
