// The simulator's wire: JSON to events, actions to JSON. No decisions live here.
#pragma once

#include <cstdint>
#include <map>
#include <stdexcept>
#include <string>
#include <vector>

#include "balancer/balancer.h"
#include "nlohmann/json.hpp"

namespace mothrack::simulator_adapter {

// A line that is not a batch, or lacks a field that it needs. The text names the field or the event.
class Error : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// The settings of one instance, from `Launch`'s `Params`. Missing settings keep their defaults.
balancer::Settings ParseSettings(const nlohmann::json& params);

// Hosts the instances of one process. Instances share nothing but the numbered lists they are handed.
class Host {
 public:
  // One batch in, one reply out (without the line's end). Throws Error.
  std::string Reply(const std::string& line);

 private:
  struct Instance {
    balancer::Settings settings;
    balancer::Balancer balancer;
    std::map<std::string, std::size_t> classes;
    std::map<std::string, std::size_t> tenants;
  };

  void HandleEvent(const nlohmann::json& item, balancer::TimePoint now, nlohmann::json& cmds);
  // `item`: a Launch event of this instance.
  void Launch(std::int64_t number, const nlohmann::json& item);
  balancer::Event ToEvent(const std::string& type, const nlohmann::json& item,
                          const Instance& instance) const;
  balancer::MembershipUpdate ToMembership(const nlohmann::json& item) const;

  std::map<std::int64_t, Instance> instances_;
  std::map<std::int64_t, std::vector<balancer::UpstreamInfo>> upstream_lists_;
  std::vector<balancer::Action> actions_;
};

}  // namespace mothrack::simulator_adapter
