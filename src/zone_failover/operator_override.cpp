#include "zone_failover/operator_override.h"

namespace mothrack::zone_failover {
namespace {

bool Precedes(const OperatorOverride& a, const OperatorOverride& b) {
  if (a.number != b.number) return a.number > b.number;
  if (a.kind != b.kind) return a.kind > b.kind;
  return a.owner < b.owner;
}

}  // namespace

const OperatorOverride* EffectiveOverride(const std::string& zone,
                                          const std::vector<OperatorOverride>& overrides, TimePoint now) {
  const OperatorOverride* effective = nullptr;
  for (const OperatorOverride& candidate : overrides) {
    if (candidate.zone != zone || now >= candidate.until) continue;
    if (effective == nullptr || Precedes(candidate, *effective)) effective = &candidate;
  }
  return effective;
}

}  // namespace mothrack::zone_failover
