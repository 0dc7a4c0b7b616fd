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

#include "hash_ring/maker.h"
#include "hash_ring/ring.h"

namespace mothrack::hash_ring {

struct LoadTerms {
  std::uint32_t excess =
      250;  // e, in thousandths: at 0.25 few requests leave their first owner, and none is overloaded
  std::uint32_t least =
      4;  // in flight at a node that never count as too many: else light traffic would leave its owner
  std::uint32_t hot = 500;  // a node's allowance for one key, in thousandths of what a mean node is asked for
  std::uint32_t hot_least =
      50;  // that allowance is never below as many in a period: a quiet fleet has no hot key
  std::uint32_t cool =
      750;  // fewer owners once they would have less than this of the allowance, in thousandths
  std::uint32_t spread = 16;  // owners of one key at most
  Duration life{2'000};       // of what another member told
  Duration period{1'000};     // rates are taken over one, and smoothed by a half
};

// The keys asked for most, in bounded memory (space saving): a key with more than 1 / kSize of all requests
// is among them, its count too high by at most what `extra` says. 64 x 24 bytes; one pass over them a
// request.
class Sketch {
 public:
  static constexpr std::size_t kSize = 64;
  struct Entry {
    std::uint64_t key = 0;
    std::uint32_t count = 0;
    std::uint32_t extra = 0;
  };
  void Add(std::uint64_t key);
  void Clear() { used_ = 0; }
  const Entry* begin() const { return entries_.data(); }
  const Entry* end() const { return entries_.data() + used_; }

 private:
  std::array<Entry, kSize> entries_{};
  std::size_t used_ = 0;
};

// What a member tells: what it has in flight, and its heaviest keys.
struct Told {
  static constexpr std::size_t kMostHeavy = 16;
  struct Heavy {
    std::uint64_t key = 0;
    std::uint32_t rate = 0;    // in a period
    std::uint32_t owners = 1;  // that the member goes by
    bool operator==(const Heavy&) const = default;
  };
  std::map<std::string, std::uint32_t, std::less<>> in_flight;  // by uid; kMostNodes at most
  std::uint32_t rate = 0;                                       // of all keyed requests, in a period
  std::vector<Heavy> heavy;                                     // the heaviest first
};

class Load {
 public:
  static constexpr std::size_t kMostMembers = 4096;  // as the peers

  explicit Load(const LoadTerms& terms, TimePoint now) : terms_(terms), rolled_(now) {}

  // The ring changed: counts stay with their nodes.
  void Use(std::shared_ptr<const Ring> ring);
  // Another member told that, `age` ago as far as is known.
  void Hear(const std::string& member, Told told, Duration age, TimePoint now);
  // What this one tells.
  Told Tell() const;
  // Rates are taken and lapsed counts leave. Call it four times a period, or more often.
  void Turn(TimePoint now);

  // Nodes for a request in the order in which to try them, by index in ring()->nodes(); at most `most`.
  // `request` is any number that differs from request to request. Empty only where no node serves.
  void Pick(std::uint64_t key, std::uint64_t request, std::size_t most, std::vector<std::uint32_t>& nodes);
  // An attempt went to a node, or ended there.
  void Began(std::string_view uid);
  void Ended(std::string_view uid);

  const Ring& ring() const { return *ring_; }
  std::uint64_t in_flight(std::uint32_t node) const { return in_flight_[node]; }
  std::uint64_t in_flight() const { return total_; }
  // (1 + e) of the node's share of all in flight, a further one included; rounded up, and `least` at least.
  std::uint64_t Limit(std::uint32_t node) const;
  std::uint32_t owners_of(std::uint64_t key) const;
  std::size_t members_heard() const { return told_.size(); }
  std::uint64_t over_limit() const { return over_limit_; }  // requests that passed over their first owner

 private:
  struct From {
    Told told;
    TimePoint at;  // when it was true
  };
  // Of all that is known, what a node has; after the ring or what others told changed.
  void Sum();
  void Roll();

  LoadTerms terms_;
  std::shared_ptr<const Ring> ring_ = std::make_shared<const Ring>();
  std::map<std::string, std::uint32_t, std::less<>> own_;  // in flight, by uid
  std::map<std::string, From> told_;
  std::vector<std::uint64_t> in_flight_;  // by node: own and told
  std::uint64_t total_ = 0;
  Sketch sketch_;  // of this period
  std::uint32_t asked_ = 0;
  TimePoint rolled_;
  std::uint32_t rate_ = 0;
  std::map<std::uint64_t, std::uint32_t> own_rates_;  // of heavy keys, smoothed
  std::map<std::uint64_t, std::uint32_t> owners_;     // of keys that have more than one
  std::uint64_t over_limit_ = 0;
  std::vector<Owner> scratch_;
};

}  // namespace mothrack::hash_ring
