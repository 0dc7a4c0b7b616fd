// A change from its first batch to its end, against fake agents.
#include "rollout/change.h"

#include <chrono>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "gtest/gtest.h"
#include "rollout/rollout_test_support.h"

namespace mothrack::rollout {
namespace {

using std::chrono::milliseconds;
using testing::At;
using testing::TwoHallPlan;

// The fake agents of one change. The test sets what each instance reports.
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

  // Ticks until the change has ended or the time is `until` (ms). Steps succeed at once unless `on_step`
  // changes the report.
  void Run(int until) {
    for (; now_ <= until && !change.end(); now_ += 100) {
      std::vector<ChangeCommand> commands;
      change.Tick(At(now_), commands);
      for (const ChangeCommand& command : commands) {
        if (command.kind == ChangeCommand::Kind::kPrint) {
          messages += command.line + '\n';
          continue;
        }
        if (unresponsive.contains(command.name.agent)) continue;
        change.OnLeaseRenewed(command.name.agent, At(now_));
        if (command.kind == ChangeCommand::Kind::kRenew) continue;
        Report& report = reports.at(command.name);
        if (command.kind == ChangeCommand::Kind::kSendStep && report.step != command.step) {
          steps.push_back(command.name.agent + '/' + command.name.instance +
                          (command.step.undo ? " undo" : ""));
          report.step = command.step;
          report.phase = Phase::kDone;
          report.generation = command.step.generation;
          if (on_step) on_step(command.name, report);
        }
        if (command.kind == ChangeCommand::Kind::kReport && on_report) on_report(command.name, report);
        change.OnReport(command.name, command.number, report, At(now_));
      }
    }
  }

  const Plan plan_;
  Change change;
  std::map<InstanceName, Report> reports;
  std::set<std::string> unresponsive;
  std::function<void(const InstanceName&, Report&)> on_step;
  std::function<void(const InstanceName&, Report&)> on_report;
  std::vector<std::string> steps;
  std::string messages;

 private:
  int now_ = 0;
};

using Names = std::vector<std::string>;

TEST(Change, RunsAllBatchesInOrder) {
  Fleet fleet(TwoHallPlan(2, 1));
  fleet.Run(60'000);
  EXPECT_EQ(fleet.change.end(), ChangeEnd::kCompleted) << fleet.messages;
  EXPECT_EQ(fleet.steps, (Names{"bole/i0", "bole/i1", "kality/i0", "kality/i1"}));
}

TEST(Change, FailedStepHoldsOrRollsBackByPolicy) {
  for (const OnFailure policy : {OnFailure::kHold, OnFailure::kRollBack}) {
    Plan plan = TwoHallPlan(3, 1);
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

TEST(Change, GateHoldsWhenFailureShareExceedsBaseline) {
  Fleet fleet(TwoHallPlan(2, 1));
  fleet.on_report = [](const InstanceName&, Report& report) {
    report.requests += 100;
    report.failed_requests += report.generation == "g2" ? 20 : 1;
  };
  fleet.Run(60'000);
  EXPECT_EQ(fleet.change.end(), ChangeEnd::kHeld);
  EXPECT_EQ(fleet.steps, Names{"bole/i0"});
  EXPECT_NE(fleet.change.reason().find("bole/i0 rejects or fails 20% of its requests, up from"),
            std::string::npos)
      << fleet.change.reason();
}

TEST(Change, HeldWhenAnInstanceOutsideTheBatchStaysUnavailable) {
  Plan plan = TwoHallPlan(2, 1);
  plan.policy.step_timeout = milliseconds(3000);
  Fleet fleet(plan);
  fleet.reports[{"kality", "i1"}].ready = false;
  fleet.Run(60'000);
  EXPECT_EQ(fleet.change.end(), ChangeEnd::kHeld);
  EXPECT_EQ(fleet.change.reason(), "kality/i1 is not available");
  EXPECT_EQ(fleet.steps, Names{});
}

TEST(Change, WaitsForAnInstanceThatIsBrieflyUnavailable) {
  Fleet fleet(TwoHallPlan(2, 1));
  fleet.reports[{"kality", "i1"}].ready = false;
  fleet.Run(1000);
  EXPECT_EQ(fleet.steps, Names{});
  fleet.reports[{"kality", "i1"}].ready = true;
  fleet.Run(60'000);
  EXPECT_EQ(fleet.change.end(), ChangeEnd::kCompleted);
}

TEST(Change, HeldWhenAnAgentIsUnreachable) {
  Fleet fleet(TwoHallPlan(2, 1));
  fleet.on_step = [&](const InstanceName&, Report&) { fleet.unresponsive.insert("kality"); };
  fleet.Run(60'000);
  EXPECT_EQ(fleet.change.end(), ChangeEnd::kHeld);
  EXPECT_EQ(fleet.change.reason(),
            "kality can't be reached; its instances finish the steps that they have accepted");
  EXPECT_EQ(fleet.steps, Names{"bole/i0"});
}

// Claiming forty agents one by one takes longer than unreachable_timeout, so that time must not count.
TEST(Change, UnreachableTimeoutCountsFromTheFirstTick) {
  Change change(TwoHallPlan(1, 1), Change::Direction::kForward, 1, milliseconds(60'000), At(0));
  std::vector<ChangeCommand> commands;
  change.Tick(At(9000), commands);
  EXPECT_FALSE(change.end()) << change.reason();
  change.Tick(At(9000 + 4999), commands);
  EXPECT_FALSE(change.end()) << change.reason();
  change.Tick(At(9000 + 5000), commands);
  EXPECT_EQ(change.end(), ChangeEnd::kHeld);
}

TEST(Change, SendsNoStepAfterFencingOrAbort) {
  Fleet fenced(TwoHallPlan(2, 1));
  fenced.Run(200);
  const std::size_t before = fenced.steps.size();
  fenced.change.OnFenced("bole", "bob");
  fenced.Run(60'000);
  EXPECT_EQ(fenced.change.end(), ChangeEnd::kHeld);
  EXPECT_EQ(fenced.change.reason(), "lost the lease at bole to bob");
  EXPECT_EQ(fenced.steps.size(), before);

  Fleet aborted(TwoHallPlan(2, 1));
  aborted.Run(200);
  aborted.change.Abort();
  aborted.Run(60'000);
  EXPECT_EQ(aborted.change.end(), ChangeEnd::kAborted);
}

TEST(Change, ResumedChangeSkipsStepsThatAreDone) {
  Fleet fleet(TwoHallPlan(2, 1));
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

TEST(Change, ResumedChangeRetriesAFailedStep) {
  Fleet fleet(TwoHallPlan(1, 1));
  Report& report = fleet.reports[{"bole", "i0"}];
  report.step = {"c1", StepKind::kRestart, false, "g2", 0};
  report.phase = Phase::kFailed;
  report.ready = false;
  fleet.on_step = [](const InstanceName&, Report& failed) { failed.ready = true; };
  fleet.Run(60'000);
  EXPECT_EQ(fleet.change.end(), ChangeEnd::kCompleted) << fleet.messages;
  EXPECT_EQ(fleet.steps, (Names{"bole/i0", "kality/i0"}));
}

// An earlier holder had reached the second hall, and the first step of the resumed change fails.
TEST(Change, ResumedChangeRollsBackLaterBatchesToo) {
  Plan plan = TwoHallPlan(2, 1);
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
  EXPECT_EQ(fleet.change.end(), ChangeEnd::kRolledBack) << fleet.messages;
  EXPECT_EQ(fleet.steps, (Names{"bole/i1", "bole/i1 undo", "kality/i0 undo", "bole/i0 undo"}));
}

TEST(Change, OutdatedReportsAreIgnored) {
  Fleet fleet(TwoHallPlan(1, 1));
  Report old;
  fleet.Run(1000);
  ASSERT_FALSE(fleet.steps.empty());
  // Number 1 is below that of every report received since.
  for (int i = 0; i < 5; ++i) fleet.change.OnReport({"bole", "i0"}, 1, old, At(0));
  fleet.Run(60'000);
  EXPECT_EQ(fleet.change.end(), ChangeEnd::kCompleted);
  EXPECT_EQ(fleet.steps, (Names{"bole/i0", "kality/i0"}));
}

}  // namespace
}  // namespace mothrack::rollout
