// Executes one change: its steps batch by batch, a gate after each batch, and the reaction to a failed step
// or gate. It runs in the operator's tool, which may crash at any time. None of its state needs to survive a
// crash, because the agents store the plan and the progress of each step. From these, the next holder of the
// lease builds a new Change that resumes or undoes the old one.
//
// A state machine without I/O, driven by the agents' answers and by time. Every command may be lost, repeated
// or late: an agent carries out each step once (src/rollout/instance.h), and rejects the steps of a holder
// that has been superseded (src/rollout/lease.h). All times are of the tool's own steady clock. Not
// thread-safe.
//
// Invariants:
//   * before a batch starts, every target outside it is available, except those that the change stopped on
//     purpose; so at most `max_unavailable` targets are down at once because of the change, all in one hall;
//   * a batch ends only once each of its steps is done and has been healthy for `watch_interval`;
//   * no step is commanded unless each agent that the change touches confirmed the lease within half its
//     duration;
//   * any failure ends the change in a known state: held, with the reason, or rolled back.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "rollout/plan.h"
#include "rollout/types.h"

namespace mothrack::rollout {

// How a change ended.
enum class ChangeEnd {
  kCompleted,
  kHeld,        // stopped as it is, with the reason; another holder may resume or undo it
  kRolledBack,  // every step that was accepted is undone
  kAborted,     // by the operator: no further step; accepted steps stay
};

// A message for the caller to send to an agent, or a line to print for the operator.
struct ChangeCommand {
  enum class Kind {
    kSendStep,  // sends `step` to `name`'s agent, which answers with a report
    kReport,    // polls `name`'s agent for a report
    kRenew,     // renews the lease of `name.agent`
    kPrint,     // prints `line` for the operator
  };
  Kind kind = Kind::kPrint;
  InstanceName name{};
  Step step{};
  std::uint64_t number = 0;  // of the request; the caller passes it to OnReport() with the answer
  std::string line{};
};

class Change {
 public:
  enum class Direction { kForward, kUndo };

  // `plan` passes ValidatePlan(). `epoch`: the fencing token of the lease under which the change runs. Every
  // agent that the change touches granted that lease no earlier than `lease_granted_at`, for
  // `lease_duration`.
  Change(Plan plan, Direction direction, Epoch epoch, Duration lease_duration, TimePoint lease_granted_at);

  // Handles an agent's report. `sent_at`: when the request was sent, by this tool's clock. Drops a report
  // whose number is not above that of the latest one, because it is outdated or a duplicate.
  void OnReport(const InstanceName& name, std::uint64_t number, const Report& report, TimePoint sent_at);
  // An agent confirmed the lease, in answer to a request of `sent_at`.
  void OnLeaseRenewed(const std::string& agent, TimePoint sent_at);
  // An agent refused the lease: it has granted it to `holder`, or has no holder (empty). The change ends held
  // and sends nothing more.
  void OnFenced(const std::string& agent, const std::string& holder);
  // An agent refused a step that it cannot carry out; `reason` is for the operator.
  void OnStepRejected(const InstanceName& name, const std::string& reason);
  // The operator aborts the change: no further step is commanded.
  void Abort();

  // Appends the commands that are due. Call it after each of the functions above, and at least every
  // kTickInterval.
  static constexpr Duration kTickInterval{250};
  void Tick(TimePoint now, std::vector<ChangeCommand>& commands);

  // How the change ended; std::nullopt while it is in progress.
  std::optional<ChangeEnd> end() const { return end_; }
  // Why it ended that way; empty if nothing failed.
  const std::string& reason() const { return reason_; }

 private:
  // What is known about a target. A command counts as a poll too, because its answer is a report.
  struct Progress {
    std::optional<Report> report;              // the latest
    std::uint64_t number = 0;                  // of the poll that `report` answers
    TimePoint polled_at;                       // when that poll was sent
    std::optional<TimePoint> last_poll_at;     // when the last poll was sent
    std::optional<TimePoint> last_command_at;  // when the step was last commanded
    bool command_sent = false;                 // a step was commanded, whether or not it was accepted
    std::optional<Report> baseline;            // the latest one before the step was commanded
    std::optional<Report> after_step;          // the first one that showed the step as done
  };

  // The state of a target's step in the current direction, according to the target's latest report:
  //
  //   latest report                                                        state
  //   none, of another change or direction, or failed for an older epoch   kNotAccepted: command it
  //   phase accepted                                                       kRunning: wait, up to step_timeout
  //   phase done                                                           kDone: the gate checks it
  //   phase failed                                                         kFailed: hold or roll back
  enum class StepState { kNotAccepted, kRunning, kDone, kFailed };
  StepState StepStateOf(std::size_t target) const;
  // Whether the target's agent has accepted this change's step in the current direction. A step that failed
  // for an earlier holder counts as not accepted, so it is commanded again.
  bool StepAccepted(std::size_t target) const;
  // Whether the target may have accepted a step of this change, so that there may be something to undo.
  bool MayNeedUndo(std::size_t target) const;
  // The target's step in the current direction.
  Step StepOf(std::size_t target) const;
  // "AGENT/INSTANCE", for messages.
  std::string LabelOf(std::size_t target) const;

  void Finish(ChangeEnd end, const std::string& reason, std::vector<ChangeCommand>& commands);
  // Handles a failed step or gate: the change rolls back if the policy is kRollBack, otherwise it ends held.
  // A change that is already undoing its steps ends held.
  void HandleFailure(const std::string& reason, TimePoint now, std::vector<ChangeCommand>& commands);
  void EnterBatch(std::size_t batch, TimePoint now);
  void SendToInstance(ChangeCommand::Kind kind, std::size_t target, TimePoint now,
                      std::vector<ChangeCommand>& commands);
  void RenewAndPoll(TimePoint now, std::vector<ChangeCommand>& commands);
  // Returns an agent that has not answered for too long or whose lease may have expired; empty if there is
  // none.
  std::string UnresponsiveAgent(TimePoint now) const;
  // Returns why the batch cannot start: a target outside it is not available. Empty if it can start.
  std::string BatchBlocker(const std::vector<std::size_t>& batch) const;
  // Returns what is wrong with a target whose step is done; empty if it is healthy.
  std::string HealthFault(std::size_t target) const;
  // Returns a text if the target's process was replaced while it was watched, or if its share of failed
  // requests has risen by more than the policy allows since before its step. Empty otherwise, and if there
  // were too few requests to judge by.
  std::string FailureShareFault(std::size_t target) const;

  // Advances the current batch as far as the reports allow: start, steps, gate, next batch. StartBatch(),
  // CompleteSteps() and PassGate() return true once their part is complete, and false while they wait or
  // after they called HandleFailure().
  void AdvanceBatch(TimePoint now, std::vector<ChangeCommand>& commands);
  bool StartBatch(const std::vector<std::size_t>& targets, TimePoint now,
                  std::vector<ChangeCommand>& commands);
  bool CompleteSteps(const std::vector<std::size_t>& targets, TimePoint now,
                     std::vector<ChangeCommand>& commands);
  bool PassGate(const std::vector<std::size_t>& targets, TimePoint now, std::vector<ChangeCommand>& commands);
  // The targets of the current batch that have something to do: all of them, or while undoing, those that may
  // need an undo.
  std::vector<std::size_t> BatchTargets() const;
  // Whether each target's latest report answers a poll that was sent at `since` or later.
  bool ReportsAreFresh(const std::vector<std::size_t>& targets, TimePoint since) const;
  // Commands a target's step, at most once within kRetryInterval.
  void CommandStep(std::size_t target, TimePoint now, std::vector<ChangeCommand>& commands);

  const Plan plan_;
  Direction direction_;
  const Epoch epoch_;
  const Duration lease_duration_;
  std::vector<std::vector<std::size_t>> batches_;  // targets by batch, in the current order
  std::vector<Progress> progress_;                 // by target
  // By agent: when the latest request that the agent answered by confirming the lease was sent.
  std::map<std::string, TimePoint> lease_confirmed_at_;
  std::optional<TimePoint> last_renewal_at_;  // when the leases of all agents were last renewed
  std::uint64_t last_number_ = 0;
  bool started_ = false;
  std::size_t batch_ = 0;                      // index into batches_
  TimePoint batch_entered_at_;                 // when the batch became the current one
  std::optional<TimePoint> batch_started_at_;  // when its first step was commanded
  std::optional<TimePoint> healthy_since_;     // when the whole batch first passed the gate's checks
  std::string agent_fault_;                    // reported by an agent, for the next Tick()
  bool fenced_ = false;
  bool aborted_ = false;
  std::optional<ChangeEnd> end_;
  std::string reason_;
  std::string rollback_reason_;
};

}  // namespace mothrack::rollout
