#include "agent/agent_api.h"

#include <algorithm>
#include <functional>
#include <utility>

#include "rollout/wire.h"

namespace mothrack::agent {
namespace {

using admin::Answer;
using admin::Call;
using nlohmann::json;

constexpr std::size_t kMostEvents = 500;
constexpr std::size_t kLogTail = 16 * 1024;

json ToAnswer(const Agent::Answer& answer) {
  json told = {{"verdict", rollout::Name(answer.verdict)},
               {"open", answer.open},
               {"highest", answer.highest},
               {"refused", answer.refused}};
  if (answer.holder) told["holder"] = rollout::ToJson(*answer.holder);
  if (answer.report) told["report"] = rollout::ToJson(*answer.report);
  return told;
}

// Bodies are read strictly: a command with a fault has no effect.
Answer WithBody(const Call& call, const std::function<Answer(const json&)>& serve) {
  const json body = json::parse(call.body, nullptr, false);
  if (!body.is_object()) return admin::Fault(400, "the body is no JSON object");
  try {
    return serve(body);
  } catch (const std::invalid_argument& e) {
    return admin::Fault(400, e.what());
  } catch (const json::exception& e) {
    return admin::Fault(400, e.what());
  }
}

}  // namespace

rollout::TimePoint SteadyNow() {
  return std::chrono::time_point_cast<rollout::Duration>(std::chrono::steady_clock::now());
}

std::int64_t UnixNow() {
  return std::chrono::duration_cast<rollout::Duration>(std::chrono::system_clock::now().time_since_epoch())
      .count();
}

AgentApi::AgentApi(boost::asio::io_context& io, const AgentFile& file, Agent& agent,
                   ProcessSupervisor& processes, Store& store, runtime::Logger& log)
    : file_(file),
      agent_(agent),
      processes_(processes),
      store_(store),
      log_(log),
      rate_limiter_(kPerSecond, kPerSecond, runtime::Now()),
      server_(
          io,
          {"agent.listen", file.listen.rfind("unix:", 0) == 0 ? file.listen.substr(5) : std::string(),
           runtime::ParseEndpoint(file.listen)},
          {kConnections, kMostBody}, "agent: ", Routes(), [this](const Call& call) { return Guard(call); },
          log) {}

std::optional<Answer> AgentApi::Guard(const Call& call) {
  if (!rate_limiter_.Take(runtime::Now())) return admin::Fault(429, "too many requests; ask less often");
  if (file_.tokens.empty()) return std::nullopt;
  // All are looked at, so that the time tells nothing of which one it was.
  std::optional<Role> role;
  for (const auto& [token, its] : file_.tokens) {
    if (admin::HoldsToken(call, token)) role = its;
  }
  if (!role) return admin::Fault(401, "give the token as Authorization: Bearer TOKEN");
  if (*role == Role::kOperator || call.method == "GET") return std::nullopt;
  log_.Line("agent: refused " + call.path.substr(0, 64) + ": a viewer may only look");
  return admin::Fault(403, "a viewer may only look; this takes an operator's token");
}

json AgentApi::About() const {
  json instances = json::object();
  for (const std::string& name : agent_.Names()) {
    instances[name] = rollout::ToJson(agent_.ReportOf(name));
    instances[name]["pid"] = processes_.pid(name);
    instances[name]["configured"] = agent_.GenerationOf(name);
    instances[name]["wanted"] = agent_.WantedOf(name);
  }
  const rollout::LeaseState& lease = agent_.lease();
  json told = {{"name", file_.name},
               {"hall", file_.hall},
               {"version", MOTHRACK_VERSION},
               {"now_unix_ms", UnixNow()},
               {"lease_ms", file_.lease_time.count()},
               {"highest", lease.highest},
               {"generations", processes_.generations().Names()},
               {"instances", std::move(instances)},
               {"fault", store_.fault()}};
  if (const auto holder = agent_.holder(SteadyNow())) told["holder"] = rollout::ToJson(*holder);
  if (lease.open) told["open"] = rollout::ToJson(*lease.open);
  if (peers_) told["peers"] = peers_();
  return told;
}

Answer AgentApi::Lease(const json& asked) {
  const auto ask = rollout::Member<std::string>(asked, "ask");
  const auto epoch = rollout::Member<std::uint64_t>(asked, "epoch");
  if (ask == "acquire") {
    const rollout::Holder holder = rollout::HolderFrom(rollout::Member<json>(asked, "holder"));
    return {200, ToAnswer(agent_.Acquire(epoch, holder, SteadyNow(), UnixNow()))};
  }
  if (ask == "open") {
    const rollout::Holder holder = rollout::HolderFrom(rollout::Member<json>(asked, "holder"));
    const rollout::Plan plan = rollout::PlanFrom(rollout::Member<json>(asked, "plan"));
    if (const auto fault = rollout::ValidatePlan(plan)) return admin::Fault(400, *fault);
    return {200, ToAnswer(agent_.Open(epoch, holder, plan, SteadyNow(), UnixNow()))};
  }
  const auto claim_id = rollout::Member<std::string>(asked, "tool");
  if (ask == "renew") return {200, ToAnswer(agent_.Renew(epoch, claim_id, SteadyNow()))};
  if (ask == "release") {
    const Agent::Answer answer =
        agent_.Release(epoch, claim_id, rollout::Member<bool>(asked, "close"), UnixNow());
    return answer.refused.empty() ? Answer{200, ToAnswer(answer)} : admin::Fault(507, answer.refused);
  }
  return admin::Fault(400, "ask: '" + ask + "' is none of acquire, open, renew, release");
}

std::vector<admin::Route> AgentApi::Routes() {
  return {{"GET", "/v1/agent",
           [this](const Call&) {
             return Answer{200, About()};
           }},
          {"GET", "/v1/history",
           [this](const Call& call) {
             const std::size_t most = std::strtoul(call.query.c_str(), nullptr, 10);
             json events = json::array();
             for (const Event& event :
                  store_.Events(std::clamp<std::size_t>(most == 0 ? 50 : most, 1, kMostEvents))) {
               events.push_back(
                   {{"at_unix_ms", event.at_unix_ms}, {"change", event.change}, {"line", event.line}});
             }
             return Answer{200, {{"events", std::move(events)}}};
           }},
          {"GET", "/v1/plan",
           [this](const Call& call) {
             const rollout::Plan* plan = agent_.PlanOf(admin::Unescaped(call.query));
             return plan != nullptr ? Answer{200, rollout::ToJson(*plan)}
                                    : admin::Fault(404, "no such change was opened here");
           }},
          {"GET", "/v1/generation",
           [this](const Call& call) {
             const auto files = processes_.generations().FilesOf(admin::Unescaped(call.query));
             return files.empty() ? admin::Fault(404, "no such generation") : Answer{200, {{"files", files}}};
           }},
          {"GET", "/v1/log",
           [this](const Call& call) {
             const auto names = agent_.Names();
             const std::string name = admin::Unescaped(call.query);
             if (std::find(names.begin(), names.end(), name) == names.end())
               return admin::Fault(404, "no such instance");
             return Answer{200, {{"log", processes_.LogTail(name, kLogTail)}}};
           }},
          {"POST", "/v1/lease",
           [this](const Call& call) {
             return WithBody(call, [this](const json& asked) { return Lease(asked); });
           }},
          {"POST", "/v1/report",
           [this](const Call& call) {
             return WithBody(call, [this](const json& asked) {
               const Agent::Answer answer =
                   agent_.Renew(rollout::Member<std::uint64_t>(asked, "epoch"),
                                rollout::Member<std::string>(asked, "tool"), SteadyNow());
               json told = ToAnswer(answer);
               if (answer.verdict == rollout::Lessor::Verdict::kGranted) {
                 for (const std::string& name : agent_.Names())
                   told["reports"][name] = rollout::ToJson(agent_.ReportOf(name));
               }
               return Answer{200, std::move(told)};
             });
           }},
          {"POST", "/v1/take",
           [this](const Call& call) {
             return WithBody(call, [this](const json& asked) {
               const auto name = rollout::Member<std::string>(asked, "instance");
               const Agent::Answer answer =
                   agent_.Take(name, rollout::StepFrom(rollout::Member<json>(asked, "step")),
                               rollout::Member<std::uint64_t>(asked, "epoch"),
                               rollout::Member<std::string>(asked, "tool"), SteadyNow(), UnixNow());
               if (!answer.refused.empty())
                 log_.Line("agent: refused a step of " + name.substr(0, 64) + ": " + answer.refused);
               if (on_taken_) on_taken_();
               return Answer{200, ToAnswer(answer)};
             });
           }},
          {"POST", "/v1/generation", [this](const Call& call) {
             return WithBody(call, [this](const json& asked) {
               std::map<std::string, std::string> files;
               const json given = rollout::Member<json>(asked, "files");
               if (!given.is_object()) return admin::Fault(400, "files is of the wrong kind");
               for (const auto& [name, text] : given.items()) {
                 if (!text.is_string()) return admin::Fault(400, "files: " + name + " is no text");
                 files[name] = text.get<std::string>();
               }
               const auto generation = rollout::Member<std::string>(asked, "name");
               const auto error = processes_.generations().Keep(generation, files);
               if (error) return admin::Fault(409, error->message);
               store_.Note({UnixNow(), "", "kept generation " + generation});
               return Answer{200, {{"kept", generation}}};
             });
           }}};
}

}  // namespace mothrack::agent
