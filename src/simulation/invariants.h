// Checks the four rules that every version must keep. Events are the only input, so the checker serves both
// the simulator and tests with real processes. Each breach states its time, the request or server concerned,
// and what happened. Does no I/O and reads no clock. Not thread-safe.
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

// kLost: a request does not get exactly one answer in time. kTwice: an unsafe request may run twice. kDrain:
// an attempt goes to a draining server. kSlowStart: a server in slow start is sent more than it can do.
enum class Rule { kLost, kTwice, kDrain, kSlowStart };
// Returns the name that the rule has in results and on pages.
const char* NameOf(Rule rule);

// One breach of a rule.
struct Breach {
  Rule rule{};
  double at_s = 0;
  std::string what;
};

// The rule checker. Keeps the state of each open request, and of an ended one for another 20 s because its
// attempts may still run.
class RuleChecker {
 public:
  // Durations are in microseconds.
  struct Limits {
    std::vector<bool> unsafe;         // by class: whether its requests must not run twice
    runtime::Duration grace{50'000};  // an answer may come this much after the request's deadline
    // Attempts may go to a server for this long after the notice that it drains. Includes the time that
    // sockets need.
    runtime::Duration drain{550'000};
    // The work that a server in slow start may be sent within the window, as a multiple of its capacity.
    double overload_multiple = 4;
    runtime::Duration overload_window{1'000'000};
    double slow_start_initial_share = 0.2;
    runtime::Duration slow_start_duration{15'000'000};
  };
  explicit RuleChecker(Limits limits);

  // Checks one event. Events must come in the order in which they happened.
  void Record(const SimulationEvent& event);
  // Ends the run: a request that has no answer by then and is past its deadline is lost.
  void End(runtime::TimePoint at);

  // The first breach of each rule.
  const std::vector<Breach>& breaches() const { return first_breaches_; }
  // The number of breaches of a rule.
  std::size_t count(Rule rule) const { return counts_[static_cast<std::size_t>(rule)]; }
  std::size_t total() const;
  std::size_t open() const { return open_.size(); }

 private:
  struct OpenRequest {
    std::uint64_t sidecar = 0;
    std::size_t cls = 0;
    runtime::TimePoint until;
    int possibly_run_attempts = 0;  // attempts that may have run or may still run
    int runs = 0;
    bool answered = false;
    bool refused = false;
    bool client_left = false;
    runtime::TimePoint ended_at;  // not used
  };
  struct ServerLoad {
    runtime::TimePoint booted = runtime::TimePoint::min();
    double capacity = 0;  // without slow start, in milliseconds of work per millisecond
    std::deque<std::pair<runtime::TimePoint, double>> work;  // accepted within the overload window
    double total_work = 0;                                   // sum of `work`
  };

  void RecordBreach(Rule rule, runtime::TimePoint at, std::string what);
  // Returns the state of the request, or null if there is none.
  OpenRequest* Find(std::uint64_t request);
  void ForgetEnded(runtime::TimePoint now);
  void RecordAnswer(const SimulationEvent& event);
  void RecordLeft(runtime::TimePoint at, std::uint64_t request, OpenRequest& open);
  void RecordAttempt(const SimulationEvent& event);
  void RecordStart(const SimulationEvent& event);
  void RecordArrival(const SimulationEvent& event);

  const Limits limits_;
  std::unordered_map<std::uint64_t, OpenRequest> open_;
  // Ended requests in the order of their end; kept because their attempts may still run.
  std::deque<std::pair<runtime::TimePoint, std::uint64_t>> ended_;
  // The time of the first notice that a server drains, by sidecar and server.
  std::unordered_map<std::uint64_t, std::unordered_map<std::size_t, runtime::TimePoint>> leaving_;
  std::vector<ServerLoad> servers_;
  std::vector<Breach> first_breaches_;
  std::array<std::size_t, 4> counts_{};
};

}  // namespace mothrack::simulation
