// Simulated histories of three or five machines, in one thread and in simulated time. Each machine has a real
// voter, permit service and agent's permits, and a simulated disk, clock and network. Operators open and
// close incidents, and tools request permits. Machines, disks, clocks and messages fail, at times drawn from
// a seed or at points named by a script. simulated_cluster.h has the cluster.
#pragma once

#include <cstdint>
#include <string>

namespace mothrack::change_freeze::testing {

// Faults that the simulated cluster injects between the tested parts and its machines. The rules must detect
// each of them.
enum class InjectedFault {
  kNothing,
  kSentBeforeDurable,          // messages leave before the record is on disk
  kStaleRecordTrusted,         // a stale file is treated as current
  kFastClocks,                 // some clocks run twice as fast as others
  kValidityFromAnswer,         // an agent counts a permit from the answer, not from its request
  kStaleConfirmationAccepted,  // an agent accepts a confirmation of an older term or state
  kNoLeasePromiseAtStart,      // a starting voter makes no lease promise
  kLeaseIgnored,               // a leader answers without checking its lease
  kWriteFailureIgnored,        // messages are sent although the record could not be written
  kLast,
};

// The result of a run: counts of events, and the first violation.
struct History {
  std::string violation;  // the first broken rule, with its time; empty if there is none
  int elections = 0;
  int crashes = 0;
  int torn_writes = 0;
  int saves_failed = 0;
  int stale_files = 0;
  int rejoins = 0;
  int pauses = 0;  // of a machine with all of its processes, often for longer than a lease
  int leaders_paused = 0;
  int freezes = 0;             // committed ones
  int permits_paused = 0;      // by a freeze
  int permits_blocked = 0;     // by a freeze
  int late_confirmations = 0;  // of an older term or state
  int break_glass = 0;
  int crash_points = 0;  // in a run with a script: points at which a machine may crash
};

// Runs the history of a seed.
History RunHistory(std::uint64_t seed, int voters, InjectedFault injected = InjectedFault::kNothing);

// The faults of a scripted run; it has no others.
struct Script {
  int crash_at = -1;        // the number of a crash point, counted as History::crash_points
  int then_crash_at = -1;   // the number of a second crash point
  bool stale_file = false;  // the machine comes back with the copy of its file from two writes before
};
History RunHistory(std::uint64_t seed, int voters, const Script& script);

}  // namespace mothrack::change_freeze::testing
