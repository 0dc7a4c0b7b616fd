// Operators' bans on top of the endpoint list from discovery. Both are kept separately: a ban holds, whatever
// the list says, until it is lifted, and then the list at that time applies. A banned upstream drains: it
// gets no new attempts.
#pragma once

#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "dispatch/membership.h"

namespace mothrack::dispatch {

// Not thread-safe; called by the event loop only. The caller applies the returned lists.
class UpstreamOverrides {
 public:
  // A list from discovery. Returns it with the bans applied; for a full list, missing upstreams are added as
  // gone.
  MembershipList Apply(MembershipList list);

  // Returns the resulting change of the list, which may be empty; absent if the upstream was never listed.
  // Idempotent.
  std::optional<MembershipList> Ban(const std::string& uid);
  std::optional<MembershipList> Unban(const std::string& uid);
  // Adds the bans of another process, also of upstreams that were never listed here.
  MembershipList Restore(const std::set<std::string>& bans);

  // Number of upstreams in the present list, banned or not.
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

  std::map<std::string, Entry> listed_;  // as from discovery, without those that are gone
  std::set<std::string> bans_;
  // Ids that were ever listed, and in which order; the oldest are dropped first, except listed and banned
  // ones.
  std::set<std::string> remembered_;
  std::deque<std::string> remembered_in_order_;
};

}  // namespace mothrack::dispatch
