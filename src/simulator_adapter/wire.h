// The simulator's protocol: translates JSON to the balancer's events and the balancer's actions to JSON. It
// makes no decisions. Not thread-safe.
#pragma once

#include <cstdint>
#include <map>
#include <stdexcept>
#include <string>
#include <vector>

#include "balancer/balancer.h"
#include "nlohmann/json.hpp"

namespace mothrack::simulator_adapter {

// Thrown for a line that is not a batch, or that lacks a required field or has an invalid one. The text names
// the field, if there is one, and the type of the event that has it.
class ProtocolError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// Reads the settings of one instance from `Params` of a `Launch` event. Missing settings keep their defaults.
// Throws ProtocolError.
balancer::Settings ParseSettings(const nlohmann::json& params);

// The balancer instances of one simulator_adapter process. They share only the upstream lists, which the
// simulator sends once and refers to by number.
class Host {
 public:
  // Handles one batch and returns the reply without a line end. Throws ProtocolError.
  std::string Reply(const std::string& line);

 private:
  struct Instance {
    balancer::Settings settings;
    balancer::Balancer balancer;
    std::map<std::string, std::size_t> class_numbers;   // indexes in Settings::classes, by name
    std::map<std::string, std::size_t> tenant_numbers;  // indexes in Settings::tenants, by name
  };

  // Handles one event of a batch and appends the resulting actions to `cmds`.
  void HandleEvent(const nlohmann::json& item, balancer::TimePoint now, nlohmann::json& cmds);
  // Starts an instance. `item`: its Launch event.
  void Launch(std::int64_t number, const nlohmann::json& item);
  balancer::Event ToEvent(const std::string& type, const nlohmann::json& item,
                          const Instance& instance) const;
  balancer::MembershipUpdate ToMembership(const nlohmann::json& item) const;

  std::map<std::int64_t, Instance> instances_;                                  // by instance number
  std::map<std::int64_t, std::vector<balancer::UpstreamInfo>> upstream_lists_;  // by list number
  std::vector<balancer::Action> actions_;
};

}  // namespace mothrack::simulator_adapter
