// An agent's permits and break-glass: the table "Rules of permits" of docs/design/change_freeze.md row by
// row, and the storage of break-glass records until they are reported.
#include "change_freeze/agent_permits.h"

#include <gtest/gtest.h>

#include <functional>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "change_freeze/conformance_table.h"
#include "change_freeze/freeze_state.h"

namespace mothrack::change_freeze {
namespace {

BreakGlassRequest BreakGlassBy(OperatorRole role) { return {"c1", "ann", role, "it burns"}; }

PermitConfirmation ConfirmationOf(Term term, std::uint64_t version, PermitState state) {
  return {term,
          version,
          "c1",
          ChangeKind::kRestart,
          state,
          2,
          state == PermitState::kRunning ? "" : "incident 1"};
}

TEST(FreezeTables, RulesOfPermits) {
  using State = PermitState;
  ConformanceTable table("Rules of permits", {"heard", "wanted"});
  constexpr const char* kVerdicts[] = {"allowed", "by break-glass", "no permit",
                                       "paused",  "blocked",        "lapsed"};
  const std::vector<std::pair<std::string, std::function<void(AgentPermits&)>>> received = {
      {"nothing", [](AgentPermits&) {}},
      {"no permit",
       [](AgentPermits& permits) { permits.OnConfirmation(ConfirmationOf(5, 1, State::kNone), At(9000)); }},
      {"running to batch 2",
       [](AgentPermits& permits) {
         permits.OnConfirmation(ConfirmationOf(5, 1, State::kRunning), At(9000));
       }},
      {"running, asked 1.8 s ago",
       [](AgentPermits& permits) {
         permits.OnConfirmation(ConfirmationOf(5, 1, State::kRunning), At(8200));
       }},
      {"paused at batch 2",
       [](AgentPermits& permits) { permits.OnConfirmation(ConfirmationOf(5, 1, State::kPaused), At(9000)); }},
      {"blocked",
       [](AgentPermits& permits) {
         permits.OnConfirmation(ConfirmationOf(5, 1, State::kBlocked), At(9000));
       }},
      {"running, then a later term of another change",
       [](AgentPermits& permits) {
         permits.OnConfirmation(ConfirmationOf(5, 1, State::kRunning), At(9000));
         PermitConfirmation other = ConfirmationOf(6, 1, State::kRunning);
         other.change = "c2";
         permits.OnConfirmation(other, At(9100));
       }},
      {"blocked, then running of an older term",
       [](AgentPermits& permits) {
         permits.OnConfirmation(ConfirmationOf(5, 1, State::kBlocked), At(9000));
         EXPECT_FALSE(permits.OnConfirmation(ConfirmationOf(4, 9, State::kRunning), At(9900)));
       }},
      {"blocked, then running of an older state",
       [](AgentPermits& permits) {
         permits.OnConfirmation(ConfirmationOf(5, 2, State::kBlocked), At(9000));
         EXPECT_FALSE(permits.OnConfirmation(ConfirmationOf(5, 1, State::kRunning), At(9900)));
       }},
      {"running of the term on disk before",
       [](AgentPermits& permits) {
         permits = AgentPermits("a", PermitRecord{9, 0, {}});
         EXPECT_FALSE(permits.OnConfirmation(ConfirmationOf(5, 1, State::kRunning), At(9900)));
       }},
      {"running, then nobody leads",
       [](AgentPermits& permits) {
         permits.OnConfirmation(ConfirmationOf(5, 1, State::kRunning), At(9000));
         permits.OnLeaderless("there is no coordinator");
       }},
      {"nobody leads", [](AgentPermits& permits) { permits.OnLeaderless("there is no coordinator"); }},
      {"blocked, glass broken",
       [](AgentPermits& permits) {
         permits.OnConfirmation(ConfirmationOf(5, 1, State::kBlocked), At(9000));
         EXPECT_TRUE(permits.BreakGlass(BreakGlassBy(OperatorRole::kOperator), At(9000)).ok());
       }},
      {"blocked, glass broken 600 s ago",
       [](AgentPermits& permits) {
         EXPECT_TRUE(permits.BreakGlass(BreakGlassBy(OperatorRole::kOperator), At(10'000 - 600'000)).ok());
         permits.OnConfirmation(ConfirmationOf(5, 1, State::kBlocked), At(9000));
       }},
      {"blocked, glass broken by a viewer",
       [](AgentPermits& permits) {
         permits.OnConfirmation(ConfirmationOf(5, 1, State::kBlocked), At(9000));
         EXPECT_EQ(permits.BreakGlass(BreakGlassBy(OperatorRole::kViewer), At(9000)).code,
                   StatusCode::kNotAuthorized);
       }},
  };
  const std::vector<std::tuple<std::string, ChangeKind, int>> requested = {
      {"the lease", ChangeKind::kRestart, 0},
      {"a step of batch 2", ChangeKind::kRestart, 2},
      {"a step of batch 3", ChangeKind::kRestart, 3},
      {"its undo", ChangeKind::kUndo, 0}};
  for (const auto& [name, receive] : received) {
    AgentPermits permits("a", {});
    receive(permits);
    for (const auto& [request, kind, batch] : requested) {
      const auto decision = permits.Check("c1", kind, static_cast<std::uint32_t>(batch), At(10'000));
      table.Check(
          {{"heard", name}, {"wanted", request}, {"answer", kVerdicts[static_cast<int>(decision.verdict)]}});
      EXPECT_EQ(decision.allowed(), decision.reason.empty());
    }
  }
}

TEST(FreezePermits, BreakGlassIsStoredUntilItIsReported) {
  AgentPermits permits("a", {});
  EXPECT_EQ(permits.BreakGlass({"c1", "ann", OperatorRole::kOperator, ""}, At(0)).code,
            StatusCode::kInvalidRequest);
  ASSERT_TRUE(permits.BreakGlass(BreakGlassBy(OperatorRole::kOperator), At(0)).ok());
  ASSERT_EQ(permits.record().unreported.size(), 1u);
  FreezeState state;
  state.RecordBreakGlass(permits.record().unreported);
  state.RecordBreakGlass(permits.record().unreported);
  EXPECT_EQ(state.break_glass(), permits.record().unreported);
  permits.OnBreakGlassReported(state.LastBreakGlassOf("a"));
  EXPECT_TRUE(permits.record().unreported.empty());
}

}  // namespace
}  // namespace mothrack::change_freeze
