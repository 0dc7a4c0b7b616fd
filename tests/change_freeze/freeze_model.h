// Histories of three or five machines in one thread and in made-up time, each with a voter, a permit service
// and an agent's permits of the program's own, and with a disk, a clock and a network of the model; operators
// who open and close incidents, and tools that want permits. Machines, disks, clocks and messages fail, at
// moments drawn from one seed or at ones that a script names. simulated_cluster.h has the cluster.
#pragma once

#include <cstdint>
#include <string>

namespace mothrack::change_freeze::testing {

// Broken on purpose, at the border between the parts and what carries them: the rules must find each.
enum class InjectedFault {
  kNothing,
  kSentBeforeDurable,          // messages leave before the record is on disk
  kStaleRecordTrusted,         // a file is never taken for stale
  kFastClocks,                 // some clocks run twice as fast as others
  kValidityFromAnswer,         // an agent counts a permit from the answer, not from its request
  kStaleConfirmationAccepted,  // an agent accepts a confirmation of an older term or state
  kNoLeasePromiseAtStart,      // a voter that starts promises nothing
  kLeaseIgnored,               // a leader answers by its role alone
  kWriteFailureIgnored,        // what the disk refused is sent all the same
  kLast,
};

// What a run came to: counts of events, and the first violation.
struct History {
  std::string violation;  // of a rule, with the moment; empty: none
  int elections = 0;
  int crashes = 0;
  int torn_writes = 0;
  int saves_failed = 0;
  int stale_files = 0;
  int rejoins = 0;
  int pauses = 0;  // of a whole machine, for longer than a lease
  int leaders_paused = 0;
  int freezes = 0;             // committed
  int paused = 0;              // permits, by a freeze
  int blocked = 0;             // likewise
  int late_confirmations = 0;  // of an older term or state
  int break_glass = 0;
  int crash_points = 0;  // of a script: places where a machine may crash
};

History RunHistory(std::uint64_t seed, int voters, InjectedFault injected = InjectedFault::kNothing);

// No other fault than these.
struct Script {
  int crash_at = -1;        // the number of a crash point, counted as History::crash_points
  int then_crash_at = -1;   // and of another one
  bool stale_file = false;  // the machine comes back with the copy of its file from two writes before
};
History RunHistory(std::uint64_t seed, int voters, const Script& script);

}  // namespace mothrack::change_freeze::testing
