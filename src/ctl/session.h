// The context of one run of mothrackctl: its options, the driver of the agents, and the handling of SIGINT
// and SIGTERM. Single-threaded.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <set>
#include <string>

#include "ctl/driver.h"
#include "ctl/exit_code.h"
#include "ctl/options.h"

namespace mothrack::ctl {

// One run of the tool.
class Session {
 public:
  // Throws agent::FileError if the list of agents is invalid.
  explicit Session(Options options);

  const Options& options() const { return options_; }
  Driver& driver() { return driver_; }
  // The operator's name: --who, else the user's name on this machine.
  std::string OperatorName() const;

 private:
  const Options options_;
  boost::asio::io_context io_{1};
  Driver driver_;
  boost::asio::signal_set signals_;
};

// The commands. Each prints its result and returns the exit code.
ExitCode RunStatus(Session& session);
ExitCode RunPlan(Session& session);
ExitCode RunApply(Session& session);
ExitCode RunRestart(Session& session);
ExitCode RunDrain(Session& session);
ExitCode RunResume(Session& session);
ExitCode RunUndo(Session& session);
ExitCode RunAbort(Session& session);
ExitCode RunHistory(Session& session);
ExitCode RunExplain(Session& session);

// Prints on standard error why a command fails; returns `code`.
ExitCode Fail(ExitCode code, const std::string& reason);
// Prints how a change ended; returns the exit code for it.
ExitCode PrintOutcome(const Driver::Outcome& outcome);
// Prints which agents still have the change open; returns false if none has.
bool PrintLeftOpen(const Driver::Outcome& outcome);

}  // namespace mothrack::ctl
