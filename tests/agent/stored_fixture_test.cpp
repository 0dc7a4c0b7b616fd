// Compatibility with the agent's store of version 0.2.0: the present version reads all of it and writes the
// same schema and rows.
#include <gtest/gtest.h>

#include "agent/sqlite_store.h"
#include "support/fixtures.h"
#include "support/sqlite_dump.h"

namespace mothrack::agent {
namespace {

using rollout::Holder;
using rollout::InstanceRecord;
using rollout::Phase;
using rollout::Plan;
using rollout::StepKind;

const std::string kFixture = MOTHRACK_FIXTURES "/state.sqlite";

// The values in the fixture. Every member differs from its default in at least one value.
const Holder kOpener{"c-2", "ann", "new timeouts", 1'700'000'000'123, "ann.1.77"};
const Holder kHolder{"c-2", "bob", "takes over \"c-2\"", 1'700'000'060'456, "bob.2.78"};
const Holder kFormerHolder{"c-1", "ann", "restart all", 1'699'999'999'000, "ann.0.76"};

Plan FirstPlan() {
  return {"c-1",
          "ann",
          "restart all",
          StepKind::kRestart,
          {{{"agent-a", "i0"}, "hall-a", "g0", "g1"}},
          rollout::Policy{}};
}

Plan SecondPlan() {
  rollout::Policy policy;
  policy.max_unavailable = 2;
  policy.canary = false;
  policy.on_failure = rollout::OnFailure::kRollBack;
  policy.step_timeout = rollout::Duration{61'000};
  policy.watch_interval = rollout::Duration{2'500};
  policy.unreachable_timeout = rollout::Duration{5'500};
  policy.max_failure_increase = 0.125;
  policy.min_requests = 21;
  return {"c-2",
          "ann",
          "new timeouts",
          StepKind::kStop,
          {{{"agent-a", "i0"}, "hall-a", "g1", "g2"}, {{"agent-b", "i1"}, "hall-a", "g1", "g2"}},
          policy};
}

InstanceRecord FailedRecord() {
  InstanceRecord record;
  record.wanted = false;
  record.generation = "g2";
  record.token = "c-2/undo.7";
  record.step = {"c-2", StepKind::kStop, true, "g2", 7, "g1"};
  record.phase = Phase::kFailed;
  record.failure_reason = "not ready in time";
  return record;
}

InstanceRecord DoneRecord() {
  InstanceRecord record;
  record.generation = "g1";
  record.token = "c-1/do.3";
  record.step = {"c-1", StepKind::kRestart, false, "g1", 3, "g0"};
  record.phase = Phase::kDone;
  return record;
}

InstanceRecord AcceptedRecord() {
  InstanceRecord record;
  record.generation = "g2";
  record.step = {"c-2", StepKind::kRestart, false, "g2", 7, "g1"};
  record.phase = Phase::kAccepted;
  return record;
}

InstanceRecord NewRecord() {
  InstanceRecord record;
  record.generation = "g0";
  return record;
}

void ExpectHolder(const std::optional<Holder>& read, const Holder& written) {
  ASSERT_TRUE(read);
  EXPECT_EQ(read->change, written.change);
  EXPECT_EQ(read->who, written.who);
  EXPECT_EQ(read->why, written.why);
  EXPECT_EQ(read->since_unix_ms, written.since_unix_ms);
  EXPECT_EQ(read->claim_id, written.claim_id);
}

void ExpectStep(const rollout::Step& read, const rollout::Step& written) {
  EXPECT_EQ(read.change, written.change);
  EXPECT_EQ(read.kind, written.kind);
  EXPECT_EQ(read.undo, written.undo);
  EXPECT_EQ(read.generation, written.generation);
  EXPECT_EQ(read.epoch, written.epoch);
  EXPECT_EQ(read.from, written.from);
}

void ExpectRecord(const InstanceRecord& read, const InstanceRecord& written) {
  EXPECT_EQ(read.wanted, written.wanted);
  EXPECT_EQ(read.generation, written.generation);
  EXPECT_EQ(read.token, written.token);
  ExpectStep(read.step, written.step);
  EXPECT_EQ(read.phase, written.phase);
  EXPECT_EQ(read.failure_reason, written.failure_reason);
}

void ExpectTimes(const rollout::Policy& read, const rollout::Policy& written) {
  EXPECT_EQ(read.step_timeout, written.step_timeout);
  EXPECT_EQ(read.watch_interval, written.watch_interval);
  EXPECT_EQ(read.unreachable_timeout, written.unreachable_timeout);
}

void ExpectPolicy(const rollout::Policy& read, const rollout::Policy& written) {
  EXPECT_EQ(read.max_unavailable, written.max_unavailable);
  EXPECT_EQ(read.canary, written.canary);
  EXPECT_EQ(read.on_failure, written.on_failure);
  ExpectTimes(read, written);
  EXPECT_EQ(read.max_failure_increase, written.max_failure_increase);
  EXPECT_EQ(read.min_requests, written.min_requests);
}

void ExpectTarget(const rollout::Target& read, const rollout::Target& written) {
  EXPECT_EQ(read.name.agent, written.name.agent);
  EXPECT_EQ(read.name.instance, written.name.instance);
  EXPECT_EQ(read.hall, written.hall);
  EXPECT_EQ(read.from, written.from);
  EXPECT_EQ(read.to, written.to);
}

void ExpectPlan(const Plan& read, const Plan& written) {
  EXPECT_EQ(read.id, written.id);
  EXPECT_EQ(read.who, written.who);
  EXPECT_EQ(read.why, written.why);
  EXPECT_EQ(read.kind, written.kind);
  ASSERT_EQ(read.targets.size(), written.targets.size());
  for (std::size_t i = 0; i < read.targets.size(); ++i) {
    ExpectTarget(read.targets[i], written.targets[i]);
  }
  ExpectPolicy(read.policy, written.policy);
}

TEST(StoredFixture, AnAgentsStoreOfTheFormerVersionIsReadCompletely) {
  const testing::FixtureDirectory directory;
  const SqliteStore store(directory.CopyOf(kFixture));
  ASSERT_EQ(store.fault(), "");
  const StoredState& read = store.stored();
  EXPECT_EQ(read.lease.highest, 7U);
  ExpectHolder(read.lease.holder, kHolder);
  ExpectHolder(read.lease.open, kOpener);
  ASSERT_EQ(read.records.size(), 4U);
  ExpectRecord(read.records.at("i0"), FailedRecord());
  ExpectRecord(read.records.at("i1"), DoneRecord());
  ExpectRecord(read.records.at("i2"), AcceptedRecord());
  ExpectRecord(read.records.at("i3"), NewRecord());
  ASSERT_EQ(read.plans.size(), 2U);
  ExpectPlan(read.plans.at("c-1"), FirstPlan());
  ExpectPlan(read.plans.at("c-2"), SecondPlan());
}

TEST(StoredFixture, AnAgentsHistoryOfTheFormerVersionIsReadCompletely) {
  const testing::FixtureDirectory directory;
  const SqliteStore store(directory.CopyOf(kFixture));
  const auto events = store.Events(10);
  const std::vector<Event> written = {{1'699'999'999'001, "c-1", "opened"},
                                      {1'700'000'000'124, "c-2", "opened"},
                                      {1'700'000'001'000, "c-2", "i0 failed"},
                                      {1'700'000'002'000, "c-2", "i2 accepted"},
                                      {1'700'000'003'000, "", "started"}};
  ASSERT_EQ(events.size(), written.size());
  for (std::size_t i = 0; i < events.size(); ++i) {
    EXPECT_EQ(events[i].at_unix_ms, written[i].at_unix_ms);
    EXPECT_EQ(events[i].change, written[i].change);
    EXPECT_EQ(events[i].line, written[i].line);
  }
}

TEST(StoredFixture, AnAgentsStoreIsWrittenWithTheSchemaAndRowsOfTheFormerVersion) {
  const testing::FixtureDirectory directory;
  const std::string path = directory.File("new.sqlite");
  {
    SqliteStore store(path);
    const Plan first = FirstPlan();
    const Plan second = SecondPlan();
    ASSERT_EQ(
        store.SaveLease({3, kFormerHolder, kFormerHolder}, &first, {1'699'999'999'001, "c-1", "opened"}),
        std::nullopt);
    ASSERT_EQ(store.SaveLease({7, kHolder, kOpener}, &second, {1'700'000'000'124, "c-2", "opened"}),
              std::nullopt);
    ASSERT_EQ(store.SaveRecord("i0", FailedRecord(), {1'700'000'001'000, "c-2", "i0 failed"}), std::nullopt);
    ASSERT_EQ(store.SaveRecord("i1", DoneRecord(), {}), std::nullopt);
    ASSERT_EQ(store.SaveRecord("i2", AcceptedRecord(), {1'700'000'002'000, "c-2", "i2 accepted"}),
              std::nullopt);
    ASSERT_EQ(store.SaveRecord("i3", NewRecord(), {}), std::nullopt);
    store.Note({1'700'000'003'000, "", "started"});
  }
  EXPECT_EQ(testing::DumpSqlite(path), testing::DumpSqlite(directory.CopyOf(kFixture)));
}

}  // namespace
}  // namespace mothrack::agent
