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

  // A new message of this member, with its own latest state as the sender.
  Message Make(MessageKind kind) const;
  // Bytes left in the datagram for digest entries, updates and values.
  static std::size_t CapacityOf(const Message& message);
  // Fills up the message with queued updates, except kDigest and kRecords, and appends it to `out`. Returns
  // false if the rate limit forbids it; the message is then counted and dropped.
  bool Send(const std::string& address, Message&& message, TrafficClass traffic_class, TimePoint now,
            CoreOutput& out);

 private:
  // How often each update is sent: often enough that all but one member in thousands receive it, whatever the
  // fleet's size.
  std::size_t MaxSends() const;

  ProtocolContext& context_;
  DatagramRateLimiter rate_limiter_;
};

}  // namespace mothrack::gossip
