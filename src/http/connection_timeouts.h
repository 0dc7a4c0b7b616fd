// Time limits of a client connection that its owner must know as well. Constants, no state.
#pragma once

#include <chrono>

#include "runtime/clock.h"

namespace mothrack::http {

// Time limit for three phases: for the head of the first request, from the start of the connection; for that
// of a later request, from its first byte; and for writing a response. Trickling bytes does not renew it,
// because the deployment requires that silent and stalled clients are disconnected within 3 s of connecting.
// It is also the longest silence in a request body, see BodyDeadline.
inline constexpr runtime::Duration kRequestTimeout = std::chrono::milliseconds(2500);
// How long to wait for the client's close after the sidecar's half-close. Closing at once could send an RST
// that overtakes the response. The time is short because a planned stop waits for it too.
inline constexpr runtime::Duration kLingerTimeout = std::chrono::milliseconds(250);

}  // namespace mothrack::http
