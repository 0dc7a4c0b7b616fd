// Who is there: what is held of each member, and which news replace it. Pure.
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

// That many others than the first must have had no answer either for a suspicion to be over soonest: with
// fewer, one or two sick ones hasten the end of a healthy one; more are long in coming.
constexpr std::size_t kMaxConfirmations = 2;

enum class UpdateOrigin {
  kGossip,       // somebody learned it just now
  kAntiEntropy,  // somebody holds it, perhaps since a cut that is healed: its dead may live
};

// The state to hold after this news, or nothing where the news is old. `held` is null for one that is not
// known.
std::optional<MemberState> ResolveState(const MembershipUpdate* current, const MembershipUpdate& update,
                                        UpdateOrigin by);

// What a member does on hearing this of itself.
enum class SelfResponse {
  kIgnore,
  kRaiseIncarnation,
  kRefute,
  kRaiseBootNumber
};  // kRaiseIncarnation: a higher incarnation, without having been doubted
SelfResponse ResponseTo(const MembershipUpdate& local, const MembershipUpdate& update);

bool IsValid(const BootId& boot_id);
bool IsValid(const MembershipUpdate& update);

class Membership {
 public:
  struct Member {
    MembershipUpdate update;
    TimePoint since;                         // of its state
    bool was_live = false;                   // has been believed alive here
    TimePoint suspected_at, suspicion_ends;  // its suspicion: from here to there
    std::set<std::string> reporters;         // who had no answer themselves; not who only heard of it
  };
  struct ApplyResult {
    bool applied = false, full = false;
    std::optional<MembershipUpdate> before;
  };

  Membership(const MembershipUpdate& local, const ProtocolConfig& config, TimePoint now);

  // News of another, within the bounds. Makes room by forgetting the dead.
  ApplyResult Apply(const MembershipUpdate& update, UpdateOrigin by, TimePoint now);
  // Itself: raised by its owner.
  void SetLocal(const MembershipUpdate& local) { members_.at(local_name_).update = local; }
  // `by` had no answer of this incarnation; counts once while it is suspected.
  void ReportSuspect(const std::string& name, std::uint64_t incarnation, const std::string& by);
  // This process did not run for so long: nobody could refute to it.
  void ExtendSuspicions(Duration gap);
  std::vector<std::string> ExpiredSuspicions(TimePoint now) const;   // suspicions that are over
  std::vector<std::string> ForgettableMembers(TimePoint now) const;  // the dead, after `dead_retention`
  void Forget(const std::string& name);
  std::vector<std::string> TakeEvicted();  // since the last call
  TimePoint next() const;
  // Whether others are still told: not in the second half of its memory, or two members would remind each
  // other of it for ever.
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
  // From the fleet's size as it is now, and who confirmed it.
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
