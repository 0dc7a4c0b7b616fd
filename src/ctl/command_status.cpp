// mothrackctl status: every instance of every hall, as a table or as JSON.
#include <unistd.h>

#include <chrono>
#include <iostream>
#include <set>
#include <sstream>
#include <thread>
#include <vector>

#include "ctl/fleet_snapshot.h"
#include "ctl/session.h"
#include "ctl/show.h"

namespace mothrack::ctl {
namespace {

using nlohmann::json;

constexpr std::chrono::seconds kWatchInterval{1};
constexpr const char* kClearScreen = "\033[H\033[2J";

json ToJson(const FleetSnapshot& snapshot) {
  json agents = json::object();
  for (const auto& [name, agent] : snapshot.agents) agents[name] = agent;
  for (const auto& [name, fault] : snapshot.faults) agents[name] = {{"unreached", fault}};
  return {{"agents", std::move(agents)}};
}

// "open: CHANGE by WHO (WHY), ..." for the change that is open at an agent.
std::string OpenChangeNote(const json& agent) {
  const json& open = agent["open"];
  std::string note = "open: " + open.value("change", "") + " by " + open.value("who", "") + " (" +
                     open.value("why", "") + ")";
  if (!agent.contains("holder"))
    return note + ", no operator holds the lease: run mothrackctl resume or abort\n";
  const json& holder = agent["holder"];
  return note + ", held by " + holder.value("who", "") + " since " +
         FormatLocalTime(holder.value("since_unix_ms", std::int64_t{0})) + '\n';
}

class StatusTable {
 public:
  void Add(const agent::AgentEndpoint& endpoint, const FleetSnapshot& snapshot) {
    if (const auto fault = snapshot.faults.find(endpoint.name); fault != snapshot.faults.end()) {
      rows_.push_back({endpoint.hall, endpoint.name, "", "NOT REACHED: " + fault->second});
      return;
    }
    const json& agent = snapshot.agents.at(endpoint.name);
    for (const auto& [name, instance] : agent["instances"].items()) AddInstance(endpoint, name, instance);
    if (const std::string fault = agent.value("fault", ""); !fault.empty())
      notes_ += endpoint.name + ": " + fault + '\n';
    if (agent.contains("open") && open_changes_.insert(agent["open"].value("change", "")).second)
      notes_ += OpenChangeNote(agent);
  }

  std::string Text() const {
    std::string notes;
    std::istringstream lines(notes_);
    for (std::string line; std::getline(lines, line);) notes += Printable(line) + '\n';
    return FormatTable(rows_) + notes + std::to_string(ready_) + " of " + std::to_string(instances_) +
           " ready\n";
  }

 private:
  void AddInstance(const agent::AgentEndpoint& endpoint, const std::string& name, const json& instance) {
    ++instances_;
    const std::string state = StateOf(instance);
    if (state == "ready") ++ready_;
    const std::string phase = instance.value("phase", "none");
    rows_.push_back({endpoint.hall, endpoint.name, name, state, instance.value("generation", ""),
                     std::to_string(instance.value("taken", std::uint64_t{0})),
                     std::to_string(instance.value("bad", std::uint64_t{0})),
                     phase == "none" ? "" : instance["step"].value("change", "") + ' ' + phase});
  }

  std::vector<std::vector<std::string>> rows_ = {
      {"HALL", "AGENT", "INSTANCE", "STATE", "GENERATION", "TAKEN", "BAD", "STEP"}};
  std::string notes_;
  std::set<std::string> open_changes_;  // the open changes that have a note already
  std::size_t ready_ = 0;
  std::size_t instances_ = 0;
};

}  // namespace

ExitCode RunStatus(Session& session) {
  while (true) {
    const FleetSnapshot snapshot = TakeSnapshot(session.driver());
    if (session.options().watch && ::isatty(STDOUT_FILENO) != 0) std::cout << kClearScreen;
    if (session.options().json) {
      std::cout << ToJson(snapshot).dump() << std::endl;
    } else {
      StatusTable table;
      for (const agent::AgentEndpoint& endpoint : session.driver().agents()) table.Add(endpoint, snapshot);
      std::cout << table.Text() << std::flush;
    }
    if (!session.options().watch) return snapshot.faults.empty() ? kDone : kUnreachable;
    std::this_thread::sleep_for(kWatchInterval);
  }
}

}  // namespace mothrack::ctl
