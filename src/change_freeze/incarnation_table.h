// The latest incarnation of each voter that this one has seen, from whatever message. What a voter said in an
// earlier incarnation counts no more: its file of then is lost.
//
// A value that its Voter owns; not thread-safe.
#pragma once

#include <cstddef>
#include <map>
#include <string>

#include "change_freeze/voter_record.h"

namespace mothrack::change_freeze {

class IncarnationTable {
 public:
  explicit IncarnationTable(std::map<std::string, Incarnation> latest) : latest_(std::move(latest)) {}

  void Observe(const std::string& voter, Incarnation incarnation);
  // 0, the first one, for a voter of which nothing is known.
  Incarnation Latest(const std::string& voter) const;
  bool IsCurrent(const std::string& voter, Incarnation incarnation) const {
    return incarnation >= Latest(voter);
  }
  // How many of `voters` (with the incarnation that each spoke in) are current.
  std::size_t CountCurrent(const std::map<std::string, Incarnation>& voters) const;

 private:
  std::map<std::string, Incarnation> latest_;
};

}  // namespace mothrack::change_freeze
