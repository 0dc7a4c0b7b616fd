// Carries one change through: its steps batch by batch, a gate after each, and what happens when one fails.
// It runs in the tool, which may die at any time: nothing of it needs to survive, as the plan and how far
// each step came are with the agents. Whoever holds the lease next builds it anew from them and goes on, or
// undoes.
//
// Driven by what is heard from the agents and by the time; every command may be lost, repeated or late:
// agents take each step once (src/rollout/instance.h), and none from a holder that was followed by another
// (src/rollout/lease.h). All times are of the tool's own steady clock.
//
// The rules that it keeps:
//   * before a batch begins, every target outside it is available, but for those that the change has stopped
//   on
//     purpose; so no more than `max_unavailable` are down at once for its sake, all in one hall;
//   * a batch ends only once each of its steps has ended well and has looked well for `watch`;
//   * nothing is commanded unless each agent that it touches has confirmed the lease a short while ago;
//   * whatever looks wrong ends it in a known state: held, with the reason, or undone.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "rollout/plan.h"
#include "rollout/types.h"

namespace mothrack::rollout {

enum class ChangeEnd {
  kCompleted,
  kHeld,        // as it stands; `why` tells. Another holder may resume or undo it
  kRolledBack,  // every step that was taken is undone
  kAborted,     // on demand: no further step, those taken stay
};

struct ChangeCommand {
  enum class Kind {
    kTakeStep,  // tells `name`'s agent to take `step`; its answer is a report
    kReport,    // asks `name`'s agent for a report
    kRenew,     // asks `name.agent` to confirm the lease
    kSay,       // `line`, for the operator
  };
  Kind kind = Kind::kSay;
  InstanceName name{};
  Step step{};
  std::uint64_t number = 0;  // comes back with the answer; kRenew: likewise
  std::string line{};
};

class Change {
 public:
  enum class Direction { kForward, kUndo };

  // `plan` has no fault. `epoch`: of the lease that it is held by. The lease of every agent that it touches
  // was granted no earlier than `lease_granted_at`, and counts for `lease_duration` there.
  Change(Plan plan, Direction direction, Epoch epoch, Duration lease_duration, TimePoint lease_granted_at);

  // What agents answer. `sent_at`: when the question left, of this clock.
  void OnReport(const InstanceName& name, std::uint64_t number, const Report& report, TimePoint sent_at);
  void OnLeaseRenewed(const std::string& agent, TimePoint sent_at);
  // An agent has another holder, or none: nothing more is commanded.
  void OnFenced(const std::string& agent, const std::string& holder);
  // An agent refused a step, as it can't be taken there.
  void OnStepRejected(const InstanceName& name, const std::string& reason);
  // The operator wants no further step.
  void Abort();

  // Appends what is to be done. Call it after each of the above, and at least every kTickInterval.
  static constexpr Duration kTickInterval{250};
  void Tick(TimePoint now, std::vector<ChangeCommand>& commands);

  std::optional<ChangeEnd> end() const { return end_; }
  const std::string& reason() const { return reason_; }

 private:
  struct Progress {
    std::optional<Report> report;              // the latest
    std::uint64_t number = 0;                  // of the question that it answers
    TimePoint polled_at;                       // when that question left
    std::optional<TimePoint> last_poll_at;     // when the last question left
    std::optional<TimePoint> last_command_at;  // when its step was, the last time
    bool command_sent = false;                 // a step was commanded, whether or not it was taken
    std::optional<Report> baseline;            // when its step was about to be commanded
    std::optional<Report> after_step;          // when its step was first seen to have ended well
  };

  // Has the target's agent taken this change's step, in the direction that it goes now? One that failed for
  // an earlier holder is tried again.
  bool StepAccepted(std::size_t target) const;
  // Is there anything to undo, or may there be?
  bool StepMaySurvive(std::size_t target) const;
  Step StepOf(std::size_t target) const;
  std::string LabelOf(std::size_t target) const;

  void Finish(ChangeEnd end, const std::string& reason, std::vector<ChangeCommand>& commands);
  // Something looks wrong: it ends held, or turns back where the policy says so.
  void HandleFailure(const std::string& reason, TimePoint now, std::vector<ChangeCommand>& commands);
  void EnterBatch(std::size_t batch, TimePoint now);
  void SendToInstance(ChangeCommand::Kind kind, std::size_t target, TimePoint now,
                      std::vector<ChangeCommand>& commands);
  void RenewAndPoll(TimePoint now, std::vector<ChangeCommand>& commands);
  // The agent that has not been heard of for too long; empty: none.
  std::string UnresponsiveAgent(TimePoint now) const;
  // What stands against beginning the batch; empty: nothing.
  std::string BatchBlocker(const std::vector<std::size_t>& batch) const;
  // What is wrong with a target whose step has ended well; empty: nothing.
  std::string HealthFault(std::size_t target) const;
  void AdvanceBatch(TimePoint now, std::vector<ChangeCommand>& commands);

  const Plan plan_;
  Direction direction_;
  const Epoch epoch_;
  const Duration lease_duration_;
  std::vector<std::vector<std::size_t>> batches_;  // in the order in which they go now
  std::vector<Progress> progress_;                 // by target
  std::map<std::string, TimePoint>
      lease_confirmed_at_;                    // by agent: when the question left that it confirmed last
  std::optional<TimePoint> last_renewal_at_;  // the last question
  std::uint64_t last_number_ = 0;
  bool started_ = false;
  std::size_t batch_ = 0;
  TimePoint batch_entered_at_;                 // the batch is the current one
  std::optional<TimePoint> batch_started_at_;  // its first step was commanded
  std::optional<TimePoint> healthy_since_;
  std::string agent_fault_;  // told by an agent, for the next turn
  bool fenced_ = false;
  bool aborted_ = false;
  std::optional<ChangeEnd> end_;
  std::string reason_;
  std::string rollback_reason_;  // why it turned back
};

}  // namespace mothrack::rollout
