// mothrackctl plan, apply, restart, drain: the plan of a new change, shown or carried out.
#include <ctime>
#include <iostream>
#include <map>
#include <random>
#include <set>
#include <utility>

#include "agent/agent_list.h"
#include "agent/directory_files.h"
#include "ctl/fleet_snapshot.h"
#include "ctl/session.h"
#include "ctl/show.h"
#include "rollout/plan.h"

namespace mothrack::ctl {
namespace {

using nlohmann::json;
using Files = std::map<std::string, std::string>;  // name to text

// The kind of change that a subcommand makes.
struct ChangeRequest {
  rollout::StepKind kind = rollout::StepKind::kRestart;
  bool sets_generation = false;
  bool carry_out = true;  // otherwise it is only shown
};

// Returns the time, by which people can tell changes apart, and random digits, which make the id unique.
std::string NewChangeId() {
  const std::time_t now = std::time(nullptr);
  std::tm utc{};
  ::gmtime_r(&now, &utc);
  char text[32];
  std::strftime(text, sizeof text, "c%Y%m%d-%H%M%S", &utc);
  constexpr char kDigits[] = "0123456789abcdef";
  constexpr int kRandomDigits = 6;
  std::random_device random;
  std::string id = std::string(text) + '-';
  for (int i = 0; i < kRandomDigits; ++i) id += kDigits[random() % 16];
  return id;
}

Files ReadFilesIn(const std::string& directory) {
  agent::DirectoryFiles read = agent::ReadDirectory(directory, agent::DirectoryEntries::kRegularFiles);
  if (read.error) throw agent::FileError(directory + ": " + read.error.message());
  if (read.files.empty()) throw agent::FileError(directory + ": has no files");
  return std::move(read.files);
}

rollout::Policy PolicyFrom(const Options& options) {
  rollout::Policy policy;
  policy.max_unavailable = options.max_unavailable;
  policy.canary = !options.no_canary;
  policy.on_failure = options.roll_back ? rollout::OnFailure::kRollBack : rollout::OnFailure::kHold;
  policy.watch_interval = rollout::Duration(options.watch_ms);
  policy.step_timeout = rollout::Duration(options.step_limit_ms);
  return policy;
}

// Returns the instances that the options name, or all, without those that already have the generation. Puts
// names from --only that match no instance into `unmatched`.
std::vector<rollout::Target> SelectTargets(Session& session, const ChangeRequest& request,
                                           const FleetSnapshot& snapshot, std::set<std::string>& unmatched) {
  const Options& options = session.options();
  unmatched = {options.only.begin(), options.only.end()};
  std::vector<rollout::Target> targets;
  for (const agent::AgentEndpoint& agent : session.driver().agents()) {
    for (const auto& [name, instance] : snapshot.agents.at(agent.name)["instances"].items()) {
      if (!options.only.empty() && unmatched.erase(agent.name + '/' + name) == 0) continue;
      const std::string from = instance.value("configured", "");
      if (request.sets_generation && from == options.generation) continue;
      const std::string to = request.sets_generation ? options.generation : from;
      targets.push_back({{agent.name, name}, agent.hall, from, to});
    }
  }
  return targets;
}

std::string DescribeTarget(const rollout::Plan& plan, const rollout::Target& target) {
  if (plan.kind == rollout::StepKind::kStop) return "stop";
  if (target.from == target.to) return "restart with " + target.to;
  return target.from + " -> " + target.to;
}

void PrintBatches(const rollout::Plan& plan) {
  std::size_t number = 0;
  for (const auto& batch : rollout::SplitIntoBatches(plan)) {
    ++number;
    std::cout << "batch " << number << (number == 1 && plan.policy.canary ? " (canary)" : "") << '\n';
    for (const std::size_t i : batch) {
      const rollout::Target& target = plan.targets[i];
      std::cout << "  " << target.hall << ' ' << target.name.agent << '/' << target.name.instance << ": "
                << DescribeTarget(plan, target) << '\n';
    }
  }
}

// Compares the files line by line with the generation that the first target has.
void PrintFileDifferences(Session& session, const rollout::Plan& plan, const Files& files) {
  const rollout::Target& first = plan.targets.front();
  const auto replies =
      session.driver().RequestAll("GET", "/v1/generation?" + first.from, {}, {first.name.agent});
  const json& reply = replies.at(first.name.agent).body;
  const json before = reply.is_object() ? reply.value("files", json::object()) : json::object();
  std::set<std::string> names;
  for (const auto& [name, text] : files) names.insert(name);
  for (const auto& [name, text] : before.items()) names.insert(name);
  for (const std::string& name : names) {
    const auto after = files.find(name);
    const std::string text =
        LineDifference(before.value(name, ""), after == files.end() ? "" : after->second);
    if (text.empty()) continue;
    std::cout << first.from << " -> " << session.options().generation << ": " << name << '\n' << text;
  }
}

ExitCode ShowPlan(Session& session, const rollout::Plan& plan, const Files& files,
                  const FleetSnapshot& snapshot) {
  PrintBatches(plan);
  if (!files.empty()) PrintFileDifferences(session, plan, files);
  const auto agent = snapshot.AgentWithOpenChange();
  if (!agent) return kDone;
  std::cout << "would be refused: change " << Printable(snapshot.OpenChange(*agent, "change"))
            << " is open at " << *agent << '\n';
  return kRefused;
}

// Sends the files to all agents before the first step, so that nothing changes anywhere if an agent refuses
// them.
ExitCode SendGeneration(Session& session, const rollout::Plan& plan, const Files& files) {
  const std::string& generation = session.options().generation;
  std::set<std::string> agents;
  for (const rollout::Target& target : plan.targets) agents.insert(target.name.agent);
  const json body = {{"name", generation}, {"files", files}};
  for (const auto& [agent, reply] : session.driver().RequestAll("POST", "/v1/generation", body, agents)) {
    if (reply.ok()) continue;
    std::string reason = agent;
    reason += " refuses generation " + generation + ": " + reply.ErrorText() + "; nothing has changed";
    return Fail(kRefused, reason);
  }
  return kDone;
}

ExitCode RunChange(Session& session, const ChangeRequest& request) {
  const Options& options = session.options();
  const FleetSnapshot snapshot = TakeSnapshot(session.driver());
  if (!snapshot.faults.empty())
    return Fail(kUnreachable, "can't be reached: " + JoinNames(snapshot.Unreachable()));
  Files files;
  if (request.sets_generation && !options.directory.empty()) files = ReadFilesIn(options.directory);
  std::set<std::string> unmatched;
  const rollout::Plan plan{NewChangeId(),
                           session.OperatorName(),
                           options.why,
                           request.kind,
                           SelectTargets(session, request, snapshot, unmatched),
                           PolicyFrom(options)};
  if (!unmatched.empty())
    return Fail(kUsage, "there is no instance " + JoinNames(unmatched) + "; see mothrackctl status");
  if (plan.targets.empty()) {
    std::cout << "nothing to change: every instance has " << options.generation << std::endl;
    return kDone;
  }
  if (const auto fault = rollout::ValidatePlan(plan)) return Fail(kUsage, *fault);
  if (!request.carry_out || options.dry_run) return ShowPlan(session, plan, files, snapshot);
  if (!files.empty()) {
    if (const ExitCode code = SendGeneration(session, plan, files); code != kDone) return code;
  }
  std::cout << plan.id << ": " << plan.targets.size() << " instances in "
            << rollout::SplitIntoBatches(plan).size() << " batches" << std::endl;
  return PrintOutcome(session.driver().CarryOut(plan, rollout::Change::Direction::kForward, false, plan.who,
                                                snapshot.ShortestLease()));
}

}  // namespace

ExitCode RunPlan(Session& session) { return RunChange(session, {rollout::StepKind::kRestart, true, false}); }

ExitCode RunApply(Session& session) { return RunChange(session, {rollout::StepKind::kRestart, true, true}); }

ExitCode RunRestart(Session& session) {
  return RunChange(session, {rollout::StepKind::kRestart, false, true});
}

ExitCode RunDrain(Session& session) { return RunChange(session, {rollout::StepKind::kStop, false, true}); }

}  // namespace mothrack::ctl
