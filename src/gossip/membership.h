// The table of members: what is known of each, which updates replace it, how long a suspicion lasts. Pure.
//
// Source: SWIM, section 4.2 (order of updates); Lifeguard, section IV.B (suspicion time-outs that shrink with
// confirmations); the table "Rules of membership" in docs/design/gossip.md.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "gossip/message.h"
#include "gossip/protocol_config.h"
#include "gossip/random.h"

namespace mothrack::gossip {

// Confirmations by other members after which a suspicion lasts shortest (Lifeguard's K). With fewer, one or
// two unhealthy members hasten the death of a healthy one; more take long to arrive.
constexpr std::size_t kMaxConfirmations = 2;

enum class UpdateOrigin {
  kGossip,       // its sender learned it just now
  kAntiEntropy,  // its sender has it stored, perhaps since a partition that is healed: its dead may live
};

// The member's state after this update, or nothing where the update is stale. `current` is null for a member
// that is not known.
std::optional<MemberState> ResolveState(const MembershipUpdate* current, const MembershipUpdate& update,
                                        UpdateOrigin by);

// What a member does about an update of itself.
enum class SelfResponse {
  kIgnore,
  kRaiseIncarnation,  // above the update's, which is later than its own though nobody suspected it
  kRefute,            // by a higher incarnation
  kRaiseBootNumber,   // above the update's, which is a later process's or nothing could refute
};
SelfResponse ResponseTo(const MembershipUpdate& local, const MembershipUpdate& update);

bool IsValid(const BootId& boot_id);
bool IsValid(const MembershipUpdate& update);

class Membership {
 public:
  struct Member {
    MembershipUpdate update;
    TimePoint since;                         // when it took its state, here
    bool was_live = false;                   // was alive or suspected at any time, here
    TimePoint suspected_at, suspicion_ends;  // of kSuspect
    std::set<std::string> reporters;         // who had no ack themselves; not who only relayed the suspicion
  };
  struct ApplyResult {
    bool applied = false, full = false;
    std::optional<MembershipUpdate> before;
  };

  Membership(const MembershipUpdate& local, const ProtocolConfig& config, TimePoint now);

  // A valid update of another member. Evicts the one longest dead where the table is full.
  ApplyResult Apply(const MembershipUpdate& update, UpdateOrigin by, TimePoint now);
  // This member's own state.
  void SetLocal(const MembershipUpdate& local) { members_.at(local_name_).update = local; }
  // `by` had no ack of this incarnation; counts once while the member is suspected.
  void ReportSuspect(const std::string& name, std::uint64_t incarnation, const std::string& by);
  // This process did not run for so long, so it could receive no refutation.
  void ExtendSuspicions(Duration gap);
  std::vector<std::string> ExpiredSuspicions(TimePoint now) const;   // suspicions that are over
  std::vector<std::string> ForgettableMembers(TimePoint now) const;  // the dead, after `dead_retention`
  void Forget(const std::string& name);
  std::vector<std::string> TakeEvicted();  // since the last call
  TimePoint next() const;
  // Whether digests and records still name the member: not in the second half of its retention, or two
  // members would remind each other of it for ever.
  bool ShouldDisseminate(const Member& member, TimePoint now) const;

  const Member* Find(const std::string& name) const;
  const std::map<std::string, Member>& all() const { return members_; }  // itself included
  const std::vector<std::string>& live() const { return live_; }         // the suspected included, itself not
  const std::set<std::pair<TimePoint, std::string>>& suspects() const {
    return suspects_;
  }  // by when it is over
  const std::set<std::pair<TimePoint, std::string>>& departed() const { return departed_; }
  // At most `count` of the live ones but for `excluded`.
  std::vector<std::string> SampleLive(std::size_t count, const std::string& excluded, Random& random) const;

 private:
  void Index(const std::string& name, const Member& member);
  void Unindex(const std::string& name, const Member& member);
  // By the fleet's size as it is now, and the confirmations.
  Duration SuspicionTimeout(const Member& member) const;
  void RescheduleSuspicion(const std::string& name, Member& member);

  const std::string local_name_;
  const ProtocolConfig config_;
  std::map<std::string, Member> members_;
  std::vector<std::string> live_;
  std::set<std::pair<TimePoint, std::string>> suspects_;
  std::set<std::pair<TimePoint, std::string>> departed_;  // dead and left, by when
  std::vector<std::string> evicted_;
};

}  // namespace mothrack::gossip
