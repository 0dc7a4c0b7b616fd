#include "ctl/driver.h"

#include <unistd.h>

#include <algorithm>
#include <random>
#include <utility>

#include "agent/clock.h"
#include "rollout/wire.h"

namespace mothrack::ctl {
namespace {

using nlohmann::json;

// The longest wait in the event loop before timeouts are checked again.
constexpr rollout::Duration kMaxLoopWait{20};

std::string RandomText() {
  std::random_device random;
  return std::to_string(std::uint64_t{random()} << 32 | random());
}

}  // namespace

// An agent's answer to a request that needs the lease.
struct Driver::LeaseAnswer {
  rollout::Lessor::Verdict verdict = rollout::Lessor::Verdict::kFenced;
  std::optional<rollout::Holder> holder;  // another holder of the lease
  std::string refusal_text;               // why the request was refused, if the verdict is not the reason
  bool open = false;
  rollout::Epoch highest = 0;
};

Driver::Driver(boost::asio::io_context& io, std::vector<agent::AgentEndpoint> agents,
               std::function<void(const std::string&)> print_line)
    : io_(io), agents_(std::move(agents)), print_line_(std::move(print_line)) {}

Driver::Outcome Driver::CarryOut(const rollout::Plan& plan, rollout::Change::Direction direction,
                                 bool resuming, const std::string& who, rollout::Duration lease_time) {
  const rollout::Holder holder = HolderOf(plan, who);
  const Lease lease = AcquireLease(plan, holder, resuming);
  Outcome outcome;
  outcome.claim_error = lease.claim_error;
  if (outcome.claim_error) return outcome;
  rollout::Change change(plan, direction, lease.epoch, lease_time, lease.since);
  RunChange(change, lease.epoch, holder.claim_id);
  outcome.end = change.end().value_or(rollout::ChangeEnd::kHeld);
  // Change has already printed the end and its reason if it ended by itself.
  if (!change.end())
    print_line_(plan.id + " held: interrupted; the agents finish the steps that they have accepted");
  const bool close = outcome.end != rollout::ChangeEnd::kHeld;
  const auto not_released = Release(lease.epoch, holder.claim_id, close);
  if (close) outcome.left_open = not_released;
  return outcome;
}

Driver::Outcome Driver::Close(const rollout::Plan& plan, const std::string& who) {
  const rollout::Holder holder = HolderOf(plan, who);
  const Lease lease = AcquireLease(plan, holder, true);
  Outcome outcome;
  outcome.claim_error = lease.claim_error;
  if (outcome.claim_error) return outcome;
  outcome.end = rollout::ChangeEnd::kAborted;
  outcome.left_open = Release(lease.epoch, holder.claim_id, true);
  return outcome;
}

rollout::Holder Driver::HolderOf(const rollout::Plan& plan, const std::string& who) {
  char host[64] = "";
  ::gethostname(host, sizeof host - 1);
  const std::string claim_id = std::string(host) + '.' + std::to_string(::getpid()) + '.' + RandomText() +
                               '.' + std::to_string(++claims_);
  return {plan.id, who, plan.why, agent::UnixNow(), claim_id};
}

// The claim in progress, with the state that the agents' answers change. It is a local variable of
// AcquireLease(), so answers that arrive after the claim's end must not access it; see Driver::run_lifetime_.
struct Driver::ClaimRun {
  const rollout::Plan& plan;
  const rollout::Holder& holder;
  rollout::Claim claim;
  std::optional<ClaimError> agent_error{};  // an agent's error or refusal instead of a verdict
  rollout::Epoch last_epoch = 0;            // the highest that was requested
};

Driver::Lease Driver::AcquireLease(const rollout::Plan& plan, const rollout::Holder& holder, bool resuming) {
  std::set<std::string> names;
  for (const agent::AgentEndpoint& agent : agents_) names.insert(agent.name);
  std::set<std::string> required;
  for (const rollout::Target& target : plan.targets) required.insert(target.name.agent);
  EndRun();
  ClaimRun run{plan, holder,
               rollout::Claim(holder.claim_id, names, required, resuming, kTimeout, agent::SteadyNow())};
  const rollout::Claim& claim = run.claim;
  while (!claim.granted() && claim.rejection().empty() && !interrupted_ && !run.agent_error) {
    std::vector<rollout::ClaimCommand> commands;
    run.claim.Tick(agent::SteadyNow(), commands);
    for (const rollout::ClaimCommand& command : commands) {
      SendClaimCommand(run, command);
      run.last_epoch = std::max(run.last_epoch, command.epoch);
    }
    RunEventLoop(kMaxLoopWait);
  }
  EndRun();
  if (claim.granted()) return {claim.granted()->epoch, claim.granted()->since, {}};
  Lease lease;
  lease.epoch = run.last_epoch;
  if (run.agent_error) {
    lease.claim_error = std::move(run.agent_error);
  } else if (interrupted_) {
    lease.claim_error = ClaimError{ClaimError::Cause::kInterrupted};
  } else {
    lease.claim_error = ClaimError{ClaimError::Cause::kRejected, {}, claim.rejection()};
  }
  // A rejected claim has released the leases that it was granted, but a claim that ended by an interrupt or
  // an agent's error has not.
  if (lease.epoch > 0) Release(lease.epoch, holder.claim_id, false);
  return lease;
}

void Driver::SendClaimCommand(ClaimRun& run, const rollout::ClaimCommand& command) {
  switch (command.kind) {
    case rollout::ClaimCommand::Kind::kReadEpoch:
      return ReadEpoch(run, command.agent);
    case rollout::ClaimCommand::Kind::kAcquire:
    case rollout::ClaimCommand::Kind::kOpen:
      return RequestLease(run, command);
    case rollout::ClaimCommand::Kind::kRelease:
      return Send(
          command.agent, "/v1/lease",
          {{"ask", "release"}, {"epoch", command.epoch}, {"tool", run.holder.claim_id}, {"close", false}},
          [](const admin_client::Response&) {});
  }
}

void Driver::ReadEpoch(ClaimRun& run, const std::string& agent) {
  const agent::AgentEndpoint& endpoint = EndpointOf(agent);
  admin_client::SendRequest(
      io_, {endpoint.address, endpoint.token, "GET", "/v1/agent", {}}, kTimeout,
      [&run, run_lifetime = std::weak_ptr(run_lifetime_), agent](const admin_client::Response& response) {
        if (run_lifetime.expired()) return;
        if (response.ok()) {
          run.claim.OnHighestEpoch(agent, response.body.value("highest", rollout::Epoch{0}));
        } else if (response.transport_error.empty()) {
          run.agent_error = ClaimError{ClaimError::Cause::kAgentError, agent, response.ErrorText()};
        }
      });
}

void Driver::RequestLease(ClaimRun& run, const rollout::ClaimCommand& command) {
  const bool opens = command.kind == rollout::ClaimCommand::Kind::kOpen;
  json body = {
      {"ask", opens ? "open" : "acquire"}, {"epoch", command.epoch}, {"holder", rollout::ToJson(run.holder)}};
  if (opens) body["plan"] = rollout::ToJson(run.plan);
  Send(
      command.agent, "/v1/lease", std::move(body),
      [&run, command, claim_id = run.holder.claim_id](const admin_client::Response& response) {
        const auto answer = ParseLeaseAnswer(response);
        if (!answer) {
          // If there was no answer at all, the claim repeats the request.
          if (response.transport_error.empty()) {
            run.agent_error = ClaimError{ClaimError::Cause::kAgentError, command.agent, response.ErrorText()};
          }
          return;
        }
        if (!answer->refusal_text.empty()) {
          run.agent_error = ClaimError{ClaimError::Cause::kAgentRefused, command.agent, answer->refusal_text};
          return;
        }
        run.claim.OnLeaseAnswer(claim_id, command.agent, command.epoch, answer->verdict, answer->holder,
                                answer->open);
      });
}

// The change in progress, and the lease that its commands are sent with.
struct Driver::ChangeRun {
  rollout::Change& change;
  const rollout::Epoch epoch;
  const std::string& claim_id;
};

void Driver::RunChange(rollout::Change& change, rollout::Epoch epoch, const std::string& claim_id) {
  ChangeRun run{change, epoch, claim_id};
  while (!change.end() && !interrupted_) {
    std::vector<rollout::ChangeCommand> commands;
    const rollout::TimePoint now = agent::SteadyNow();
    change.Tick(now, commands);
    // One report of an agent covers all of its instances and renews its lease.
    std::map<std::string, std::vector<ReportRequest>> reports;
    for (const rollout::ChangeCommand& command : commands) {
      switch (command.kind) {
        case rollout::ChangeCommand::Kind::kPrint:
          print_line_(command.line);
          break;
        case rollout::ChangeCommand::Kind::kRenew:
          reports[command.name.agent];
          break;
        case rollout::ChangeCommand::Kind::kReport:
          reports[command.name.agent].push_back({command.name, command.number});
          break;
        case rollout::ChangeCommand::Kind::kSendStep:
          SendStep(run, command, now);
          break;
      }
    }
    for (const auto& [agent, requests] : reports) RequestReports(run, agent, requests, now);
    if (!change.end()) RunEventLoop(kMaxLoopWait);
  }
  EndRun();
}

void Driver::SendStep(ChangeRun& run, const rollout::ChangeCommand& command, rollout::TimePoint now) {
  Send(command.name.agent, "/v1/take",
       {{"epoch", run.epoch},
        {"tool", run.claim_id},
        {"instance", command.name.instance},
        {"step", rollout::ToJson(command.step)}},
       [&change = run.change, command, now](const admin_client::Response& response) {
         const auto answer = ParseLeaseAnswer(response);
         if (!answer || !ConfirmLease(change, command.name.agent, *answer, now)) return;
         if (!answer->refusal_text.empty()) return change.OnStepRejected(command.name, answer->refusal_text);
         if (!response.body.contains("report")) return;
         change.OnReport(command.name, command.number, rollout::ReportFrom(response.body["report"]), now);
       });
}

void Driver::RequestReports(ChangeRun& run, const std::string& agent,
                            const std::vector<ReportRequest>& requests, rollout::TimePoint now) {
  Send(agent, "/v1/report", {{"epoch", run.epoch}, {"tool", run.claim_id}},
       [&change = run.change, agent, requests, now](const admin_client::Response& response) {
         const auto answer = ParseLeaseAnswer(response);
         if (!answer || !ConfirmLease(change, agent, *answer, now)) return;
         for (const auto& [name, number] : requests) {
           const json& reports = response.body.value("reports", json::object());
           if (reports.contains(name.instance)) {
             change.OnReport(name, number, rollout::ReportFrom(reports[name.instance]), now);
           } else {
             change.OnStepRejected(name, "its agent has no such instance");
           }
         }
       });
}

bool Driver::ConfirmLease(rollout::Change& change, const std::string& agent, const LeaseAnswer& answer,
                          rollout::TimePoint sent_at) {
  if (answer.verdict != rollout::Lessor::Verdict::kGranted) {
    change.OnFenced(agent, answer.holder ? answer.holder->who : "");
    return false;
  }
  change.OnLeaseRenewed(agent, sent_at);
  return true;
}

std::optional<Driver::LeaseAnswer> Driver::ParseLeaseAnswer(const admin_client::Response& response) {
  if (!response.ok()) return std::nullopt;
  try {
    LeaseAnswer answer;
    answer.verdict = rollout::VerdictFrom(rollout::Member<std::string>(response.body, "verdict"));
    answer.refusal_text = rollout::Member<std::string>(response.body, "refused");
    answer.open = rollout::Member<bool>(response.body, "open");
    answer.highest = rollout::Member<std::uint64_t>(response.body, "highest");
    if (response.body.contains("holder")) answer.holder = rollout::HolderFrom(response.body["holder"]);
    return answer;
  } catch (const std::invalid_argument&) {
    return std::nullopt;
  }
}

std::set<std::string> Driver::Release(rollout::Epoch epoch, const std::string& claim_id, bool close) {
  constexpr int kAttempts = 3;  // each waits for kTimeout at most
  std::set<std::string> not_released;
  for (const agent::AgentEndpoint& agent : agents_) not_released.insert(agent.name);
  for (int i = 0; i < kAttempts && !not_released.empty(); ++i) {
    const json body = {{"ask", "release"}, {"epoch", epoch}, {"tool", claim_id}, {"close", close}};
    for (const auto& [name, reply] : RequestAll("POST", "/v1/lease", body, not_released)) {
      if (reply.ok()) not_released.erase(name);
    }
  }
  return not_released;
}

std::map<std::string, admin_client::Response> Driver::RequestAll(const std::string& method,
                                                                 const std::string& target,
                                                                 const std::optional<json>& body,
                                                                 const std::set<std::string>& only) {
  // Shared with the handlers, which the event loop may destroy after this has returned.
  const auto replies = std::make_shared<std::map<std::string, admin_client::Response>>();
  std::size_t requests_sent = 0;
  for (const agent::AgentEndpoint& agent : agents_) {
    if (!only.empty() && !only.contains(agent.name)) continue;
    ++requests_sent;
    admin_client::SendRequest(
        io_, {agent.address, agent.token, method, target, body}, kTimeout,
        [replies, name = agent.name](admin_client::Response reply) { (*replies)[name] = std::move(reply); });
  }
  while (replies->size() < requests_sent) RunEventLoop(kMaxLoopWait);
  return *replies;
}

const agent::AgentEndpoint& Driver::EndpointOf(const std::string& agent) const {
  return *std::find_if(agents_.begin(), agents_.end(),
                       [&](const agent::AgentEndpoint& endpoint) { return endpoint.name == agent; });
}

void Driver::Send(const std::string& agent, const std::string& target, json body,
                  std::function<void(const admin_client::Response&)> on_response) {
  const agent::AgentEndpoint& endpoint = EndpointOf(agent);
  admin_client::SendRequest(
      io_, {endpoint.address, endpoint.token, "POST", target, std::move(body)}, kTimeout,
      [this, agent, run_lifetime = std::weak_ptr(run_lifetime_),
       on_response = std::move(on_response)](const admin_client::Response& reply) {
        if (run_lifetime.expired()) return;
        try {
          on_response(reply);
        } catch (const std::invalid_argument& e) {
          print_line_(agent +
                      ": its answer can't be parsed: " + e.what());  // handled as if there were no answer
        }
      });
}

void Driver::RunEventLoop(rollout::Duration time) {
  io_.restart();
  // All events that are ready are handled at once; `time` only bounds the wait for the first one.
  if (io_.run_one_for(time) > 0) io_.poll();
}

void Driver::EndRun() { run_lifetime_ = std::make_shared<int>(); }

}  // namespace mothrack::ctl
