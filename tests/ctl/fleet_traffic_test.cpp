// Forty real sidecars under four agents in two halls, with light traffic through all of them, while the fleet
// is changed and agents or the tool are killed. FLEET_RUNS sets how many runs, FLEET_SEED the first seed.
#include <signal.h>

#include <chrono>
#include <iostream>
#include <random>
#include <string>

#include "ctl/fleet_test_support.h"
#include "gtest/gtest.h"
#include "standins/fleet.h"
#include "standins/peers.h"
#include "standins/traffic.h"

namespace mothrack::testing {
namespace {

using std::chrono::milliseconds;

constexpr int kAgents = 4;
constexpr int kInstances = 10;

// Another operator finishes the open change; then all instances are brought to `generation`.
void FinishChange(const Fleet& fleet, const std::string& generation, const std::vector<std::string>& apply) {
  EXPECT_TRUE(ResumeUntilNoneIsOpen(fleet));
  CtlResult result;
  // Twice: an agent that was killed a moment ago may still be starting.
  for (int i = 0; i < 2 && !fleet.AllReady(generation); ++i) result = fleet.Ctl(apply);
  EXPECT_TRUE(fleet.AllReady(generation)) << result.out << fleet.Ctl({"status"}).out;
}

TEST(FortySidecars, LoseNoRequestDuringARolloutWithAgentCrashes) {
  const int begin = EnvironmentNumber("FLEET_SEED", 1);
  const int runs = EnvironmentNumber("FLEET_RUNS", 3);
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
    for (const char* argument : {"--why", "a test", "--max-unavailable", "5", "--watch-ms", "100"})
      apply.push_back(argument);
    const pid_t tool = fleet.StartCtl(apply);
    CrashAgents(fleet, random, kAgents, 4);
    const bool killed = random() % 3 == 0;
    if (killed) ::kill(tool, SIGKILL);
    const int code = Fleet::WaitCtl(tool).code;
    FinishChange(fleet, to, apply);
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
