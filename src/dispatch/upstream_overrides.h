// Membership as it counts: what discovery tells, and what people say of upstreams laid over it. The two are
// kept apart, so that whatever the list says a ban holds until it is taken back, and then what the list says
// by then counts. A banned upstream drains: nothing new goes there.
#pragma once

#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "dispatch/membership.h"

namespace mothrack::dispatch {

class UpstreamOverrides {
 public:
  // Takes in what discovery tells; gives what is to be told on, with those that a whole list leaves out as
  // gone.
  MembershipList Take(MembershipList list);

  // What is to be told on, perhaps nothing; absent where the upstream was never listed. Calls may come more
  // than once.
  std::optional<MembershipList> Ban(const std::string& uid);
  std::optional<MembershipList> Unban(const std::string& uid);
  // Bans that another process took over: also of upstreams that this one has not heard of.
  MembershipList Restore(const std::set<std::string>& bans);

  std::size_t listed() const { return listed_.size(); }
  bool IsListed(const std::string& uid) const { return listed_.contains(uid); }
  const std::set<std::string>& bans() const { return bans_; }

 private:
  struct Entry {
    balancer::UpstreamInfo info;
    Location location;
  };

  void Saw(const std::string& uid);
  void AsItCounts(const std::string& uid, Entry& entry) const;
  MembershipList Telling(const std::string& uid) const;

  std::map<std::string, Entry> listed_;  // as discovery told; those that are not gone
  std::set<std::string> bans_;
  // Ids that were listed once; the ones seen first are forgotten first, but for those that are banned.
  std::set<std::string> seen_;
  std::deque<std::string> seen_order_;
};

}  // namespace mothrack::dispatch
