// An agent's permits and break-glass: the page's table row by row, and what is kept until it is reported.
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
      {"no permit", [](AgentPermits& b) { b.OnConfirmation(ConfirmationOf(5, 1, State::kNone), At(9000)); }},
      {"running to batch 2",
       [](AgentPermits& b) { b.OnConfirmation(ConfirmationOf(5, 1, State::kRunning), At(9000)); }},
      {"running, asked 1.8 s ago",
       [](AgentPermits& b) { b.OnConfirmation(ConfirmationOf(5, 1, State::kRunning), At(8200)); }},
      {"paused at batch 2",
       [](AgentPermits& b) { b.OnConfirmation(ConfirmationOf(5, 1, State::kPaused), At(9000)); }},
      {"blocked", [](AgentPermits& b) { b.OnConfirmation(ConfirmationOf(5, 1, State::kBlocked), At(9000)); }},
      {"running, then a later term of another change",
       [](AgentPermits& b) {
         b.OnConfirmation(ConfirmationOf(5, 1, State::kRunning), At(9000));
         PermitConfirmation other = ConfirmationOf(6, 1, State::kRunning);
         other.change = "c2";
         b.OnConfirmation(other, At(9100));
       }},
      {"blocked, then running of an older term",
       [](AgentPermits& b) {
         b.OnConfirmation(ConfirmationOf(5, 1, State::kBlocked), At(9000));
         EXPECT_FALSE(b.OnConfirmation(ConfirmationOf(4, 9, State::kRunning), At(9900)));
       }},
      {"blocked, then running of an older state",
       [](AgentPermits& b) {
         b.OnConfirmation(ConfirmationOf(5, 2, State::kBlocked), At(9000));
         EXPECT_FALSE(b.OnConfirmation(ConfirmationOf(5, 1, State::kRunning), At(9900)));
       }},
      {"running of the term on disk before",
       [](AgentPermits& b) {
         b = AgentPermits("a", PermitRecord{9, 0, {}});
         EXPECT_FALSE(b.OnConfirmation(ConfirmationOf(5, 1, State::kRunning), At(9900)));
       }},
      {"running, then nobody leads",
       [](AgentPermits& b) {
         b.OnConfirmation(ConfirmationOf(5, 1, State::kRunning), At(9000));
         b.OnLeaderless("nobody coordinates");
       }},
      {"nobody leads", [](AgentPermits& b) { b.OnLeaderless("nobody coordinates"); }},
      {"blocked, glass broken",
       [](AgentPermits& b) {
         b.OnConfirmation(ConfirmationOf(5, 1, State::kBlocked), At(9000));
         EXPECT_TRUE(b.BreakGlass(BreakGlassBy(OperatorRole::kOperator), At(9000)).ok());
       }},
      {"blocked, glass broken 600 s ago",
       [](AgentPermits& b) {
         EXPECT_TRUE(b.BreakGlass(BreakGlassBy(OperatorRole::kOperator), At(10'000 - 600'000)).ok());
         b.OnConfirmation(ConfirmationOf(5, 1, State::kBlocked), At(9000));
       }},
      {"blocked, glass broken by a viewer",
       [](AgentPermits& b) {
         b.OnConfirmation(ConfirmationOf(5, 1, State::kBlocked), At(9000));
         EXPECT_EQ(b.BreakGlass(BreakGlassBy(OperatorRole::kViewer), At(9000)).code,
                   StatusCode::kNotAuthorized);
       }},
  };
  const std::vector<std::tuple<std::string, ChangeKind, int>> requested = {
      {"the lease", ChangeKind::kRestart, 0},
      {"a step of batch 2", ChangeKind::kRestart, 2},
      {"a step of batch 3", ChangeKind::kRestart, 3},
      {"its undo", ChangeKind::kUndo, 0}};
  for (const auto& [name, receive] : received) {
    AgentPermits book("a", {});
    receive(book);
    for (const auto& [request, kind, batch] : requested) {
      const auto answer = book.Check("c1", kind, static_cast<std::uint32_t>(batch), At(10'000));
      table.Play(
          {{"heard", name}, {"wanted", request}, {"answer", kVerdicts[static_cast<int>(answer.verdict)]}});
      EXPECT_EQ(answer.allowed(), answer.reason.empty());
    }
  }
}

TEST(FreezePermits, BreakGlassIsStoredUntilItIsReported) {
  AgentPermits book("a", {});
  EXPECT_EQ(book.BreakGlass({"c1", "ann", OperatorRole::kOperator, ""}, At(0)).code,
            StatusCode::kInvalidRequest);
  ASSERT_TRUE(book.BreakGlass(BreakGlassBy(OperatorRole::kOperator), At(0)).ok());
  ASSERT_EQ(book.record().unreported.size(), 1u);
  FreezeState state;
  state.RecordBreakGlass(book.record().unreported);
  state.RecordBreakGlass(book.record().unreported);
  EXPECT_EQ(state.break_glass(), book.record().unreported);
  book.OnBreakGlassReported(state.LastBreakGlassOf("a"));
  EXPECT_TRUE(book.record().unreported.empty());
}

}  // namespace
}  // namespace mothrack::change_freeze
