// The rollout's values as JSON: on disk, and between agents and tools. Reading throws std::invalid_argument,
// which names what is missing or wrong. Unknown members are skipped, so that a newer tool and an older agent
// understand each other. The member names are a wire format and differ from the fields' names in places.
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

// Names of enumerators on the wire.
std::string WireName(Phase phase);
std::string WireName(Lessor::Verdict verdict);
Lessor::Verdict VerdictFrom(const std::string& name);

// A required member of type T: bool, std::string, std::int64_t, std::uint64_t, double or JSON as it is.
template <typename T>
T Member(const nlohmann::json& json, const char* name);

// Names of instances, agents and generations become parts of paths: letters, digits, '-', '_' and '.', at
// most 64, no dot first.
bool IsValidName(const std::string& name);

}  // namespace mothrack::rollout
