// The four rules, event by event.
#include "simulation/invariants.h"

#include <map>
#include <optional>

#include "gtest/gtest.h"
#include "simulation/simulator.h"

namespace mothrack::simulation {
namespace {

// Hands events to the rules: each when the next one begins, so that a test can fill in its members.
class CheckedEvents {
 public:
  CheckedEvents()
      : rules([] {
          Rules::Limits limits;
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
    return rules.count(rule);
  }
  void Flush() {
    if (next) rules.Record(*next);
    next.reset();
  }
  Rules rules;
  std::optional<SimulationEvent> next;
};

using Kind = SimulationEvent::Kind;

TEST(Rules, AnUnsafeRequestIsRetriedOnlyWhenItIsKnownNotToHaveRun) {
  for (const auto& [outcome, broken] :
       std::map<balancer::Outcome, std::size_t>{{balancer::Outcome::kFull, 0},
                                                {balancer::Outcome::kConnectFailed, 0},
                                                {balancer::Outcome::kTimeout, 1},
                                                {balancer::Outcome::kReset, 1}}) {
    CheckedEvents c;
    c.Add(Kind::kAccepted, 0);
    c.Add(Kind::kAttemptSent, 1);
    c.Add(Kind::kAttemptEnded, 2).outcome = outcome;
    c.Add(Kind::kAttemptSent, 3);
    EXPECT_EQ(c.Count(Rule::kTwice), broken) << static_cast<int>(outcome);
  }
}

TEST(Rules, ARejectionPromisesThatNothingRan) {
  CheckedEvents c;
  c.Add(Kind::kAccepted, 0);
  c.Add(Kind::kAttemptSent, 1);
  c.Add(Kind::kAttemptEnded, 2).outcome = balancer::Outcome::kFull;
  c.Add(Kind::kAnswered, 3).request_outcome = RequestOutcome::kRefused;
  EXPECT_EQ(c.Count(Rule::kTwice), 0U);
  c.Add(Kind::kCallStarted, 4);
  EXPECT_EQ(c.Count(Rule::kTwice), 1U);
}

TEST(Rules, OneAnswerInTimeAndNoneForWhoLeft) {
  CheckedEvents late;
  late.Add(Kind::kAccepted, 0);
  late.Add(Kind::kAnswered, 1050).request_outcome = RequestOutcome::kFailed;
  EXPECT_EQ(late.Count(Rule::kLost), 0U);
  late.Add(Kind::kAnswered, 1051).request_outcome = RequestOutcome::kFailed;
  EXPECT_EQ(late.Count(Rule::kLost), 2U) << "a second one, and late";
  CheckedEvents left;
  left.Add(Kind::kAccepted, 0);
  left.Add(Kind::kClientLeft, 10);
  left.Flush();
  left.rules.End(runtime::TimePoint(Milliseconds(5000)));
  EXPECT_EQ(left.Count(Rule::kLost), 0U);
  CheckedEvents none;
  none.Add(Kind::kAccepted, 0);
  none.Flush();
  none.rules.End(runtime::TimePoint(Milliseconds(1051)));
  EXPECT_EQ(none.Count(Rule::kLost), 1U);
}

TEST(Rules, NothingBeginsAtADrainingServerAfterItsGrace) {
  CheckedEvents c;
  c.Add(Kind::kAccepted, 0);
  c.Add(Kind::kSidecarNotified, 0).leaving = true;
  c.Add(Kind::kAttemptSent, 550);
  EXPECT_EQ(c.Count(Rule::kDrain), 0U);
  c.Add(Kind::kSidecarNotified, 551).leaving = true;  // notified again: the first notice counts
  c.Add(Kind::kAttemptSent, 552);
  EXPECT_EQ(c.Count(Rule::kDrain), 1U);
}

TEST(Rules, AWarmingServerBearsWhatAllSendWithinTheWindow) {
  // Of 3 ms a millisecond, a fifth at first: 2,400 ms of work in a second are four times what it can.
  CheckedEvents c;
  c.Add(Kind::kServerStarted, 0).work = 3;
  for (int i = 0; i < 24; ++i) c.Add(Kind::kCallArrived, i).work = 100;
  EXPECT_EQ(c.Count(Rule::kSlowStart), 0U);
  c.Add(Kind::kCallArrived, 25).work = 150;
  EXPECT_EQ(c.Count(Rule::kSlowStart), 1U);
  CheckedEvents spread;
  spread.Add(Kind::kServerStarted, 0).work = 3;
  for (int i = 0; i < 50; ++i) spread.Add(Kind::kCallArrived, 100 * i).work = 150;
  EXPECT_EQ(spread.Count(Rule::kSlowStart), 0U);
}

}  // namespace
}  // namespace mothrack::simulation
