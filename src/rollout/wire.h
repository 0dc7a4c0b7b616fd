// JSON encoding of the rollout's values, on disk and between agents and tools. Reading throws
// std::invalid_argument, whose text names the missing or invalid member. Unknown members are skipped, so that
// a newer tool and an older agent understand each other. The member names are a wire format and differ from
// the fields' names in places.
#pragma once

#include <nlohmann/json.hpp>
#include <string>

#include "rollout/instance.h"
#include "rollout/lease.h"
#include "rollout/plan.h"
#include "rollout/types.h"

namespace mothrack::rollout {

nlohmann::json ToJson(const Holder& holder);
nlohmann::json ToJson(const Step& step);
nlohmann::json ToJson(const Plan& plan);
nlohmann::json ToJson(const Report& report);
nlohmann::json ToJson(const InstanceRecord& record);

Holder HolderFrom(const nlohmann::json& json);
Step StepFrom(const nlohmann::json& json);
Plan PlanFrom(const nlohmann::json& json);
Report ReportFrom(const nlohmann::json& json);
InstanceRecord InstanceRecordFrom(const nlohmann::json& json);

// The names of enumerators in JSON. VerdictFrom() throws std::invalid_argument for an unknown name.
std::string WireName(Phase phase);
std::string WireName(Lessor::Verdict verdict);
Lessor::Verdict VerdictFrom(const std::string& name);

// Returns a required member of type T: bool, std::string, std::int64_t, std::uint64_t, double, or
// nlohmann::json for a member of any type.
template <typename T>
T Member(const nlohmann::json& json, const char* name);

// Whether a name of an instance, agent or generation is safe as part of a path: 1 to 64 letters, digits, '-',
// '_' and '.', and no leading dot.
bool IsValidName(const std::string& name);

}  // namespace mothrack::rollout
