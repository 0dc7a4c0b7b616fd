// Checks the four rules that every version must keep, over events alone, whatever program reports them. Each
// breach tells its time, the request or server concerned, and what happened. Does no I/O and reads no clock;
// for one thread.
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
// Returns the name of the rule in results and pages.
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
  struct Limits {
    std::vector<bool> unsafe;          // indexed by class
    runtime::Duration grace{50'000};   // after a request's deadline
    runtime::Duration drain{550'000};  // after the notice that a server drains; includes the grace of sockets
    double overload_multiple = 4;      // of the capacity of a server in slow start
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
    bool left = false;
    runtime::TimePoint notified;  // its end
  };
  struct ServerLoad {
    runtime::TimePoint booted = runtime::TimePoint::min();
    double capacity = 0;  // when warm, in milliseconds of work per millisecond
    std::deque<std::pair<runtime::TimePoint, double>> work;  // accepted within the overload window
    double sum = 0;
  };

  void RecordBreach(Rule rule, runtime::TimePoint at, std::string what);
  OpenRequest* Find(std::uint64_t request);
  void ForgetEnded(runtime::TimePoint now);
  void RecordAnswer(const SimulationEvent& event);
  void RecordLeft(runtime::TimePoint at, std::uint64_t request, OpenRequest& open);
  void RecordAttempt(const SimulationEvent& event);
  void RecordStart(const SimulationEvent& event);
  void RecordArrival(const SimulationEvent& event);

  const Limits limits_;
  std::unordered_map<std::uint64_t, OpenRequest> open_;
  std::deque<std::pair<runtime::TimePoint, std::uint64_t>>
      ended_;  // by time of their end; kept because attempts may still run
  std::unordered_map<std::uint64_t, std::unordered_map<std::size_t, runtime::TimePoint>>
      leaving_;  // time of the first notice that a server drains, by sidecar and server
  std::vector<ServerLoad> servers_;
  std::vector<Breach> first_breaches_;
  std::array<std::size_t, 4> counts_{};
};

}  // namespace mothrack::simulation
