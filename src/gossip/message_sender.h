// Outgoing datagrams: rate limit and piggybacked updates. Pure: no I/O, clock or thread.
//
// Source: SWIM, section 4.1 (dissemination by piggybacking on probes, acks and gossip).
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

#include "gossip/core_output.h"
#include "gossip/datagram_rate_limiter.h"
#include "gossip/protocol_context.h"

namespace mothrack::gossip {

// Only probe traffic may use the reserved tokens; dissemination may not.
enum class TrafficClass : std::uint8_t { kProbe, kDissemination };

class MessageSender {
 public:
  MessageSender(ProtocolContext& context, TimePoint now);

  // Returns a new message whose sender is this member in its latest state.
  Message Make(MessageKind kind) const;
  // The number of bytes left in the datagram for digest entries, updates and values.
  static std::size_t CapacityOf(const Message& message);
  // Appends the message to `out`, filled up with queued updates unless it is kDigest or kRecords. Returns
  // false if the rate limit forbids it; the message is then counted and dropped.
  bool Send(const std::string& address, Message&& message, TrafficClass traffic_class, TimePoint now,
            CoreOutput& out);

 private:
  // The number of times that each update is sent: enough that all but one member in thousands receive it,
  // whatever the fleet's size.
  std::size_t MaxSends() const;

  ProtocolContext& context_;
  DatagramRateLimiter rate_limiter_;
};

}  // namespace mothrack::gossip
