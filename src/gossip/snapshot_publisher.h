// When a snapshot of the membership is published, and which values are in it. Used on the task's thread.
#pragma once

#include <set>
#include <string>

#include "gossip/core.h"
#include "gossip/membership_snapshot.h"

namespace mothrack::gossip {

class SnapshotPublisher {
 public:
  // Something that a snapshot shows is different from the last one.
  void MarkChanged() { changed_ = true; }
  // Values with this key go into the snapshots, as long as there are any.
  void RememberKey(const std::string& key);

  // When the next snapshot is to be made.
  TimePoint due() const;
  // The membership and values as of `now`; its other counters are the caller's to fill in. The next one is
  // then due by this one's time.
  MembershipSnapshot Make(const Core& core, TimePoint now);

 private:
  TimePoint published_at_{};  // the epoch: the first is due at once
  bool changed_ = true;
  std::set<std::string> keys_;
};

}  // namespace mothrack::gossip
