// A voter: the table "Rules of a voter" of docs/design/change_freeze.md row by row, and separate tests of the
// lease, votes and stale records.
#include <gtest/gtest.h>

#include <functional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "change_freeze/conformance_table.h"
#include "change_freeze/voter_fixture.h"

namespace mothrack::change_freeze {
namespace {

using Kind = VoterMessage::Kind;
using Role = VoterRole;

// Describes messages in the words of the table.
std::string DescribeMessages(const std::vector<VoterMessage>& out) {
  constexpr const char* kKinds[] = {"pre", "pre", "ask", "vote", "write", "beat", "held", "join", "joined"};
  std::set<std::string> descriptions;
  for (const VoterMessage& message : out) {
    const bool is_response = message.kind == Kind::kPreVoteResponse || message.kind == Kind::kVoteResponse ||
                             message.kind == Kind::kReplicateResponse ||
                             message.kind == Kind::kRejoinResponse;
    descriptions.insert(kKinds[static_cast<int>(message.kind)] + std::string(!is_response      ? "?"
                                                                             : message.granted ? ": yes"
                                                                                               : ": no"));
  }
  std::string text;
  for (const std::string& description : descriptions) text += (text.empty() ? "" : ", ") + description;
  return text.empty() ? "nothing" : text;
}

TEST(FreezeTables, RulesOfAVoter) {
  ConformanceTable table("Rules of a voter", {"role", "what comes"});
  const std::vector<std::pair<std::string, std::function<void(VoterFixture&)>>> events = {
      {"pre, a later term",
       [](VoterFixture& fixture) { fixture.Receive(fixture.From("b", Kind::kPreVoteRequest, 9)); }},
      {"pre, long after the last beat",
       [](VoterFixture& fixture) {
         fixture.now += 9000, fixture.Receive(fixture.From("b", Kind::kPreVoteRequest, 9));
       }},
      {"ask, a later term",
       [](VoterFixture& fixture) { fixture.Receive(fixture.From("b", Kind::kVoteRequest, 9)); }},
      {"ask, long after the last beat",
       [](VoterFixture& fixture) {
         fixture.now += 9000, fixture.Receive(fixture.From("b", Kind::kVoteRequest, 9));
       }},
      {"ask, its term",
       [](VoterFixture& fixture) {
         fixture.Receive(fixture.From("b", Kind::kVoteRequest, fixture.voter.term()));
       }},
      {"write, a later term",
       [](VoterFixture& fixture) { fixture.Receive(fixture.From("b", Kind::kReplicate, 9)); }},
      {"beat, its term",
       [](VoterFixture& fixture) {
         fixture.Receive(fixture.From("b", Kind::kHeartbeat, fixture.voter.term()));
       }},
      {"write, an older term",
       [](VoterFixture& fixture) { fixture.Receive(fixture.From("b", Kind::kReplicate, 3)); }},
      {"enough yes",
       [](VoterFixture& fixture) {
         if (fixture.out.empty()) return;
         const VoterMessage request = fixture.out.back();
         fixture.GrantLastRequest("b");
         if (fixture.voter.role() != Role::kRejoining) return;
         fixture.out = {request};
         fixture.GrantLastRequest("c");
       }},
      {"no, of a later term",
       [](VoterFixture& fixture) { fixture.Receive(fixture.From("b", Kind::kReplicateResponse, 9)); }},
      {"join",
       [](VoterFixture& fixture) {
         VoterMessage message = fixture.From("b", Kind::kRejoinRequest, 0);
         message.wanted_incarnation = 1;
         fixture.Receive(message);
       }},
      {"it has told more",
       [](VoterFixture& fixture) {
         VoterMessage message = fixture.From("b", Kind::kReplicateResponse, fixture.voter.term());
         message.receiver_serial = 99;
         fixture.Receive(message);
       }},
      {"its next moment", [](VoterFixture& fixture) { fixture.now += 1600, fixture.Tick(); }},
      {"silence for a lease", [](VoterFixture& fixture) { fixture.now += 3000, fixture.Tick(); }},
      {"silence for longer", [](VoterFixture& fixture) { fixture.now += 5000, fixture.Tick(); }},
      {"the disk refuses", [](VoterFixture& fixture) { fixture.voter.OnWriteFailed(At(fixture.now)); }},
  };
  for (int role = 0; role < 6; ++role) {
    for (const auto& [name, event] : events) {
      // A follower has just received a heartbeat: its promise is in force.
      VoterFixture fixture = InRole(static_cast<Role>(role));
      if (role == 1) fixture.Receive(fixture.From("c", Kind::kHeartbeat, 5));
      const auto serial = fixture.voter.record().serial;
      if (name != "enough yes") fixture.out.clear();
      if (name == "enough yes" && role == 1) fixture.out.clear();
      event(fixture);
      table.Check({{"role", kRoleNames[role]},
                   {"what comes", name},
                   {"becomes", kRoleNames[static_cast<int>(fixture.voter.role())]},
                   {"on disk first", fixture.voter.record().serial != serial ? "yes" : "no"},
                   {"says", DescribeMessages(fixture.out)}});
    }
  }
}

TEST(FreezeVoter, WinnerReadsTheLatestValueOfAMajority) {
  VoterFixture fixture = InRole(Role::kEstablishing);
  EXPECT_EQ(fixture.voter.record().value, "of b");
  EXPECT_EQ(fixture.voter.record().value_version, (ValueVersion{6, 1}));
}

TEST(FreezeVoter, LeaseCountsFromTheRequest) {
  VoterFixture fixture = InRole(Role::kLeader);
  EXPECT_TRUE(fixture.voter.HoldsLease(At(10'000 + 2699)));
  EXPECT_FALSE(fixture.voter.HoldsLease(At(10'000 + 2700)));
  VoterMessage late = fixture.From("b", Kind::kReplicateResponse, 6);
  late.granted = true;
  late.value_version = {6, 1};
  fixture.now += 1000;
  fixture.Receive(late);  // requested at 10 s, answered at 11 s
  EXPECT_FALSE(fixture.voter.HoldsLease(At(10'000 + 2700)));
}

TEST(FreezeVoter, StaleRecordsAreDetected) {
  VoterRecord record;
  record.serial = 4;
  EXPECT_EQ(AssessRecord(record, RecordPosition{0, 4}, false), RecordCondition::kCurrent);
  EXPECT_EQ(AssessRecord(record, RecordPosition{0, 3}, false), RecordCondition::kCurrent)
      << "written, but not sent";
  EXPECT_EQ(AssessRecord(record, RecordPosition{0, 5}, false), RecordCondition::kStale);
  EXPECT_EQ(AssessRecord(record, RecordPosition{1, 1}, false), RecordCondition::kStale)
      << "of an earlier incarnation";
  EXPECT_EQ(AssessRecord(record, std::nullopt, true), RecordCondition::kStale);
  EXPECT_EQ(AssessRecord(std::nullopt, RecordPosition{}, true), RecordCondition::kStale);
  EXPECT_EQ(AssessRecord(std::nullopt, std::nullopt, false), RecordCondition::kStale);
  EXPECT_EQ(AssessRecord(std::nullopt, std::nullopt, true), RecordCondition::kCurrent);
}

// A vote of an earlier incarnation is dropped once a message of a voter that granted the later incarnation
// arrives.
TEST(FreezeVoter, VotesOfAnEarlierIncarnationAreDropped) {
  VoterSettings settings;
  settings.local_voter = "a";
  settings.voters = {"a", "b", "c", "d", "e"};
  VoterFixture fixture{Voter(settings, VoterRecord(), RecordCondition::kCurrent, At(0))};
  fixture.Tick();
  const VoterMessage request = fixture.out.back();
  for (const char* name : {"b", "c"}) {
    fixture.out = {request};
    fixture.GrantLastRequest(name);
  }
  ASSERT_EQ(fixture.voter.role(), Role::kCandidate);
  VoterMessage vote = fixture.From("b", Kind::kVoteResponse, 1);
  vote.granted = true;
  fixture.Receive(vote);
  vote.from = "c";
  vote.incarnations = {{"b", 1}};  // b has rejoined as incarnation 1
  fixture.Receive(vote);
  EXPECT_EQ(fixture.voter.role(), Role::kCandidate);
  vote.from = "d";
  fixture.Receive(vote);
  EXPECT_EQ(fixture.voter.role(), Role::kEstablishing);
}

}  // namespace
}  // namespace mothrack::change_freeze
