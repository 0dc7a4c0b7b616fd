// Counts requests by class, tenant and outcome since the start of the process.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "balancer/balancer.h"

namespace mothrack::dispatch {

// Not thread-safe; called by the event loop only.
class RequestCounters {
 public:
  enum class Outcome {
    kServed,
    kRejected,
    kFailed,
    kLate,  // failed because its deadline had passed
    kClientDisconnected,
  };
  static constexpr std::size_t kOutcomes = 5;

  // The counts of one class and tenant.
  struct Row {
    balancer::ClassId request_class{};
    std::optional<balancer::TenantId> tenant{};  // absent: requests without a tenant that the settings name
    std::uint64_t accepted = 0;
    std::uint64_t sent = 0;                        // attempts whose last byte was written
    std::array<std::uint64_t, kOutcomes> ended{};  // by Outcome
    std::uint64_t Count(Outcome outcome) const { return ended[static_cast<std::size_t>(outcome)]; }
  };

  // `classes`, `tenants`: how many the settings have, which bounds the table. Requests of unknown tenants are
  // counted as requests without a tenant.
  RequestCounters(std::size_t classes, std::size_t tenants)
      : tenants_(tenants), rows_(classes * (tenants + 1)) {
    for (std::size_t i = 0; i < rows_.size(); ++i) {
      rows_[i].request_class = balancer::ClassId{i / (tenants + 1)};
      if (const std::size_t tenant = i % (tenants + 1); tenant > 0) {
        rows_[i].tenant = balancer::TenantId{tenant - 1};
      }
    }
  }

  // `request_class` is one of the settings' classes.
  void CountAccepted(balancer::ClassId request_class, std::optional<balancer::TenantId> tenant) {
    ++RowOf(request_class, tenant).accepted;
  }
  void CountSent(balancer::ClassId request_class, std::optional<balancer::TenantId> tenant) {
    ++RowOf(request_class, tenant).sent;
  }
  void CountOutcome(balancer::ClassId request_class, std::optional<balancer::TenantId> tenant,
                    Outcome outcome) {
    ++RowOf(request_class, tenant).ended[static_cast<std::size_t>(outcome)];
  }

  // Sorted by class, then tenant (no tenant first); includes rows without counts.
  const std::vector<Row>& rows() const { return rows_; }

 private:
  Row& RowOf(balancer::ClassId request_class, std::optional<balancer::TenantId> tenant) {
    const std::size_t column = tenant ? static_cast<std::size_t>(*tenant) + 1 : 0;
    return rows_[static_cast<std::size_t>(request_class) * (tenants_ + 1) +
                 (column <= tenants_ ? column : 0)];
  }

  std::size_t tenants_;
  std::vector<Row> rows_;
};

}  // namespace mothrack::dispatch
