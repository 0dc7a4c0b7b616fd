// The leader's view of the version that each voter has on disk, and of what is committed as a result (etcd's
// raft: Progress).
//
// A value owned by its Voter; not thread-safe. Versions are those of the leader's term:
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
  // A new leader's term begins: nothing is stored or committed in it yet.
  void BeginTerm();
  // This voter is no longer the leader. committed() keeps its value for callers that ask about the ended
  // term.
  void Clear() { replicas_.clear(); }
  // `voter` has `version` on disk; 0: none of this term. What it reported in an earlier incarnation is
  // discarded.
  void OnAcknowledged(const std::string& voter, Incarnation incarnation, std::uint64_t version);
  // Whether `voter` is not known to have `version` on disk.
  bool IsBehind(const std::string& voter, std::uint64_t version) const;
  // Commits the highest version that `majority` voters have in their current incarnations, including the
  // leader with `local_version`.
  void UpdateCommitted(std::uint64_t local_version, std::size_t majority,
                       const IncarnationTable& incarnations);
  // The highest committed version; 0 if nothing is committed in this term.
  std::uint64_t committed() const { return committed_; }

 private:
  struct Replica {
    std::uint64_t version = 0;
    Incarnation incarnation = 0;
  };
  std::map<std::string, Replica> replicas_;  // without this voter
  std::uint64_t committed_ = 0;
};

}  // namespace mothrack::change_freeze
