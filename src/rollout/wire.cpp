#include "rollout/wire.h"

#include <algorithm>
#include <array>
#include <stdexcept>

namespace mothrack::rollout {
namespace {

using nlohmann::json;

constexpr std::array<const char*, 4> kPhases = {"none", "accepted", "done", "failed"};
constexpr std::array<const char*, 5> kVerdicts = {"granted", "held", "open", "fenced", "lapsed"};
constexpr std::array<const char*, 2> kKinds = {"restart", "stop"};
constexpr std::array<const char*, 2> kOnFailure = {"hold", "roll-back"};

template <typename E, std::size_t N>
E OneOf(const std::array<const char*, N>& names, const std::string& name, const char* what) {
  const auto it = std::find(names.begin(), names.end(), name);
  if (it == names.end()) throw std::invalid_argument(std::string(what) + ": '" + name + "' is none");
  return static_cast<E>(it - names.begin());
}

template <typename E, std::size_t N>
std::string NameIn(const std::array<const char*, N>& names, E value) {
  return names.at(static_cast<std::size_t>(value));
}

Duration Milliseconds(const json& from, const char* name) {
  return Duration(Member<std::int64_t>(from, name));
}

json ToJson(const Policy& p) {
  return {{"max_unavailable", p.max_unavailable},
          {"canary", p.canary},
          {"on_failure", NameIn(kOnFailure, p.on_failure)},
          {"step_limit_ms", p.step_timeout.count()},
          {"watch_ms", p.watch_interval.count()},
          {"unreachable_limit_ms", p.unreachable_timeout.count()},
          {"worse_by", p.max_failure_increase},
          {"least_requests", p.min_requests}};
}

Policy PolicyFrom(const json& from) {
  Policy policy;
  policy.max_unavailable = Member<std::size_t>(from, "max_unavailable");
  policy.canary = Member<bool>(from, "canary");
  policy.on_failure = OneOf<OnFailure>(kOnFailure, Member<std::string>(from, "on_failure"), "on_failure");
  policy.step_timeout = Milliseconds(from, "step_limit_ms");
  policy.watch_interval = Milliseconds(from, "watch_ms");
  policy.unreachable_timeout = Milliseconds(from, "unreachable_limit_ms");
  policy.max_failure_increase = Member<double>(from, "worse_by");
  policy.min_requests = Member<std::uint64_t>(from, "least_requests");
  return policy;
}

}  // namespace

template <typename T>
T Member(const json& from, const char* name) {
  if (!from.is_object() || !from.contains(name))
    throw std::invalid_argument(std::string(name) + " is missing");
  const json& value = from[name];
  bool right = false;
  if constexpr (std::is_same_v<T, bool>) {
    right = value.is_boolean();
  } else if constexpr (std::is_same_v<T, std::string>) {
    right = value.is_string();
  } else if constexpr (std::is_same_v<T, json>) {
    right = true;
  } else if constexpr (std::is_floating_point_v<T>) {
    right = value.is_number();
  } else if constexpr (std::is_unsigned_v<T>) {
    right = value.is_number_unsigned();
  } else {
    right = value.is_number_integer();
  }
  if (!right) throw std::invalid_argument(std::string(name) + " is of the wrong kind");
  return value.get<T>();
}
template bool Member(const json&, const char*);
template std::string Member(const json&, const char*);
template std::int64_t Member(const json&, const char*);
template std::uint64_t Member(const json&, const char*);
template double Member(const json&, const char*);
template json Member(const json&, const char*);

std::string WireName(Phase phase) { return NameIn(kPhases, phase); }
std::string WireName(Lessor::Verdict verdict) { return NameIn(kVerdicts, verdict); }
Lessor::Verdict VerdictFrom(const std::string& name) {
  return OneOf<Lessor::Verdict>(kVerdicts, name, "verdict");
}

json ToJson(const Holder& h) {
  return {{"change", h.change},
          {"who", h.who},
          {"why", h.why},
          {"since_unix_ms", h.since_unix_ms},
          {"tool", h.claim_id}};
}

Holder HolderFrom(const json& from) {
  return {Member<std::string>(from, "change"), Member<std::string>(from, "who"),
          Member<std::string>(from, "why"), Member<std::int64_t>(from, "since_unix_ms"),
          Member<std::string>(from, "tool")};
}

json ToJson(const Step& s) {
  return {{"change", s.change}, {"kind", NameIn(kKinds, s.kind)},
          {"undo", s.undo},     {"generation", s.generation},
          {"epoch", s.epoch},   {"from", s.from}};
}

Step StepFrom(const json& from) {
  Step step;
  step.change = Member<std::string>(from, "change");
  step.kind = OneOf<StepKind>(kKinds, Member<std::string>(from, "kind"), "kind");
  step.undo = Member<bool>(from, "undo");
  step.generation = Member<std::string>(from, "generation");
  step.epoch = Member<std::uint64_t>(from, "epoch");
  step.from = Member<std::string>(from, "from");
  return step;
}

json ToJson(const Plan& plan) {
  json targets = json::array();
  for (const Target& t : plan.targets) {
    targets.push_back({{"agent", t.name.agent},
                       {"instance", t.name.instance},
                       {"hall", t.hall},
                       {"from", t.from},
                       {"to", t.to}});
  }
  return {{"id", plan.id},
          {"who", plan.who},
          {"why", plan.why},
          {"kind", NameIn(kKinds, plan.kind)},
          {"targets", std::move(targets)},
          {"policy", ToJson(plan.policy)}};
}

Plan PlanFrom(const json& from) {
  Plan plan;
  plan.id = Member<std::string>(from, "id");
  plan.who = Member<std::string>(from, "who");
  plan.why = Member<std::string>(from, "why");
  plan.kind = OneOf<StepKind>(kKinds, Member<std::string>(from, "kind"), "kind");
  for (const json& t : Member<json>(from, "targets")) {
    plan.targets.push_back({{Member<std::string>(t, "agent"), Member<std::string>(t, "instance")},
                            Member<std::string>(t, "hall"),
                            Member<std::string>(t, "from"),
                            Member<std::string>(t, "to")});
  }
  plan.policy = PolicyFrom(Member<json>(from, "policy"));
  return plan;
}

json ToJson(const Report& r) {
  return {{"step", ToJson(r.step)},     {"phase", WireName(r.phase)}, {"why", r.failure_reason},
          {"running", r.running},       {"ready", r.ready},           {"held", r.held},
          {"generation", r.generation}, {"taken", r.requests},        {"bad", r.failed_requests}};
}

Report ReportFrom(const json& from) {
  Report report;
  report.step = StepFrom(Member<json>(from, "step"));
  report.phase = OneOf<Phase>(kPhases, Member<std::string>(from, "phase"), "phase");
  report.failure_reason = Member<std::string>(from, "why");
  report.running = Member<bool>(from, "running");
  report.ready = Member<bool>(from, "ready");
  report.held = Member<bool>(from, "held");
  report.generation = Member<std::string>(from, "generation");
  report.requests = Member<std::uint64_t>(from, "taken");
  report.failed_requests = Member<std::uint64_t>(from, "bad");
  return report;
}

json ToJson(const InstanceRecord& r) {
  return {{"wanted", r.wanted},     {"generation", r.generation}, {"token", r.token},
          {"step", ToJson(r.step)}, {"phase", WireName(r.phase)}, {"why", r.failure_reason}};
}

InstanceRecord InstanceRecordFrom(const json& from) {
  InstanceRecord record;
  record.wanted = Member<bool>(from, "wanted");
  record.generation = Member<std::string>(from, "generation");
  record.token = Member<std::string>(from, "token");
  record.step = StepFrom(Member<json>(from, "step"));
  record.phase = OneOf<Phase>(kPhases, Member<std::string>(from, "phase"), "phase");
  record.failure_reason = Member<std::string>(from, "why");
  return record;
}

bool IsValidName(const std::string& name) {
  const auto good = [](char c) {
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '-' ||
           c == '_' || c == '.';
  };
  return !name.empty() && name.size() <= 64 && name.front() != '.' &&
         std::all_of(name.begin(), name.end(), good);
}

}  // namespace mothrack::rollout
