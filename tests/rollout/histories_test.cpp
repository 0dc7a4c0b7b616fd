// All decisions together, in histories drawn from seeds, and with a crash at each point of a script.
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

// HISTORIES sets how many, HISTORIES_FROM the first seed (1). The sums show that all kinds of faults and ends
// are reached.
TEST(Histories, KeepTheInvariantsAndTerminate) {
  const std::uint64_t count = EnvironmentNumber("HISTORIES", 1000);
  const std::uint64_t begin = EnvironmentNumber("HISTORIES_FROM", 1);
  testing::History sums;
  std::map<std::string, int> ends;
  for (std::uint64_t seed = begin; seed < begin + count; ++seed) {
    const testing::History history = testing::Play(seed);
    ASSERT_EQ(history.violation, "") << "seed " << seed;
    ++ends[history.end];
    sums.agent_deaths += history.agent_deaths;
    sums.tool_deaths += history.tool_deaths;
    sums.refused_claims += history.refused_claims;
    sums.fenced += history.fenced;
    sums.undone += history.undone;
    sums.aborted += history.aborted;
    sums.saves_failed += history.saves_failed;
  }
  std::cout << "agents' deaths " << sums.agent_deaths << ", tools' " << sums.tool_deaths
            << ", claims refused " << sums.refused_claims << ", commands fenced " << sums.fenced
            << ", changes undone " << sums.undone << ", aborted " << sums.aborted << ", saves failed "
            << sums.saves_failed;
  for (const auto& [end, times] : ends) std::cout << ", " << (end.empty() ? "none" : end) << ' ' << times;
  std::cout << std::endl;
  for (const int reached :
       {sums.aborted, sums.agent_deaths, sums.tool_deaths, sums.refused_claims, sums.fenced, sums.undone,
        sums.saves_failed, ends["completed"], ends["rolled back"]}) {
    EXPECT_GT(reached, 0);
  }
}

constexpr std::uint64_t kScriptSeed = 7;

// An agent's crash before and after every durable step and every action of a change, one at a time. The first
// operator's tool goes on where it can, and a second one finishes what it leaves.
TEST(CrashPoints, AgentCrashAtAnyPointLeavesAKnownState) {
  const testing::History calm = testing::Play(kScriptSeed, testing::Script{});
  ASSERT_EQ(calm.violation, "");
  ASSERT_EQ(calm.end, "completed");
  // Of eight instances: accepted, stopped, started, done; of four agents: claimed, opened, closed. Each
  // before and after.
  ASSERT_GE(calm.points, 2 * (8 * 4 + 4 * 3));
  std::map<std::string, int> ends;
  for (const Change::Direction then : {Change::Direction::kForward, Change::Direction::kUndo}) {
    for (int point = 0; point < calm.points; ++point) {
      const testing::History history = testing::Play(kScriptSeed, {{point}, -1, then});
      ASSERT_EQ(history.violation, "") << "point " << point;
      ASSERT_EQ(history.agent_deaths, 1) << "point " << point;
      EXPECT_EQ(history.started_again, 0) << "point " << point;
      ++ends[history.end];
    }
  }
  EXPECT_GT(ends["completed"], 0);
  EXPECT_GT(ends["rolled back"], 0);
}

// Two crashes: every eleventh pair here; CRASH_PAIRS=1 plays them all.
TEST(CrashPoints, TwoAgentCrashesLeaveAKnownState) {
  const int stride = std::max(1, static_cast<int>(EnvironmentNumber("CRASH_PAIRS", 11)));
  const int points = testing::Play(kScriptSeed, testing::Script{}).points;
  int pair = 0;
  int both = 0;
  for (int first = 0; first < points; ++first) {
    for (int second = first + 1; second < points + 8; ++second) {
      if (++pair % stride != 0) continue;
      const Change::Direction then = pair % 2 == 0 ? Change::Direction::kForward : Change::Direction::kUndo;
      const testing::History history = testing::Play(kScriptSeed, {{first, second}, -1, then});
      ASSERT_EQ(history.violation, "") << "points " << first << " and " << second;
      if (history.agent_deaths == 2) ++both;
    }
  }
  EXPECT_GT(both, pair / stride / 2);
}

TEST(CrashPoints, AnotherToolFinishesTheChangeAfterACrashAtAnyCommand) {
  const testing::History calm = testing::Play(kScriptSeed, testing::Script{});
  ASSERT_GT(calm.commands, 40);
  std::map<std::string, int> ends;
  for (int command = 0; command < calm.commands; ++command) {
    const Change::Direction then = command % 2 == 0 ? Change::Direction::kForward : Change::Direction::kUndo;
    const testing::History history = testing::Play(kScriptSeed, {{}, command, then});
    ASSERT_EQ(history.violation, "") << "command " << command;
    ASSERT_EQ(history.tool_deaths, 1) << "command " << command;
    EXPECT_EQ(history.started_again, 0) << "command " << command;
    ++ends[history.end];
  }
  EXPECT_GT(ends["completed"], 0);
  EXPECT_GT(ends["rolled back"], 0);
}

}  // namespace
}  // namespace mothrack::rollout
