// The rule checker: each rule on a short sequence of events.
#include "simulation/invariants.h"

#include <map>
#include <optional>

#include "gtest/gtest.h"
#include "simulation/simulator.h"

namespace mothrack::simulation {
namespace {

// Records events with the rule checker. Each is recorded when the next one is added, so that a test can set
// its members first.
class CheckedEvents {
 public:
  CheckedEvents()
      : rule_checker([] {
          RuleChecker::Limits limits;
          limits.unsafe = {false, true};
          return limits;
        }()) {}
  SimulationEvent& Add(SimulationEvent::Kind kind, double ms) {
    Flush();
    next.emplace();
    next->kind = kind;
    next->at = runtime::TimePoint(Milliseconds(ms));
    next->sidecar = 1;
    next->request = 7;
    next->cls = 1;
    next->until = runtime::TimePoint(Milliseconds(1000));
    return *next;
  }
  std::size_t Count(Rule rule) {
    Flush();
    return rule_checker.count(rule);
  }
  void Flush() {
    if (next) rule_checker.Record(*next);
    next.reset();
  }
  RuleChecker rule_checker;
  std::optional<SimulationEvent> next;
};

using Kind = SimulationEvent::Kind;

TEST(Rules, AnUnsafeRequestIsRetriedOnlyWhenItIsKnownNotToHaveRun) {
  for (const auto& [outcome, broken] :
       std::map<balancer::Outcome, std::size_t>{{balancer::Outcome::kFull, 0},
                                                {balancer::Outcome::kConnectFailed, 0},
                                                {balancer::Outcome::kTimeout, 1},
                                                {balancer::Outcome::kReset, 1}}) {
    CheckedEvents events;
    events.Add(Kind::kAccepted, 0);
    events.Add(Kind::kAttemptSent, 1);
    events.Add(Kind::kAttemptEnded, 2).outcome = outcome;
    events.Add(Kind::kAttemptSent, 3);
    EXPECT_EQ(events.Count(Rule::kTwice), broken) << static_cast<int>(outcome);
  }
}

TEST(Rules, ARejectedRequestMustNotRun) {
  CheckedEvents events;
  events.Add(Kind::kAccepted, 0);
  events.Add(Kind::kAttemptSent, 1);
  events.Add(Kind::kAttemptEnded, 2).outcome = balancer::Outcome::kFull;
  events.Add(Kind::kAnswered, 3).request_outcome = RequestOutcome::kRefused;
  EXPECT_EQ(events.Count(Rule::kTwice), 0U);
  events.Add(Kind::kCallStarted, 4);
  EXPECT_EQ(events.Count(Rule::kTwice), 1U);
}

TEST(Rules, ARequestNeedsOneAnswerInTimeUnlessItsClientLeft) {
  CheckedEvents late;
  late.Add(Kind::kAccepted, 0);
  late.Add(Kind::kAnswered, 1050).request_outcome = RequestOutcome::kFailed;
  EXPECT_EQ(late.Count(Rule::kLost), 0U);
  late.Add(Kind::kAnswered, 1051).request_outcome = RequestOutcome::kFailed;
  EXPECT_EQ(late.Count(Rule::kLost), 2U) << "one breach for the second answer, one for the late answer";
  CheckedEvents left;
  left.Add(Kind::kAccepted, 0);
  left.Add(Kind::kClientLeft, 10);
  left.Flush();
  left.rule_checker.End(runtime::TimePoint(Milliseconds(5000)));
  EXPECT_EQ(left.Count(Rule::kLost), 0U);
  CheckedEvents none;
  none.Add(Kind::kAccepted, 0);
  none.Flush();
  none.rule_checker.End(runtime::TimePoint(Milliseconds(1051)));
  EXPECT_EQ(none.Count(Rule::kLost), 1U);
}

TEST(Rules, NoAttemptGoesToADrainingServerAfterItsGracePeriod) {
  CheckedEvents events;
  events.Add(Kind::kAccepted, 0);
  events.Add(Kind::kSidecarNotified, 0).leaving = true;
  events.Add(Kind::kAttemptSent, 550);
  EXPECT_EQ(events.Count(Rule::kDrain), 0U);
  events.Add(Kind::kSidecarNotified, 551).leaving = true;  // notified again: the first notice counts
  events.Add(Kind::kAttemptSent, 552);
  EXPECT_EQ(events.Count(Rule::kDrain), 1U);
}

TEST(Rules, AServerInSlowStartGetsLimitedWorkWithinTheWindow) {
  // A capacity of 3 ms of work per millisecond, a fifth of it at first: 2,400 ms of work in a second are four
  // times that.
  CheckedEvents events;
  events.Add(Kind::kServerStarted, 0).work = 3;
  for (int i = 0; i < 24; ++i) events.Add(Kind::kCallArrived, i).work = 100;
  EXPECT_EQ(events.Count(Rule::kSlowStart), 0U);
  events.Add(Kind::kCallArrived, 25).work = 150;
  EXPECT_EQ(events.Count(Rule::kSlowStart), 1U);
  CheckedEvents spread;
  spread.Add(Kind::kServerStarted, 0).work = 3;
  for (int i = 0; i < 50; ++i) spread.Add(Kind::kCallArrived, 100 * i).work = 150;
  EXPECT_EQ(spread.Count(Rule::kSlowStart), 0U);
}

}  // namespace
}  // namespace mothrack::simulation
