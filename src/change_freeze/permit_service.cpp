#include "change_freeze/permit_service.h"

namespace mothrack::change_freeze {

namespace {

// Renewed ages are written every third of the timeout, so that a new leader finds no incident stale that was
// renewed in time.
constexpr Duration kRenewalInterval = kEvidenceTimeout / 3;

// Voter::StartLeadership writes the value that the winner has read as the first version of its term.
constexpr std::uint64_t kFirstVersion = 1;

Status EditNothing(FreezeState& /*state*/) { return {}; }

}  // namespace

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
  if (!reevaluated.EqualIgnoringTimes(*state_) || RenewalIsDue(now)) Change(now, EditNothing, out);
}

void PermitService::OnWriteFailed(TimePoint now) {
  voter_.OnWriteFailed(now);
  SyncWithVoter(now);
}

// Reads the state when the voter becomes the leader, adopts what was committed, and discards everything when
// it steps down.
void PermitService::SyncWithVoter(TimePoint now) {
  if (voter_.role() != Voter::Role::kLeader) {
    state_.reset();
    proposed_.reset();
    return;
  }
  if (!state_ || state_term_ != voter_.term()) {
    state_term_ = voter_.term();
    state_ = FreezeState::Decode(voter_.record().value, now);
    committed_version_ = kFirstVersion;
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

bool PermitService::RenewalIsDue(TimePoint now) const { return now - last_proposal_ >= kRenewalInterval; }

std::string PermitService::LeaderlessReason(TimePoint now) const {
  if (HoldsLease(now)) return {};
  const std::string leader = voter_.LeaderAt(now);
  if (!leader.empty() && voter_.role() == Voter::Role::kFollower)
    return "the coordinator is " + leader + "; send the request there";
  std::string unreachable;
  for (const std::string& name : voter_.UnreachableVoters(now))
    unreachable += (unreachable.empty() ? "" : ", ") + name;
  return "there is no coordinator; unreachable voters: " +
         (unreachable.empty() ? "none; wait for the election" : unreachable);
}

PermitService::Receipt PermitService::Change(TimePoint now, const Edit& edit,
                                             std::vector<VoterMessage>& out) {
  const auto refused = [](StatusCode code, std::string message) {
    return Receipt{0, 0, {code, std::move(message)}};
  };
  if (!HoldsLease(now)) return refused(StatusCode::kNotLeader, LeaderlessReason(now));
  if (proposed_)
    return refused(StatusCode::kChangePending,
                   "an earlier change of the state is not committed yet; ask again");
  FreezeState next = *state_;
  const Status status = edit(next);
  next.Reevaluate(now);
  // Even a refused request may have begun something: the end of a permit before the next one.
  if (next.EqualIgnoringTimes(*state_) && !RenewalIsDue(now)) {
    if (!status.ok()) return {0, 0, status};
    state_ = std::move(next);
    return {state_term_, committed_version_, {}};
  }
  const std::string bytes = next.Encode(now);
  if (bytes.size() > kMaxValueBytes) {
    return refused(StatusCode::kStateTooLarge,
                   "the state would exceed 64 KiB; close incidents or wait for permits to end");
  }
  const std::uint64_t version = voter_.Propose(bytes, now, out);
  if (version == 0) return refused(StatusCode::kNotLeader, LeaderlessReason(now));
  proposed_ = std::move(next);
  proposed_version_ = version;
  last_proposal_ = now;
  SyncWithVoter(now);
  return {state_term_, status.ok() ? version : 0, status};
}

bool PermitService::IsCommitted(const Receipt& receipt) const {
  return receipt.version > 0 && receipt.term == voter_.term() && state_ &&
         committed_version_ >= receipt.version;
}

std::optional<PermitConfirmation> PermitService::ConfirmPermit(const std::string& change, TimePoint now) {
  if (!HoldsLease(now)) return std::nullopt;
  PermitConfirmation confirmation = state_->ConfirmPermit(change, now);
  // The poll also counts for the proposed state: its permit must not time out because of missing polls.
  if (proposed_) proposed_->ConfirmPermit(change, now);
  confirmation.term = state_term_;
  confirmation.version = committed_version_;
  return confirmation;
}

void PermitService::OnEvidence(const Evidence& evidence, TimePoint now, std::vector<VoterMessage>& out) {
  if (!HoldsLease(now) || proposed_) return;
  FreezeState next = *state_;
  next.incidents.OnEvidence(evidence, now);
  if (next.EqualIgnoringTimes(*state_)) {
    state_ = std::move(next);
    return;
  }
  const auto apply = [&](FreezeState& state) {
    state.incidents.OnEvidence(evidence, now);
    return Status{};
  };
  Change(now, apply, out);
}

}  // namespace mothrack::change_freeze
