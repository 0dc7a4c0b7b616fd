// A voter with what it does when it is coordinator: it reads the replicated state once it has won, changes it
// by writes that count once they are committed, and answers agents and operators from what is committed,
// while its lease holds.
//
// A value, like the voter in it: for Decide (src/change_freeze/voter.h).
#pragma once

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "change_freeze/freeze_state.h"
#include "change_freeze/voter.h"

namespace mothrack::change_freeze {

class PermitService {
 public:
  PermitService(Voter voter) : voter_(std::move(voter)) {}

  void Receive(const VoterMessage& message, TimePoint now, std::vector<VoterMessage>& out);
  // Call it at least every Voter::kTurn.
  void Tick(TimePoint now, std::vector<VoterMessage>& out);
  void OnWriteFailed(TimePoint now);
  const VoterRecord& record() const { return voter_.record(); }
  const Voter& voter() const { return voter_; }

  bool HoldsLease(TimePoint now) const { return voter_.HoldsLease(now) && state_.has_value(); }
  // Why it does not, for people: who leads, or who is missing.
  std::string LeaderlessReason(TimePoint now) const;

  // A change of the state is decided once it is committed; until then Decided() says no, and after another
  // coordinator won nobody knows: ask again, everything here can be repeated.
  struct Receipt {
    Term term = 0;
    std::uint64_t version = 0;  // 0: nothing was begun, and why
    std::string reason{};
  };
  using Edit = std::function<std::string(FreezeState&)>;  // empty: go on; else why not
  Receipt Change(TimePoint now, const Edit& edit, std::vector<VoterMessage>& out);
  bool IsCommitted(const Receipt& receipt) const {
    return receipt.version > 0 && receipt.term == voter_.term() && state_ &&
           committed_version_ >= receipt.version;
  }

  // For an agent's question. Nothing: it does not lead.
  std::optional<PermitConfirmation> ConfirmPermit(const std::string& change, TimePoint now);
  // Evidence is heard often and seldom changes anything: what only renews is kept here, and written now and
  // then.
  void OnEvidence(const Evidence& evidence, TimePoint now, std::vector<VoterMessage>& out);
  // Committed.
  const FreezeState* state() const { return state_ ? &*state_ : nullptr; }

 private:
  void SyncWithVoter(TimePoint now);

  Voter voter_;
  Term state_term_ = 0;               // of `state_`
  std::optional<FreezeState> state_;  // committed
  std::uint64_t committed_version_ = 0;
  std::optional<FreezeState> proposed_;  // written, not committed
  std::uint64_t proposed_version_ = 0;
  TimePoint last_proposal_;
};

}  // namespace mothrack::change_freeze
