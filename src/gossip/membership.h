// The table of members: their states, which updates replace them, and how long a suspicion lasts. Pure: no
// I/O, clock or thread.
//
// Source: SWIM, section 4.2 (order of updates); Lifeguard, section IV.B (suspicion timeouts that shrink with
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

// Number of confirmations by other members at which a suspicion has its minimum duration (Lifeguard's K).
// With a lower number, one or two unhealthy members could hasten the death of a healthy one. A higher number
// takes long to reach.
constexpr std::size_t kMaxConfirmations = 2;

// How an update reached this member.
enum class UpdateOrigin {
  kGossip,  // the sender learned it just now
  // From the sender's store, perhaps from before a healed partition: a dead member in it may be alive.
  kAntiEntropy,
};

// The member's state after this update, or nothing if the update is stale. `current` is null for an unknown
// member.
std::optional<MemberState> ResolveState(const MembershipUpdate* current, const MembershipUpdate& update,
                                        UpdateOrigin by);

// How a member responds to an update about itself.
enum class SelfResponse {
  kIgnore,
  kRaiseIncarnation,  // above the update's, which is higher than its own although nobody suspected it
  kRefute,            // with a higher incarnation
  kRaiseBootNumber,   // above the update's: it belongs to a later process, or cannot be refuted otherwise
};
SelfResponse ResponseTo(const MembershipUpdate& local, const MembershipUpdate& update);

// Whether the values are within the bounds of types.h.
bool IsValid(const BootId& boot_id);
bool IsValid(const MembershipUpdate& update);

class Membership {
 public:
  struct Member {
    MembershipUpdate update;
    TimePoint since;                         // when it entered its state, as seen here
    bool was_live = false;                   // has been alive or suspected, as seen here
    TimePoint suspected_at, suspicion_ends;  // for kSuspect
    // Members that got no ack themselves; not those that only relayed the suspicion.
    std::set<std::string> reporters;
  };
  // `full`: the table is full and has no dead or departed member to evict.
  struct ApplyResult {
    bool applied = false, full = false;
    std::optional<MembershipUpdate> before;
  };

  Membership(const MembershipUpdate& local, const ProtocolConfig& config, TimePoint now);

  // Applies a valid update of another member. If the table is full, evicts the member that died or
  // left longest ago.
  ApplyResult Apply(const MembershipUpdate& update, UpdateOrigin by, TimePoint now);
  // Stores this member's own state.
  void SetLocal(const MembershipUpdate& local) { members_.at(local_name_).update = local; }
  // Records that `by` got no ack from this incarnation. Counts once per reporter while the member is
  // suspected.
  void ReportSuspect(const std::string& name, std::uint64_t incarnation, const std::string& by);
  // This process did not run for `gap`, so it could receive no refutations: extends all suspicions.
  void ExtendSuspicions(Duration gap);
  std::vector<std::string> ExpiredSuspicions(TimePoint now) const;   // suspected members whose time is over
  std::vector<std::string> ForgettableMembers(TimePoint now) const;  // gone longer than `dead_retention`
  void Forget(const std::string& name);
  std::vector<std::string> TakeEvicted();  // since the last call
  TimePoint next() const;
  // Whether digests and records still include the member. They do not in the second half of its retention;
  // otherwise two members would remind each other of it forever.
  bool ShouldDisseminate(const Member& member, TimePoint now) const;

  const Member* Find(const std::string& name) const;
  const std::map<std::string, Member>& all() const { return members_; }  // including itself
  // Including suspected members, without itself.
  const std::vector<std::string>& live() const { return live_; }
  // By the end of their suspicion.
  const std::set<std::pair<TimePoint, std::string>>& suspects() const { return suspects_; }
  const std::set<std::pair<TimePoint, std::string>>& departed() const { return departed_; }
  // At most `count` random live members other than `excluded`.
  std::vector<std::string> SampleLive(std::size_t count, const std::string& excluded, Random& random) const;

 private:
  void Index(const std::string& name, const Member& member);
  void Unindex(const std::string& name, const Member& member);
  // Depends on the fleet's current size and the confirmations.
  Duration SuspicionTimeout(const Member& member) const;
  void RescheduleSuspicion(const std::string& name, Member& member);

  const std::string local_name_;
  const ProtocolConfig config_;
  std::map<std::string, Member> members_;
  std::vector<std::string> live_;
  std::set<std::pair<TimePoint, std::string>> suspects_;
  std::set<std::pair<TimePoint, std::string>> departed_;  // dead and left members, by time
  std::vector<std::string> evicted_;
};

}  // namespace mothrack::gossip
