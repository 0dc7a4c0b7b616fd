#include "change_freeze/permit_service.h"

namespace mothrack::change_freeze {

namespace {
// Ages that are only renewed: a third of what they lapse by, so that a new coordinator finds no fresh one
// stale.
constexpr Duration kRenewalInterval = kEvidenceTimeout / 3;
}  // namespace

// What the voter has come to.
void PermitService::SyncWithVoter(TimePoint now) {
  if (voter_.role() != Voter::Role::kLeader) {
    state_.reset();
    proposed_.reset();
    return;
  }
  if (!state_ || state_term_ != voter_.term()) {
    state_term_ = voter_.term();
    state_ = FreezeState::Decode(voter_.record().value, now);
    committed_version_ = 1;
    proposed_.reset();
    last_proposal_ = now;
  }
  if (proposed_ && voter_.committed() >= proposed_version_) {
    proposed_->OnCommitted(*state_, now);
    state_ = std::move(proposed_);
    proposed_.reset();
    committed_version_ = proposed_version_;
  }
}

void PermitService::Receive(const VoterMessage& message, TimePoint now, std::vector<VoterMessage>& out) {
  voter_.Receive(message, now, out);
  SyncWithVoter(now);
}

void PermitService::Tick(TimePoint now, std::vector<VoterMessage>& out) {
  voter_.Tick(now, out);
  SyncWithVoter(now);
  if (!HoldsLease(now) || proposed_) return;
  FreezeState reevaluated = *state_;
  reevaluated.Reevaluate(now);
  if (!reevaluated.EqualIgnoringTimes(*state_) || now - last_proposal_ >= kRenewalInterval)
    Change(
        now, [](FreezeState&) { return std::string(); }, out);
}

void PermitService::OnWriteFailed(TimePoint now) {
  voter_.OnWriteFailed(now);
  SyncWithVoter(now);
}

std::string PermitService::LeaderlessReason(TimePoint now) const {
  if (HoldsLease(now)) return {};
  const std::string leader = voter_.LeaderAt(now);
  if (!leader.empty() && voter_.role() == Voter::Role::kFollower) return "ask " + leader;
  std::string missing;
  for (const std::string& name : voter_.UnreachableVoters(now))
    missing += (missing.empty() ? "" : ", ") + name;
  return "nobody coordinates changes; not heard of: " +
         (missing.empty() ? "none, wait for the election" : missing);
}

PermitService::Receipt PermitService::Change(TimePoint now, const Edit& edit,
                                             std::vector<VoterMessage>& out) {
  if (!HoldsLease(now)) return {0, 0, LeaderlessReason(now)};
  if (proposed_) return {0, 0, "another decision is on its way; ask again"};
  FreezeState next = *state_;
  const std::string reason = edit(next);
  next.Reevaluate(now);
  // What is refused may have begun something: a permit that has to end before the next.
  if (next.EqualIgnoringTimes(*state_) && now - last_proposal_ < kRenewalInterval) {
    if (!reason.empty()) return {0, 0, reason};
    state_ = std::move(next);
    return {state_term_, committed_version_, {}};
  }
  const std::string bytes = next.Encode(now);
  if (bytes.size() > kMaxValueBytes)
    return {0, 0, "the state would exceed 64 KiB; close incidents or wait for permits to end"};
  const std::uint64_t version = voter_.Propose(bytes, now, out);
  if (version == 0) return {0, 0, LeaderlessReason(now)};
  proposed_ = std::move(next);
  proposed_version_ = version;
  last_proposal_ = now;
  SyncWithVoter(now);
  return {state_term_, reason.empty() ? version : 0, reason};
}

std::optional<PermitConfirmation> PermitService::ConfirmPermit(const std::string& change, TimePoint now) {
  if (!HoldsLease(now)) return std::nullopt;
  PermitConfirmation confirmation = state_->ConfirmPermit(change, now);
  if (proposed_) proposed_->ConfirmPermit(change, now);
  confirmation.term = state_term_;
  confirmation.version = committed_version_;
  return confirmation;
}

void PermitService::OnEvidence(const Evidence& evidence, TimePoint now, std::vector<VoterMessage>& out) {
  if (!HoldsLease(now) || proposed_) return;
  FreezeState next = *state_;
  std::string reason;
  next.incidents.OnEvidence(evidence, now, reason);
  if (next.EqualIgnoringTimes(*state_)) {
    state_ = std::move(next);
  } else {
    Change(
        now,
        [&](FreezeState& state) { return state.incidents.OnEvidence(evidence, now, reason), std::string(); },
        out);
  }
}

}  // namespace mothrack::change_freeze
