// The gossip task's lines, in the form of the program's own (runtime/log.h). Used on the task's thread.
#pragma once

#include <set>
#include <string>

#include "runtime/log.h"

namespace mothrack::gossip {

// The system's text for an errno value.
std::string ErrorText(int error);

// A logger with tighter limits of its own. Whatever keeps it from writing, the task goes on.
class TaskLog : public runtime::Logger {
 public:
  // `name` stands before each line.
  explicit TaskLog(const std::string& name);

  // One line for each errno value, however often the system refuses `operation` ("read"): how often shows in
  // the snapshot's counters.
  void SystemRefuses(const std::string& operation, int error);

 private:
  std::set<int> logged_errors_;
};

}  // namespace mothrack::gossip
