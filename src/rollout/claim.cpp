#include "rollout/claim.h"

#include <algorithm>

namespace mothrack::rollout {
namespace {

// An unanswered request is repeated after this time.
constexpr Duration kRetryInterval{400};

std::string DescribeConflict(const std::string& agent, const std::optional<Holder>& holder) {
  if (!holder) return agent + " was claimed by another tool at the same time; try again";
  return holder->who + " holds the lease of the fleet for " + holder->change + " (" + holder->why + ")";
}

}  // namespace

Claim::Claim(std::string claim_id, std::set<std::string> agents, std::set<std::string> required,
             bool resuming, Duration timeout, TimePoint now)
    : claim_id_(std::move(claim_id)),
      agents_(std::move(agents)),
      required_(std::move(required)),
      resuming_(resuming),
      timeout_(timeout),
      request_started_at_(now) {}

void Claim::OnHighestEpoch(const std::string& agent, Epoch highest) {
  if (epoch_ == 0 && agents_.contains(agent)) highest_by_agent_[agent] = highest;
}

void Claim::OnLeaseAnswer(const std::string& claim_id, const std::string& agent, Epoch epoch,
                          Lessor::Verdict verdict, const std::optional<Holder>& holder, bool open) {
  if (claim_id != claim_id_ || epoch != epoch_ || next_agent_ >= claim_order_.size() ||
      claim_order_[next_agent_] != agent || !request_pending_)
    return;
  if (verdict == Lessor::Verdict::kGranted) {
    granted_by_.insert(agent);
    open_at_any_agent_ = open_at_any_agent_ || open;
    ++next_agent_;
    request_pending_ = false;
  } else {
    const bool holder_known = verdict == Lessor::Verdict::kHeld || verdict == Lessor::Verdict::kOpen;
    fault_ = DescribeConflict(agent, holder_known ? holder : std::nullopt);
    if (verdict == Lessor::Verdict::kOpen) fault_ += ", which is still open; resume, undo or abort it first";
  }
}

bool Claim::HasQuorum(const std::set<std::string>& agents) const {
  return agents.size() * 2 > agents_.size() &&
         std::includes(agents.begin(), agents.end(), required_.begin(), required_.end());
}

std::string Claim::MissingFrom(const std::set<std::string>& agents) const {
  std::string names;
  for (const std::string& agent : agents_) {
    if (!agents.contains(agent)) names += (names.empty() ? "" : ", ") + agent;
  }
  return names;
}

void Claim::Reject(const std::string& reason, std::vector<ClaimCommand>& commands) {
  rejection_ = reason;
  // This includes the agent whose answer is missing, because it may have granted the lease.
  const std::size_t contacted =
      opening_ ? claim_order_.size() : std::min(claim_order_.size(), next_agent_ + 1);
  for (std::size_t i = 0; i < contacted; ++i) {
    commands.push_back({ClaimCommand::Kind::kRelease, claim_order_[i], epoch_});
  }
}

void Claim::Tick(TimePoint now, std::vector<ClaimCommand>& commands) {
  if (granted_ || !rejection_.empty()) return;
  if (!fault_.empty()) return Reject(fault_, commands);
  if (epoch_ == 0 && !CollectEpochs(now, commands)) return;
  while (next_agent_ < claim_order_.size() && request_pending_ && now - request_started_at_ >= timeout_) {
    // Release it, because the agent may have granted the lease, and continue: the others may be a quorum.
    commands.push_back({ClaimCommand::Kind::kRelease, claim_order_[next_agent_], epoch_});
    claim_order_.erase(claim_order_.begin() + static_cast<std::ptrdiff_t>(next_agent_));
    request_pending_ = false;
  }
  if (next_agent_ < claim_order_.size()) return RequestNextAgent(now, commands);
  if (!HasQuorum(granted_by_)) return Reject("can't be reached: " + MissingFrom(granted_by_), commands);
  if (!opening_) {
    if (resuming_ && !open_at_any_agent_) return Reject("the change has ended in the meantime", commands);
    opening_ = true;
    granted_by_.clear();
    next_agent_ = 0;
    return RequestNextAgent(now, commands);
  }
  granted_ = Granted{epoch_, *first_request_at_};
}

bool Claim::CollectEpochs(TimePoint now, std::vector<ClaimCommand>& commands) {
  if (!epochs_requested_) request_started_at_ = now;
  if (!epochs_requested_ || now - last_sent_at_ >= kRetryInterval) {
    for (const std::string& agent : agents_) {
      if (!highest_by_agent_.contains(agent)) commands.push_back({ClaimCommand::Kind::kReadEpoch, agent, 0});
    }
    epochs_requested_ = true;
    last_sent_at_ = now;
  }
  if (highest_by_agent_.size() < agents_.size() && now - request_started_at_ < timeout_) return false;
  std::set<std::string> reached;
  for (const auto& [agent, highest] : highest_by_agent_) {
    reached.insert(agent);
    claim_order_.push_back(agent);
    epoch_ = std::max(epoch_, highest);
  }
  ++epoch_;
  if (HasQuorum(reached)) return true;
  Reject("can't be reached: " + MissingFrom(reached), commands);
  return false;
}

void Claim::RequestNextAgent(TimePoint now, std::vector<ClaimCommand>& commands) {
  if (request_pending_ && now - last_sent_at_ < kRetryInterval) return;
  if (!request_pending_) request_started_at_ = now;
  request_pending_ = true;
  last_sent_at_ = now;
  if (!first_request_at_) first_request_at_ = now;
  const auto kind = opening_ ? ClaimCommand::Kind::kOpen : ClaimCommand::Kind::kAcquire;
  commands.push_back({kind, claim_order_[next_agent_], epoch_});
}

}  // namespace mothrack::rollout
