// The schema of `settings` in the deployment's JSON file: types and ranges. The reader of the simulator's
// wire fills in defaults for whatever is missing; in a deployment a missing or invalid value must not become
// a silent default, so it is rejected by name.
#pragma once

#include <nlohmann/json.hpp>

namespace mothrack::sidecar {

// The passes over the settings: kForm checks the types of all fields, then kRange the ranges.
enum class Pass { kForm, kRange };

// Throws ConfigError, which names the first invalid field.
void CheckSettings(const nlohmann::json& settings, Pass pass);

}  // namespace mothrack::sidecar
