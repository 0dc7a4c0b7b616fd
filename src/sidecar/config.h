// The platform's configuration of this sidecar: the LB_* variables and the JSON file named by LB_CONFIG,
// validated. settings_schema.h has the schema of the file's `settings`.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <stdexcept>
#include <string>

#include "balancer/balancer.h"
#include "nlohmann/json.hpp"
#include "runtime/address.h"

namespace mothrack::sidecar {

// A missing or invalid setting of the platform or of the operator's file. The message is one line that names
// the setting.
class ConfigError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

struct Config {
  std::string name;  // prefix of each log line
  runtime::Endpoint listen;
  runtime::Endpoint discovery;
  std::optional<runtime::Endpoint> ops;  // of the operator API; absent: disabled
  std::uint64_t seed = 0;                // for the module's random number generator
  std::size_t sockets = 0;               // limit of open descriptors
  std::size_t memory = 0;                // limit in bytes
  nlohmann::json known;  // the last known endpoint list, in discovery's format; null if there is none
  balancer::Settings settings;
};

// Reads the variables with `variable`, which has std::getenv's signature, and the file. Throws ConfigError.
Config LoadConfig(const std::function<const char*(const char*)>& variable);

}  // namespace mothrack::sidecar
