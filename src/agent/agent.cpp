#include "agent/agent.h"

#include <utility>

namespace mothrack::agent {
namespace {

constexpr const char* kSaveFailedText = "its state can't be saved to disk; fix that first";

}  // namespace

Agent::Agent(Store& store, Machine& machine, const StoredState& stored,
             const std::map<std::string, std::string>& instances, const rollout::InstanceLimits& limits,
             rollout::Duration lease_time, rollout::TimePoint now)
    : store_(store), machine_(machine), lease_(stored.lease, lease_time, now), plans_(stored.plans) {
  for (const auto& [name, generation] : instances) {
    rollout::InstanceRecord record;
    record.generation = generation;
    // The record takes precedence over the agent file, which names only the initial generation.
    if (const auto it = stored.records.find(name); it != stored.records.end()) record = it->second;
    instances_.emplace(name, SupervisedInstance{rollout::Instance(record, limits), record});
  }
}

std::vector<std::string> Agent::Names() const {
  std::vector<std::string> names;
  for (const auto& [name, supervised] : instances_) names.push_back(name);
  return names;
}

const rollout::Plan* Agent::PlanOf(const std::string& change) const {
  const auto it = plans_.find(change);
  return it == plans_.end() ? nullptr : &it->second;
}

Agent::Answer Agent::ReadLease(rollout::TimePoint now) const {
  Answer answer;
  answer.highest = lease_.state().highest;
  answer.holder = lease_.holder(now);
  return answer;
}

void Agent::SaveLease(const rollout::Lessor& next, const rollout::Plan* opened, const Event& note,
                      Answer& answer) {
  const std::optional<StoreError> error = store_.SaveLease(next.state(), opened, note);
  if (error) return answer.Refuse(Refusal::kSaveFailed, kSaveFailedText);
  lease_ = next;
  if (opened != nullptr) plans_[opened->id] = *opened;
}

Agent::Answer Agent::Acquire(rollout::Epoch epoch, const rollout::Holder& holder, rollout::TimePoint now,
                             std::int64_t unix_ms) {
  rollout::Lessor next = lease_;
  Answer answer = ReadLease(now);
  answer.verdict = next.Acquire(epoch, holder, now);
  if (answer.verdict == rollout::Lessor::Verdict::kOpen) answer.holder = next.state().open;
  if (answer.verdict != rollout::Lessor::Verdict::kGranted) return answer;
  answer.open = next.state().open && next.state().open->change == holder.change;
  // A repeated request changes nothing and need not be written again.
  if (next.state() == lease_.state()) return answer;
  SaveLease(next, nullptr, {unix_ms, holder.change, "claimed by " + holder.who + ": " + holder.why}, answer);
  return answer;
}

Agent::Answer Agent::Open(rollout::Epoch epoch, const rollout::Holder& holder, const rollout::Plan& plan,
                          rollout::TimePoint now, std::int64_t unix_ms) {
  Answer answer = ReadLease(now);
  if (plan.id != holder.change) {
    answer.Refuse(Refusal::kPlanOfOtherChange, "the plan is of another change than the lease");
    return answer;
  }
  rollout::Lessor next = lease_;
  answer.verdict = next.Open(epoch, holder, now);
  if (answer.verdict != rollout::Lessor::Verdict::kGranted) return answer;
  answer.open = true;
  if (next.state() == lease_.state() && plans_.contains(plan.id) && plans_.at(plan.id) == plan) {
    lease_ = next;  // the lease's renewal is not part of the durable state
    return answer;
  }
  SaveLease(next, &plan, {unix_ms, holder.change, "opened by " + holder.who}, answer);
  return answer;
}

Agent::Answer Agent::Renew(rollout::Epoch epoch, const std::string& claim_id, rollout::TimePoint now) {
  Answer answer = ReadLease(now);
  answer.verdict = lease_.Renew(epoch, claim_id, now);
  return answer;
}

Agent::Answer Agent::Release(rollout::Epoch epoch, const std::string& claim_id, bool close,
                             std::int64_t unix_ms) {
  rollout::Lessor next = lease_;
  Answer answer;
  next.Release(epoch, claim_id, close);
  if (next.state() == lease_.state()) return answer;
  const std::string change = lease_.state().holder ? lease_.state().holder->change : "";
  SaveLease(next, nullptr, {unix_ms, change, close ? "closed" : "given back"}, answer);
  return answer;
}

Agent::Answer Agent::AcceptStep(const std::string& instance, const rollout::Step& step, rollout::Epoch epoch,
                                const std::string& claim_id, rollout::TimePoint now, std::int64_t unix_ms) {
  Answer answer = Renew(epoch, claim_id, now);
  if (answer.verdict != rollout::Lessor::Verdict::kGranted) return answer;
  const auto it = instances_.find(instance);
  if (it == instances_.end()) {
    answer.Refuse(Refusal::kUnknownInstance, "there is no such instance");
    return answer;
  }
  // A lease belongs to one change, so a step of another change is an error of its sender.
  if (!lease_.state().open || lease_.state().open->change != step.change || step.epoch != epoch) {
    answer.Refuse(Refusal::kStepOfOtherChange, "the step is of a change that is not open here");
    return answer;
  }
  SupervisedInstance& supervised = it->second;
  rollout::Instance next = supervised.instance;
  CheckStep(next, supervised.saved, step, answer);
  if (answer.refusal == Refusal::kNone && next.record() != supervised.saved) {
    const Event note{unix_ms, step.change, instance + ": taken " + step.token()};
    const std::optional<StoreError> error = store_.SaveRecord(instance, next.record(), note);
    if (error) {
      answer.Refuse(Refusal::kSaveFailed, kSaveFailedText);
    } else {
      supervised = SupervisedInstance{next, next.record()};
    }
  }
  answer.report = ReportOf(instance);
  return answer;
}

void Agent::CheckStep(rollout::Instance& next, const rollout::InstanceRecord& saved,
                      const rollout::Step& step, Answer& answer) const {
  switch (next.Accept(step)) {
    case rollout::Instance::Verdict::kBusy:
      return answer.Refuse(Refusal::kBusy, "busy with " + next.record().step.token());
    case rollout::Instance::Verdict::kGenerationMismatch:
      return answer.Refuse(Refusal::kGenerationMismatch,
                           "its generation is " + next.record().generation + ", not " + step.from);
    case rollout::Instance::Verdict::kStale:  // the report shows the undo that preceded the step
    case rollout::Instance::Verdict::kAccepted:
      break;
  }
  const rollout::InstanceRecord& record = next.record();
  if (record != saved && record.phase == rollout::Phase::kAccepted &&
      !machine_.HasGeneration(record.generation)) {
    answer.Refuse(Refusal::kUnknownGeneration, "its agent has not stored generation " + record.generation);
  }
}

void Agent::ReconcileInstances(rollout::TimePoint now, std::int64_t unix_ms) {
  for (auto& [name, supervised] : instances_) {
    std::vector<rollout::Action> actions;
    supervised.instance.Reconcile(machine_.Inspect(name), now, actions);
    SaveStepEnd(name, supervised, unix_ms);
    for (const rollout::Action& action : actions) machine_.Execute(name, action);
  }
}

void Agent::SaveStepEnd(const std::string& name, SupervisedInstance& supervised, std::int64_t unix_ms) {
  const rollout::InstanceRecord& record = supervised.instance.record();
  if (record == supervised.saved) return;
  const std::string end =
      record.phase == rollout::Phase::kFailed ? " failed: " + record.failure_reason : " done";
  const Event note{unix_ms, record.step.change, name + ": " + record.step.token() + end};
  const std::optional<StoreError> error = store_.SaveRecord(name, record, note);
  if (!error) supervised.saved = record;
}

rollout::Report Agent::ReportOf(const std::string& instance) {
  const SupervisedInstance& supervised = instances_.at(instance);
  const rollout::ProcessState process = machine_.Inspect(instance);
  rollout::Report report;
  report.step = supervised.saved.step;
  report.phase = supervised.saved.phase;
  report.failure_reason = supervised.saved.failure_reason;
  report.running = process.running;
  report.ready = process.ready && !process.draining;
  report.held = supervised.instance.held();
  report.generation = process.generation;
  const RequestCounts counts = machine_.RequestsOf(instance);
  report.requests = counts.total;
  report.failed_requests = counts.failed;
  return report;
}

}  // namespace mothrack::agent
