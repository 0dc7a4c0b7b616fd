// Validation of the settings. The errors name the keys of the settings' JSON.
#include <stdexcept>
#include <string>

#include "balancer/balancer.h"

namespace mothrack::balancer {
namespace {

void Require(bool valid, const char* setting) {
  if (!valid) throw std::invalid_argument(std::string("invalid balancer setting: ") + setting);
}

}  // namespace

void Settings::Validate() const {
  Require(!classes.empty(), "classes");
  for (const RequestClass& request_class : classes) {
    Require(request_class.latency_objective > Duration::zero(), "classes.aim");
    Require(request_class.deadline > Duration::zero(), "classes.deadline");
    Require(request_class.effect != Effect::kKeyed || request_class.key_window > Duration::zero(),
            "classes.key_window");
    Require(request_class.priority_weight >= 0, "classes.worth");
    Require(request_class.late_priority_weight >= 0 && request_class.late_priority_weight <= 1,
            "classes.late_worth");
    Require(request_class.latency_objective_stretch >= 0, "classes.aim_stretch");
  }
  for (const Tenant& tenant : tenants) Require(tenant.share >= 0 && tenant.quota_per_s >= 0, "tenants");
  Require(sidecar_count > 0, "balancers");
  Require(limits.max_attempts > 0, "limits.max_attempts");
  Require(limits.connect_timeout > Duration::zero(), "limits.connect_timeout");
  Require(limits.idle_close > Duration::zero(), "limits.idle_close");
  Require(limits.max_retry_after >= Duration::zero(), "limits.max_retry_after");
  Require(rules.answer_grace >= Duration::zero(), "rules.answer_grace");
  Require(rules.poll_within > Duration::zero(), "rules.ask_within");
  Require(rules.drain_within >= Duration::zero(), "rules.drain_within");
  Require(rules.slow_start_initial_share > 0 && rules.slow_start_initial_share <= 1, "rules.cold_from");
  Require(rules.slow_start_duration > Duration::zero(), "rules.cold_time");
  Require(rules.overload_multiple > 0, "rules.fall_multiple");
  Require(rules.overload_window > Duration::zero(), "rules.fall_window");
}

}  // namespace mothrack::balancer
