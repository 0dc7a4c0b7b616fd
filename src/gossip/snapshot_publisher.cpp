#include "gossip/snapshot_publisher.h"

#include <cstddef>
#include <iterator>

namespace mothrack::gossip {
namespace {

// Minimum interval after a change, and maximum interval without changes, which lets the reader distinguish an
// idle task from a dead one.
constexpr Duration kMinSnapshotInterval{100};
constexpr Duration kMaxSnapshotInterval{1000};
// Bound on the number of keys; the programs of a fleet use only a few.
constexpr std::size_t kMaxSnapshotKeys = 64;

}  // namespace

void SnapshotPublisher::RememberKey(const std::string& key) {
  if (keys_.size() < kMaxSnapshotKeys) keys_.insert(key);
}

TimePoint SnapshotPublisher::due() const {
  return published_at_ + (changed_ ? kMinSnapshotInterval : kMaxSnapshotInterval);
}

MembershipSnapshot SnapshotPublisher::Make(const Core& core, TimePoint now) {
  MembershipSnapshot snapshot;
  snapshot.created_at = now;
  snapshot.self = core.self();
  snapshot.health = core.health();
  snapshot.alive = core.alive();
  snapshot.known = core.known();
  snapshot.members = core.members();
  for (auto key = keys_.begin(); key != keys_.end();) {
    const auto views = core.Values(*key, now);
    for (const ValueView& view : views) {
      snapshot.values.push_back(*view.value);
      snapshot.values.back().age = view.age;
    }
    key = views.empty() ? keys_.erase(key) : std::next(key);
  }
  snapshot.counts = core.counts();
  published_at_ = now;
  changed_ = false;
  return snapshot;
}

}  // namespace mothrack::gossip
