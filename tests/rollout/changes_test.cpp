// What changes many instances: the lease, an instance's steps, a plan, a change; and all of them in
// histories.
#include <algorithm>
#include <cstdlib>
#include <map>
#include <set>
#include <string>

#include "gtest/gtest.h"
#include "rollout/change.h"
#include "rollout/changes_model.h"
#include "rollout/claim.h"
#include "rollout/instance.h"
#include "rollout/lease.h"
#include "rollout/plan.h"

namespace mothrack::rollout {
namespace {

using std::chrono::milliseconds;

TimePoint At(int ms) { return TimePoint(milliseconds(ms)); }

Holder By(const std::string& who, const std::string& change) { return {change, who, "a test", 0, who}; }

// ---- Lease ----

using Verdict = Lessor::Verdict;

TEST(Lease, OneHolderAtATimeAndOlderOnesAreFenced) {
  Lessor book({}, milliseconds(1000), At(0));
  EXPECT_EQ(book.Acquire(1, By("ann", "c1"), At(0)), Verdict::kGranted);
  EXPECT_EQ(book.Acquire(2, By("bob", "c2"), At(999)), Verdict::kHeld);
  EXPECT_EQ(book.holder(At(999))->who, "ann");
  EXPECT_EQ(book.Renew(1, "ann", At(500)), Verdict::kGranted);
  EXPECT_EQ(book.Acquire(2, By("bob", "c2"), At(1400)), Verdict::kHeld) << "it was used";
  EXPECT_EQ(book.Acquire(2, By("bob", "c2"), At(1500)), Verdict::kGranted);
  EXPECT_EQ(book.Renew(1, "ann", At(1501)), Verdict::kFenced) << "it wakes up late";
  EXPECT_EQ(book.Acquire(2, By("eve", "c3"), At(9000)), Verdict::kFenced) << "an epoch is granted once";
  book.Release(1, "ann", true);
  EXPECT_EQ(book.Renew(2, "bob", At(1600)), Verdict::kGranted) << "a late release of another's";
}

TEST(Lease, TwoThatChoseTheSameEpochAreToldApart) {
  Lessor book({}, milliseconds(1000), At(0));
  ASSERT_EQ(book.Acquire(1, By("ann", "c1"), At(0)), Verdict::kGranted);
  EXPECT_EQ(book.Acquire(1, By("bob", "c2"), At(0)), Verdict::kFenced);
  book.Release(1, "bob", true);
  EXPECT_EQ(book.Renew(1, "bob", At(1)), Verdict::kFenced);
  EXPECT_EQ(book.Renew(1, "ann", At(1)), Verdict::kGranted);
}

TEST(Lease, LapsedOneIsNotRenewed) {
  Lessor book({}, milliseconds(1000), At(0));
  ASSERT_EQ(book.Acquire(1, By("ann", "c1"), At(0)), Verdict::kGranted);
  EXPECT_EQ(book.Renew(1, "ann", At(1000)), Verdict::kLapsed);
  EXPECT_FALSE(book.holder(At(1000)));
  EXPECT_EQ(book.Acquire(2, By("ann", "c1"), At(1000)), Verdict::kGranted);
}

TEST(Lease, OpenChangeIsFinishedBeforeAnother) {
  Lessor book({}, milliseconds(1000), At(0));
  ASSERT_EQ(book.Acquire(1, By("ann", "c1"), At(0)), Verdict::kGranted);
  ASSERT_EQ(book.Open(1, By("ann", "c1"), At(1)), Verdict::kGranted);
  book.Release(1, "ann", false);
  EXPECT_EQ(book.Acquire(2, By("bob", "c2"), At(2)), Verdict::kOpen);
  EXPECT_EQ(book.Acquire(2, By("bob", "c1"), At(2)), Verdict::kGranted) << "who takes it over";
  book.Release(2, "bob", true);
  EXPECT_EQ(book.Acquire(3, By("bob", "c2"), At(3)), Verdict::kGranted);
}

// A question of the same run and epoch, but for another change, was granted meanwhile.
TEST(Lease, OpensNoOtherChangeThanItWasGrantedFor) {
  Lessor book({}, milliseconds(1000), At(0));
  ASSERT_EQ(book.Acquire(5, By("ann", "c1"), At(0)), Verdict::kGranted);
  EXPECT_EQ(book.Open(5, By("ann", "c4"), At(1)), Verdict::kFenced);
  EXPECT_FALSE(book.state().open);
  EXPECT_EQ(book.Open(5, By("ann", "c1"), At(1)), Verdict::kGranted);
}

TEST(Lease, AfterARestartItHasItsWholeTime) {
  Lessor before({}, milliseconds(1000), At(0));
  ASSERT_EQ(before.Acquire(7, By("ann", "c1"), At(0)), Verdict::kGranted);
  // The machine started anew, and so did its clock.
  Lessor book(before.state(), milliseconds(1000), At(10));
  EXPECT_EQ(book.Acquire(8, By("bob", "c2"), At(1009)), Verdict::kHeld);
  EXPECT_EQ(book.Renew(7, "ann", At(1009)), Verdict::kGranted);
  EXPECT_EQ(book.Acquire(8, By("bob", "c2"), At(2009)), Verdict::kGranted);
}

// ---- Claim ----

// Agents that answer a claim at once.
struct Agents {
  std::map<std::string, Lessor> books;
  Agents() {
    for (const char* name : {"a", "b", "c", "d"})
      books.emplace(name, Lessor({}, milliseconds(10'000), At(0)));
  }
  std::set<std::string> Names() const {
    std::set<std::string> names;
    for (const auto& [name, book] : books) names.insert(name);
    return names;
  }
  // One turn of the claim; those in `silent` say nothing.
  void Turn(Claim& claim, const Holder& holder, TimePoint now, const std::set<std::string>& silent = {}) {
    std::vector<ClaimCommand> commands;
    claim.Tick(now, commands);
    for (const ClaimCommand& c : commands) {
      if (silent.contains(c.agent)) continue;
      Lessor& book = books.at(c.agent);
      const auto in_the_way = book.holder(now);
      switch (c.kind) {
        case ClaimCommand::Kind::kReadEpoch:
          claim.OnHighestEpoch(c.agent, book.state().highest);
          break;
        case ClaimCommand::Kind::kAcquire:
          claim.OnLeaseAnswer(holder.claim_id, c.agent, c.epoch, book.Acquire(c.epoch, holder, now),
                              in_the_way, book.state().open && book.state().open->change == holder.change);
          break;
        case ClaimCommand::Kind::kOpen:
          claim.OnLeaseAnswer(holder.claim_id, c.agent, c.epoch, book.Open(c.epoch, holder, now), in_the_way,
                              true);
          break;
        case ClaimCommand::Kind::kRelease:
          book.Release(c.epoch, holder.claim_id, false);
          break;
      }
    }
  }
};

TEST(Claim, TwoAtTheSameInstantAndOneGetsIt) {
  Agents agents;
  const Holder ann = By("ann", "c1");
  const Holder bob = By("bob", "c2");
  Claim first("ann", agents.Names(), agents.Names(), false, milliseconds(1000), At(0));
  Claim second("bob", agents.Names(), agents.Names(), false, milliseconds(1000), At(0));
  for (int i = 0; i < 12; ++i) {
    agents.Turn(first, ann, At(i));
    agents.Turn(second, bob, At(i));
  }
  ASSERT_TRUE(first.granted());
  EXPECT_FALSE(second.granted());
  EXPECT_NE(second.rejection().find("the same instant"), std::string::npos) << second.rejection();
  Claim third("bob", agents.Names(), agents.Names(), false, milliseconds(1000), At(100));
  for (int i = 0; i < 12; ++i) agents.Turn(third, bob, At(100 + i));
  EXPECT_EQ(third.rejection(), "ann has the fleet for c1 (a test)");
  for (const auto& [name, book] : agents.books) EXPECT_EQ(book.holder(At(200))->who, "ann") << name;
}

TEST(Claim, NeedsAMajorityAndAllThatItTouches) {
  const auto claim = [](const std::set<std::string>& needed, const std::set<std::string>& silent) {
    Agents agents;
    Claim claim("ann", agents.Names(), needed, false, milliseconds(1000), At(0));
    for (int i = 0; i < 100; ++i) agents.Turn(claim, By("ann", "c1"), At(i * 100), silent);
    return claim.granted() ? "granted" : claim.rejection();
  };
  EXPECT_EQ(claim({"a"}, {"d"}), "granted");
  EXPECT_EQ(claim({"a", "d"}, {"d"}), "can't be reached: d");
  EXPECT_EQ(claim({"a"}, {"c", "d"}), "can't be reached: c, d") << "two may have granted it to another";
}

TEST(Claim, WhatWasClosedMeanwhileIsNotResumed) {
  Agents agents;
  const Holder ann = By("ann", "c1");
  Claim closed("ann", agents.Names(), agents.Names(), true, milliseconds(1000), At(0));
  for (int i = 0; i < 12; ++i) agents.Turn(closed, ann, At(i));
  EXPECT_EQ(closed.rejection(), "the change has come to its end meanwhile");
  Lessor& book = agents.books.at("c");
  ASSERT_EQ(book.Acquire(9, ann, At(20)), Verdict::kGranted);
  ASSERT_EQ(book.Open(9, ann, At(20)), Verdict::kGranted);
  Claim open("ann", agents.Names(), agents.Names(), true, milliseconds(1000), At(20));
  for (int i = 0; i < 12; ++i) agents.Turn(open, ann, At(20 + i));
  EXPECT_TRUE(open.granted()) << open.rejection();
}

// History 98150: ann's first claim, for c1, was refused, and its question to "a" was still on its way. It
// came when her second, for c4, had chosen the same epoch, and was taken for the second's: c1 was then open
// at "a", c4 elsewhere, and neither could be closed.
TEST(Claim, AnswersToAnEarlierClaimAreNotTakenForItsOwn) {
  Agents agents;
  const Holder first{"c1", "ann", "a test", 0, "ann.1"};
  const Holder second{"c4", "ann", "a test", 0, "ann.2"};
  Claim claim(second.claim_id, agents.Names(), agents.Names(), false, milliseconds(1000), At(0));
  agents.Turn(claim, second, At(0));                  // asks for the highest epoch
  agents.Turn(claim, second, At(1), agents.Names());  // asks "a" for epoch 1, which takes its time
  Lessor& a = agents.books.at("a");
  claim.OnLeaseAnswer(first.claim_id, "a", 1, a.Acquire(1, first, At(2)), std::nullopt, false);
  for (int i = 0; i < 12; ++i) agents.Turn(claim, second, At(500 + i));
  EXPECT_FALSE(claim.granted());
  EXPECT_NE(claim.rejection().find("the same instant"), std::string::npos) << claim.rejection();
  for (const auto& [name, book] : agents.books) EXPECT_FALSE(book.state().open) << name;
  EXPECT_EQ(agents.books.at("b").state().highest, 0U) << "it went on from an agent that it has not got";
}

TEST(Claim, GivesBackWhatItGotWhenItIsRefusedHalfway) {
  Agents agents;
  ASSERT_EQ(agents.books.at("c").Acquire(5, By("bob", "c2"), At(0)), Verdict::kGranted);
  Claim claim("ann", agents.Names(), agents.Names(), false, milliseconds(1000), At(0));
  for (int i = 0; i < 12; ++i) agents.Turn(claim, By("ann", "c1"), At(i));
  EXPECT_EQ(claim.rejection(), "bob has the fleet for c2 (a test)");
  for (const char* name : {"a", "b", "d"}) EXPECT_FALSE(agents.books.at(name).holder(At(20))) << name;
  EXPECT_EQ(agents.books.at("c").holder(At(20))->who, "bob");
}

// ---- Instance ----

std::string Told(const std::vector<Action>& actions) {
  std::string text;
  for (const Action& action : actions) {
    if (!text.empty()) text += "; ";
    switch (action.kind) {
      case Action::Kind::kStart:
        text += "start " + action.generation + ' ' + action.token;
        break;
      case Action::Kind::kStop:
        text += "stop";
        break;
      case Action::Kind::kKill:
        text += "kill";
        break;
      case Action::Kind::kSay:
        text += action.line;
        break;
    }
  }
  return text;
}

std::string Reconcile(Instance& instance, const ProcessState& seen, int ms) {
  std::vector<Action> actions;
  instance.Reconcile(seen, At(ms), actions);
  return Told(actions);
}

ProcessState Process(const std::string& token, const std::string& generation, bool ready = true) {
  return {true, token, generation, ready, false};
}

const Step kRestart{"c1", StepKind::kRestart, false, "g2", 0, "g1"};

InstanceRecord Running() {
  InstanceRecord record;
  record.generation = "g1";
  return record;
}

TEST(Instance, RestartIsOneStopAndOneStart) {
  Instance instance(Running(), {});
  const ProcessState old = Process("", "g1");
  EXPECT_EQ(Reconcile(instance, old, 0), "");
  ASSERT_EQ(instance.Accept(kRestart), Instance::Verdict::kAccepted);
  EXPECT_EQ(Reconcile(instance, old, 10), "stop");
  EXPECT_EQ(Reconcile(instance, old, 20), "");
  EXPECT_EQ(Reconcile(instance, {}, 30), "start g2 c1/do.0");
  EXPECT_EQ(Reconcile(instance, Process("c1/do.0", "g2", false), 40), "");
  EXPECT_EQ(Reconcile(instance, Process("c1/do.0", "g2"), 50), "c1/do.0 done");
  EXPECT_EQ(instance.record().phase, Phase::kDone);
  ASSERT_EQ(instance.Accept(kRestart), Instance::Verdict::kAccepted) << "the command came twice";
  EXPECT_EQ(Reconcile(instance, Process("c1/do.0", "g2"), 60), "");
}

// The agent dies after each durable step and before each action; what it sees then tells the rest.
TEST(Instance, AgentThatDiedGoesOnFromWhatItSees) {
  Instance accepted(Running(), {});
  ASSERT_EQ(accepted.Accept(kRestart), Instance::Verdict::kAccepted);
  const InstanceRecord record = accepted.record();
  const auto after = [&](const ProcessState& seen) {
    Instance instance(record, {});
    return Reconcile(instance, seen, 1000);
  };
  EXPECT_EQ(after(Process("", "g1")), "stop");
  ProcessState draining = Process("", "g1", false);
  draining.draining = true;
  EXPECT_EQ(after(draining), "") << "it has been told";
  EXPECT_EQ(after({}), "start g2 c1/do.0");
  EXPECT_EQ(after(Process("c1/do.0", "g2", false)), "") << "it has been started";
  EXPECT_EQ(after(Process("c1/do.0", "g2")), "c1/do.0 done");
}

TEST(Instance, OneThatIgnoresThePlannedStopIsKilledOnce) {
  InstanceLimits limits;
  limits.stop = milliseconds(1000);
  Instance instance(Running(), limits);
  ASSERT_EQ(instance.Accept(kRestart), Instance::Verdict::kAccepted);
  const ProcessState deaf = Process("", "g1");
  EXPECT_EQ(Reconcile(instance, deaf, 0), "stop");
  EXPECT_EQ(Reconcile(instance, deaf, 999), "");
  EXPECT_EQ(Reconcile(instance, deaf, 1000), "kill; killed: it ignored the planned stop");
  EXPECT_EQ(Reconcile(instance, deaf, 1100), "");
  EXPECT_EQ(Reconcile(instance, {}, 1200), "start g2 c1/do.0");
}

TEST(Instance, StepWhoseProcessNeverGetsReadyOrEndsAtOnceHasFailed) {
  InstanceLimits limits;
  limits.ready = milliseconds(1000);
  Instance slow(Running(), limits);
  ASSERT_EQ(slow.Accept(kRestart), Instance::Verdict::kAccepted);
  EXPECT_EQ(Reconcile(slow, {}, 0), "start g2 c1/do.0");
  EXPECT_EQ(Reconcile(slow, Process("c1/do.0", "g2", false), 999), "");
  EXPECT_EQ(Reconcile(slow, Process("c1/do.0", "g2", false), 1000), "c1/do.0 failed: not ready within 1 s");
  EXPECT_EQ(slow.record().phase, Phase::kFailed);

  Instance dying(Running(), limits);
  ASSERT_EQ(dying.Accept(kRestart), Instance::Verdict::kAccepted);
  int starts = 0;
  int now = 0;
  for (; now < 60'000 && dying.record().phase == Phase::kAccepted; now += 50) {
    if (Reconcile(dying, {}, now).starts_with("start")) ++starts;
  }
  EXPECT_EQ(starts, 3);
  EXPECT_EQ(dying.record().failure_reason, "it ended 3 times");
}

TEST(Instance, CrashLoopBacksOffAndIsHeldUntilAStep) {
  InstanceLimits limits;
  limits.first_backoff = milliseconds(100);
  Instance instance(Running(), limits);
  Reconcile(instance, Process("", "g1"), 0);
  std::vector<int> starts;
  std::string held;
  for (int now = 10; now < 60'000; now += 10) {
    const std::string told = Reconcile(instance, {}, now);
    if (told.starts_with("start g1")) starts.push_back(now);
    if (told.starts_with("crash loop")) held += told;
  }
  ASSERT_EQ(starts.size(), 4U) << "the first end, and four more";
  for (std::size_t i = 2; i < starts.size(); ++i) {
    EXPECT_GE(starts[i] - starts[i - 1], 2 * (starts[i - 1] - starts[i - 2]) - 40);
  }
  EXPECT_EQ(held, "crash loop: it ended 5 times; held, restart it once it is mended");
  EXPECT_TRUE(instance.held());
  ASSERT_EQ(instance.Accept(kRestart), Instance::Verdict::kAccepted);
  EXPECT_EQ(Reconcile(instance, {}, 60'000), "start g2 c1/do.0");
}

TEST(Instance, OneThatWasKilledOutsideIsStartedAgain) {
  Instance instance(Running(), {});
  Reconcile(instance, Process("", "g1"), 0);
  EXPECT_EQ(Reconcile(instance, {}, 10), "");
  EXPECT_EQ(Reconcile(instance, {}, 210), "start g1 ");
}

TEST(Instance, UndoTakesOverAndTheStepIsStaleThen) {
  const Step undo{"c1", StepKind::kRestart, true, "g1"};
  Instance halfway(Running(), {});
  ASSERT_EQ(halfway.Accept(kRestart), Instance::Verdict::kAccepted);
  EXPECT_EQ(Reconcile(halfway, {}, 0), "start g2 c1/do.0");
  ASSERT_EQ(halfway.Accept(undo), Instance::Verdict::kAccepted);
  EXPECT_EQ(halfway.Accept(kRestart), Instance::Verdict::kStale) << "reordered";
  EXPECT_EQ(Reconcile(halfway, Process("c1/do.0", "g2"), 10), "stop");
  EXPECT_EQ(Reconcile(halfway, {}, 20), "start g1 c1/undo.0");
  EXPECT_EQ(Reconcile(halfway, Process("c1/undo.0", "g1"), 30), "c1/undo.0 done");

  Instance untouched(Running(), {});
  ASSERT_EQ(untouched.Accept(undo), Instance::Verdict::kAccepted);
  EXPECT_EQ(Reconcile(untouched, Process("", "g1"), 0), "") << "nothing to undo";
  EXPECT_EQ(untouched.Accept(kRestart), Instance::Verdict::kStale) << "it was still on its way";
}

TEST(Instance, FailedStepIsTakenAgainFromALaterHolderOnly) {
  InstanceLimits limits;
  limits.ready = milliseconds(1000);
  Instance instance(Running(), limits);
  ASSERT_EQ(instance.Accept(kRestart), Instance::Verdict::kAccepted);
  EXPECT_EQ(Reconcile(instance, {}, 0), "start g2 c1/do.0");
  EXPECT_EQ(Reconcile(instance, Process("c1/do.0", "g2", false), 1000),
            "c1/do.0 failed: not ready within 1 s");
  ASSERT_EQ(instance.Accept(kRestart), Instance::Verdict::kAccepted);
  EXPECT_EQ(instance.record().phase, Phase::kFailed) << "the command came twice";
  Step again = kRestart;
  again.epoch = 1;
  ASSERT_EQ(instance.Accept(again), Instance::Verdict::kAccepted);
  EXPECT_EQ(Reconcile(instance, Process("c1/do.0", "g2", false), 2000), "stop");
  EXPECT_EQ(Reconcile(instance, {}, 2100), "start g2 c1/do.1");
  EXPECT_EQ(Reconcile(instance, Process("c1/do.1", "g2"), 2200), "c1/do.1 done");
  again.epoch = 2;
  ASSERT_EQ(instance.Accept(again), Instance::Verdict::kAccepted);
  EXPECT_EQ(Reconcile(instance, Process("c1/do.1", "g2"), 2300), "") << "it is done";
}

TEST(Instance, AnotherChangeWaitsForTheStep) {
  Instance instance(Running(), {});
  ASSERT_EQ(instance.Accept(kRestart), Instance::Verdict::kAccepted);
  EXPECT_EQ(instance.Accept({"c2", StepKind::kRestart, false, "g3", 0, "g2"}), Instance::Verdict::kBusy);
  EXPECT_EQ(instance.Accept({"c2", StepKind::kRestart, true, "g1"}), Instance::Verdict::kBusy);
  EXPECT_EQ(instance.record().generation, "g2");
}

TEST(Instance, StepFromAnotherStateIsNotTaken) {
  Instance instance(Running(), {});
  Step step = kRestart;
  step.from = "g0";
  const InstanceRecord before = instance.record();
  EXPECT_EQ(instance.Accept(step), Instance::Verdict::kGenerationMismatch);
  EXPECT_EQ(instance.record(), before);
}

TEST(Instance, StoppedOneStaysDown) {
  Instance instance(Running(), {});
  ASSERT_EQ(instance.Accept({"c1", StepKind::kStop, false, "g1", 0, "g1"}), Instance::Verdict::kAccepted);
  EXPECT_EQ(Reconcile(instance, Process("", "g1"), 0), "stop");
  EXPECT_EQ(Reconcile(instance, {}, 10), "c1/do.0 done");
  for (int now = 20; now < 100'000; now += 1000) EXPECT_EQ(Reconcile(instance, {}, now), "");
}

// ---- Plan ----

Plan PlanOf(std::size_t per_hall, std::size_t max_unavailable) {
  Plan plan{"c1", "ann", "a test", StepKind::kRestart, {}, {}};
  for (const char* hall : {"bole", "kality"}) {
    for (std::size_t i = 0; i < per_hall; ++i) {
      plan.targets.push_back({{hall, "i" + std::to_string(i)}, hall, "g1", "g2"});
    }
  }
  plan.policy.max_unavailable = max_unavailable;
  return plan;
}

TEST(Plan, CanaryFirstThenHallByHall) {
  using Order = std::vector<std::vector<std::size_t>>;
  EXPECT_EQ(Batches(PlanOf(4, 2)), (Order{{0}, {1, 2}, {3}, {4, 5}, {6, 7}}));
  Plan plan = PlanOf(3, 8);
  plan.policy.canary = false;
  EXPECT_EQ(Batches(plan), (Order{{0, 1, 2}, {3, 4, 5}}));
}

TEST(Plan, FaultsAreNamed) {
  EXPECT_EQ(ValidatePlan(PlanOf(2, 1)), std::nullopt);
  EXPECT_EQ(ValidatePlan(PlanOf(0, 1)), "no instance is named; name at least one");
  EXPECT_EQ(ValidatePlan(PlanOf(2, 0)), "max_unavailable is 0, so nothing can be changed; give 1 or more");
  Plan twice = PlanOf(1, 1);
  twice.targets.push_back(twice.targets.front());
  EXPECT_EQ(ValidatePlan(twice), "bole/i0 is named twice; take one of them out");
  Plan stop = PlanOf(1, 1);
  stop.kind = StepKind::kStop;
  EXPECT_EQ(ValidatePlan(stop),
            "kality/i0 is in another hall than the first; stop instances of one hall at a time");
}

// ---- Change ----

// Plays the agents of one change: what each instance tells is set by the test.
class Fleet {
 public:
  Fleet(const Plan& plan, Change::Direction direction = Change::Direction::kForward)
      : plan_(plan), change(plan, direction, 1, milliseconds(30'000), At(0)) {
    for (const Target& target : plan.targets) {
      Report& report = reports[target.name];
      report.running = report.ready = true;
      report.generation = target.from;
      report.requests = 1000;
    }
  }

  // Turns until the change has ended or `until`; steps end well at once, unless `on_step` does otherwise.
  void Run(int until) {
    for (; now_ <= until && !change.end(); now_ += 100) {
      std::vector<ChangeCommand> commands;
      change.Tick(At(now_), commands);
      for (const ChangeCommand& c : commands) {
        if (c.kind == ChangeCommand::Kind::kSay) {
          said += c.line + '\n';
          continue;
        }
        if (silent.contains(c.name.agent)) continue;
        change.OnLeaseRenewed(c.name.agent, At(now_));
        if (c.kind == ChangeCommand::Kind::kRenew) continue;
        Report& report = reports.at(c.name);
        if (c.kind == ChangeCommand::Kind::kTakeStep && report.step != c.step) {
          steps.push_back(c.name.agent + '/' + c.name.instance + (c.step.undo ? " undo" : ""));
          report.step = c.step;
          report.phase = Phase::kDone;
          report.generation = c.step.generation;
          if (on_step) on_step(c.name, report);
        }
        if (c.kind == ChangeCommand::Kind::kReport && on_report) on_report(c.name, report);
        change.OnReport(c.name, c.number, report, At(now_));
      }
    }
  }

  const Plan plan_;
  Change change;
  std::map<InstanceName, Report> reports;
  std::set<std::string> silent;
  std::function<void(const InstanceName&, Report&)> on_step;
  std::function<void(const InstanceName&, Report&)> on_report;
  std::vector<std::string> steps;
  std::string said;

 private:
  int now_ = 0;
};

using Names = std::vector<std::string>;

TEST(Change, GoesThroughAllBatchesInOrder) {
  Fleet fleet(PlanOf(2, 1));
  fleet.Run(60'000);
  EXPECT_EQ(fleet.change.end(), ChangeEnd::kCompleted) << fleet.said;
  EXPECT_EQ(fleet.steps, (Names{"bole/i0", "bole/i1", "kality/i0", "kality/i1"}));
}

TEST(Change, FailedStepHoldsOrTurnsBack) {
  for (const OnFailure policy : {OnFailure::kHold, OnFailure::kRollBack}) {
    Plan plan = PlanOf(3, 1);
    plan.policy.on_failure = policy;
    Fleet fleet(plan);
    fleet.on_step = [](const InstanceName& name, Report& report) {
      report.ready = true;
      if (name.instance != "i1" || report.step.undo) return;
      report.phase = Phase::kFailed;
      report.failure_reason = "not ready within 10 s";
      report.ready = false;
    };
    fleet.Run(120'000);
    EXPECT_EQ(fleet.change.reason(), "bole/i1: not ready within 10 s");
    if (policy == OnFailure::kHold) {
      EXPECT_EQ(fleet.change.end(), ChangeEnd::kHeld);
      EXPECT_EQ(fleet.steps, (Names{"bole/i0", "bole/i1"}));
    } else {
      EXPECT_EQ(fleet.change.end(), ChangeEnd::kRolledBack);
      EXPECT_EQ(fleet.steps, (Names{"bole/i0", "bole/i1", "bole/i1 undo", "bole/i0 undo"}));
    }
  }
}

TEST(Change, GateStopsAtMoreFailuresThanBefore) {
  Fleet fleet(PlanOf(2, 1));
  fleet.on_report = [](const InstanceName&, Report& report) {
    report.requests += 100;
    report.failed_requests += report.generation == "g2" ? 20 : 1;
  };
  fleet.Run(60'000);
  EXPECT_EQ(fleet.change.end(), ChangeEnd::kHeld);
  EXPECT_EQ(fleet.steps, Names{"bole/i0"});
  EXPECT_NE(fleet.change.reason().find("bole/i0 refuses or fails 20% of its requests, before"),
            std::string::npos)
      << fleet.change.reason();
}

TEST(Change, DoesNotBeginWhileAnInstanceElsewhereIsDown) {
  Plan plan = PlanOf(2, 1);
  plan.policy.step_timeout = milliseconds(3000);
  Fleet fleet(plan);
  fleet.reports[{"kality", "i1"}].ready = false;
  fleet.Run(60'000);
  EXPECT_EQ(fleet.change.end(), ChangeEnd::kHeld);
  EXPECT_EQ(fleet.change.reason(), "kality/i1 is not available");
  EXPECT_EQ(fleet.steps, Names{});
}

TEST(Change, WaitsForOneThatIsDownForAMoment) {
  Fleet fleet(PlanOf(2, 1));
  fleet.reports[{"kality", "i1"}].ready = false;
  fleet.Run(1000);
  EXPECT_EQ(fleet.steps, Names{});
  fleet.reports[{"kality", "i1"}].ready = true;
  fleet.Run(60'000);
  EXPECT_EQ(fleet.change.end(), ChangeEnd::kCompleted);
}

TEST(Change, HaltsWhenAnAgentIsOutOfReach) {
  Fleet fleet(PlanOf(2, 1));
  fleet.on_step = [&](const InstanceName&, Report&) { fleet.silent.insert("kality"); };
  fleet.Run(60'000);
  EXPECT_EQ(fleet.change.end(), ChangeEnd::kHeld);
  EXPECT_EQ(fleet.change.reason(), "kality can't be reached; its instances finish what they have taken");
  EXPECT_EQ(fleet.steps, Names{"bole/i0"});
}

// Claiming forty agents one by one takes longer than an agent may be silent.
TEST(Change, TimeWithoutAWordCountsFromItsStart) {
  Change change(PlanOf(1, 1), Change::Direction::kForward, 1, milliseconds(60'000), At(0));
  std::vector<ChangeCommand> commands;
  change.Tick(At(9000), commands);
  EXPECT_FALSE(change.end()) << change.reason();
  change.Tick(At(9000 + 4999), commands);
  EXPECT_FALSE(change.end()) << change.reason();
  change.Tick(At(9000 + 5000), commands);
  EXPECT_EQ(change.end(), ChangeEnd::kHeld);
}

TEST(Change, CommandsNothingOnceItIsFencedOrAborted) {
  Fleet fenced(PlanOf(2, 1));
  fenced.Run(200);
  const std::size_t before = fenced.steps.size();
  fenced.change.OnFenced("bole", "bob");
  fenced.Run(60'000);
  EXPECT_EQ(fenced.change.end(), ChangeEnd::kHeld);
  EXPECT_EQ(fenced.change.reason(), "lost the lease at bole to bob");
  EXPECT_EQ(fenced.steps.size(), before);

  Fleet aborted(PlanOf(2, 1));
  aborted.Run(200);
  aborted.change.Abort();
  aborted.Run(60'000);
  EXPECT_EQ(aborted.change.end(), ChangeEnd::kAborted);
}

TEST(Change, ResumedOneGoesOnWhereTheOtherStopped) {
  Fleet fleet(PlanOf(2, 1));
  for (const char* done : {"i0", "i1"}) {
    Report& report = fleet.reports[{"bole", done}];
    report.step = {"c1", StepKind::kRestart, false, "g2"};
    report.phase = Phase::kDone;
    report.generation = "g2";
  }
  fleet.Run(60'000);
  EXPECT_EQ(fleet.change.end(), ChangeEnd::kCompleted);
  EXPECT_EQ(fleet.steps, (Names{"kality/i0", "kality/i1"}));
}

TEST(Change, ResumedOneTriesAFailedStepAgain) {
  Fleet fleet(PlanOf(1, 1));
  Report& report = fleet.reports[{"bole", "i0"}];
  report.step = {"c1", StepKind::kRestart, false, "g2", 0};
  report.phase = Phase::kFailed;
  report.ready = false;
  fleet.on_step = [](const InstanceName&, Report& r) { r.ready = true; };
  fleet.Run(60'000);
  EXPECT_EQ(fleet.change.end(), ChangeEnd::kCompleted) << fleet.said;
  EXPECT_EQ(fleet.steps, (Names{"bole/i0", "kality/i0"}));
}

// An earlier holder had come to the second hall, and what this one begins with fails.
TEST(Change, ResumedOneThatTurnsBackUndoesWhatIsAhead) {
  Plan plan = PlanOf(2, 1);
  plan.policy.on_failure = OnFailure::kRollBack;
  Fleet fleet(plan);
  for (const char* hall : {"bole", "kality"}) {
    Report& report = fleet.reports[{hall, "i0"}];
    report.step = {"c1", StepKind::kRestart, false, "g2", 0, "g1"};
    report.phase = Phase::kDone;
    report.generation = "g2";
  }
  fleet.on_step = [](const InstanceName&, Report& report) {
    report.ready = report.step.undo;
    report.phase = report.step.undo ? Phase::kDone : Phase::kFailed;
  };
  fleet.Run(120'000);
  EXPECT_EQ(fleet.change.end(), ChangeEnd::kRolledBack) << fleet.said;
  EXPECT_EQ(fleet.steps, (Names{"bole/i1", "bole/i1 undo", "kality/i0 undo", "bole/i0 undo"}));
}

TEST(Change, LateAndRepeatedNewsChangeNothing) {
  Fleet fleet(PlanOf(1, 1));
  Report old;
  fleet.Run(1000);
  ASSERT_FALSE(fleet.steps.empty());
  // Of before everything: its number is older than what has been heard.
  for (int i = 0; i < 5; ++i) fleet.change.OnReport({"bole", "i0"}, 1, old, At(0));
  fleet.Run(60'000);
  EXPECT_EQ(fleet.change.end(), ChangeEnd::kCompleted);
  EXPECT_EQ(fleet.steps, (Names{"bole/i0", "kality/i0"}));
}

// ---- Histories ----

// HISTORIES sets how many, HISTORIES_FROM the first seed (1). Each must reach what it is meant to: see the
// sums.
TEST(Histories, KeepTheRulesAndComeToAnEnd) {
  const char* set = std::getenv("HISTORIES");
  const std::uint64_t count = set == nullptr ? 1000 : std::strtoull(set, nullptr, 10);
  const char* from = std::getenv("HISTORIES_FROM");
  const std::uint64_t begin = from == nullptr ? 1 : std::strtoull(from, nullptr, 10);
  testing::History sums;
  std::map<std::string, int> ends;
  for (std::uint64_t seed = begin; seed < begin + count; ++seed) {
    const testing::History history = testing::Play(seed);
    ASSERT_EQ(history.violation, "") << "seed " << seed;
    ++ends[history.end];
    sums.agent_deaths += history.agent_deaths;
    sums.tool_deaths += history.tool_deaths;
    sums.refused_claims += history.refused_claims;
    sums.fenced += history.fenced;
    sums.undone += history.undone;
    sums.aborted += history.aborted;
    sums.saves_failed += history.saves_failed;
  }
  std::cout << "agents' deaths " << sums.agent_deaths << ", tools' " << sums.tool_deaths
            << ", claims refused " << sums.refused_claims << ", commands fenced " << sums.fenced
            << ", changes undone " << sums.undone << ", aborted " << sums.aborted << ", saves failed "
            << sums.saves_failed;
  for (const auto& [end, times] : ends) std::cout << ", " << (end.empty() ? "none" : end) << ' ' << times;
  std::cout << std::endl;
  for (const int reached :
       {sums.aborted, sums.agent_deaths, sums.tool_deaths, sums.refused_claims, sums.fenced, sums.undone,
        sums.saves_failed, ends["completed"], ends["rolled back"]}) {
    EXPECT_GT(reached, 0);
  }
}

// ---- Crash points ----

constexpr std::uint64_t kScriptSeed = 7;

// Agents' deaths before and after every durable step and every action of a change, one at a time. The
// operator's tool lives on where it can, and a second one finishes what it leaves.
TEST(CrashPoints, AnAgentThatDiesAtAnyOfThemLeavesAKnownState) {
  const testing::History calm = testing::Play(kScriptSeed, testing::Script{});
  ASSERT_EQ(calm.violation, "");
  ASSERT_EQ(calm.end, "completed");
  // Of eight instances: taken, stopped, started, done; of four agents: claimed, opened, closed. Each before
  // and after.
  ASSERT_GE(calm.points, 2 * (8 * 4 + 4 * 3));
  std::map<std::string, int> ends;
  for (const Change::Direction then : {Change::Direction::kForward, Change::Direction::kUndo}) {
    for (int point = 0; point < calm.points; ++point) {
      const testing::History history = testing::Play(kScriptSeed, {{point}, -1, then});
      ASSERT_EQ(history.violation, "") << "point " << point;
      ASSERT_EQ(history.agent_deaths, 1) << "point " << point;
      EXPECT_EQ(history.started_again, 0) << "point " << point;
      ++ends[history.end];
    }
  }
  EXPECT_GT(ends["completed"], 0);
  EXPECT_GT(ends["rolled back"], 0);
}

// Two deaths: every eleventh pair here; CRASH_PAIRS=1 plays them all.
TEST(CrashPoints, NeitherDoesASecondDeathOnTheWayBack) {
  const char* set = std::getenv("CRASH_PAIRS");
  const int stride = set == nullptr ? 11 : std::max(1, std::atoi(set));
  const int points = testing::Play(kScriptSeed, testing::Script{}).points;
  int pair = 0;
  int both = 0;
  for (int first = 0; first < points; ++first) {
    for (int second = first + 1; second < points + 8; ++second) {
      if (++pair % stride != 0) continue;
      const Change::Direction then = pair % 2 == 0 ? Change::Direction::kForward : Change::Direction::kUndo;
      const testing::History history = testing::Play(kScriptSeed, {{first, second}, -1, then});
      ASSERT_EQ(history.violation, "") << "points " << first << " and " << second;
      if (history.agent_deaths == 2) ++both;
    }
  }
  EXPECT_GT(both, pair / stride / 2);
}

TEST(CrashPoints, AToolThatDiesAfterAnyCommandIsFollowedByAnother) {
  const testing::History calm = testing::Play(kScriptSeed, testing::Script{});
  ASSERT_GT(calm.commands, 40);
  std::map<std::string, int> ends;
  for (int command = 0; command < calm.commands; ++command) {
    const Change::Direction then = command % 2 == 0 ? Change::Direction::kForward : Change::Direction::kUndo;
    const testing::History history = testing::Play(kScriptSeed, {{}, command, then});
    ASSERT_EQ(history.violation, "") << "command " << command;
    ASSERT_EQ(history.tool_deaths, 1) << "command " << command;
    EXPECT_EQ(history.started_again, 0) << "command " << command;
    ++ends[history.end];
  }
  EXPECT_GT(ends["completed"], 0);
  EXPECT_GT(ends["rolled back"], 0);
}

}  // namespace
}  // namespace mothrack::rollout
