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
    const ClassSettings& class_settings = classes_[i];
    if (class_settings.opcode != opcode) continue;
    if (!class_settings.qtypes.empty() &&
        std::find(class_settings.qtypes.begin(), class_settings.qtypes.end(), qtype) ==
            class_settings.qtypes.end())
      continue;
    id = balancer::ClassId{i};
    return &class_settings;
  }
  return nullptr;
}

balancer::Settings ModuleSettings(const Settings& settings) {
  balancer::Settings out;
  for (const ClassSettings& class_settings : settings.classes) {
    balancer::RequestClass request_class;
    request_class.name = class_settings.name;
    request_class.latency_objective = class_settings.latency_objective;
    request_class.deadline = class_settings.deadline;
    request_class.effect = class_settings.effect;
    request_class.priority_weight = class_settings.priority_weight;
    request_class.late_priority_weight = class_settings.late_priority_weight;
    out.classes.push_back(std::move(request_class));
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
  for (const ResolverSettings& resolver : settings.resolvers) {
    balancer::UpstreamInfo info;
    info.id.value = resolver.uid;
    info.zone = resolver.zone;
    info.weight = resolver.weight;
    info.state = resolver.leaving ? balancer::UpstreamState::kDraining : balancer::UpstreamState::kServing;
    list.locations[resolver.uid] = dispatch::Location{info.state, resolver.endpoint, 0};
    list.update.upstreams.push_back(std::move(info));
  }
  return list;
}

}  // namespace mothrack::dns
