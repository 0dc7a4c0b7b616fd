// mothrackctl explain: one instance, and the end of its log.
#include <iostream>
#include <sstream>
#include <vector>

#include "ctl/fleet_snapshot.h"
#include "ctl/session.h"
#include "ctl/show.h"

namespace mothrack::ctl {
namespace {

using nlohmann::json;

constexpr std::size_t kLogLines = 10;

void PrintInstance(const std::string& label, const json& instance) {
  std::cout << label << ": " << StateOf(instance) << ", generation "
            << Printable(instance.value("generation", ""))
            << " (configured: " << Printable(instance.value("configured", "")) << "), pid "
            << instance.value("pid", 0) << '\n'
            << "  requests since its start: " << instance.value("taken", 0) << " received, "
            << instance.value("bad", 0) << " rejected, failed or late\n";
  if (instance.value("phase", "none") != "none") {
    const json& step = instance["step"];
    const std::string why = instance.value("why", "");
    std::cout << "  last step: " << (step.value("undo", false) ? "undo of " : "")
              << Printable(step.value("change", "")) << " to " << Printable(step.value("generation", ""))
              << ", " << instance.value("phase", "") << (why.empty() ? "" : ": " + Printable(why)) << '\n';
  }
  if (instance.value("held", false))
    std::cout << "  it crashed too often and is not started again: fix the cause, then restart it\n";
}

void PrintLogEnd(const std::string& log) {
  std::cout << "  the end of its log:\n";
  std::vector<std::string> lines;
  std::istringstream in(log);
  for (std::string line; std::getline(in, line);) lines.push_back(line);
  for (std::size_t i = lines.size() > kLogLines ? lines.size() - kLogLines : 0; i < lines.size(); ++i) {
    std::cout << "    " << Printable(lines[i]) << '\n';
  }
}

}  // namespace

ExitCode RunExplain(Session& session) {
  const std::string& label = session.options().instance;
  const auto slash = label.find('/');
  const std::string agent = label.substr(0, slash);
  const std::string name = slash == std::string::npos ? "" : label.substr(slash + 1);
  const FleetSnapshot snapshot = TakeSnapshot(session.driver());
  if (const auto fault = snapshot.faults.find(agent); fault != snapshot.faults.end())
    return Fail(kUnreachable, agent + ": " + fault->second);
  const auto found = snapshot.agents.find(agent);
  if (found == snapshot.agents.end() || !found->second["instances"].contains(name))
    return Fail(kUsage, "there is no instance " + label + "; give AGENT/INSTANCE, see status");
  PrintInstance(label, found->second["instances"][name]);
  const auto reply = session.driver().RequestAll("GET", "/v1/log?" + name, {}, {agent}).at(agent);
  PrintLogEnd(reply.ok() ? reply.body.value("log", "") : reply.ErrorText());
  return kDone;
}

}  // namespace mothrack::ctl
