#include "rollout/wire.h"

#include <algorithm>
#include <array>
#include <stdexcept>

namespace mothrack::rollout {
namespace {

using nlohmann::json;

constexpr std::array<const char*, 4> kPhaseNames = {"none", "accepted", "done", "failed"};
constexpr std::array<const char*, 5> kVerdictNames = {"granted", "held", "open", "fenced", "lapsed"};
constexpr std::array<const char*, 2> kStepKindNames = {"restart", "stop"};
constexpr std::array<const char*, 2> kOnFailureNames = {"hold", "roll-back"};

constexpr std::size_t kMaxNameLength = 64;

template <typename E, std::size_t N>
E EnumFrom(const std::array<const char*, N>& names, const std::string& name, const char* what) {
  const auto it = std::find(names.begin(), names.end(), name);
  if (it == names.end()) throw std::invalid_argument(std::string(what) + ": '" + name + "' is unknown");
  return static_cast<E>(it - names.begin());
}

template <typename E, std::size_t N>
std::string NameIn(const std::array<const char*, N>& names, E value) {
  return names.at(static_cast<std::size_t>(value));
}

Duration Milliseconds(const json& from, const char* name) {
  return Duration(Member<std::int64_t>(from, name));
}

json ToJson(const Policy& policy) {
  return {{"max_unavailable", policy.max_unavailable},
          {"canary", policy.canary},
          {"on_failure", NameIn(kOnFailureNames, policy.on_failure)},
          {"step_limit_ms", policy.step_timeout.count()},
          {"watch_ms", policy.watch_interval.count()},
          {"unreachable_limit_ms", policy.unreachable_timeout.count()},
          {"worse_by", policy.max_failure_increase},
          {"least_requests", policy.min_requests}};
}

Policy PolicyFrom(const json& from) {
  Policy policy;
  policy.max_unavailable = Member<std::size_t>(from, "max_unavailable");
  policy.canary = Member<bool>(from, "canary");
  policy.on_failure =
      EnumFrom<OnFailure>(kOnFailureNames, Member<std::string>(from, "on_failure"), "on_failure");
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
  bool has_type = false;
  if constexpr (std::is_same_v<T, bool>) {
    has_type = value.is_boolean();
  } else if constexpr (std::is_same_v<T, std::string>) {
    has_type = value.is_string();
  } else if constexpr (std::is_same_v<T, json>) {
    has_type = true;
  } else if constexpr (std::is_floating_point_v<T>) {
    has_type = value.is_number();
  } else if constexpr (std::is_unsigned_v<T>) {
    has_type = value.is_number_unsigned();
  } else {
    has_type = value.is_number_integer();
  }
  if (!has_type) throw std::invalid_argument(std::string(name) + " is of the wrong kind");
  return value.get<T>();
}
template bool Member(const json&, const char*);
template std::string Member(const json&, const char*);
template std::int64_t Member(const json&, const char*);
template std::uint64_t Member(const json&, const char*);
template double Member(const json&, const char*);
template json Member(const json&, const char*);

std::string WireName(Phase phase) { return NameIn(kPhaseNames, phase); }
std::string WireName(Lessor::Verdict verdict) { return NameIn(kVerdictNames, verdict); }
Lessor::Verdict VerdictFrom(const std::string& name) {
  return EnumFrom<Lessor::Verdict>(kVerdictNames, name, "verdict");
}

json ToJson(const Holder& holder) {
  return {{"change", holder.change},
          {"who", holder.who},
          {"why", holder.why},
          {"since_unix_ms", holder.since_unix_ms},
          {"tool", holder.claim_id}};
}

Holder HolderFrom(const json& from) {
  return {Member<std::string>(from, "change"), Member<std::string>(from, "who"),
          Member<std::string>(from, "why"), Member<std::int64_t>(from, "since_unix_ms"),
          Member<std::string>(from, "tool")};
}

json ToJson(const Step& step) {
  return {{"change", step.change}, {"kind", NameIn(kStepKindNames, step.kind)},
          {"undo", step.undo},     {"generation", step.generation},
          {"epoch", step.epoch},   {"from", step.from}};
}

Step StepFrom(const json& from) {
  Step step;
  step.change = Member<std::string>(from, "change");
  step.kind = EnumFrom<StepKind>(kStepKindNames, Member<std::string>(from, "kind"), "kind");
  step.undo = Member<bool>(from, "undo");
  step.generation = Member<std::string>(from, "generation");
  step.epoch = Member<std::uint64_t>(from, "epoch");
  step.from = Member<std::string>(from, "from");
  return step;
}

json ToJson(const Plan& plan) {
  json targets = json::array();
  for (const Target& target : plan.targets) {
    targets.push_back({{"agent", target.name.agent},
                       {"instance", target.name.instance},
                       {"hall", target.hall},
                       {"from", target.from},
                       {"to", target.to}});
  }
  return {{"id", plan.id},
          {"who", plan.who},
          {"why", plan.why},
          {"kind", NameIn(kStepKindNames, plan.kind)},
          {"targets", std::move(targets)},
          {"policy", ToJson(plan.policy)}};
}

Plan PlanFrom(const json& from) {
  Plan plan;
  plan.id = Member<std::string>(from, "id");
  plan.who = Member<std::string>(from, "who");
  plan.why = Member<std::string>(from, "why");
  plan.kind = EnumFrom<StepKind>(kStepKindNames, Member<std::string>(from, "kind"), "kind");
  for (const json& target : Member<json>(from, "targets")) {
    plan.targets.push_back({{Member<std::string>(target, "agent"), Member<std::string>(target, "instance")},
                            Member<std::string>(target, "hall"),
                            Member<std::string>(target, "from"),
                            Member<std::string>(target, "to")});
  }
  plan.policy = PolicyFrom(Member<json>(from, "policy"));
  return plan;
}

json ToJson(const Report& report) {
  return {
      {"step", ToJson(report.step)},     {"phase", WireName(report.phase)}, {"why", report.failure_reason},
      {"running", report.running},       {"ready", report.ready},           {"held", report.held},
      {"generation", report.generation}, {"taken", report.requests},        {"bad", report.failed_requests}};
}

Report ReportFrom(const json& from) {
  Report report;
  report.step = StepFrom(Member<json>(from, "step"));
  report.phase = EnumFrom<Phase>(kPhaseNames, Member<std::string>(from, "phase"), "phase");
  report.failure_reason = Member<std::string>(from, "why");
  report.running = Member<bool>(from, "running");
  report.ready = Member<bool>(from, "ready");
  report.held = Member<bool>(from, "held");
  report.generation = Member<std::string>(from, "generation");
  report.requests = Member<std::uint64_t>(from, "taken");
  report.failed_requests = Member<std::uint64_t>(from, "bad");
  return report;
}

json ToJson(const InstanceRecord& record) {
  return {{"wanted", record.wanted},     {"generation", record.generation}, {"token", record.token},
          {"step", ToJson(record.step)}, {"phase", WireName(record.phase)}, {"why", record.failure_reason}};
}

InstanceRecord InstanceRecordFrom(const json& from) {
  InstanceRecord record;
  record.wanted = Member<bool>(from, "wanted");
  record.generation = Member<std::string>(from, "generation");
  record.token = Member<std::string>(from, "token");
  record.step = StepFrom(Member<json>(from, "step"));
  record.phase = EnumFrom<Phase>(kPhaseNames, Member<std::string>(from, "phase"), "phase");
  record.failure_reason = Member<std::string>(from, "why");
  return record;
}

bool IsValidName(const std::string& name) {
  const auto allowed = [](char c) {
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '-' ||
           c == '_' || c == '.';
  };
  return !name.empty() && name.size() <= kMaxNameLength && name.front() != '.' &&
         std::all_of(name.begin(), name.end(), allowed);
}

}  // namespace mothrack::rollout
