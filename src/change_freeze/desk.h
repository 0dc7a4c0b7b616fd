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

#include "change_freeze/ledger.h"
#include "change_freeze/voter.h"

namespace mothrack::change_freeze {

class Desk {
 public:
  Desk(Voter voter) : voter_(std::move(voter)) {}

  void Heard(const VoterMessage& message, TimePoint now, std::vector<VoterMessage>& out);
  // Call it at least every Voter::kTurn.
  void Turn(TimePoint now, std::vector<VoterMessage>& out);
  void DiskRefused(TimePoint now);
  const VoterRecord& record() const { return voter_.record(); }
  const Voter& voter() const { return voter_; }

  bool Leads(TimePoint now) const { return voter_.Leads(now) && state_.has_value(); }
  // Why it does not, for people: who leads, or who is missing.
  std::string Leaderless(TimePoint now) const;

  // A change of the state is decided once it is committed; until then Decided() says no, and after another
  // coordinator won nobody knows: ask again, everything here can be repeated.
  struct Receipt {
    Term term = 0;
    std::uint64_t version = 0;  // 0: nothing was begun, and why
    std::string why{};
  };
  using Edit = std::function<std::string(Ledger&)>;  // empty: go on; else why not
  Receipt Change(TimePoint now, const Edit& edit, std::vector<VoterMessage>& out);
  bool Decided(const Receipt& receipt) const {
    return receipt.version > 0 && receipt.term == voter_.term() && state_ && decided_ >= receipt.version;
  }

  // For an agent's question. Nothing: it does not lead.
  std::optional<Word> Confirm(const std::string& change, TimePoint now);
  // Evidence is heard often and seldom changes anything: what only renews is kept here, and written now and
  // then.
  void Hear(const Evidence& evidence, TimePoint now, std::vector<VoterMessage>& out);
  // Committed.
  const Ledger* state() const { return state_ ? &*state_ : nullptr; }

 private:
  void Follow(TimePoint now);

  Voter voter_;
  Term term_ = 0;                // of `state_`
  std::optional<Ledger> state_;  // committed
  std::uint64_t decided_ = 0;
  std::optional<Ledger> next_;  // written, not committed
  std::uint64_t next_version_ = 0;
  TimePoint written_;
};

}  // namespace mothrack::change_freeze
