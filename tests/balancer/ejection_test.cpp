// Ejection of outliers, half-open probes, and what happens when all upstreams are ejected.
#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <set>
#include <string>

#include "balancer/helpers.h"

namespace mothrack::balancer::testing {
namespace {

TEST(Ejection, FiveConsecutiveFailuresEject) {
  for (const Outcome o : {Outcome::kError, Outcome::kTimeout, Outcome::kConnectFailed, Outcome::kReset}) {
    World w;
    w.List(4);
    w.FailRun("b", 4, o);
    EXPECT_FALSE(w.Logged("ejected b")) << static_cast<int>(o);
    w.FailRun("b", 1, o);
    EXPECT_TRUE(w.Logged("ejected b")) << static_cast<int>(o);
    EXPECT_EQ(w.Spread(40)["b"], 0);
  }
}

TEST(Ejection, ASuccessResetsTheFailureCount) {
  World w;
  w.List(4);
  w.FailRun("b", 4);
  w.Advance(2s);
  w.Spread(40);  // a half-open probe among them
  w.FailRun("b", 4);
  EXPECT_FALSE(w.Logged("ejected"));
}

TEST(Ejection, FullAndCancelledAttemptsLeaveTheFailureCountUnchanged) {
  for (const Outcome o : {Outcome::kFull, Outcome::kCancelled, Outcome::kNotSent}) {
    World w;
    w.List(4);
    w.FailRun("b", 4);
    w.FailRun("b", 3, o);
    EXPECT_FALSE(w.Logged("ejected"));
    w.FailRun("b", 1);
    EXPECT_TRUE(w.Logged("ejected b"));
  }
}

TEST(Ejection, RepeatedEjectionsDoubleUpToTheMaximumAndABaseTimeWithoutOneResets) {
  World w;
  w.List(4);
  const auto eject_and_return = [&w] {
    w.logs.clear();
    w.FailRun("b", 5);
    EXPECT_FALSE(w.logs.empty());
    const std::string line = w.logs.empty() ? "" : w.logs.front();
    w.Advance(1500ms);
    w.Spread(5);  // two half-open probes among them
    EXPECT_TRUE(w.Logged("returned b"));
    return line;
  };
  EXPECT_NE(eject_and_return().find("ejected b for 60000 ms"), std::string::npos);
  EXPECT_NE(eject_and_return().find("ejected b for 120000 ms"), std::string::npos);
  EXPECT_NE(eject_and_return().find("ejected b for 120000 ms"), std::string::npos);
  w.Advance(61s);
  EXPECT_NE(eject_and_return().find("ejected b for 60000 ms"), std::string::npos);
}

TEST(Ejection, ARestartedProcessHasACleanRecord) {
  World w;
  w.List(4);
  w.FailRun("b", 5);
  ASSERT_TRUE(w.Logged("ejected b"));
  UpstreamInfo b = Up("b");
  b.started = w.now - 1h;  // unknown to this sidecar, but past slow start
  w.Change(b);
  EXPECT_GT(w.Spread(40)["b"], 0);
}

// A removed upstream is forgotten, so that records do not accumulate; a returning id inherits nothing.
TEST(Ejection, ARemovedUpstreamReturnsWithACleanRecord) {
  World w;
  w.List(4);
  const std::size_t before = w.sent.size();
  w.Arrive(kUnsafe, 100s);
  const Sent in_flight = w.sent[before];
  w.FailRun(in_flight.upstream, 5);
  ASSERT_TRUE(w.Logged("ejected " + in_flight.upstream));
  w.Change(Up(in_flight.upstream, UpstreamState::kGone));
  w.Change(Up(in_flight.upstream));
  EXPECT_GT(w.Spread(40)[in_flight.upstream], 0);
  w.Finish(in_flight, Outcome::kServed);  // of the earlier process
  EXPECT_GT(w.Spread(40)[in_flight.upstream], 0);
}

TEST(FleetWideTimeouts, DoNotEjectHealthyUpstreams) {
  World w;
  w.List(6);
  // Half of all requests fail everywhere: five consecutive failures happen by chance.
  std::uint64_t coin = 12345;
  int ejections = 0;
  for (int i = 0; i < 1500; ++i) {
    const std::size_t before = w.sent.size();
    w.Arrive(kUnsafe);
    w.now += 20ms;
    coin = coin * 6364136223846793005u + 1442695040888963407u;
    for (std::size_t k = before; k < w.sent.size(); ++k) {
      w.Finish(w.sent[k], (coin >> 40) % 2 == 0 ? Outcome::kTimeout : Outcome::kServed, true);
    }
  }
  for (const std::string& line : w.logs) ejections += line.find("ejected ") == 0;
  EXPECT_LE(ejections, 3);
}

TEST(EjectedUpstream, IsProbedByHedgesAndReturnsOnceItAnswers) {
  World w;
  w.List(4);
  w.FailRun("b", 5);
  ASSERT_TRUE(w.Logged("ejected b"));
  w.Advance(1500ms);
  const std::size_t before = w.sent.size();
  w.Arrive(kSafe);
  ASSERT_EQ(w.sent.size(), before + 2) << "the call and the copy that is the trial";
  EXPECT_NE(w.sent[before].upstream, "b");
  EXPECT_EQ(w.sent[before + 1].upstream, "b");
  w.now += 10ms;
  w.Answer(before);
  w.Serve();
  EXPECT_TRUE(w.Logged("returned b after it served on trial"));
}

TEST(EjectedUpstream, IsNotProbedByUnsafeRequests) {
  World w;
  w.List(4);
  w.FailRun("b", 5);
  w.Advance(1500ms);
  const std::size_t before = w.sent.size();
  w.Arrive(kUnsafe);
  EXPECT_EQ(w.sent.size(), before + 1);
}

TEST(EjectedUpstream, IsProbedLessOftenAfterEachFailure) {
  World w;
  w.List(3);
  w.FailRun("b", 5);
  int probes = 0;
  for (int i = 0; i < 300; ++i) {  // 30 s: after 1, 2, 4 and 8 s, then every 8
    const std::size_t before = w.sent.size();
    w.Arrive(kSafe);
    w.now += 10ms;
    probes += w.Answer(before, "b", Outcome::kTimeout);
    w.Advance(90ms);
  }
  EXPECT_GE(probes, 4);
  EXPECT_LE(probes, 6);
}

TEST(EjectedUpstream, IsUsedAsALastResortRatherThanRejectingAll) {
  World w;
  w.List(1);
  w.FailRun("a", 5);
  ASSERT_TRUE(w.Logged("ejected a"));
  w.Advance(1500ms);
  EXPECT_EQ(w.Serve(), "a");
}

TEST(AllEjected, RejectsWithRetryAfterAndLogsIt) {
  World w;
  w.List(1);
  w.FailRun("a", 5);
  const std::size_t refused = w.refused.size();
  w.Arrive(kUnsafe);
  EXPECT_EQ(w.refused.size(), refused + 1);
  EXPECT_GT(w.last_retry_after, 0ms);
  EXPECT_TRUE(w.Logged("refusing: no upstream can take a call"));
  w.Advance(70s);
  EXPECT_TRUE(w.Logged("taking calls again"));
  EXPECT_TRUE(w.Logged("returned a after its ejection"));
}

// With one value for all, rejected clients would retry together. One site allows 2 s, another deployment 200
// ms.
TEST(AllEjected, RetryAfterIsJitteredWithinItsSettings) {
  for (const auto longest : {20ms, 200ms, 1500ms, 2000ms, 20000ms}) {
    Settings settings = DefaultSettings();
    settings.limits.max_retry_after = longest;
    World w(settings);
    w.List(1);
    w.FailRun("a", 5);
    std::set<Duration> retry_afters;
    for (int i = 0; i < 40; ++i) {
      const std::size_t refused = w.refused.size();
      w.Arrive(kUnsafe);
      ASSERT_EQ(w.refused.size(), refused + 1);
      EXPECT_LE(w.last_retry_after, longest);
      EXPECT_GE(w.last_retry_after, std::min<Duration>(longest * 3 / 4, 1500ms));
      retry_afters.insert(w.last_retry_after);
    }
    EXPECT_GT(retry_afters.size(), 8U) << longest / 1ms;
  }
}

}  // namespace
}  // namespace mothrack::balancer::testing
