// UpstreamSet: updates of the endpoint list, and the order of the upstreams.
#include "balancer/upstream_set.h"

#include <optional>
#include <set>
#include <string>

#include "gtest/gtest.h"

namespace mothrack::balancer {
namespace {

UpstreamInfo Info(const char* id, std::optional<TimePoint> started = {}) {
  UpstreamInfo info;
  info.id.value = id;
  info.started = started;
  return info;
}

TEST(UpstreamSet, ANewStartTimeIsANewProcessAndAFullListRemovesTheMissing) {
  UpstreamSet set(0);
  set.BeginUpdate(true);
  const UpstreamPtr a = set.Update(Info("a")).upstream;
  set.Update(Info("b"));
  set.FinishUpdate();
  EXPECT_EQ(set.ServingWeight(), 2);

  set.BeginUpdate(true);
  const auto same = set.Update(Info("a"));
  EXPECT_FALSE(same.new_process || same.enters);
  const auto restarted = set.Update(Info("a", TimePoint{std::chrono::seconds(5)}));
  EXPECT_TRUE(restarted.new_process && restarted.enters);
  set.FinishUpdate();
  EXPECT_EQ(a->info.state, UpstreamState::kGone);
  EXPECT_EQ(set.Find(UpstreamId{"a"}), restarted.upstream);
  EXPECT_EQ(set.Find(UpstreamId{"b"}), nullptr);
}

TEST(UpstreamSet, SidecarsRankIndependently) {
  std::set<std::string> first;
  for (std::uint64_t seed = 0; seed < 20; ++seed) {
    UpstreamSet set(seed);
    set.BeginUpdate(true);
    for (const char* id : {"a", "b", "c"}) set.Update(Info(id));
    set.FinishUpdate();
    first.insert(set.ranked()[0]->info.id.value);
  }
  EXPECT_EQ(first.size(), 3);
}

}  // namespace
}  // namespace mothrack::balancer
