// Plays random histories of the dispatcher, each drawn from a seed, and checks its rules in each.
#include <cstdint>
#include <cstdlib>
#include <iostream>
#include <map>
#include <string>
#include <string_view>

#include "dispatch/dispatch_history.h"
#include "gtest/gtest.h"

namespace mothrack::testing {
namespace {

std::uint64_t ReadEnvironment(const char* name, std::uint64_t default_value) {
  const char* value = std::getenv(name);
  return value == nullptr ? default_value : std::strtoull(value, nullptr, 10);
}

// The default number of histories. Fewer under the sanitizers, to stay within a minute while other tests run;
// HISTORIES=10000 plays them all there.
#ifdef __SANITIZE_ADDRESS__
constexpr std::uint64_t kHistories = 2000;
#else
constexpr std::uint64_t kHistories = 10'000;
#endif

// Plays the histories and fails at the first that violates `rule`. Returns how often each situation occurred.
// The environment variables HISTORIES and HISTORIES_FROM set the number of histories and the first seed (1).
std::map<std::string_view, int> CheckRule(Rule rule) {
  const std::uint64_t count = ReadEnvironment("HISTORIES", kHistories);
  const std::uint64_t begin = ReadEnvironment("HISTORIES_FROM", 1);
  std::map<std::string_view, int> situations;
  for (std::uint64_t seed = begin; seed < begin + count; ++seed) {
    DispatchHistory history(seed);
    if (const auto& violations = history.Run(); violations.contains(rule)) {
      ADD_FAILURE() << "seed " << seed << ", " << violations.at(rule);
      break;
    }
    for (const auto& [situation, times] : history.situations()) situations[situation] += times;
  }
  return situations;
}

TEST(DispatcherHistories, KeepTheRules) {
  auto situations = CheckRule(Rule::kGeneral);
  if (HasFailure()) return;
  // The histories must contain each of these situations, or they check less than they are meant to.
  for (const char* situation : {"abandoned",
                                "answer started",
                                "answer started after the request ended",
                                "answer streamed",
                                "attempt ended after the request",
                                "banned",
                                "body complete",
                                "body complete after the end",
                                "body complete, already sent",
                                "client disconnected",
                                "client disconnected during its answer",
                                "client disconnected, nothing sent",
                                "ended within Cancel",
                                "ended within Send",
                                "failed",
                                "front end acts within on_final",
                                "keyed request sent again",
                                "late",
                                "list subscribed",
                                "rejected",
                                "sent again",
                                "served",
                                "answer broken off",
                                "duplicate"}) {
    EXPECT_GT(situations[situation], 0) << situation;
  }
  for (const auto& [situation, times] : situations) std::cout << situation << ' ' << times << ", ";
  std::cout << std::endl;
}

TEST(DispatcherHistories, EachAttemptEndsOnce) { CheckRule(Rule::kAttemptEnds); }

TEST(DispatcherHistories, FinalsStateWhetherTheirDeadlinePassed) { CheckRule(Rule::kLateMark); }

TEST(DispatcherHistories, KeysStayWithUpstreamsThatDeduplicateThem) { CheckRule(Rule::kKeyScope); }

}  // namespace
}  // namespace mothrack::testing
