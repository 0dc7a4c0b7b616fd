// Tells since when a client may have sent the last byte of a request body that the sidecar has not read to
// its end, because the upstream does not take what was read before. The client's time counts from its last
// byte, not from the moment in which that is read.
//
// The rest of the body may lie in the kernel's buffers, on this side (visible) and on the client's (not
// visible, bounded). So a body is certainly not complete only while nothing is unread, while more is missing
// than the buffers hold, or up to the moment after which more has arrived than the client's buffer holds.
//
// A plain value without I/O or clock, not bound to a thread; the caller passes in the time, which must not
// decrease.
#pragma once

#include <algorithm>
#include <cstdint>
#include <optional>

#include "runtime/clock.h"

namespace mothrack::http {

class UploadArrival {
 public:
  // The most that a client's kernel holds of what the client has written: the default limit of Linux (tcp(7),
  // tcp_wmem).
  static constexpr std::uint64_t kMaxSendBuffer = std::uint64_t{4} * 1024 * 1024;

  // The state of a body that is still arriving. Sizes are in bytes.
  struct Observation {
    std::uint64_t received = 0;            // arrived at this machine so far, whether read or not
    std::uint64_t unread = 0;              // of these, not parsed yet
    std::optional<std::uint64_t> missing;  // not parsed yet of the body, if its length is known
  };

  // The body begins to arrive, and is not complete.
  void Begin(std::uint64_t received, runtime::TimePoint now) {
    last_byte_at_ = now;
    held_back_ = false;
    checkpoint_ = {received, now};
  }

  void Observe(const Observation& observation, runtime::TimePoint now) {
    const bool too_long = observation.missing && *observation.missing > observation.unread + kMaxSendBuffer;
    if (observation.unread == 0 || too_long) {
      last_byte_at_ = now;
      held_back_ = false;
    }
    if (observation.received < checkpoint_.received + kMaxSendBuffer) return;
    last_byte_at_ = std::max(last_byte_at_, checkpoint_.at);
    checkpoint_ = {observation.received, now};
  }

  // The sidecar does not read on for now.
  void OnHeldBack() { held_back_ = true; }

  // The last byte was read. It arrived just now, unless the client was held back since the body was last
  // known to be incomplete.
  void OnComplete(runtime::TimePoint now) {
    if (!held_back_) last_byte_at_ = now;
  }

  // The client may have sent its last byte at this time, and not before.
  runtime::TimePoint last_byte_at() const { return last_byte_at_; }

 private:
  // How much had arrived at some time.
  struct Checkpoint {
    std::uint64_t received = 0;
    runtime::TimePoint at;
  };

  runtime::TimePoint last_byte_at_;
  bool held_back_ = false;
  Checkpoint checkpoint_;
};

}  // namespace mothrack::http
