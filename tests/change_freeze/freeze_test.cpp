// The change-freeze coordinator: the tables of docs/design/freeze.md row by row, its parts on their own, and
// all of them in histories, at every crash point, and with faults planted.
#include <gtest/gtest.h>

#include <cstdlib>
#include <iostream>
#include <set>

#include "change_freeze/desk.h"
#include "change_freeze/freeze_model.h"
#include "support/tables.h"

namespace mothrack::change_freeze {
namespace {

using mothrack::testing::Row;
using mothrack::testing::TableOf;

TimePoint At(int ms) { return TimePoint(Duration(ms)); }

// Every row of the table is played, and everything that can be played has its row. `keys`: the columns that
// name a row.
class Conformance {
 public:
  Conformance(const std::string& heading, std::vector<std::string> keys) : keys_(std::move(keys)) {
    for (const Row& row : TableOf(MOTHRACK_FREEZE_PAGE, heading)) {
      EXPECT_TRUE(rows_.emplace(KeyOf(row), row).second) << "twice: " << KeyOf(row);
    }
  }
  ~Conformance() {
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
  Conformance table("What conflicts", {"change", "where"});
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
struct Bench {
  Voter voter;
  int now = 10'000;
  std::vector<VoterMessage> out{};

  VoterMessage From(const std::string& name, Kind kind, Term term) const {
    VoterMessage m;
    m.kind = kind;
    m.from = name;
    m.to = "a";
    m.term = term;
    m.asked = now;
    return m;
  }
  void Hear(const VoterMessage& m) { voter.Heard(m, At(now), out); }
  void Turn() { voter.Turn(At(now), out); }
  // The others grant what it asked last.
  void Grant(const std::string& name) {
    const VoterMessage asked = out.back();
    VoterMessage m = From(name,
                          asked.kind == Kind::kPre    ? Kind::kPreTold
                          : asked.kind == Kind::kAsk  ? Kind::kVote
                          : asked.kind == Kind::kJoin ? Kind::kJoined
                                                      : Kind::kHeld,
                          asked.term);
    m.granted = true;
    m.stamp = asked.kind == Kind::kPre   ? Stamp{asked.term, 0}
              : asked.kind == Kind::kAsk ? Stamp{4, 2}
                                         : asked.stamp;
    m.value = "of b";
    m.wanted = asked.wanted;
    out.clear();
    Hear(m);
  }
};

Bench InRole(Role role) {
  VoterSettings settings;
  settings.self = "a";
  settings.voters = {"a", "b", "c"};
  VoterRecord record;
  record.serial = 7;
  record.term = 5;
  record.voted = "c";
  record.stamp = {4, 1};
  record.value = "of a";
  Bench bench{
      Voter(settings, record, role == Role::kLost ? Voter::Trust::kOld : Voter::Trust::kSound, At(0))};
  if (role != Role::kFollower) bench.Turn();
  for (int step = 3; role >= Role::kCandidate && step <= static_cast<int>(role); ++step) bench.Grant("b");
  EXPECT_EQ(kRoles[static_cast<int>(bench.voter.role())], std::string(kRoles[static_cast<int>(role)]));
  return bench;
}

std::string Said(const std::vector<VoterMessage>& out) {
  constexpr const char* kKinds[] = {"pre", "pre", "ask", "vote", "write", "beat", "held", "join", "joined"};
  std::set<std::string> said;
  for (const VoterMessage& m : out) {
    const bool answer =
        m.kind == Kind::kPreTold || m.kind == Kind::kVote || m.kind == Kind::kHeld || m.kind == Kind::kJoined;
    said.insert(kKinds[static_cast<int>(m.kind)] + std::string(!answer ? "?" : m.granted ? ": yes" : ": no"));
  }
  std::string text;
  for (const std::string& one : said) text += (text.empty() ? "" : ", ") + one;
  return text.empty() ? "nothing" : text;
}

TEST(FreezeTables, RulesOfAVoter) {
  Conformance table("Rules of a voter", {"role", "what comes"});
  const std::vector<std::pair<std::string, std::function<void(Bench&)>>> events = {
      {"pre, a later term", [](Bench& b) { b.Hear(b.From("b", Kind::kPre, 9)); }},
      {"pre, long after the last beat", [](Bench& b) { b.now += 9000, b.Hear(b.From("b", Kind::kPre, 9)); }},
      {"ask, a later term", [](Bench& b) { b.Hear(b.From("b", Kind::kAsk, 9)); }},
      {"ask, long after the last beat", [](Bench& b) { b.now += 9000, b.Hear(b.From("b", Kind::kAsk, 9)); }},
      {"ask, its term", [](Bench& b) { b.Hear(b.From("b", Kind::kAsk, b.voter.term())); }},
      {"write, a later term", [](Bench& b) { b.Hear(b.From("b", Kind::kWrite, 9)); }},
      {"beat, its term", [](Bench& b) { b.Hear(b.From("b", Kind::kBeat, b.voter.term())); }},
      {"write, an older term", [](Bench& b) { b.Hear(b.From("b", Kind::kWrite, 3)); }},
      {"enough yes",
       [](Bench& b) {
         if (b.out.empty()) return;
         const VoterMessage asked = b.out.back();
         b.Grant("b");
         if (b.voter.role() != Role::kLost) return;
         b.out = {asked};
         b.Grant("c");
       }},
      {"no, of a later term", [](Bench& b) { b.Hear(b.From("b", Kind::kHeld, 9)); }},
      {"join",
       [](Bench& b) {
         VoterMessage m = b.From("b", Kind::kJoin, 0);
         m.wanted = 1;
         b.Hear(m);
       }},
      {"it has told more",
       [](Bench& b) {
         VoterMessage m = b.From("b", Kind::kHeld, b.voter.term());
         m.your_serial = 99;
         b.Hear(m);
       }},
      {"its next moment", [](Bench& b) { b.now += 1600, b.Turn(); }},
      {"silence for a lease", [](Bench& b) { b.now += 3000, b.Turn(); }},
      {"silence for longer", [](Bench& b) { b.now += 5000, b.Turn(); }},
      {"the disk refuses", [](Bench& b) { b.voter.DiskRefused(At(b.now)); }},
  };
  for (int role = 0; role < 6; ++role) {
    for (const auto& [name, event] : events) {
      // A follower's quiet: it has just heard a coordinator.
      Bench bench = InRole(static_cast<Role>(role));
      if (role == 1) bench.Hear(bench.From("c", Kind::kBeat, 5));
      const auto serial = bench.voter.record().serial;
      if (name != "enough yes") bench.out.clear();
      if (name == "enough yes" && role == 1) bench.out.clear();
      event(bench);
      table.Play({{"role", kRoles[role]},
                  {"what comes", name},
                  {"becomes", kRoles[static_cast<int>(bench.voter.role())]},
                  {"on disk first", bench.voter.record().serial != serial ? "yes" : "no"},
                  {"says", Said(bench.out)}});
    }
  }
}

TEST(FreezeVoter, TakesTheLatestOfAMajority) {
  Bench bench = InRole(Role::kTaking);
  EXPECT_EQ(bench.voter.record().value, "of b");
  EXPECT_EQ(bench.voter.record().stamp, (Stamp{6, 1}));
}

TEST(FreezeVoter, LeaseCountsFromTheQuestion) {
  Bench bench = InRole(Role::kCoordinator);
  EXPECT_TRUE(bench.voter.Leads(At(10'000 + 2699)));
  EXPECT_FALSE(bench.voter.Leads(At(10'000 + 2700)));
  VoterMessage late = bench.From("b", Kind::kHeld, 6);
  late.granted = true;
  late.stamp = {6, 1};
  bench.now += 1000;
  bench.Hear(late);  // asked at 10 s, answered at 11 s
  EXPECT_FALSE(bench.voter.Leads(At(10'000 + 2700)));
}

TEST(FreezeVoter, OldFilesAreTold) {
  VoterRecord record;
  record.serial = 4;
  EXPECT_EQ(Voter::TrustOf(record, Seal{0, 4}, false), Voter::Trust::kSound);
  EXPECT_EQ(Voter::TrustOf(record, Seal{0, 3}, false), Voter::Trust::kSound) << "written, and not told";
  EXPECT_EQ(Voter::TrustOf(record, Seal{0, 5}, false), Voter::Trust::kOld);
  EXPECT_EQ(Voter::TrustOf(record, Seal{1, 1}, false), Voter::Trust::kOld) << "of a former life";
  EXPECT_EQ(Voter::TrustOf(record, std::nullopt, true), Voter::Trust::kOld);
  EXPECT_EQ(Voter::TrustOf(std::nullopt, Seal{}, true), Voter::Trust::kOld);
  EXPECT_EQ(Voter::TrustOf(std::nullopt, std::nullopt, false), Voter::Trust::kOld);
  EXPECT_EQ(Voter::TrustOf(std::nullopt, std::nullopt, true), Voter::Trust::kSound);
}

// What a voter told in a former life counts no more, once anybody who answered its new one is heard.
TEST(FreezeVoter, VotesOfAFormerLifeAreDropped) {
  VoterSettings settings;
  settings.self = "a";
  settings.voters = {"a", "b", "c", "d", "e"};
  Bench bench{Voter(settings, VoterRecord(), Voter::Trust::kSound, At(0))};
  bench.Turn();
  const VoterMessage asked = bench.out.back();
  for (const char* name : {"b", "c"}) {
    bench.out = {asked};
    bench.Grant(name);
  }
  ASSERT_EQ(bench.voter.role(), Role::kCandidate);
  VoterMessage vote = bench.From("b", Kind::kVote, 1);
  vote.granted = true;
  bench.Hear(vote);
  vote.from = "c";
  vote.lives = {{"b", 1}};  // b has come back as another
  bench.Hear(vote);
  EXPECT_EQ(bench.voter.role(), Role::kCandidate);
  vote.from = "d";
  bench.Hear(vote);
  EXPECT_EQ(bench.voter.role(), Role::kTaking);
}

// ---- Permits ----

Word WordOf(Term term, std::uint64_t version, Word::State state) {
  return {term,
          version,
          "c1",
          ChangeKind::kRestart,
          state,
          2,
          state == Word::State::kRunning ? "" : "incident 1"};
}

TEST(FreezeTables, RulesOfPermits) {
  using State = Word::State;
  Conformance table("Rules of permits", {"heard", "wanted"});
  constexpr const char* kVerdicts[] = {"allowed", "by break-glass", "no permit",
                                       "paused",  "blocked",        "lapsed"};
  const std::vector<std::pair<std::string, std::function<void(PermitBook&)>>> heard = {
      {"nothing", [](PermitBook&) {}},
      {"no permit", [](PermitBook& b) { b.Heard(WordOf(5, 1, State::kNone), At(9000)); }},
      {"running to batch 2", [](PermitBook& b) { b.Heard(WordOf(5, 1, State::kRunning), At(9000)); }},
      {"running, asked 1.8 s ago", [](PermitBook& b) { b.Heard(WordOf(5, 1, State::kRunning), At(8200)); }},
      {"paused at batch 2", [](PermitBook& b) { b.Heard(WordOf(5, 1, State::kPaused), At(9000)); }},
      {"blocked", [](PermitBook& b) { b.Heard(WordOf(5, 1, State::kBlocked), At(9000)); }},
      {"running, then a later term of another change",
       [](PermitBook& b) {
         b.Heard(WordOf(5, 1, State::kRunning), At(9000));
         Word other = WordOf(6, 1, State::kRunning);
         other.change = "c2";
         b.Heard(other, At(9100));
       }},
      {"blocked, then running of an older term",
       [](PermitBook& b) {
         b.Heard(WordOf(5, 1, State::kBlocked), At(9000));
         EXPECT_FALSE(b.Heard(WordOf(4, 9, State::kRunning), At(9900)));
       }},
      {"blocked, then running of an older state",
       [](PermitBook& b) {
         b.Heard(WordOf(5, 2, State::kBlocked), At(9000));
         EXPECT_FALSE(b.Heard(WordOf(5, 1, State::kRunning), At(9900)));
       }},
      {"running of the term on disk before",
       [](PermitBook& b) {
         b = PermitBook("a", PermitRecord{9, 0, {}});
         EXPECT_FALSE(b.Heard(WordOf(5, 1, State::kRunning), At(9900)));
       }},
      {"running, then nobody leads",
       [](PermitBook& b) {
         b.Heard(WordOf(5, 1, State::kRunning), At(9000));
         b.Leaderless("nobody coordinates");
       }},
      {"nobody leads", [](PermitBook& b) { b.Leaderless("nobody coordinates"); }},
      {"blocked, glass broken",
       [](PermitBook& b) {
         b.Heard(WordOf(5, 1, State::kBlocked), At(9000));
         EXPECT_EQ(b.BreakGlass("c1", "ann", false, "it burns", At(9000)), "");
       }},
      {"blocked, glass broken 600 s ago",
       [](PermitBook& b) {
         EXPECT_EQ(b.BreakGlass("c1", "ann", false, "it burns", At(10'000 - 600'000)), "");
         b.Heard(WordOf(5, 1, State::kBlocked), At(9000));
       }},
      {"blocked, glass broken by a viewer",
       [](PermitBook& b) {
         b.Heard(WordOf(5, 1, State::kBlocked), At(9000));
         EXPECT_NE(b.BreakGlass("c1", "ann", true, "it burns", At(9000)), "");
       }},
  };
  const std::vector<std::tuple<std::string, ChangeKind, int>> wanted = {
      {"the lease", ChangeKind::kRestart, 0},
      {"a step of batch 2", ChangeKind::kRestart, 2},
      {"a step of batch 3", ChangeKind::kRestart, 3},
      {"its undo", ChangeKind::kUndo, 0}};
  for (const auto& [name, hear] : heard) {
    PermitBook book("a", {});
    hear(book);
    for (const auto& [want, kind, batch] : wanted) {
      const auto answer = book.May("c1", kind, static_cast<std::uint32_t>(batch), At(10'000));
      table.Play(
          {{"heard", name}, {"wanted", want}, {"answer", kVerdicts[static_cast<int>(answer.verdict)]}});
      EXPECT_EQ(answer.allowed(), answer.why.empty());
    }
  }
}

TEST(FreezePermits, BrokenGlassIsWrittenDownUntilItIsTold) {
  PermitBook book("a", {});
  EXPECT_NE(book.BreakGlass("c1", "ann", false, "", At(0)), "");
  ASSERT_EQ(book.BreakGlass("c1", "ann", false, "it burns", At(0)), "");
  ASSERT_EQ(book.record().untold.size(), 1u);
  Ledger ledger;
  ledger.Broken(book.record().untold);
  ledger.Broken(book.record().untold);
  EXPECT_EQ(ledger.glass(), book.record().untold);
  book.Told(ledger.GlassOf("a"));
  EXPECT_TRUE(book.record().untold.empty());
}

// ---- Incidents ----

TEST(FreezeTables, RulesOfIncidents) {
  Conformance table("Rules of incidents", {"state", "event"});
  const Scope hall{Scope::Kind::kHall, {"bole"}};
  const auto share = [&](double level) {
    return Evidence{IncidentKind::kRefusals, hall, level, kRefusalsFor};
  };
  using Events =
      std::vector<std::pair<std::string, std::function<void(Incidents&, std::uint64_t, TimePoint)>>>;
  std::string why;
  const Events events = {
      {"its evidence is bad",
       [&](Incidents& i, std::uint64_t, TimePoint now) { i.Hear(share(0.3), now, why); }},
      {"between", [&](Incidents& i, std::uint64_t, TimePoint now) { i.Hear(share(0.1), now, why); }},
      {"calm", [&](Incidents& i, std::uint64_t, TimePoint now) { i.Hear(share(0.01), now, why); }},
      {"calm for 30 s",
       [&](Incidents& i, std::uint64_t, TimePoint now) {
         for (int s = 0; s <= 30; ++s) i.Hear(share(0.01), now + Duration(s * 1000), why);
       }},
      {"nobody speaks of it",
       [](Incidents& i, std::uint64_t, TimePoint now) { i.Turn(now + Duration(31'000)); }},
      {"renewed by hand", [](Incidents& i, std::uint64_t id, TimePoint now) { i.Renew(id, "bob", now); }},
      {"closed by hand", [](Incidents& i, std::uint64_t id, TimePoint now) { i.Close(id, now); }},
      {"another coordinator",
       [](Incidents& i, std::uint64_t, TimePoint now) {
         Packer packer;
         i.Pack(packer, now);
         Unpacker unpacker(packer.bytes());
         EXPECT_TRUE(i.Unpack(unpacker, At(5)) && unpacker.done());
       }},
  };
  const auto state = [](const Incidents& i) {
    return i.all().empty() ? std::string("none") : kIncidentStates[static_cast<int>(i.all().front().state)];
  };
  for (const std::string begin : {"none", "open", "calming", "stale", "muted"}) {
    for (const auto& [name, event] : events) {
      Row row{{"state", begin}, {"event", name}};
      Incidents by_evidence;
      std::uint64_t id = begin == "none" ? 0 : by_evidence.Hear(share(0.3), At(0), why);
      if (begin == "calming") by_evidence.Hear(share(0.01), At(0), why);
      if (begin == "stale") by_evidence.Turn(At(30'000));
      if (begin == "muted") by_evidence.Close(id, At(0));
      ASSERT_EQ(state(by_evidence), begin);
      event(by_evidence, id, At(begin == "stale" ? 30'000 : 100));
      row["by evidence"] = state(by_evidence);
      row["by an operator"] = "-";
      if (begin == "open" || begin == "stale") {
        Incidents by_hand;
        id = by_hand.Open(hall, "a fire", "ann", Duration(30'000), At(0), why);
        if (begin == "stale") by_hand.Turn(At(30'000));
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
  const auto sign = [](IncidentKind kind, double level, int ms) {
    return SignOf({kind, {}, level, Duration(ms)});
  };
  EXPECT_EQ(sign(IncidentKind::kRefusals, 0.20, 2999), Sign::kBetween);
  EXPECT_EQ(sign(IncidentKind::kRefusals, 0.20, 3000), Sign::kBad);
  EXPECT_EQ(sign(IncidentKind::kRefusals, 0.05, 0), Sign::kCalm);
  EXPECT_EQ(sign(IncidentKind::kCrashLoop, 1, 0), Sign::kBetween);
  EXPECT_EQ(sign(IncidentKind::kCrashLoop, 2, 0), Sign::kBad);
  EXPECT_EQ(sign(IncidentKind::kZoneLeft, 0.5, 0), Sign::kBetween);
  EXPECT_EQ(sign(IncidentKind::kZoneLeft, 1, 0), Sign::kBad);
  EXPECT_EQ(sign(IncidentKind::kZoneLeft, 0, 0), Sign::kCalm);
}

TEST(FreezeIncidents, AreBoundedAndSaySo) {
  Incidents incidents;
  std::string why;
  for (std::size_t i = 0; i < kMostIncidents; ++i) {
    EXPECT_GT(incidents.Open({Scope::Kind::kHall, {std::to_string(i)}}, "x", "ann", Duration(1), At(0), why),
              0u);
  }
  EXPECT_EQ(incidents.Open({}, "x", "ann", Duration(1), At(0), why), 0u);
  EXPECT_EQ(why.substr(0, 32), "there are 32 incidents already; ");
  EXPECT_EQ(incidents.Open({Scope::Kind::kHall, {"3"}}, "x", "bob", Duration(1), At(0), why), 4u)
      << "renewed";
}

// ---- The ledger ----

PermitAsk AskOf(ChangeKind kind, const std::string& hall, std::uint32_t batch = 0,
                std::set<std::uint64_t> remedies = {}) {
  return {"c1", kind, {{hall}, {}, {}, {}}, "bob", std::move(remedies), batch};
}

TEST(FreezeLedger, AFreezeInTheMiddleEndsAtTheBatchAndCanBeUndoneOrResumed) {
  Ledger ledger;
  std::string why;
  Footprint both{{"bole", "kality"}, {}, {}, {}};
  const PermitAsk forward{"c1", ChangeKind::kNewGeneration, both, "bob", {}, 3};
  ASSERT_EQ(ledger.Ask(forward, At(0)), "");
  const auto id =
      ledger.incidents.Open({Scope::Kind::kHall, {"bole"}}, "a fire", "ann", Duration(60'000), At(100), why);
  ledger.Settle(At(100));
  EXPECT_EQ(ledger.Confirm("c1", At(100)).state, Word::State::kPaused);
  EXPECT_EQ(ledger.Confirm("c1", At(100)).batch, 3u);
  PermitAsk next = forward;
  next.batch = 4;
  EXPECT_NE(ledger.Ask(next, At(200)).find("a fire"), std::string::npos);
  Ledger undone = ledger;
  PermitAsk undo{"c1", ChangeKind::kUndo, both, "bob", {id}, 0};
  EXPECT_NE(undone.Ask(undo, At(300)), "") << "the forward permit is still on its way";
  EXPECT_NE(undone.Ask(undo, At(2499)), "");
  EXPECT_EQ(undone.Ask(undo, At(2500)), "");
  ledger.incidents.Close(id, At(400));
  EXPECT_EQ(ledger.Ask(next, At(500)), "");
  EXPECT_EQ(ledger.Confirm("c1", At(500)).batch, 4u);
}

TEST(FreezeLedger, RemediesNameTheirIncidentAndAreChecked) {
  Ledger ledger;
  std::string why;
  const auto bole =
      ledger.incidents.Open({Scope::Kind::kHall, {"bole"}}, "a fire", "ann", Duration(60'000), At(0), why);
  const auto judge = [&](ChangeKind kind, const std::string& hall, std::set<std::uint64_t> remedies) {
    return ledger.Judge(kind, {{hall}, {}, {}, {}}, remedies).effect;
  };
  EXPECT_EQ(judge(ChangeKind::kRestart, "bole", {}), Effect::kPaused);
  EXPECT_EQ(judge(ChangeKind::kRestart, "bole", {bole}), Effect::kAllowed);
  EXPECT_EQ(judge(ChangeKind::kUndo, "bole", {bole}), Effect::kAllowed);
  EXPECT_EQ(judge(ChangeKind::kNewGeneration, "bole", {bole}), Effect::kBlocked);
  EXPECT_EQ(judge(ChangeKind::kNewGeneration, "kality", {}), Effect::kAllowed);
  EXPECT_EQ(judge(ChangeKind::kNewGeneration, "kality", {bole}), Effect::kBlocked)
      << "no remedy, and says it is one";
  // Another incident, whose scope crosses the first one's: both have their say.
  const auto g2 = ledger.incidents.Open({Scope::Kind::kGeneration, {"g2"}}, "it loops", "ann",
                                        Duration(60'000), At(0), why);
  EXPECT_EQ(judge(ChangeKind::kRestart, "bole", {bole}), Effect::kPaused)
      << "of which generation, nobody knows";
  EXPECT_EQ(ledger.Judge(ChangeKind::kRestart, {{"bole"}, {}, {"g2"}, {}}, {bole, g2}).effect,
            Effect::kAllowed);
  EXPECT_EQ(ledger.Judge(ChangeKind::kRestart, {{"bole"}, {}, {"g1"}, {}}, {bole}).effect, Effect::kAllowed);
}

TEST(FreezeLedger, WhatEndedCountsFromWhenThatWasCommitted) {
  Ledger before;
  ASSERT_EQ(before.Ask(AskOf(ChangeKind::kRestart, "bole"), At(0)), "");
  Ledger next = before;
  next.Done("c1", At(100));
  next.Committed(before, At(3000));
  next.Settle(At(5199));
  EXPECT_EQ(next.permits().size(), 1u);
  next.Settle(At(5200));
  EXPECT_TRUE(next.permits().empty());
}

TEST(FreezeLedger, BytesCutAnywhereAreNoLedger) {
  Ledger ledger;
  std::string why;
  ledger.incidents.Open({}, "a fire", "ann", Duration(60'000), At(0), why);
  ledger.Ask({"c2", ChangeKind::kUndo, {{"bole"}, {"z1"}, {"g1"}, {"a/i"}}, "bob", {1}, 4}, At(0));
  ledger.Broken({{3, "a", "c9", "ann", "it burns"}});
  ASSERT_EQ(ledger.permits().size(), 1u);
  const std::string bytes = ledger.Pack(At(10));
  const auto read = Ledger::Unpack(bytes, At(99'000));
  ASSERT_TRUE(read);
  EXPECT_TRUE(read->Alike(ledger));
  EXPECT_EQ(read->Pack(At(99'000)), bytes);
  for (std::size_t size = 1; size < bytes.size(); ++size)
    EXPECT_FALSE(Ledger::Unpack(bytes.substr(0, size), At(0)));
  EXPECT_FALSE(Ledger::Unpack(bytes + '0', At(0)));
}

TEST(FreezeDesk, WithoutACoordinatorItSaysWhoIsMissing) {
  Desk desk(InRole(Role::kFollower).voter);
  std::vector<VoterMessage> out;
  const auto receipt = desk.Change(
      At(20'000), [](Ledger&) { return std::string(); }, out);
  EXPECT_EQ(receipt.version, 0u);
  EXPECT_EQ(receipt.why, "nobody coordinates changes; not heard of: b, c");
  EXPECT_FALSE(desk.Confirm("c1", At(20'000)));
}

// ---- Histories ----

std::uint64_t FromEnv(const char* name, std::uint64_t otherwise) {
  const char* set = std::getenv(name);
  return set == nullptr ? otherwise : std::strtoull(set, nullptr, 10);
}

// Under the sanitizers fewer, to stay within a minute beside the other tests; HISTORIES=1000 and
// CRASH_STRIDE=1 there play them all.
#ifdef __SANITIZE_ADDRESS__
constexpr std::uint64_t kHistories = 100;
constexpr std::uint64_t kCrashStride = 10;
constexpr std::uint64_t kPairStride = 170;
#else
constexpr std::uint64_t kHistories = 1000;
constexpr std::uint64_t kCrashStride = 1;
constexpr std::uint64_t kPairStride = 17;
#endif

// HISTORIES sets how many, HISTORIES_FROM the first seed (1). Even seeds have five voters, odd ones three.
TEST(FreezeHistories, KeepTheRules) {
  const std::uint64_t count = FromEnv("HISTORIES", kHistories);
  const std::uint64_t begin = FromEnv("HISTORIES_FROM", 1);
  testing::History sums;
  using Sum = int testing::History::*;
  const std::vector<std::pair<const char*, Sum>> all = {
      {"elections", &testing::History::elections},
      {"deaths", &testing::History::deaths},
      {"torn writes", &testing::History::torn},
      {"saves failed", &testing::History::saves_failed},
      {"old copies", &testing::History::old_copies},
      {"joined anew", &testing::History::joined},
      {"stops", &testing::History::stops},
      {"coordinators stopped", &testing::History::coordinators_stopped},
      {"freezes", &testing::History::freezes},
      {"permits paused", &testing::History::paused},
      {"blocked", &testing::History::blocked},
      {"late words", &testing::History::late_words},
      {"broken glass", &testing::History::broken_glass}};
  for (std::uint64_t seed = begin; seed < begin + count; ++seed) {
    const testing::History history = testing::Play(seed, seed % 2 == 0 ? 5 : 3);
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
    const int points = testing::Play(7, voters, testing::Script{}).points;
    ASSERT_GE(points, 100);
    for (const bool old : {false, true}) {
      for (int point = 0; point < points; point += stride) {
        const testing::History history = testing::Play(7, voters, {point, -1, old});
        ASSERT_EQ(history.violation, "") << voters << " voters, point " << point << (old ? ", old copy" : "");
        ASSERT_EQ(history.deaths, 1);
      }
    }
  }
}

// Two deaths: every seventeenth pair, under the sanitizers every 170th; CRASH_PAIRS=1 plays them all.
TEST(FreezeCrashPoints, NeitherDoPairs) {
  const int stride = static_cast<int>(std::max<std::uint64_t>(1, FromEnv("CRASH_PAIRS", kPairStride)));
  const int points = std::min(160, testing::Play(7, 3, testing::Script{}).points);
  int pair = 0;
  for (int first = 0; first < points; ++first) {
    for (int second = first + 1; second < points; ++second) {
      if (++pair % stride != 0) continue;
      const testing::History history = testing::Play(7, 3, {first, second, false});
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
    found = testing::Play(++seed, 3, static_cast<testing::Planted>(GetParam())).violation;
  EXPECT_NE(found, "");
  std::cout << "seed " << seed << ": " << found.substr(0, 70) << std::endl;
}

INSTANTIATE_TEST_SUITE_P(Faults, FreezePlanted,
                         ::testing::Range(1, static_cast<int>(testing::Planted::kLast)));

}  // namespace
}  // namespace mothrack::change_freeze
