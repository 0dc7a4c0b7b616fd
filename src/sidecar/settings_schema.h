// The schema of `settings` in the deployment's JSON file: types and ranges. The parser of the
// simulator's protocol fills in a default for each missing field. In a deployment a default could go
// unnoticed, so a missing or invalid field is rejected with an error that names it.
#pragma once

#include <nlohmann/json.hpp>

namespace mothrack::sidecar {

// The passes over the settings: kTypes checks the types of all fields, then kRanges checks their ranges.
enum class Pass { kTypes, kRanges };

// Throws ConfigError, which names the first invalid field.
void CheckSettings(const nlohmann::json& settings, Pass pass);

}  // namespace mothrack::sidecar
