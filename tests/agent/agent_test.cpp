// An agent's answers to commands: the cause of each refusal, and that a failed save has no effect.
#include "agent/agent.h"

#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "gtest/gtest.h"

namespace mothrack::agent {
namespace {

using rollout::Holder;
using rollout::Phase;
using rollout::Plan;
using rollout::Step;
using rollout::StepKind;
using rollout::TimePoint;
using Verdict = rollout::Lessor::Verdict;

// Stores nothing, and fails if `failure` is set.
class FakeStore : public Store {
 public:
  std::optional<StoreError> SaveLease(const rollout::LeaseState&, const Plan*, const Event&) override {
    return failure;
  }
  std::optional<StoreError> SaveRecord(const std::string&, const rollout::InstanceRecord&,
                                       const Event&) override {
    return failure;
  }
  void Note(const Event&) override {}
  std::vector<Event> Events(std::size_t) const override { return {}; }
  std::optional<StoreError> error() const override { return failure; }

  std::optional<StoreError> failure;
};

// One process, which runs and is ready; generations g1 and g2 are stored.
class FakeMachine : public Machine {
 public:
  rollout::ProcessState Inspect(const std::string&) override { return {true, "", "g1", true, false}; }
  void Execute(const std::string&, const rollout::Action&) override {}
  RequestCounts RequestsOf(const std::string&) override { return {}; }
  bool HasGeneration(const std::string& generation) const override {
    return generation == "g1" || generation == "g2";
  }
};

const TimePoint kNow{};

class AgentTest : public ::testing::Test {
 protected:
  // Change c1 is open under epoch 1.
  void OpenChange() {
    ASSERT_EQ(agent_.Acquire(1, holder_, kNow, 0).verdict, Verdict::kGranted);
    ASSERT_EQ(
        agent_.Open(1, holder_, Plan{"c1", "ann", "a test", StepKind::kRestart, {}, {}}, kNow, 0).verdict,
        Verdict::kGranted);
  }
  Agent::Answer Accept(const std::string& instance, const Step& step) {
    return agent_.AcceptStep(instance, step, 1, "ann.1", kNow, 0);
  }

  FakeStore store_;
  FakeMachine machine_;
  Agent agent_{store_, machine_, {}, {{"i0", "g1"}}, {}, std::chrono::seconds(10), kNow};
  const Holder holder_{"c1", "ann", "a test", 0, "ann.1"};
  const Step step_{"c1", StepKind::kRestart, false, "g2", 1, "g1"};
};

TEST_F(AgentTest, AcceptedStepIsReportedWithoutRefusal) {
  OpenChange();
  const Agent::Answer answer = Accept("i0", step_);
  EXPECT_EQ(answer.refusal, Refusal::kNone);
  EXPECT_EQ(answer.refusal_text, "");
  ASSERT_TRUE(answer.report);
  EXPECT_EQ(answer.report->phase, Phase::kAccepted);
  EXPECT_EQ(agent_.GenerationOf("i0"), "g2");
}

TEST_F(AgentTest, RefusalsNameTheirCause) {
  EXPECT_EQ(agent_.Open(1, holder_, Plan{"c2", "ann", "a test", StepKind::kRestart, {}, {}}, kNow, 0).refusal,
            Refusal::kPlanOfOtherChange);
  OpenChange();
  EXPECT_EQ(Accept("i7", step_).refusal, Refusal::kUnknownInstance);
  Step step = step_;
  step.change = "c2";
  EXPECT_EQ(Accept("i0", step).refusal, Refusal::kStepOfOtherChange);
  step = step_;
  step.epoch = 2;
  EXPECT_EQ(Accept("i0", step).refusal, Refusal::kStepOfOtherChange);
  step = step_;
  step.from = "g0";
  EXPECT_EQ(Accept("i0", step).refusal, Refusal::kGenerationMismatch);
  step = step_;
  step.generation = "g3";
  const Agent::Answer unknown = Accept("i0", step);
  EXPECT_EQ(unknown.refusal, Refusal::kUnknownGeneration);
  EXPECT_EQ(unknown.refusal_text, "its agent has not stored generation g3");
  EXPECT_EQ(agent_.GenerationOf("i0"), "g1") << "a refused step has no effect";
}

TEST_F(AgentTest, StepOfAnotherChangeIsRefusedAsBusy) {
  rollout::InstanceRecord record;
  record.generation = "g2";
  record.step = {"c0", StepKind::kRestart, false, "g2", 0, "g1"};
  record.phase = Phase::kAccepted;
  StoredState stored;
  stored.records["i0"] = record;
  stored.lease = {1, holder_, holder_};
  Agent agent(store_, machine_, stored, {{"i0", "g1"}}, {}, std::chrono::seconds(10), kNow);
  const Agent::Answer answer = agent.AcceptStep("i0", step_, 1, "ann.1", kNow, 0);
  EXPECT_EQ(answer.refusal, Refusal::kBusy);
  EXPECT_EQ(answer.refusal_text, "busy with c0/do.0");
}

TEST_F(AgentTest, FailedSaveRefusesTheCommandAndHasNoEffect) {
  OpenChange();
  store_.failure = StoreError{StoreError::Cause::kSaveFailed, "state.sqlite: disk is full"};
  const Agent::Answer step = Accept("i0", step_);
  EXPECT_EQ(step.refusal, Refusal::kSaveFailed);
  EXPECT_EQ(step.refusal_text, "its state can't be saved to disk; fix that first");
  EXPECT_EQ(step.report->phase, Phase::kNone);
  EXPECT_EQ(agent_.GenerationOf("i0"), "g1");
  EXPECT_EQ(agent_.Release(1, "ann.1", true, 0).refusal, Refusal::kSaveFailed);
  EXPECT_TRUE(agent_.lease().open);

  store_.failure.reset();
  EXPECT_EQ(Accept("i0", step_).refusal, Refusal::kNone);
  EXPECT_EQ(agent_.Release(1, "ann.1", true, 0).refusal, Refusal::kNone);
  EXPECT_FALSE(agent_.lease().open);
}

}  // namespace
}  // namespace mothrack::agent
