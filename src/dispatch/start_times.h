// Maps the start times of upstreams' processes to the program's steady clock. The class does no I/O; clock
// readings are parameters.
//
// Discovery gives the start of a process as Unix time (`boot_ms`). The balancer needs a TimePoint that is the
// same in every list, since a different start time means a different process, and that is not too early,
// since slow start depends on the age. The wall clock may be stepped at any time. Therefore:
//   * A process keeps its first estimate, also while it is not listed.
//   * A new process started no later than the first list that contains it was received, and no earlier than
//     the previous list, which does not contain it.
//   * Within these bounds the wall clock decides. If it was stepped between the two lists, it is unknown
//     whether `boot_ms` was read before or after the step, and the later start counts: a process assumed too
//     young gets fewer requests during its slow start, one assumed too old may be overloaded.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "dispatch/membership.h"
#include "runtime/clock.h"

namespace mothrack::dispatch {

// One process of an upstream, and when it started on the steady clock.
struct ProcessStart {
  std::string uid;
  std::int64_t boot_ms = 0;  // as discovery gives it, Unix milliseconds
  runtime::TimePoint started;
};

// Not thread-safe; called by the event loop only.
class StartTimes {
 public:
  // `at_start`: the clocks when the program started.
  explicit StartTimes(const runtime::ClockReading& at_start) : last_reading_(at_start) {}

  // Sets `started` of each upstream with a known boot_ms. `reading`: the clocks when the list was received;
  // lists must be passed in that order. A restored list (MembershipUpdate::Kind::kRestored) may have been
  // received before the program started. Therefore it does not count as the earliest possible start time of
  // processes that appear in the next list.
  void SetStartTimes(MembershipList& list, const runtime::ClockReading& reading);

  // Adopts the start times that another process of this sidecar on the same machine has determined, and when
  // it received its last list. Must be called before the first SetStartTimes().
  void Import(const std::vector<ProcessStart>& processes, std::optional<runtime::TimePoint> last_list);
  // The start times of the listed processes.
  std::vector<ProcessStart> Export() const;
  // When the last list was received; absent before the first.
  std::optional<runtime::TimePoint> last_list() const { return last_list_; }

  // Maximum number of remembered processes that are no longer listed; the oldest are dropped first.
  static constexpr std::size_t kMaxRemoved = 4096;

 private:
  struct KnownProcess {
    std::int64_t boot_ms = 0;
    runtime::TimePoint started;
  };

  // Returns the start of a new process. `after_last_list`: the last list does not contain the process, so it
  // started after that list.
  runtime::TimePoint Estimate(std::int64_t boot_ms, const runtime::ClockReading& reading,
                              bool after_last_list) const;
  const KnownProcess* Find(const std::string& uid, std::int64_t boot_ms) const;
  void MarkRemoved(const std::string& uid);
  void MarkRemovedAllBut(const MembershipList& list);

  std::map<std::string, KnownProcess> listed_;   // by uid
  std::map<std::string, KnownProcess> removed_;  // by uid, no longer listed
  std::deque<std::string> removed_in_order_;     // uids, oldest first
  runtime::ClockReading last_reading_;
  // When the last list was received, not counting a restored one; absent before the first.
  std::optional<runtime::TimePoint> last_list_;
};

}  // namespace mothrack::dispatch
