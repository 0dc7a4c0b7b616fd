// The gossip task's log, in the format of the program's own (runtime/log.h). Used on the task's thread only.
#pragma once

#include <set>
#include <string>

#include "runtime/log.h"

namespace mothrack::gossip {

// The message of an errno value.
std::string ErrorText(int error);

// A logger with tighter limits. If a line can't be written, the task continues.
class TaskLog : public runtime::Logger {
 public:
  // `name` is the prefix of each line.
  explicit TaskLog(const std::string& name);

  // Logs that a system call failed, once per errno value; the snapshot's counters show how often.
  // `operation`: for example "read".
  void LogSystemFailure(const std::string& operation, int error);

 private:
  std::set<int> logged_errors_;
};

}  // namespace mothrack::gossip
