// A voter in any role, for the tests of voters and of the permit service.
#pragma once

#include <string>
#include <vector>

#include "change_freeze/conformance_table.h"
#include "change_freeze/voter.h"

namespace mothrack::change_freeze {

// The names of the roles in docs/design/change_freeze.md, by VoterRole.
inline constexpr const char* kRoleNames[] = {"lost",      "follower", "asking",
                                             "candidate", "taking",   "coordinator"};

// Voter `a` of three voters, at 10 s of its clock. Its term is 5, or 6 once it is a candidate.
struct VoterFixture {
  Voter voter;
  int now = 10'000;
  std::vector<VoterMessage> out{};

  VoterMessage From(const std::string& name, VoterMessage::Kind kind, Term term) const {
    VoterMessage message;
    message.kind = kind;
    message.from = name;
    message.to = "a";
    message.term = term;
    message.request_sent = now;
    return message;
  }
  void Receive(const VoterMessage& message) { voter.Receive(message, At(now), out); }
  void Tick() { voter.Tick(At(now), out); }
  // Voter `name` grants the voter's latest request.
  void GrantLastRequest(const std::string& name);
};

// Returns the fixture with its voter in `role`.
VoterFixture InRole(VoterRole role);

}  // namespace mothrack::change_freeze
