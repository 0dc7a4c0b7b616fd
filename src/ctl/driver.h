// A tool's side of a change over the network: drives Claim and Change (which decide) by calling the agents'
// admin API. It may die at any time; see src/rollout/change.h for what that leaves. One thread.
#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "admin_client/admin_client.h"
#include "agent/agent_list.h"
#include "rollout/change.h"
#include "rollout/claim.h"
#include "rollout/plan.h"

namespace mothrack::ctl {

class Driver {
 public:
  // For one request to one agent.
  static constexpr rollout::Duration kTimeout{3000};

  // `say`: a line for the operator.
  Driver(boost::asio::io_context& io, std::vector<agent::AgentPlace> agents,
         std::function<void(const std::string&)> say);

  struct Outcome {
    std::string refused;  // why it was not begun; empty: it was
    rollout::ChangeEnd end = rollout::ChangeEnd::kHeld;
    std::string why;
    std::set<std::string> left_open;  // agents that were not reached for the close
  };
  // `resuming`: it was opened before. `lease_time`: the shortest of the agents'.
  Outcome Carry(const rollout::Plan& plan, rollout::Change::Direction direction, bool resuming,
                const std::string& who, rollout::Duration lease_time);
  // Claims the open change and closes it as it stands.
  Outcome Close(const rollout::Plan& plan, const std::string& who);
  // Ends what is under way, held; from a signal handler of the event loop.
  void Interrupt() { interrupted_ = true; }

  // Asks all agents, or those named, the same at once, and waits for all answers.
  std::map<std::string, admin_client::Response> AskAll(const std::string& method, const std::string& target,
                                                       const std::optional<nlohmann::json>& body,
                                                       const std::set<std::string>& only = {});

  const std::vector<agent::AgentPlace>& agents() const { return agents_; }

 private:
  struct Lease {
    rollout::Epoch epoch = 0;
    rollout::TimePoint since;
    std::string refused;
  };
  struct ClaimRun;
  struct ChangeRun;
  struct LeaseAnswer;
  // A report that was asked for: of which instance, and the number that goes back with it.
  struct ReportRequest {
    rollout::InstanceName name;
    std::uint64_t number = 0;
  };

  // Acquires the lease of all agents for a plan and opens its change there.
  Lease AcquireLease(const rollout::Plan& plan, const rollout::Holder& holder, bool resuming);
  void SendClaimCommand(ClaimRun& run, const rollout::ClaimCommand& command);
  void ReadEpoch(ClaimRun& run, const std::string& agent);
  void RequestLease(ClaimRun& run, const rollout::ClaimCommand& command);

  // Drives a change until its end or an interrupt.
  void RunChange(rollout::Change& change, rollout::Epoch epoch, const std::string& claim_id);
  void SendStep(ChangeRun& run, const rollout::ChangeCommand& command, rollout::TimePoint now);
  void RequestReports(ChangeRun& run, const std::string& agent, const std::vector<ReportRequest>& requests,
                      rollout::TimePoint now);
  // Tells the change what an answer says of the lease; false: it is lost.
  static bool ConfirmLease(rollout::Change& change, const std::string& agent, const LeaseAnswer& answer,
                           rollout::TimePoint sent_at);
  // Nothing where an agent gave no answer that can be read.
  static std::optional<LeaseAnswer> ParseLeaseAnswer(const admin_client::Response& response);

  // Releases the lease at all agents, with `close` the change, too. The agents that were not reached.
  std::set<std::string> Release(rollout::Epoch epoch, const std::string& claim_id, bool close);
  rollout::Holder HolderOf(const rollout::Plan& plan, const std::string& who);
  const agent::AgentPlace& Of(const std::string& agent) const;
  void Send(const std::string& agent, const std::string& target, nlohmann::json body,
            std::function<void(const admin_client::Response&)> on_response);
  // Runs what is ready; where nothing is, waits for it, for `time` at most.
  void RunEventLoop(rollout::Duration time);

  boost::asio::io_context& io_;
  const std::vector<agent::AgentPlace> agents_;
  const std::function<void(const std::string&)> say_;
  bool interrupted_ = false;
  int claims_ = 0;
  // Of the claim or the change under way: handlers hold it weakly, as answers may come after its end.
  std::shared_ptr<int> life_ = std::make_shared<int>();
};

}  // namespace mothrack::ctl
