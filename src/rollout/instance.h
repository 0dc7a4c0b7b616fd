// An agent's decisions on one instance: it keeps it running, restarts it with back-off, holds a crash loop,
// and carries a step to its known end, through its own death at any point.
//
// Driven by Reconcile(): the process as it is now, against what is wanted, gives the next actions. Nothing
// but the record need survive the agent: which step was accepted, and how it ended. How far a step had come
// is seen from the process itself, which carries the token of the step it was started for. So no start is
// ever repeated after a crash, whatever the agent was about to do; and a stop only where the process can't
// tell that it drains, which a second stop does no harm.
//
// A value without I/O, like Lessor: a copy accepts a step, its record is made durable, then the copy is kept.
// What Reconcile() changes in the record is made durable where the disk takes it; until then the end of a
// step is not told.
#pragma once

#include <deque>
#include <optional>
#include <string>
#include <vector>

#include "rollout/types.h"

namespace mothrack::rollout {

// What survives the agent.
struct InstanceRecord {
  bool wanted = true;      // is to run
  std::string generation;  // that it is to run with
  std::string token;       // of the step that it was last started for; empty before any
  Step step;               // the last one taken
  Phase phase = Phase::kNone;
  std::string failure_reason;  // of kFailed
  bool operator==(const InstanceRecord&) const = default;
};

struct InstanceLimits {
  Duration stop{15'000};        // for a planned stop; then it is killed
  Duration ready{10'000};       // from a start until it says that it is ready
  Duration first_backoff{200};  // before it is started again after it ended by itself; doubles each time
  Duration max_backoff{30'000};
  std::size_t crashes = 5;  // as many ends within `crash_window` are a crash loop: it is held
  Duration crash_window{60'000};
  std::size_t max_step_starts = 3;  // a step that saw as many of its processes end has failed
};

// The process as it is now.
struct ProcessState {
  bool running = false;
  std::string token;       // that it was started with
  std::string generation;  // likewise
  bool ready = false;      // by its own admin API
  bool draining = false;   // likewise
};

struct Action {
  enum class Kind {
    kStart,  // with `generation` and `token`
    kStop,   // a planned stop
    kKill,   // it ignores the planned stop
    kSay,    // `line`, for the people on call
  };
  Kind kind = Kind::kSay;
  std::string generation{};
  std::string token{};
  std::string line{};
};

class Instance {
 public:
  enum class Verdict {
    kAccepted,            // now, or before: a repeated command is told what became of it by the report
    kBusy,                // with another step that has not ended
    kStale,               // it has taken the undo of this change already
    kGenerationMismatch,  // it has another generation than the one that the change starts from
  };

  Instance(InstanceRecord record, const InstanceLimits& limits)
      : record_(std::move(record)), limits_(limits) {}

  Verdict Accept(const Step& step);
  // Appends what is to be done. Call it at least every `first_backoff`, and whenever the process changed.
  void Reconcile(const ProcessState& seen, TimePoint now, std::vector<Action>& actions);

  const InstanceRecord& record() const { return record_; }
  bool held() const { return crash_loop_held_; }

 private:
  void Finish(Phase phase, const std::string& why, std::vector<Action>& actions);
  void AdvanceStep(const ProcessState& seen, TimePoint now, std::vector<Action>& actions);
  void Supervise(const ProcessState& seen, TimePoint now, std::vector<Action>& actions);
  void Stop(const ProcessState& seen, TimePoint now, std::vector<Action>& actions);
  // It ended, and nobody had told it to: when to start it again.
  void RecordExit(TimePoint now);
  void Start(TimePoint now, std::vector<Action>& actions);

  InstanceRecord record_;
  InstanceLimits limits_;
  // Of this agent's life only.
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
