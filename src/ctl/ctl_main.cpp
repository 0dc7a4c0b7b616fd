// mothrackctl: shows, changes and restarts many sidecars together, through the agents of their machines.
#include <csignal>
#include <exception>
#include <iostream>
#include <utility>
#include <variant>

#include "ctl/options.h"
#include "ctl/session.h"

namespace mothrack::ctl {
namespace {

ExitCode Run(Session& session) {
  switch (session.options().command) {
    case Command::kStatus:
      return RunStatus(session);
    case Command::kPlan:
      return RunPlan(session);
    case Command::kApply:
      return RunApply(session);
    case Command::kRestart:
      return RunRestart(session);
    case Command::kDrain:
      return RunDrain(session);
    case Command::kResume:
      return RunResume(session);
    case Command::kUndo:
      return RunUndo(session);
    case Command::kAbort:
      return RunAbort(session);
    case Command::kHistory:
      return RunHistory(session);
    case Command::kExplain:
      break;
  }
  return RunExplain(session);
}

}  // namespace
}  // namespace mothrack::ctl

int main(int argc, char** argv) {
  std::signal(SIGPIPE, SIG_IGN);
  auto parsed = mothrack::ctl::ParseCommandLine(argc, argv);
  if (const int* code = std::get_if<int>(&parsed)) return *code;
  try {
    mothrack::ctl::Session session(std::get<mothrack::ctl::Options>(std::move(parsed)));
    return mothrack::ctl::Run(session);
  } catch (const std::exception& e) {
    std::cerr << "mothrackctl: " << e.what() << std::endl;
    return mothrack::ctl::kUsage;
  }
}
