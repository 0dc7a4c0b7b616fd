#include "rollout/change.h"

#include <algorithm>
#include <utility>

namespace mothrack::rollout {
namespace {

// A command without an answer is repeated.
constexpr Duration kAskAgain{500};
// News of an instance is asked for so often: a batch waits for news three times (its steps' end, the watch's
// end, the others' being well), and a rolling change is as slow as the sum of those. One report of an agent
// answers for all of its instances, so this is 16 answers a second of each agent that the change touches.
constexpr Duration kNewsEvery{60};
// The lease is confirmed so often within its time.
constexpr int kRenewals = 6;

std::string Seconds(Duration time) {
  return std::to_string(std::chrono::duration_cast<std::chrono::seconds>(time).count()) + " s";
}

double Share(std::uint64_t bad, std::uint64_t taken) {
  return taken == 0 ? 0 : static_cast<double>(bad) / static_cast<double>(taken);
}

std::string Percent(double share) { return std::to_string(static_cast<int>(share * 100 + 0.5)) + "%"; }

}  // namespace

Change::Change(Plan plan, Aim aim, Epoch epoch, Duration lease_time, TimePoint leased_at)
    : plan_(std::move(plan)),
      aim_(aim),
      epoch_(epoch),
      lease_time_(lease_time),
      batches_(Batches(plan_)),
      progress_(plan_.targets.size()) {
  if (aim_ == Aim::kUndo) std::reverse(batches_.begin(), batches_.end());
  for (const Target& target : plan_.targets) leased_[target.name.agent] = leased_at;
}

void Change::Heard(const InstanceName& name, std::uint64_t number, const Report& report, TimePoint asked_at) {
  for (std::size_t i = 0; i < progress_.size(); ++i) {
    Progress& progress = progress_[i];
    if (plan_.targets[i].name != name || number <= progress.number) continue;
    progress.report = report;
    progress.number = number;
    progress.heard = asked_at;
  }
}

void Change::Renewed(const std::string& agent, TimePoint asked_at) {
  const auto it = leased_.find(agent);
  if (it != leased_.end()) it->second = std::max(it->second, asked_at);
}

void Change::Fenced(const std::string& agent, const std::string& holder) {
  fenced_ = true;
  fault_ = "lost the lease at " + agent + (holder.empty() ? "" : " to " + holder);
}

void Change::Refused(const InstanceName& name, const std::string& why) {
  if (fault_.empty()) fault_ = name.agent + '/' + name.instance + " refused its step: " + why;
}

void Change::Abort() { aborted_ = true; }

void Change::Turn(TimePoint now, std::vector<ChangeCommand>& commands) {
  if (end_) return;
  if (!started_) {
    // The time without a word counts from here: claiming many agents one by one takes its own.
    started_ = true;
    entered_ = now;
    for (Progress& progress : progress_) progress.heard = now;
  }
  if (fenced_) return Finish(ChangeEnd::kHeld, fault_, commands);
  if (aborted_) return Finish(ChangeEnd::kAborted, "aborted by its operator", commands);
  if (const std::string agent = Silent(now); !agent.empty()) {
    return Finish(ChangeEnd::kHeld, agent + " can't be reached; its instances finish what they have taken",
                  commands);
  }
  AskAround(now, commands);
  if (!fault_.empty()) return Trouble(std::exchange(fault_, {}), now, commands);
  Work(now, commands);
}

std::string Change::Silent(TimePoint now) const {
  // Half the time that the agents count: see src/rollout/lease.h.
  for (const auto& [agent, confirmed] : leased_) {
    if (now - confirmed >= lease_time_ / 2) return agent;
  }
  for (std::size_t i = 0; i < progress_.size(); ++i) {
    if (now - progress_[i].heard >= plan_.policy.unreachable_limit) return plan_.targets[i].name.agent;
  }
  return {};
}

void Change::AskAround(TimePoint now, std::vector<ChangeCommand>& commands) {
  if (!renewed_at_ || now - *renewed_at_ >= lease_time_ / kRenewals) {
    renewed_at_ = now;
    for (const auto& [agent, confirmed] : leased_) {
      commands.push_back({ChangeCommand::Kind::kRenew, {agent, {}}, {}, ++last_number_, {}});
    }
  }
  for (std::size_t i = 0; i < progress_.size(); ++i) {
    const auto& asked = progress_[i].asked;
    if (!asked || now - *asked >= kNewsEvery) Question(ChangeCommand::Kind::kReport, i, now, commands);
  }
}

void Change::Question(ChangeCommand::Kind kind, std::size_t target, TimePoint now,
                      std::vector<ChangeCommand>& commands) {
  progress_[target].asked = now;
  ChangeCommand command{kind, plan_.targets[target].name, {}, ++last_number_, {}};
  if (kind == ChangeCommand::Kind::kTake) {
    progress_[target].sent = true;
    command.step = StepOf(target);
  }
  commands.push_back(std::move(command));
}

Step Change::StepOf(std::size_t target) const {
  const Target& t = plan_.targets[target];
  const bool undo = aim_ == Aim::kUndo;
  // What was stopped runs again after its undo.
  return {plan_.id, undo ? StepKind::kRestart : plan_.kind, undo, undo ? t.from : t.to, epoch_, t.from};
}

bool Change::Taken(std::size_t target) const {
  const auto& report = progress_[target].report;
  if (!report || report->phase == Phase::kNone || report->step.change != plan_.id) return false;
  const bool failed_before = report->phase == Phase::kFailed && report->step.epoch < epoch_;
  return report->step.undo == (aim_ == Aim::kUndo) && !failed_before;
}

bool Change::Touched(std::size_t target) const {
  const Progress& progress = progress_[target];
  return progress.sent || (progress.report && progress.report->phase != Phase::kNone &&
                           progress.report->step.change == plan_.id);
}

std::string Change::Name(std::size_t target) const {
  const InstanceName& name = plan_.targets[target].name;
  return name.agent + '/' + name.instance;
}

void Change::Finish(ChangeEnd end, const std::string& why, std::vector<ChangeCommand>& commands) {
  end_ = end;
  why_ = why;
  constexpr const char* kNames[] = {"completed", "held", "rolled back", "aborted"};
  const std::string name = kNames[static_cast<std::size_t>(end)];
  commands.push_back(
      {ChangeCommand::Kind::kSay, {}, {}, 0, plan_.id + ' ' + name + (why.empty() ? "" : ": " + why)});
}

void Change::Trouble(const std::string& why, TimePoint now, std::vector<ChangeCommand>& commands) {
  if (aim_ == Aim::kUndo) {
    return Finish(ChangeEnd::kHeld, why + (trouble_.empty() ? "" : ", while undoing: " + trouble_), commands);
  }
  if (plan_.policy.on_failure == OnFailure::kHold) return Finish(ChangeEnd::kHeld, why, commands);
  commands.push_back({ChangeCommand::Kind::kSay, {}, {}, 0, plan_.id + " turns back: " + why});
  trouble_ = why;
  aim_ = Aim::kUndo;
  // The one that is in trouble first, as no other may begin before it is well. And all of them: an earlier
  // holder may have come further than this one, which began at the first again.
  const std::vector<std::size_t> current = batches_[batch_];
  batches_.erase(batches_.begin() + static_cast<std::ptrdiff_t>(batch_));
  batches_.push_back(current);
  std::reverse(batches_.begin(), batches_.end());
  for (Progress& progress : progress_)
    progress.before.reset(), progress.done.reset(), progress.commanded.reset();
  Enter(0, now);
}

void Change::Enter(std::size_t batch, TimePoint now) {
  batch_ = batch;
  entered_ = now;
  began_.reset();
  well_since_.reset();
  // It begins by news from after the one before.
  for (Progress& progress : progress_) progress.asked.reset();
}

std::string Change::Against(const std::vector<std::size_t>& batch) const {
  for (std::size_t i = 0; i < progress_.size(); ++i) {
    if (std::find(batch.begin(), batch.end(), i) != batch.end()) continue;
    const Progress& progress = progress_[i];
    // Older news may be of before the last batch.
    if (!progress.report || progress.heard < entered_) return "no news of " + Name(i);
    const bool stopped_on_purpose = plan_.kind == StepKind::kStop && Touched(i) &&
                                    progress.report->phase == Phase::kDone && !progress.report->step.undo;
    if (!stopped_on_purpose && !progress.report->available()) return Name(i) + " is not available";
  }
  return {};
}

std::string Change::Unwell(std::size_t target) const {
  const Progress& progress = progress_[target];
  const Report& now = *progress.report;
  const bool stops = StepOf(target).kind == StepKind::kStop;
  if (stops) return now.running ? Name(target) + " runs again" : "";
  if (!now.available()) return Name(target) + " is not ready any more";
  if (now.generation != StepOf(target).generation) return Name(target) + " runs with another generation";
  if (!progress.done || !progress.before) return {};
  if (now.taken < progress.done->taken) return Name(target) + " ended while it was watched";
  const std::uint64_t taken = now.taken - progress.done->taken;
  const double share = Share(now.bad - progress.done->bad, taken);
  const bool known = progress.before->taken >= plan_.policy.least_requests;
  const double usual = known ? Share(progress.before->bad, progress.before->taken) : 0;
  if (taken < plan_.policy.least_requests || share <= usual + plan_.policy.worse_by) return {};
  return Name(target) + " refuses or fails " + Percent(share) + " of its requests, before " + Percent(usual);
}

void Change::Work(TimePoint now, std::vector<ChangeCommand>& commands) {
  if (batch_ == batches_.size()) {
    return Finish(aim_ == Aim::kForward ? ChangeEnd::kCompleted : ChangeEnd::kRolledBack, trouble_, commands);
  }
  std::vector<std::size_t> batch = batches_[batch_];
  for (const std::size_t i : batch) {
    if (!progress_[i].report || progress_[i].heard < entered_) return;  // Silent() bounds the wait
  }
  if (aim_ == Aim::kUndo) std::erase_if(batch, [this](std::size_t i) { return !Touched(i); });

  // Steps that an earlier holder had commanded need no leave to begin.
  const bool all_taken = std::all_of(batch.begin(), batch.end(), [this](std::size_t i) { return Taken(i); });
  if (!began_ && !all_taken) {
    if (const std::string why = Against(batch); !why.empty()) {
      if (now - entered_ >= plan_.policy.step_limit) Trouble(why, now, commands);
      return;
    }
    for (const std::size_t i : batch) {
      if (!Taken(i)) progress_[i].before = progress_[i].report;
    }
  }
  if (!began_) {
    began_ = now;
    std::string line = plan_.id + (aim_ == Aim::kUndo ? " undoes" : " changes");
    for (const std::size_t i : batch) line += ' ' + Name(i);
    if (!batch.empty()) commands.push_back({ChangeCommand::Kind::kSay, {}, {}, 0, line});
  }

  bool all_done = true;
  for (const std::size_t i : batch) {
    Progress& progress = progress_[i];
    if (!Taken(i)) {
      if (!progress.commanded || now - *progress.commanded >= kAskAgain) {
        progress.commanded = now;
        Question(ChangeCommand::Kind::kTake, i, now, commands);
      }
      all_done = false;
    } else if (progress.report->phase == Phase::kFailed) {
      return Trouble(Name(i) + ": " + progress.report->why, now, commands);
    } else if (progress.report->phase == Phase::kAccepted) {
      all_done = false;
    } else if (!progress.done) {
      progress.done = progress.report;
    }
  }
  if (!all_done) {
    if (now - *began_ >= plan_.policy.step_limit) {
      Trouble(
          "batch " + std::to_string(batch_ + 1) + " was not done within " + Seconds(plan_.policy.step_limit),
          now, commands);
    }
    return;
  }

  // The gate: it has looked well for the whole time, by news from after it.
  for (const std::size_t i : batch) {
    if (const std::string why = Unwell(i); !why.empty()) return Trouble(why, now, commands);
  }
  if (!well_since_) well_since_ = now;
  const TimePoint passed = *well_since_ + (batch.empty() ? Duration{0} : plan_.policy.watch);
  for (const std::size_t i : batch) {
    if (progress_[i].heard < passed) return;
  }
  Enter(batch_ + 1, now);
  Work(now, commands);
}

}  // namespace mothrack::rollout
