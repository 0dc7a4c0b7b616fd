// All parts of the change freeze together: in histories with faults drawn from a seed, with a crash at every
// crash point, and with injected faults that the rules must detect.
#include <gtest/gtest.h>

#include <algorithm>
#include <cstdint>
#include <cstdlib>
#include <iostream>
#include <string>
#include <utility>
#include <vector>

#include "change_freeze/freeze_model.h"

namespace mothrack::change_freeze {
namespace {

std::uint64_t EnvironmentNumber(const char* name, std::uint64_t fallback) {
  const char* text = std::getenv(name);
  return text == nullptr ? fallback : std::strtoull(text, nullptr, 10);
}

// The sanitizer build runs fewer histories, to stay within a minute next to the other tests. HISTORIES=1000
// and CRASH_STRIDE=1 run all of them there.
#ifdef __SANITIZE_ADDRESS__
constexpr std::uint64_t kDefaultHistories = 100;
constexpr std::uint64_t kCrashStride = 10;
constexpr std::uint64_t kPairStride = 170;
#else
constexpr std::uint64_t kDefaultHistories = 1000;
constexpr std::uint64_t kCrashStride = 1;
constexpr std::uint64_t kPairStride = 17;
#endif

// The environment variable HISTORIES sets the number of histories, and HISTORIES_FROM the first seed (default
// 1). Even seeds have five voters, odd ones three.
TEST(FreezeHistories, KeepTheRules) {
  const std::uint64_t count = EnvironmentNumber("HISTORIES", kDefaultHistories);
  const std::uint64_t begin = EnvironmentNumber("HISTORIES_FROM", 1);
  testing::History sums;
  using Counter = int testing::History::*;
  const std::vector<std::pair<const char*, Counter>> counters = {
      {"elections", &testing::History::elections},
      {"crashes", &testing::History::crashes},
      {"torn writes", &testing::History::torn_writes},
      {"saves failed", &testing::History::saves_failed},
      {"stale files", &testing::History::stale_files},
      {"rejoins", &testing::History::rejoins},
      {"pauses", &testing::History::pauses},
      {"leaders paused", &testing::History::leaders_paused},
      {"freezes", &testing::History::freezes},
      {"permits paused", &testing::History::permits_paused},
      {"permits blocked", &testing::History::permits_blocked},
      {"late confirmations", &testing::History::late_confirmations},
      {"break-glass overrides", &testing::History::break_glass}};
  for (std::uint64_t seed = begin; seed < begin + count; ++seed) {
    const testing::History history = testing::RunHistory(seed, seed % 2 == 0 ? 5 : 3);
    ASSERT_EQ(history.violation, "") << "seed " << seed;
    for (const auto& [name, counter] : counters) sums.*counter += history.*counter;
  }
  for (const auto& [name, counter] : counters) {
    std::cout << name << ' ' << sums.*counter << ", ";
    EXPECT_GT(sums.*counter, 0) << name;
  }
  std::cout << count << " histories" << std::endl;
}

// Crashes a machine at every crash point of a run without other faults: before a write, in the middle of it,
// between it and the write of its position, before its messages are sent, and before and after each write of
// an agent's permits. The machine restarts with its latest file, or with the copy from two writes before.
TEST(FreezeCrashPoints, SingleCrashBreaksNoRule) {
  const int stride =
      static_cast<int>(std::max<std::uint64_t>(1, EnvironmentNumber("CRASH_STRIDE", kCrashStride)));
  for (const int voters : {3, 5}) {
    const int crash_points = testing::RunHistory(7, voters, testing::Script{}).crash_points;
    ASSERT_GE(crash_points, 100);
    for (const bool stale_file : {false, true}) {
      for (int point = 0; point < crash_points; point += stride) {
        const testing::History history = testing::RunHistory(7, voters, {point, -1, stale_file});
        ASSERT_EQ(history.violation, "")
            << voters << " voters, point " << point << (stale_file ? ", stale file" : "");
        ASSERT_EQ(history.crashes, 1);
      }
    }
  }
}

// Crashes at two points per run. By default every seventeenth pair runs, in the sanitizer build every 170th;
// CRASH_PAIRS=1 runs all pairs.
TEST(FreezeCrashPoints, TwoCrashesBreakNoRule) {
  const int stride =
      static_cast<int>(std::max<std::uint64_t>(1, EnvironmentNumber("CRASH_PAIRS", kPairStride)));
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

// One test per fault, so that they can run in parallel.
class FreezeInjectedFault : public ::testing::TestWithParam<int> {};

TEST_P(FreezeInjectedFault, IsDetectedByTheRules) {
  std::string violation;
  std::uint64_t seed = 0;
  while (violation.empty() && seed < 2000)
    violation = testing::RunHistory(++seed, 3, static_cast<testing::InjectedFault>(GetParam())).violation;
  EXPECT_NE(violation, "");
  std::cout << "seed " << seed << ": " << violation.substr(0, 70) << std::endl;
}

INSTANTIATE_TEST_SUITE_P(Faults, FreezeInjectedFault,
                         ::testing::Range(1, static_cast<int>(testing::InjectedFault::kLast)));

}  // namespace
}  // namespace mothrack::change_freeze
