// mothrackctl resume, undo, abort: the change that is open at the agents, continued, undone or closed.
#include <iostream>
#include <optional>

#include "ctl/fleet_snapshot.h"
#include "ctl/session.h"
#include "ctl/show.h"
#include "rollout/wire.h"

namespace mothrack::ctl {
namespace {

// The plan of the open change, or the exit code if it can't be fetched.
struct OpenPlan {
  std::optional<rollout::Plan> plan;
  ExitCode code = kRefused;
};

OpenPlan FetchOpenPlan(Session& session, const FleetSnapshot& snapshot) {
  if (const auto agent = snapshot.AgentWithOpenChange()) {
    const std::string target = "/v1/plan?" + snapshot.OpenChange(*agent, "change");
    const auto reply = session.driver().RequestAll("GET", target, {}, {*agent}).at(*agent);
    if (reply.ok()) return {rollout::PlanFrom(reply.body)};
    return {std::nullopt, Fail(kRefused, *agent + ": " + reply.ErrorText())};
  }
  if (snapshot.faults.empty()) return {std::nullopt, Fail(kRefused, "no change is open")};
  return {std::nullopt,
          Fail(kUnreachable, "no change is open at the agents that were reached; not reached: " +
                                 JoinNames(snapshot.Unreachable()))};
}

ExitCode Continue(Session& session, rollout::Change::Direction direction) {
  const FleetSnapshot snapshot = TakeSnapshot(session.driver());
  const auto [plan, code] = FetchOpenPlan(session, snapshot);
  if (!plan) return code;
  const bool undo = direction == rollout::Change::Direction::kUndo;
  std::cout << plan->id << " by " << Printable(plan->who) << " (" << Printable(plan->why) << ") is "
            << (undo ? "undone" : "continued") << std::endl;
  return PrintOutcome(
      session.driver().CarryOut(*plan, direction, true, session.OperatorName(), snapshot.ShortestLease()));
}

}  // namespace

ExitCode RunResume(Session& session) { return Continue(session, rollout::Change::Direction::kForward); }

ExitCode RunUndo(Session& session) { return Continue(session, rollout::Change::Direction::kUndo); }

ExitCode RunAbort(Session& session) {
  const auto [plan, code] = FetchOpenPlan(session, TakeSnapshot(session.driver()));
  if (!plan) return code;
  const auto outcome = session.driver().Close(*plan, session.OperatorName());
  if (outcome.claim_error) return Fail(kRefused, outcome.claim_error->Message());
  std::cout << plan->id << " closed; no step is undone" << std::endl;
  return PrintLeftOpen(outcome) ? kUnreachable : kDone;
}

}  // namespace mothrack::ctl
