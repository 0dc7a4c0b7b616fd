// mothrackctl: sees, changes and restarts many sidecars together, through the agents of their machines.
#include <pwd.h>
#include <unistd.h>

#include <CLI/CLI.hpp>
#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <ctime>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <map>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

#include "agent/agent_api.h"
#include "agent/agent_file.h"
#include "ctl/driver.h"
#include "ctl/show.h"
#include "rollout/wire.h"

namespace mothrack::ctl {
namespace {

using nlohmann::json;

// Scripts rely on these: docs/operators/fleet.md.
enum Exit {
  kDone = 0,
  kUsage = 1,
  kRefused = 2,
  kHeldThere = 3,
  kTurnedBack = 4,
  kStoppedThere = 5,
  kNotReached = 6
};

struct Asked {
  std::string agents = "agents.toml";
  std::string who;
  std::string why;
  std::string generation;
  std::string directory;
  std::vector<std::string> only;
  std::string instance;
  bool json = false;
  bool watch = false;
  bool dry_run = false;
  bool undo = false;
  std::size_t max_unavailable = 1;
  bool no_canary = false;
  bool roll_back = false;
  int watch_ms = 2000;
  int step_limit_ms = 60'000;
  std::size_t most = 50;
};

std::string UserName() {
  const passwd* user = ::getpwuid(::getuid());
  return user != nullptr ? user->pw_name : std::to_string(::getuid());
}

// For people to name it by, and never given twice.
std::string NewId() {
  const std::time_t now = std::time(nullptr);
  std::tm utc{};
  ::gmtime_r(&now, &utc);
  char text[32];
  std::strftime(text, sizeof text, "c%Y%m%d-%H%M%S", &utc);
  constexpr char kDigits[] = "0123456789abcdef";
  std::random_device random;
  std::string id = std::string(text) + '-';
  for (int i = 0; i < 6; ++i) id += kDigits[random() % 16];
  return id;
}

std::string ClockText(std::int64_t unix_ms) {
  const std::time_t at = unix_ms / 1000;
  std::tm local{};
  ::localtime_r(&at, &local);
  char text[32];
  std::strftime(text, sizeof text, "%Y-%m-%d %H:%M:%S", &local);
  return text;
}

std::map<std::string, std::string> FilesIn(const std::string& directory) {
  std::map<std::string, std::string> files;
  std::error_code error;
  for (std::filesystem::directory_iterator it(directory, error), end; !error && it != end;
       it.increment(error)) {
    if (!it->is_regular_file()) continue;
    std::ostringstream text;
    text << std::ifstream(it->path(), std::ios::binary).rdbuf();
    files[it->path().filename().string()] = text.str();
  }
  if (error || files.empty())
    throw agent::FileError(directory + ": " + (error ? error.message() : "holds no file"));
  return files;
}

class Ctl {
 public:
  explicit Ctl(const Asked& asked)
      : asked_(asked),
        driver_(io_, agent::LoadAgentsFile(asked.agents),
                [](const std::string& line) { std::cout << Plain(line) << std::endl; }),
        signals_(io_, SIGINT, SIGTERM) {
    signals_.async_wait([this](const boost::system::error_code& error, int) {
      if (!error) driver_.Interrupt();
    });
  }

  int Status() {
    while (true) {
      LookAround();
      if (asked_.watch && ::isatty(1) != 0) std::cout << "\033[H\033[2J";
      if (asked_.json) {
        std::cout << All().dump() << std::endl;
      } else {
        std::cout << Screen() << std::flush;
      }
      if (!asked_.watch) return unreached_.empty() ? kDone : kNotReached;
      std::this_thread::sleep_for(std::chrono::seconds(1));
    }
  }

  // Of what would change; with `carry`, and then changes it.
  int Change(rollout::StepKind kind, bool configures, bool carry) {
    LookAround();
    if (!unreached_.empty()) return Refused(kNotReached, "can't be reached: " + Names(unreached_));
    std::map<std::string, std::string> files;
    if (configures && !asked_.directory.empty()) files = FilesIn(asked_.directory);
    rollout::Plan plan;
    plan.id = NewId();
    plan.who = asked_.who.empty() ? UserName() : asked_.who;
    plan.why = asked_.why;
    plan.kind = kind;
    plan.policy.max_unavailable = asked_.max_unavailable;
    plan.policy.canary = !asked_.no_canary;
    plan.policy.on_failure = asked_.roll_back ? rollout::OnFailure::kRollBack : rollout::OnFailure::kHold;
    plan.policy.watch_interval = rollout::Duration(asked_.watch_ms);
    plan.policy.step_timeout = rollout::Duration(asked_.step_limit_ms);
    std::set<std::string> wanted(asked_.only.begin(), asked_.only.end());
    for (const agent::AgentPlace& agent : driver_.agents()) {
      for (const auto& [name, instance] : about_.at(agent.name)["instances"].items()) {
        const std::string whole = agent.name + '/' + name;
        if (!asked_.only.empty() && wanted.erase(whole) == 0) continue;
        const std::string from = instance.value("configured", "");
        if (configures && from == asked_.generation) continue;
        plan.targets.push_back({{agent.name, name}, agent.hall, from, configures ? asked_.generation : from});
      }
    }
    if (!wanted.empty())
      return Refused(kUsage, "there is no instance " + Names(wanted) + "; see mothrackctl status");
    if (plan.targets.empty()) {
      std::cout << "nothing to change: every instance has " << asked_.generation << std::endl;
      return kDone;
    }
    if (const auto fault = rollout::ValidatePlan(plan)) return Refused(kUsage, *fault);
    if (!carry || asked_.dry_run) return Show(plan, files);
    // To all agents before the first step: what one of them refuses changes nothing anywhere.
    if (!files.empty()) {
      std::set<std::string> touched;
      for (const rollout::Target& target : plan.targets) touched.insert(target.name.agent);
      const json body = {{"name", asked_.generation}, {"files", files}};
      for (const auto& [agent, reply] : driver_.AskAll("POST", "/v1/generation", body, touched)) {
        if (!reply.ok())
          return Refused(kRefused, agent + " does not take " + asked_.generation + ": " + reply.ErrorText() +
                                       "; nothing has changed");
      }
    }
    std::cout << plan.id << ": " << plan.targets.size() << " instances in " << rollout::Batches(plan).size()
              << " batches" << std::endl;
    return Told(driver_.Carry(plan, rollout::Change::Direction::kForward, false, plan.who, LeaseTime()));
  }

  int Resume(bool undo) {
    const auto plan = OpenPlan();
    if (!plan) return no_plan_;
    std::cout << plan->id << " by " << Plain(plan->who) << " (" << Plain(plan->why) << ") is "
              << (undo ? "undone" : "carried on") << std::endl;
    const auto direction = undo ? rollout::Change::Direction::kUndo : rollout::Change::Direction::kForward;
    return Told(
        driver_.Carry(*plan, direction, true, asked_.who.empty() ? UserName() : asked_.who, LeaseTime()));
  }

  int Abort() {
    const auto plan = OpenPlan();
    if (!plan) return no_plan_;
    const auto outcome = driver_.Close(*plan, asked_.who.empty() ? UserName() : asked_.who);
    if (!outcome.refused.empty()) return Refused(kRefused, outcome.refused);
    std::cout << plan->id << " closed as it stands; no step is undone" << std::endl;
    return LeftOpen(outcome) ? kNotReached : kDone;
  }

  int History() {
    std::multimap<std::int64_t, std::vector<std::string>> rows;
    std::set<std::string> missing;
    for (const auto& [agent, reply] :
         driver_.AskAll("GET", "/v1/history?" + std::to_string(asked_.most), {})) {
      if (!reply.ok()) missing.insert(agent);
      for (const json& event :
           reply.body.is_object() ? reply.body.value("events", json::array()) : json::array()) {
        const auto at = event.value("at_unix_ms", std::int64_t{0});
        rows.emplace(at, std::vector<std::string>{ClockText(at), agent, event.value("change", ""),
                                                  event.value("line", "")});
      }
    }
    std::vector<std::vector<std::string>> table = {{"WHEN", "AGENT", "CHANGE", "WHAT"}};
    for (auto& [at, row] : rows) table.push_back(row);
    std::cout << Table(table);
    if (missing.empty()) return kDone;
    return Refused(kNotReached, "can't be reached: " + Names(missing));
  }

  int Explain() {
    const auto slash = asked_.instance.find('/');
    const std::string agent = asked_.instance.substr(0, slash);
    const std::string name = slash == std::string::npos ? "" : asked_.instance.substr(slash + 1);
    LookAround();
    if (unreached_.contains(agent)) return Refused(kNotReached, agent + ": " + faults_[agent]);
    if (!about_.contains(agent) || !about_[agent]["instances"].contains(name)) {
      return Refused(kUsage, "there is no instance " + asked_.instance + "; give AGENT/INSTANCE, see status");
    }
    const json& i = about_[agent]["instances"][name];
    const json& step = i["step"];
    std::cout << asked_.instance << ": " << StateOf(i) << ", generation " << Plain(i.value("generation", ""))
              << " of " << Plain(i.value("configured", "")) << " configured, pid " << i.value("pid", 0)
              << '\n'
              << "  requests since its start: " << i.value("taken", 0) << " taken, " << i.value("bad", 0)
              << " refused or failed\n";
    if (i.value("phase", "none") != "none") {
      std::cout << "  last step: " << (step.value("undo", false) ? "undo of " : "")
                << Plain(step.value("change", "")) << " to " << Plain(step.value("generation", "")) << ", "
                << i.value("phase", "")
                << (i.value("why", "").empty() ? "" : ": " + Plain(i.value("why", ""))) << '\n';
    }
    if (i.value("held", false))
      std::cout << "  it ended too often and is not started again: restart it once mended\n";
    const auto log = driver_.AskAll("GET", "/v1/log?" + name, {}, {agent});
    std::cout << "  the end of its log:\n";
    std::istringstream lines(log.at(agent).ok() ? log.at(agent).body.value("log", "")
                                                : log.at(agent).ErrorText());
    std::vector<std::string> last;
    for (std::string line; std::getline(lines, line);) last.push_back(line);
    constexpr std::size_t kShown = 10;
    for (std::size_t n = last.size() > kShown ? last.size() - kShown : 0; n < last.size(); ++n) {
      std::cout << "    " << Plain(last[n]) << '\n';
    }
    return kDone;
  }

 private:
  static std::string Names(const std::set<std::string>& names) {
    std::string text;
    for (const std::string& name : names) text += (text.empty() ? "" : ", ") + name;
    return text;
  }

  static int Refused(int code, const std::string& why) {
    std::cerr << "mothrackctl: " << Plain(why) << std::endl;
    return code;
  }

  void LookAround() {
    about_.clear();
    unreached_.clear();
    faults_.clear();
    for (auto& [agent, reply] : driver_.AskAll("GET", "/v1/agent", {})) {
      if (reply.ok() && reply.body.is_object() && reply.body.contains("instances")) {
        about_[agent] = reply.body;
      } else {
        unreached_.insert(agent);
        faults_[agent] = reply.ErrorText();
      }
    }
  }

  rollout::Duration LeaseTime() const {
    std::int64_t shortest = 10'000;
    for (const auto& [agent, about] : about_)
      shortest = std::min(shortest, about.value("lease_ms", shortest));
    return rollout::Duration(shortest);
  }

  static std::string StateOf(const json& i) {
    if (i.value("held", false)) return "held";
    if (i.value("phase", "") == "accepted") return i.value("running", false) ? "changing" : "starting";
    if (!i.value("running", false)) return i.value("wanted", true) ? "down" : "stopped";
    if (!i.value("ready", false)) return "not ready";
    return i.value("generation", "") == i.value("configured", "") ? "ready" : "other generation";
  }

  json All() const {
    json agents = json::object();
    for (const auto& [name, about] : about_) agents[name] = about;
    for (const auto& [name, fault] : faults_) agents[name] = {{"unreached", fault}};
    return {{"agents", std::move(agents)}};
  }

  std::string Screen() const {
    std::vector<std::vector<std::string>> rows = {
        {"HALL", "AGENT", "INSTANCE", "STATE", "GENERATION", "TAKEN", "BAD", "STEP"}};
    std::string notes;
    std::size_t ready = 0;
    std::size_t all = 0;
    std::set<std::string> told;
    for (const agent::AgentPlace& agent : driver_.agents()) {
      if (const auto fault = faults_.find(agent.name); fault != faults_.end()) {
        rows.push_back({agent.hall, agent.name, "", "NOT REACHED: " + fault->second});
        continue;
      }
      const json& about = about_.at(agent.name);
      for (const auto& [name, i] : about["instances"].items()) {
        ++all;
        const std::string state = StateOf(i);
        ready += state == "ready" ? 1 : 0;
        const std::string phase = i.value("phase", "none");
        rows.push_back({agent.hall, agent.name, name, state, i.value("generation", ""),
                        std::to_string(i.value("taken", std::uint64_t{0})),
                        std::to_string(i.value("bad", std::uint64_t{0})),
                        phase == "none" ? "" : i["step"].value("change", "") + ' ' + phase});
      }
      if (const std::string fault = about.value("fault", ""); !fault.empty())
        notes += agent.name + ": " + fault + '\n';
      if (about.contains("open") && told.insert(about["open"].value("change", "")).second) {
        notes +=
            "open: " + about["open"].value("change", "") + " by " + about["open"].value("who", "") + " (" +
            about["open"].value("why", "") + ")" +
            (about.contains("holder") ? ", held by " + about["holder"].value("who", "") + " since " +
                                            ClockText(about["holder"].value("since_unix_ms", std::int64_t{0}))
                                      : ", nobody holds it: resume or abort") +
            '\n';
      }
    }
    std::string plain;
    std::istringstream lines(notes);
    for (std::string line; std::getline(lines, line);) plain += Plain(line) + '\n';
    return Table(rows) + plain + std::to_string(ready) + " of " + std::to_string(all) + " ready\n";
  }

  int Show(const rollout::Plan& plan, const std::map<std::string, std::string>& files) {
    std::size_t number = 0;
    for (const auto& batch : rollout::Batches(plan)) {
      ++number;
      std::cout << "batch " << number << (number == 1 && plan.policy.canary ? " (canary)" : "") << '\n';
      for (const std::size_t i : batch) {
        const rollout::Target& t = plan.targets[i];
        std::cout << "  " << t.hall << ' ' << t.name.agent << '/' << t.name.instance << ": "
                  << (plan.kind == rollout::StepKind::kStop ? "stop"
                      : t.from == t.to                      ? "restart with " + t.to
                                                            : t.from + " -> " + t.to)
                  << '\n';
      }
    }
    if (!files.empty()) {
      const rollout::Target& first = plan.targets.front();
      const auto there = driver_.AskAll("GET", "/v1/generation?" + first.from, {}, {first.name.agent});
      const json& reply = there.at(first.name.agent).body;
      const json before = reply.is_object() ? reply.value("files", json::object()) : json::object();
      std::set<std::string> names;
      for (const auto& [name, text] : files) names.insert(name);
      for (const auto& [name, text] : before.items()) names.insert(name);
      for (const std::string& name : names) {
        const auto now = files.find(name);
        const std::string text = Difference(before.value(name, ""), now == files.end() ? "" : now->second);
        if (!text.empty())
          std::cout << first.from << " -> " << asked_.generation << ": " << name << '\n' << text;
      }
    }
    for (const auto& [agent, about] : about_) {
      if (!about.contains("open")) continue;
      std::cout << "would be refused: " << Plain(about["open"].value("change", "")) << " is open at " << agent
                << '\n';
      return kRefused;
    }
    return kDone;
  }

  std::optional<rollout::Plan> OpenPlan() {
    LookAround();
    no_plan_ = kRefused;
    for (const auto& [agent, about] : about_) {
      if (!about.contains("open")) continue;
      const std::string change = about["open"].value("change", "");
      const auto plan = driver_.AskAll("GET", "/v1/plan?" + change, {}, {agent});
      if (plan.at(agent).ok()) return rollout::PlanFrom(plan.at(agent).body);
      Refused(kRefused, agent + ": " + plan.at(agent).ErrorText());
      return std::nullopt;
    }
    if (!unreached_.empty()) {
      no_plan_ =
          Refused(kNotReached, "no change is open where one was reached; not reached: " + Names(unreached_));
    } else {
      Refused(kRefused, "no change is open");
    }
    return std::nullopt;
  }

  static bool LeftOpen(const Driver::Outcome& outcome) {
    if (outcome.left_open.empty()) return false;
    std::cout << "still open at " << Names(outcome.left_open)
              << ", which can't be reached: abort once they are back" << std::endl;
    return true;
  }

  int Told(const Driver::Outcome& outcome) {
    if (!outcome.refused.empty()) return Refused(kRefused, outcome.refused + "; nothing has changed");
    const bool left = LeftOpen(outcome);
    switch (outcome.end) {
      case rollout::ChangeEnd::kCompleted:
        return left ? kNotReached : kDone;
      case rollout::ChangeEnd::kHeld:
        std::cout << "it stays open: mothrackctl resume, undo or abort" << std::endl;
        return kHeldThere;
      case rollout::ChangeEnd::kRolledBack:
        return kTurnedBack;
      case rollout::ChangeEnd::kAborted:
        break;
    }
    return kStoppedThere;
  }

  const Asked asked_;
  boost::asio::io_context io_{1};
  Driver driver_;
  boost::asio::signal_set signals_;
  std::map<std::string, json> about_;
  std::set<std::string> unreached_;
  std::map<std::string, std::string> faults_;
  int no_plan_ = kRefused;
};

void AddChangeOptions(CLI::App* command, Asked& asked) {
  command->add_option("--why", asked.why, "for the others to read")->required();
  command->add_option("--who", asked.who, "in whose name; else the user's");
  command->add_option("--only", asked.only, "these AGENT/INSTANCE instead of all");
  command->add_option("--max-unavailable", asked.max_unavailable, "down at once, in one hall")
      ->check(CLI::Range(std::size_t{1}, std::size_t{1000}));
  command->add_flag("--no-canary", asked.no_canary, "the first one does not go alone");
  command->add_flag("--roll-back", asked.roll_back, "undo where a gate fails, instead of holding");
  command->add_option("--watch-ms", asked.watch_ms, "for which a batch must look well")
      ->check(CLI::Range(0, 600'000));
  command->add_option("--step-limit-ms", asked.step_limit_ms, "for a batch's steps")
      ->check(CLI::Range(1000, 3'600'000));
  command->add_flag("--dry-run", asked.dry_run, "only show what would be done");
}

}  // namespace
}  // namespace mothrack::ctl

int main(int argc, char** argv) {
  using namespace mothrack::ctl;
  namespace rollout = mothrack::rollout;
  std::signal(SIGPIPE, SIG_IGN);
  CLI::App app{
      "mothrackctl: sees, changes and restarts many sidecars together. Nothing is ever asked of a person; "
      "exit\n"
      "codes: 0 done, 1 usage, 2 refused, 3 held, 4 rolled back, 5 aborted, 6 not all agents reached."};
  app.set_version_flag("--version", "mothrackctl " MOTHRACK_VERSION);
  app.require_subcommand(1);
  Asked asked;
  app.add_option("--agents", asked.agents, "the list of agents (TOML), as deploy/agents.toml")
      ->type_name("FILE");
  CLI::App* status = app.add_subcommand("status", "every instance of every hall");
  status->add_flag("--json", asked.json, "for scripts");
  status->add_flag("--watch", asked.watch, "again every second");
  CLI::App* plan = app.add_subcommand("plan", "what an apply would change, batch by batch and line by line");
  CLI::App* apply = app.add_subcommand("apply", "a configuration generation to all, in batches");
  for (CLI::App* command : {plan, apply}) {
    command->add_option("GENERATION", asked.generation, "its name")->required();
    command->add_option("--dir", asked.directory, "its files; else it is there already")->type_name("DIR");
  }
  CLI::App* restart = app.add_subcommand("restart", "all, in batches");
  CLI::App* drain =
      app.add_subcommand("drain", "planned stop of some of one hall; they stay down until restarted");
  for (CLI::App* command : {plan, apply, restart, drain}) AddChangeOptions(command, asked);
  drain->get_option("--only")->required();
  plan->get_option("--why")->required(false);
  CLI::App* resume = app.add_subcommand("resume", "carry the open change on");
  CLI::App* undo = app.add_subcommand("undo", "undo the open change");
  CLI::App* abort = app.add_subcommand("abort", "close the open change as it stands");
  for (CLI::App* command : {resume, undo, abort})
    command->add_option("--who", asked.who, "in whose name; else the user's");
  CLI::App* history = app.add_subcommand("history", "what the agents did, by time");
  history->add_option("--most", asked.most, "of each agent")->check(CLI::Range(1, 500));
  CLI::App* explain = app.add_subcommand("explain", "one instance: why it is as it is");
  explain->add_option("INSTANCE", asked.instance, "AGENT/INSTANCE")->required();
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& e) {
    return app.exit(e) == 0 ? kDone : kUsage;
  }
  try {
    Ctl ctl(asked);
    if (status->parsed()) return ctl.Status();
    if (plan->parsed()) return ctl.Change(rollout::StepKind::kRestart, true, false);
    if (apply->parsed()) return ctl.Change(rollout::StepKind::kRestart, true, true);
    if (restart->parsed()) return ctl.Change(rollout::StepKind::kRestart, false, true);
    if (drain->parsed()) return ctl.Change(rollout::StepKind::kStop, false, true);
    if (resume->parsed()) return ctl.Resume(false);
    if (undo->parsed()) return ctl.Resume(true);
    if (abort->parsed()) return ctl.Abort();
    if (history->parsed()) return ctl.History();
    return ctl.Explain();
  } catch (const std::exception& e) {
    std::cerr << "mothrackctl: " << e.what() << std::endl;
    return kUsage;
  }
}
