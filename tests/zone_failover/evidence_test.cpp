// Evidence as bytes, and what the observer counts and reports.
#include <gtest/gtest.h>

#include <cstddef>
#include <random>
#include <string>

#include "zone_failover/evidence_codec.h"
#include "zone_failover/observer.h"
#include "zone_failover/zone_fixtures.h"

namespace mothrack::zone_failover {
namespace {

TEST(ZoneEvidence, FitsAndReadsBackAndGarbageIsRefused) {
  Evidence most;
  for (ZoneId id = 1; id <= kMaxZones; ++id) {
    ZoneEvidence z{id,
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
    most.zones.push_back(z);
  }
  const std::string bytes = Encode(most);
  EXPECT_LE(bytes.size(), kMaxEvidenceBytes);
  EXPECT_EQ(Decode(bytes), most);
  for (std::size_t cut = 0; cut < bytes.size(); ++cut) EXPECT_FALSE(Decode(bytes.substr(0, cut))) << cut;
  EXPECT_FALSE(Decode(bytes + '\0'));
  std::mt19937_64 random(1);
  for (int i = 0; i < 200'000; ++i) {
    std::string changed = i % 2 == 0 ? bytes : Encode(*ReportOf({"b0", "b"}, "wsw").evidence);
    for (std::size_t n = 1 + random() % 3; n > 0; --n)
      changed[random() % changed.size()] ^= static_cast<char>(1 << random() % 8);
    // Whatever is taken is what Write gives: there is one way to say a thing.
    const auto read = Decode(changed);
    ASSERT_TRUE(!read || Encode(*read) == changed) << i;
  }
}

TEST(ZoneEvidence, ObserverCountsUnsafeOnceAndReportsWhatChanged) {
  Observer observer("b");
  observer.SetUpstreams("a", 4, At(0));
  EXPECT_TRUE(observer.NextReport(At(0)));
  const auto end = [&](const char* upstream, std::uint64_t id, Outcome outcome, bool final, int at) {
    observer.OnAttemptEnd({"a", upstream, id, outcome, Duration(10), true, true, final}, At(at));
  };
  end("u1", 1, Outcome::kNoResponse, false, 100);
  end("u1", 1, Outcome::kNoResponse, true, 110);
  end("u1", 1, Outcome::kNoResponse, true, 120);
  EXPECT_EQ(observer.Snapshot(At(120)).zones.at(0).unanswered, 1);
  EXPECT_FALSE(observer.NextReport(At(200))) << "one proves nothing";
  end("u1", 2, Outcome::kNoResponse, true, 220);
  EXPECT_EQ(VerdictOf(observer.Snapshot(At(220)).zones.at(0)), Verdict::kNone)
      << "one upstream is not the zone";
  end("u2", 3, Outcome::kNoResponse, true, 230);
  EXPECT_TRUE(observer.NextReport(At(250))) << "silent: at once";
  end("u3", 4, Outcome::kRejected, true, 260);
  EXPECT_EQ(VerdictOf(observer.Snapshot(At(260)).zones.at(0)), Verdict::kResponsive);
  EXPECT_FALSE(observer.NextReport(At(300))) << "ten a second at most";
  EXPECT_TRUE(observer.NextReport(At(350)));
  EXPECT_EQ(observer.Snapshot(At(5000)).zones.at(0).unanswered, 0);
}

}  // namespace
}  // namespace mothrack::zone_failover
