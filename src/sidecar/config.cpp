#include "sidecar/config.h"

#include <sys/resource.h>

#include <algorithm>
#include <charconv>
#include <fstream>
#include <utility>

#include "sidecar/settings_schema.h"
#include "simulator_adapter/wire.h"

namespace mothrack::sidecar {
namespace {

using nlohmann::json;

// The lowest valid limit of open descriptors. It covers those that are always open, and a few for clients and
// upstreams.
constexpr std::size_t kMinSockets = 64;

std::string RequiredVariable(const std::function<const char*(const char*)>& variable, const char* name) {
  const char* value = variable(name);
  if (value == nullptr || *value == '\0') throw ConfigError(std::string(name) + " is not set");
  return value;
}

runtime::Endpoint ParseAddress(const std::string& name, const std::string& text) {
  const auto endpoint = runtime::ParseEndpoint(text);
  if (!endpoint) throw ConfigError(name + " is not an address and port: " + text);
  return *endpoint;
}

runtime::Endpoint AddressVariable(const std::function<const char*(const char*)>& variable, const char* name) {
  return ParseAddress(name, RequiredVariable(variable, name));
}

const json& RequiredField(const json& object, const std::string& path, const char* name) {
  const auto it = object.find(name);
  if (it == object.end()) throw ConfigError("LB_CONFIG: " + path + name + " is missing");
  return *it;
}

std::uint64_t ReadSeed(const json& file) {
  const json& field = RequiredField(file, "", "seed");
  if (field.is_number_unsigned()) return field.get<std::uint64_t>();
  std::uint64_t seed = 0;
  if (field.is_string()) {
    const auto& text = field.get_ref<const std::string&>();
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), seed, 16);
    if (error == std::errc() && end == text.data() + text.size()) return seed;
  }
  throw ConfigError("LB_CONFIG: seed is not a hexadecimal number");
}

// Returns the lower of the deployment's limit and the process's resource limit.
std::size_t ReadSocketLimit(const json& file) {
  const json& limits = RequiredField(file, "", "limits");
  if (!limits.is_object()) throw ConfigError("LB_CONFIG: limits is not an object");
  const json& field = RequiredField(limits, "limits.", "sockets");
  if (!field.is_number_unsigned() || field.get<std::uint64_t>() < kMinSockets) {
    throw ConfigError("LB_CONFIG: limits.sockets is not an integer of at least " +
                      std::to_string(kMinSockets));
  }
  auto sockets = field.get<std::uint64_t>();
  rlimit limit{};
  if (getrlimit(RLIMIT_NOFILE, &limit) == 0 && limit.rlim_cur != RLIM_INFINITY) {
    sockets = std::min<std::uint64_t>(sockets, limit.rlim_cur);
  }
  return sockets;
}

// Memory limits in MiB: the default, and an upper bound that catches a value in a wrong unit.
constexpr std::uint64_t kDefaultMemoryMib = 192;
constexpr double kMaxMemoryMib = 1e6;

std::size_t ReadMemoryLimit(const json& file) {
  const json& limits = RequiredField(file, "", "limits");
  const auto field = limits.find("memory_mb");
  if (field == limits.end()) return kDefaultMemoryMib << 20;
  if (!field->is_number() || !(field->get<double>() >= 1)) {
    throw ConfigError("LB_CONFIG: limits.memory_mb is not a number of at least 1");
  }
  return static_cast<std::size_t>(std::min(field->get<double>(), kMaxMemoryMib) * (1 << 20));
}

balancer::Settings ReadSettings(const json& file) {
  const json& field = RequiredField(file, "", "settings");
  CheckSettings(field, Pass::kTypes);
  std::string module_error;  // uses the names of the balancer module for the settings
  try {
    auto settings = simulator_adapter::ParseSettings(field);
    try {
      settings.Validate();
    } catch (const std::exception& e) {
      module_error = e.what();
    }
    CheckSettings(field, Pass::kRanges);
    if (module_error.empty()) return settings;
  } catch (const ConfigError& e) {
    throw ConfigError(e.what() + (module_error.empty() ? "" : " (" + module_error + ')'));
  } catch (const std::exception& e) {
    module_error = e.what();
  }
  throw ConfigError("LB_CONFIG: settings: " + module_error);
}

}  // namespace

Config LoadConfig(const std::function<const char*(const char*)>& variable) {
  Config config;
  config.name = RequiredVariable(variable, "LB_NAME");
  config.listen = AddressVariable(variable, "LB_LISTEN");
  config.discovery = AddressVariable(variable, "LB_DISCOVERY");
  const auto path = RequiredVariable(variable, "LB_CONFIG");
  std::ifstream stream(path);
  if (!stream) throw ConfigError("LB_CONFIG: cannot read " + path);
  const json file = json::parse(stream, nullptr, false);
  if (!file.is_object()) throw ConfigError("LB_CONFIG: " + path + " is not a JSON object");
  config.seed = ReadSeed(file);
  config.sockets = ReadSocketLimit(file);
  config.memory = ReadMemoryLimit(file);
  config.settings = ReadSettings(file);
  // The file takes precedence: unlike the environment it can be replaced while the process runs.
  if (const auto discovery = file.find("discovery"); discovery != file.end()) {
    if (!discovery->is_string()) throw ConfigError("LB_CONFIG: discovery is not a string");
    config.discovery = ParseAddress("LB_CONFIG: discovery", discovery->get<std::string>());
  }
  // The environment takes precedence: the file may be shared with a former process.
  if (const char* ops = variable("LB_OPS"); ops != nullptr && *ops != '\0') {
    config.ops = ParseAddress("LB_OPS", ops);
  } else if (const auto in_file = file.find("ops"); in_file != file.end()) {
    if (!in_file->is_string()) throw ConfigError("LB_CONFIG: ops is not a string");
    config.ops = ParseAddress("LB_CONFIG: ops", in_file->get<std::string>());
  }
  if (const auto known = file.find("known"); known != file.end()) config.known = *known;
  return config;
}

}  // namespace mothrack::sidecar
