// Consistent hashing with bounded loads (Mirrokni, Thorup, Zadimoghaddam, 2018) over a ring, and hot keys
// that are spread over several owners. Reasons and tables: docs/design/hash_ring.md, "Rules of load".
//
// Bound of a node: no node is picked if it would then have more requests in flight than (1 + e) times its
// share, by weight, of the fleet's requests in flight, or than a small minimum if that is greater. The counts
// of other members are as old as their last report; a report that is too old is not used. A member that
// receives no reports applies the same bound to its own counts.
//
// Hot keys: a key that the fleet requests more often than one node's allowance for a key is served by as many
// of its first owners as necessary, each request by one of them. Members with the same counts reach the same
// number of owners; within the hysteresis too, because each member reports the number that it uses.
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

// The bounds of nodes and keys. Shares are thousandths. The values must be the same at all members, or they
// reach different numbers of owners.
struct LoadBoundConfig {
  // e of the bound. With 0.25 few requests leave their first owner, and no node is overloaded.
  std::uint32_t excess = 250;
  // Minimum bound of a node, in requests in flight. Without it, light traffic would leave its owner.
  std::uint32_t min_limit = 4;
  // The request rate of one key that one node may serve (its allowance), as a share of the mean request rate
  // of a node.
  std::uint32_t hot_share = 500;
  // Minimum of that allowance, in requests per period, so that a quiet fleet has no hot keys.
  std::uint32_t min_hot_rate = 50;
  // A key loses owners once each remaining one would have less than this share of the allowance.
  std::uint32_t cool_share = 750;
  // Maximum number of owners of one key.
  std::uint32_t max_owners = 16;
  // A member's report is not used for longer than this.
  Duration report_ttl{2'000};
  // Rates are requests per period; half of the previous rate is carried over to smooth them.
  Duration period{1'000};
};

// The report that one member sends to the others.
struct LoadReport {
  static constexpr std::size_t kMaxHeavyKeys = 16;  // bounds the size of a report
  struct HeavyKey {
    std::uint64_t key = 0;
    std::uint32_t rate = 0;    // per period
    std::uint32_t owners = 1;  // the number that the member uses
    bool operator==(const HeavyKey&) const = default;
  };
  std::map<std::string, std::uint32_t, std::less<>> in_flight;  // by uid; at most kMaxNodes
  std::uint32_t rate = 0;                                       // of all keyed requests, per period
  std::vector<HeavyKey> heavy_keys;                             // heaviest first
};

// Not thread-safe. Memory is bounded for any input. The result of Pick() is advice: the balancer bypasses an
// owner that is ejected, at the start of its slow start or in a drained zone.
class BoundedLoad {
 public:
  static constexpr std::size_t kMaxMembers = 4096;  // the same bound as in gossip

  explicit BoundedLoad(const LoadBoundConfig& config, TimePoint now)
      : config_(config), period_started_(now) {}

  // Replaces the ring, which must not be null. Counts stay with their nodes.
  void SetRing(std::shared_ptr<const Ring> ring);
  // Handles a report that another member sent `age` ago, as far as known. Ignores a report that is too old,
  // older than the member's latest one or beyond a bound, and a new member's once there are kMaxMembers.
  void OnReport(const std::string& member, LoadReport report, Duration age, TimePoint now);
  // This member's report.
  LoadReport Report() const;
  // Forgets reports that are too old and, at the end of a period, updates the rates. Must be called at least
  // four times per period.
  void Update(TimePoint now);

  // Returns the nodes for a request in the order in which to try them, as indices into ring().nodes(); at
  // most `max`. `request` is any number that differs from request to request. Empty only if no node serves or
  // `max` is 0.
  void Pick(std::uint64_t key, std::uint64_t request, std::size_t max, std::vector<std::uint32_t>& nodes);
  // Records the start and the end of an attempt of this member to a node.
  void OnAttemptStarted(std::string_view uid);
  void OnAttemptEnded(std::string_view uid);

  const Ring& ring() const { return *ring_; }
  // Requests in flight to one node, and to all serving nodes, by this member's and the reported counts.
  std::uint64_t in_flight(std::uint32_t node) const { return in_flight_[node]; }
  std::uint64_t in_flight() const { return total_in_flight_; }
  // The bound of a node: (1 + e) times its share of all requests in flight and one further request, rounded
  // up, and at least `min_limit`. 0 if no node serves.
  std::uint64_t Limit(std::uint32_t node) const;
  // The number of owners over which a key is spread; 1 unless it is hot.
  std::uint32_t owners_of(std::uint64_t key) const;
  std::size_t members_reporting() const { return reports_.size(); }
  std::uint64_t over_limit() const { return over_limit_; }  // requests that skipped their first owner

 private:
  struct ReceivedReport {
    LoadReport report;
    TimePoint at;  // when its content was current
  };
  struct KeyRate {
    std::uint64_t key = 0;
    std::uint32_t rate = 0;  // per period
  };
  // The demand of the entire fleet for a key.
  struct KeyDemand {
    std::uint64_t rate = 0;    // per period
    std::uint32_t owners = 0;  // the highest number that any member uses
  };

  // Recomputes the counts of requests in flight; called when the ring or a report has changed.
  void RecountInFlight();
  void ClosePeriod();
  // Smooths the rates of the keys in the sketch into own_rates_ and clears the sketch. Returns the rates, the
  // highest first.
  std::vector<KeyRate> UpdateOwnRates();
  // The demand for this member's heaviest keys and for the reported ones.
  std::map<std::uint64_t, KeyDemand> FleetDemand(const std::vector<KeyRate>& own) const;
  void AssignOwners(const std::map<std::uint64_t, KeyDemand>& demands);

  LoadBoundConfig config_;
  std::shared_ptr<const Ring> ring_ = std::make_shared<const Ring>();
  std::map<std::string, std::uint32_t, std::less<>> own_in_flight_;  // by uid
  std::map<std::string, ReceivedReport> reports_;                    // the latest one by member
  std::vector<std::uint64_t> in_flight_;                             // by node: own and reported
  std::uint64_t total_in_flight_ = 0;
  HeavyHitterSketch sketch_;    // of the current period
  std::uint32_t requests_ = 0;  // in the current period
  TimePoint period_started_;
  std::uint32_t rate_ = 0;                            // smoothed, of all requests
  std::map<std::uint64_t, std::uint32_t> own_rates_;  // smoothed, of heavy keys
  std::map<std::uint64_t, std::uint32_t> owners_;     // only of keys with more than one
  std::uint64_t over_limit_ = 0;
  std::vector<Owner> scratch_;  // of Pick(); reused to avoid allocations
};

}  // namespace mothrack::hash_ring
