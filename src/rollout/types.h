// Types shared by the code of a rollout. Nothing here does I/O or reads a clock. A TimePoint belongs to one
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

// Who holds the lease, and for which change. Other operators are shown this.
struct Holder {
  std::string change;  // id of the change
  std::string who;     // the operator
  std::string why;     // the operator's reason
  std::int64_t since_unix_ms = 0;
  // Unique to each claim (src/rollout/claim.h), even among the claims of one tool for one change. It
  // distinguishes two holders that chose the same epoch, and the requests of a claim from delayed requests of
  // an earlier one.
  std::string claim_id;
  bool operator==(const Holder&) const = default;
};

// One instance of a fleet.
struct InstanceName {
  std::string agent;
  std::string instance;
  // NOLINTNEXTLINE(modernize-use-nullptr): false positive in the compiler-generated comparison
  auto operator<=>(const InstanceName&) const = default;
};

enum class StepKind {
  kRestart,  // a planned stop, then a start with the step's generation
  kStop,     // a planned stop, after which the instance stays down
};

// The part of a change that one instance carries out. A step is carried out once, and again if it failed and
// a later holder retries it. An undo comes after the step that it reverts, never before.
struct Step {
  std::string change;
  StepKind kind = StepKind::kRestart;
  bool undo = false;
  std::string generation;  // of the configuration that the instance runs with afterwards
  Epoch epoch = 0;         // of the holder that commands the step
  // The generation that the instance must have before; another one means that the plan is outdated.
  std::string from{};
  bool operator==(const Step&) const = default;

  // Identifies this change's step, or its undo, as commanded in one epoch. A process carries the token of the
  // step that it was started for.
  std::string token() const { return change + (undo ? "/undo." : "/do.") + std::to_string(epoch); }
};

// Progress of an instance's last step; kDone and kFailed are final.
enum class Phase { kNone, kAccepted, kDone, kFailed };

// An agent's report on one instance.
struct Report {
  // The last accepted step and its progress; `phase` is kNone if no step was accepted yet.
  Step step;
  Phase phase = Phase::kNone;
  std::string failure_reason;  // set with kFailed
  // The current state of the process.
  bool running = false;
  bool ready = false;
  bool held = false;       // in a crash loop: the process exited too often and is not restarted
  std::string generation;  // that the process runs with
  // Requests since the process started.
  std::uint64_t requests = 0;
  std::uint64_t failed_requests = 0;  // rejected or failed

  // Whether the instance serves requests and has no step that is about to stop it.
  bool available() const { return running && ready && phase != Phase::kAccepted; }
};

}  // namespace mothrack::rollout
