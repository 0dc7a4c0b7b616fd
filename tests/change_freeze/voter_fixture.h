// A voter in any role, as the tests of voters and of the permit service need it.
#pragma once

#include <string>
#include <vector>

#include "change_freeze/conformance_table.h"
#include "change_freeze/voter.h"

namespace mothrack::change_freeze {

// The words of docs/design/change_freeze.md, by VoterRole.
inline constexpr const char* kRoles[] = {"lost", "follower", "asking", "candidate", "taking", "coordinator"};

// Voter `a` of three, in a role, at 10 s of its clock; its term is 5, or 6 once it is a candidate.
struct VoterFixture {
  Voter voter;
  int now = 10'000;
  std::vector<VoterMessage> out{};

  VoterMessage From(const std::string& name, VoterMessage::Kind kind, Term term) const {
    VoterMessage m;
    m.kind = kind;
    m.from = name;
    m.to = "a";
    m.term = term;
    m.request_sent = now;
    return m;
  }
  void Receive(const VoterMessage& m) { voter.Receive(m, At(now), out); }
  void Tick() { voter.Tick(At(now), out); }
  // `name` grants what the voter asked last.
  void GrantLastRequest(const std::string& name);
};

VoterFixture InRole(VoterRole role);

}  // namespace mothrack::change_freeze
