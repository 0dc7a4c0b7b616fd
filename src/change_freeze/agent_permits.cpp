#include "change_freeze/agent_permits.h"

namespace mothrack::change_freeze {

namespace {
constexpr Duration kLapsedRetention{60'000};  // what has lapsed for so long helps nobody to see why
}  // namespace

bool AgentPermits::OnConfirmation(const PermitConfirmation& confirmation, TimePoint request_sent) {
  if (confirmation.term < record_.term) return false;
  if (confirmation.term > record_.term) {
    record_.term = confirmation.term;
    confirmations_.clear();
    version_ = 0;
  }
  // Two answers may overtake each other.
  if (confirmation.version < version_) return false;
  version_ = confirmation.version;
  leaderless_.clear();
  std::erase_if(confirmations_,
                [&](const auto& entry) { return entry.second.until + kLapsedRetention < request_sent; });
  const TimePoint until = request_sent + Shortened(kPermitValidity);
  const auto known = confirmations_.find(confirmation.change);
  if (known != confirmations_.end() && until < known->second.until &&
      confirmation.version == known->second.confirmation.version)
    return true;
  confirmations_[confirmation.change] = {confirmation, until};
  return true;
}

AgentPermits::Decision AgentPermits::Check(const std::string& change, ChangeKind kind, std::uint32_t batch,
                                           TimePoint now) const {
  const auto break_glass = break_glass_until_.find(change);
  if (break_glass != break_glass_until_.end() && now < break_glass->second) return {Verdict::kBreakGlass, {}};
  const auto it = confirmations_.find(change);
  const bool valid = it != confirmations_.end() && now < it->second.until;
  if (!valid) {
    if (!leaderless_.empty()) return {Verdict::kLapsed, leaderless_};
    if (it == confirmations_.end())
      return {Verdict::kNone, "the coordinator has not said that " + change + " may go on"};
    return {Verdict::kLapsed,
            "no word of the coordinator of term " + std::to_string(record_.term) + " for too long"};
  }
  const PermitConfirmation& confirmation = it->second.confirmation;
  if (confirmation.state == PermitConfirmation::State::kBlocked)
    return {Verdict::kBlocked, confirmation.reason};
  if (confirmation.state == PermitConfirmation::State::kNone || confirmation.kind != kind) {
    return {Verdict::kNone, confirmation.reason.empty() ? "the coordinator has given no permit for this"
                                                        : confirmation.reason};
  }
  if (batch <= confirmation.batch) return {Verdict::kAllowed, {}};
  if (confirmation.state == PermitConfirmation::State::kPaused)
    return {Verdict::kPaused, confirmation.reason};
  return {Verdict::kNone, "the permit goes to batch " + std::to_string(confirmation.batch)};
}

std::string AgentPermits::BreakGlass(const std::string& change, const std::string& who, bool viewer,
                                     const std::string& reason, TimePoint now) {
  if (viewer) return "a viewer can't break the glass; ask an operator";
  if (reason.empty() || who.empty() || change.empty())
    return "say who breaks the glass, for which change, and why";
  if (record_.unreported.size() >= kMaxUnreportedBreakGlass)
    return "the coordinator has not heard of the last " + std::to_string(kMaxUnreportedBreakGlass);
  record_.unreported.push_back({++record_.break_glass_count, agent_, change, who, reason.substr(0, 200)});
  break_glass_until_[change] = now + kBreakGlassDuration;
  return {};
}

void AgentPermits::OnBreakGlassReported(std::uint64_t number) {
  std::erase_if(record_.unreported,
                [&](const BreakGlassRecord& break_glass) { return break_glass.number <= number; });
}

}  // namespace mothrack::change_freeze
