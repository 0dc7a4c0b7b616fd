// Three or five machines in one thread and in made-up time, each with a voter, a desk and an agent's permits
// of the program's own, a disk and a clock of the model, and messages between them; operators who open and
// close incidents, and tools that want permits. All of these fail, at moments drawn from one seed or at one
// that a script names.
#pragma once

#include <cstdint>
#include <string>

namespace mothrack::change_freeze::testing {

// Broken on purpose, at the border between the parts and what carries them: the rules must find each.
enum class InjectedFault {
  kNothing,
  kSentBeforeDurable,          // messages leave before the record is on disk
  kStaleRecordTrusted,         // a file is never taken for old
  kFastClocks,                 // some clocks run twice as fast as others
  kValidityFromAnswer,         // an agent counts a permit from the answer, not from its question
  kStaleConfirmationAccepted,  // an agent takes a word of an older term or state
  kNoLeasePromiseAtStart,      // a voter that starts promises nothing
  kLeaseIgnored,               // a coordinator answers by its role alone
  kWriteFailureIgnored,        // what the disk refused is told all the same
  kLast,
};

struct History {
  std::string violation;  // of a rule, with the moment; empty: none
  int elections = 0;
  int crashes = 0;
  int torn_writes = 0;
  int saves_failed = 0;
  int stale_copies = 0;
  int rejoins = 0;  // as another life
  int pauses = 0;   // of a whole machine, for longer than a lease
  int leaders_paused = 0;
  int freezes = 0;  // acknowledged
  int paused = 0;   // permits, by a freeze
  int blocked = 0;
  int late_confirmations = 0;  // of an older term or state
  int break_glass = 0;
  int crash_points = 0;  // of a script: places where a machine may die
};

History RunHistory(std::uint64_t seed, int voters, InjectedFault injected = InjectedFault::kNothing);

// No other fault than these.
struct Script {
  int crash_at = -1;        // at this place of History::points
  int then_crash_at = -1;   // and at this one
  bool stale_copy = false;  // it comes back with the copy of its file from two writes before
};
History RunHistory(std::uint64_t seed, int voters, const Script& script);

}  // namespace mothrack::change_freeze::testing
