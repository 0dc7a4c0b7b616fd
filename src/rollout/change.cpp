#include "rollout/change.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace mothrack::rollout {
namespace {

// An unanswered command is repeated after this time.
constexpr Duration kRetryInterval{500};
// Time between two polls of an instance. A batch waits for a new report three times (end of its steps, end of
// the watch interval, availability of the other targets), and these waits add to the duration of a rolling
// change. One report of an agent covers all of its instances, so each agent that the change touches receives
// 16 requests per second.
constexpr Duration kReportInterval{60};
// Number of renewals of the lease within its duration.
constexpr int kRenewalsPerLease = 6;

std::string Seconds(Duration time) {
  return std::to_string(std::chrono::duration_cast<std::chrono::seconds>(time).count()) + " s";
}

double Share(std::uint64_t part, std::uint64_t whole) {
  return whole == 0 ? 0 : static_cast<double>(part) / static_cast<double>(whole);
}

std::string Percent(double share) { return std::to_string(std::lround(share * 100)) + "%"; }

}  // namespace

Change::Change(Plan plan, Direction direction, Epoch epoch, Duration lease_duration,
               TimePoint lease_granted_at)
    : plan_(std::move(plan)),
      direction_(direction),
      epoch_(epoch),
      lease_duration_(lease_duration),
      batches_(SplitIntoBatches(plan_)),
      progress_(plan_.targets.size()) {
  if (direction_ == Direction::kUndo) std::reverse(batches_.begin(), batches_.end());
  for (const Target& target : plan_.targets) lease_confirmed_at_[target.name.agent] = lease_granted_at;
}

void Change::OnReport(const InstanceName& name, std::uint64_t number, const Report& report,
                      TimePoint sent_at) {
  for (std::size_t i = 0; i < progress_.size(); ++i) {
    Progress& progress = progress_[i];
    if (plan_.targets[i].name != name || number <= progress.number) continue;
    progress.report = report;
    progress.number = number;
    progress.polled_at = sent_at;
  }
}

void Change::OnLeaseRenewed(const std::string& agent, TimePoint sent_at) {
  const auto it = lease_confirmed_at_.find(agent);
  if (it != lease_confirmed_at_.end()) it->second = std::max(it->second, sent_at);
}

void Change::OnFenced(const std::string& agent, const std::string& holder) {
  fenced_ = true;
  agent_fault_ = "lost the lease at " + agent + (holder.empty() ? "" : " to " + holder);
}

void Change::OnStepRejected(const InstanceName& name, const std::string& reason) {
  if (agent_fault_.empty()) agent_fault_ = name.agent + '/' + name.instance + " refused its step: " + reason;
}

void Change::Abort() { aborted_ = true; }

void Change::Tick(TimePoint now, std::vector<ChangeCommand>& commands) {
  if (end_) return;
  if (!started_) {
    // unreachable_timeout counts from here, because claiming many agents one by one may take longer than
    // that.
    started_ = true;
    batch_entered_at_ = now;
    for (Progress& progress : progress_) progress.polled_at = now;
  }
  if (fenced_) return Finish(ChangeEnd::kHeld, agent_fault_, commands);
  if (aborted_) return Finish(ChangeEnd::kAborted, "aborted by its operator", commands);
  if (const std::string agent = UnresponsiveAgent(now); !agent.empty()) {
    return Finish(ChangeEnd::kHeld,
                  agent + " can't be reached; its instances finish the steps that they have accepted",
                  commands);
  }
  RenewAndPoll(now, commands);
  if (!agent_fault_.empty()) return HandleFailure(std::exchange(agent_fault_, {}), now, commands);
  AdvanceBatch(now, commands);
}

std::string Change::UnresponsiveAgent(TimePoint now) const {
  // The holder of the lease sends no more steps once an agent has not confirmed the lease for half of its
  // duration. The agents count the whole duration (src/rollout/lease.h).
  for (const auto& [agent, confirmed] : lease_confirmed_at_) {
    if (now - confirmed >= lease_duration_ / 2) return agent;
  }
  for (std::size_t i = 0; i < progress_.size(); ++i) {
    if (now - progress_[i].polled_at >= plan_.policy.unreachable_timeout) return plan_.targets[i].name.agent;
  }
  return {};
}

void Change::RenewAndPoll(TimePoint now, std::vector<ChangeCommand>& commands) {
  if (!last_renewal_at_ || now - *last_renewal_at_ >= lease_duration_ / kRenewalsPerLease) {
    last_renewal_at_ = now;
    for (const auto& [agent, confirmed] : lease_confirmed_at_) {
      commands.push_back({ChangeCommand::Kind::kRenew, {agent, {}}, {}, ++last_number_, {}});
    }
  }
  for (std::size_t i = 0; i < progress_.size(); ++i) {
    const auto& last_poll_at = progress_[i].last_poll_at;
    if (!last_poll_at || now - *last_poll_at >= kReportInterval)
      SendToInstance(ChangeCommand::Kind::kReport, i, now, commands);
  }
}

void Change::AdvanceBatch(TimePoint now, std::vector<ChangeCommand>& commands) {
  while (true) {
    if (batch_ == batches_.size()) {
      const bool forward = direction_ == Direction::kForward;
      return Finish(forward ? ChangeEnd::kCompleted : ChangeEnd::kRolledBack, rollback_reason_, commands);
    }
    if (!ReportsAreFresh(batches_[batch_], batch_entered_at_)) return;  // UnresponsiveAgent() bounds the wait
    const std::vector<std::size_t> targets = BatchTargets();
    if (!batch_started_at_ && !StartBatch(targets, now, commands)) return;
    if (!CompleteSteps(targets, now, commands)) return;
    if (!PassGate(targets, now, commands)) return;
    EnterBatch(batch_ + 1, now);
  }
}

void Change::EnterBatch(std::size_t batch, TimePoint now) {
  batch_ = batch;
  batch_entered_at_ = now;
  batch_started_at_.reset();
  healthy_since_.reset();
  // Poll at once: a batch starts only with reports that are newer than the end of the previous batch.
  for (Progress& progress : progress_) progress.last_poll_at.reset();
}

std::vector<std::size_t> Change::BatchTargets() const {
  std::vector<std::size_t> targets = batches_[batch_];
  if (direction_ == Direction::kUndo) {
    std::erase_if(targets, [this](std::size_t i) { return !MayNeedUndo(i); });
  }
  return targets;
}

bool Change::ReportsAreFresh(const std::vector<std::size_t>& targets, TimePoint since) const {
  return std::all_of(targets.begin(), targets.end(),
                     [&](std::size_t i) { return progress_[i].report && progress_[i].polled_at >= since; });
}

bool Change::StartBatch(const std::vector<std::size_t>& targets, TimePoint now,
                        std::vector<ChangeCommand>& commands) {
  // A batch that an earlier holder started continues, whether or not the other targets are available.
  const bool all_accepted =
      std::all_of(targets.begin(), targets.end(), [this](std::size_t i) { return StepAccepted(i); });
  if (!all_accepted) {
    if (const std::string reason = BatchBlocker(targets); !reason.empty()) {
      if (now - batch_entered_at_ >= plan_.policy.step_timeout) HandleFailure(reason, now, commands);
      return false;
    }
    for (const std::size_t i : targets) {
      if (!StepAccepted(i)) progress_[i].baseline = progress_[i].report;
    }
  }
  batch_started_at_ = now;
  if (targets.empty()) return true;
  std::string line = plan_.id + (direction_ == Direction::kUndo ? " undoes" : " changes");
  for (const std::size_t i : targets) line += ' ' + LabelOf(i);
  commands.push_back({ChangeCommand::Kind::kPrint, {}, {}, 0, line});
  return true;
}

std::string Change::BatchBlocker(const std::vector<std::size_t>& batch) const {
  for (std::size_t i = 0; i < progress_.size(); ++i) {
    if (std::find(batch.begin(), batch.end(), i) != batch.end()) continue;
    const Progress& progress = progress_[i];
    // An older report may date from before the previous batch ended.
    if (!progress.report || progress.polled_at < batch_entered_at_)
      return "no recent report of " + LabelOf(i);
    const bool stopped_on_purpose = plan_.kind == StepKind::kStop && MayNeedUndo(i) &&
                                    progress.report->phase == Phase::kDone && !progress.report->step.undo;
    if (!stopped_on_purpose && !progress.report->available()) return LabelOf(i) + " is not available";
  }
  return {};
}

bool Change::CompleteSteps(const std::vector<std::size_t>& targets, TimePoint now,
                           std::vector<ChangeCommand>& commands) {
  bool all_steps_done = true;
  for (const std::size_t i : targets) {
    switch (StepStateOf(i)) {
      case StepState::kNotAccepted:
        CommandStep(i, now, commands);
        all_steps_done = false;
        break;
      case StepState::kRunning:
        all_steps_done = false;
        break;
      case StepState::kFailed:
        HandleFailure(LabelOf(i) + ": " + progress_[i].report->failure_reason, now, commands);
        return false;
      case StepState::kDone:
        if (!progress_[i].after_step) progress_[i].after_step = progress_[i].report;
        break;
    }
  }
  if (all_steps_done) return true;
  if (now - *batch_started_at_ >= plan_.policy.step_timeout) {
    HandleFailure(
        "batch " + std::to_string(batch_ + 1) + " was not done within " + Seconds(plan_.policy.step_timeout),
        now, commands);
  }
  return false;
}

Change::StepState Change::StepStateOf(std::size_t target) const {
  if (!StepAccepted(target)) return StepState::kNotAccepted;
  switch (progress_[target].report->phase) {
    case Phase::kFailed:
      return StepState::kFailed;
    case Phase::kAccepted:
      return StepState::kRunning;
    case Phase::kNone:
    case Phase::kDone:
      break;
  }
  return StepState::kDone;
}

bool Change::StepAccepted(std::size_t target) const {
  const auto& report = progress_[target].report;
  if (!report || report->phase == Phase::kNone || report->step.change != plan_.id) return false;
  const bool failed_before = report->phase == Phase::kFailed && report->step.epoch < epoch_;
  return report->step.undo == (direction_ == Direction::kUndo) && !failed_before;
}

void Change::CommandStep(std::size_t target, TimePoint now, std::vector<ChangeCommand>& commands) {
  auto& last_command_at = progress_[target].last_command_at;
  if (last_command_at && now - *last_command_at < kRetryInterval) return;
  last_command_at = now;
  SendToInstance(ChangeCommand::Kind::kSendStep, target, now, commands);
}

bool Change::PassGate(const std::vector<std::size_t>& targets, TimePoint now,
                      std::vector<ChangeCommand>& commands) {
  for (const std::size_t i : targets) {
    if (const std::string fault = HealthFault(i); !fault.empty()) {
      HandleFailure(fault, now, commands);
      return false;
    }
  }
  if (!healthy_since_) healthy_since_ = now;
  const Duration watch_interval = targets.empty() ? Duration{0} : plan_.policy.watch_interval;
  return ReportsAreFresh(targets, *healthy_since_ + watch_interval);
}

std::string Change::HealthFault(std::size_t target) const {
  const Report& now = *progress_[target].report;
  const Step step = StepOf(target);
  if (step.kind == StepKind::kStop) return now.running ? LabelOf(target) + " runs again" : "";
  if (!now.available()) return LabelOf(target) + " is not ready any more";
  if (now.generation != step.generation) return LabelOf(target) + " runs with another generation";
  return FailureShareFault(target);
}

std::string Change::FailureShareFault(std::size_t target) const {
  const Progress& progress = progress_[target];
  if (!progress.after_step || !progress.baseline) return {};
  const Report& now = *progress.report;
  const Report& baseline = *progress.baseline;
  // The counters belong to the process, so a smaller count means that another process runs.
  if (now.requests < progress.after_step->requests) return LabelOf(target) + " ended while it was watched";
  const std::uint64_t requests = now.requests - progress.after_step->requests;
  const std::uint64_t failed_requests = now.failed_requests - progress.after_step->failed_requests;
  const double failure_share = Share(failed_requests, requests);
  const bool baseline_counts = baseline.requests >= plan_.policy.min_requests;
  const double baseline_share = baseline_counts ? Share(baseline.failed_requests, baseline.requests) : 0;
  if (requests < plan_.policy.min_requests) return {};
  if (failure_share <= baseline_share + plan_.policy.max_failure_increase) return {};
  return LabelOf(target) + " rejects or fails " + Percent(failure_share) + " of its requests, up from " +
         Percent(baseline_share) + " before its step";
}

void Change::HandleFailure(const std::string& reason, TimePoint now, std::vector<ChangeCommand>& commands) {
  if (direction_ == Direction::kUndo) {
    return Finish(ChangeEnd::kHeld,
                  reason + (rollback_reason_.empty() ? "" : ", while undoing: " + rollback_reason_),
                  commands);
  }
  if (plan_.policy.on_failure == OnFailure::kHold) return Finish(ChangeEnd::kHeld, reason, commands);
  commands.push_back({ChangeCommand::Kind::kPrint, {}, {}, 0, plan_.id + " rolls back: " + reason});
  rollback_reason_ = reason;
  direction_ = Direction::kUndo;
  // The failed batch is undone first, because no other batch may start before it is available again. Then all
  // others are undone, including later ones: an earlier holder may have got further than this one, which
  // started again from the first batch.
  const std::vector<std::size_t> current = batches_[batch_];
  batches_.erase(batches_.begin() + static_cast<std::ptrdiff_t>(batch_));
  batches_.push_back(current);
  std::reverse(batches_.begin(), batches_.end());
  for (Progress& progress : progress_) {
    progress.baseline.reset();
    progress.after_step.reset();
    progress.last_command_at.reset();
  }
  EnterBatch(0, now);
}

void Change::Finish(ChangeEnd end, const std::string& reason, std::vector<ChangeCommand>& commands) {
  end_ = end;
  reason_ = reason;
  constexpr const char* kNames[] = {"completed", "held", "rolled back", "aborted"};
  const std::string name = kNames[static_cast<std::size_t>(end)];
  commands.push_back({ChangeCommand::Kind::kPrint,
                      {},
                      {},
                      0,
                      plan_.id + ' ' + name + (reason.empty() ? "" : ": " + reason)});
}

void Change::SendToInstance(ChangeCommand::Kind kind, std::size_t target, TimePoint now,
                            std::vector<ChangeCommand>& commands) {
  progress_[target].last_poll_at = now;
  ChangeCommand command{kind, plan_.targets[target].name, {}, ++last_number_, {}};
  if (kind == ChangeCommand::Kind::kSendStep) {
    progress_[target].command_sent = true;
    command.step = StepOf(target);
  }
  commands.push_back(std::move(command));
}

Step Change::StepOf(std::size_t target) const {
  const Target& planned = plan_.targets[target];
  const bool undo = direction_ == Direction::kUndo;
  // The undo of a stop is a start.
  return {plan_.id,    undo ? StepKind::kRestart : plan_.kind, undo, undo ? planned.from : planned.to, epoch_,
          planned.from};
}

bool Change::MayNeedUndo(std::size_t target) const {
  const Progress& progress = progress_[target];
  return progress.command_sent || (progress.report && progress.report->phase != Phase::kNone &&
                                   progress.report->step.change == plan_.id);
}

std::string Change::LabelOf(std::size_t target) const {
  const InstanceName& name = plan_.targets[target].name;
  return name.agent + '/' + name.instance;
}

}  // namespace mothrack::rollout
