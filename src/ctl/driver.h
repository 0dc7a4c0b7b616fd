// A tool's side of a change over the network: drives Claim and Change (which decide) by calling the agents'
// admin API. The tool may die at any time: see src/rollout/change.h for what that leaves. One thread; the
// functions that wait run the event loop themselves.
#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "admin_client/admin_client.h"
#include "agent/agent_list.h"
#include "ctl/claim_error.h"
#include "rollout/change.h"
#include "rollout/claim.h"
#include "rollout/plan.h"

namespace mothrack::ctl {

class Driver {
 public:
  // For one request to one agent; also how long a claim waits for an agent before it counts as unreachable.
  static constexpr rollout::Duration kTimeout{3000};

  // `say`: prints a line for the operator.
  Driver(boost::asio::io_context& io, std::vector<agent::AgentEndpoint> agents,
         std::function<void(const std::string&)> say);

  struct Outcome {
    std::optional<ClaimError> refused;  // why no step was sent; nothing: the change was begun
    rollout::ChangeEnd end = rollout::ChangeEnd::kHeld;
    std::set<std::string> left_open;  // agents that could not be reached to close the change
  };
  // Claims the lease, opens the change, and carries it out until it ends or is interrupted. `resuming`: it
  // was opened before. `who`: the operator's name. `lease_time`: the shortest of the agents'.
  Outcome CarryOut(const rollout::Plan& plan, rollout::Change::Direction direction, bool resuming,
                   const std::string& who, rollout::Duration lease_time);
  // Claims the open change and closes it as it stands.
  Outcome Close(const rollout::Plan& plan, const std::string& who);
  // Ends what is under way, held; from a signal handler of the event loop.
  void Interrupt() { interrupted_ = true; }

  // Sends the same request to all agents, or those in `only`, at once and waits for all responses, kTimeout
  // at most. By agent.
  std::map<std::string, admin_client::Response> RequestAll(const std::string& method,
                                                           const std::string& target,
                                                           const std::optional<nlohmann::json>& body,
                                                           const std::set<std::string>& only = {});

  const std::vector<agent::AgentEndpoint>& agents() const { return agents_; }

 private:
  // What a claim came to.
  struct Lease {
    rollout::Epoch epoch = 0;           // its fencing token
    rollout::TimePoint since;           // no agent granted it earlier
    std::optional<ClaimError> refused;  // why it was not granted; nothing: it was
  };
  struct ClaimRun;
  struct ChangeRun;
  struct LeaseAnswer;
  // A request for a report: of which instance, and the number that is handed back with the answer.
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
  // Hands the lease's part of an answer to the change; false: the lease is lost.
  static bool ConfirmLease(rollout::Change& change, const std::string& agent, const LeaseAnswer& answer,
                           rollout::TimePoint sent_at);
  // Nothing where an agent gave no answer that can be read.
  static std::optional<LeaseAnswer> ParseLeaseAnswer(const admin_client::Response& response);

  // Releases the lease at all agents, with `close` the change, too. The agents that were not reached.
  std::set<std::string> Release(rollout::Epoch epoch, const std::string& claim_id, bool close);
  rollout::Holder HolderOf(const rollout::Plan& plan, const std::string& who);
  const agent::AgentEndpoint& EndpointOf(const std::string& agent) const;
  void Send(const std::string& agent, const std::string& target, nlohmann::json body,
            std::function<void(const admin_client::Response&)> on_response);
  // Drops the answers to the claim or change under way from now on.
  void EndRun();
  // Runs the handlers that are ready; where none is, waits for one, for `time` at most.
  void RunEventLoop(rollout::Duration time);

  boost::asio::io_context& io_;
  const std::vector<agent::AgentEndpoint> agents_;
  const std::function<void(const std::string&)> say_;
  bool interrupted_ = false;
  int claims_ = 0;
  // Expires with the claim or change under way. Handlers refer to its locals and hold this weakly, so that an
  // answer that comes after its end is dropped.
  std::shared_ptr<int> run_lifetime_ = std::make_shared<int>();
};

}  // namespace mothrack::ctl
