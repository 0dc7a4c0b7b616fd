// The lab: the same seed gives the same night, the rules' checkers find what is planted, figures say what
// they say, a sweep that is cut short goes on, load tells of stalls. No socket but loopback's.
#include <signal.h>
#include <sys/wait.h>
#include <unistd.h>

#include <chrono>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <future>
#include <map>
#include <thread>

#include "gtest/gtest.h"
#include "simulation/load_generator.h"
#include "simulation/report.h"
#include "simulation/results.h"
#include "simulation/search.h"
#include "simulation/simulation_run.h"
#include "simulation/statistics.h"
#include "standins/peers.h"

namespace mothrack::simulation {
namespace {

namespace fs = std::filesystem;

std::string PathOf(const std::string& name) { return std::string(MOTHRACK_SCENARIOS) + '/' + name + ".toml"; }

Scenario Small(const std::string& name, double length_s = 25) {
  Scenario scenario = LoadScenario(PathOf(name), {"fleet.sidecars=12", "servers.count=8"});
  scenario.length_s = length_s;
  for (Fault& f : scenario.faults) f.at_s = std::min(f.at_s, 8.0), f.len_s = std::min(f.len_s, 6.0);
  return scenario;
}

struct Night {
  Outcome outcome;
  nlohmann::json run;
};
Night Play(const Scenario& scenario, std::uint64_t seed,
           InjectedFault injected_fault = InjectedFault::kNone) {
  SimulationRun world(scenario, seed, injected_fault);
  const Outcome outcome = world.Run();
  return {outcome, ToJson(scenario, seed, outcome, world.figures(), true)};
}

// ---- The emulator ----

TEST(Lab, TheSameSeedGivesTheSameNightAndAnotherAnother) {
  for (const char* name : {"rolling_deploy", "retry_storm", "hall_lost"}) {
    const Scenario scenario = Small(name);
    const Night first = Play(scenario, 5);
    const Night second = Play(scenario, 5);
    EXPECT_EQ(first.outcome.digest, second.outcome.digest) << name;
    EXPECT_EQ(first.run, second.run) << name;
    EXPECT_NE(first.outcome.digest, Play(scenario, 6).outcome.digest) << name;
  }
}

// Every scenario of the library, small: it can be read, the rules hold, and nobody is left without an answer.
TEST(Lab, TheLibraryIsPlayedWithNoRuleBroken) {
  int played = 0;
  for (const auto& entry : fs::directory_iterator(MOTHRACK_SCENARIOS)) {
    const Scenario scenario = Small(entry.path().stem());
    const Night night = Play(scenario, 3);
    EXPECT_EQ(night.outcome.broken, 0U) << scenario.name << ": " << night.run["breaks"].dump();
    EXPECT_EQ(night.outcome.still_open, 0U) << scenario.name;
    const auto ended = night.run["good"].get<std::uint64_t>() + night.run["late"].get<std::uint64_t>() +
                       night.run["refused"].get<std::uint64_t>() + night.run["failed"].get<std::uint64_t>();
    EXPECT_EQ(ended, night.run["asked"].get<std::uint64_t>()) << scenario.name << ": a wish without an end";
    ++played;
  }
  EXPECT_GE(played, 13);
}

TEST(Lab, EachRulesCheckerFindsWhatIsPlanted) {
  const std::map<InjectedFault, std::string> plants = {{InjectedFault::kResend, "twice"},
                                                       {InjectedFault::kAfterDrain, "drain"},
                                                       {InjectedFault::kDroppedAnswer, "lost"},
                                                       {InjectedFault::kOverloadWarmingUp, "cold"}};
  Scenario scenario = Small("rolling_deploy");
  // A crowd that a cold server can be flooded by.
  scenario.sidecars = 30;
  scenario.servers = 14;
  for (const auto& [injected_fault, rule] : plants) {
    const Night night = Play(scenario, 2, injected_fault);
    ASSERT_FALSE(night.outcome.breaches.empty()) << rule;
    for (const Breach& b : night.outcome.breaches) EXPECT_EQ(NameOf(b.rule), rule) << b.what;
  }
}

TEST(Lab, TenThousandServers) {
  const Scenario scenario = LoadScenario(
      PathOf("calm"), {"servers.count=10000", "fleet.sidecars=3", "length_s=1", "load.use=0.0002"});
  const Night night = Play(scenario, 1);
  EXPECT_EQ(night.outcome.broken, 0U);
  EXPECT_GT(night.outcome.requests, 20U);
}

// ---- The rules, event by event ----

class Checked {
 public:
  Checked()
      : rules([] {
          Rules::Limits limits;
          limits.unsafe = {false, true};
          return limits;
        }()) {}
  SimulationEvent& Say(SimulationEvent::Kind kind, double ms) {
    Flush();
    next.emplace();
    next->kind = kind;
    next->at = runtime::TimePoint(Milliseconds(ms));
    next->sidecar = 1;
    next->request = 7;
    next->cls = 1;
    next->until = runtime::TimePoint(Milliseconds(1000));
    return *next;
  }
  std::size_t Count(Rule rule) {
    Flush();
    return rules.count(rule);
  }
  void Flush() {
    if (next) rules.Record(*next);
    next.reset();
  }
  Rules rules;
  std::optional<SimulationEvent> next;
};

using Kind = SimulationEvent::Kind;

TEST(Rules, AnUnsafeRequestGoesAgainOnlyWhenItIsKnownNotToHaveRun) {
  for (const auto& [outcome, broken] :
       std::map<balancer::Outcome, std::size_t>{{balancer::Outcome::kFull, 0},
                                                {balancer::Outcome::kConnectFailed, 0},
                                                {balancer::Outcome::kTimeout, 1},
                                                {balancer::Outcome::kReset, 1}}) {
    Checked c;
    c.Say(Kind::kAccepted, 0);
    c.Say(Kind::kAttemptSent, 1);
    c.Say(Kind::kAttemptEnded, 2).outcome = outcome;
    c.Say(Kind::kAttemptSent, 3);
    EXPECT_EQ(c.Count(Rule::kTwice), broken) << static_cast<int>(outcome);
  }
}

TEST(Rules, ARefusalPromisesThatNothingRan) {
  Checked c;
  c.Say(Kind::kAccepted, 0);
  c.Say(Kind::kAttemptSent, 1);
  c.Say(Kind::kAttemptEnded, 2).outcome = balancer::Outcome::kFull;
  c.Say(Kind::kAnswered, 3).request_outcome = RequestOutcome::kRefused;
  EXPECT_EQ(c.Count(Rule::kTwice), 0U);
  c.Say(Kind::kCallStarted, 4);
  EXPECT_EQ(c.Count(Rule::kTwice), 1U);
}

TEST(Rules, OneAnswerInTimeAndNoneForWhoLeft) {
  Checked late;
  late.Say(Kind::kAccepted, 0);
  late.Say(Kind::kAnswered, 1050).request_outcome = RequestOutcome::kFailed;
  EXPECT_EQ(late.Count(Rule::kLost), 0U);
  late.Say(Kind::kAnswered, 1051).request_outcome = RequestOutcome::kFailed;
  EXPECT_EQ(late.Count(Rule::kLost), 2U) << "a second one, and late";
  Checked left;
  left.Say(Kind::kAccepted, 0);
  left.Say(Kind::kClientLeft, 10);
  left.Flush();
  left.rules.End(runtime::TimePoint(Milliseconds(5000)));
  EXPECT_EQ(left.Count(Rule::kLost), 0U);
  Checked none;
  none.Say(Kind::kAccepted, 0);
  none.Flush();
  none.rules.End(runtime::TimePoint(Milliseconds(1051)));
  EXPECT_EQ(none.Count(Rule::kLost), 1U);
}

TEST(Rules, NothingBeginsAtALeavingServerAfterItsGrace) {
  Checked c;
  c.Say(Kind::kAccepted, 0);
  c.Say(Kind::kSidecarNotified, 0).leaving = true;
  c.Say(Kind::kAttemptSent, 550);
  EXPECT_EQ(c.Count(Rule::kDrain), 0U);
  c.Say(Kind::kSidecarNotified, 551).leaving = true;  // told again: the first telling counts
  c.Say(Kind::kAttemptSent, 552);
  EXPECT_EQ(c.Count(Rule::kDrain), 1U);
}

TEST(Rules, AColdServerBearsWhatAllSendWithinTheWindow) {
  // Of 3 ms a millisecond, a fifth at first: 2,400 ms of work in a second are four times what it can.
  Checked c;
  c.Say(Kind::kServerStarted, 0).work = 3;
  for (int i = 0; i < 24; ++i) c.Say(Kind::kCallArrived, i).work = 100;
  EXPECT_EQ(c.Count(Rule::kSlowStart), 0U);
  c.Say(Kind::kCallArrived, 25).work = 150;
  EXPECT_EQ(c.Count(Rule::kSlowStart), 1U);
  Checked spread;
  spread.Say(Kind::kServerStarted, 0).work = 3;
  for (int i = 0; i < 50; ++i) spread.Say(Kind::kCallArrived, 100 * i).work = 150;
  EXPECT_EQ(spread.Count(Rule::kSlowStart), 0U);
}

// ---- Figures ----

TEST(Figures, QuantilesAreWithinABinOfTheTruth) {
  Times times = NewTimes();
  for (int i = 1; i <= 1000; ++i) times(i);
  EXPECT_NEAR(Quantile(times, 0.5), 500, 25);
  EXPECT_NEAR(Quantile(times, 0.99), 990, 50);
  EXPECT_EQ(Quantile(NewTimes(), 0.5), 0);
}

// Room is back at 6 s, refusals stop at 9 s: three seconds were lost for nothing.
TEST(Figures, RecoveryCountsFromTheRoomOnAndNotFromTheTrouble) {
  Scenario scenario = Small("mass_restart", 20);
  scenario.faults = {{FaultKind::kSlow, 3, 3, 0.5, 4, ""}};
  Figures figures(scenario);
  std::uint64_t client_request = 0;
  for (int s = 0; s < 20; ++s) {
    figures.At(s).able = s >= 3 && s < 6 ? 0.3 : 1;
    figures.At(s).demand = 0.6;
    for (int i = 0; i < 100; ++i) {
      SimulationEvent h;
      h.kind = Kind::kRequested;
      h.request = ++client_request;
      h.at = runtime::TimePoint(SecondsOf(s + 0.001 * i));
      figures.Record(h);
      h.kind = Kind::kResolved;
      h.request_outcome = s >= 3 && s < 9 && i < 10 ? RequestOutcome::kRefused : RequestOutcome::kServed;
      figures.Record(h);
    }
  }
  figures.Finish();
  const auto recovery = figures.recovery();
  ASSERT_TRUE(recovery);
  EXPECT_EQ(recovery->covered_s, 6);
  EXPECT_TRUE(recovery->recovered);
  EXPECT_EQ(recovery->took_s, 3);
  EXPECT_NEAR(recovery->needless, 30.0 / 2000, 1e-9);
}

TEST(Statistics, AnIntervalTellsOnlyWhereItLeavesZeroOut) {
  const Difference clear = Compare({1.0, 1.2, 0.9, 1.1});
  EXPECT_TRUE(clear.tells());
  EXPECT_NEAR(clear.mean, 1.05, 1e-9);
  EXPECT_NEAR(clear.high - clear.low, 2 * 3.1824463 * 0.1290994 / 2, 1e-4);  // t(3), s / sqrt(4)
  EXPECT_FALSE(Compare({1.0, -1.2, 0.9, -0.8}).tells());
  EXPECT_FALSE(Compare({1.0}).tells());
}

// ---- Scenarios ----

TEST(Scenario, AFaultOfAFileNamesPlaceAndMend) {
  const std::string head = "name = \"x\"\n";
  const std::string cls = "[[class]]\nname = \"p\"\neffect = \"safe\"\n";
  const std::map<std::string, std::string> faults = {
      {head, "[[class]]"},
      {cls, "[top] name: give one"},
      {head + "speed = 3\n" + cls, "[top] speed: there is no such key"},
      {head + "[fleet]\nsidecars = 0\n" + cls, "[fleet] sidecars: give a number from 1 to"},
      {head + "[fleet]\nsidecars = 1.5\n" + cls, "give a whole number"},
      {head + "[load]\nuse = \"much\"\n" + cls, "[load] use: give a number"},
      {head + cls + "[[fault]]\nkind = \"rain\"\n", "'rain' is none; give one of cut-zone"},
      {head + cls + "[[fault]]\nkind = \"cut-zone\"\nzone = \"moon\"\n", "'moon' is none of [servers] zones"},
      {head + "[[class]]\nname = \"p\"\neffect = \"safe\"\naim_ms = 900\ndeadline_ms = 800\n",
       "no less than aim_ms"},
      {head + "x = \n", "x.toml:2"},
  };
  for (const auto& [text, what] : faults) {
    try {
      ParseScenario(text, "x.toml");
      ADD_FAILURE() << "taken: " << text;
    } catch (const ScenarioError& e) {
      EXPECT_NE(std::string(e.what()).find(what), std::string::npos) << e.what();
      EXPECT_NE(std::string(e.what()).find("x.toml"), std::string::npos) << e.what();
    }
  }
  EXPECT_THROW(ParseScenario(head + cls, "x.toml", {"load.use"}), ScenarioError);
  EXPECT_THROW(ParseScenario(head + cls, "x.toml", {"load.use=["}), ScenarioError);
  EXPECT_EQ(ParseScenario(head + cls, "x.toml", {"load.use=0.25"}).use, 0.25);
}

TEST(Scenario, IsTheSameWrittenAndReadAgain) {
  for (const auto& entry : fs::directory_iterator(MOTHRACK_SCENARIOS)) {
    const Scenario scenario = LoadScenario(entry.path());
    const std::string text = ToToml(scenario);
    EXPECT_EQ(ToToml(ParseScenario(text, "again")), text) << scenario.name;
  }
}

TEST(Search, WhatIsMutatedIsValidAndTheSameForASeed) {
  const Scenario base = LoadScenario(PathOf("flapping"));
  Random one(9);
  Random two(9);
  for (int i = 0; i < 200; ++i) {
    const std::string text = ToToml(Mutated(base, one));
    EXPECT_EQ(text, ToToml(Mutated(base, two)));
    EXPECT_NO_THROW(ParseScenario(text, "mutated")) << text;
  }
}

TEST(Search, ShrinksToWhatStillShowsIt) {
  Scenario scenario = Small("rolling_deploy");
  scenario.faults.push_back({FaultKind::kBurst, 3, 4, 0, 1.5, ""});
  scenario.faults.push_back({FaultKind::kStale, 3, 4, 0, 1, ""});
  const auto shows = [](const Scenario& s) {
    SimulationRun world(s, 2, InjectedFault::kAfterDrain);
    return FindFault(s, world.Run(), world.figures()) == "rule drain";
  };
  ASSERT_TRUE(shows(scenario));
  const Scenario small = Shrunk(scenario, shows, 60);
  EXPECT_TRUE(shows(small));
  ASSERT_EQ(small.faults.size(), 1U) << ToToml(small);
  EXPECT_EQ(small.faults[0].kind, FaultKind::kReplace);
  EXPECT_LT(small.sidecars, scenario.sidecars);
  EXPECT_EQ(small.classes.size(), 1U);
}

// ---- The program ----

class Folder {
 public:
  Folder() {
    std::string pattern = (fs::temp_directory_path() / "lab.XXXXXX").string();
    if (::mkdtemp(pattern.data()) != nullptr) path_ = pattern;
  }
  ~Folder() { fs::remove_all(path_); }
  std::string File(const std::string& name) const { return path_ + '/' + name; }

 private:
  std::string path_;
};

pid_t StartLab(const std::vector<std::string>& arguments, const std::string& out) {
  std::vector<std::string> command = {MOTHRACK_SIM_PROGRAM};
  command.insert(command.end(), arguments.begin(), arguments.end());
  const pid_t pid = ::fork();
  if (pid != 0) return pid;
  std::vector<char*> argv;
  for (std::string& word : command) argv.push_back(word.data());
  argv.push_back(nullptr);
  if (std::freopen(out.c_str(), "w", stdout) == nullptr || std::freopen(out.c_str(), "a", stderr) == nullptr)
    ::_exit(126);
  ::execv(argv[0], argv.data());
  ::_exit(127);
}

int CodeOf(pid_t pid) {
  int status = 0;
  ::waitpid(pid, &status, 0);
  return WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
}

std::string ReadAll(const std::string& path) {
  std::ostringstream text;
  text << std::ifstream(path).rdbuf();
  return text.str();
}

std::vector<std::string> SweepOf(const std::string& db) {
  return {"sweep",   PathOf("calm"),
          "--set",   "length_s=6",
          "--set",   "fleet.sidecars=8",
          "--vary",  "load.use=0.3,0.6",
          "--seeds", "1..12",
          "--jobs",  "2",
          "--db",    db};
}

TEST(Program, ASweepKilledHalfwayGoesOnToTheSameTable) {
  Folder folder;
  ASSERT_EQ(CodeOf(StartLab(SweepOf(folder.File("whole")), folder.File("whole.out"))), 0);
  const pid_t pid = StartLab(SweepOf(folder.File("cut")), folder.File("cut.out"));
  ASSERT_TRUE(testing::Eventually([&] {
    try {
      return fs::exists(folder.File("cut")) && Results(folder.File("cut")).Of("now").size() >= 3;
    } catch (const std::exception&) {
      return false;
    }
  }));
  ::kill(pid, SIGKILL);
  CodeOf(pid);
  ASSERT_EQ(CodeOf(StartLab(SweepOf(folder.File("cut")), folder.File("cut.out"))), 0);
  const std::string cut = ReadAll(folder.File("cut.out"));
  EXPECT_NE(cut.find("runs are there already"), std::string::npos) << cut;
  EXPECT_EQ(Results(folder.File("cut")).Of("now"), Results(folder.File("whole")).Of("now"));
  EXPECT_EQ(Results(folder.File("whole")).Of("now").size(), 24U);
}

TEST(Program, ComparesTheSameSeedsAndDrawsAPage) {
  Folder folder;
  const std::string db = folder.File("db");
  for (const char* label : {"a", "b"}) {
    const std::string copies = std::string("allow.second_copies=") + (*label == 'a' ? "true" : "false");
    // Other settings make another hash, so the pair is made by hand: the label differs, the key does not.
    Scenario scenario = LoadScenario(PathOf("calm"), {"length_s=6", "fleet.sidecars=8"});
    const RunKey key{label, scenario.name, HashOf(scenario), 1};
    Results results(db);
    for (std::uint64_t seed = 1; seed <= 4; ++seed) {
      Scenario played = LoadScenario(PathOf("calm"), {"length_s=6", "fleet.sidecars=8", copies});
      SimulationRun world(played, seed);
      const Outcome outcome = world.Run();
      RunKey of_seed = key;
      of_seed.seed = seed;
      results.Keep(of_seed, "x", "y", ToJson(played, seed, outcome, world.figures(), false));
    }
  }
  ASSERT_EQ(CodeOf(StartLab({"compare", "a", "b", "--db", db, "--report", folder.File("page.html")},
                            folder.File("out"))),
            0);
  EXPECT_NE(ReadAll(folder.File("out")).find("attempts_a_try"), std::string::npos);
  EXPECT_NE(ReadAll(folder.File("page.html")).find("<svg"), std::string::npos);
  EXPECT_EQ(CodeOf(StartLab({"compare", "a", "nobody", "--db", db}, folder.File("out"))), 1);
}

TEST(Program, TellsWhatDidNotHoldByItsExitCodeAndReplays) {
  Folder folder;
  const std::string out = folder.File("out");
  const std::vector<std::string> small = {"--set", "length_s=8", "--set", "fleet.sidecars=8"};
  auto with = [&](std::vector<std::string> words) {
    words.insert(words.end(), small.begin(), small.end());
    return words;
  };
  ASSERT_EQ(CodeOf(StartLab(with({"run", PathOf("calm"), "--report", folder.File("page.html")}), out)), 0)
      << ReadAll(out);
  const std::string text = ReadAll(out);
  const auto at = text.find("digest ") + 7;
  const std::string digest = text.substr(at, 16);
  EXPECT_EQ(CodeOf(StartLab(with({"run", PathOf("calm"), "--expect", digest}), out)), 0) << ReadAll(out);
  EXPECT_EQ(CodeOf(StartLab(with({"run", PathOf("calm"), "--expect", digest, "--seed", "2"}), out)), 2);
  EXPECT_EQ(CodeOf(StartLab(with({"run", PathOf("calm"), "--plant", "resend"}), out)), 2);
  EXPECT_NE(ReadAll(out).find("not held: rule twice"), std::string::npos);
  EXPECT_EQ(CodeOf(StartLab({"run", PathOf("calm"), "--set", "fleet.sidecars=none"}, out)), 1);
  const std::string page = ReadAll(folder.File("page.html"));
  for (const char* part : {"<figcaption>Room", "<table>", "held: the four rules"})
    EXPECT_NE(page.find(part), std::string::npos) << part;
  EXPECT_EQ(page.find("http://"), std::string::npos) << "a page fetches nothing";
}

// ---- Load ----

// A server that stalls for half a second: of requests due every 5 ms, some hundred waited for it. A client
// that sends the next one only when the last is answered sees one slow answer.
TEST(Load, TellsAStallAsAllThatWaitedForIt) {
  std::atomic<bool> stalled{false};
  const auto begin = std::chrono::steady_clock::now();
  testing::Upstream server([&](testing::Wire& wire, const testing::Request&, int) {
    const auto passed = std::chrono::steady_clock::now() - begin;
    if (passed > std::chrono::milliseconds(300) && !stalled.exchange(true)) {
      std::this_thread::sleep_for(std::chrono::milliseconds(500));
    }
    wire.Answer(200, "fine");
  });
  LoadConfig order;
  order.port = static_cast<std::uint16_t>(std::stoi(server.address().substr(server.address().find(':') + 1)));
  order.rate = 200;
  order.length_s = 1.5;
  order.connections = 1;
  const LoadResult result = Load(order);
  EXPECT_EQ(result.due, 300U);
  EXPECT_EQ(result.served + result.refused + result.failed, result.due);
  EXPECT_EQ(result.served, 300U);
  EXPECT_GT(Quantile(result.from_due, 0.9), 150) << "a tenth waited for the stall";
  EXPECT_LT(Quantile(result.from_sent, 0.9), 50) << "and a client that forgets what was due does not see it";
}

TEST(Load, GoesToLoopbackOnlyAndCountsWhatNobodyAnswers) {
  LoadConfig order;
  order.host = "192.0.2.1";
  EXPECT_THROW(Load(order), std::invalid_argument);
  const testing::Refusing nobody;
  order.host = "127.0.0.1";
  order.port = static_cast<std::uint16_t>(std::stoi(nobody.address().substr(nobody.address().find(':') + 1)));
  order.rate = 100;
  order.length_s = 0.2;
  const LoadResult result = Load(order);
  EXPECT_EQ(result.failed, 20U);
}

}  // namespace
}  // namespace mothrack::simulation
