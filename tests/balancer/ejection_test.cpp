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
    TestSidecar w;
    w.ListUpstreams(4);
    w.FailInARow("b", 4, o);
    EXPECT_FALSE(w.HasLogged("ejected b")) << static_cast<int>(o);
    w.FailInARow("b", 1, o);
    EXPECT_TRUE(w.HasLogged("ejected b")) << static_cast<int>(o);
    EXPECT_EQ(w.CountServed(40)["b"], 0);
  }
}

TEST(Ejection, ASuccessResetsTheFailureCount) {
  TestSidecar w;
  w.ListUpstreams(4);
  w.FailInARow("b", 4);
  w.Advance(2s);
  w.CountServed(40);  // a half-open probe among them
  w.FailInARow("b", 4);
  EXPECT_FALSE(w.HasLogged("ejected"));
}

TEST(Ejection, FullAndCancelledAttemptsLeaveTheFailureCountUnchanged) {
  for (const Outcome o : {Outcome::kFull, Outcome::kCancelled, Outcome::kNotSent}) {
    TestSidecar w;
    w.ListUpstreams(4);
    w.FailInARow("b", 4);
    w.FailInARow("b", 3, o);
    EXPECT_FALSE(w.HasLogged("ejected"));
    w.FailInARow("b", 1);
    EXPECT_TRUE(w.HasLogged("ejected b"));
  }
}

TEST(Ejection, RepeatedEjectionsDoubleUpToTheMaximumAndABaseTimeWithoutOneResets) {
  TestSidecar w;
  w.ListUpstreams(4);
  const auto eject_and_return = [&w] {
    w.logs.clear();
    w.FailInARow("b", 5);
    EXPECT_FALSE(w.logs.empty());
    const std::string line = w.logs.empty() ? "" : w.logs.front();
    w.Advance(1500ms);
    w.CountServed(5);  // two half-open probes among them
    EXPECT_TRUE(w.HasLogged("returned b"));
    return line;
  };
  EXPECT_NE(eject_and_return().find("ejected b for 60000 ms"), std::string::npos);
  EXPECT_NE(eject_and_return().find("ejected b for 120000 ms"), std::string::npos);
  EXPECT_NE(eject_and_return().find("ejected b for 120000 ms"), std::string::npos);
  w.Advance(61s);
  EXPECT_NE(eject_and_return().find("ejected b for 60000 ms"), std::string::npos);
}

TEST(Ejection, ARestartedProcessHasACleanRecord) {
  TestSidecar w;
  w.ListUpstreams(4);
  w.FailInARow("b", 5);
  ASSERT_TRUE(w.HasLogged("ejected b"));
  UpstreamInfo b = MakeUpstream("b");
  b.started = w.now - 1h;  // unknown to this sidecar, but past slow start
  w.ChangeUpstream(b);
  EXPECT_GT(w.CountServed(40)["b"], 0);
}

// A removed upstream is forgotten, so that records do not accumulate; a returning id inherits nothing.
TEST(Ejection, ARemovedUpstreamReturnsWithACleanRecord) {
  TestSidecar w;
  w.ListUpstreams(4);
  const std::size_t before = w.sent.size();
  w.Arrive(kUnsafe, 100s);
  const SentAttempt in_flight = w.sent[before];
  w.FailInARow(in_flight.upstream, 5);
  ASSERT_TRUE(w.HasLogged("ejected " + in_flight.upstream));
  w.ChangeUpstream(MakeUpstream(in_flight.upstream, UpstreamState::kGone));
  w.ChangeUpstream(MakeUpstream(in_flight.upstream));
  EXPECT_GT(w.CountServed(40)[in_flight.upstream], 0);
  w.EndAttempt(in_flight, Outcome::kServed);  // of the earlier process
  EXPECT_GT(w.CountServed(40)[in_flight.upstream], 0);
}

TEST(FleetWideTimeouts, DoNotEjectHealthyUpstreams) {
  TestSidecar w;
  w.ListUpstreams(6);
  // Half of all requests fail everywhere: five consecutive failures happen by chance.
  std::uint64_t coin = 12345;
  int ejections = 0;
  for (int i = 0; i < 1500; ++i) {
    const std::size_t before = w.sent.size();
    w.Arrive(kUnsafe);
    w.now += 20ms;
    coin = coin * 6364136223846793005u + 1442695040888963407u;
    for (std::size_t k = before; k < w.sent.size(); ++k) {
      w.EndAttempt(w.sent[k], (coin >> 40) % 2 == 0 ? Outcome::kTimeout : Outcome::kServed, true);
    }
  }
  for (const std::string& line : w.logs) ejections += line.find("ejected ") == 0;
  EXPECT_LE(ejections, 3);
}

TEST(EjectedUpstream, IsProbedByHedgesAndReturnsOnceItAnswers) {
  TestSidecar w;
  w.ListUpstreams(4);
  w.FailInARow("b", 5);
  ASSERT_TRUE(w.HasLogged("ejected b"));
  w.Advance(1500ms);
  const std::size_t before = w.sent.size();
  w.Arrive(kSafe);
  ASSERT_EQ(w.sent.size(), before + 2) << "the call and the copy that is the trial";
  EXPECT_NE(w.sent[before].upstream, "b");
  EXPECT_EQ(w.sent[before + 1].upstream, "b");
  w.now += 10ms;
  w.EndAttempts(before);
  w.Serve();
  EXPECT_TRUE(w.HasLogged("returned b after it served on trial"));
}

TEST(EjectedUpstream, IsNotProbedByUnsafeRequests) {
  TestSidecar w;
  w.ListUpstreams(4);
  w.FailInARow("b", 5);
  w.Advance(1500ms);
  const std::size_t before = w.sent.size();
  w.Arrive(kUnsafe);
  EXPECT_EQ(w.sent.size(), before + 1);
}

TEST(EjectedUpstream, IsProbedLessOftenAfterEachFailure) {
  TestSidecar w;
  w.ListUpstreams(3);
  w.FailInARow("b", 5);
  int probes = 0;
  for (int i = 0; i < 300; ++i) {  // 30 s: after 1, 2, 4 and 8 s, then every 8
    const std::size_t before = w.sent.size();
    w.Arrive(kSafe);
    w.now += 10ms;
    probes += w.EndAttempts(before, "b", Outcome::kTimeout);
    w.Advance(90ms);
  }
  EXPECT_GE(probes, 4);
  EXPECT_LE(probes, 6);
}

TEST(EjectedUpstream, IsUsedAsALastResortRatherThanRejectingAll) {
  TestSidecar w;
  w.ListUpstreams(1);
  w.FailInARow("a", 5);
  ASSERT_TRUE(w.HasLogged("ejected a"));
  w.Advance(1500ms);
  EXPECT_EQ(w.Serve(), "a");
}

TEST(AllEjected, RejectsWithRetryAfterAndLogsIt) {
  TestSidecar w;
  w.ListUpstreams(1);
  w.FailInARow("a", 5);
  const std::size_t rejected_before = w.rejected.size();
  w.Arrive(kUnsafe);
  EXPECT_EQ(w.rejected.size(), rejected_before + 1);
  EXPECT_GT(w.last_retry_after, 0ms);
  EXPECT_TRUE(w.HasLogged("refusing: no upstream can take a call"));
  w.Advance(70s);
  EXPECT_TRUE(w.HasLogged("taking calls again"));
  EXPECT_TRUE(w.HasLogged("returned a after its ejection"));
}

// With one value for all, rejected clients would retry together. One site allows 2 s, another deployment 200
// ms.
TEST(AllEjected, RetryAfterIsJitteredWithinItsSettings) {
  for (const auto longest : {20ms, 200ms, 1500ms, 2000ms, 20000ms}) {
    Settings settings = DefaultSettings();
    settings.limits.max_retry_after = longest;
    TestSidecar w(settings);
    w.ListUpstreams(1);
    w.FailInARow("a", 5);
    std::set<Duration> retry_afters;
    for (int i = 0; i < 40; ++i) {
      const std::size_t rejected_before = w.rejected.size();
      w.Arrive(kUnsafe);
      ASSERT_EQ(w.rejected.size(), rejected_before + 1);
      EXPECT_LE(w.last_retry_after, longest);
      EXPECT_GE(w.last_retry_after, std::min<Duration>(longest * 3 / 4, 1500ms));
      retry_afters.insert(w.last_retry_after);
    }
    EXPECT_GT(retry_afters.size(), 8U) << longest / 1ms;
  }
}

}  // namespace
}  // namespace mothrack::balancer::testing
