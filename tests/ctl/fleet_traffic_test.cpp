// Forty real sidecars under four agents in two halls, with light traffic through all of them, while the fleet
// is changed and agents or the tool are killed. FLEET_RUNS sets how many runs, FLEET_SEED the first seed.
#include <signal.h>

#include <chrono>
#include <cstdlib>
#include <iostream>
#include <random>
#include <string>
#include <thread>

#include "gtest/gtest.h"
#include "standins/fleet.h"
#include "standins/peers.h"
#include "standins/traffic.h"

namespace mothrack::testing {
namespace {

using std::chrono::milliseconds;

constexpr int kAgents = 4;
constexpr int kInstances = 10;

int Set(const char* name, int otherwise) {
  const char* text = std::getenv(name);
  return text == nullptr ? otherwise : std::atoi(text);
}

// Whoever comes next brings the open change to its end; then all are brought to `generation`.
void Finish(const Fleet& fleet, const std::string& generation, const std::vector<std::string>& apply) {
  EXPECT_TRUE(Eventually([&] {
    const auto resumed = fleet.Ctl({"resume"});
    return resumed.code == 0 || resumed.out.find("no change is open") != std::string::npos;
  }));
  CtlResult rest;
  // Twice: an agent that was killed a moment ago may still be on its way.
  for (int i = 0; i < 2 && !fleet.AllReady(generation); ++i) rest = fleet.Ctl(apply);
  EXPECT_TRUE(fleet.AllReady(generation)) << rest.out << fleet.Ctl({"status"}).out;
}

TEST(FortySidecars, LoseNoRequestWhileTheyAreChangedAndAgentsAreKilled) {
  const int begin = Set("FLEET_SEED", 1);
  const int runs = Set("FLEET_RUNS", 3);
  for (int seed = begin; seed < begin + runs; ++seed) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    std::mt19937 random(static_cast<unsigned>(seed));
    Runs ran;
    Upstream one(ran.Handler());
    Upstream two(ran.Handler());
    Upstream three(ran.Handler());
    const json list =
        List({Target("u1", one.address()), Target("u2", two.address()), Target("u3", three.address())});
    Fleet::Options options{kAgents, kInstances, "", "", false};
    options.upstreams = list;
    options.ports = true;
    Fleet fleet(options);
    ASSERT_TRUE(fleet.AllReady("g1"));
    Traffic traffic(fleet.ports(), milliseconds(40));
    // In turn: another configuration, and a restart with the one that is there.
    const std::string to = seed % 2 == 0 ? "g1" : "g2";
    std::vector<std::string> apply = {"restart"};
    if (to == "g2") apply = {"apply", "g2", "--dir", fleet.Generation("g2")};
    for (const char* word : {"--why", "a test", "--max-unavailable", "5", "--watch-ms", "100"})
      apply.push_back(word);
    const pid_t tool = fleet.StartCtl(apply);
    for (int kills = 0; kills < 4; ++kills) {
      std::this_thread::sleep_for(milliseconds(random() % 2500));
      const int agent = static_cast<int>(random() % kAgents);
      fleet.KillAgent(agent);
      std::this_thread::sleep_for(milliseconds(random() % 1000));
      fleet.StartAgent(agent);
    }
    const bool killed = random() % 3 == 0;
    if (killed) ::kill(tool, SIGKILL);
    const int code = Fleet::WaitCtl(tool).code;
    Finish(fleet, to, apply);
    const auto ends = traffic.Stop();

    using End = Traffic::Outcome;
    const auto runs_of = ran.all();
    EXPECT_EQ(traffic.count(End::kLost), 0U);
    EXPECT_GT(traffic.count(End::kServed), 1000U);
    for (const auto& [id, times] : runs_of) EXPECT_EQ(times, 1) << id << " ran twice";
    for (const auto& [id, end] : ends) {
      const bool has_run = runs_of.contains(id);
      // A failure makes no promise either way.
      if (end != End::kFailed && end != End::kLost) {
        EXPECT_EQ(has_run, end == End::kServed) << id << " ended as " << static_cast<int>(end);
      }
    }
    std::cout << "seed " << seed << ": served " << traffic.count(End::kServed) << ", refused "
              << traffic.count(End::kRefused) << ", failed " << traffic.count(End::kFailed) << ", not taken "
              << traffic.count(End::kNotAccepted) << ", crossed " << traffic.count(End::kIdleCloseRace)
              << ", lost " << traffic.count(End::kLost) << "; tool " << (killed ? "killed" : "ended with ")
              << (killed ? "" : std::to_string(code)) << std::endl;
  }
}

}  // namespace
}  // namespace mothrack::testing
