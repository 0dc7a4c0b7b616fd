#include "ctl/driver.h"

#include <unistd.h>

#include <algorithm>
#include <random>
#include <utility>

#include "agent/agent_api.h"
#include "rollout/wire.h"

namespace mothrack::ctl {
namespace {

using nlohmann::json;

// An answer of an agent to a lease's question; nothing where it gave none that can be read.
struct Read {
  rollout::Lessor::Verdict verdict = rollout::Lessor::Verdict::kFenced;
  std::optional<rollout::Holder> holder;
  std::string refused;
  bool open = false;
  rollout::Epoch highest = 0;
};

std::optional<Read> ReadAnswer(const admin_client::Reply& reply) {
  if (!reply.ok()) return std::nullopt;
  try {
    Read read;
    read.verdict = rollout::VerdictFrom(rollout::Member<std::string>(reply.body, "verdict"));
    read.refused = rollout::Member<std::string>(reply.body, "refused");
    read.open = rollout::Member<bool>(reply.body, "open");
    read.highest = rollout::Member<std::uint64_t>(reply.body, "highest");
    if (reply.body.contains("holder")) read.holder = rollout::HolderFrom(reply.body["holder"]);
    return read;
  } catch (const std::invalid_argument&) {
    return std::nullopt;
  }
}

std::string RandomText() {
  std::random_device random;
  return std::to_string(std::uint64_t{random()} << 32 | random());
}

}  // namespace

Driver::Driver(boost::asio::io_context& io, std::vector<agent::AgentPlace> agents,
               std::function<void(const std::string&)> say)
    : io_(io), agents_(std::move(agents)), say_(std::move(say)) {}

const agent::AgentPlace& Driver::Of(const std::string& agent) const {
  return *std::find_if(agents_.begin(), agents_.end(),
                       [&](const agent::AgentPlace& a) { return a.name == agent; });
}

void Driver::Pass(rollout::Duration time) {
  io_.restart();
  // Whatever came is acted on at once; the time is for when nothing comes.
  if (io_.run_one_for(time) > 0) io_.poll();
}

void Driver::Send(const std::string& agent, const std::string& target, json body,
                  std::function<void(const admin_client::Reply&)> hear) {
  const agent::AgentPlace& place = Of(agent);
  admin_client::Ask(
      io_, {place.place, place.token, "POST", target, std::move(body)}, kPatience,
      [this, agent, life = std::weak_ptr(life_), hear = std::move(hear)](const admin_client::Reply& reply) {
        if (life.expired()) return;
        try {
          hear(reply);
        } catch (const std::invalid_argument& e) {
          say_(agent + ": its answer can't be read: " + e.what());  // as if none had come
        }
      });
}

std::map<std::string, admin_client::Reply> Driver::AskAll(const std::string& method,
                                                          const std::string& target,
                                                          const std::optional<json>& body,
                                                          const std::set<std::string>& only) {
  // Filled by answers that come after this has returned, too: it lives as long as they may.
  const auto replies = std::make_shared<std::map<std::string, admin_client::Reply>>();
  std::size_t asked = 0;
  for (const agent::AgentPlace& agent : agents_) {
    if (!only.empty() && !only.contains(agent.name)) continue;
    ++asked;
    admin_client::Ask(
        io_, {agent.place, agent.token, method, target, body}, kPatience,
        [replies, name = agent.name](admin_client::Reply reply) { (*replies)[name] = std::move(reply); });
  }
  while (replies->size() < asked) Pass(rollout::Duration(20));
  return *replies;
}

rollout::Holder Driver::HolderOf(const rollout::Plan& plan, const std::string& who) {
  char host[64] = "";
  ::gethostname(host, sizeof host - 1);
  const std::string claim_id = std::string(host) + '.' + std::to_string(::getpid()) + '.' + RandomText() +
                               '.' + std::to_string(++claims_);
  return {plan.id, who, plan.why, agent::UnixNow(), claim_id};
}

Driver::Lease Driver::ClaimAll(const rollout::Plan& plan, const rollout::Holder& holder, bool resumes) {
  std::set<std::string> names;
  for (const agent::AgentPlace& agent : agents_) names.insert(agent.name);
  std::set<std::string> needed;
  for (const rollout::Target& target : plan.targets) needed.insert(target.name.agent);
  life_ = std::make_shared<int>();
  rollout::Claim claim(holder.claim_id, names, needed, resumes, kPatience, agent::SteadyNow());
  Lease lease;
  std::string fault;  // of an agent, that is no verdict
  while (!claim.granted() && claim.rejection().empty() && !interrupted_ && fault.empty()) {
    std::vector<rollout::ClaimCommand> commands;
    claim.Tick(agent::SteadyNow(), commands);
    for (const rollout::ClaimCommand& c : commands) {
      switch (c.kind) {
        case rollout::ClaimCommand::Kind::kReadEpoch:
          admin_client::Ask(io_, {Of(c.agent).place, Of(c.agent).token, "GET", "/v1/agent", {}}, kPatience,
                            [&claim, &fault, life = std::weak_ptr(life_),
                             name = c.agent](const admin_client::Reply& reply) {
                              if (life.expired()) return;
                              if (reply.ok())
                                return claim.OnHighestEpoch(name,
                                                            reply.body.value("highest", rollout::Epoch{0}));
                              if (reply.fault.empty()) fault = name + ": " + reply.why();
                            });
          break;
        case rollout::ClaimCommand::Kind::kAcquire:
        case rollout::ClaimCommand::Kind::kOpen: {
          const bool opens = c.kind == rollout::ClaimCommand::Kind::kOpen;
          json body = {
              {"ask", opens ? "open" : "acquire"}, {"epoch", c.epoch}, {"holder", rollout::ToJson(holder)}};
          if (opens) body["plan"] = rollout::ToJson(plan);
          Send(c.agent, "/v1/lease", std::move(body),
               [&claim, &fault, c, claim_id = holder.claim_id](const admin_client::Reply& reply) {
                 const auto read = ReadAnswer(reply);
                 if (!read && reply.fault.empty()) fault = c.agent + ": " + reply.why();
                 if (!read) return;  // without an answer it is asked again
                 if (!read->refused.empty()) fault = c.agent + ": " + read->refused;
                 if (read->refused.empty())
                   claim.OnLeaseAnswer(claim_id, c.agent, c.epoch, read->verdict, read->holder, read->open);
               });
          break;
        }
        case rollout::ClaimCommand::Kind::kRelease:
          Send(c.agent, "/v1/lease",
               {{"ask", "release"}, {"epoch", c.epoch}, {"tool", holder.claim_id}, {"close", false}},
               [](const admin_client::Reply&) {});
          break;
      }
      lease.epoch = std::max(lease.epoch, c.epoch);
    }
    Pass(rollout::Duration(20));
  }
  life_ = std::make_shared<int>();  // `claim` and `fault` go
  if (claim.granted()) return {claim.granted()->epoch, claim.granted()->since, {}};
  lease.refused = !fault.empty() ? fault : interrupted_ ? "interrupted" : claim.rejection();
  // What was got on the way is given back, wherever the claim itself did not come to that.
  if (lease.epoch > 0) Release(lease.epoch, holder.claim_id, false);
  return lease;
}

void Driver::Run(rollout::Change& change, rollout::Epoch epoch, const std::string& claim_id) {
  while (!change.end() && !interrupted_) {
    std::vector<rollout::ChangeCommand> commands;
    const rollout::TimePoint now = agent::SteadyNow();
    change.Tick(now, commands);
    // One report of an agent answers for all of its instances, and renews its lease.
    std::map<std::string, std::vector<std::pair<rollout::InstanceName, std::uint64_t>>> reports;
    for (const rollout::ChangeCommand& c : commands) {
      switch (c.kind) {
        case rollout::ChangeCommand::Kind::kSay:
          say_(c.line);
          break;
        case rollout::ChangeCommand::Kind::kRenew:
          reports[c.name.agent];
          break;
        case rollout::ChangeCommand::Kind::kReport:
          reports[c.name.agent].emplace_back(c.name, c.number);
          break;
        case rollout::ChangeCommand::Kind::kTakeStep:
          Send(c.name.agent, "/v1/take",
               {{"epoch", epoch},
                {"tool", claim_id},
                {"instance", c.name.instance},
                {"step", rollout::ToJson(c.step)}},
               [&change, c, now](const admin_client::Reply& reply) {
                 const auto read = ReadAnswer(reply);
                 if (!read) return;
                 if (read->verdict != rollout::Lessor::Verdict::kGranted) {
                   return change.OnFenced(c.name.agent, read->holder ? read->holder->who : "");
                 }
                 change.OnLeaseRenewed(c.name.agent, now);
                 if (!read->refused.empty()) return change.OnStepRejected(c.name, read->refused);
                 if (reply.body.contains("report")) {
                   change.OnReport(c.name, c.number, rollout::ReportFrom(reply.body["report"]), now);
                 }
               });
          break;
      }
    }
    for (const auto& [agent, asked] : reports) {
      Send(agent, "/v1/report", {{"epoch", epoch}, {"tool", claim_id}},
           [&change, agent = agent, asked = asked, now](const admin_client::Reply& reply) {
             const auto read = ReadAnswer(reply);
             if (!read) return;
             if (read->verdict != rollout::Lessor::Verdict::kGranted) {
               return change.OnFenced(agent, read->holder ? read->holder->who : "");
             }
             change.OnLeaseRenewed(agent, now);
             for (const auto& [name, number] : asked) {
               const json& told = reply.body.value("reports", json::object());
               if (told.contains(name.instance))
                 change.OnReport(name, number, rollout::ReportFrom(told[name.instance]), now);
               else
                 change.OnStepRejected(name, "its agent has no such instance");
             }
           });
    }
    if (!change.end()) Pass(rollout::Duration(20));
  }
  life_ = std::make_shared<int>();
}

std::set<std::string> Driver::Release(rollout::Epoch epoch, const std::string& claim_id, bool close) {
  constexpr int kTries = 3;
  std::set<std::string> missing;
  for (const agent::AgentPlace& agent : agents_) missing.insert(agent.name);
  for (int i = 0; i < kTries && !missing.empty(); ++i) {
    const json body = {{"ask", "release"}, {"epoch", epoch}, {"tool", claim_id}, {"close", close}};
    for (const auto& [name, reply] : AskAll("POST", "/v1/lease", body, missing)) {
      if (reply.ok()) missing.erase(name);
    }
  }
  return missing;
}

Driver::Outcome Driver::Carry(const rollout::Plan& plan, rollout::Change::Direction direction, bool resumes,
                              const std::string& who, rollout::Duration lease_time) {
  const rollout::Holder holder = HolderOf(plan, who);
  const Lease lease = ClaimAll(plan, holder, resumes);
  Outcome outcome;
  outcome.refused = lease.refused;
  if (!outcome.refused.empty()) return outcome;
  rollout::Change change(plan, direction, lease.epoch, lease_time, lease.since);
  Run(change, lease.epoch, holder.claim_id);
  outcome.end = change.end().value_or(rollout::ChangeEnd::kHeld);
  outcome.why = change.end() ? change.reason() : "interrupted; what was taken is finished by the agents";
  if (!change.end()) say_(plan.id + " held: " + outcome.why);
  const bool close = outcome.end != rollout::ChangeEnd::kHeld;
  const auto missing = Release(lease.epoch, holder.claim_id, close);
  if (close) outcome.left_open = missing;
  return outcome;
}

Driver::Outcome Driver::Close(const rollout::Plan& plan, const std::string& who) {
  const rollout::Holder holder = HolderOf(plan, who);
  const Lease lease = ClaimAll(plan, holder, true);
  Outcome outcome;
  outcome.refused = lease.refused;
  if (!outcome.refused.empty()) return outcome;
  outcome.end = rollout::ChangeEnd::kAborted;
  outcome.left_open = Release(lease.epoch, holder.claim_id, true);
  return outcome;
}

}  // namespace mothrack::ctl
