// What is told of a world as it happens, made-up or real: the rules (src/simulation/rules.h) and the figures
// (src/simulation/figures.h) are written over these alone.
#pragma once

#include <cstdint>
#include <string>

#include "balancer/balancer.h"
#include "runtime/clock.h"

namespace mothrack::simulation {

enum class Ending { kServed, kRefused, kFailed };

struct Happening {
  enum class Kind {
    kTaken,    // a sidecar has a request, which is to be answered by `until`
    kFinal,    // its answer: `ending`
    kLeft,     // its client has left: nothing is owed any more
    kKilled,   // the sidecar died with what it had taken
    kSent,     // an attempt's first byte goes out to `server`
    kEnded,    // an attempt ended at the sidecar: `outcome`
    kArrived,  // a server has taken a call in, of `work` milliseconds
    kRan,      // a server has begun it
    kTold,     // a sidecar was told of `server`: `leaving`, or not
    kBooted,   // a server has started, cold; warm it does `work` milliseconds of it a millisecond
    kAsked,    // a client wants something, for the first time: `request` is the wish
    kGotten,   // the wish came to an end: `ending`, `late`
  };
  Kind kind{};
  runtime::TimePoint at{};
  std::uint64_t sidecar = 0;  // number, and how often it was started, above 32 bits
  std::uint64_t request = 0;
  std::size_t cls = 0;
  std::size_t server = 0;
  runtime::TimePoint until{};
  Ending ending{};
  balancer::Outcome outcome{};
  bool leaving = false;
  bool late = false;
  double work = 0;
};

}  // namespace mothrack::simulation
