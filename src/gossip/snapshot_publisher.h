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
  // To be called when something that snapshots contain has changed.
  void MarkChanged() { changed_ = true; }
  // Includes values with this key in snapshots until a snapshot finds none.
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
