#include "change_freeze/desk.h"

namespace mothrack::change_freeze {

namespace {
// Ages that are only renewed: a third of what they lapse by, so that a new coordinator finds no fresh one
// stale.
constexpr Duration kRewrite = kEvidenceLasts / 3;
}  // namespace

// What the voter has come to.
void Desk::Follow(TimePoint now) {
  if (voter_.role() != Voter::Role::kCoordinator) {
    state_.reset();
    next_.reset();
    return;
  }
  if (!state_ || term_ != voter_.term()) {
    term_ = voter_.term();
    state_ = Ledger::Unpack(voter_.record().value, now);
    decided_ = 1;
    next_.reset();
    written_ = now;
  }
  if (next_ && voter_.committed() >= next_version_) {
    next_->Committed(*state_, now);
    state_ = std::move(next_);
    next_.reset();
    decided_ = next_version_;
  }
}

void Desk::Heard(const VoterMessage& message, TimePoint now, std::vector<VoterMessage>& out) {
  voter_.Heard(message, now, out);
  Follow(now);
}

void Desk::Turn(TimePoint now, std::vector<VoterMessage>& out) {
  voter_.Turn(now, out);
  Follow(now);
  if (!Leads(now) || next_) return;
  Ledger settled = *state_;
  settled.Settle(now);
  if (!settled.Alike(*state_) || now - written_ >= kRewrite)
    Change(
        now, [](Ledger&) { return std::string(); }, out);
}

void Desk::DiskRefused(TimePoint now) {
  voter_.DiskRefused(now);
  Follow(now);
}

std::string Desk::Leaderless(TimePoint now) const {
  if (Leads(now)) return {};
  const std::string leader = voter_.CoordinatorOf(now);
  if (!leader.empty() && voter_.role() == Voter::Role::kFollower) return "ask " + leader;
  std::string missing;
  for (const std::string& name : voter_.Missing(now)) missing += (missing.empty() ? "" : ", ") + name;
  return "nobody coordinates changes; not heard of: " +
         (missing.empty() ? "none, wait for the election" : missing);
}

Desk::Receipt Desk::Change(TimePoint now, const Edit& edit, std::vector<VoterMessage>& out) {
  if (!Leads(now)) return {0, 0, Leaderless(now)};
  if (next_) return {0, 0, "another decision is on its way; ask again"};
  Ledger next = *state_;
  const std::string why = edit(next);
  next.Settle(now);
  // What is refused may have begun something: a permit that has to end before the next.
  if (next.Alike(*state_) && now - written_ < kRewrite) {
    if (!why.empty()) return {0, 0, why};
    state_ = std::move(next);
    return {term_, decided_, {}};
  }
  const std::string bytes = next.Pack(now);
  if (bytes.size() > kLargestValue)
    return {0, 0, "the state would exceed 64 KiB; close incidents or wait for permits to end"};
  const std::uint64_t version = voter_.Write(bytes, now, out);
  if (version == 0) return {0, 0, Leaderless(now)};
  next_ = std::move(next);
  next_version_ = version;
  written_ = now;
  Follow(now);
  return {term_, why.empty() ? version : 0, why};
}

std::optional<Word> Desk::Confirm(const std::string& change, TimePoint now) {
  if (!Leads(now)) return std::nullopt;
  Word word = state_->Confirm(change, now);
  if (next_) next_->Confirm(change, now);
  word.term = term_;
  word.version = decided_;
  return word;
}

void Desk::Hear(const Evidence& evidence, TimePoint now, std::vector<VoterMessage>& out) {
  if (!Leads(now) || next_) return;
  Ledger next = *state_;
  std::string why;
  next.incidents.Hear(evidence, now, why);
  if (next.Alike(*state_)) {
    state_ = std::move(next);
  } else {
    Change(
        now, [&](Ledger& ledger) { return ledger.incidents.Hear(evidence, now, why), std::string(); }, out);
  }
}

}  // namespace mothrack::change_freeze
