// Chooses which client connection is closed first when descriptors run out. Pure functions without I/O or
// state.
#pragma once

#include <optional>

#include "runtime/clock.h"

namespace mothrack::http {

// The state of a client connection as far as the policy needs it.
struct ConnectionActivity {
  enum class Phase {
    kReading,        // waits for a request or is reading one
    kResponding,     // a request is being served, or its response is being written
    kAwaitingClose,  // all responses are written; only the client's close is awaited
  };
  Phase phase = Phase::kReading;
  bool request_started = false;  // with kReading: part of a request has arrived
  bool unused = false;           // no byte has ever arrived
  runtime::Duration age{};       // since the start of the phase or the request's first byte
};

// The order of eviction: the lowest rank is evicted first. Connections of ordinary clients are evicted after
// those of clients that send nothing.
enum class EvictionRank {
  kAwaitingClose,
  kNothingSent,  // connected a while ago and has sent nothing
  // Closing an idle keep-alive connection costs little: its client sends the next request on another one.
  kIdleReusable,
  kSlowRequest,      // has sent part of a request, which is still incomplete after a long time
  kNew,              // connected recently and is about to send a request
  kRequestArriving,  // part of a request has arrived recently
};

// Returns nothing if the connection must not be closed.
std::optional<EvictionRank> RankForEviction(const ConnectionActivity& activity);

}  // namespace mothrack::http
