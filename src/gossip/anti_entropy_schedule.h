// When the next digest is sent. Pure.
//
// Every `digest_interval` in calm. A member that just joined, or that somebody declared dead, first catches
// up: once around all names as fast as answers come, then, where all start at once and those asked knew
// little themselves, every `gossip_interval` until a round brought no new member (docs/design/gossip.md).
#pragma once

#include <algorithm>
#include <cstdint>

#include "gossip/protocol_config.h"

namespace mothrack::gossip {

class AntiEntropySchedule {
 public:
  AntiEntropySchedule(const ProtocolConfig& config, TimePoint first_digest)
      : config_(config), digest_at_(first_digest) {}

  // The first other member is live: what it knows is wanted at once.
  void OnFirstLiveMember(TimePoint now) {
    pace_ = Pace::kAsAnswered;
    digest_at_ = now;
  }
  // Somebody held this member dead: it was cut off or stopped, so what it knows is old.
  void OnDeclaredDead() { pace_ = Pace::kAsAnswered; }
  // Records brought an update of a member.
  void OnUpdateLearned() { learned_in_round_ = true; }
  // Records answered the last digest. True where the next digest goes out at once, to the same member.
  bool OnRecords(bool round_complete, TimePoint now) {
    if (pace_ == Pace::kPeriodic) return false;
    if (round_complete) {
      pace_ = learned_in_round_ ? Pace::kByGossipInterval : Pace::kPeriodic;
      learned_in_round_ = false;
    }
    if (pace_ == Pace::kByGossipInterval) digest_at_ = std::min(digest_at_, now + config_.gossip_interval);
    return pace_ == Pace::kAsAnswered;
  }
  // True where a digest is due; the next one is then due after `digest_interval`.
  bool StartIfDue(TimePoint now) {
    if (now < digest_at_) return false;
    digest_at_ = now + config_.digest_interval;
    return true;
  }
  TimePoint next() const { return digest_at_; }

 private:
  enum class Pace : std::uint8_t { kPeriodic, kAsAnswered, kByGossipInterval };

  const ProtocolConfig config_;
  TimePoint digest_at_;
  Pace pace_ = Pace::kPeriodic;
  bool learned_in_round_ = false;
};

}  // namespace mothrack::gossip
