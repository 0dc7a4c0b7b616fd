#include "dns/settings.h"

#include <algorithm>

namespace mothrack::dns {

using std::chrono::milliseconds;

std::vector<ClassSettings> DefaultClasses() {
  // Stub resolvers give up after 5 s. A response after its objective keeps some weight: the attempt
  // continues, and a hedged request goes to another resolver.
  return {
      {"query", kQuery, {}, milliseconds(1000), milliseconds(4000), balancer::Effect::kSafe, 1, 0.5},
      {"update", kUpdate, {}, milliseconds(2000), milliseconds(4500), balancer::Effect::kUnsafe, 5, 0.5},
      {"notify", kNotify, {}, milliseconds(2000), milliseconds(4000), balancer::Effect::kSafe, 1, 0.5},
  };
}

const ClassSettings* Classifier::Find(std::uint8_t opcode, std::uint16_t qtype, balancer::ClassId& id) const {
  for (std::size_t i = 0; i < classes_.size(); ++i) {
    const ClassSettings& c = classes_[i];
    if (c.opcode != opcode) continue;
    if (!c.qtypes.empty() && std::find(c.qtypes.begin(), c.qtypes.end(), qtype) == c.qtypes.end()) continue;
    id = balancer::ClassId{i};
    return &c;
  }
  return nullptr;
}

balancer::Settings ModuleSettings(const Settings& settings) {
  balancer::Settings out;
  for (const ClassSettings& c : settings.classes) {
    balancer::RequestClass known;
    known.name = c.name;
    known.latency_objective = c.latency_objective;
    known.deadline = c.deadline;
    known.effect = c.effect;
    known.priority_weight = c.priority_weight;
    known.late_priority_weight = c.late_priority_weight;
    out.classes.push_back(std::move(known));
  }
  out.limits.max_attempts = settings.max_attempts;
  out.limits.hedging = true;
  out.limits.cancel = true;
  out.limits.probes = false;       // real queries serve as half-open probes
  out.limits.retry_after = false;  // DNS has no such field
  out.limits.connect_timeout = settings.connect_timeout;
  out.limits.idle_close = settings.resolver_idle;
  out.limits.streams = settings.max_open_per_connection;
  return out;
}

dispatch::MembershipList Resolvers(const Settings& settings) {
  dispatch::MembershipList list;
  list.update.kind = balancer::MembershipUpdate::Kind::kFull;
  for (const ResolverSettings& r : settings.resolvers) {
    balancer::UpstreamInfo info;
    info.id.value = r.uid;
    info.zone = r.zone;
    info.weight = r.weight;
    info.state = r.leaving ? balancer::UpstreamState::kDraining : balancer::UpstreamState::kServing;
    list.locations[r.uid] = dispatch::Location{info.state, r.endpoint, 0};
    list.update.upstreams.push_back(std::move(info));
  }
  return list;
}

}  // namespace mothrack::dns
