// Applies operators' bans to the endpoint list from discovery. Both are kept separately: a ban holds,
// whatever the list says, until it is lifted. From then on the current list applies. A banned upstream
// drains: it gets no new attempts.
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
  // Returns a list from discovery with the bans applied. If it is a full list, upstreams that are missing
  // from it are added as kGone.
  MembershipList Apply(MembershipList list);

  // Bans an upstream, or lifts its ban; idempotent. Returns the resulting change of the list, which may be
  // empty, or nothing if the upstream was never listed.
  std::optional<MembershipList> Ban(const std::string& uid);
  std::optional<MembershipList> Unban(const std::string& uid);
  // Adds the bans of another process, also those of upstreams that were never listed here. Returns the
  // resulting changes of the list, which may be empty.
  MembershipList Restore(const std::set<std::string>& bans);

  // Number of upstreams in the current list, banned or not.
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

  std::map<std::string, Entry> listed_;  // by uid; as discovery gave them, without removed ones
  std::set<std::string> bans_;
  // Uids that were ever listed, and the order in which they were first seen. The oldest are dropped first,
  // except listed and banned ones.
  std::set<std::string> remembered_;
  std::deque<std::string> remembered_in_order_;
};

}  // namespace mothrack::dispatch
