// The replicated state: permits during incidents, remedies, the end of a permit, and the encoding.
#include "change_freeze/freeze_state.h"

#include <gtest/gtest.h>

#include <set>
#include <string>
#include <utility>

#include "change_freeze/conformance_table.h"

namespace mothrack::change_freeze {
namespace {

PermitRequest RequestOf(ChangeKind kind, const std::string& site, std::uint32_t batch = 0,
                        std::set<std::uint64_t> remedies = {}) {
  return {"c1", kind, {{site}, {}, {}, {}}, "bob", std::move(remedies), batch};
}

TEST(FreezeStateRules, FreezeStopsAChangeAfterItsBatchAndAllowsUndoOrResume) {
  FreezeState state;
  Footprint both_sites{{"bole", "kality"}, {}, {}, {}};
  const PermitRequest forward{"c1", ChangeKind::kNewGeneration, both_sites, "bob", {}, 3};
  ASSERT_TRUE(state.RequestPermit(forward, At(0)).ok());
  const auto id =
      state.incidents.Open({Scope::Kind::kSite, {"bole"}}, "a fire", "ann", Duration(60'000), At(100)).id;
  state.Reevaluate(At(100));
  EXPECT_EQ(state.ConfirmPermit("c1", At(100)).state, PermitState::kPaused);
  EXPECT_EQ(state.ConfirmPermit("c1", At(100)).batch, 3u);
  PermitRequest next = forward;
  next.batch = 4;
  EXPECT_NE(state.RequestPermit(next, At(200)).message.find("a fire"), std::string::npos);
  FreezeState undone = state;
  PermitRequest undo{"c1", ChangeKind::kUndo, both_sites, "bob", {id}, 0};
  EXPECT_EQ(undone.RequestPermit(undo, At(300)).code, StatusCode::kPermitEnding)
      << "agents may still use the forward permit";
  EXPECT_EQ(undone.RequestPermit(undo, At(2499)).code, StatusCode::kPermitEnding);
  EXPECT_TRUE(undone.RequestPermit(undo, At(2500)).ok());
  state.incidents.Close(id, At(400));
  EXPECT_TRUE(state.RequestPermit(next, At(500)).ok());
  EXPECT_EQ(state.ConfirmPermit("c1", At(500)).batch, 4u);
}

TEST(FreezeStateRules, RemediesNameTheirIncidentAndAreChecked) {
  FreezeState state;
  const auto bole =
      state.incidents.Open({Scope::Kind::kSite, {"bole"}}, "a fire", "ann", Duration(60'000), At(0)).id;
  const auto effect_of = [&](ChangeKind kind, const std::string& site, std::set<std::uint64_t> remedies) {
    return state.Evaluate(kind, {{site}, {}, {}, {}}, remedies).effect;
  };
  EXPECT_EQ(effect_of(ChangeKind::kRestart, "bole", {}), Effect::kPaused);
  EXPECT_EQ(effect_of(ChangeKind::kRestart, "bole", {bole}), Effect::kAllowed);
  EXPECT_EQ(effect_of(ChangeKind::kUndo, "bole", {bole}), Effect::kAllowed);
  EXPECT_EQ(effect_of(ChangeKind::kNewGeneration, "bole", {bole}), Effect::kBlocked);
  EXPECT_EQ(effect_of(ChangeKind::kNewGeneration, "kality", {}), Effect::kAllowed);
  EXPECT_EQ(effect_of(ChangeKind::kNewGeneration, "kality", {bole}), Effect::kBlocked)
      << "a wrong remedy claim";
  // Another incident, whose scope overlaps with the first one's. Both apply.
  const auto g2 =
      state.incidents.Open({Scope::Kind::kGeneration, {"g2"}}, "it loops", "ann", Duration(60'000), At(0)).id;
  EXPECT_EQ(effect_of(ChangeKind::kRestart, "bole", {bole}), Effect::kPaused) << "the generation is unknown";
  EXPECT_EQ(state.Evaluate(ChangeKind::kRestart, {{"bole"}, {}, {"g2"}, {}}, {bole, g2}).effect,
            Effect::kAllowed);
  EXPECT_EQ(state.Evaluate(ChangeKind::kRestart, {{"bole"}, {}, {"g1"}, {}}, {bole}).effect,
            Effect::kAllowed);
}

TEST(FreezeStateRules, EndOfAPermitCountsFromItsCommit) {
  FreezeState before;
  ASSERT_TRUE(before.RequestPermit(RequestOf(ChangeKind::kRestart, "bole"), At(0)).ok());
  FreezeState next = before;
  next.EndPermit("c1", At(100));
  next.OnCommitted(before, At(3000));
  next.Reevaluate(At(5199));
  EXPECT_EQ(next.permits().size(), 1u);
  next.Reevaluate(At(5200));
  EXPECT_TRUE(next.permits().empty());
}

TEST(FreezeStateRules, TruncatedBytesAreNotDecoded) {
  FreezeState state;
  state.incidents.Open({}, "a fire", "ann", Duration(60'000), At(0));
  state.RequestPermit({"c2", ChangeKind::kUndo, {{"bole"}, {"z1"}, {"g1"}, {"a/i"}}, "bob", {1}, 4}, At(0));
  state.RecordBreakGlass({{3, "a", "c9", "ann", "it burns"}});
  ASSERT_EQ(state.permits().size(), 1u);
  const std::string bytes = state.Encode(At(10));
  const auto read = FreezeState::Decode(bytes, At(99'000));
  ASSERT_TRUE(read);
  EXPECT_TRUE(read->EqualIgnoringTimes(state));
  EXPECT_EQ(read->Encode(At(99'000)), bytes);
  for (std::size_t size = 1; size < bytes.size(); ++size)
    EXPECT_FALSE(FreezeState::Decode(bytes.substr(0, size), At(0)));
  EXPECT_FALSE(FreezeState::Decode(bytes + '0', At(0)));
}

}  // namespace
}  // namespace mothrack::change_freeze
