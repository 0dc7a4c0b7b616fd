// The four rules that every version keeps, checked over events alone, whatever reports them. Pure: no clock,
// no I/O. Each breach says when, which request or server it concerns, and what had gone before. One thread.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <unordered_map>
#include <vector>

#include "simulation/simulation_event.h"

namespace mothrack::simulation {

// kLost: a request without its one answer in time. kTwice: an unsafe request that may run twice. kDrain: an
// attempt at a draining server. kSlowStart: a warming server sent more than it can do.
enum class Rule { kLost, kTwice, kDrain, kSlowStart };
// As results and pages have it.
const char* NameOf(Rule rule);

// A rule that was broken.
struct Breach {
  Rule rule{};
  double at_s = 0;
  std::string what;
};

// Keeps what it needs of each open request, and of an ended one for 20 s, as an attempt may still run.
class Rules {
 public:
  struct Limits {
    std::vector<bool> unsafe;          // by class
    runtime::Duration grace{50'000};   // beyond a request's time
    runtime::Duration drain{550'000};  // after the notice that a server drains, with the grace of sockets
    double overload_multiple = 4;      // of what a warming server can do
    runtime::Duration overload_window{1'000'000};
    double slow_start_initial_share = 0.2;
    runtime::Duration slow_start_duration{15'000'000};
  };
  explicit Rules(Limits limits);

  // In the order in which events happen.
  void Record(const SimulationEvent& h);
  // The end of the run: a request that is unanswered by then and past its deadline is lost.
  void End(runtime::TimePoint at);

  // The first of each rule, and how many there were.
  const std::vector<Breach>& breaches() const { return first_; }
  std::size_t count(Rule rule) const { return counts_[static_cast<std::size_t>(rule)]; }
  std::size_t total() const;
  std::size_t open() const { return open_.size(); }

 private:
  struct Open {
    std::uint64_t sidecar = 0;
    std::size_t cls = 0;
    runtime::TimePoint until;
    int unproven = 0;  // attempts that may have run, or may yet
    int runs = 0;
    bool answered = false;
    bool refused = false;
    bool left = false;
    runtime::TimePoint notified;  // its end
  };
  struct Server {
    runtime::TimePoint booted = runtime::TimePoint::min();
    double capacity = 0;                                     // warm, milliseconds of work a millisecond
    std::deque<std::pair<runtime::TimePoint, double>> work;  // accepted within the window
    double sum = 0;
  };

  void RecordBreach(Rule rule, runtime::TimePoint at, std::string what);
  Open* Find(std::uint64_t request);
  void Forget(runtime::TimePoint now);
  void RecordAnswer(const SimulationEvent& h);
  void RecordLeft(runtime::TimePoint at, std::uint64_t request, Open& open);
  void RecordAttempt(const SimulationEvent& h);
  void RecordRun(const SimulationEvent& h);
  void Arrived(const SimulationEvent& h);

  const Limits limits_;
  std::unordered_map<std::uint64_t, Open> open_;
  std::deque<std::pair<runtime::TimePoint, std::uint64_t>>
      ended_;  // retained for a while: their attempts may still run
  std::unordered_map<std::uint64_t, std::unordered_map<std::size_t, runtime::TimePoint>>
      leaving_;  // by sidecar and server
  std::vector<Server> servers_;
  std::vector<Breach> first_;
  std::array<std::size_t, 4> counts_{};
};

}  // namespace mothrack::simulation
