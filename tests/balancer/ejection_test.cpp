// Ejection of outliers, half-open probes, and rejection while all upstreams are ejected.
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
  for (const Outcome outcome :
       {Outcome::kError, Outcome::kTimeout, Outcome::kConnectFailed, Outcome::kReset}) {
    TestSidecar sidecar;
    sidecar.ListUpstreams(4);
    sidecar.FailInARow("b", 4, outcome);
    EXPECT_FALSE(sidecar.HasLogged("ejected b")) << static_cast<int>(outcome);
    sidecar.FailInARow("b", 1, outcome);
    EXPECT_TRUE(sidecar.HasLogged("ejected b")) << static_cast<int>(outcome);
    EXPECT_EQ(sidecar.CountServed(40)["b"], 0);
  }
}

TEST(Ejection, ASuccessResetsTheFailureCount) {
  TestSidecar sidecar;
  sidecar.ListUpstreams(4);
  sidecar.FailInARow("b", 4);
  sidecar.Advance(2s);
  sidecar.CountServed(40);  // a half-open probe among them
  sidecar.FailInARow("b", 4);
  EXPECT_FALSE(sidecar.HasLogged("ejected"));
}

TEST(Ejection, FullAndCancelledAttemptsLeaveTheFailureCountUnchanged) {
  for (const Outcome outcome : {Outcome::kFull, Outcome::kCancelled, Outcome::kNotSent}) {
    TestSidecar sidecar;
    sidecar.ListUpstreams(4);
    sidecar.FailInARow("b", 4);
    sidecar.FailInARow("b", 3, outcome);
    EXPECT_FALSE(sidecar.HasLogged("ejected"));
    sidecar.FailInARow("b", 1);
    EXPECT_TRUE(sidecar.HasLogged("ejected b"));
  }
}

TEST(Ejection, RepeatedEjectionsDoubleUpToTheMaximumAndABaseTimeWithoutOneResets) {
  TestSidecar sidecar;
  sidecar.ListUpstreams(4);
  const auto eject_and_return = [&sidecar] {
    sidecar.logs.clear();
    sidecar.FailInARow("b", 5);
    EXPECT_FALSE(sidecar.logs.empty());
    const std::string line = sidecar.logs.empty() ? "" : sidecar.logs.front();
    sidecar.Advance(1500ms);
    sidecar.CountServed(5);  // two half-open probes among them
    EXPECT_TRUE(sidecar.HasLogged("returned b"));
    return line;
  };
  EXPECT_NE(eject_and_return().find("ejected b for 60000 ms"), std::string::npos);
  EXPECT_NE(eject_and_return().find("ejected b for 120000 ms"), std::string::npos);
  EXPECT_NE(eject_and_return().find("ejected b for 120000 ms"), std::string::npos);
  sidecar.Advance(61s);
  EXPECT_NE(eject_and_return().find("ejected b for 60000 ms"), std::string::npos);
}

TEST(Ejection, ARestartedProcessHasACleanRecord) {
  TestSidecar sidecar;
  sidecar.ListUpstreams(4);
  sidecar.FailInARow("b", 5);
  ASSERT_TRUE(sidecar.HasLogged("ejected b"));
  UpstreamInfo b = MakeUpstream("b");
  b.started = sidecar.now - 1h;  // started long enough ago to be past slow start
  sidecar.ChangeUpstream(b);
  EXPECT_GT(sidecar.CountServed(40)["b"], 0);
}

// The record of a removed upstream is deleted, so that records do not accumulate; a returning id gets a new
// one.
TEST(Ejection, ARemovedUpstreamReturnsWithACleanRecord) {
  TestSidecar sidecar;
  sidecar.ListUpstreams(4);
  const std::size_t before = sidecar.sent.size();
  sidecar.Arrive(kUnsafe, 100s);
  const SentAttempt in_flight = sidecar.sent[before];
  sidecar.FailInARow(in_flight.upstream, 5);
  ASSERT_TRUE(sidecar.HasLogged("ejected " + in_flight.upstream));
  sidecar.ChangeUpstream(MakeUpstream(in_flight.upstream, UpstreamState::kGone));
  sidecar.ChangeUpstream(MakeUpstream(in_flight.upstream));
  EXPECT_GT(sidecar.CountServed(40)[in_flight.upstream], 0);
  sidecar.EndAttempt(in_flight, Outcome::kServed);  // an attempt at the removed process
  EXPECT_GT(sidecar.CountServed(40)[in_flight.upstream], 0);
}

TEST(FleetWideTimeouts, DoNotEjectHealthyUpstreams) {
  TestSidecar sidecar;
  sidecar.ListUpstreams(6);
  // Half of all requests fail everywhere: five consecutive failures happen by chance.
  std::uint64_t coin = 12345;
  int ejections = 0;
  for (int i = 0; i < 1500; ++i) {
    const std::size_t before = sidecar.sent.size();
    sidecar.Arrive(kUnsafe);
    sidecar.now += 20ms;
    coin = coin * 6364136223846793005u + 1442695040888963407u;
    for (std::size_t k = before; k < sidecar.sent.size(); ++k) {
      sidecar.EndAttempt(sidecar.sent[k], (coin >> 40) % 2 == 0 ? Outcome::kTimeout : Outcome::kServed, true);
    }
  }
  for (const std::string& line : sidecar.logs) ejections += line.find("ejected ") == 0;
  EXPECT_LE(ejections, 3);
}

TEST(EjectedUpstream, IsProbedByHedgesAndReturnsOnceItAnswers) {
  TestSidecar sidecar;
  sidecar.ListUpstreams(4);
  sidecar.FailInARow("b", 5);
  ASSERT_TRUE(sidecar.HasLogged("ejected b"));
  sidecar.Advance(1500ms);
  const std::size_t before = sidecar.sent.size();
  sidecar.Arrive(kSafe);
  ASSERT_EQ(sidecar.sent.size(), before + 2) << "the request and the hedge that is the half-open probe";
  EXPECT_NE(sidecar.sent[before].upstream, "b");
  EXPECT_EQ(sidecar.sent[before + 1].upstream, "b");
  sidecar.now += 10ms;
  sidecar.EndAttempts(before);
  sidecar.Serve();
  EXPECT_TRUE(sidecar.HasLogged("returned b after it served on trial"));
}

TEST(EjectedUpstream, IsNotProbedByUnsafeRequests) {
  TestSidecar sidecar;
  sidecar.ListUpstreams(4);
  sidecar.FailInARow("b", 5);
  sidecar.Advance(1500ms);
  const std::size_t before = sidecar.sent.size();
  sidecar.Arrive(kUnsafe);
  EXPECT_EQ(sidecar.sent.size(), before + 1);
}

TEST(EjectedUpstream, IsProbedLessOftenAfterEachFailure) {
  TestSidecar sidecar;
  sidecar.ListUpstreams(3);
  sidecar.FailInARow("b", 5);
  int probes = 0;
  for (int i = 0; i < 300; ++i) {  // 30 s; probes are due after 1, 2, 4 and 8 s, then every 8 s
    const std::size_t before = sidecar.sent.size();
    sidecar.Arrive(kSafe);
    sidecar.now += 10ms;
    probes += sidecar.EndAttempts(before, "b", Outcome::kTimeout);
    sidecar.Advance(90ms);
  }
  EXPECT_GE(probes, 4);
  EXPECT_LE(probes, 6);
}

TEST(EjectedUpstream, IsUsedAsALastResortRatherThanRejectingAll) {
  TestSidecar sidecar;
  sidecar.ListUpstreams(1);
  sidecar.FailInARow("a", 5);
  ASSERT_TRUE(sidecar.HasLogged("ejected a"));
  sidecar.Advance(1500ms);
  EXPECT_EQ(sidecar.Serve(), "a");
}

TEST(AllEjected, RejectsWithRetryAfterAndLogsIt) {
  TestSidecar sidecar;
  sidecar.ListUpstreams(1);
  sidecar.FailInARow("a", 5);
  const std::size_t rejected_before = sidecar.rejected.size();
  sidecar.Arrive(kUnsafe);
  EXPECT_EQ(sidecar.rejected.size(), rejected_before + 1);
  EXPECT_GT(sidecar.last_retry_after, 0ms);
  EXPECT_TRUE(sidecar.HasLogged("refusing: no upstream can take a call"));
  sidecar.Advance(70s);
  EXPECT_TRUE(sidecar.HasLogged("taking calls again"));
  EXPECT_TRUE(sidecar.HasLogged("returned a after its ejection"));
}

// If all rejected clients got the same Retry-After, they would retry at the same time. The maxima are those
// of different deployments.
TEST(AllEjected, RetryAfterIsJitteredWithinItsSettings) {
  for (const auto max_retry_after : {20ms, 200ms, 1500ms, 2000ms, 20000ms}) {
    Settings settings = DefaultSettings();
    settings.limits.max_retry_after = max_retry_after;
    TestSidecar sidecar(settings);
    sidecar.ListUpstreams(1);
    sidecar.FailInARow("a", 5);
    std::set<Duration> retry_afters;
    for (int i = 0; i < 40; ++i) {
      const std::size_t rejected_before = sidecar.rejected.size();
      sidecar.Arrive(kUnsafe);
      ASSERT_EQ(sidecar.rejected.size(), rejected_before + 1);
      EXPECT_LE(sidecar.last_retry_after, max_retry_after);
      EXPECT_GE(sidecar.last_retry_after, std::min<Duration>(max_retry_after * 3 / 4, 1500ms));
      retry_afters.insert(sidecar.last_retry_after);
    }
    EXPECT_GT(retry_afters.size(), 8U) << max_retry_after / 1ms;
  }
}

}  // namespace
}  // namespace mothrack::balancer::testing
