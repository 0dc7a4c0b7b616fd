// Forty real sidecars under four agents in two halls, with light traffic through all of them, during a change
// in which agents and mothrackctl are killed. FLEET_RUNS sets the number of runs, FLEET_SEED the first seed.
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

// Resumes the open change as another operator; then brings all instances to `generation`.
void FinishChange(const Fleet& fleet, const std::string& generation, const std::vector<std::string>& apply) {
  EXPECT_TRUE(ResumeUntilNoneIsOpen(fleet));
  CtlResult result;
  // Tries twice, since an agent that has just been killed may still be starting.
  for (int i = 0; i < 2 && !fleet.AllReady(generation); ++i) result = fleet.Ctl(apply);
  EXPECT_TRUE(fleet.AllReady(generation)) << result.out << fleet.Ctl({"status"}).out;
}

TEST(FortySidecars, LoseNoRequestDuringARolloutWithAgentCrashes) {
  const int begin = EnvironmentNumber("FLEET_SEED", 1);
  const int runs = EnvironmentNumber("FLEET_RUNS", 3);
  for (int seed = begin; seed < begin + runs; ++seed) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    std::mt19937 random(static_cast<unsigned>(seed));
    RunCounter runs_by_request;
    Upstream one(runs_by_request.Handler());
    Upstream two(runs_by_request.Handler());
    Upstream three(runs_by_request.Handler());
    const json list =
        List({Target("u1", one.address()), Target("u2", two.address()), Target("u3", three.address())});
    Fleet::Options options{kAgents, kInstances, "", "", false};
    options.upstreams = list;
    options.ports = true;
    Fleet fleet(options);
    ASSERT_TRUE(fleet.AllReady("g1"));
    Traffic traffic(fleet.ports(), milliseconds(40));
    // Odd seeds apply another generation; even seeds restart with the present one.
    const std::string generation = seed % 2 == 0 ? "g1" : "g2";
    std::vector<std::string> apply = {"restart"};
    if (generation == "g2") apply = {"apply", "g2", "--dir", fleet.WriteGeneration("g2")};
    for (const char* argument : {"--why", "a test", "--max-unavailable", "5", "--watch-ms", "100"})
      apply.push_back(argument);
    const pid_t ctl_pid = fleet.StartCtl(apply);
    CrashAgents(fleet, random, kAgents, 4);
    const bool ctl_killed = random() % 3 == 0;
    if (ctl_killed) ::kill(ctl_pid, SIGKILL);
    const int code = Fleet::WaitCtl(ctl_pid).code;
    FinishChange(fleet, generation, apply);
    const auto ends = traffic.Stop();

    using End = Traffic::Outcome;
    const auto runs_of = runs_by_request.all();
    EXPECT_EQ(traffic.count(End::kLost), 0U);
    EXPECT_GT(traffic.count(End::kServed), 1000U);
    for (const auto& [id, times] : runs_of) EXPECT_EQ(times, 1) << id << " ran twice";
    for (const auto& [id, end] : ends) {
      const bool has_run = runs_of.contains(id);
      // A failed request may or may not have run at the upstream.
      if (end != End::kFailed && end != End::kLost) {
        EXPECT_EQ(has_run, end == End::kServed) << id << " ended as " << static_cast<int>(end);
      }
    }
    std::cout << "seed " << seed << ": served " << traffic.count(End::kServed) << ", refused "
              << traffic.count(End::kRefused) << ", failed " << traffic.count(End::kFailed)
              << ", not accepted " << traffic.count(End::kNotAccepted) << ", idle close races "
              << traffic.count(End::kIdleCloseRace) << ", lost " << traffic.count(End::kLost) << "; tool "
              << (ctl_killed ? "killed" : "ended with ") << (ctl_killed ? "" : std::to_string(code))
              << std::endl;
  }
}

}  // namespace
}  // namespace mothrack::testing
