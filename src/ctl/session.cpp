#include "ctl/session.h"

#include <pwd.h>
#include <unistd.h>

#include <csignal>
#include <iostream>
#include <utility>

#include "agent/agent_list.h"
#include "ctl/show.h"

namespace mothrack::ctl {

Session::Session(Options options)
    : options_(std::move(options)),
      driver_(io_, agent::LoadAgentsFile(options_.agents_file),
              [](const std::string& line) { std::cout << Printable(line) << std::endl; }),
      signals_(io_, SIGINT, SIGTERM) {
  signals_.async_wait([this](const boost::system::error_code& error, int) {
    if (!error) driver_.Interrupt();
  });
}

std::string Session::OperatorName() const {
  if (!options_.who.empty()) return options_.who;
  const passwd* user = ::getpwuid(::getuid());
  return user != nullptr ? user->pw_name : std::to_string(::getuid());
}

ExitCode Fail(ExitCode code, const std::string& reason) {
  std::cerr << "mothrackctl: " << Printable(reason) << std::endl;
  return code;
}

bool PrintLeftOpen(const Driver::Outcome& outcome) {
  if (outcome.left_open.empty()) return false;
  std::cout << "the change is still open at " << JoinNames(outcome.left_open)
            << "; they can't be reached: run mothrackctl abort once they are back" << std::endl;
  return true;
}

ExitCode PrintOutcome(const Driver::Outcome& outcome) {
  if (outcome.claim_error) return Fail(kRefused, outcome.claim_error->Message() + "; nothing has changed");
  const bool left_open = PrintLeftOpen(outcome);
  switch (outcome.end) {
    case rollout::ChangeEnd::kCompleted:
      return left_open ? kUnreachable : kDone;
    case rollout::ChangeEnd::kHeld:
      std::cout << "the change stays open: run mothrackctl resume, undo or abort" << std::endl;
      return kHeld;
    case rollout::ChangeEnd::kRolledBack:
      return kRolledBack;
    case rollout::ChangeEnd::kAborted:
      break;
  }
  return kAborted;
}

}  // namespace mothrack::ctl
