// Supervises one instance for its agent: keeps the process running, restarts it with exponential backoff,
// stops restarting it in a crash loop (the instance is then "held"), and carries out steps. A step ends in a
// known state even if the agent crashes at any point.
//
// Reconcile() compares the current state of the process with the record, and derives the next actions. Only
// the record has to survive the agent: which step was accepted, and how it ended. The progress of a step is
// read from the process itself, which carries the token of the step that it was started for. So a start is
// never repeated after a crash. A stop is repeated only if the process cannot report that it is draining, and
// then a second stop is harmless.
//
// A value without I/O, like Lessor: call Accept() on a copy, make the copy's record durable, then replace the
// original by the copy. Changes that Reconcile() makes to the record are made durable as soon as the store
// allows; until then the end of a step is not reported. Not thread-safe. Rationale: docs/design/rollout.md.
#pragma once

#include <deque>
#include <optional>
#include <string>
#include <vector>

#include "rollout/types.h"

namespace mothrack::rollout {

// The durable state of an instance.
struct InstanceRecord {
  bool wanted = true;      // whether the process should run
  std::string generation;  // that the process should run with
  std::string token;       // of the last step to be carried out; empty before the first one
  Step step;               // the last accepted one
  Phase phase = Phase::kNone;
  std::string failure_reason;  // set with kFailed
  bool operator==(const InstanceRecord&) const = default;
};

// Limits of the supervision. Operators set them in [limits] of the agent's file.
struct InstanceLimits {
  Duration stop_timeout{15'000};   // for a planned stop; afterwards the process is killed
  Duration ready_timeout{10'000};  // from a start until the process reports that it is ready
  Duration first_backoff{200};  // before the restart after an unplanned exit; doubles with each further exit
  Duration max_backoff{30'000};
  // This many exits within `crash_window` are a crash loop: the instance is held.
  std::size_t crash_loop_exits = 5;
  Duration crash_window{60'000};
  std::size_t max_step_starts = 3;  // a step fails once this many of its processes have exited
};

// The current state of the process.
struct ProcessState {
  bool running = false;
  std::string token;       // that the process was started with
  std::string generation;  // that the process was started with
  bool ready = false;      // as reported by its admin API
  bool draining = false;   // as reported by its admin API
};

// An action for the caller to carry out.
struct Action {
  enum class Kind {
    kStart,  // with `generation` and `token`
    kStop,   // a planned stop
    kKill,   // the process did not exit within InstanceLimits::stop_timeout
    kLog,    // logs `line` for the people on call
  };
  Kind kind = Kind::kLog;
  std::string generation{};
  std::string token{};
  std::string line{};
};

class Instance {
 public:
  enum class Verdict {
    kAccepted,            // now or earlier; a repeated command is answered by the report
    kBusy,                // a step of another change has not ended
    kStale,               // the undo of this change was already accepted
    kGenerationMismatch,  // the instance's generation differs from the one that the change starts from
  };

  Instance(InstanceRecord record, const InstanceLimits& limits)
      : record_(std::move(record)), limits_(limits) {}

  // Any verdict except kAccepted leaves the record unchanged.
  Verdict Accept(const Step& step);
  // Appends the actions that are due. Call it at least every InstanceLimits::first_backoff, and whenever the
  // state of the process has changed.
  void Reconcile(const ProcessState& seen, TimePoint now, std::vector<Action>& actions);

  const InstanceRecord& record() const { return record_; }
  // Whether the instance is in a crash loop and not restarted. The next accepted step ends this.
  bool held() const { return crash_loop_held_; }

 private:
  void Finish(Phase phase, const std::string& failure_reason, std::vector<Action>& actions);
  void AdvanceStep(const ProcessState& seen, TimePoint now, std::vector<Action>& actions);
  void Supervise(const ProcessState& seen, TimePoint now, std::vector<Action>& actions);
  void Stop(const ProcessState& seen, TimePoint now, std::vector<Action>& actions);
  // Handles an unplanned exit: sets the time of the next start.
  void RecordExit(TimePoint now);
  void Start(TimePoint now, std::vector<Action>& actions);

  InstanceRecord record_;
  InstanceLimits limits_;
  // The members below are not durable and start afresh with each agent.
  bool was_running_ = false;
  std::optional<TimePoint> stopping_since_;
  bool killed_ = false;
  std::optional<TimePoint> started_at_;       // when the step's process was started or first seen
  std::size_t step_exits_ = 0;                // unplanned exits of the step's processes
  std::optional<TimePoint> next_start_time_;  // no start before this time
  std::deque<TimePoint> exits_;               // unplanned exits within the crash window
  bool crash_loop_held_ = false;
};

}  // namespace mothrack::rollout
