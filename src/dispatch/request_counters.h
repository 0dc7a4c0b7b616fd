// Counts what became of requests, by class, tenant and outcome.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "balancer/balancer.h"

namespace mothrack::dispatch {

class RequestCounters {
 public:
  enum class Outcome { kServed, kRejected, kFailed, kLate, kLeft };  // kLate: failed as its time was over
  static constexpr std::size_t kOutcomes = 5;

  struct Row {
    balancer::ClassId request_class{};
    std::optional<balancer::TenantId> tenant{};
    std::uint64_t taken = 0;
    std::uint64_t sent = 0;                        // attempts written whole
    std::array<std::uint64_t, kOutcomes> ended{};  // by Outcome
    std::uint64_t Of(Outcome outcome) const { return ended[static_cast<std::size_t>(outcome)]; }
  };

  // Bounded by what the settings name; a tenant that they don't name counts as none.
  RequestCounters(std::size_t classes, std::size_t tenants)
      : tenants_(tenants), rows_(classes * (tenants + 1)) {
    for (std::size_t i = 0; i < rows_.size(); ++i) {
      rows_[i].request_class = balancer::ClassId{i / (tenants + 1)};
      if (const std::size_t tenant = i % (tenants + 1); tenant > 0) {
        rows_[i].tenant = balancer::TenantId{tenant - 1};
      }
    }
  }

  void Taken(balancer::ClassId cls, std::optional<balancer::TenantId> tenant) { ++Of(cls, tenant).taken; }
  void Sent(balancer::ClassId cls, std::optional<balancer::TenantId> tenant) { ++Of(cls, tenant).sent; }
  void Ended(balancer::ClassId cls, std::optional<balancer::TenantId> tenant, Outcome outcome) {
    ++Of(cls, tenant).ended[static_cast<std::size_t>(outcome)];
  }

  const std::vector<Row>& rows() const { return rows_; }

 private:
  Row& Of(balancer::ClassId cls, std::optional<balancer::TenantId> tenant) {
    const std::size_t place = tenant ? static_cast<std::size_t>(*tenant) + 1 : 0;
    return rows_[static_cast<std::size_t>(cls) * (tenants_ + 1) + (place <= tenants_ ? place : 0)];
  }

  std::size_t tenants_;
  std::vector<Row> rows_;
};

}  // namespace mothrack::dispatch
