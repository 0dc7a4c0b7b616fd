#include "rollout/claim.h"

#include <algorithm>

namespace mothrack::rollout {
namespace {

// A question without an answer is put again.
constexpr Duration kAgain{400};

std::string HeldBy(const std::string& agent, const std::optional<Holder>& holder) {
  if (!holder) return agent + " was claimed by another at the same instant; try again";
  return holder->who + " has the fleet for " + holder->change + " (" + holder->why + ")";
}

}  // namespace

Claim::Claim(std::string tool, std::set<std::string> agents, std::set<std::string> needed, bool resumes,
             Duration patience, TimePoint now)
    : tool_(std::move(tool)),
      agents_(std::move(agents)),
      needed_(std::move(needed)),
      resumes_(resumes),
      patience_(patience),
      since_(now) {}

void Claim::Looked(const std::string& agent, Epoch highest) {
  if (epoch_ == 0 && agents_.contains(agent)) looked_[agent] = highest;
}

void Claim::Answered(const std::string& tool, const std::string& agent, Epoch epoch,
                     LeaseBook::Verdict verdict, const std::optional<Holder>& holder, bool open) {
  if (tool != tool_ || epoch != epoch_ || next_ >= order_.size() || order_[next_] != agent || !asked_) return;
  if (verdict == LeaseBook::Verdict::kGranted) {
    got_.insert(agent);
    open_somewhere_ = open_somewhere_ || open;
    ++next_;
    asked_ = false;
  } else {
    const bool known = verdict == LeaseBook::Verdict::kHeld || verdict == LeaseBook::Verdict::kOpen;
    fault_ = HeldBy(agent, known ? holder : std::nullopt);
    if (verdict == LeaseBook::Verdict::kOpen)
      fault_ += ", and it is not closed; resume, undo or abort it first";
  }
}

bool Claim::Enough(const std::set<std::string>& agents) const {
  return agents.size() * 2 > agents_.size() &&
         std::includes(agents.begin(), agents.end(), needed_.begin(), needed_.end());
}

std::string Claim::Missing(const std::set<std::string>& agents) const {
  std::string names;
  for (const std::string& agent : agents_) {
    if (!agents.contains(agent)) names += (names.empty() ? "" : ", ") + agent;
  }
  return names;
}

void Claim::Refuse(const std::string& why, std::vector<ClaimCommand>& commands) {
  refused_ = why;
  // Also where no answer came: it may have been granted all the same.
  const std::size_t asked = opening_ ? order_.size() : std::min(order_.size(), next_ + 1);
  for (std::size_t i = 0; i < asked; ++i) {
    commands.push_back({ClaimCommand::Kind::kRelease, order_[i], epoch_});
  }
}

void Claim::Turn(TimePoint now, std::vector<ClaimCommand>& commands) {
  if (granted_ || !refused_.empty()) return;
  if (!fault_.empty()) return Refuse(fault_, commands);
  if (epoch_ == 0 && !Looking(now, commands)) return;
  while (next_ < order_.size() && asked_ && now - since_ >= patience_) {
    // It may have been granted, and is given back. Without it, the rest may be enough.
    commands.push_back({ClaimCommand::Kind::kRelease, order_[next_], epoch_});
    order_.erase(order_.begin() + static_cast<std::ptrdiff_t>(next_));
    asked_ = false;
  }
  if (next_ < order_.size()) return Ask(now, commands);
  if (!Enough(got_)) return Refuse("can't be reached: " + Missing(got_), commands);
  if (!opening_) {
    if (resumes_ && !open_somewhere_) return Refuse("the change has come to its end meanwhile", commands);
    opening_ = true;
    got_.clear();
    next_ = 0;
    return Ask(now, commands);
  }
  granted_ = Granted{epoch_, *first_asked_};
}

// False while the epoch is not known yet.
bool Claim::Looking(TimePoint now, std::vector<ClaimCommand>& commands) {
  if (!looking_) since_ = now;
  if (!looking_ || now - again_ >= kAgain) {
    for (const std::string& agent : agents_) {
      if (!looked_.contains(agent)) commands.push_back({ClaimCommand::Kind::kLook, agent, 0});
    }
    looking_ = true;
    again_ = now;
  }
  if (looked_.size() < agents_.size() && now - since_ < patience_) return false;
  std::set<std::string> there;
  for (const auto& [agent, highest] : looked_) {
    there.insert(agent);
    order_.push_back(agent);
    epoch_ = std::max(epoch_, highest);
  }
  ++epoch_;
  if (Enough(there)) return true;
  Refuse("can't be reached: " + Missing(there), commands);
  return false;
}

// The agent whose turn it is; again where no answer came.
void Claim::Ask(TimePoint now, std::vector<ClaimCommand>& commands) {
  if (asked_ && now - again_ < kAgain) return;
  if (!asked_) since_ = now;
  asked_ = true;
  again_ = now;
  if (!first_asked_) first_asked_ = now;
  const auto kind = opening_ ? ClaimCommand::Kind::kOpen : ClaimCommand::Kind::kAcquire;
  commands.push_back({kind, order_[next_], epoch_});
}

}  // namespace mothrack::rollout
