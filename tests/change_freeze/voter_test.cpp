// A voter: the page's table row by row, and the rules of lease, votes and stale records on their own.
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

std::string DescribeMessages(const std::vector<VoterMessage>& out) {
  constexpr const char* kKinds[] = {"pre", "pre", "ask", "vote", "write", "beat", "held", "join", "joined"};
  std::set<std::string> descriptions;
  for (const VoterMessage& m : out) {
    const bool answer = m.kind == Kind::kPreVoteResponse || m.kind == Kind::kVoteResponse ||
                        m.kind == Kind::kReplicateResponse || m.kind == Kind::kRejoinResponse;
    descriptions.insert(kKinds[static_cast<int>(m.kind)] + std::string(!answer     ? "?"
                                                                       : m.granted ? ": yes"
                                                                                   : ": no"));
  }
  std::string text;
  for (const std::string& one : descriptions) text += (text.empty() ? "" : ", ") + one;
  return text.empty() ? "nothing" : text;
}

TEST(FreezeTables, RulesOfAVoter) {
  ConformanceTable table("Rules of a voter", {"role", "what comes"});
  const std::vector<std::pair<std::string, std::function<void(VoterFixture&)>>> events = {
      {"pre, a later term", [](VoterFixture& b) { b.Receive(b.From("b", Kind::kPreVoteRequest, 9)); }},
      {"pre, long after the last beat",
       [](VoterFixture& b) { b.now += 9000, b.Receive(b.From("b", Kind::kPreVoteRequest, 9)); }},
      {"ask, a later term", [](VoterFixture& b) { b.Receive(b.From("b", Kind::kVoteRequest, 9)); }},
      {"ask, long after the last beat",
       [](VoterFixture& b) { b.now += 9000, b.Receive(b.From("b", Kind::kVoteRequest, 9)); }},
      {"ask, its term", [](VoterFixture& b) { b.Receive(b.From("b", Kind::kVoteRequest, b.voter.term())); }},
      {"write, a later term", [](VoterFixture& b) { b.Receive(b.From("b", Kind::kReplicate, 9)); }},
      {"beat, its term", [](VoterFixture& b) { b.Receive(b.From("b", Kind::kHeartbeat, b.voter.term())); }},
      {"write, an older term", [](VoterFixture& b) { b.Receive(b.From("b", Kind::kReplicate, 3)); }},
      {"enough yes",
       [](VoterFixture& b) {
         if (b.out.empty()) return;
         const VoterMessage request = b.out.back();
         b.GrantLastRequest("b");
         if (b.voter.role() != Role::kRejoining) return;
         b.out = {request};
         b.GrantLastRequest("c");
       }},
      {"no, of a later term", [](VoterFixture& b) { b.Receive(b.From("b", Kind::kReplicateResponse, 9)); }},
      {"join",
       [](VoterFixture& b) {
         VoterMessage m = b.From("b", Kind::kRejoinRequest, 0);
         m.wanted_incarnation = 1;
         b.Receive(m);
       }},
      {"it has told more",
       [](VoterFixture& b) {
         VoterMessage m = b.From("b", Kind::kReplicateResponse, b.voter.term());
         m.receiver_serial = 99;
         b.Receive(m);
       }},
      {"its next moment", [](VoterFixture& b) { b.now += 1600, b.Tick(); }},
      {"silence for a lease", [](VoterFixture& b) { b.now += 3000, b.Tick(); }},
      {"silence for longer", [](VoterFixture& b) { b.now += 5000, b.Tick(); }},
      {"the disk refuses", [](VoterFixture& b) { b.voter.OnWriteFailed(At(b.now)); }},
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
      table.Play({{"role", kRoles[role]},
                  {"what comes", name},
                  {"becomes", kRoles[static_cast<int>(fixture.voter.role())]},
                  {"on disk first", fixture.voter.record().serial != serial ? "yes" : "no"},
                  {"says", DescribeMessages(fixture.out)}});
    }
  }
}

TEST(FreezeVoter, TakesTheLatestOfAMajority) {
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
  fixture.Receive(late);  // asked at 10 s, answered at 11 s
  EXPECT_FALSE(fixture.voter.HoldsLease(At(10'000 + 2700)));
}

TEST(FreezeVoter, StaleRecordsAreDetected) {
  VoterRecord record;
  record.serial = 4;
  EXPECT_EQ(AssessRecord(record, RecordPosition{0, 4}, false), RecordCondition::kCurrent);
  EXPECT_EQ(AssessRecord(record, RecordPosition{0, 3}, false), RecordCondition::kCurrent)
      << "written, and not sent";
  EXPECT_EQ(AssessRecord(record, RecordPosition{0, 5}, false), RecordCondition::kStale);
  EXPECT_EQ(AssessRecord(record, RecordPosition{1, 1}, false), RecordCondition::kStale)
      << "of an earlier incarnation";
  EXPECT_EQ(AssessRecord(record, std::nullopt, true), RecordCondition::kStale);
  EXPECT_EQ(AssessRecord(std::nullopt, RecordPosition{}, true), RecordCondition::kStale);
  EXPECT_EQ(AssessRecord(std::nullopt, std::nullopt, false), RecordCondition::kStale);
  EXPECT_EQ(AssessRecord(std::nullopt, std::nullopt, true), RecordCondition::kCurrent);
}

// What a voter sent in an earlier incarnation counts no more, once anybody who granted the later one is heard
// from.
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
  vote.incarnations = {{"b", 1}};  // b has come back as another
  fixture.Receive(vote);
  EXPECT_EQ(fixture.voter.role(), Role::kCandidate);
  vote.from = "d";
  fixture.Receive(vote);
  EXPECT_EQ(fixture.voter.role(), Role::kEstablishing);
}

}  // namespace
}  // namespace mothrack::change_freeze
