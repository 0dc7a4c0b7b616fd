#include "agent/agent_api.h"

#include <algorithm>
#include <functional>
#include <utility>

#include "agent/clock.h"
#include "rollout/wire.h"

namespace mothrack::agent {
namespace {

using admin::Answer;
using admin::Call;
using nlohmann::json;

constexpr std::size_t kMaxEvents = 500;
constexpr std::size_t kDefaultEvents = 50;
constexpr std::size_t kLogEndBytes = std::size_t{16} * 1024;
constexpr std::size_t kMaxLoggedName = 64;  // bytes of a text from a caller
// HTTP status if nothing could be saved (RFC 4918, 11.5).
constexpr unsigned kInsufficientStorage = 507;

json ToJson(const Agent::Answer& answer) {
  json response = {{"verdict", rollout::WireName(answer.verdict)},
                   {"open", answer.open},
                   {"highest", answer.highest},
                   {"refused", answer.refusal_text}};
  if (answer.holder) response["holder"] = rollout::ToJson(*answer.holder);
  if (answer.report) response["report"] = rollout::ToJson(*answer.report);
  return response;
}

// Parses the body strictly: an invalid command is answered with 400 and has no effect.
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
          {kMaxConnections, kMaxBodyBytes}, "agent", Routes(),
          [this](const Call& call) { return Guard(call); }, log) {}

std::optional<Answer> AgentApi::Guard(const Call& call) {
  if (!rate_limiter_.Take(runtime::Now())) return admin::Fault(429, "too many requests; ask less often");
  if (file_.tokens.empty()) return std::nullopt;
  // Compares all tokens, so that the time it takes does not reveal which one matched.
  std::optional<Role> role;
  for (const auto& [token, token_role] : file_.tokens) {
    if (admin::HasBearerToken(call, token)) role = token_role;
  }
  if (!role) return admin::Fault(401, "give the token as Authorization: Bearer TOKEN");
  if (*role == Role::kOperator || call.method == "GET") return std::nullopt;
  log_.Warn("command_refused", {{"api", "agent"},
                                {"reason", "a viewer may only look"},
                                {"method", call.method},
                                {"path", call.path.substr(0, kMaxLoggedName)}});
  return admin::Fault(403, "a viewer may only look; this takes an operator's token");
}

json AgentApi::About() const {
  json instances = json::object();
  for (const std::string& name : agent_.Names()) {
    instances[name] = rollout::ToJson(agent_.ReportOf(name));
    instances[name]["pid"] = processes_.pid(name);
    instances[name]["configured"] = agent_.GenerationOf(name);
    instances[name]["wanted"] = agent_.ShouldRun(name);
  }
  const rollout::LeaseState& lease = agent_.lease();
  json about = {{"name", file_.name},
                {"hall", file_.hall},
                {"version", MOTHRACK_VERSION},
                {"now_unix_ms", UnixNow()},
                {"lease_ms", file_.lease_time.count()},
                {"highest", lease.highest},
                {"generations", processes_.generations().Names()},
                {"instances", std::move(instances)},
                {"fault", store_.fault()}};
  if (const auto holder = agent_.holder(SteadyNow())) about["holder"] = rollout::ToJson(*holder);
  if (lease.open) about["open"] = rollout::ToJson(*lease.open);
  if (peers_) about["peers"] = peers_();
  return about;
}

Answer AgentApi::Lease(const json& body) {
  const auto operation = rollout::Member<std::string>(body, "ask");
  const auto epoch = rollout::Member<std::uint64_t>(body, "epoch");
  if (operation == "acquire") {
    const rollout::Holder holder = rollout::HolderFrom(rollout::Member<json>(body, "holder"));
    return {200, ToJson(agent_.Acquire(epoch, holder, SteadyNow(), UnixNow()))};
  }
  if (operation == "open") {
    const rollout::Holder holder = rollout::HolderFrom(rollout::Member<json>(body, "holder"));
    const rollout::Plan plan = rollout::PlanFrom(rollout::Member<json>(body, "plan"));
    if (const auto fault = rollout::ValidatePlan(plan)) return admin::Fault(400, *fault);
    return {200, ToJson(agent_.Open(epoch, holder, plan, SteadyNow(), UnixNow()))};
  }
  const auto claim_id = rollout::Member<std::string>(body, "tool");
  if (operation == "renew") return {200, ToJson(agent_.Renew(epoch, claim_id, SteadyNow()))};
  if (operation != "release") {
    return admin::Fault(400, "ask: '" + operation + "' is none of acquire, open, renew, release");
  }
  const bool close = rollout::Member<bool>(body, "close");
  const Agent::Answer answer = agent_.Release(epoch, claim_id, close, UnixNow());
  if (answer.refusal == Refusal::kSaveFailed) return admin::Fault(kInsufficientStorage, answer.refusal_text);
  return {200, ToJson(answer)};
}

std::vector<admin::Route> AgentApi::Routes() {
  // A route with a body; `serve` gets the parsed body.
  const auto with_body = [this](Answer (AgentApi::*serve)(const json&)) {
    return [this, serve](const Call& call) {
      return WithBody(call, [this, serve](const json& body) { return (this->*serve)(body); });
    };
  };
  const auto with_query = [this](Answer (AgentApi::*serve)(const std::string&) const) {
    return [this, serve](const Call& call) { return (this->*serve)(call.query); };
  };
  return {{"GET", "/v1/agent",
           [this](const Call&) {
             return Answer{200, About()};
           }},
          {"GET", "/v1/history", with_query(&AgentApi::History)},
          {"GET", "/v1/plan", with_query(&AgentApi::Plan)},
          {"GET", "/v1/generation", with_query(&AgentApi::GenerationFiles)},
          {"GET", "/v1/log", with_query(&AgentApi::LogEnd)},
          {"POST", "/v1/lease", with_body(&AgentApi::Lease)},
          {"POST", "/v1/report", with_body(&AgentApi::Report)},
          {"POST", "/v1/take", with_body(&AgentApi::AcceptStep)},
          {"POST", "/v1/generation", with_body(&AgentApi::AddGeneration)}};
}

Answer AgentApi::History(const std::string& query) const {
  const std::size_t requested = std::strtoul(query.c_str(), nullptr, 10);
  const std::size_t count =
      std::clamp<std::size_t>(requested == 0 ? kDefaultEvents : requested, 1, kMaxEvents);
  json events = json::array();
  for (const Event& event : store_.Events(count)) {
    events.push_back({{"at_unix_ms", event.at_unix_ms}, {"change", event.change}, {"line", event.line}});
  }
  return {200, {{"events", std::move(events)}}};
}

Answer AgentApi::Plan(const std::string& query) const {
  const rollout::Plan* plan = agent_.PlanOf(admin::PercentDecoded(query));
  if (plan == nullptr) return admin::Fault(404, "no such change was opened here");
  return {200, rollout::ToJson(*plan)};
}

Answer AgentApi::GenerationFiles(const std::string& query) const {
  const auto files = processes_.generations().FilesOf(admin::PercentDecoded(query));
  if (files.empty()) return admin::Fault(404, "no such generation");
  return {200, {{"files", files}}};
}

Answer AgentApi::LogEnd(const std::string& query) const {
  const auto names = agent_.Names();
  const std::string name = admin::PercentDecoded(query);
  if (std::find(names.begin(), names.end(), name) == names.end()) {
    return admin::Fault(404, "no such instance");
  }
  return {200, {{"log", processes_.LogTail(name, kLogEndBytes)}}};
}

Answer AgentApi::Report(const json& body) {
  const Agent::Answer answer = agent_.Renew(rollout::Member<std::uint64_t>(body, "epoch"),
                                            rollout::Member<std::string>(body, "tool"), SteadyNow());
  json response = ToJson(answer);
  if (answer.verdict == rollout::Lessor::Verdict::kGranted) {
    for (const std::string& name : agent_.Names()) {
      response["reports"][name] = rollout::ToJson(agent_.ReportOf(name));
    }
  }
  return {200, std::move(response)};
}

Answer AgentApi::AcceptStep(const json& body) {
  const auto name = rollout::Member<std::string>(body, "instance");
  const Agent::Answer answer =
      agent_.AcceptStep(name, rollout::StepFrom(rollout::Member<json>(body, "step")),
                        rollout::Member<std::uint64_t>(body, "epoch"),
                        rollout::Member<std::string>(body, "tool"), SteadyNow(), UnixNow());
  if (!answer.refusal_text.empty()) {
    log_.Warn("step_refused",
              {{"instance", name.substr(0, kMaxLoggedName)}, {"reason", answer.refusal_text}});
  }
  if (on_step_received_) on_step_received_();
  return {200, ToJson(answer)};
}

Answer AgentApi::AddGeneration(const json& body) {
  GenerationStore::Files files;
  const json given = rollout::Member<json>(body, "files");
  if (!given.is_object()) return admin::Fault(400, "files is of the wrong kind");
  for (const auto& [name, text] : given.items()) {
    if (!text.is_string()) return admin::Fault(400, "files: " + name + " is no text");
    files[name] = text.get<std::string>();
  }
  const auto generation = rollout::Member<std::string>(body, "name");
  if (const auto error = processes_.generations().Add(generation, files)) {
    return admin::Fault(409, error->message);
  }
  store_.Note({UnixNow(), "", "kept generation " + generation});
  return {200, {{"kept", generation}}};
}

}  // namespace mothrack::agent
