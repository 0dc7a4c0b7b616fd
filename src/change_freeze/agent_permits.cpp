#include "change_freeze/agent_permits.h"

#include "change_freeze/bounds.h"

namespace mothrack::change_freeze {

namespace {

// How long a lapsed confirmation is kept, so that Check() can still tell that a permit has lapsed.
constexpr Duration kLapsedRetention{60'000};

}  // namespace

bool AgentPermits::OnConfirmation(const PermitConfirmation& confirmation, TimePoint request_sent) {
  if (confirmation.term < record_.term) return false;
  if (confirmation.term > record_.term) {
    record_.term = confirmation.term;
    confirmations_.clear();
    version_ = 0;
  }
  // Two answers may arrive in reverse order.
  if (confirmation.version < version_) return false;
  version_ = confirmation.version;
  leaderless_reason_.clear();
  std::erase_if(confirmations_,
                [&](const auto& entry) { return entry.second.until + kLapsedRetention < request_sent; });
  const TimePoint until = request_sent + Shortened(kPermitValidity);
  const auto known = confirmations_.find(confirmation.change);
  const bool known_longer = known != confirmations_.end() && until < known->second.until &&
                            confirmation.version == known->second.confirmation.version;
  if (!known_longer) confirmations_[confirmation.change] = {confirmation, until};
  return true;
}

AgentPermits::Decision AgentPermits::Check(const std::string& change, ChangeKind kind, std::uint32_t batch,
                                           TimePoint now) const {
  const auto override_end = break_glass_until_.find(change);
  if (override_end != break_glass_until_.end() && now < override_end->second)
    return {Verdict::kBreakGlass, {}};
  const auto known = confirmations_.find(change);
  if (known != confirmations_.end() && now < known->second.until)
    return CheckConfirmed(known->second.confirmation, kind, batch);
  if (!leaderless_reason_.empty()) return {Verdict::kLapsed, leaderless_reason_};
  if (known == confirmations_.end())
    return {Verdict::kNoPermit, "the coordinator has not confirmed a permit for " + change};
  return {Verdict::kLapsed, "the permit has lapsed: no confirmation from the coordinator of term " +
                                std::to_string(record_.term) + " for too long"};
}

AgentPermits::Decision AgentPermits::CheckConfirmed(const PermitConfirmation& confirmation, ChangeKind kind,
                                                    std::uint32_t batch) const {
  if (confirmation.state == PermitState::kBlocked) return {Verdict::kBlocked, confirmation.reason};
  if (confirmation.state == PermitState::kNone || confirmation.kind != kind) {
    return {Verdict::kNoPermit, confirmation.reason.empty() ? "the coordinator has granted no permit for this"
                                                            : confirmation.reason};
  }
  if (batch <= confirmation.batch) return {Verdict::kAllowed, {}};
  if (confirmation.state == PermitState::kPaused) return {Verdict::kPaused, confirmation.reason};
  return {Verdict::kNoPermit, "the permit covers batches up to " + std::to_string(confirmation.batch)};
}

Status AgentPermits::BreakGlass(const BreakGlassRequest& request, TimePoint now) {
  if (!MayBreakGlass(request.role))
    return {StatusCode::kNotAuthorized, "a viewer may not use break-glass; ask an operator"};
  if (request.reason.empty() || request.operator_name.empty() || request.change.empty())
    return {StatusCode::kInvalidRequest,
            "break-glass needs the operator's name, the change and the reason; give all three"};
  if (record_.unreported.size() >= kMaxUnreportedBreakGlass) {
    return {StatusCode::kLimitReached, "the coordinator has not recorded the last " +
                                           std::to_string(kMaxUnreportedBreakGlass) +
                                           " break-glass overrides of this agent"};
  }
  record_.unreported.push_back({++record_.break_glass_count, agent_, request.change, request.operator_name,
                                request.reason.substr(0, kMaxTextBytes)});
  break_glass_until_[request.change] = now + kBreakGlassDuration;
  return {};
}

void AgentPermits::OnBreakGlassReported(std::uint64_t number) {
  std::erase_if(record_.unreported, [&](const BreakGlassRecord& record) { return record.number <= number; });
}

}  // namespace mothrack::change_freeze
