// Carries out changes over the network: Claim and Change (src/rollout) decide what to do, and the driver
// calls the agents' admin API. mothrackctl may be killed at any time; src/rollout/change.h says what state
// that leaves. Single-threaded; the functions that wait run the event loop themselves.
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
  // The timeout of one request to one agent. A claim also waits this long for an agent before it counts as
  // unreachable.
  static constexpr rollout::Duration kTimeout{3000};

  // `print_line` prints a line for the operator.
  Driver(boost::asio::io_context& io, std::vector<agent::AgentEndpoint> agents,
         std::function<void(const std::string&)> print_line);

  struct Outcome {
    std::optional<ClaimError> claim_error;  // why no step was sent; nullopt if the change was begun
    rollout::ChangeEnd end = rollout::ChangeEnd::kHeld;
    std::set<std::string> left_open;  // agents that could not be reached to close the change
  };
  // Claims the lease, opens the change, and carries it out until it ends or is interrupted. `resuming`: the
  // change was opened before. `who`: the operator's name. `lease_time`: the shortest of the agents' lease
  // times.
  Outcome CarryOut(const rollout::Plan& plan, rollout::Change::Direction direction, bool resuming,
                   const std::string& who, rollout::Duration lease_time);
  // Claims the open change and closes it without undoing its steps.
  Outcome Close(const rollout::Plan& plan, const std::string& who);
  // Interrupts the claim or change in progress; the change stays open. Called from a signal handler in the
  // event loop.
  void Interrupt() { interrupted_ = true; }

  // Sends the same request to all agents, or those in `only`, at once and waits for all responses, for
  // kTimeout at most. Returns the responses by agent.
  std::map<std::string, admin_client::Response> RequestAll(const std::string& method,
                                                           const std::string& target,
                                                           const std::optional<nlohmann::json>& body,
                                                           const std::set<std::string>& only = {});

  const std::vector<agent::AgentEndpoint>& agents() const { return agents_; }

 private:
  // The result of a claim.
  struct Lease {
    rollout::Epoch epoch = 0;               // the lease's fencing token
    rollout::TimePoint since;               // no agent granted the lease before this time
    std::optional<ClaimError> claim_error;  // why it was not granted; nullopt if it was
  };
  struct ClaimRun;
  struct ChangeRun;
  struct LeaseAnswer;
  // A request for a report on an instance. The number is passed to the change with the answer.
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
  // Passes the lease's part of an answer to the change. Returns false if the lease is lost.
  static bool ConfirmLease(rollout::Change& change, const std::string& agent, const LeaseAnswer& answer,
                           rollout::TimePoint sent_at);
  // Returns nullopt if the response is an error or can't be parsed.
  static std::optional<LeaseAnswer> ParseLeaseAnswer(const admin_client::Response& response);

  // Releases the lease at all agents; with `close`, also closes the change. Returns the agents that did not
  // confirm it.
  std::set<std::string> Release(rollout::Epoch epoch, const std::string& claim_id, bool close);
  rollout::Holder HolderOf(const rollout::Plan& plan, const std::string& who);
  const agent::AgentEndpoint& EndpointOf(const std::string& agent) const;
  void Send(const std::string& agent, const std::string& target, nlohmann::json body,
            std::function<void(const admin_client::Response&)> on_response);
  // Ends the claim or change in progress: later answers to it are dropped.
  void EndRun();
  // Runs the handlers that are ready. If none is, waits for one, for `time` at most.
  void RunEventLoop(rollout::Duration time);

  boost::asio::io_context& io_;
  const std::vector<agent::AgentEndpoint> agents_;
  const std::function<void(const std::string&)> print_line_;
  bool interrupted_ = false;
  int claims_ = 0;
  // Expires when the claim or change in progress ends. Handlers refer to local variables of that claim or
  // change and hold a weak pointer to this, so that an answer that arrives after the end is dropped.
  std::shared_ptr<int> run_lifetime_ = std::make_shared<int>();
};

}  // namespace mothrack::ctl
