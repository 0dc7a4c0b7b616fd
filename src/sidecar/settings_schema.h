// The form and the ranges of `settings` in the deployment's JSON file. The reader of the simulator's wire
// takes what it knows and fills in plain defaults for the rest; here a figure that is spoilt or lost would
// quietly be another deployment's, so it is rejected by name.
#pragma once

#include <nlohmann/json.hpp>

namespace mothrack::sidecar {

// The pass over the settings that is under way: the form of all of them comes before the range of any.
enum class Pass { kForm, kRange };

// Throws ConfigError, which names the first field that is not as the deployment's format has it.
void CheckSettings(const nlohmann::json& settings, Pass pass);

}  // namespace mothrack::sidecar
