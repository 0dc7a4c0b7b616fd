#include "changes_model.h"

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <vector>

#include "fleet/change.h"
#include "fleet/claim.h"
#include "fleet/instance.h"
#include "fleet/lease.h"
#include "fleet/plan.h"

namespace mothrack::fleet::testing {
namespace {

using std::chrono::milliseconds;

constexpr int kAgents = 4;     // two in each of two halls
constexpr int kInstances = 2;  // on each
constexpr Duration kLeaseTime{6000};
constexpr Duration kTrouble{60'000};    // faults come for so long
constexpr Duration kRecovery{240'000};  // and by then the last operator must be through

InstanceLimits Limits() {
  InstanceLimits limits;
  limits.stop = milliseconds(1500);
  limits.ready = milliseconds(2500);
  limits.longest_pause = milliseconds(2000);
  limits.crash_window = milliseconds(20'000);
  return limits;
}

Policy PolicyOf(bool roll_back) {
  Policy policy;
  policy.max_unavailable = 2;
  policy.on_failure = roll_back ? OnFailure::kRollBack : OnFailure::kHold;
  policy.step_limit = milliseconds(9000);
  policy.watch = milliseconds(500);
  policy.unreachable_limit = milliseconds(2000);
  return policy;
}

// A process lives on when its agent dies.
struct Process {
  std::string token;
  std::string generation;
  TimePoint ready_at;
  std::optional<TimePoint> ends_at;
  bool draining = false;
  bool deaf = false;  // ignores the planned stop
  int stops = 0;
};

struct Agent {
  std::string name;
  std::string hall;
  bool up = true;
  TimePoint back_at;
  bool disk_full = false;
  // On disk.
  LeaseState lease_on_disk;
  std::map<std::string, InstanceRecord> records;
  std::map<std::string, Plan> plans;
  // In memory.
  std::optional<LeaseBook> lease;
  std::map<std::string, Instance> instances;
  // The machine's.
  std::map<std::string, Process> processes;
  bool cut_off = false;
};

// An operator at a tool.
struct Tool {
  std::string who;
  std::uint64_t life = 0;  // answers to a tool that died reach nobody
  bool up = true;
  TimePoint next;  // when it begins something
  std::unique_ptr<Claim> claim;
  std::unique_ptr<Change> change;
  Plan plan;
  Change::Aim aim = Change::Aim::kForward;
  Epoch epoch = 0;
  int claims = 0;  // of its life: each has a name of its own
  int held_in_calm = 0;
};

class World {
 public:
  explicit World(std::uint64_t seed) : random_(seed) {
    for (int a = 0; a < kAgents; ++a) {
      Agent agent;
      agent.name = "a" + std::to_string(a);
      agent.hall = a < kAgents / 2 ? "bole" : "kality";
      for (int i = 0; i < kInstances; ++i) {
        const std::string name = "i" + std::to_string(i);
        agent.records[name].generation = "g0";
        agent.processes[name] = {"", "g0", TimePoint{}, {}, false, false, 0};
      }
      agents_.push_back(std::move(agent));
    }
    for (Agent& agent : agents_) Boot(agent);
    constexpr double kTroubles[] = {0.1, 0.4, 1, 2.5};
    trouble_ = kTroubles[Upto(3)];
    // A generation that is bad everywhere, or on some machines only.
    if (Chance(0.35)) {
      for (const Agent& agent : agents_) {
        if (Chance(0.5)) bad_at_.insert(agent.name);
      }
      dies_at_once_ = Chance(0.5);
    }
    for (int i = 0; i < 2; ++i) {
      tools_.emplace_back();
      tools_.back().who = "operator " + std::to_string(i);
      // Often at the same instant.
      tools_.back().next = TimePoint(milliseconds(i == 0 || Chance(0.5) ? 100 : Upto(20'000)));
    }
  }

  History Run() {
    while (history_.violation.empty() && now_.time_since_epoch() < kRecovery && !through_) {
      now_ += milliseconds(20 + Upto(80));
      const bool calm = now_.time_since_epoch() >= kTrouble;
      if (calm && !calm_) Calm();
      if (!calm) Fail();
      Deliver();
      for (Agent& agent : agents_) Live(agent);
      for (Tool& tool : tools_) Use(tool);
      CheckHalls();
    }
    if (history_.violation.empty() && !through_) Violation("no end: " + Told());
    return history_;
  }

 private:
  int Upto(int most) { return std::uniform_int_distribution<int>(0, most)(random_); }
  bool Chance(double p) { return std::uniform_real_distribution<double>(0, 1)(random_) < p; }

  void Violation(const std::string& what) {
    if (history_.violation.empty()) {
      history_.violation = what + " at " + std::to_string(now_.time_since_epoch().count()) + " ms";
    }
  }

  std::string Told() const {
    std::string text;
    for (const Agent& agent : agents_) {
      for (const auto& [name, record] : agent.records) {
        const auto p = agent.processes.find(name);
        text += agent.name + '/' + name + '=' + record.generation + ':' + record.step.token() + ':' +
                std::to_string(static_cast<int>(record.phase)) +
                (p == agent.processes.end() ? " down; " : "; ");
      }
    }
    for (const Tool& tool : tools_) {
      text += tool.who +
              (tool.change  ? " changes "
               : tool.claim ? " claims "
                            : " idle ") +
              tool.plan.id + "; ";
    }
    return text + last_said_;
  }

  // ---- Faults ----

  void Fail() {
    for (Agent& agent : agents_) {
      if (agent.up && Chance(0.0008 * trouble_)) Kill(agent);
      if (Chance(agent.cut_off ? 0.02 : 0.0008 * trouble_)) agent.cut_off = !agent.cut_off;
      if (Chance(agent.disk_full ? 0.02 : 0.0008 * trouble_)) agent.disk_full = !agent.disk_full;
      for (auto& [name, process] : agent.processes) {
        if (Chance(0.0002 * trouble_)) process.ends_at = now_;  // killed outside
        if (Chance(0.0003 * trouble_)) process.deaf = true;
      }
    }
    for (Tool& tool : tools_) {
      if (tool.up && Chance(0.0008 * trouble_)) {
        tool.up = false;
        ++tool.life;
        ++history_.tool_deaths;
        tool.claim.reset();
        tool.change.reset();
        tool.next = now_ + milliseconds(Upto(15'000));
      }
    }
  }

  // No further fault: the agents come back, and one operator sets about finishing what there is.
  void Calm() {
    calm_ = true;
    for (Agent& agent : agents_) {
      agent.cut_off = agent.disk_full = false;
      if (!agent.up) agent.back_at = now_;
    }
  }

  void Kill(Agent& agent) {
    ++history_.agent_deaths;
    agent.up = false;
    agent.back_at = now_ + milliseconds(Upto(8000));
    agent.lease.reset();
    agent.instances.clear();
  }

  void Boot(Agent& agent) {
    agent.up = true;
    agent.lease.emplace(agent.lease_on_disk, kLeaseTime, now_);
    for (const auto& [name, record] : agent.records)
      agent.instances.emplace(name, Instance(record, Limits()));
  }

  // The agent may die at each durable step: just before it, or just after it and before what follows from it.
  bool Save(Agent& agent, const std::function<void()>& write) {
    if (!calm_ && Chance(0.01 * trouble_)) return Kill(agent), false;
    if (agent.disk_full) return ++history_.saves_failed, false;
    write();
    if (!calm_ && Chance(0.01 * trouble_)) return Kill(agent), false;
    return true;
  }

  // ---- Messages ----

  // `late`: how likely it is to come long after it was sent.
  void Send(const Agent& agent, std::function<void()> arrive, double late = 0.02) {
    if (agent.cut_off) return;
    if (!calm_ && Chance(0.05 * trouble_)) return;
    for (int copies = !calm_ && Chance(0.05 * trouble_) ? 2 : 1; copies > 0; --copies) {
      int delay = Upto(150);
      if (!calm_ && Chance(late * trouble_)) delay = Upto(12'000);  // a message from long ago
      messages_.emplace(now_ + milliseconds(delay), arrive);
    }
  }

  void Deliver() {
    while (!messages_.empty() && messages_.begin()->first <= now_) {
      const auto arrive = std::move(messages_.begin()->second);
      messages_.erase(messages_.begin());
      arrive();
    }
  }

  // Calls `serve` at the agent and, with what it gives, `hear` at the tool, if that still lives.
  template <typename Serve, typename Hear>
  void Ask(Tool& tool, const std::string& name, Serve serve, Hear hear, double late = 0.02) {
    Agent& agent =
        *std::find_if(agents_.begin(), agents_.end(), [&](const Agent& a) { return a.name == name; });
    const auto arrive = [this, &tool, &agent, life = tool.life, serve, hear] {
      if (!agent.up) return;
      const auto answer = serve(agent);
      if (!answer) return;
      Send(agent, [&tool, life, hear, answer] {
        if (tool.up && tool.life == life) hear(*answer);
      });
    };
    Send(agent, arrive, late);
  }

  // ---- An agent ----

  void Live(Agent& agent) {
    for (auto it = agent.processes.begin(); it != agent.processes.end();) {
      it = it->second.ends_at && now_ >= *it->second.ends_at ? agent.processes.erase(it) : std::next(it);
    }
    if (!agent.up) {
      if (now_ >= agent.back_at) Boot(agent);
      return;
    }
    for (auto& [name, instance] : agent.instances) {
      std::vector<Action> actions;
      instance.Look(See(agent, name), now_, actions);
      if (instance.record() != agent.records.at(name)) {
        Save(agent,
             [&agent, &name = name, &instance = instance] { agent.records[name] = instance.record(); });
        if (!agent.up) return;  // `instance` is gone with it
      }
      for (const Action& action : actions) {
        if (!calm_ && Chance(0.01 * trouble_)) return Kill(agent);
        Do(agent, name, action);
      }
    }
  }

  Seen See(const Agent& agent, const std::string& name) const {
    const auto it = agent.processes.find(name);
    if (it == agent.processes.end()) return {};
    const Process& p = it->second;
    return {true, p.token, p.generation, now_ >= p.ready_at && !p.draining, p.draining};
  }

  void Do(Agent& agent, const std::string& name, const Action& action) {
    const auto it = agent.processes.find(name);
    switch (action.kind) {
      case Action::Kind::kStart: {
        if (it != agent.processes.end()) return Violation("two processes for " + agent.name + '/' + name);
        Process p{action.token, action.generation, now_ + milliseconds(100 + Upto(500)), {}, false, false, 0};
        if (action.generation != "g0" && bad_at_.contains(agent.name)) {
          if (dies_at_once_) p.ends_at = now_ + milliseconds(Upto(300));
          p.ready_at = TimePoint::max();
        }
        agent.processes[name] = p;
        break;
      }
      case Action::Kind::kStop:
        if (it == agent.processes.end()) break;
        if (++it->second.stops > 1) Violation("stopped twice: " + agent.name + '/' + name);
        it->second.draining = true;
        if (!it->second.deaf) it->second.ends_at = now_ + milliseconds(200 + Upto(600));
        break;
      case Action::Kind::kKill:
        if (it != agent.processes.end()) it->second.ends_at = now_;
        break;
      case Action::Kind::kSay:
        break;
    }
  }

  // What is told of a step's end must have reached the disk.
  Report ReportOf(const Agent& agent, const std::string& name) const {
    const Instance& instance = agent.instances.at(name);
    const Seen seen = See(agent, name);
    const InstanceRecord& record = agent.records.at(name);
    Report report;
    report.step = record.step;
    report.phase = record.phase;
    report.why = record.why;
    report.running = seen.running;
    report.ready = seen.ready;
    report.held = instance.held();
    report.generation = seen.generation;
    return report;
  }

  struct Answer {
    LeaseBook::Verdict verdict = LeaseBook::Verdict::kGranted;
    std::optional<Holder> holder;
    std::string refused;
    std::optional<Report> report;
    Epoch highest = 0;
    bool open = false;  // the change of the lease that was asked for
  };

  Answer Checked(Agent& agent, Epoch epoch, const std::string& tool) {
    Answer answer;
    answer.verdict = agent.lease->Use(epoch, tool, now_);
    if (answer.verdict != LeaseBook::Verdict::kGranted) {
      answer.holder = agent.lease->holder(now_);
      ++history_.fenced;
    }
    return answer;
  }

  std::optional<Answer> Acquire(Agent& agent, Epoch epoch, const Holder& holder, const Plan* plan) {
    LeaseBook next = *agent.lease;
    Answer answer;
    answer.verdict =
        plan != nullptr ? next.Open(epoch, holder, now_) : next.Acquire(epoch, holder, now_);
    answer.holder = agent.lease->holder(now_);
    if (answer.verdict == LeaseBook::Verdict::kOpen) answer.holder = next.state().open;
    if (answer.verdict != LeaseBook::Verdict::kGranted) return answer;
    answer.open = next.state().open && next.state().open->change == holder.change;
    const bool saved = Save(agent, [&] {
      agent.lease_on_disk = next.state();
      if (plan != nullptr) agent.plans[plan->id] = *plan;
    });
    if (!saved) return std::nullopt;
    agent.lease = next;
    return answer;
  }

  std::optional<Answer> Take(Agent& agent, const std::string& name, const Step& step, Epoch epoch,
                             const std::string& tool) {
    Answer answer = Checked(agent, epoch, tool);
    if (answer.verdict != LeaseBook::Verdict::kGranted) return answer;
    if (epoch < last_taken_) Violation("a holder's command was taken after a later holder's");
    last_taken_ = std::max(last_taken_, epoch);
    Instance next = agent.instances.at(name);
    const auto verdict = next.Take(step);
    if (verdict == Instance::Verdict::kMoved) answer.refused = "it has " + next.record().generation;
    if (verdict == Instance::Verdict::kBusy) answer.refused = "busy with " + next.record().step.token();
    if (verdict == Instance::Verdict::kTaken && next.record() != agent.records.at(name)) {
      if (!Save(agent, [&] {
            agent.records[name] = next.record();
            if (!step.undo) taken_.insert({step.change, {agent.name, name}});
          })) {
        if (!agent.up) return std::nullopt;
        answer.refused = "its disk takes nothing";
        return answer;
      }
      agent.instances.at(name) = next;
    }
    answer.report = ReportOf(agent, name);
    return answer;
  }

  // ---- A tool ----

  static std::string NameOf(const Tool& tool) {
    return tool.who + '.' + std::to_string(tool.life) + '.' + std::to_string(tool.claims);
  }

  void Use(Tool& tool) {
    if (!tool.up) {
      if (now_ < tool.next) return;
      tool.up = true;
    }
    if (!tool.claim && !tool.change && now_ >= tool.next) Begin(tool);
    if (tool.claim) Claiming(tool);
    if (tool.change) Changing(tool);
  }

  std::vector<Target> Everything() const {
    std::vector<Target> targets;
    for (const Agent& agent : agents_) {
      for (const auto& [name, record] : agent.records)
        targets.push_back({{agent.name, name}, agent.hall, "g0", "g1"});
    }
    return targets;
  }

  // A new change, or one that an earlier holder left: carried on or undone.
  void Begin(Tool& tool) {
    if (calm_ && &tool != &tools_.front()) return;
    std::string open;
    for (const Agent& agent : agents_) {
      if (!agent.up || !agent.lease->state().open) continue;
      open = agent.lease->state().open->change;
      tool.plan = agent.plans.at(open);
    }
    bool resumes = false;
    // Some begin another change regardless, and must be refused.
    if (open.empty() || (!calm_ && history_.changes < 4 && Chance(0.2))) {
      if (calm_ || history_.changes >= 4) {
        if (calm_ && Settled()) through_ = true;
        return;
      }
      tool.plan = Plan{"c" + std::to_string(++history_.changes),
                       tool.who,
                       "a test",
                       StepKind::kRestart,
                       Everything(),
                       PolicyOf(Chance(0.5))};
      // A later change goes on from where the ones before it left the fleet, a generation further.
      for (Target& target : tool.plan.targets) {
        const Agent& agent = *std::find_if(agents_.begin(), agents_.end(),
                                           [&](const Agent& a) { return a.name == target.name.agent; });
        target.from = agent.records.at(target.name.instance).generation;
        target.to = Chance(0.2) ? target.from : "g" + std::to_string(history_.changes);
      }
      tool.aim = Change::Aim::kForward;
    } else {
      resumes = true;
      tool.aim = calm_ ? Change::Aim::kUndo : Chance(0.5) ? Change::Aim::kUndo : Change::Aim::kForward;
    }
    if (const auto fault = FaultOf(tool.plan)) return Violation(*fault);
    std::set<std::string> names;
    for (const Agent& agent : agents_) names.insert(agent.name);
    ++tool.claims;
    tool.claim = std::make_unique<Claim>(NameOf(tool), names, names, resumes, milliseconds(1500), now_);
  }

  void Claiming(Tool& tool) {
    std::vector<ClaimCommand> commands;
    tool.claim->Turn(now_, commands);
    const Holder holder{tool.plan.id, tool.who, tool.plan.why, 0, NameOf(tool)};
    for (const ClaimCommand& c : commands) {
      switch (c.kind) {
        case ClaimCommand::Kind::kLook:
          Ask(
              tool, c.agent,
              [this](Agent& agent) -> std::optional<Answer> {
                return Answer{{}, agent.lease->holder(now_), {}, {}, agent.lease->state().highest, false};
              },
              [&tool, name = c.agent](const Answer& a) {
                if (tool.claim) tool.claim->Looked(name, a.highest);
              });
          break;
        case ClaimCommand::Kind::kAcquire:
        case ClaimCommand::Kind::kOpen:
          Ask(
              tool, c.agent,
              [this, c, holder, plan = tool.plan](Agent& agent) {
                return Acquire(agent, c.epoch, holder, c.kind == ClaimCommand::Kind::kOpen ? &plan : nullptr);
              },
              [&tool, c, holder](const Answer& a) {
                if (tool.claim) tool.claim->Answered(holder.tool, c.agent, c.epoch, a.verdict, a.holder, a.open);
              });
          break;
        case ClaimCommand::Kind::kRelease:
          Release(tool, c.agent, c.epoch, false);
          break;
      }
    }
    if (tool.claim->granted()) {
      tool.epoch = tool.claim->granted()->epoch;
      tool.change =
          std::make_unique<Change>(tool.plan, tool.aim, tool.epoch, kLeaseTime, tool.claim->granted()->since);
      tool.claim.reset();
    } else if (!tool.claim->refused().empty()) {
      last_said_ = tool.claim->refused();
      ++history_.refused_claims;
      tool.claim.reset();
      tool.next = now_ + milliseconds(500 + Upto(4000));
    }
  }

  void Release(Tool& tool, const std::string& name, Epoch epoch, bool close) {
    Ask(
        tool, name,
        [this, epoch, close, name = NameOf(tool)](Agent& agent) -> std::optional<Answer> {
          LeaseBook next = *agent.lease;
          next.Release(epoch, name, close);
          if (Save(agent, [&] { agent.lease_on_disk = next.state(); })) agent.lease = next;
          return std::nullopt;
        },
        [](const Answer&) {});
  }

  void Changing(Tool& tool) {
    std::vector<ChangeCommand> commands;
    // At last, what can't be undone either (its former generation was bad, too) is left as it is.
    if (calm_ ? tool.held_in_calm >= 3 : Chance(0.0008 * trouble_)) tool.change->Abort();
    tool.change->Turn(now_, commands);
    for (const ChangeCommand& c : commands) {
      if (c.kind == ChangeCommand::Kind::kSay) {
        last_said_ = c.line;
        continue;
      }
      Ask(
          tool, c.name.agent,
          [this, c, epoch = tool.epoch, name = NameOf(tool)](Agent& agent) -> std::optional<Answer> {
            if (c.kind == ChangeCommand::Kind::kTake)
              return Take(agent, c.name.instance, c.step, epoch, name);
            Answer answer = Checked(agent, epoch, name);
            if (c.kind == ChangeCommand::Kind::kReport && answer.verdict == LeaseBook::Verdict::kGranted) {
              answer.report = ReportOf(agent, c.name.instance);
            }
            return answer;
          },
          [this, &tool, c, asked = now_, epoch = tool.epoch](const Answer& a) {
            if (!tool.change || tool.epoch != epoch) return;
            if (a.verdict != LeaseBook::Verdict::kGranted) {
              return tool.change->Fenced(c.name.agent, a.holder ? a.holder->who : "");
            }
            tool.change->Renewed(c.name.agent, asked);
            if (a.report) tool.change->Heard(c.name, c.number, *a.report, asked);
            if (!a.refused.empty()) tool.change->Refused(c.name, a.refused);
          },
          c.kind == ChangeCommand::Kind::kTake ? 0.15 : 0.02);
    }
    if (tool.change->end()) Ended(tool, *tool.change->end());
  }

  void Ended(Tool& tool, ChangeEnd end) {
    const bool closed = end != ChangeEnd::kHeld;
    for (const Agent& agent : agents_) Release(tool, agent.name, tool.epoch, closed);
    tool.change.reset();
    tool.next = now_ + milliseconds(1000 + Upto(6000));
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
        if (calm_) ++tool.held_in_calm;
        break;
    }
  }

  // ---- Rules ----

  const InstanceRecord& RecordOf(const InstanceName& name) const {
    return std::find_if(agents_.begin(), agents_.end(), [&](const Agent& a) { return a.name == name.agent; })
        ->records.at(name.instance);
  }

  // What a change says of its end is so at every instance, by what is on disk.
  void CheckEnd(const Plan& plan, ChangeEnd end) {
    for (const Target& target : plan.targets) {
      const InstanceRecord& record = RecordOf(target.name);
      const std::string& wanted = end == ChangeEnd::kCompleted ? target.to : target.from;
      if (record.phase == Phase::kAccepted)
        Violation(plan.id + " ended, and " + record.step.token() + " has not");
      const bool had = taken_.contains({plan.id, target.name});
      if (end == ChangeEnd::kCompleted && !had) Violation(plan.id + " completed without a step");
      if (had && record.generation != wanted)
        Violation(plan.id + " ended with " + record.generation + ", not " + wanted);
    }
  }

  // Instances that are down for a change's sake: in one hall only, and no more than the policy allows.
  void CheckHalls() {
    std::set<std::string> halls;
    std::size_t down = 0;
    for (const Agent& agent : agents_) {
      for (const auto& [name, record] : agent.records) {
        const auto it = agent.processes.find(name);
        const bool stopped = it != agent.processes.end() && it->second.draining;
        const bool by_step = record.phase == Phase::kAccepted &&
                             (it == agent.processes.end() || it->second.token == record.token);
        const bool failed = record.phase == Phase::kFailed && agent.lease_on_disk.open &&
                            agent.lease_on_disk.open->change == record.step.change &&
                            (it == agent.processes.end() || now_ < it->second.ready_at);
        if (!stopped && !by_step && !failed) continue;
        halls.insert(agent.hall);
        ++down;
      }
    }
    if (halls.size() > 1) Violation("instances of both halls are down for a change: " + Told());
    if (down > PolicyOf(false).max_unavailable) Violation("more are down than max_unavailable: " + Told());
  }

  // Every instance is in a known state: no step is open, and what runs is what the record names.
  bool Settled() {
    for (const Agent& agent : agents_) {
      if (!agent.up) return false;
      for (const auto& [name, record] : agent.records) {
        if (record.phase == Phase::kAccepted) return false;
        const auto it = agent.processes.find(name);
        if (it == agent.processes.end()) {
          if (!agent.instances.at(name).held()) return false;
        } else if (it->second.generation != record.generation) {
          Violation(agent.name + '/' + name + " runs " + it->second.generation + ", and " +
                    record.generation + " is on record");
        }
      }
    }
    return true;
  }

  std::mt19937_64 random_;
  TimePoint now_;
  bool calm_ = false;
  bool through_ = false;
  std::vector<Agent> agents_;
  std::vector<Tool> tools_;
  std::multimap<TimePoint, std::function<void()>> messages_;
  std::set<std::string> bad_at_;
  bool dies_at_once_ = false;
  double trouble_ = 1;  // how often something fails
  std::set<std::string> ended_;
  Epoch last_taken_ = 0;
  std::set<std::pair<std::string, InstanceName>> taken_;  // steps, not undos
  std::string last_said_;
  History history_;
};

}  // namespace

History Play(std::uint64_t seed) { return World(seed).Run(); }

}  // namespace mothrack::fleet::testing
