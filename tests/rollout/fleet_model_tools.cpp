// The operators' tools.
#include "rollout/fleet_model.h"

namespace mothrack::rollout::testing {

std::string FleetModel::ClaimIdOf(const Tool& tool) {
  return tool.who + '.' + std::to_string(tool.incarnation) + '.' + std::to_string(tool.claims);
}

void FleetModel::AdvanceTool(Tool& tool) {
  if (!tool.up) {
    if (now_ < tool.next_action_at) return;
    tool.up = true;
  }
  if (!tool.claim && !tool.change && now_ >= tool.next_action_at) BeginChange(tool);
  if (tool.claim) AdvanceClaim(tool);
  if (tool.change) AdvanceChange(tool);
  if (std::exchange(tool_crash_due_, false)) CrashTool(tool);
}

std::vector<Target> FleetModel::AllTargets() const {
  std::vector<Target> targets;
  for (const Host& host : hosts_) {
    for (const auto& [name, record] : host.disk.records)
      targets.push_back({{host.name, name}, host.hall, "g0", "g1"});
  }
  return targets;
}

void FleetModel::BeginChange(Tool& tool) {
  if (faults_stopped_ && &tool != &tools_.front()) return;
  std::string open;
  for (const Host& host : hosts_) {
    if (!host.up || !host.agent->lease().open) continue;
    open = host.agent->lease().open->change;
    tool.plan = *host.agent->PlanOf(open);
  }
  if (script_ != nullptr &&
      (open.empty() ? history_.changes > 0 || &tool != &tools_.front() : faults_stopped_)) {
    const auto busy = [](const Tool& other) { return !other.up || other.claim || other.change; };
    finished_ = open.empty() && history_.changes > 0 && std::none_of(tools_.begin(), tools_.end(), busy) &&
                IsSettled();
    if (open.empty()) return;
  }
  bool resumes = false;
  // Some operators begin another change although one is open; their claim must be rejected.
  if (open.empty() || (!faults_stopped_ && history_.changes < 4 && Chance(0.2))) {
    if (faults_stopped_ || history_.changes >= 4) {
      if (faults_stopped_ && IsSettled()) finished_ = true;
      return;
    }
    tool.plan = Plan{"c" + std::to_string(++history_.changes),
                     tool.who,
                     "a test",
                     StepKind::kRestart,
                     AllTargets(),
                     PolicyOf(Chance(0.5))};
    // Each change starts from the generations that the earlier ones left, and usually moves to a new one.
    for (Target& target : tool.plan.targets) {
      target.from = RecordOf(target.name).generation;
      target.to = Chance(0.2) ? target.from : "g" + std::to_string(history_.changes);
    }
    tool.direction = Change::Direction::kForward;
  } else {
    resumes = true;
    tool.direction = script_ != nullptr ? script_->second_direction
                     : faults_stopped_  ? Change::Direction::kUndo
                     : Chance(0.5)      ? Change::Direction::kUndo
                                        : Change::Direction::kForward;
  }
  if (const auto fault = ValidatePlan(tool.plan)) return ReportViolation(*fault);
  std::set<std::string> names;
  for (const Host& host : hosts_) names.insert(host.name);
  ++tool.claims;
  tool.claim = std::make_unique<Claim>(ClaimIdOf(tool), names, names, resumes, milliseconds(1500), now_);
}

void FleetModel::AdvanceClaim(Tool& tool) {
  std::vector<ClaimCommand> commands;
  tool.claim->Tick(now_, commands);
  const Holder holder{tool.plan.id, tool.who, tool.plan.why, 0, ClaimIdOf(tool)};
  for (const ClaimCommand& command : commands) {
    switch (command.kind) {
      case ClaimCommand::Kind::kReadEpoch:
        SendRequest(
            tool, command.agent, [this](agent::Agent& agent) { return agent.ReadLease(now_); },
            [&tool, name = command.agent](const agent::Agent::Answer& answer) {
              if (tool.claim) tool.claim->OnHighestEpoch(name, answer.highest);
            });
        break;
      case ClaimCommand::Kind::kAcquire:
      case ClaimCommand::Kind::kOpen:
        SendRequest(
            tool, command.agent,
            [this, command, holder, plan = tool.plan](agent::Agent& agent) {
              return command.kind == ClaimCommand::Kind::kOpen
                         ? agent.Open(command.epoch, holder, plan, now_, 0)
                         : agent.Acquire(command.epoch, holder, now_, 0);
            },
            [&tool, command, holder](const agent::Agent::Answer& answer) {
              if (tool.claim && answer.refusal_text.empty())
                tool.claim->OnLeaseAnswer(holder.claim_id, command.agent, command.epoch, answer.verdict,
                                          answer.holder, answer.open);
            });
        break;
      case ClaimCommand::Kind::kRelease:
        Release(tool, command.agent, command.epoch, false);
        break;
    }
  }
  if (tool.claim->granted()) {
    tool.epoch = tool.claim->granted()->epoch;
    tool.change = std::make_unique<Change>(tool.plan, tool.direction, tool.epoch, kLeaseDuration,
                                           tool.claim->granted()->since);
    tool.claim.reset();
  } else if (!tool.claim->rejection().empty()) {
    last_message_ = tool.claim->rejection();
    ++history_.rejected_claims;
    tool.claim.reset();
    tool.next_action_at = now_ + milliseconds(500 + UniformUpTo(4000));
  }
}

void FleetModel::Release(Tool& tool, const std::string& name, Epoch epoch, bool close) {
  SendRequest(
      tool, name,
      [epoch, close, name = ClaimIdOf(tool)](agent::Agent& agent) {
        return agent.Release(epoch, name, close, 0);
      },
      [](const agent::Agent::Answer&) {});
}

void FleetModel::AdvanceChange(Tool& tool) {
  std::vector<ChangeCommand> commands;
  // Once faults have stopped, a change that was held repeatedly is aborted: its undo fails as well if the
  // former generation is faulty too.
  if (faults_stopped_ ? tool.held_after_faults >= 3 : Chance(0.0008 * fault_rate_)) tool.change->Abort();
  tool.change->Tick(now_, commands);
  for (const ChangeCommand& command : commands) {
    if (command.kind == ChangeCommand::Kind::kPrint) {
      last_message_ = command.line;
      continue;
    }
    SendRequest(
        tool, command.name.agent,
        [this, command, epoch = tool.epoch, name = ClaimIdOf(tool)](agent::Agent& agent) {
          if (command.kind == ChangeCommand::Kind::kSendStep)
            return CheckFencing(agent.AcceptStep(command.name.instance, command.step, epoch, name, now_, 0),
                                epoch, true);
          agent::Agent::Answer answer = CheckFencing(agent.Renew(epoch, name, now_), epoch, false);
          if (command.kind == ChangeCommand::Kind::kReport && answer.verdict == Lessor::Verdict::kGranted) {
            answer.report = agent.ReportOf(command.name.instance);
          }
          return answer;
        },
        [this, &tool, command, sent_at = now_, epoch = tool.epoch](const agent::Agent::Answer& answer) {
          if (!tool.change || tool.epoch != epoch) return;
          if (answer.verdict != Lessor::Verdict::kGranted) {
            return tool.change->OnFenced(command.name.agent, answer.holder ? answer.holder->who : "");
          }
          tool.change->OnLeaseRenewed(command.name.agent, sent_at);
          if (answer.report) tool.change->OnReport(command.name, command.number, *answer.report, sent_at);
          if (!answer.refusal_text.empty()) tool.change->OnStepRejected(command.name, answer.refusal_text);
        },
        command.kind == ChangeCommand::Kind::kSendStep ? 0.15 : 0.02);
  }
  if (tool.change->end()) OnChangeEnd(tool, *tool.change->end());
}

void FleetModel::OnChangeEnd(Tool& tool, ChangeEnd end) {
  const bool closed = end != ChangeEnd::kHeld;
  for (const Host& host : hosts_) Release(tool, host.name, tool.epoch, closed);
  tool.change.reset();
  tool.next_action_at = now_ + milliseconds(1000 + UniformUpTo(6000));
  switch (end) {
    case ChangeEnd::kCompleted:
    case ChangeEnd::kRolledBack:
      ended_.insert(tool.plan.id);
      history_.end = end == ChangeEnd::kCompleted ? "completed" : "rolled back";
      if (end == ChangeEnd::kRolledBack) ++history_.rolled_back;
      CheckEnd(tool.plan, end);
      break;
    case ChangeEnd::kAborted:
      ++history_.aborted;
      history_.end = "aborted";
      break;
    case ChangeEnd::kHeld:
      history_.end = "held";
      if (faults_stopped_) ++tool.held_after_faults;
      break;
  }
}

}  // namespace mothrack::rollout::testing
