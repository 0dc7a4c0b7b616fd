#include "rollout/changes_model.h"

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <utility>
#include <vector>

#include "agent/agent.h"
#include "agent/store.h"
#include "rollout/change.h"
#include "rollout/claim.h"
#include "rollout/instance.h"
#include "rollout/lease.h"
#include "rollout/plan.h"

namespace mothrack::rollout::testing {
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
  limits.max_backoff = milliseconds(2000);
  limits.crash_window = milliseconds(20'000);
  return limits;
}

Policy PolicyOf(bool roll_back) {
  Policy policy;
  policy.max_unavailable = 2;
  policy.on_failure = roll_back ? OnFailure::kRollBack : OnFailure::kHold;
  policy.step_timeout = milliseconds(9000);
  policy.watch_interval = milliseconds(500);
  policy.unreachable_timeout = milliseconds(2000);
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

// Thrown through the agent's own code: it dies there.
struct Died {};

// A machine with its disk and processes, which outlive the agent on it.
struct Host {
  std::string name;
  std::string hall;
  bool up = true;
  TimePoint back_at;
  bool disk_full = false;
  agent::Stored disk;
  std::map<std::string, Process> processes;
  bool cut_off = false;
  // Of the agent's life.
  std::unique_ptr<agent::Store> store;
  std::unique_ptr<agent::Machine> machine;
  std::unique_ptr<agent::Agent> agent;
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
  Change::Direction direction = Change::Direction::kForward;
  Epoch epoch = 0;
  int claims = 0;  // of its life: each has a name of its own
  int held_in_calm = 0;
};

class Disk;
class Box;

class World {
 public:
  explicit World(std::uint64_t seed, const Script* script = nullptr) : random_(seed), script_(script) {
    for (int a = 0; a < kAgents; ++a) {
      Host host;
      host.name = "a" + std::to_string(a);
      host.hall = a < kAgents / 2 ? "bole" : "kality";
      for (int i = 0; i < kInstances; ++i) {
        const std::string name = "i" + std::to_string(i);
        host.disk.records[name].generation = "g0";
        host.processes[name] = {"", "g0", TimePoint{}, {}, false, false, 0};
      }
      hosts_.push_back(std::move(host));
    }
    for (Host& host : hosts_) Boot(host);
    if (script_ != nullptr) {
      trouble_ = 0;
      for (int i = 0; i < 2; ++i) {
        tools_.emplace_back();
        tools_.back().who = "operator " + std::to_string(i);
        tools_.back().next = TimePoint(milliseconds(i == 0 ? 100 : 500));
      }
      return;
    }
    constexpr double kTroubles[] = {0.1, 0.4, 1, 2.5};
    trouble_ = kTroubles[Upto(3)];
    // A generation that is bad everywhere, or on some machines only.
    if (Chance(0.35)) {
      for (const Host& host : hosts_) {
        if (Chance(0.5)) bad_at_.insert(host.name);
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
      for (Host& host : hosts_) Live(host);
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
    for (const Host& host : hosts_) {
      for (const auto& [name, record] : host.disk.records) {
        const auto p = host.processes.find(name);
        text += host.name + '/' + name + '=' + record.generation + ':' + record.step.token() + ':' +
                std::to_string(static_cast<int>(record.phase)) +
                (p == host.processes.end() ? " down; " : "; ");
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
    for (Host& host : hosts_) {
      if (host.up && Chance(0.0008 * trouble_)) Kill(host);
      if (Chance(host.cut_off ? 0.02 : 0.0008 * trouble_)) host.cut_off = !host.cut_off;
      if (Chance(host.disk_full ? 0.02 : 0.0008 * trouble_)) host.disk_full = !host.disk_full;
      for (auto& [name, process] : host.processes) {
        if (Chance(0.0002 * trouble_)) process.ends_at = now_;  // killed outside
        if (Chance(0.0003 * trouble_)) process.deaf = true;
      }
    }
    for (Tool& tool : tools_) {
      if (tool.up && Chance(0.0008 * trouble_)) KillTool(tool);
    }
  }

  void KillTool(Tool& tool) {
    tool.up = false;
    ++tool.life;
    ++history_.tool_deaths;
    tool.claim.reset();
    tool.change.reset();
    tool.next = now_ + milliseconds(Upto(15'000));
  }

  // No further fault: the agents come back, and one operator sets about finishing what there is.
  void Calm() {
    calm_ = true;
    for (Host& host : hosts_) {
      host.cut_off = host.disk_full = false;
      if (!host.up) host.back_at = now_;
    }
  }

  void Kill(Host& host) {
    ++history_.agent_deaths;
    host.up = false;
    host.back_at = now_ + milliseconds(Upto(8000));
    host.agent.reset();
  }

  void Boot(Host& host);

  // An agent dies here where the seed or the script says so: at each of its durable steps and of its actions,
  // just before it, or just after it and before what follows from it.
  void Point(bool after) {
    if (script_ != nullptr) {
      const int point = history_.points++;
      for (const int at : script_->agent_dies_at) {
        if (at == point) throw Died();
      }
    } else if (!calm_ && (!after || saving_) && Chance(0.01 * trouble_)) {
      throw Died();
    }
  }

  bool Save(Host& host, const std::function<void()>& write) {
    saving_ = true;
    Point(false);
    if (host.disk_full) return saving_ = false, ++history_.saves_failed, false;
    write();
    Point(true);
    return saving_ = false, true;
  }

  // Calls the agent; nothing where it died of it.
  template <typename F>
  auto Call(Host& host, F call) -> std::optional<decltype(call(*host.agent))> {
    try {
      return call(*host.agent);
    } catch (const Died&) {
      saving_ = false;
      Kill(host);
      return std::nullopt;
    }
  }

  friend class Disk;
  friend class Box;

  // ---- Messages ----

  // `late`: how likely it is to come long after it was sent.
  void Send(const Host& host, std::function<void()> arrive, double late = 0.02) {
    if (host.cut_off) return;
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
    Host& host = Of(name);
    if (script_ != nullptr && tool.who == tools_.front().who &&
        history_.commands++ == script_->tool_dies_at) {
      tool_dies_ = true;
    }
    const auto arrive = [this, &tool, &host, life = tool.life, serve, hear] {
      if (!host.up) return;
      const auto answer = Call(host, serve);
      if (!answer) return;
      Send(host, [&tool, life, hear, answer] {
        if (tool.up && tool.life == life) hear(*answer);
      });
    };
    Send(host, arrive, late);
  }

  // ---- An agent ----

  Host& Of(const std::string& name) {
    return *std::find_if(hosts_.begin(), hosts_.end(), [&](const Host& h) { return h.name == name; });
  }

  void Live(Host& host) {
    std::erase_if(host.processes,
                  [&](const auto& p) { return p.second.ends_at && now_ >= *p.second.ends_at; });
    if (host.up) {
      Call(host, [this](agent::Agent& agent) { return agent.Live(now_, 0), true; });
    } else if (now_ >= host.back_at) {
      Boot(host);
    }
  }

  ProcessState Inspect(const Host& host, const std::string& name) const {
    const auto it = host.processes.find(name);
    if (it == host.processes.end()) return {};
    const Process& p = it->second;
    return {true, p.token, p.generation, now_ >= p.ready_at && !p.draining, p.draining};
  }

  void Do(Host& host, const std::string& name, const Action& action) {
    if (action.kind == Action::Kind::kSay) return;
    Point(false);
    const auto it = host.processes.find(name);
    if (action.kind == Action::Kind::kStart) {
      if (it != host.processes.end()) return Violation("two processes for " + host.name + '/' + name);
      if (!action.token.empty() && !started_.insert(host.name + '/' + name + ' ' + action.token).second) {
        ++history_.started_again;
      }
      Process p{action.token, action.generation, now_ + milliseconds(100 + Upto(500)), {}, false, false, 0};
      if (action.generation != "g0" && bad_at_.contains(host.name)) {
        if (dies_at_once_) p.ends_at = now_ + milliseconds(Upto(300));
        p.ready_at = TimePoint::max();
      }
      host.processes[name] = p;
    } else if (it != host.processes.end() && action.kind == Action::Kind::kStop) {
      if (++it->second.stops > 1) Violation("stopped twice: " + host.name + '/' + name);
      it->second.draining = true;
      if (!it->second.deaf) it->second.ends_at = now_ + milliseconds(200 + Upto(600));
    } else if (it != host.processes.end()) {
      it->second.ends_at = now_;
    }
    Point(true);
  }

  // Counts what was refused by its epoch; checks that no holder's command comes behind a later one's.
  agent::Agent::Answer Counted(agent::Agent::Answer answer, Epoch epoch, bool command) {
    if (answer.verdict != Lessor::Verdict::kGranted) {
      ++history_.fenced;
    } else if (command) {
      if (epoch < last_taken_) Violation("a holder's command was taken after a later holder's");
      last_taken_ = std::max(last_taken_, epoch);
    }
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
    if (std::exchange(tool_dies_, false)) KillTool(tool);
  }

  std::vector<Target> Everything() const {
    std::vector<Target> targets;
    for (const Host& host : hosts_) {
      for (const auto& [name, record] : host.disk.records)
        targets.push_back({{host.name, name}, host.hall, "g0", "g1"});
    }
    return targets;
  }

  // A new change, or one that an earlier holder left: carried on or undone.
  void Begin(Tool& tool) {
    if (calm_ && &tool != &tools_.front()) return;
    std::string open;
    for (const Host& host : hosts_) {
      if (!host.up || !host.agent->lease().open) continue;
      open = host.agent->lease().open->change;
      tool.plan = *host.agent->PlanOf(open);
    }
    if (script_ != nullptr && (open.empty() ? history_.changes > 0 || &tool != &tools_.front() : calm_)) {
      const auto busy = [](const Tool& t) { return !t.up || t.claim || t.change; };
      through_ = open.empty() && history_.changes > 0 && std::none_of(tools_.begin(), tools_.end(), busy) &&
                 Settled();
      if (open.empty()) return;
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
        target.from = RecordOf(target.name).generation;
        target.to = Chance(0.2) ? target.from : "g" + std::to_string(history_.changes);
      }
      tool.direction = Change::Direction::kForward;
    } else {
      resumes = true;
      tool.direction = script_ != nullptr ? script_->then
                       : calm_            ? Change::Direction::kUndo
                       : Chance(0.5)      ? Change::Direction::kUndo
                                          : Change::Direction::kForward;
    }
    if (const auto fault = ValidatePlan(tool.plan)) return Violation(*fault);
    std::set<std::string> names;
    for (const Host& host : hosts_) names.insert(host.name);
    ++tool.claims;
    tool.claim = std::make_unique<Claim>(NameOf(tool), names, names, resumes, milliseconds(1500), now_);
  }

  void Claiming(Tool& tool) {
    std::vector<ClaimCommand> commands;
    tool.claim->Tick(now_, commands);
    const Holder holder{tool.plan.id, tool.who, tool.plan.why, 0, NameOf(tool)};
    for (const ClaimCommand& c : commands) {
      switch (c.kind) {
        case ClaimCommand::Kind::kReadEpoch:
          Ask(
              tool, c.agent, [this](agent::Agent& agent) { return agent.Highest(now_); },
              [&tool, name = c.agent](const agent::Agent::Answer& a) {
                if (tool.claim) tool.claim->OnHighestEpoch(name, a.highest);
              });
          break;
        case ClaimCommand::Kind::kAcquire:
        case ClaimCommand::Kind::kOpen:
          Ask(
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
      last_said_ = tool.claim->rejection();
      ++history_.refused_claims;
      tool.claim.reset();
      tool.next = now_ + milliseconds(500 + Upto(4000));
    }
  }

  void Release(Tool& tool, const std::string& name, Epoch epoch, bool close) {
    Ask(
        tool, name,
        [epoch, close, name = NameOf(tool)](agent::Agent& agent) {
          return agent.Release(epoch, name, close, 0);
        },
        [](const agent::Agent::Answer&) {});
  }

  void Changing(Tool& tool) {
    std::vector<ChangeCommand> commands;
    // At last, what can't be undone either (its former generation was bad, too) is left as it is.
    if (calm_ ? tool.held_in_calm >= 3 : Chance(0.0008 * trouble_)) tool.change->Abort();
    tool.change->Tick(now_, commands);
    for (const ChangeCommand& c : commands) {
      if (c.kind == ChangeCommand::Kind::kSay) {
        last_said_ = c.line;
        continue;
      }
      Ask(
          tool, c.name.agent,
          [this, c, epoch = tool.epoch, name = NameOf(tool)](agent::Agent& agent) {
            if (c.kind == ChangeCommand::Kind::kTakeStep)
              return Counted(agent.Take(c.name.instance, c.step, epoch, name, now_, 0), epoch, true);
            agent::Agent::Answer answer = Counted(agent.Renew(epoch, name, now_), epoch, false);
            if (c.kind == ChangeCommand::Kind::kReport && answer.verdict == Lessor::Verdict::kGranted) {
              answer.report = agent.ReportOf(c.name.instance);
            }
            return answer;
          },
          [this, &tool, c, asked = now_, epoch = tool.epoch](const agent::Agent::Answer& a) {
            if (!tool.change || tool.epoch != epoch) return;
            if (a.verdict != Lessor::Verdict::kGranted) {
              return tool.change->OnFenced(c.name.agent, a.holder ? a.holder->who : "");
            }
            tool.change->OnLeaseRenewed(c.name.agent, asked);
            if (a.report) tool.change->OnReport(c.name, c.number, *a.report, asked);
            if (!a.refused.empty()) tool.change->OnStepRejected(c.name, a.refused);
          },
          c.kind == ChangeCommand::Kind::kTakeStep ? 0.15 : 0.02);
    }
    if (tool.change->end()) Ended(tool, *tool.change->end());
  }

  void Ended(Tool& tool, ChangeEnd end) {
    const bool closed = end != ChangeEnd::kHeld;
    for (const Host& host : hosts_) Release(tool, host.name, tool.epoch, closed);
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
    return std::find_if(hosts_.begin(), hosts_.end(), [&](const Host& h) { return h.name == name.agent; })
        ->disk.records.at(name.instance);
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
    for (const Host& host : hosts_) {
      for (const auto& [name, record] : host.disk.records) {
        const auto it = host.processes.find(name);
        const bool stopped = it != host.processes.end() && it->second.draining;
        const bool by_step = record.phase == Phase::kAccepted &&
                             (it == host.processes.end() || it->second.token == record.token);
        const bool failed = record.phase == Phase::kFailed && host.disk.lease.open &&
                            host.disk.lease.open->change == record.step.change &&
                            (it == host.processes.end() || now_ < it->second.ready_at);
        if (!stopped && !by_step && !failed) continue;
        halls.insert(host.hall);
        ++down;
      }
    }
    if (halls.size() > 1) Violation("instances of both halls are down for a change: " + Told());
    if (down > PolicyOf(false).max_unavailable) Violation("more are down than max_unavailable: " + Told());
  }

  // Every instance is in a known state: no step is open, and what runs is what the record names.
  bool Settled() {
    for (const Host& host : hosts_) {
      if (!host.up) return false;
      for (const auto& [name, record] : host.disk.records) {
        if (record.phase == Phase::kAccepted) return false;
        const auto it = host.processes.find(name);
        if (it == host.processes.end()) {
          if (!host.agent->ReportOf(name).held) return false;
        } else if (it->second.generation != record.generation) {
          Violation(host.name + '/' + name + " runs " + it->second.generation + ", and " + record.generation +
                    " is on record");
        }
      }
    }
    return true;
  }

  std::mt19937_64 random_;
  TimePoint now_;
  bool calm_ = false;
  bool through_ = false;
  std::vector<Host> hosts_;
  const Script* script_ = nullptr;  // none: faults are drawn from the seed
  bool saving_ = false;
  bool tool_dies_ = false;
  std::set<std::string> started_;  // by instance and token
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

// The agent's disk, and its processes, as the agent sees them.
class Disk : public agent::Store {
 public:
  Disk(World& world, Host& host) : world_(world), host_(host) {}
  bool SaveLease(const LeaseState& state, const Plan* opened, const agent::Event&) override {
    return world_.Save(host_, [&] {
      host_.disk.lease = state;
      if (opened != nullptr) host_.disk.plans[opened->id] = *opened;
    });
  }
  bool SaveRecord(const std::string& instance, const InstanceRecord& record, const agent::Event&) override {
    return world_.Save(host_, [&] {
      host_.disk.records[instance] = record;
      if (!record.step.undo) world_.taken_.insert({record.step.change, {host_.name, instance}});
    });
  }
  void Note(const agent::Event&) override {}
  std::vector<agent::Event> Events(std::size_t) const override { return {}; }
  std::string fault() const override { return {}; }

 private:
  World& world_;
  Host& host_;
};

class Box : public agent::Machine {
 public:
  Box(World& world, Host& host) : world_(world), host_(host) {}
  ProcessState Inspect(const std::string& instance) override { return world_.Inspect(host_, instance); }
  void Do(const std::string& instance, const Action& action) override { world_.Do(host_, instance, action); }
  agent::RequestCounts RequestsOf(const std::string&) override { return {}; }
  bool HasGeneration(const std::string&) const override { return true; }

 private:
  World& world_;
  Host& host_;
};

void World::Boot(Host& host) {
  host.up = true;
  host.store = std::make_unique<Disk>(*this, host);
  host.machine = std::make_unique<Box>(*this, host);
  std::map<std::string, std::string> begin;
  for (const auto& [name, record] : host.disk.records) begin[name] = "g0";
  host.agent = std::make_unique<agent::Agent>(*host.store, *host.machine, host.disk, begin, Limits(),
                                              kLeaseTime, now_);
}

}  // namespace

History Play(std::uint64_t seed) { return World(seed).Run(); }
History Play(std::uint64_t seed, const Script& script) { return World(seed, &script).Run(); }

}  // namespace mothrack::rollout::testing
