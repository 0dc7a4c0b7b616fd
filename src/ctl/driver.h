// A tool's side of a change over the network: drives Claim and Change (which decide) by asking the agents. It
// may die at any time; see src/rollout/change.h for what that leaves.
#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "admin_client/admin_client.h"
#include "agent/agent_file.h"
#include "rollout/change.h"
#include "rollout/claim.h"
#include "rollout/plan.h"

namespace mothrack::ctl {

class Driver {
 public:
  // For one question to one agent.
  static constexpr rollout::Duration kPatience{3000};

  // `say`: a line for the operator.
  Driver(boost::asio::io_context& io, std::vector<agent::AgentPlace> agents,
         std::function<void(const std::string&)> say);

  struct Outcome {
    std::string refused;  // why it was not begun; empty: it was
    rollout::ChangeEnd end = rollout::ChangeEnd::kHeld;
    std::string why;
    std::set<std::string> left_open;  // agents that were not reached for the close
  };
  // `resumes`: it was opened before. `lease_time`: the shortest of the agents'.
  Outcome Carry(const rollout::Plan& plan, rollout::Change::Direction direction, bool resumes,
                const std::string& who, rollout::Duration lease_time);
  // Claims the open change and closes it as it stands.
  Outcome Close(const rollout::Plan& plan, const std::string& who);
  // Ends what is under way, held; from a signal handler of the event loop.
  void Interrupt() { interrupted_ = true; }

  // Asks all agents, or those named, the same question at once.
  std::map<std::string, admin_client::Reply> AskAll(const std::string& method, const std::string& target,
                                                    const std::optional<nlohmann::json>& body,
                                                    const std::set<std::string>& only = {});

  const std::vector<agent::AgentPlace>& agents() const { return agents_; }

 private:
  struct Lease {
    rollout::Epoch epoch = 0;
    rollout::TimePoint since;
    std::string refused;
  };
  Lease ClaimAll(const rollout::Plan& plan, const rollout::Holder& holder, bool resumes);
  void Run(rollout::Change& change, rollout::Epoch epoch, const std::string& claim_id);
  std::set<std::string> Release(rollout::Epoch epoch, const std::string& claim_id, bool close);
  rollout::Holder HolderOf(const rollout::Plan& plan, const std::string& who);
  const agent::AgentPlace& Of(const std::string& agent) const;
  void Send(const std::string& agent, const std::string& target, nlohmann::json body,
            std::function<void(const admin_client::Reply&)> hear);
  // One turn of the event loop, for so long at most.
  void Pass(rollout::Duration time);

  boost::asio::io_context& io_;
  const std::vector<agent::AgentPlace> agents_;
  const std::function<void(const std::string&)> say_;
  bool interrupted_ = false;
  int claims_ = 0;
  // Answers to what is over must not touch it.
  std::shared_ptr<int> life_ = std::make_shared<int>();
};

}  // namespace mothrack::ctl
