// Consistent hashing with bounded loads (Mirrokni, Thorup, Zadimoghaddam, 2018) over a ring, and hot keys
// spread over several owners. Reasons and tables: docs/design/hash_ring.md, "Rules of load".
//   * No node is picked above (1 + e) of its share, by weight, of what the fleet has in flight, or above a
//     few. What other members have is as old as their last report; one that is too old is not used, and a
//     member that hears nobody goes by its own counts, of which each node has its share as well.
//   * A key that the fleet asks for more often than one node is allowed for one key is served by as many of
//     its first owners as that takes, each request by one of them. Members with the same counts come to the
//     same number of owners; within the hysteresis as well, as each reports the number that it goes by.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "hash_ring/heavy_hitter_sketch.h"
#include "hash_ring/ring.h"
#include "hash_ring/ring_builder.h"

namespace mothrack::hash_ring {

// Shares are thousandths. The same at all members, or they come to different numbers of owners.
struct LoadBoundConfig {
  // e of the bound. At 0.25 few requests leave their first owner, and no node is overloaded.
  std::uint32_t excess = 250;
  // A node's bound is never below so many in flight: else light traffic would leave its owner.
  std::uint32_t min_limit = 4;
  // A node's allowance for one key, of what the mean node is asked for.
  std::uint32_t hot_share = 500;
  // That allowance is never below so many requests a period: a quiet fleet has no hot key.
  std::uint32_t min_hot_rate = 50;
  // A key loses owners once each of the remaining ones would have less than this share of the allowance.
  std::uint32_t cool_share = 750;
  // Owners of one key at most.
  std::uint32_t max_owners = 16;
  // A member's report is not used for longer.
  Duration report_ttl{2'000};
  // Rates are requests in one period, smoothed by a half.
  Duration period{1'000};
};

// What one member reports to the others.
struct LoadReport {
  static constexpr std::size_t kMaxHeavyKeys = 16;  // bounds the report
  struct HeavyKey {
    std::uint64_t key = 0;
    std::uint32_t rate = 0;    // in a period
    std::uint32_t owners = 1;  // that the member goes by
    bool operator==(const HeavyKey&) const = default;
  };
  std::map<std::string, std::uint32_t, std::less<>> in_flight;  // by uid; kMaxNodes at most
  std::uint32_t rate = 0;                                       // of all keyed requests, in a period
  std::vector<HeavyKey> heavy_keys;                             // the heaviest first
};

// Not thread-safe. Memory is bounded whatever it is asked and told. What Pick() gives is advice: the balancer
// bypasses an owner that is ejected, cold or in a drained zone.
class BoundedLoad {
 public:
  static constexpr std::size_t kMaxMembers = 4096;  // as many as gossip knows

  explicit BoundedLoad(const LoadBoundConfig& config, TimePoint now)
      : config_(config), period_started_(now) {}

  // The ring changed: counts stay with their nodes. Must not be null.
  void SetRing(std::shared_ptr<const Ring> ring);
  // A report that another member sent `age` ago, as far as is known. Ignored where it is too old, older than
  // the last one, beyond a bound, or from one member too many.
  void OnReport(const std::string& member, LoadReport report, Duration age, TimePoint now);
  // What this member reports.
  LoadReport Report() const;
  // Forgets reports that are too old and, at the end of a period, takes the rates. Call it four times a
  // period, or more often.
  void Update(TimePoint now);

  // Nodes for a request in the order in which to try them, by index in ring().nodes(); at most `max`.
  // `request` is any number that differs from request to request. Empty only where no node serves, or `max`
  // is 0.
  void Pick(std::uint64_t key, std::uint64_t request, std::size_t max, std::vector<std::uint32_t>& nodes);
  void OnAttemptStarted(std::string_view uid);
  void OnAttemptEnded(std::string_view uid);

  const Ring& ring() const { return *ring_; }
  std::uint64_t in_flight(std::uint32_t node) const { return in_flight_[node]; }
  std::uint64_t in_flight() const { return total_in_flight_; }
  // (1 + e) of the node's share of all in flight, a further one included; rounded up, and `min_limit` at
  // least; 0 where no node serves.
  std::uint64_t Limit(std::uint32_t node) const;
  std::uint32_t owners_of(std::uint64_t key) const;
  std::size_t members_reporting() const { return reports_.size(); }
  std::uint64_t over_limit() const { return over_limit_; }  // requests that passed over their first owner

 private:
  struct ReceivedReport {
    LoadReport report;
    TimePoint at;  // when it was true
  };
  struct KeyRate {
    std::uint64_t key = 0;
    std::uint32_t rate = 0;  // in a period
  };
  // The demand for a key by the whole fleet.
  struct KeyDemand {
    std::uint64_t rate = 0;    // in a period
    std::uint32_t owners = 0;  // the most that any member goes by
  };

  // Counts again what each node has in flight, after the ring or a report changed.
  void RecountInFlight();
  void ClosePeriod();
  // Smooths the rates of the keys in the sketch into own_rates_; the heaviest first.
  std::vector<KeyRate> TakeOwnRates();
  // Of this member's heaviest keys and those that were reported.
  std::map<std::uint64_t, KeyDemand> FleetDemand(const std::vector<KeyRate>& own) const;
  void AssignOwners(const std::map<std::uint64_t, KeyDemand>& demands);

  LoadBoundConfig config_;
  std::shared_ptr<const Ring> ring_ = std::make_shared<const Ring>();
  std::map<std::string, std::uint32_t, std::less<>> own_in_flight_;  // by uid
  std::map<std::string, ReceivedReport> reports_;                    // the last, by member
  std::vector<std::uint64_t> in_flight_;                             // by node: own and reported
  std::uint64_t total_in_flight_ = 0;
  HeavyHitterSketch sketch_;    // of this period
  std::uint32_t requests_ = 0;  // of this period
  TimePoint period_started_;
  std::uint32_t rate_ = 0;                            // smoothed, of all requests
  std::map<std::uint64_t, std::uint32_t> own_rates_;  // smoothed, of heavy keys
  std::map<std::uint64_t, std::uint32_t> owners_;     // of keys that have more than one
  std::uint64_t over_limit_ = 0;
  std::vector<Owner> scratch_;
};

}  // namespace mothrack::hash_ring
