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
// A lower number would let one or two unhealthy members cause the early death of a healthy one. A higher
// number would take long to reach.
constexpr std::size_t kMaxConfirmations = 2;

// How an update reached this member.
enum class UpdateOrigin {
  kGossip,  // the sender learned it recently
  // From the sender's stored state, which may date from before a partition healed: a member that is dead in
  // it may be alive.
  kAntiEntropy,
};

// Returns the member's state after the update, or nothing if the update is stale. `current` is null for an
// unknown member.
std::optional<MemberState> ResolveState(const MembershipUpdate* current, const MembershipUpdate& update,
                                        UpdateOrigin origin);

// How a member responds to an update about itself.
enum class SelfResponse {
  kIgnore,
  kRaiseIncarnation,  // the update says alive with a higher incarnation: exceed it
  kRefute,            // the update says suspect or dead: raise the incarnation
  kRaiseBootNumber,   // the update is of a later process, or a higher incarnation cannot refute it
};
SelfResponse ResponseTo(const MembershipUpdate& local, const MembershipUpdate& update);

// Whether all fields are within the bounds of types.h.
bool IsValid(const BootId& boot_id);
bool IsValid(const MembershipUpdate& update);

class Membership {
 public:
  struct Member {
    MembershipUpdate update;
    TimePoint since;                         // when it entered its state, as seen here
    bool was_live = false;                   // has been alive or suspected, as seen here
    TimePoint suspected_at, suspicion_ends;  // for kSuspect
    // For kSuspect: members that got no ack themselves; not those that only relayed the suspicion.
    std::set<std::string> reporters;
  };
  // Result of Apply(). `full`: the table is full and has no dead or departed member to evict. `before`: the
  // replaced update, if the member was known.
  struct ApplyResult {
    bool applied = false, full = false;
    std::optional<MembershipUpdate> before;
  };

  Membership(const MembershipUpdate& local, const ProtocolConfig& config, TimePoint now);

  // Applies a valid update of another member. If the table is full, evicts the member that has been dead or
  // departed for longest.
  ApplyResult Apply(const MembershipUpdate& update, UpdateOrigin origin, TimePoint now);
  // Stores this member's own state.
  void SetLocal(const MembershipUpdate& local) { members_.at(local_name_).update = local; }
  // Records that `by` got no ack from this incarnation. Counts once per reporter while the member is
  // suspected.
  void ReportSuspect(const std::string& name, std::uint64_t incarnation, const std::string& by);
  // This process did not run for `gap`, so it could receive no refutations: extends all suspicions.
  void ExtendSuspicions(Duration gap);
  // Suspected members whose timeout has passed.
  std::vector<std::string> ExpiredSuspicions(TimePoint now) const;
  std::vector<std::string> ForgettableMembers(TimePoint now) const;  // dead or departed for `dead_retention`
  void Forget(const std::string& name);
  std::vector<std::string> TakeEvicted();  // members evicted since the last call
  TimePoint next() const;                  // when a suspicion ends or a member can be forgotten
  // Whether digests and records include the member. They do not in the second half of its retention;
  // otherwise two members would teach each other of it forever.
  bool ShouldDisseminate(const Member& member, TimePoint now) const;

  const Member* Find(const std::string& name) const;
  const std::map<std::string, Member>& all() const { return members_; }  // including this member
  // The names of alive and suspected members, without this member.
  const std::vector<std::string>& live() const { return live_; }
  // Suspected members, ordered by the end of their suspicion.
  const std::set<std::pair<TimePoint, std::string>>& suspects() const { return suspects_; }
  // Dead and left members, ordered by the time at which they entered that state.
  const std::set<std::pair<TimePoint, std::string>>& departed() const { return departed_; }
  // Returns at most `count` random live members other than `excluded`.
  std::vector<std::string> SampleLive(std::size_t count, const std::string& excluded, Random& random) const;

 private:
  void Index(const std::string& name, const Member& member);
  void Unindex(const std::string& name, const Member& member);
  // The suspicion timeout by the fleet's current size and the number of confirmations.
  Duration SuspicionTimeout(const Member& member) const;
  void RescheduleSuspicion(const std::string& name, Member& member);

  const std::string local_name_;
  const ProtocolConfig config_;
  std::map<std::string, Member> members_;
  std::vector<std::string> live_;
  std::set<std::pair<TimePoint, std::string>> suspects_;
  std::set<std::pair<TimePoint, std::string>> departed_;
  std::vector<std::string> evicted_;
};

}  // namespace mothrack::gossip
