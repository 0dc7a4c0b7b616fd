// An agent's decisions on one instance: it keeps the process running, restarts it with exponential backoff,
// stops restarting a crash loop (the instance is "held"), and carries a step to a known end, through a crash
// of the agent at any point.
//
// Driven by Reconcile(): the process as it is now, compared with the record, gives the next actions. Nothing
// but the record need survive the agent: which step was accepted, and how it ended. How far a step had come
// is seen from the process itself, which carries the token of the step that it was started for. So no start
// is ever repeated after a crash; and a stop only where the process can't report that it drains, where a
// second stop is harmless.
//
// A value without I/O, like Lessor: a copy accepts a step, its record is made durable, then the copy replaces
// the original. What Reconcile() changes in the record is made durable as soon as the store allows; until
// then the end of a step is not reported. Not thread-safe. docs/design/rollout.md has the reasons.
#pragma once

#include <deque>
#include <optional>
#include <string>
#include <vector>

#include "rollout/types.h"

namespace mothrack::rollout {

// What survives the agent.
struct InstanceRecord {
  bool wanted = true;      // it is to run
  std::string generation;  // it is to run with this one
  std::string token;       // of the step that it was last started for; empty before any
  Step step;               // the last one accepted
  Phase phase = Phase::kNone;
  std::string failure_reason;  // of kFailed
  bool operator==(const InstanceRecord&) const = default;
};

// Bounds of the supervision; the operators' keys are in [limits] of the agent's file.
struct InstanceLimits {
  Duration stop_timeout{15'000};   // for a planned stop; then the process is killed
  Duration ready_timeout{10'000};  // from a start until the process reports that it is ready
  Duration first_backoff{200};     // before a restart after an exit by itself; doubles each time
  Duration max_backoff{30'000};
  std::size_t crash_loop_exits =
      5;  // this many exits within `crash_window` are a crash loop: the instance is held
  Duration crash_window{60'000};
  std::size_t max_step_starts = 3;  // a step fails once so many of its processes have ended
};

// The process as it is now.
struct ProcessState {
  bool running = false;
  std::string token;       // that it was started with
  std::string generation;  // likewise
  bool ready = false;      // by its own admin API
  bool draining = false;   // likewise
};

// What is to be done with the process.
struct Action {
  enum class Kind {
    kStart,  // with `generation` and `token`
    kStop,   // a planned stop
    kKill,   // it ignores the planned stop
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
    kAccepted,            // now, or before: the report answers a repeated command
    kBusy,                // a step of another change has not ended
    kStale,               // the undo of this change was accepted already
    kGenerationMismatch,  // the instance has another generation than the one that the change starts from
  };

  Instance(InstanceRecord record, const InstanceLimits& limits)
      : record_(std::move(record)), limits_(limits) {}

  // Any verdict but kAccepted leaves the record as it is.
  Verdict Accept(const Step& step);
  // Appends what is to be done. Call it at least every `first_backoff`, and whenever the process changed.
  void Reconcile(const ProcessState& seen, TimePoint now, std::vector<Action>& actions);

  const InstanceRecord& record() const { return record_; }
  // Is it a crash loop that is not restarted? The next step ends that.
  bool held() const { return crash_loop_held_; }

 private:
  void Finish(Phase phase, const std::string& why, std::vector<Action>& actions);
  void AdvanceStep(const ProcessState& seen, TimePoint now, std::vector<Action>& actions);
  void Supervise(const ProcessState& seen, TimePoint now, std::vector<Action>& actions);
  void Stop(const ProcessState& seen, TimePoint now, std::vector<Action>& actions);
  // The process ended without a stop: sets when to start it again.
  void RecordExit(TimePoint now);
  void Start(TimePoint now, std::vector<Action>& actions);

  InstanceRecord record_;
  InstanceLimits limits_;
  // Not durable: an agent that was restarted begins anew with these.
  bool was_running_ = false;
  std::optional<TimePoint> stopping_since_;
  bool killed_ = false;
  std::optional<TimePoint> started_at_;  // the step's process was first seen or started
  std::size_t step_exits_ = 0;           // of the step's processes
  std::optional<TimePoint> start_at_;    // not before
  std::deque<TimePoint> exits_;          // within the crash window
  bool crash_loop_held_ = false;
};

}  // namespace mothrack::rollout
