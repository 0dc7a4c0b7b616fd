#include "rollout/instance.h"

#include <algorithm>

namespace mothrack::rollout {

Instance::Verdict Instance::Accept(const Step& step) {
  const bool same_change = record_.phase != Phase::kNone && record_.step.change == step.change;
  const bool retried = record_.phase == Phase::kFailed && step.epoch > record_.step.epoch;
  if (same_change && record_.step.undo == step.undo && !retried) return Verdict::kAccepted;
  if (same_change && record_.step.undo && !step.undo) return Verdict::kStale;
  // An undo supersedes the step of its own change at any point. Every other step has to wait for the end of
  // the current one.
  if (record_.phase == Phase::kAccepted && !same_change) return Verdict::kBusy;
  if (!step.undo && !same_change && record_.generation != step.from) return Verdict::kGenerationMismatch;
  record_.step = step;
  if (step.undo && !same_change) {
    // There is nothing to undo. But the step itself may still arrive and must then be rejected as stale,
    // which the recorded undo ensures.
    record_.phase = Phase::kDone;
    record_.failure_reason.clear();
    return Verdict::kAccepted;
  }
  record_.phase = Phase::kAccepted;
  record_.failure_reason.clear();
  record_.wanted = step.kind != StepKind::kStop;
  record_.generation = step.generation;
  record_.token = step.token();
  stopping_since_.reset();
  killed_ = false;
  started_at_.reset();
  step_exits_ = 0;
  next_start_time_.reset();
  exits_.clear();
  crash_loop_held_ = false;
  return Verdict::kAccepted;
}

void Instance::Reconcile(const ProcessState& seen, TimePoint now, std::vector<Action>& actions) {
  if (was_running_ && !seen.running && !stopping_since_) RecordExit(now);
  if (!seen.running) {
    stopping_since_.reset();
    killed_ = false;
  }
  was_running_ = seen.running;
  if (record_.phase == Phase::kAccepted) {
    AdvanceStep(seen, now, actions);
  } else {
    Supervise(seen, now, actions);
  }
}

void Instance::Finish(Phase phase, const std::string& failure_reason, std::vector<Action>& actions) {
  record_.phase = phase;
  record_.failure_reason = failure_reason;
  const std::string result = phase == Phase::kDone ? " done" : " failed: " + failure_reason;
  actions.push_back({Action::Kind::kLog, {}, {}, record_.step.token() + result});
}

void Instance::AdvanceStep(const ProcessState& seen, TimePoint now, std::vector<Action>& actions) {
  const bool started_for_step = seen.running && seen.token == record_.token;
  if (seen.running && !started_for_step) return Stop(seen, now, actions);
  if (!record_.wanted) return Finish(Phase::kDone, {}, actions);
  if (!seen.running) {
    if (step_exits_ >= limits_.max_step_starts) {
      return Finish(Phase::kFailed, "its process exited " + std::to_string(step_exits_) + " times", actions);
    }
    if (!next_start_time_ || now >= *next_start_time_) Start(now, actions);
    return;
  }
  if (!started_at_) started_at_ = now;
  if (seen.ready && seen.generation == record_.generation) return Finish(Phase::kDone, {}, actions);
  if (now - *started_at_ >= limits_.ready_timeout) {
    const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(limits_.ready_timeout).count();
    Finish(Phase::kFailed, "not ready within " + std::to_string(seconds) + " s", actions);
  }
}

void Instance::Supervise(const ProcessState& seen, TimePoint now, std::vector<Action>& actions) {
  if (!record_.wanted) {
    if (seen.running) Stop(seen, now, actions);
    return;
  }
  if (seen.running || crash_loop_held_) return;
  if (exits_.size() >= limits_.crash_loop_exits) {
    crash_loop_held_ = true;
    actions.push_back({Action::Kind::kLog,
                       {},
                       {},
                       "crash loop: the process exited " + std::to_string(exits_.size()) +
                           " times; held, restart it once the cause is fixed"});
    return;
  }
  if (!next_start_time_ || now >= *next_start_time_) Start(now, actions);
}

void Instance::Stop(const ProcessState& seen, TimePoint now, std::vector<Action>& actions) {
  if (!stopping_since_) {
    stopping_since_ = now;
    if (!seen.draining) actions.push_back({Action::Kind::kStop, {}, {}, {}});
  } else if (!killed_ && now - *stopping_since_ >= limits_.stop_timeout) {
    killed_ = true;
    actions.push_back({Action::Kind::kKill, {}, {}, {}});
    actions.push_back({Action::Kind::kLog, {}, {}, "killed: the process ignored the planned stop"});
  }
}

void Instance::RecordExit(TimePoint now) {
  exits_.push_back(now);
  while (!exits_.empty() && now - exits_.front() > limits_.crash_window) exits_.pop_front();
  if (record_.phase == Phase::kAccepted && started_at_) ++step_exits_;
  Duration backoff = limits_.first_backoff;
  for (std::size_t i = 1; i < exits_.size() && backoff < limits_.max_backoff; ++i) backoff *= 2;
  next_start_time_ = now + std::min(backoff, limits_.max_backoff);
}

void Instance::Start(TimePoint now, std::vector<Action>& actions) {
  // ready_timeout counts from each start, so that an early exit does not shorten the next attempt.
  if (record_.phase == Phase::kAccepted) started_at_ = now;
  // Wait for a backoff before the next start, in case this one fails: a failed start leaves no process whose
  // exit could be observed.
  next_start_time_ = now + limits_.first_backoff;
  was_running_ = true;
  actions.push_back({Action::Kind::kStart, record_.generation, record_.token, {}});
}

}  // namespace mothrack::rollout
