#include "rollout/fleet_model.h"

namespace mothrack::rollout::testing {

std::string FleetModel::NameOf(const Tool& tool) {
  return tool.who + '.' + std::to_string(tool.incarnation) + '.' + std::to_string(tool.claims);
}

void FleetModel::AdvanceTool(Tool& tool) {
  if (!tool.up) {
    if (now_ < tool.next) return;
    tool.up = true;
  }
  if (!tool.claim && !tool.change && now_ >= tool.next) BeginChange(tool);
  if (tool.claim) AdvanceClaim(tool);
  if (tool.change) AdvanceChange(tool);
  if (std::exchange(tool_dies_, false)) KillTool(tool);
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
  if (faults_over_ && &tool != &tools_.front()) return;
  std::string open;
  for (const Host& host : hosts_) {
    if (!host.up || !host.agent->lease().open) continue;
    open = host.agent->lease().open->change;
    tool.plan = *host.agent->PlanOf(open);
  }
  if (script_ != nullptr &&
      (open.empty() ? history_.changes > 0 || &tool != &tools_.front() : faults_over_)) {
    const auto busy = [](const Tool& t) { return !t.up || t.claim || t.change; };
    finished_ =
        open.empty() && history_.changes > 0 && std::none_of(tools_.begin(), tools_.end(), busy) && Settled();
    if (open.empty()) return;
  }
  bool resumes = false;
  // Some begin another change regardless, and must be refused.
  if (open.empty() || (!faults_over_ && history_.changes < 4 && Chance(0.2))) {
    if (faults_over_ || history_.changes >= 4) {
      if (faults_over_ && Settled()) finished_ = true;
      return;
    }
    tool.plan = Plan{"c" + std::to_string(++history_.changes),
                     tool.who,
                     "a test",
                     StepKind::kRestart,
                     AllTargets(),
                     PolicyOf(Chance(0.5))};
    // A later change goes on from where the ones before it left the fleet, a generation further.
    for (Target& target : tool.plan.targets) {
      target.from = RecordOf(target.name).generation;
      target.to = Chance(0.2) ? target.from : "g" + std::to_string(history_.changes);
    }
    tool.direction = Change::Direction::kForward;
  } else {
    resumes = true;
    tool.direction = script_ != nullptr ? script_->then
                     : faults_over_     ? Change::Direction::kUndo
                     : Chance(0.5)      ? Change::Direction::kUndo
                                        : Change::Direction::kForward;
  }
  if (const auto fault = ValidatePlan(tool.plan)) return Violation(*fault);
  std::set<std::string> names;
  for (const Host& host : hosts_) names.insert(host.name);
  ++tool.claims;
  tool.claim = std::make_unique<Claim>(NameOf(tool), names, names, resumes, milliseconds(1500), now_);
}

void FleetModel::AdvanceClaim(Tool& tool) {
  std::vector<ClaimCommand> commands;
  tool.claim->Tick(now_, commands);
  const Holder holder{tool.plan.id, tool.who, tool.plan.why, 0, NameOf(tool)};
  for (const ClaimCommand& c : commands) {
    switch (c.kind) {
      case ClaimCommand::Kind::kReadEpoch:
        SendRequest(
            tool, c.agent, [this](agent::Agent& agent) { return agent.ReadLease(now_); },
            [&tool, name = c.agent](const agent::Agent::Answer& a) {
              if (tool.claim) tool.claim->OnHighestEpoch(name, a.highest);
            });
        break;
      case ClaimCommand::Kind::kAcquire:
      case ClaimCommand::Kind::kOpen:
        SendRequest(
            tool, c.agent,
            [this, c, holder, plan = tool.plan](agent::Agent& agent) {
              return c.kind == ClaimCommand::Kind::kOpen ? agent.Open(c.epoch, holder, plan, now_, 0)
                                                         : agent.Acquire(c.epoch, holder, now_, 0);
            },
            [&tool, c, holder](const agent::Agent::Answer& a) {
              if (tool.claim && a.refused.empty())
                tool.claim->OnLeaseAnswer(holder.claim_id, c.agent, c.epoch, a.verdict, a.holder, a.open);
            });
        break;
      case ClaimCommand::Kind::kRelease:
        Release(tool, c.agent, c.epoch, false);
        break;
    }
  }
  if (tool.claim->granted()) {
    tool.epoch = tool.claim->granted()->epoch;
    tool.change = std::make_unique<Change>(tool.plan, tool.direction, tool.epoch, kLeaseTime,
                                           tool.claim->granted()->since);
    tool.claim.reset();
  } else if (!tool.claim->rejection().empty()) {
    last_message_ = tool.claim->rejection();
    ++history_.refused_claims;
    tool.claim.reset();
    tool.next = now_ + milliseconds(500 + RandomUpTo(4000));
  }
}

void FleetModel::Release(Tool& tool, const std::string& name, Epoch epoch, bool close) {
  SendRequest(
      tool, name,
      [epoch, close, name = NameOf(tool)](agent::Agent& agent) {
        return agent.Release(epoch, name, close, 0);
      },
      [](const agent::Agent::Answer&) {});
}

void FleetModel::AdvanceChange(Tool& tool) {
  std::vector<ChangeCommand> commands;
  // At last, what can't be undone either (its former generation was bad, too) is left as it is.
  if (faults_over_ ? tool.held_after_faults >= 3 : Chance(0.0008 * fault_rate_)) tool.change->Abort();
  tool.change->Tick(now_, commands);
  for (const ChangeCommand& c : commands) {
    if (c.kind == ChangeCommand::Kind::kPrint) {
      last_message_ = c.line;
      continue;
    }
    SendRequest(
        tool, c.name.agent,
        [this, c, epoch = tool.epoch, name = NameOf(tool)](agent::Agent& agent) {
          if (c.kind == ChangeCommand::Kind::kSendStep)
            return CheckFencing(agent.AcceptStep(c.name.instance, c.step, epoch, name, now_, 0), epoch, true);
          agent::Agent::Answer answer = CheckFencing(agent.Renew(epoch, name, now_), epoch, false);
          if (c.kind == ChangeCommand::Kind::kReport && answer.verdict == Lessor::Verdict::kGranted) {
            answer.report = agent.ReportOf(c.name.instance);
          }
          return answer;
        },
        [this, &tool, c, sent_at = now_, epoch = tool.epoch](const agent::Agent::Answer& a) {
          if (!tool.change || tool.epoch != epoch) return;
          if (a.verdict != Lessor::Verdict::kGranted) {
            return tool.change->OnFenced(c.name.agent, a.holder ? a.holder->who : "");
          }
          tool.change->OnLeaseRenewed(c.name.agent, sent_at);
          if (a.report) tool.change->OnReport(c.name, c.number, *a.report, sent_at);
          if (!a.refused.empty()) tool.change->OnStepRejected(c.name, a.refused);
        },
        c.kind == ChangeCommand::Kind::kSendStep ? 0.15 : 0.02);
  }
  if (tool.change->end()) OnChangeEnd(tool, *tool.change->end());
}

void FleetModel::OnChangeEnd(Tool& tool, ChangeEnd end) {
  const bool closed = end != ChangeEnd::kHeld;
  for (const Host& host : hosts_) Release(tool, host.name, tool.epoch, closed);
  tool.change.reset();
  tool.next = now_ + milliseconds(1000 + RandomUpTo(6000));
  switch (end) {
    case ChangeEnd::kCompleted:
    case ChangeEnd::kRolledBack:
      ended_.insert(tool.plan.id);
      history_.end = end == ChangeEnd::kCompleted ? "completed" : "rolled back";
      if (end == ChangeEnd::kRolledBack) ++history_.undone;
      CheckEnd(tool.plan, end);
      break;
    case ChangeEnd::kAborted:
      ++history_.aborted;
      history_.end = "aborted";
      break;
    case ChangeEnd::kHeld:
      history_.end = "held";
      if (faults_over_) ++tool.held_after_faults;
      break;
  }
}

}  // namespace mothrack::rollout::testing
