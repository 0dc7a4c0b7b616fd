// All parts together: in histories with faults drawn from a seed, at every crash point, and with faults
// injected into the model that the rules must find.
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
      {"old copies", &testing::History::stale_files},
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

// Every place of a run without other faults where a machine may crash: before a write, in the middle of it,
// between it and the write of its position, before its messages leave; and around each write of an agent's.
// It comes back as it was, or with the copy of two writes before.
TEST(FreezeCrashPoints, NoneBreaksARule) {
  const int stride = static_cast<int>(std::max<std::uint64_t>(1, FromEnv("CRASH_STRIDE", kCrashStride)));
  for (const int voters : {3, 5}) {
    const int crash_points = testing::RunHistory(7, voters, testing::Script{}).crash_points;
    ASSERT_GE(crash_points, 100);
    for (const bool stale_file : {false, true}) {
      for (int point = 0; point < crash_points; point += stride) {
        const testing::History history = testing::RunHistory(7, voters, {point, -1, stale_file});
        ASSERT_EQ(history.violation, "")
            << voters << " voters, point " << point << (stale_file ? ", old copy" : "");
        ASSERT_EQ(history.crashes, 1);
      }
    }
  }
}

// Two crashes: every seventeenth pair, under the sanitizers every 170th; CRASH_PAIRS=1 plays them all.
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

// A test a fault, so that they run side by side.
class FreezeInjectedFault : public ::testing::TestWithParam<int> {};

TEST_P(FreezeInjectedFault, IsFoundByTheHistories) {
  std::string found;
  std::uint64_t seed = 0;
  while (found.empty() && seed < 2000)
    found = testing::RunHistory(++seed, 3, static_cast<testing::InjectedFault>(GetParam())).violation;
  EXPECT_NE(found, "");
  std::cout << "seed " << seed << ": " << found.substr(0, 70) << std::endl;
}

INSTANTIATE_TEST_SUITE_P(Faults, FreezeInjectedFault,
                         ::testing::Range(1, static_cast<int>(testing::InjectedFault::kLast)));

}  // namespace
}  // namespace mothrack::change_freeze
