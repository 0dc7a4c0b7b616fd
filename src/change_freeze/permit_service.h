// A voter with what it does as the leader: it reads the replicated state once it has won, changes it by
// writes that count once they are committed, and answers agents and operators from what is committed, while
// its lease holds.
//
// A value without clock, disk or socket; one thread at a time. Every call that adds messages to `out` goes
// through ApplyDurably (apply_durably.h), as those of a Voter do.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "change_freeze/freeze_state.h"
#include "change_freeze/status.h"
#include "change_freeze/voter.h"

namespace mothrack::change_freeze {

class PermitService {
 public:
  explicit PermitService(Voter voter) : voter_(std::move(voter)) {}

  // As Voter's; Tick() at least every Voter::kTickInterval.
  void Receive(const VoterMessage& message, TimePoint now, std::vector<VoterMessage>& out);
  void Tick(TimePoint now, std::vector<VoterMessage>& out);
  void OnWriteFailed(TimePoint now);
  const VoterRecord& record() const { return voter_.record(); }
  const Voter& voter() const { return voter_; }

  // May it answer agents and change the state at this instant?
  bool HoldsLease(TimePoint now) const { return voter_.HoldsLease(now) && state_.has_value(); }
  // Why it does not hold the lease, for people: who leads, or who is missing. Empty: it does.
  std::string LeaderlessReason(TimePoint now) const;

  // Of a change of the state: names the version that has to be committed for it to count (IsCommitted). After
  // another leader won nobody knows whether it counts: ask again, every change here can be repeated.
  struct Receipt {
    Term term = 0;
    std::uint64_t version = 0;  // 0: nothing that was asked for has begun, and `status` says why
    Status status{};
  };
  // Changes the state that it is handed; what it refuses it may have changed all the same (a permit that has
  // to end before the next), and that is proposed too.
  using Edit = std::function<Status(FreezeState&)>;
  // Fails with kNotLeader, kChangePending or kStateTooLarge, or with what `edit` returned.
  Receipt Change(TimePoint now, const Edit& edit, std::vector<VoterMessage>& out);
  bool IsCommitted(const Receipt& receipt) const;

  // The answer to an agent's poll; std::nullopt: it does not hold the lease.
  std::optional<PermitConfirmation> ConfirmPermit(const std::string& change, TimePoint now);
  // Evidence comes often and seldom changes anything: what only renews an incident is kept here, and written
  // every third of kEvidenceTimeout. Dropped where it does not lead or a change is pending: the next comes
  // soon.
  void OnEvidence(const Evidence& evidence, TimePoint now, std::vector<VoterMessage>& out);
  // The committed state; nullptr: it does not lead. Valid until the next call.
  const FreezeState* state() const { return state_ ? &*state_ : nullptr; }

 private:
  void SyncWithVoter(TimePoint now);
  bool RenewalIsDue(TimePoint now) const;

  Voter voter_;
  Term state_term_ = 0;               // of `state_`
  std::optional<FreezeState> state_;  // committed; while the voter leads
  std::uint64_t committed_version_ = 0;
  std::optional<FreezeState> proposed_;  // written, not yet committed: one at a time
  std::uint64_t proposed_version_ = 0;
  TimePoint last_proposal_;
};

}  // namespace mothrack::change_freeze
