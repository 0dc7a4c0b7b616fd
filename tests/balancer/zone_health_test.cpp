// ZoneHealth: when a zone is unavailable, and when it is probed.
#include "balancer/zone_health.h"

#include "gtest/gtest.h"

namespace mothrack::balancer {
namespace {

using std::chrono::seconds;

constexpr TimePoint kSent{seconds(10)};

ZoneHealth WithUnavailableZone() {
  ZoneHealth health;
  for (const char* id : {"a", "b", "c"}) health.RecordUnanswered("z", UpstreamId{id}, kSent);
  return health;
}

TEST(ZoneHealth, UnavailableOnceSeveralUpstreamsWereUnresponsiveSinceItsLastAnswer) {
  ZoneHealth health;
  health.RecordAnswer("z", kSent + seconds(1));
  for (const char* id : {"a", "b", "c"}) health.RecordUnanswered("z", UpstreamId{id}, kSent);
  EXPECT_FALSE(health.IsUnavailable("z"));  // all attempts were sent before the answer
  for (const char* id : {"a", "a", "b"}) health.RecordUnanswered("z", UpstreamId{id}, kSent + seconds(2));
  EXPECT_FALSE(health.IsUnavailable("z"));
  health.RecordUnanswered("z", UpstreamId{"c"}, kSent + seconds(2));
  EXPECT_TRUE(health.IsUnavailable("z"));
  EXPECT_FALSE(health.IsUnavailable("y"));
}

TEST(ZoneHealth, AnAnswerANewProcessOrLeavingTheListEndsIt) {
  ZoneHealth answered = WithUnavailableZone(), restarted = WithUnavailableZone(),
             unlisted = WithUnavailableZone();
  answered.RecordAnswer("z", kSent);
  EXPECT_FALSE(answered.IsUnavailable("z"));
  restarted.RecordNewProcess("z");
  EXPECT_FALSE(restarted.IsUnavailable("z"));
  unlisted.KeepOnly([](const std::string&) { return false; });
  EXPECT_FALSE(unlisted.IsUnavailable("z"));
}

TEST(ZoneHealth, AnUnavailableZoneIsProbedOneAtATime) {
  ZoneHealth health = WithUnavailableZone();
  EXPECT_TRUE(health.MayProbe("z", kSent));
  health.RecordProbe("z", kSent + seconds(1));
  EXPECT_FALSE(health.MayProbe("z", kSent));
  EXPECT_TRUE(health.MayProbe("z", kSent + seconds(1)));
}

}  // namespace
}  // namespace mothrack::balancer
