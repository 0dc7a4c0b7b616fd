// Smooth weighted round robin: turns and ranks of candidates.
#include "balancer/round_robin.h"

#include <string>

#include "gtest/gtest.h"

namespace mothrack::balancer {
namespace {

TEST(SmoothWeightedRoundRobin, TurnsFollowTheWeightsWithoutBunches) {
  SmoothWeightedRoundRobin round_robin;
  RotationRecord records[3];
  const double weights[] = {5, 1, 1};
  std::string turns;
  for (int i = 0; i < 7; ++i) {
    round_robin.Clear();
    for (std::size_t u = 0; u < 3; ++u) round_robin.Add({&records[u], u, weights[u]});
    turns += "abc"[*round_robin.Choose(false)];
  }
  EXPECT_EQ(turns, "aabacaa");  // as nginx has it for these weights
}

TEST(SmoothWeightedRoundRobin, TheBestStandingIsChosenWhateverTheTurn) {
  struct Case {
    Candidate first, second;
    int chosen;  // of the two; -1: none
    bool only_untried_healthy;
  };
  const Candidate good{nullptr, 0, 1}, crowded{nullptr, 0, 1, 9};
  const Candidate suspect{nullptr, 0, 1, 0, false, true}, tried{nullptr, 0, 1, 0, true};
  const Candidate connects{nullptr, 0, 1, 0, false, false, true};
  for (const Case& c :
       {Case{crowded, good, 1, false}, Case{suspect, crowded, 1, false}, Case{tried, suspect, 1, false},
        Case{connects, good, 1, false}, Case{suspect, tried, -1, true}}) {
    SmoothWeightedRoundRobin round_robin;
    RotationRecord records[2] = {{100}, {0}};
    Candidate first = c.first, second = c.second;
    first.record = &records[0];
    second.record = &records[1];
    second.index = 1;
    round_robin.Clear();
    round_robin.Add(first);
    round_robin.Add(second);
    const auto chosen = round_robin.Choose(c.only_untried_healthy);
    EXPECT_EQ(chosen ? static_cast<int>(*chosen) : -1, c.chosen);
  }
}

}  // namespace
}  // namespace mothrack::balancer
