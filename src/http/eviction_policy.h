// Which client connection goes first when descriptors run out. Pure rules, without I/O or state.
#pragma once

#include <optional>

#include "runtime/clock.h"

namespace mothrack::http {

// What a client connection is doing, as far as the policy is concerned.
struct ConnectionActivity {
  enum class Phase {
    kReading,        // waits for a request, or reads one
    kResponding,     // a request is being served, or its response written
    kAwaitingClose,  // all is answered, and only the client's close is waited for
  };
  Phase phase = Phase::kReading;
  bool request_started = false;  // some of a request has come (with kReading)
  bool unused = false;           // nothing has ever come
  runtime::Duration age{};       // of the phase, or since the request's first byte
};

// The lowest goes first. Usual clients' connections outlast those of clients that say nothing.
enum class EvictionRank {
  kAwaitingClose,
  kNothingSent,  // connected a while ago and sent nothing
  // A kept connection is closed at no cost: its client asks on another.
  kIdleReusable,
  kSlowRequest,  // took long over a request that is not there yet
  kNew,          // has not asked yet, and is about to
  kRequestArriving,
};

// Nothing where the connection must stay.
std::optional<EvictionRank> RankForEviction(const ConnectionActivity& activity);

}  // namespace mothrack::http
