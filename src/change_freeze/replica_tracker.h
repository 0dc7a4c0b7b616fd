// The leader's view of which version each voter holds on disk, and what is committed by that (etcd's raft:
// Progress).
//
// A value that its Voter owns; not thread-safe. Versions are those of the leader's term:
// ValueVersion::version.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

#include "change_freeze/incarnation_table.h"

namespace mothrack::change_freeze {

class ReplicaTracker {
 public:
  // A new leader's term: nothing is held or committed in it yet.
  void BeginTerm();
  // This voter leads no more. committed() stays as it was, for who asks about a term that has ended.
  void Clear() { replicas_.clear(); }
  // `voter` has `version` on disk; 0: none of this term. What it said in an earlier incarnation is dropped.
  void OnAcknowledged(const std::string& voter, Incarnation incarnation, std::uint64_t version);
  bool IsBehind(const std::string& voter, std::uint64_t version) const;
  // Commits the highest version that `majority` voters hold in their current incarnations, the leader with
  // `local_version` among them.
  void UpdateCommitted(std::uint64_t local_version, std::size_t majority,
                       const IncarnationTable& incarnations);
  // 0: nothing is committed in this term.
  std::uint64_t committed() const { return committed_; }

 private:
  struct Replica {
    std::uint64_t version = 0;
    Incarnation incarnation = 0;
  };
  std::map<std::string, Replica> replicas_;  // the other voters
  std::uint64_t committed_ = 0;
};

}  // namespace mothrack::change_freeze
