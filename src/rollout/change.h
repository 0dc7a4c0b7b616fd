// Carries one change through: its steps batch by batch, a gate after each batch, and what happens when a step
// or a gate fails. It runs in the tool, which may die at any time: nothing of it needs to survive, as the
// plan and the progress of each step are stored by the agents. Whoever holds the lease next builds a new
// Change from them and resumes it, or undoes it.
//
// A state machine without I/O, driven by the agents' answers and by time. Every command may be lost, repeated
// or late: an agent carries out each step once (src/rollout/instance.h), and none of a holder that another
// has followed (src/rollout/lease.h). All times are of the tool's own steady clock. Not thread-safe.
//
// Rules that it keeps:
//   * before a batch starts, every target outside it is available, but for those that the change stopped on
//     purpose; so no more than `max_unavailable` are down at once because of it, all in one hall;
//   * a batch ends only once each of its steps is done and has been healthy for `watch_interval`;
//   * nothing is commanded unless each agent that it touches confirmed the lease within half its duration;
//   * any failure ends it in a known state: held, with the reason, or rolled back.
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
  kHeld,        // as it stands, with the reason. Another holder may resume or undo it
  kRolledBack,  // every step that was accepted is undone
  kAborted,     // on demand: no further step, those accepted stay
};

// What the change wants sent to an agent, or shown to the operator.
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
  std::uint64_t number = 0;  // of the request: goes to OnReport() with its answer
  std::string line{};
};

class Change {
 public:
  enum class Direction { kForward, kUndo };

  // `plan` passes ValidatePlan(). `epoch`: the fencing token of the lease that the change is made under.
  // Every agent that the change touches granted it no earlier than `lease_granted_at`, for `lease_duration`.
  Change(Plan plan, Direction direction, Epoch epoch, Duration lease_duration, TimePoint lease_granted_at);

  // What agents answer; `sent_at`: when the request was sent, by this clock. A report whose number is not
  // above that of the latest one is dropped: it is outdated or a duplicate.
  void OnReport(const InstanceName& name, std::uint64_t number, const Report& report, TimePoint sent_at);
  void OnLeaseRenewed(const std::string& agent, TimePoint sent_at);
  // An agent has another holder, or none (empty): the change ends held and sends nothing more.
  void OnFenced(const std::string& agent, const std::string& holder);
  // An agent refused a step that can't be carried out there; `reason` is for the operator.
  void OnStepRejected(const InstanceName& name, const std::string& reason);
  // The operator wants no further step.
  void Abort();

  // Appends what is to be sent and shown. Call it after each of the above, and at least every kTickInterval.
  static constexpr Duration kTickInterval{250};
  void Tick(TimePoint now, std::vector<ChangeCommand>& commands);

  // How it ended; nothing while it is under way.
  std::optional<ChangeEnd> end() const { return end_; }
  // Why it ended so; empty where all went well.
  const std::string& reason() const { return reason_; }

 private:
  // What is known of a target. Polls are requests for a report, and commands, which are answered by one.
  struct Progress {
    std::optional<Report> report;              // the latest
    std::uint64_t number = 0;                  // of the poll that it answers
    TimePoint polled_at;                       // when that poll was sent
    std::optional<TimePoint> last_poll_at;     // when the last poll was sent
    std::optional<TimePoint> last_command_at;  // when its step was commanded last
    bool command_sent = false;                 // a step was commanded, whether or not it was accepted
    std::optional<Report> baseline;            // just before its step was commanded
    std::optional<Report> after_step;          // when its step was first seen to be done
  };

  // How far a target's step is in the direction that the change goes now, by the target's latest report:
  //
  //   latest report                                                        state
  //   none, of another change or direction, or failed for an older epoch   kNotAccepted: command it
  //   phase accepted                                                       kRunning: wait, up to step_timeout
  //   phase done                                                           kDone: the gate checks it
  //   phase failed                                                         kFailed: hold or roll back
  enum class StepState { kNotAccepted, kRunning, kDone, kFailed };
  StepState StepStateOf(std::size_t target) const;
  // Has the target's agent accepted this change's step, in the current direction? One that failed for an
  // earlier holder counts as not accepted: it is commanded again.
  bool StepAccepted(std::size_t target) const;
  // May the target have accepted a step of this change, so that there is something to undo?
  bool MayNeedUndo(std::size_t target) const;
  // What the target is to do in the current direction.
  Step StepOf(std::size_t target) const;
  // "AGENT/INSTANCE", for messages.
  std::string LabelOf(std::size_t target) const;

  void Finish(ChangeEnd end, const std::string& reason, std::vector<ChangeCommand>& commands);
  // A step or a gate failed: the change ends held, or rolls back where the policy says so. While it rolls
  // back already, it ends held.
  void HandleFailure(const std::string& reason, TimePoint now, std::vector<ChangeCommand>& commands);
  void EnterBatch(std::size_t batch, TimePoint now);
  void SendToInstance(ChangeCommand::Kind kind, std::size_t target, TimePoint now,
                      std::vector<ChangeCommand>& commands);
  void RenewAndPoll(TimePoint now, std::vector<ChangeCommand>& commands);
  // The agent that has not answered for too long, or whose lease may have run out; empty: none.
  std::string UnresponsiveAgent(TimePoint now) const;
  // Why the batch can't start: a target outside it is not available. Empty: nothing.
  std::string BatchBlocker(const std::vector<std::size_t>& batch) const;
  // What is wrong with a target whose step is done; empty: nothing.
  std::string HealthFault(std::size_t target) const;
  // Does it fail more requests, as a share, than before its step? Empty: no, or too few requests to tell.
  std::string FailureShareFault(std::size_t target) const;

  // Goes on with the current batch as far as the reports allow: start, steps, gate, next batch. Each of the
  // three returns true once its part is over; false while it waits, or where it called HandleFailure().
  void AdvanceBatch(TimePoint now, std::vector<ChangeCommand>& commands);
  bool StartBatch(const std::vector<std::size_t>& targets, TimePoint now,
                  std::vector<ChangeCommand>& commands);
  bool CompleteSteps(const std::vector<std::size_t>& targets, TimePoint now,
                     std::vector<ChangeCommand>& commands);
  bool PassGate(const std::vector<std::size_t>& targets, TimePoint now, std::vector<ChangeCommand>& commands);
  // Of the current batch, the targets that have something to do: all, or those with something to undo.
  std::vector<std::size_t> BatchTargets() const;
  // Did each target's latest report answer a poll of `since` or later?
  bool ReportsAreFresh(const std::vector<std::size_t>& targets, TimePoint since) const;
  // Commands a target's step, at most once within kRetryInterval.
  void CommandStep(std::size_t target, TimePoint now, std::vector<ChangeCommand>& commands);

  const Plan plan_;
  Direction direction_;
  const Epoch epoch_;
  const Duration lease_duration_;
  std::vector<std::vector<std::size_t>> batches_;  // targets by batch, in the order in which they go now
  std::vector<Progress> progress_;                 // by target
  // By agent: when the request was sent whose answer confirmed its lease last.
  std::map<std::string, TimePoint> lease_confirmed_at_;
  std::optional<TimePoint> last_renewal_at_;  // when the leases of all agents were last renewed
  std::uint64_t last_number_ = 0;
  bool started_ = false;
  std::size_t batch_ = 0;                      // index into batches_
  TimePoint batch_entered_at_;                 // when it became the current one
  std::optional<TimePoint> batch_started_at_;  // when its first step was commanded
  std::optional<TimePoint> healthy_since_;     // when all of it first passed the gate's checks
  std::string agent_fault_;                    // reported by an agent, for the next Tick()
  bool fenced_ = false;
  bool aborted_ = false;
  std::optional<ChangeEnd> end_;
  std::string reason_;
  std::string rollback_reason_;
};

}  // namespace mothrack::rollout
