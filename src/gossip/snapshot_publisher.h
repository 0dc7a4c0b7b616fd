// Decides when a snapshot of the membership is published and which values it contains. Used on the task's
// thread only.
#pragma once

#include <set>
#include <string>

#include "gossip/core.h"
#include "gossip/membership_snapshot.h"

namespace mothrack::gossip {

class SnapshotPublisher {
 public:
  // Something that a snapshot shows has changed since the last one.
  void MarkChanged() { changed_ = true; }
  // Values with this key are included in snapshots as long as there are any.
  void RememberKey(const std::string& key);

  // When the next snapshot is due.
  TimePoint due() const;
  // Creates a snapshot of the membership and values as of `now`; the caller fills in the other counters. The
  // next one becomes due relative to this one.
  MembershipSnapshot Make(const Core& core, TimePoint now);

 private:
  TimePoint published_at_{};  // the epoch, so that the first one is due at once
  bool changed_ = true;
  std::set<std::string> keys_;
};

}  // namespace mothrack::gossip
