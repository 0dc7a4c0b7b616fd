// Who is there: what is held of each member, and which news replace it. Pure.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "gossip/core.h"
#include "gossip/random.h"

namespace mothrack::gossip {

// Lives, incarnations and versions above it are nobody's: nothing could outdo them.
constexpr std::uint64_t kMostNumber = std::uint64_t{1} << 62;
// That many others than the first must have had no answer either for a suspicion to be over soonest: with
// fewer, one or two sick ones hasten the end of a healthy one; more are long in coming.
constexpr std::size_t kConfirmations = 2;

enum class By {
  kGossip,   // somebody learned it just now
  kRecords,  // somebody holds it, perhaps since a cut that is healed: its dead may live
};

// The state to hold after this news, or nothing where the news is old. `held` is null for one that is not
// known.
std::optional<State> Judge(const MemberNews* held, const MemberNews& news, By by);

// What a member does on hearing this of itself.
enum class Reply {
  kNothing,
  kOutdo,
  kRefute,
  kReborn
};  // kOutdo: a higher incarnation, without having been doubted
Reply JudgeOwn(const MemberNews& self, const MemberNews& news);

bool Fine(const Life& life);
bool Fine(const MemberNews& news);

class Membership {
 public:
  struct Member {
    MemberNews news;
    TimePoint since;                 // of its state
    bool lived = false;              // has been believed alive here
    TimePoint suspected, over;       // its suspicion: from here to there
    std::set<std::string> accusers;  // who had no answer themselves; not who only heard of it
  };
  struct Taken {
    bool taken = false, full = false;
    std::optional<MemberNews> before;
  };

  Membership(const MemberNews& self, const Terms& terms, TimePoint now);

  // News of another, within the bounds. Makes room by forgetting the dead.
  Taken Take(const MemberNews& news, By by, TimePoint now);
  // Itself: raised by its owner.
  void Own(const MemberNews& self) { members_.at(self_).news = self; }
  // `by` had no answer of this incarnation; counts once while it is suspected.
  void Accuse(const std::string& name, std::uint64_t incarnation, const std::string& by);
  // This process did not run for so long: nobody could refute to it.
  void Postpone(Duration gap);
  std::vector<std::string> Expired(TimePoint now) const;      // suspicions that are over
  std::vector<std::string> Forgettable(TimePoint now) const;  // the dead, after `remember_dead`
  void Forget(const std::string& name);
  std::vector<std::string> forgotten_for_room();  // since the last call
  TimePoint next() const;
  // Whether others are still told: not in the second half of its memory, or two members would remind each
  // other of it for ever.
  bool Telling(const Member& member, TimePoint now) const;

  const Member* Find(const std::string& name) const;
  const std::map<std::string, Member>& all() const { return members_; }  // itself included
  const std::vector<std::string>& live() const { return live_; }         // the suspected included, itself not
  const std::set<std::pair<TimePoint, std::string>>& suspects() const {
    return suspects_;
  }  // by when it is over
  const std::set<std::pair<TimePoint, std::string>>& gone() const { return gone_; }
  // At most `count` of the live ones but for `not_this`.
  std::vector<std::string> Some(std::size_t count, const std::string& not_this, Random& random) const;

 private:
  void Index(const std::string& name, const Member& member);
  void Unindex(const std::string& name, const Member& member);
  // From the fleet's size as it is now, and who confirmed it.
  Duration Suspicion(const Member& member) const;
  void Time(const std::string& name, Member& member);

  const std::string self_;
  const Terms terms_;
  std::map<std::string, Member> members_;
  std::vector<std::string> live_;
  std::set<std::pair<TimePoint, std::string>> suspects_;
  std::set<std::pair<TimePoint, std::string>> gone_;  // dead and left, by when
  std::vector<std::string> for_room_;
};

}  // namespace mothrack::gossip
