// The encoding of evidence, and the counts and reports of the observer.
#include <gtest/gtest.h>

#include <cstddef>
#include <random>
#include <string>

#include "zone_failover/evidence_codec.h"
#include "zone_failover/observer.h"
#include "zone_failover/zone_fixtures.h"

namespace mothrack::zone_failover {
namespace {

TEST(ZoneEvidence, MaximumFitsAndDecodesAndMalformedBytesAreRejected) {
  Evidence largest;
  for (ZoneId id = 1; id <= kMaxZones; ++id) {
    ZoneEvidence zone{id,
                      kMaxCount,
                      kMaxCount,
                      kMaxCount,
                      kMaxCount,
                      kMaxCount,
                      kMaxCount,
                      kMaxCount,
                      kMaxCount,
                      kMaxCount,
                      kMaxCount,
                      kMaxCount,
                      {Phase::kRecovering, 15, 255, UINT32_MAX, kMaxCount}};
    largest.zones.push_back(zone);
  }
  const std::string bytes = Encode(largest);
  EXPECT_LE(bytes.size(), kMaxEvidenceBytes);
  EXPECT_EQ(Decode(bytes), largest);
  for (std::size_t size = 0; size < bytes.size(); ++size) EXPECT_FALSE(Decode(bytes.substr(0, size))) << size;
  EXPECT_FALSE(Decode(bytes + '\0'));
  std::mt19937_64 random(1);
  for (int i = 0; i < 200'000; ++i) {
    std::string changed = i % 2 == 0 ? bytes : Encode(*ReportOf({"b0", "b"}, "wsw").evidence);
    for (std::size_t flips = 1 + random() % 3; flips > 0; --flips)
      changed[random() % changed.size()] ^= static_cast<char>(1 << random() % 8);
    // Decode() accepts only results of Encode(): each value has a single encoding.
    const auto decoded = Decode(changed);
    ASSERT_TRUE(!decoded || Encode(*decoded) == changed) << i;
  }
}

TEST(ZoneEvidence, ObserverCountsUnsafeAttemptsOnceAndReportsChangesAtOnce) {
  Observer observer("b");
  observer.SetUpstreams("a", 4, At(0));
  EXPECT_TRUE(observer.NextReport(At(0)));
  const auto end = [&](const char* upstream, std::uint64_t attempt, Outcome outcome, bool final, int now) {
    observer.OnAttemptEnd({"a", upstream, attempt, outcome, Duration(10), true, true, final}, At(now));
  };
  end("u1", 1, Outcome::kNoResponse, false, 100);
  end("u1", 1, Outcome::kNoResponse, true, 110);
  end("u1", 1, Outcome::kNoResponse, true, 120);
  EXPECT_EQ(observer.Snapshot(At(120)).zones.at(0).unanswered, 1);
  EXPECT_FALSE(observer.NextReport(At(200))) << "one unanswered attempt is no verdict";
  end("u1", 2, Outcome::kNoResponse, true, 220);
  EXPECT_EQ(VerdictOf(observer.Snapshot(At(220)).zones.at(0)), Verdict::kNone)
      << "unanswered attempts to a single upstream are no verdict on the zone";
  end("u2", 3, Outcome::kNoResponse, true, 230);
  EXPECT_TRUE(observer.NextReport(At(250))) << "a changed verdict is reported at once";
  end("u3", 4, Outcome::kRejected, true, 260);
  EXPECT_EQ(VerdictOf(observer.Snapshot(At(260)).zones.at(0)), Verdict::kResponsive);
  EXPECT_FALSE(observer.NextReport(At(300))) << "at most one report per kMinReportInterval";
  EXPECT_TRUE(observer.NextReport(At(350)));
  EXPECT_EQ(observer.Snapshot(At(5000)).zones.at(0).unanswered, 0);
}

}  // namespace
}  // namespace mothrack::zone_failover
