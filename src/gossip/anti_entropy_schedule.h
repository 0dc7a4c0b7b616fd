// Decides when the next digest is sent. Pure: no I/O, clock or thread.
//
// Normally every `digest_interval`. A member that has just joined, or that was declared dead, first catches
// up: one round over all names as fast as answers arrive. If all members start at once, the members that
// answer know little themselves, so further rounds follow every `gossip_interval` until one brings no new
// update (docs/design/gossip.md).
#pragma once

#include <algorithm>
#include <cstdint>

#include "gossip/protocol_config.h"

namespace mothrack::gossip {

class AntiEntropySchedule {
 public:
  AntiEntropySchedule(const ProtocolConfig& config, TimePoint first_digest)
      : config_(config), digest_at_(first_digest) {}

  // The first other member is live: request its state at once.
  void OnFirstLiveMember(TimePoint now) {
    pace_ = Pace::kOnAnswer;
    digest_at_ = now;
  }
  // Another member considered this one dead: this one was partitioned or stopped, so its state is outdated.
  void OnDeclaredDead() { pace_ = Pace::kOnAnswer; }
  // Records contained a new update of a member.
  void OnUpdateLearned() { learned_in_round_ = true; }
  // Records answered the latest digest. Returns true if the next digest must be sent at once to the same
  // member.
  bool OnRecords(bool round_complete, TimePoint now) {
    if (pace_ == Pace::kPeriodic) return false;
    if (round_complete) {
      pace_ = learned_in_round_ ? Pace::kEachGossipInterval : Pace::kPeriodic;
      learned_in_round_ = false;
    }
    if (pace_ == Pace::kEachGossipInterval) digest_at_ = std::min(digest_at_, now + config_.gossip_interval);
    return pace_ == Pace::kOnAnswer;
  }
  // Returns true if a digest is due, and schedules the next one after `digest_interval`.
  bool StartIfDue(TimePoint now) {
    if (now < digest_at_) return false;
    digest_at_ = now + config_.digest_interval;
    return true;
  }
  TimePoint next() const { return digest_at_; }

 private:
  enum class Pace : std::uint8_t {
    kPeriodic,           // every `digest_interval`
    kOnAnswer,           // at once after each answer
    kEachGossipInterval  // every `gossip_interval`
  };

  const ProtocolConfig config_;
  TimePoint digest_at_;
  Pace pace_ = Pace::kPeriodic;
  bool learned_in_round_ = false;
};

}  // namespace mothrack::gossip
