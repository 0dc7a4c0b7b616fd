#include "agent/agent.h"

#include <utility>

namespace mothrack::agent {
namespace {

constexpr const char* kNotOnDisk = "its disk takes nothing; mend that first";

}  // namespace

Agent::Agent(Store& store, Machine& machine, const Stored& stored,
             const std::map<std::string, std::string>& instances, const rollout::InstanceLimits& limits,
             rollout::Duration lease_time, rollout::TimePoint now)
    : store_(store), machine_(machine), lease_(stored.lease, lease_time, now), plans_(stored.plans) {
  for (const auto& [name, generation] : instances) {
    rollout::InstanceRecord record;
    record.generation = generation;
    // What is on record counts: the file names only what an instance begins with.
    if (const auto it = stored.records.find(name); it != stored.records.end()) record = it->second;
    kept_.emplace(name, Kept{rollout::Instance(record, limits), record});
  }
}

std::vector<std::string> Agent::Names() const {
  std::vector<std::string> names;
  for (const auto& [name, kept] : kept_) names.push_back(name);
  return names;
}

const rollout::Plan* Agent::PlanOf(const std::string& change) const {
  const auto it = plans_.find(change);
  return it == plans_.end() ? nullptr : &it->second;
}

bool Agent::behind() const {
  for (const auto& [name, kept] : kept_) {
    if (kept.instance.record() != kept.saved) return true;
  }
  return false;
}

Agent::Answer Agent::Highest(rollout::TimePoint now) const {
  Answer answer;
  answer.highest = lease_.state().highest;
  answer.holder = lease_.holder(now);
  return answer;
}

bool Agent::SaveLease(const rollout::Lessor& next, const rollout::Plan* opened, const Event& note,
                      Answer& answer) {
  if (!store_.SaveLease(next.state(), opened, note)) {
    answer.refused = kNotOnDisk;
    return false;
  }
  lease_ = next;
  if (opened != nullptr) plans_[opened->id] = *opened;
  return true;
}

Agent::Answer Agent::Acquire(rollout::Epoch epoch, const rollout::Holder& holder, rollout::TimePoint now,
                             std::int64_t unix_ms) {
  rollout::Lessor next = lease_;
  Answer answer = Highest(now);
  answer.verdict = next.Acquire(epoch, holder, now);
  if (answer.verdict == rollout::Lessor::Verdict::kOpen) answer.holder = next.state().open;
  if (answer.verdict != rollout::Lessor::Verdict::kGranted) return answer;
  answer.open = next.state().open && next.state().open->change == holder.change;
  // Asked again, it is not written again.
  if (next.state() == lease_.state()) return answer;
  SaveLease(next, nullptr, {unix_ms, holder.change, "claimed by " + holder.who + ": " + holder.why}, answer);
  return answer;
}

Agent::Answer Agent::Open(rollout::Epoch epoch, const rollout::Holder& holder, const rollout::Plan& plan,
                          rollout::TimePoint now, std::int64_t unix_ms) {
  Answer answer = Highest(now);
  if (plan.id != holder.change) {
    answer.refused = "the plan is of another change than the lease";
    return answer;
  }
  rollout::Lessor next = lease_;
  answer.verdict = next.Open(epoch, holder, now);
  if (answer.verdict != rollout::Lessor::Verdict::kGranted) return answer;
  answer.open = true;
  if (next.state() == lease_.state() && plans_.contains(plan.id) && plans_.at(plan.id) == plan) {
    lease_ = next;  // its time was renewed
    return answer;
  }
  SaveLease(next, &plan, {unix_ms, holder.change, "opened by " + holder.who}, answer);
  return answer;
}

Agent::Answer Agent::Renew(rollout::Epoch epoch, const std::string& claim_id, rollout::TimePoint now) {
  Answer answer = Highest(now);
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

Agent::Answer Agent::Take(const std::string& instance, const rollout::Step& step, rollout::Epoch epoch,
                          const std::string& claim_id, rollout::TimePoint now, std::int64_t unix_ms) {
  Answer answer = Renew(epoch, claim_id, now);
  if (answer.verdict != rollout::Lessor::Verdict::kGranted) return answer;
  const auto it = kept_.find(instance);
  if (it == kept_.end()) {
    answer.refused = "there is no such instance";
    return answer;
  }
  // The lease is of one change; what comes under it for another is a mistake of whoever sends it.
  if (!lease_.state().open || lease_.state().open->change != step.change || step.epoch != epoch) {
    answer.refused = "the step is of a change that is not open here";
    return answer;
  }
  rollout::Instance next = it->second.instance;
  switch (next.Accept(step)) {
    case rollout::Instance::Verdict::kAccepted:
      break;
    case rollout::Instance::Verdict::kBusy:
      answer.refused = "busy with " + next.record().step.token();
      break;
    case rollout::Instance::Verdict::kGenerationMismatch:
      answer.refused = "it has " + next.record().generation + ", not " + step.from;
      break;
    case rollout::Instance::Verdict::kStale:
      break;  // the report tells
  }
  if (answer.refused.empty() && next.record() != it->second.saved &&
      next.record().phase == rollout::Phase::kAccepted && !machine_.HasGeneration(next.record().generation)) {
    answer.refused = "it has no configuration " + next.record().generation;
  }
  if (answer.refused.empty() && next.record() != it->second.saved) {
    if (store_.SaveRecord(instance, next.record(),
                          {unix_ms, step.change, instance + ": taken " + step.token()})) {
      it->second = Kept{next, next.record()};
    } else {
      answer.refused = kNotOnDisk;
    }
  }
  answer.report = ReportOf(instance);
  return answer;
}

void Agent::Live(rollout::TimePoint now, std::int64_t unix_ms) {
  for (auto& [name, kept] : kept_) {
    std::vector<rollout::Action> actions;
    kept.instance.Reconcile(machine_.Inspect(name), now, actions);
    const rollout::InstanceRecord& record = kept.instance.record();
    if (record != kept.saved) {
      const std::string end =
          record.phase == rollout::Phase::kFailed ? " failed: " + record.failure_reason : " done";
      if (store_.SaveRecord(name, record,
                            {unix_ms, record.step.change, name + ": " + record.step.token() + end})) {
        kept.saved = record;
      }
    }
    for (const rollout::Action& action : actions) machine_.Do(name, action);
  }
}

rollout::Report Agent::ReportOf(const std::string& instance) {
  const Kept& kept = kept_.at(instance);
  const rollout::ProcessState seen = machine_.Inspect(instance);
  rollout::Report report;
  report.step = kept.saved.step;
  report.phase = kept.saved.phase;
  report.failure_reason = kept.saved.failure_reason;
  report.running = seen.running;
  report.ready = seen.ready && !seen.draining;
  report.held = kept.instance.held();
  report.generation = seen.generation;
  const RequestCounts counts = machine_.RequestsOf(instance);
  report.requests = counts.total;
  report.failed_requests = counts.failed;
  return report;
}

}  // namespace mothrack::agent
