// All parts of a rollout together: in histories drawn from seeds, and with a crash at each point of a script.
#include <algorithm>
#include <cstdint>
#include <cstdlib>
#include <iostream>
#include <map>
#include <string>

#include "gtest/gtest.h"
#include "rollout/change.h"
#include "rollout/fleet_history.h"

namespace mothrack::rollout {
namespace {

std::uint64_t EnvironmentNumber(const char* name, std::uint64_t fallback) {
  const char* text = std::getenv(name);
  return text == nullptr ? fallback : std::strtoull(text, nullptr, 10);
}

// The environment variable HISTORIES sets the number of histories, and HISTORIES_FROM the first seed (default
// 1). The sums show that all kinds of faults and ends occur.
TEST(Histories, KeepTheInvariantsAndTerminate) {
  const std::uint64_t count = EnvironmentNumber("HISTORIES", 1000);
  const std::uint64_t begin = EnvironmentNumber("HISTORIES_FROM", 1);
  testing::History sums;
  std::map<std::string, int> ends;
  for (std::uint64_t seed = begin; seed < begin + count; ++seed) {
    const testing::History history = testing::RunHistory(seed);
    ASSERT_EQ(history.violation, "") << "seed " << seed;
    ++ends[history.end];
    sums.agent_crashes += history.agent_crashes;
    sums.tool_crashes += history.tool_crashes;
    sums.rejected_claims += history.rejected_claims;
    sums.fenced += history.fenced;
    sums.rolled_back += history.rolled_back;
    sums.aborted += history.aborted;
    sums.saves_failed += history.saves_failed;
  }
  std::cout << "agent crashes " << sums.agent_crashes << ", tool crashes " << sums.tool_crashes
            << ", claims rejected " << sums.rejected_claims << ", commands fenced " << sums.fenced
            << ", changes rolled back " << sums.rolled_back << ", aborted " << sums.aborted
            << ", saves failed " << sums.saves_failed;
  for (const auto& [end, times] : ends) std::cout << ", " << (end.empty() ? "none" : end) << ' ' << times;
  std::cout << std::endl;
  for (const int reached :
       {sums.aborted, sums.agent_crashes, sums.tool_crashes, sums.rejected_claims, sums.fenced,
        sums.rolled_back, sums.saves_failed, ends["completed"], ends["rolled back"]}) {
    EXPECT_GT(reached, 0);
  }
}

constexpr std::uint64_t kScriptSeed = 7;

// Crashes an agent before and after every durable write and every action of a change, one per run. The first
// operator's tool continues if it can, and a second one finishes what it leaves.
TEST(CrashPoints, AgentCrashAtAnyPointLeavesAKnownState) {
  const testing::History no_crash = testing::RunHistory(kScriptSeed, testing::Script{});
  ASSERT_EQ(no_crash.violation, "");
  ASSERT_EQ(no_crash.end, "completed");
  // Crash points lie before and after each event: eight instances are accepted, stopped, started and done;
  // four agents are claimed, opened and closed.
  ASSERT_GE(no_crash.crash_points, 2 * (8 * 4 + 4 * 3));
  std::map<std::string, int> ends;
  for (const Change::Direction second_direction : {Change::Direction::kForward, Change::Direction::kUndo}) {
    for (int point = 0; point < no_crash.crash_points; ++point) {
      const testing::History history = testing::RunHistory(kScriptSeed, {{point}, -1, second_direction});
      ASSERT_EQ(history.violation, "") << "point " << point;
      ASSERT_EQ(history.agent_crashes, 1) << "point " << point;
      EXPECT_EQ(history.repeated_starts, 0) << "point " << point;
      ++ends[history.end];
    }
  }
  EXPECT_GT(ends["completed"], 0);
  EXPECT_GT(ends["rolled back"], 0);
}

// Crashes at two points per run. By default every eleventh pair runs; CRASH_PAIRS=1 runs all pairs.
TEST(CrashPoints, TwoAgentCrashesLeaveAKnownState) {
  const int stride = std::max(1, static_cast<int>(EnvironmentNumber("CRASH_PAIRS", 11)));
  const int points = testing::RunHistory(kScriptSeed, testing::Script{}).crash_points;
  int pair = 0;
  int both_crashed = 0;
  for (int first = 0; first < points; ++first) {
    for (int second = first + 1; second < points + 8; ++second) {
      if (++pair % stride != 0) continue;
      const Change::Direction second_direction =
          pair % 2 == 0 ? Change::Direction::kForward : Change::Direction::kUndo;
      const testing::History history =
          testing::RunHistory(kScriptSeed, {{first, second}, -1, second_direction});
      ASSERT_EQ(history.violation, "") << "points " << first << " and " << second;
      if (history.agent_crashes == 2) ++both_crashed;
    }
  }
  EXPECT_GT(both_crashed, pair / stride / 2);
}

TEST(CrashPoints, AnotherToolFinishesTheChangeAfterACrashAtAnyCommand) {
  const testing::History no_crash = testing::RunHistory(kScriptSeed, testing::Script{});
  ASSERT_GT(no_crash.commands, 40);
  std::map<std::string, int> ends;
  for (int command = 0; command < no_crash.commands; ++command) {
    const Change::Direction second_direction =
        command % 2 == 0 ? Change::Direction::kForward : Change::Direction::kUndo;
    const testing::History history = testing::RunHistory(kScriptSeed, {{}, command, second_direction});
    ASSERT_EQ(history.violation, "") << "command " << command;
    ASSERT_EQ(history.tool_crashes, 1) << "command " << command;
    EXPECT_EQ(history.repeated_starts, 0) << "command " << command;
    ++ends[history.end];
  }
  EXPECT_GT(ends["completed"], 0);
  EXPECT_GT(ends["rolled back"], 0);
}

}  // namespace
}  // namespace mothrack::rollout
