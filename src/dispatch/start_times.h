// When the processes of upstreams started, on the program's steady clock. Pure: no I/O, and the clocks are
// handed in.
//
// Discovery gives the start of a process as Unix time (`boot_ms`). The module wants a TimePoint that stays
// the same in every list, since it takes another start time for another process, and that is not too early,
// since it opens a process to its traffic by its age (slow start). The wall clock between the two may be
// stepped. So:
//   * A process that has been placed keeps its time, also while it is not listed.
//   * A new one started no later than the list that has it, and no sooner than the list before, which did not
//     have it.
//   * The wall clock's reading counts within these bounds. Where it was stepped between the two lists, nobody
//     knows which of its readings the start was stamped by, and the later start counts: a process that is
//     taken for younger than it is serves less for a while, one that is taken for older may be overloaded.
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

  // Sets `started` of each upstream whose boot_ms is known. `reading`: the clocks when the list was read;
  // lists come in the order in which they were read. A restored list may be older than the program, and
  // bounds nothing.
  void Place(MembershipList& list, const runtime::ClockReading& reading);

  // What another process of this sidecar, on the same machine, has placed, and when its last list was read.
  // Before the first Place().
  void Import(const std::vector<ProcessStart>& placed, std::optional<runtime::TimePoint> last_list);
  // The processes that are listed.
  std::vector<ProcessStart> Export() const;
  // When the last list was read; absent before the first.
  std::optional<runtime::TimePoint> last_list() const { return last_list_; }

  // Processes remembered after they left the list, the first ones forgotten first.
  static constexpr std::size_t kMaxDeparted = 4096;

 private:
  struct PlacedProcess {
    std::int64_t boot_ms = 0;
    runtime::TimePoint started;
  };

  runtime::TimePoint Estimate(std::int64_t boot_ms, const runtime::ClockReading& reading, bool bounded) const;
  const PlacedProcess* Find(const std::string& uid, std::int64_t boot_ms) const;
  void MarkDeparted(const std::string& uid);
  void MarkDepartedAllBut(const MembershipList& list);

  std::map<std::string, PlacedProcess> listed_;
  std::map<std::string, PlacedProcess> departed_;
  std::deque<std::string> departed_in_order_;
  runtime::ClockReading last_reading_;
  // When the list that is held was read; absent before the first.
  std::optional<runtime::TimePoint> last_list_;
};

}  // namespace mothrack::dispatch
