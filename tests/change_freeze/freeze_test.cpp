// The change-freeze coordinator: the tables of docs/design/freeze.md row by row, its parts on their own, and
// all of them in histories, at every crash point, and with faults planted.
#include <gtest/gtest.h>

#include <cstdlib>
#include <iostream>
#include <set>

#include "change_freeze/change_freeze.h"
#include "change_freeze/freeze_model.h"
#include "support/tables.h"

namespace mothrack::change_freeze {
namespace {

using mothrack::testing::Row;
using mothrack::testing::TableOf;

TimePoint At(int ms) { return TimePoint(Duration(ms)); }

// Every row of the table is played, and everything that can be played has its row. `keys`: the columns that
// name a row.
class ConformanceTable {
 public:
  ConformanceTable(const std::string& heading, std::vector<std::string> keys) : keys_(std::move(keys)) {
    for (const Row& row : TableOf(MOTHRACK_FREEZE_PAGE, heading)) {
      EXPECT_TRUE(rows_.emplace(KeyOf(row), row).second) << "twice: " << KeyOf(row);
    }
  }
  ~ConformanceTable() {
    for (const auto& [key, row] : rows_) ADD_FAILURE() << "the code knows no such row: " << key;
  }
  void Play(const Row& played) {
    const auto row = rows_.find(KeyOf(played));
    if (row == rows_.end()) {
      std::string cells;
      for (const auto& [column, cell] : played) cells += column + "=" + cell + "; ";
      ADD_FAILURE() << "the page has no row for " << cells;
      return;
    }
    for (const auto& [column, cell] : row->second)
      EXPECT_EQ(cell, played.at(column)) << KeyOf(played) << ": " << column;
    rows_.erase(row);
  }

 private:
  std::string KeyOf(const Row& row) const {
    std::string key;
    for (const std::string& column : keys_) key += row.at(column) + ", ";
    return key;
  }
  std::vector<std::string> keys_;
  std::map<std::string, Row> rows_;
};

// ---- What conflicts ----

TEST(FreezeTables, WhatConflicts) {
  ConformanceTable table("What conflicts", {"change", "where"});
  for (int change = 0; change < 8; ++change) {
    for (int where = 0; where < 4; ++where) {
      Row row{{"change", kChangeKinds[change]}, {"where", kRelations[where]}};
      for (int incident = 0; incident < 4; ++incident) {
        row[kIncidentKinds[incident]] =
            kEffects[static_cast<int>(EffectOf(static_cast<ChangeKind>(change), static_cast<Relation>(where),
                                               static_cast<IncidentKind>(incident)))];
      }
      table.Play(row);
    }
  }
}

// ---- A voter ----

using Kind = VoterMessage::Kind;
using Role = Voter::Role;
constexpr const char* kRoles[] = {"lost", "follower", "asking", "candidate", "taking", "coordinator"};

// Voter `a` of three, in a role, at 10 s of its clock; its term is 5, or 6 once it is a candidate.
struct VoterFixture {
  Voter voter;
  int now = 10'000;
  std::vector<VoterMessage> out{};

  VoterMessage From(const std::string& name, Kind kind, Term term) const {
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
  // The others grant what it asked last.
  void GrantLastRequest(const std::string& name) {
    const VoterMessage request = out.back();
    VoterMessage m = From(name,
                          request.kind == Kind::kPreVoteRequest  ? Kind::kPreVoteResponse
                          : request.kind == Kind::kVoteRequest   ? Kind::kVoteResponse
                          : request.kind == Kind::kRejoinRequest ? Kind::kRejoinResponse
                                                                 : Kind::kReplicateResponse,
                          request.term);
    m.granted = true;
    m.value_version = request.kind == Kind::kPreVoteRequest ? ValueVersion{request.term, 0}
                      : request.kind == Kind::kVoteRequest  ? ValueVersion{4, 2}
                                                            : request.value_version;
    m.value = "of b";
    m.wanted_incarnation = request.wanted_incarnation;
    out.clear();
    Receive(m);
  }
};

VoterFixture InRole(Role role) {
  VoterSettings settings;
  settings.local_voter = "a";
  settings.voters = {"a", "b", "c"};
  VoterRecord record;
  record.serial = 7;
  record.term = 5;
  record.voted_for = "c";
  record.value_version = {4, 1};
  record.value = "of a";
  VoterFixture fixture{Voter(settings, record,
                             role == Role::kRejoining ? RecordCondition::kStale : RecordCondition::kCurrent,
                             At(0))};
  if (role != Role::kFollower) fixture.Tick();
  for (int step = 3; role >= Role::kCandidate && step <= static_cast<int>(role); ++step)
    fixture.GrantLastRequest("b");
  EXPECT_EQ(kRoles[static_cast<int>(fixture.voter.role())], std::string(kRoles[static_cast<int>(role)]));
  return fixture;
}

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
      // A follower's quiet: it has just heard a coordinator.
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

TEST(FreezeVoter, LeaseCountsFromTheQuestion) {
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

TEST(FreezeVoter, OldFilesAreTold) {
  VoterRecord record;
  record.serial = 4;
  EXPECT_EQ(AssessRecord(record, RecordPosition{0, 4}, false), RecordCondition::kCurrent);
  EXPECT_EQ(AssessRecord(record, RecordPosition{0, 3}, false), RecordCondition::kCurrent)
      << "written, and not told";
  EXPECT_EQ(AssessRecord(record, RecordPosition{0, 5}, false), RecordCondition::kStale);
  EXPECT_EQ(AssessRecord(record, RecordPosition{1, 1}, false), RecordCondition::kStale) << "of a former life";
  EXPECT_EQ(AssessRecord(record, std::nullopt, true), RecordCondition::kStale);
  EXPECT_EQ(AssessRecord(std::nullopt, RecordPosition{}, true), RecordCondition::kStale);
  EXPECT_EQ(AssessRecord(std::nullopt, std::nullopt, false), RecordCondition::kStale);
  EXPECT_EQ(AssessRecord(std::nullopt, std::nullopt, true), RecordCondition::kCurrent);
}

// What a voter told in a former life counts no more, once anybody who answered its new one is heard.
TEST(FreezeVoter, VotesOfAFormerLifeAreDropped) {
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

// ---- Permits ----

BreakGlassRequest BreakGlassBy(OperatorRole role) { return {"c1", "ann", role, "it burns"}; }

PermitConfirmation ConfirmationOf(Term term, std::uint64_t version, PermitState state) {
  return {term,
          version,
          "c1",
          ChangeKind::kRestart,
          state,
          2,
          state == PermitState::kRunning ? "" : "incident 1"};
}

TEST(FreezeTables, RulesOfPermits) {
  using State = PermitState;
  ConformanceTable table("Rules of permits", {"heard", "wanted"});
  constexpr const char* kVerdicts[] = {"allowed", "by break-glass", "no permit",
                                       "paused",  "blocked",        "lapsed"};
  const std::vector<std::pair<std::string, std::function<void(AgentPermits&)>>> received = {
      {"nothing", [](AgentPermits&) {}},
      {"no permit", [](AgentPermits& b) { b.OnConfirmation(ConfirmationOf(5, 1, State::kNone), At(9000)); }},
      {"running to batch 2",
       [](AgentPermits& b) { b.OnConfirmation(ConfirmationOf(5, 1, State::kRunning), At(9000)); }},
      {"running, asked 1.8 s ago",
       [](AgentPermits& b) { b.OnConfirmation(ConfirmationOf(5, 1, State::kRunning), At(8200)); }},
      {"paused at batch 2",
       [](AgentPermits& b) { b.OnConfirmation(ConfirmationOf(5, 1, State::kPaused), At(9000)); }},
      {"blocked", [](AgentPermits& b) { b.OnConfirmation(ConfirmationOf(5, 1, State::kBlocked), At(9000)); }},
      {"running, then a later term of another change",
       [](AgentPermits& b) {
         b.OnConfirmation(ConfirmationOf(5, 1, State::kRunning), At(9000));
         PermitConfirmation other = ConfirmationOf(6, 1, State::kRunning);
         other.change = "c2";
         b.OnConfirmation(other, At(9100));
       }},
      {"blocked, then running of an older term",
       [](AgentPermits& b) {
         b.OnConfirmation(ConfirmationOf(5, 1, State::kBlocked), At(9000));
         EXPECT_FALSE(b.OnConfirmation(ConfirmationOf(4, 9, State::kRunning), At(9900)));
       }},
      {"blocked, then running of an older state",
       [](AgentPermits& b) {
         b.OnConfirmation(ConfirmationOf(5, 2, State::kBlocked), At(9000));
         EXPECT_FALSE(b.OnConfirmation(ConfirmationOf(5, 1, State::kRunning), At(9900)));
       }},
      {"running of the term on disk before",
       [](AgentPermits& b) {
         b = AgentPermits("a", PermitRecord{9, 0, {}});
         EXPECT_FALSE(b.OnConfirmation(ConfirmationOf(5, 1, State::kRunning), At(9900)));
       }},
      {"running, then nobody leads",
       [](AgentPermits& b) {
         b.OnConfirmation(ConfirmationOf(5, 1, State::kRunning), At(9000));
         b.OnLeaderless("nobody coordinates");
       }},
      {"nobody leads", [](AgentPermits& b) { b.OnLeaderless("nobody coordinates"); }},
      {"blocked, glass broken",
       [](AgentPermits& b) {
         b.OnConfirmation(ConfirmationOf(5, 1, State::kBlocked), At(9000));
         EXPECT_TRUE(b.BreakGlass(BreakGlassBy(OperatorRole::kOperator), At(9000)).ok());
       }},
      {"blocked, glass broken 600 s ago",
       [](AgentPermits& b) {
         EXPECT_TRUE(b.BreakGlass(BreakGlassBy(OperatorRole::kOperator), At(10'000 - 600'000)).ok());
         b.OnConfirmation(ConfirmationOf(5, 1, State::kBlocked), At(9000));
       }},
      {"blocked, glass broken by a viewer",
       [](AgentPermits& b) {
         b.OnConfirmation(ConfirmationOf(5, 1, State::kBlocked), At(9000));
         EXPECT_EQ(b.BreakGlass(BreakGlassBy(OperatorRole::kViewer), At(9000)).code,
                   StatusCode::kNotAuthorized);
       }},
  };
  const std::vector<std::tuple<std::string, ChangeKind, int>> requested = {
      {"the lease", ChangeKind::kRestart, 0},
      {"a step of batch 2", ChangeKind::kRestart, 2},
      {"a step of batch 3", ChangeKind::kRestart, 3},
      {"its undo", ChangeKind::kUndo, 0}};
  for (const auto& [name, receive] : received) {
    AgentPermits book("a", {});
    receive(book);
    for (const auto& [request, kind, batch] : requested) {
      const auto answer = book.Check("c1", kind, static_cast<std::uint32_t>(batch), At(10'000));
      table.Play(
          {{"heard", name}, {"wanted", request}, {"answer", kVerdicts[static_cast<int>(answer.verdict)]}});
      EXPECT_EQ(answer.allowed(), answer.reason.empty());
    }
  }
}

TEST(FreezePermits, BrokenGlassIsWrittenDownUntilItIsTold) {
  AgentPermits book("a", {});
  EXPECT_EQ(book.BreakGlass({"c1", "ann", OperatorRole::kOperator, ""}, At(0)).code,
            StatusCode::kInvalidRequest);
  ASSERT_TRUE(book.BreakGlass(BreakGlassBy(OperatorRole::kOperator), At(0)).ok());
  ASSERT_EQ(book.record().unreported.size(), 1u);
  FreezeState state;
  state.RecordBreakGlass(book.record().unreported);
  state.RecordBreakGlass(book.record().unreported);
  EXPECT_EQ(state.break_glass(), book.record().unreported);
  book.OnBreakGlassReported(state.LastBreakGlassOf("a"));
  EXPECT_TRUE(book.record().unreported.empty());
}

// ---- Incidents ----

TEST(FreezeTables, RulesOfIncidents) {
  ConformanceTable table("Rules of incidents", {"state", "event"});
  const Scope site{Scope::Kind::kSite, {"bole"}};
  const auto share = [&](double level) {
    return Evidence{IncidentKind::kRejections, site, level, kRejectionsOpenAfter};
  };
  using Events =
      std::vector<std::pair<std::string, std::function<void(Incidents&, std::uint64_t, TimePoint)>>>;
  const Events events = {
      {"its evidence is bad",
       [&](Incidents& i, std::uint64_t, TimePoint now) { i.OnEvidence(share(0.3), now); }},
      {"between", [&](Incidents& i, std::uint64_t, TimePoint now) { i.OnEvidence(share(0.1), now); }},
      {"calm", [&](Incidents& i, std::uint64_t, TimePoint now) { i.OnEvidence(share(0.01), now); }},
      {"calm for 30 s",
       [&](Incidents& i, std::uint64_t, TimePoint now) {
         for (int s = 0; s <= 30; ++s) i.OnEvidence(share(0.01), now + Duration(s * 1000));
       }},
      {"nobody speaks of it",
       [](Incidents& i, std::uint64_t, TimePoint now) { i.ExpireStale(now + Duration(31'000)); }},
      {"renewed by hand", [](Incidents& i, std::uint64_t id, TimePoint now) { i.Renew(id, "bob", now); }},
      {"closed by hand", [](Incidents& i, std::uint64_t id, TimePoint now) { i.Close(id, now); }},
      {"another coordinator",
       [](Incidents& i, std::uint64_t, TimePoint now) {
         Encoder encoder;
         i.Encode(encoder, now);
         Decoder decoder(encoder.bytes());
         EXPECT_TRUE(i.Decode(decoder, At(5)) && decoder.done());
       }},
  };
  const auto state = [](const Incidents& i) {
    return i.all().empty() ? std::string("none") : kIncidentStates[static_cast<int>(i.all().front().state)];
  };
  for (const std::string begin : {"none", "open", "calming", "stale", "muted"}) {
    for (const auto& [name, event] : events) {
      Row row{{"state", begin}, {"event", name}};
      Incidents by_evidence;
      std::uint64_t id = begin == "none" ? 0 : by_evidence.OnEvidence(share(0.3), At(0)).id;
      if (begin == "calming") by_evidence.OnEvidence(share(0.01), At(0));
      if (begin == "stale") by_evidence.ExpireStale(At(30'000));
      if (begin == "muted") by_evidence.Close(id, At(0));
      ASSERT_EQ(state(by_evidence), begin);
      event(by_evidence, id, At(begin == "stale" ? 30'000 : 100));
      row["by evidence"] = state(by_evidence);
      row["by an operator"] = "-";
      if (begin == "open" || begin == "stale") {
        Incidents by_hand;
        id = by_hand.Open(site, "a fire", "ann", Duration(30'000), At(0)).id;
        if (begin == "stale") by_hand.ExpireStale(At(30'000));
        event(by_hand, id, At(begin == "stale" ? 30'000 : 100));
        // Evidence may open one of its own beside it.
        const Incident* own = by_hand.Find(id);
        row["by an operator"] = own == nullptr ? "none" : kIncidentStates[static_cast<int>(own->state)];
      }
      table.Play(row);
    }
  }
}

TEST(FreezeIncidents, SignsOfEvidence) {
  const auto severity = [](IncidentKind kind, double level, int ms) {
    return SeverityOf({kind, {}, level, Duration(ms)});
  };
  EXPECT_EQ(severity(IncidentKind::kRejections, 0.20, 2999), EvidenceSeverity::kIndeterminate);
  EXPECT_EQ(severity(IncidentKind::kRejections, 0.20, 3000), EvidenceSeverity::kFiring);
  EXPECT_EQ(severity(IncidentKind::kRejections, 0.05, 0), EvidenceSeverity::kClear);
  EXPECT_EQ(severity(IncidentKind::kCrashLoop, 1, 0), EvidenceSeverity::kIndeterminate);
  EXPECT_EQ(severity(IncidentKind::kCrashLoop, 2, 0), EvidenceSeverity::kFiring);
  EXPECT_EQ(severity(IncidentKind::kZoneLeft, 0.5, 0), EvidenceSeverity::kIndeterminate);
  EXPECT_EQ(severity(IncidentKind::kZoneLeft, 1, 0), EvidenceSeverity::kFiring);
  EXPECT_EQ(severity(IncidentKind::kZoneLeft, 0, 0), EvidenceSeverity::kClear);
}

TEST(FreezeIncidents, AreBoundedAndSaySo) {
  Incidents incidents;
  for (std::size_t i = 0; i < kMaxIncidents; ++i) {
    EXPECT_GT(incidents.Open({Scope::Kind::kSite, {std::to_string(i)}}, "x", "ann", Duration(1), At(0)).id,
              0u);
  }
  const IncidentResult refused = incidents.Open({}, "x", "ann", Duration(1), At(0));
  EXPECT_EQ(refused.id, 0u);
  EXPECT_EQ(refused.status.code, StatusCode::kLimitReached);
  EXPECT_EQ(refused.status.message.substr(0, 32), "there are 32 incidents already; ");
  EXPECT_EQ(incidents.Open({Scope::Kind::kSite, {"3"}}, "x", "bob", Duration(1), At(0)).id, 4u) << "renewed";
}

// ---- The ledger ----

PermitRequest RequestOf(ChangeKind kind, const std::string& site, std::uint32_t batch = 0,
                        std::set<std::uint64_t> remedies = {}) {
  return {"c1", kind, {{site}, {}, {}, {}}, "bob", std::move(remedies), batch};
}

TEST(FreezeLedger, AFreezeInTheMiddleEndsAtTheBatchAndCanBeUndoneOrResumed) {
  FreezeState state;
  Footprint both{{"bole", "kality"}, {}, {}, {}};
  const PermitRequest forward{"c1", ChangeKind::kNewGeneration, both, "bob", {}, 3};
  ASSERT_TRUE(state.RequestPermit(forward, At(0)).ok());
  const auto id =
      state.incidents.Open({Scope::Kind::kSite, {"bole"}}, "a fire", "ann", Duration(60'000), At(100)).id;
  state.Reevaluate(At(100));
  EXPECT_EQ(state.ConfirmPermit("c1", At(100)).state, PermitState::kPaused);
  EXPECT_EQ(state.ConfirmPermit("c1", At(100)).batch, 3u);
  PermitRequest next = forward;
  next.batch = 4;
  EXPECT_NE(state.RequestPermit(next, At(200)).message.find("a fire"), std::string::npos);
  FreezeState undone = state;
  PermitRequest undo{"c1", ChangeKind::kUndo, both, "bob", {id}, 0};
  EXPECT_EQ(undone.RequestPermit(undo, At(300)).code, StatusCode::kPermitEnding)
      << "the forward permit is still on its way";
  EXPECT_EQ(undone.RequestPermit(undo, At(2499)).code, StatusCode::kPermitEnding);
  EXPECT_TRUE(undone.RequestPermit(undo, At(2500)).ok());
  state.incidents.Close(id, At(400));
  EXPECT_TRUE(state.RequestPermit(next, At(500)).ok());
  EXPECT_EQ(state.ConfirmPermit("c1", At(500)).batch, 4u);
}

TEST(FreezeLedger, RemediesNameTheirIncidentAndAreChecked) {
  FreezeState state;
  const auto bole =
      state.incidents.Open({Scope::Kind::kSite, {"bole"}}, "a fire", "ann", Duration(60'000), At(0)).id;
  const auto judge = [&](ChangeKind kind, const std::string& site, std::set<std::uint64_t> remedies) {
    return state.Evaluate(kind, {{site}, {}, {}, {}}, remedies).effect;
  };
  EXPECT_EQ(judge(ChangeKind::kRestart, "bole", {}), Effect::kPaused);
  EXPECT_EQ(judge(ChangeKind::kRestart, "bole", {bole}), Effect::kAllowed);
  EXPECT_EQ(judge(ChangeKind::kUndo, "bole", {bole}), Effect::kAllowed);
  EXPECT_EQ(judge(ChangeKind::kNewGeneration, "bole", {bole}), Effect::kBlocked);
  EXPECT_EQ(judge(ChangeKind::kNewGeneration, "kality", {}), Effect::kAllowed);
  EXPECT_EQ(judge(ChangeKind::kNewGeneration, "kality", {bole}), Effect::kBlocked)
      << "no remedy, and says it is one";
  // Another incident, whose scope crosses the first one's: both have their say.
  const auto g2 =
      state.incidents.Open({Scope::Kind::kGeneration, {"g2"}}, "it loops", "ann", Duration(60'000), At(0)).id;
  EXPECT_EQ(judge(ChangeKind::kRestart, "bole", {bole}), Effect::kPaused)
      << "of which generation, nobody knows";
  EXPECT_EQ(state.Evaluate(ChangeKind::kRestart, {{"bole"}, {}, {"g2"}, {}}, {bole, g2}).effect,
            Effect::kAllowed);
  EXPECT_EQ(state.Evaluate(ChangeKind::kRestart, {{"bole"}, {}, {"g1"}, {}}, {bole}).effect,
            Effect::kAllowed);
}

TEST(FreezeLedger, WhatEndedCountsFromWhenThatWasCommitted) {
  FreezeState before;
  ASSERT_TRUE(before.RequestPermit(RequestOf(ChangeKind::kRestart, "bole"), At(0)).ok());
  FreezeState next = before;
  next.EndPermit("c1", At(100));
  next.OnCommitted(before, At(3000));
  next.Reevaluate(At(5199));
  EXPECT_EQ(next.permits().size(), 1u);
  next.Reevaluate(At(5200));
  EXPECT_TRUE(next.permits().empty());
}

TEST(FreezeLedger, BytesCutAnywhereAreNoLedger) {
  FreezeState state;
  state.incidents.Open({}, "a fire", "ann", Duration(60'000), At(0));
  state.RequestPermit({"c2", ChangeKind::kUndo, {{"bole"}, {"z1"}, {"g1"}, {"a/i"}}, "bob", {1}, 4}, At(0));
  state.RecordBreakGlass({{3, "a", "c9", "ann", "it burns"}});
  ASSERT_EQ(state.permits().size(), 1u);
  const std::string bytes = state.Encode(At(10));
  const auto read = FreezeState::Decode(bytes, At(99'000));
  ASSERT_TRUE(read);
  EXPECT_TRUE(read->EqualIgnoringTimes(state));
  EXPECT_EQ(read->Encode(At(99'000)), bytes);
  for (std::size_t size = 1; size < bytes.size(); ++size)
    EXPECT_FALSE(FreezeState::Decode(bytes.substr(0, size), At(0)));
  EXPECT_FALSE(FreezeState::Decode(bytes + '0', At(0)));
}

TEST(FreezeDesk, WithoutACoordinatorItSaysWhoIsMissing) {
  PermitService service(InRole(Role::kFollower).voter);
  std::vector<VoterMessage> out;
  const auto receipt = service.Change(
      At(20'000), [](FreezeState&) { return Status(); }, out);
  EXPECT_EQ(receipt.version, 0u);
  EXPECT_EQ(receipt.status.message, "nobody coordinates changes; not heard of: b, c");
  EXPECT_FALSE(service.ConfirmPermit("c1", At(20'000)));
}

// ---- Histories ----

std::uint64_t FromEnv(const char* name, std::uint64_t otherwise) {
  const char* set = std::getenv(name);
  return set == nullptr ? otherwise : std::strtoull(set, nullptr, 10);
}

// Under the sanitizers fewer, to stay within a minute beside the other tests; HISTORIES=1000 and
// CRASH_STRIDE=1 there play them all.
#ifdef __SANITIZE_ADDRESS__
constexpr std::uint64_t kDefaultHistories = 100;
constexpr std::uint64_t kCrashStride = 10;
constexpr std::uint64_t kPairStride = 170;
#else
constexpr std::uint64_t kDefaultHistories = 1000;
constexpr std::uint64_t kCrashStride = 1;
constexpr std::uint64_t kPairStride = 17;
#endif

// HISTORIES sets how many, HISTORIES_FROM the first seed (1). Even seeds have five voters, odd ones three.
TEST(FreezeHistories, KeepTheRules) {
  const std::uint64_t count = FromEnv("HISTORIES", kDefaultHistories);
  const std::uint64_t begin = FromEnv("HISTORIES_FROM", 1);
  testing::History sums;
  using Sum = int testing::History::*;
  const std::vector<std::pair<const char*, Sum>> all = {
      {"elections", &testing::History::elections},
      {"deaths", &testing::History::crashes},
      {"torn writes", &testing::History::torn_writes},
      {"saves failed", &testing::History::saves_failed},
      {"old copies", &testing::History::stale_copies},
      {"joined anew", &testing::History::rejoins},
      {"stops", &testing::History::pauses},
      {"coordinators stopped", &testing::History::leaders_paused},
      {"freezes", &testing::History::freezes},
      {"permits paused", &testing::History::paused},
      {"blocked", &testing::History::blocked},
      {"late words", &testing::History::late_confirmations},
      {"broken glass", &testing::History::break_glass}};
  for (std::uint64_t seed = begin; seed < begin + count; ++seed) {
    const testing::History history = testing::RunHistory(seed, seed % 2 == 0 ? 5 : 3);
    ASSERT_EQ(history.violation, "") << "seed " << seed;
    for (const auto& [name, sum] : all) sums.*sum += history.*sum;
  }
  for (const auto& [name, sum] : all) {
    std::cout << name << ' ' << sums.*sum << ", ";
    EXPECT_GT(sums.*sum, 0) << name;
  }
  std::cout << count << " histories" << std::endl;
}

// Every place of a calm run where a machine may die: before a write, in the middle of it, between it and its
// seal, before it is told; and around each write of an agent's. It comes back as it was, or with the copy of
// two writes before.
TEST(FreezeCrashPoints, NoneBreaksARule) {
  const int stride = static_cast<int>(std::max<std::uint64_t>(1, FromEnv("CRASH_STRIDE", kCrashStride)));
  for (const int voters : {3, 5}) {
    const int crash_points = testing::RunHistory(7, voters, testing::Script{}).crash_points;
    ASSERT_GE(crash_points, 100);
    for (const bool old : {false, true}) {
      for (int point = 0; point < crash_points; point += stride) {
        const testing::History history = testing::RunHistory(7, voters, {point, -1, old});
        ASSERT_EQ(history.violation, "") << voters << " voters, point " << point << (old ? ", old copy" : "");
        ASSERT_EQ(history.crashes, 1);
      }
    }
  }
}

// Two deaths: every seventeenth pair, under the sanitizers every 170th; CRASH_PAIRS=1 plays them all.
TEST(FreezeCrashPoints, NeitherDoPairs) {
  const int stride = static_cast<int>(std::max<std::uint64_t>(1, FromEnv("CRASH_PAIRS", kPairStride)));
  const int crash_points = std::min(160, testing::RunHistory(7, 3, testing::Script{}).crash_points);
  int pair = 0;
  for (int first = 0; first < crash_points; ++first) {
    for (int second = first + 1; second < crash_points; ++second) {
      if (++pair % stride != 0) continue;
      const testing::History history = testing::RunHistory(7, 3, {first, second, false});
      ASSERT_EQ(history.violation, "") << "points " << first << " and " << second;
    }
  }
}

// A test a fault, so that they are looked for side by side.
class FreezePlanted : public ::testing::TestWithParam<int> {};

TEST_P(FreezePlanted, IsFoundByTheHistories) {
  std::string found;
  std::uint64_t seed = 0;
  while (found.empty() && seed < 2000)
    found = testing::RunHistory(++seed, 3, static_cast<testing::InjectedFault>(GetParam())).violation;
  EXPECT_NE(found, "");
  std::cout << "seed " << seed << ": " << found.substr(0, 70) << std::endl;
}

INSTANTIATE_TEST_SUITE_P(Faults, FreezePlanted,
                         ::testing::Range(1, static_cast<int>(testing::InjectedFault::kLast)));

}  // namespace
}  // namespace mothrack::change_freeze
