// Types that the decisions of a rollout share. Nothing here does I/O or reads a clock. A TimePoint is of one
// machine's steady clock and is never compared with another machine's.
#pragma once

#include <chrono>
#include <cstdint>
#include <string>

namespace mothrack::rollout {

using Duration = std::chrono::milliseconds;
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Duration>;

// Fencing token of the lease: each holder's epoch is greater than that of any holder before it.
using Epoch = std::uint64_t;

// Who has the lease and for which change: shown to the other operators.
struct Holder {
  std::string change;  // id of the change
  std::string who;     // the operator
  std::string why;     // the operator's reason
  std::int64_t since_unix_ms = 0;
  // Unique to each claim (src/rollout/claim.h), also of one tool for one change: it tells apart two holders
  // that chose the same epoch, and a claim's requests from late ones of a claim before it.
  std::string claim_id;
  bool operator==(const Holder&) const = default;
};

// One instance of a fleet.
struct InstanceName {
  std::string agent;
  std::string instance;
  // NOLINTNEXTLINE(modernize-use-nullptr): the check takes the comparison with 0 in the default for a pointer
  auto operator<=>(const InstanceName&) const = default;
};

enum class StepKind {
  kRestart,  // a planned stop, then a start with the step's generation
  kStop,     // a planned stop; it stays down
};

// What one instance is to do for a change: once, and once more where it failed and a later holder tries
// again. An `undo` comes after the step, never before it.
struct Step {
  std::string change;
  StepKind kind = StepKind::kRestart;
  bool undo = false;
  std::string generation;  // of the configuration that it is to run with afterwards
  Epoch epoch = 0;         // of the holder that commands it
  std::string from{};      // generation that it must have before, or the plan was made of another state
  bool operator==(const Step&) const = default;

  // Names this step among all of a fleet; a process carries the token of the step that it was started for.
  std::string token() const { return change + (undo ? "/undo." : "/do.") + std::to_string(epoch); }
};

// How far an instance's last step is; kDone and kFailed are final.
enum class Phase { kNone, kAccepted, kDone, kFailed };

// What an agent reports of one instance.
struct Report {
  // The last step that it accepted, and how far it is; `phase` is kNone before any.
  Step step;
  Phase phase = Phase::kNone;
  std::string failure_reason;  // of kFailed
  // The process as it is now.
  bool running = false;
  bool ready = false;
  bool held = false;       // crash loop: it ended too often and is not started again
  std::string generation;  // that it runs with
  // Requests since the process started.
  std::uint64_t requests = 0;
  std::uint64_t failed_requests = 0;  // rejected or failed

  // Does it serve, with no step that is going to stop it?
  bool available() const { return running && ready && phase != Phase::kAccepted; }
};

}  // namespace mothrack::rollout
