// Histories of the dispatcher, each drawn from a seed, keep its rules.
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

std::uint64_t FromEnv(const char* name, std::uint64_t otherwise) {
  const char* set = std::getenv(name);
  return set == nullptr ? otherwise : std::strtoull(set, nullptr, 10);
}

// Under the sanitizers fewer, to stay within a minute beside the other tests; HISTORIES=10000 there plays
// them all.
#ifdef __SANITIZE_ADDRESS__
constexpr std::uint64_t kHistories = 2000;
#else
constexpr std::uint64_t kHistories = 10'000;
#endif

// HISTORIES sets how many, HISTORIES_FROM the first seed (1).
std::map<std::string_view, int> CheckRule(Rule rule) {
  const std::uint64_t count = FromEnv("HISTORIES", kHistories);
  const std::uint64_t begin = FromEnv("HISTORIES_FROM", 1);
  std::map<std::string_view, int> seen;
  for (std::uint64_t seed = begin; seed < begin + count; ++seed) {
    DispatchHistory history(seed);
    if (const auto& broken = history.Run(); broken.contains(rule)) {
      ADD_FAILURE() << "seed " << seed << ", " << broken.at(rule);
      break;
    }
    for (const auto& [what, times] : history.seen()) seen[what] += times;
  }
  return seen;
}

TEST(DispatcherHistories, KeepTheRules) {
  auto seen = CheckRule(Rule::kAll);
  if (HasFailure()) return;
  // Each crossing that they are for has to be met.
  for (const char* what : {"abandoned",
                           "answer started",
                           "answer started after its request's end",
                           "answer streamed",
                           "attempt ended after its request",
                           "banned",
                           "body whole",
                           "body whole after the end",
                           "body whole, sent on",
                           "client left",
                           "client left in its answer",
                           "client left, unsent",
                           "ended within Cancel",
                           "ended within Send",
                           "failed",
                           "front acts within a Final",
                           "keyed request sent again",
                           "late",
                           "list asked for",
                           "refused",
                           "sent again",
                           "served",
                           "stream broke",
                           "taken only once"}) {
    EXPECT_GT(seen[what], 0) << what;
  }
  for (const auto& [what, times] : seen) std::cout << what << ' ' << times << ", ";
  std::cout << std::endl;
}

TEST(DispatcherHistories, EachAttemptEndsOnce) { CheckRule(Rule::kAttemptEnds); }

TEST(DispatcherHistories, FinalsStateWhetherTheirDeadlinePassed) { CheckRule(Rule::kTime); }

TEST(DispatcherHistories, KeysStayWithUpstreamsThatDeduplicateThem) { CheckRule(Rule::kKeyScope); }

}  // namespace
}  // namespace mothrack::testing
