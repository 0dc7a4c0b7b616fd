// Keeps a ring's nodes within bounds: an ordered list of owners for a request, without those that are full,
// and spread where its key is hot.
//   * No node above (1 + e) of its share, by weight, of what the fleet has in flight, or above a few. What
//   others have is as old as they
//     last told; what is older than its life is not used, and a member that hears nobody goes by its own
//     counts, of which each node has its share as well.
//   * A key that the fleet asks for more often than one node is allowed for one key goes to as many of its
//   first owners
//     as it takes, each request to one of them by its hash. Members with the same counts come to the same
//     number, also within the hysteresis: each tells the number that it goes by.
// Pure; bounded, whatever is asked for and told. What the list holds is advice: the module passes an owner
// over that is ejected, cold or in a zone that is left.
#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "hash_ring/ring.h"
#include "hash_ring/ring_builder.h"

namespace mothrack::hash_ring {

struct LoadBoundConfig {
  std::uint32_t excess =
      250;  // e, in thousandths: at 0.25 few requests leave their first owner, and none is overloaded
  std::uint32_t min_limit =
      4;  // in flight at a node that never count as too many: else light traffic would leave its owner
  std::uint32_t hot_share =
      500;  // a node's allowance for one key, in thousandths of what a mean node is asked for
  std::uint32_t min_hot_rate =
      50;  // that allowance is never below as many in a period: a quiet fleet has no hot key
  std::uint32_t cool_share =
      750;  // fewer owners once they would have less than this of the allowance, in thousandths
  std::uint32_t max_owners = 16;  // owners of one key at most
  Duration report_ttl{2'000};     // of what another member told
  Duration period{1'000};         // rates are taken over one, and smoothed by a half
};

// The keys asked for most, in bounded memory (space saving): a key with more than 1 / kCapacity of all
// requests is among them, its count too high by at most what `extra` says. 64 x 24 bytes; one pass over them
// a request.
class HeavyHitterSketch {
 public:
  static constexpr std::size_t kCapacity = 64;
  struct Entry {
    std::uint64_t key = 0;
    std::uint32_t count = 0;
    std::uint32_t overcount = 0;
  };
  void Add(std::uint64_t key);
  void Clear() { used_ = 0; }
  const Entry* begin() const { return entries_.data(); }
  const Entry* end() const { return entries_.data() + used_; }

 private:
  std::array<Entry, kCapacity> entries_{};
  std::size_t used_ = 0;
};

// What a member tells: what it has in flight, and its heaviest keys.
struct LoadReport {
  static constexpr std::size_t kMaxHeavyKeys = 16;
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

class BoundedLoad {
 public:
  static constexpr std::size_t kMaxMembers = 4096;  // as the peers

  explicit BoundedLoad(const LoadBoundConfig& config, TimePoint now)
      : config_(config), period_started_(now) {}

  // The ring changed: counts stay with their nodes.
  void SetRing(std::shared_ptr<const Ring> ring);
  // Another member told that, `age` ago as far as is known.
  void OnReport(const std::string& member, LoadReport report, Duration age, TimePoint now);
  // What this one tells.
  LoadReport Report() const;
  // Rates are taken and lapsed counts leave. Call it four times a period, or more often.
  void Update(TimePoint now);

  // Nodes for a request in the order in which to try them, by index in ring()->nodes(); at most `most`.
  // `request` is any number that differs from request to request. Empty only where no node serves.
  void Pick(std::uint64_t key, std::uint64_t request, std::size_t most, std::vector<std::uint32_t>& nodes);
  // An attempt went to a node, or ended there.
  void OnAttemptStarted(std::string_view uid);
  void OnAttemptEnded(std::string_view uid);

  const Ring& ring() const { return *ring_; }
  std::uint64_t in_flight(std::uint32_t node) const { return in_flight_[node]; }
  std::uint64_t in_flight() const { return total_; }
  // (1 + e) of the node's share of all in flight, a further one included; rounded up, and `least` at least.
  std::uint64_t Limit(std::uint32_t node) const;
  std::uint32_t owners_of(std::uint64_t key) const;
  std::size_t members_reporting() const { return reports_.size(); }
  std::uint64_t over_limit() const { return over_limit_; }  // requests that passed over their first owner

 private:
  struct ReceivedReport {
    LoadReport report;
    TimePoint at;  // when it was true
  };
  // Of all that is known, what a node has; after the ring or what others told changed.
  void RecountInFlight();
  void ClosePeriod();

  LoadBoundConfig config_;
  std::shared_ptr<const Ring> ring_ = std::make_shared<const Ring>();
  std::map<std::string, std::uint32_t, std::less<>> own_in_flight_;  // in flight, by uid
  std::map<std::string, ReceivedReport> reports_;
  std::vector<std::uint64_t> in_flight_;  // by node: own and told
  std::uint64_t total_ = 0;
  HeavyHitterSketch sketch_;  // of this period
  std::uint32_t requests_ = 0;
  TimePoint period_started_;
  std::uint32_t rate_ = 0;
  std::map<std::uint64_t, std::uint32_t> own_rates_;  // of heavy keys, smoothed
  std::map<std::uint64_t, std::uint32_t> owners_;     // of keys that have more than one
  std::uint64_t over_limit_ = 0;
  std::vector<Owner> scratch_;
};

}  // namespace mothrack::hash_ring
