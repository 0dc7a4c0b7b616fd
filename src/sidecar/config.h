// What the deployment tells this sidecar: the LB_* variables and the JSON file, checked.
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

// Something the deployment told makes no sense. The text is one line that names it.
class ConfigError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

struct Config {
  std::string name;
  runtime::Endpoint listen;
  runtime::Endpoint discovery;
  std::optional<runtime::Endpoint> ops;  // where operators call; absent: nowhere
  std::uint64_t seed = 0;
  std::size_t sockets = 0;
  std::size_t memory = 0;  // bytes
  nlohmann::json known;  // the list of upstreams as last held, in discovery's form; null where there is none
  balancer::Settings settings;
};

// Reads what `variable` (std::getenv's form) and the file it names tell. Throws ConfigError.
Config LoadConfig(const std::function<const char*(const char*)>& variable);

}  // namespace mothrack::sidecar
