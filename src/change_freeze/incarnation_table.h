// The latest incarnation of each voter that this one knows, from any message. What a voter sent in an earlier
// incarnation is no longer valid, because its file from that time is lost.
//
// A value owned by its Voter; not thread-safe.
#pragma once

#include <cstddef>
#include <map>
#include <string>

#include "change_freeze/voter_record.h"

namespace mothrack::change_freeze {

class IncarnationTable {
 public:
  explicit IncarnationTable(std::map<std::string, Incarnation> latest) : latest_(std::move(latest)) {}

  // Records an incarnation if it is later than the known one.
  void Observe(const std::string& voter, Incarnation incarnation);
  // Returns 0, the first incarnation, for an unknown voter.
  Incarnation Latest(const std::string& voter) const;
  bool IsCurrent(const std::string& voter, Incarnation incarnation) const {
    return incarnation >= Latest(voter);
  }
  // Number of `voters` that are current. The map has the incarnation in which each of them sent its message.
  std::size_t CountCurrent(const std::map<std::string, Incarnation>& voters) const;

 private:
  std::map<std::string, Incarnation> latest_;
};

}  // namespace mothrack::change_freeze
