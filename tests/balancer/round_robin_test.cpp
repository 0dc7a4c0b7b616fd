// Smooth weighted round robin: turns and ranks of candidates.
#include "balancer/round_robin.h"

#include <string>

#include "gtest/gtest.h"

namespace mothrack::balancer {
namespace {

TEST(SmoothWeightedRoundRobin, TurnsFollowTheWeightsWithoutBunching) {
  SmoothWeightedRoundRobin round_robin;
  RotationRecord records[3];
  const double weights[] = {5, 1, 1};
  std::string turns;
  for (int i = 0; i < 7; ++i) {
    round_robin.Clear();
    for (std::size_t index = 0; index < 3; ++index) round_robin.Add({&records[index], index, weights[index]});
    turns += "abc"[*round_robin.Choose(false)];
  }
  EXPECT_EQ(turns, "aabacaa");  // the order that nginx gives for these weights
}

TEST(SmoothWeightedRoundRobin, TheBestRankIsChosenWhateverTheCredit) {
  struct Case {
    Candidate first, second;
    int chosen;  // of the two; -1: none
    bool only_untried_healthy;
  };
  const Candidate good{nullptr, 0, 1}, crowded{nullptr, 0, 1, 9};
  const Candidate suspect{nullptr, 0, 1, 0, false, true}, tried{nullptr, 0, 1, 0, true};
  const Candidate connects{nullptr, 0, 1, 0, false, false, true};
  for (const Case& test :
       {Case{crowded, good, 1, false}, Case{suspect, crowded, 1, false}, Case{tried, suspect, 1, false},
        Case{connects, good, 1, false}, Case{suspect, tried, -1, true}}) {
    SmoothWeightedRoundRobin round_robin;
    RotationRecord records[2] = {{100}, {0}};
    Candidate first = test.first, second = test.second;
    first.record = &records[0];
    second.record = &records[1];
    second.index = 1;
    round_robin.Clear();
    round_robin.Add(first);
    round_robin.Add(second);
    const auto chosen = round_robin.Choose(test.only_untried_healthy);
    EXPECT_EQ(chosen ? static_cast<int>(*chosen) : -1, test.chosen);
  }
}

}  // namespace
}  // namespace mothrack::balancer
