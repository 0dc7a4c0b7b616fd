// A voter and its service as the leader. A leader reads the replicated state once it has won the election,
// changes it by writes that take effect when they are committed, and answers agents and operators from the
// committed state while its lease holds.
//
// A value without clock, disk or socket; one thread at a time. Every call that adds messages to `out` must go
// through ApplyDurably (apply_durably.h), like those of a Voter.
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

  // Like the functions of Voter. Tick() must be called at least every Voter::kTickInterval.
  void Receive(const VoterMessage& message, TimePoint now, std::vector<VoterMessage>& out);
  void Tick(TimePoint now, std::vector<VoterMessage>& out);
  void OnWriteFailed(TimePoint now);
  const VoterRecord& record() const { return voter_.record(); }
  const Voter& voter() const { return voter_; }

  // Whether this voter may answer agents and change the state at `now`.
  bool HoldsLease(TimePoint now) const { return voter_.HoldsLease(now) && state_.has_value(); }
  // Returns why this voter does not hold the lease, as human-readable text: which voter is the leader, or
  // which voters are unreachable. Empty if it holds the lease.
  std::string LeaderlessReason(TimePoint now) const;

  // The result of Change(). It names the version that must be committed for the change to take
  // effect (IsCommitted()). After another leader has won, the outcome is unknown: ask again, since every
  // change here can be repeated.
  struct Receipt {
    Term term = 0;
    std::uint64_t version = 0;  // 0: the request was not carried out, and `status` says why
    Status status{};
  };
  // Edits the given state. Even if it returns an error it may have changed something (a permit that has to
  // end before the next one can start), and that is proposed too.
  using Edit = std::function<Status(FreezeState&)>;
  // Fails with kNotLeader, kChangePending or kStateTooLarge, or with the result of `edit`.
  Receipt Change(TimePoint now, const Edit& edit, std::vector<VoterMessage>& out);
  bool IsCommitted(const Receipt& receipt) const;

  // The answer to an agent's poll; std::nullopt if this voter does not hold the lease.
  std::optional<PermitConfirmation> ConfirmPermit(const std::string& change, TimePoint now);
  // Handles evidence, which arrives often but seldom changes anything. A mere renewal of an incident is kept
  // in memory and written every third of kEvidenceTimeout. Evidence is dropped if this voter is not the
  // leader or a change is pending, because more follows soon.
  void OnEvidence(const Evidence& evidence, TimePoint now, std::vector<VoterMessage>& out);
  // The committed state; nullptr if this voter is not the leader. Valid until the next call.
  const FreezeState* state() const { return state_ ? &*state_ : nullptr; }

 private:
  void SyncWithVoter(TimePoint now);
  bool RenewalIsDue(TimePoint now) const;

  Voter voter_;
  Term state_term_ = 0;               // of `state_`
  std::optional<FreezeState> state_;  // committed; set while this voter is the leader
  std::uint64_t committed_version_ = 0;
  std::optional<FreezeState> proposed_;  // written but not committed yet; one at a time
  std::uint64_t proposed_version_ = 0;
  TimePoint last_proposal_;
};

}  // namespace mothrack::change_freeze
