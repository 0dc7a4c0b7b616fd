// When the processes of upstreams started, on the program's steady clock. Pure: no I/O, and the clocks are
// handed in.
//
// Discovery tells the start of a process as Unix time (`boot_ms`). The module wants a TimePoint that stays
// the same in every list, since it takes another start time for another process, and that is not too early,
// since it opens a process to its traffic by its age (slow start). The wall clock between the two may be
// stepped. So:
//   * A process that has been placed keeps its time, also while it is not listed.
//   * A new one started no later than the list that has it, and no sooner than the list before, which did not
//   have it.
//   * The wall clock's word counts within these bounds. Where it was stepped between the two lists, nobody
//   knows which
//     of its readings the start was stamped by, and the later start counts: a process that is taken for
//     younger than it is serves less for a while, one that is taken for older may be overloaded.
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

// One process of an upstream, as it has been placed.
struct ProcessStart {
  std::string uid;
  std::int64_t boot_ms = 0;  // as discovery tells it
  runtime::TimePoint started;
};

class StartTimes {
 public:
  // `at_start`: the clocks when the program started.
  explicit StartTimes(const runtime::ClockReading& at_start) : last_reading_(at_start) {}

  // Sets `started` of each upstream that tells its boot_ms. `reading`: the clocks when the list was read;
  // lists come in the order in which they were read. A restored list may be older than the program, and
  // bounds nothing.
  void Place(MembershipList& list, const runtime::ClockReading& reading);

  // What another process of this sidecar, on the same machine, has placed, and when its last list was read.
  // Before the first Place().
  void Import(const std::vector<ProcessStart>& placed, std::optional<runtime::TimePoint> last_list);
  std::vector<ProcessStart> Export() const;  // those that are listed
  std::optional<runtime::TimePoint> last_list() const { return last_list_; }

  // Processes remembered after they left the list, the first ones forgotten first.
  static constexpr std::size_t kMostDeparted = 4096;

 private:
  struct Placed {
    std::int64_t boot_ms = 0;
    runtime::TimePoint started;
  };

  runtime::TimePoint Estimate(std::int64_t boot_ms, const runtime::ClockReading& reading, bool bounded) const;
  const Placed* Find(const std::string& uid, std::int64_t boot_ms) const;
  void Depart(const std::string& uid);
  void DepartAllBut(const MembershipList& list);

  std::map<std::string, Placed> listed_;
  std::map<std::string, Placed> departed_;
  std::deque<std::string> departed_order_;
  runtime::ClockReading last_reading_;
  std::optional<runtime::TimePoint>
      last_list_;  // when the list that is held was read; absent before the first
};

}  // namespace mothrack::dispatch
