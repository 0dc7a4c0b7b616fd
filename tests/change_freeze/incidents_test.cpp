// Incidents: the table "Rules of incidents" of docs/design/change_freeze.md row by row, the severity of
// evidence, and limits.
#include "change_freeze/incidents.h"

#include <gtest/gtest.h>

#include <functional>
#include <string>
#include <utility>
#include <vector>

#include "change_freeze/conformance_table.h"

namespace mothrack::change_freeze {
namespace {

TEST(FreezeTables, RulesOfIncidents) {
  ConformanceTable table("Rules of incidents", {"state", "event"});
  const Scope site{Scope::Kind::kSite, {"bole"}};
  const auto rejections = [&](double level) {
    return Evidence{IncidentKind::kRejections, site, level, kRejectionsOpenAfter};
  };
  using Events =
      std::vector<std::pair<std::string, std::function<void(Incidents&, std::uint64_t, TimePoint)>>>;
  const Events events = {
      {"its evidence is bad", [&](Incidents& incidents, std::uint64_t,
                                  TimePoint now) { incidents.OnEvidence(rejections(0.3), now); }},
      {"between", [&](Incidents& incidents, std::uint64_t,
                      TimePoint now) { incidents.OnEvidence(rejections(0.1), now); }},
      {"calm", [&](Incidents& incidents, std::uint64_t,
                   TimePoint now) { incidents.OnEvidence(rejections(0.01), now); }},
      {"calm for 30 s",
       [&](Incidents& incidents, std::uint64_t, TimePoint now) {
         for (int second = 0; second <= 30; ++second)
           incidents.OnEvidence(rejections(0.01), now + Duration(second * 1000));
       }},
      {"nobody speaks of it", [](Incidents& incidents, std::uint64_t,
                                 TimePoint now) { incidents.ExpireStale(now + Duration(31'000)); }},
      {"renewed by hand",
       [](Incidents& incidents, std::uint64_t id, TimePoint now) { incidents.Renew(id, "bob", now); }},
      {"closed by hand",
       [](Incidents& incidents, std::uint64_t id, TimePoint now) { incidents.Close(id, now); }},
      {"another coordinator",
       [](Incidents& incidents, std::uint64_t, TimePoint now) {
         Encoder encoder;
         incidents.Encode(encoder, now);
         Decoder decoder(encoder.bytes());
         EXPECT_TRUE(incidents.Decode(decoder, At(5)) && decoder.done());
       }},
  };
  const auto state = [](const Incidents& incidents) {
    return incidents.all().empty() ? std::string("none")
                                   : kIncidentStates[static_cast<int>(incidents.all().front().state)];
  };
  for (const std::string initial : {"none", "open", "calming", "stale", "muted"}) {
    for (const auto& [name, event] : events) {
      Row row{{"state", initial}, {"event", name}};
      Incidents by_evidence;
      std::uint64_t id = initial == "none" ? 0 : by_evidence.OnEvidence(rejections(0.3), At(0)).id;
      if (initial == "calming") by_evidence.OnEvidence(rejections(0.01), At(0));
      if (initial == "stale") by_evidence.ExpireStale(At(30'000));
      if (initial == "muted") by_evidence.Close(id, At(0));
      ASSERT_EQ(state(by_evidence), initial);
      event(by_evidence, id, At(initial == "stale" ? 30'000 : 100));
      row["by evidence"] = state(by_evidence);
      row["by an operator"] = "-";
      if (initial == "open" || initial == "stale") {
        Incidents by_hand;
        id = by_hand.Open(site, "a fire", "ann", Duration(30'000), At(0)).id;
        if (initial == "stale") by_hand.ExpireStale(At(30'000));
        event(by_hand, id, At(initial == "stale" ? 30'000 : 100));
        // Evidence may open another incident, so the state is that of the operator's incident.
        const Incident* own = by_hand.Find(id);
        row["by an operator"] = own == nullptr ? "none" : kIncidentStates[static_cast<int>(own->state)];
      }
      table.Check(row);
    }
  }
}

TEST(FreezeIncidents, SeverityOfEvidence) {
  const auto severity = [](IncidentKind kind, double level, int ms) {
    return SeverityOf({kind, {}, level, Duration(ms)});
  };
  EXPECT_EQ(severity(IncidentKind::kRejections, 0.20, 2999), EvidenceSeverity::kIndeterminate);
  EXPECT_EQ(severity(IncidentKind::kRejections, 0.20, 3000), EvidenceSeverity::kFiring);
  EXPECT_EQ(severity(IncidentKind::kRejections, 0.05, 0), EvidenceSeverity::kClear);
  EXPECT_EQ(severity(IncidentKind::kCrashLoop, 1, 0), EvidenceSeverity::kIndeterminate);
  EXPECT_EQ(severity(IncidentKind::kCrashLoop, 2, 0), EvidenceSeverity::kFiring);
  EXPECT_EQ(severity(IncidentKind::kZoneLeft, 0.5, 0), EvidenceSeverity::kIndeterminate);
  EXPECT_EQ(severity(IncidentKind::kZoneLeft, 1, 0), EvidenceSeverity::kFiring);
  EXPECT_EQ(severity(IncidentKind::kZoneLeft, 0, 0), EvidenceSeverity::kClear);
}

TEST(FreezeIncidents, AreLimitedInNumber) {
  Incidents incidents;
  for (std::size_t i = 0; i < kMaxIncidents; ++i) {
    EXPECT_GT(incidents.Open({Scope::Kind::kSite, {std::to_string(i)}}, "x", "ann", Duration(1), At(0)).id,
              0u);
  }
  const IncidentResult refused = incidents.Open({}, "x", "ann", Duration(1), At(0));
  EXPECT_EQ(refused.id, 0u);
  EXPECT_EQ(refused.status.code, StatusCode::kLimitReached);
  EXPECT_EQ(refused.status.message.substr(0, 32), "there are 32 incidents already; ");
  EXPECT_EQ(incidents.Open({Scope::Kind::kSite, {"3"}}, "x", "bob", Duration(1), At(0)).id, 4u)
      << "an existing incident is renewed";
}

}  // namespace
}  // namespace mothrack::change_freeze
