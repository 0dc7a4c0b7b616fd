// The platform's configuration of this sidecar: the LB_* variables and the JSON file that LB_CONFIG names,
// checked. The keys are the platform's; settings_schema.h has the form of its `settings`.
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

// A setting that is missing or makes no sense, of the platform or of the operator's file. The text is one
// line that names it.
class ConfigError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

struct Config {
  std::string name;  // before each log line
  runtime::Endpoint listen;
  runtime::Endpoint discovery;
  std::optional<runtime::Endpoint> ops;  // of the operator API; absent: there is none
  std::uint64_t seed = 0;                // of the module's random choices
  std::size_t sockets = 0;               // descriptors that the process may hold
  std::size_t memory = 0;                // bytes
  nlohmann::json known;  // the list of upstreams as last held, in discovery's form; null where there is none
  balancer::Settings settings;
};

// Reads the variables by `variable` (std::getenv's form), and the file. Throws ConfigError.
Config LoadConfig(const std::function<const char*(const char*)>& variable);

}  // namespace mothrack::sidecar
