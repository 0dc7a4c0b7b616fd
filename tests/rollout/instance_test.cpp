// An agent's supervision of one instance, and the execution of its steps.
#include "rollout/instance.h"

#include <chrono>
#include <string>
#include <vector>

#include "gtest/gtest.h"
#include "rollout/rollout_test_support.h"

namespace mothrack::rollout {
namespace {

using std::chrono::milliseconds;
using testing::At;

std::string Describe(const std::vector<Action>& actions) {
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
      case Action::Kind::kLog:
        text += action.line;
        break;
    }
  }
  return text;
}

std::string Reconcile(Instance& instance, const ProcessState& seen, int ms) {
  std::vector<Action> actions;
  instance.Reconcile(seen, At(ms), actions);
  return Describe(actions);
}

ProcessState ProcessWith(const std::string& token, const std::string& generation, bool ready = true) {
  return {true, token, generation, ready, false};
}

const Step kRestart{"c1", StepKind::kRestart, false, "g2", 0, "g1"};

InstanceRecord RunningRecord() {
  InstanceRecord record;
  record.generation = "g1";
  return record;
}

TEST(Instance, RestartIsOneStopAndOneStart) {
  Instance instance(RunningRecord(), {});
  const ProcessState old = ProcessWith("", "g1");
  EXPECT_EQ(Reconcile(instance, old, 0), "");
  ASSERT_EQ(instance.Accept(kRestart), Instance::Verdict::kAccepted);
  EXPECT_EQ(Reconcile(instance, old, 10), "stop");
  EXPECT_EQ(Reconcile(instance, old, 20), "");
  EXPECT_EQ(Reconcile(instance, {}, 30), "start g2 c1/do.0");
  EXPECT_EQ(Reconcile(instance, ProcessWith("c1/do.0", "g2", false), 40), "");
  EXPECT_EQ(Reconcile(instance, ProcessWith("c1/do.0", "g2"), 50), "c1/do.0 done");
  EXPECT_EQ(instance.record().phase, Phase::kDone);
  ASSERT_EQ(instance.Accept(kRestart), Instance::Verdict::kAccepted) << "a repeated command";
  EXPECT_EQ(Reconcile(instance, ProcessWith("c1/do.0", "g2"), 60), "");
}

// The agent crashes after accepting a step. The state of the process that the next agent finds determines
// what remains to be done.
TEST(Instance, RestartedAgentContinuesTheStepFromTheProcessState) {
  Instance accepted(RunningRecord(), {});
  ASSERT_EQ(accepted.Accept(kRestart), Instance::Verdict::kAccepted);
  const InstanceRecord record = accepted.record();
  const auto reconcile_after_restart = [&](const ProcessState& seen) {
    Instance instance(record, {});
    return Reconcile(instance, seen, 1000);
  };
  EXPECT_EQ(reconcile_after_restart(ProcessWith("", "g1")), "stop");
  ProcessState draining = ProcessWith("", "g1", false);
  draining.draining = true;
  EXPECT_EQ(reconcile_after_restart(draining), "") << "it is draining already";
  EXPECT_EQ(reconcile_after_restart({}), "start g2 c1/do.0");
  EXPECT_EQ(reconcile_after_restart(ProcessWith("c1/do.0", "g2", false)), "") << "it has been started";
  EXPECT_EQ(reconcile_after_restart(ProcessWith("c1/do.0", "g2")), "c1/do.0 done");
}

TEST(Instance, ProcessThatIgnoresThePlannedStopIsKilledOnce) {
  InstanceLimits limits;
  limits.stop_timeout = milliseconds(1000);
  Instance instance(RunningRecord(), limits);
  ASSERT_EQ(instance.Accept(kRestart), Instance::Verdict::kAccepted);
  const ProcessState ignores_stop = ProcessWith("", "g1");
  EXPECT_EQ(Reconcile(instance, ignores_stop, 0), "stop");
  EXPECT_EQ(Reconcile(instance, ignores_stop, 999), "");
  EXPECT_EQ(Reconcile(instance, ignores_stop, 1000), "kill; killed: the process ignored the planned stop");
  EXPECT_EQ(Reconcile(instance, ignores_stop, 1100), "");
  EXPECT_EQ(Reconcile(instance, {}, 1200), "start g2 c1/do.0");
}

TEST(Instance, StepFailsWhenItsProcessDoesNotBecomeReadyOrKeepsExiting) {
  InstanceLimits limits;
  limits.ready_timeout = milliseconds(1000);
  Instance slow(RunningRecord(), limits);
  ASSERT_EQ(slow.Accept(kRestart), Instance::Verdict::kAccepted);
  EXPECT_EQ(Reconcile(slow, {}, 0), "start g2 c1/do.0");
  EXPECT_EQ(Reconcile(slow, ProcessWith("c1/do.0", "g2", false), 999), "");
  EXPECT_EQ(Reconcile(slow, ProcessWith("c1/do.0", "g2", false), 1000),
            "c1/do.0 failed: not ready within 1 s");
  EXPECT_EQ(slow.record().phase, Phase::kFailed);

  Instance crashing(RunningRecord(), limits);
  ASSERT_EQ(crashing.Accept(kRestart), Instance::Verdict::kAccepted);
  int starts = 0;
  int now = 0;
  for (; now < 60'000 && crashing.record().phase == Phase::kAccepted; now += 50) {
    if (Reconcile(crashing, {}, now).starts_with("start")) ++starts;
  }
  EXPECT_EQ(starts, 3);
  EXPECT_EQ(crashing.record().failure_reason, "its process exited 3 times");
}

TEST(Instance, CrashLoopBacksOffAndIsHeldUntilAStep) {
  InstanceLimits limits;
  limits.first_backoff = milliseconds(100);
  Instance instance(RunningRecord(), limits);
  Reconcile(instance, ProcessWith("", "g1"), 0);
  std::vector<int> starts;
  std::string held;
  for (int now = 10; now < 60'000; now += 10) {
    const std::string actions = Reconcile(instance, {}, now);
    if (actions.starts_with("start g1")) starts.push_back(now);
    if (actions.starts_with("crash loop")) held += actions;
  }
  ASSERT_EQ(starts.size(), 4U) << "one restart after each of the first four exits";
  for (std::size_t i = 2; i < starts.size(); ++i) {
    EXPECT_GE(starts[i] - starts[i - 1], 2 * (starts[i - 1] - starts[i - 2]) - 40);
  }
  EXPECT_EQ(held, "crash loop: the process exited 5 times; held, restart it once the cause is fixed");
  EXPECT_TRUE(instance.held());
  ASSERT_EQ(instance.Accept(kRestart), Instance::Verdict::kAccepted);
  EXPECT_EQ(Reconcile(instance, {}, 60'000), "start g2 c1/do.0");
}

TEST(Instance, KilledProcessIsRestarted) {
  Instance instance(RunningRecord(), {});
  Reconcile(instance, ProcessWith("", "g1"), 0);
  EXPECT_EQ(Reconcile(instance, {}, 10), "");
  EXPECT_EQ(Reconcile(instance, {}, 210), "start g1 ");
}

TEST(Instance, UndoSupersedesTheStepAndMakesItStale) {
  const Step undo{"c1", StepKind::kRestart, true, "g1"};
  Instance halfway(RunningRecord(), {});
  ASSERT_EQ(halfway.Accept(kRestart), Instance::Verdict::kAccepted);
  EXPECT_EQ(Reconcile(halfway, {}, 0), "start g2 c1/do.0");
  ASSERT_EQ(halfway.Accept(undo), Instance::Verdict::kAccepted);
  EXPECT_EQ(halfway.Accept(kRestart), Instance::Verdict::kStale) << "reordered";
  EXPECT_EQ(Reconcile(halfway, ProcessWith("c1/do.0", "g2"), 10), "stop");
  EXPECT_EQ(Reconcile(halfway, {}, 20), "start g1 c1/undo.0");
  EXPECT_EQ(Reconcile(halfway, ProcessWith("c1/undo.0", "g1"), 30), "c1/undo.0 done");

  Instance untouched(RunningRecord(), {});
  ASSERT_EQ(untouched.Accept(undo), Instance::Verdict::kAccepted);
  EXPECT_EQ(Reconcile(untouched, ProcessWith("", "g1"), 0), "") << "nothing to undo";
  EXPECT_EQ(untouched.Accept(kRestart), Instance::Verdict::kStale) << "it was still in flight";
}

TEST(Instance, FailedStepIsAcceptedAgainFromALaterHolderOnly) {
  InstanceLimits limits;
  limits.ready_timeout = milliseconds(1000);
  Instance instance(RunningRecord(), limits);
  ASSERT_EQ(instance.Accept(kRestart), Instance::Verdict::kAccepted);
  EXPECT_EQ(Reconcile(instance, {}, 0), "start g2 c1/do.0");
  EXPECT_EQ(Reconcile(instance, ProcessWith("c1/do.0", "g2", false), 1000),
            "c1/do.0 failed: not ready within 1 s");
  ASSERT_EQ(instance.Accept(kRestart), Instance::Verdict::kAccepted);
  EXPECT_EQ(instance.record().phase, Phase::kFailed) << "a repeated command";
  Step again = kRestart;
  again.epoch = 1;
  ASSERT_EQ(instance.Accept(again), Instance::Verdict::kAccepted);
  EXPECT_EQ(Reconcile(instance, ProcessWith("c1/do.0", "g2", false), 2000), "stop");
  EXPECT_EQ(Reconcile(instance, {}, 2100), "start g2 c1/do.1");
  EXPECT_EQ(Reconcile(instance, ProcessWith("c1/do.1", "g2"), 2200), "c1/do.1 done");
  again.epoch = 2;
  ASSERT_EQ(instance.Accept(again), Instance::Verdict::kAccepted);
  EXPECT_EQ(Reconcile(instance, ProcessWith("c1/do.1", "g2"), 2300), "") << "it is already done";
}

TEST(Instance, StepOfAnotherChangeIsBusyUntilTheFirstEnds) {
  Instance instance(RunningRecord(), {});
  ASSERT_EQ(instance.Accept(kRestart), Instance::Verdict::kAccepted);
  EXPECT_EQ(instance.Accept({"c2", StepKind::kRestart, false, "g3", 0, "g2"}), Instance::Verdict::kBusy);
  EXPECT_EQ(instance.Accept({"c2", StepKind::kRestart, true, "g1"}), Instance::Verdict::kBusy);
  EXPECT_EQ(instance.record().generation, "g2");
}

TEST(Instance, StepFromAnotherGenerationIsRefused) {
  Instance instance(RunningRecord(), {});
  Step step = kRestart;
  step.from = "g0";
  const InstanceRecord before = instance.record();
  EXPECT_EQ(instance.Accept(step), Instance::Verdict::kGenerationMismatch);
  EXPECT_EQ(instance.record(), before);
}

TEST(Instance, StoppedInstanceStaysDown) {
  Instance instance(RunningRecord(), {});
  ASSERT_EQ(instance.Accept({"c1", StepKind::kStop, false, "g1", 0, "g1"}), Instance::Verdict::kAccepted);
  EXPECT_EQ(Reconcile(instance, ProcessWith("", "g1"), 0), "stop");
  EXPECT_EQ(Reconcile(instance, {}, 10), "c1/do.0 done");
  for (int now = 20; now < 100'000; now += 1000) EXPECT_EQ(Reconcile(instance, {}, now), "");
}

}  // namespace
}  // namespace mothrack::rollout
