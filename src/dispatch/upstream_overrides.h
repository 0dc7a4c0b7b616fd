// The list of upstreams as it counts: what discovery says, with operators' bans laid over it. The two are
// kept apart, so that a ban holds whatever the list says until it is lifted, and then what the list says by
// then counts. A banned upstream drains: nothing new is sent to it.
#pragma once

#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "dispatch/membership.h"

namespace mothrack::dispatch {

// Not thread-safe; called by the event loop only. What its members return is to be applied by the caller.
class UpstreamOverrides {
 public:
  // A list from discovery. Returns it with the bans applied, and, of a full list, with the upstreams that it
  // leaves out as gone.
  MembershipList Apply(MembershipList list);

  // The change that a ban, or lifting one, makes to the list, perhaps an empty one; absent where the upstream
  // was never listed. May be repeated.
  std::optional<MembershipList> Ban(const std::string& uid);
  std::optional<MembershipList> Unban(const std::string& uid);
  // Adds bans that another process held, also of upstreams that this one never saw listed.
  MembershipList Restore(const std::set<std::string>& bans);

  // Upstreams that the list has now, banned or not.
  std::size_t listed() const { return listed_.size(); }
  bool IsListed(const std::string& uid) const { return listed_.contains(uid); }
  const std::set<std::string>& bans() const { return bans_; }

 private:
  struct Entry {
    balancer::UpstreamInfo info;
    Location location;
  };

  void RememberListed(const std::string& uid);
  void ApplyBan(const std::string& uid, Entry& entry) const;
  MembershipList ChangeOf(const std::string& uid) const;

  std::map<std::string, Entry> listed_;  // as discovery says; those that are not gone
  std::set<std::string> bans_;
  // Ids that were listed once, and their order; the first ones are forgotten first, but for those that are
  // listed or banned.
  std::set<std::string> remembered_;
  std::deque<std::string> remembered_in_order_;
};

}  // namespace mothrack::dispatch
