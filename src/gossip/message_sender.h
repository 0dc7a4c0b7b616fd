// Outgoing datagrams: rate limit and piggybacked updates. Pure.
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

// Probe traffic may use the tokens that are reserved for it; dissemination may not.
enum class TrafficClass : std::uint8_t { kProbe, kDissemination };

class MessageSender {
 public:
  MessageSender(ProtocolContext& context, TimePoint now);

  // A message of this member, with its own newest state as the sender.
  Message Make(MessageKind kind) const;
  // Bytes that digest entries, updates and values may still take in the datagram.
  static std::size_t CapacityOf(const Message& message);
  // Fills the message up with queued updates, but for kDigest and kRecords, and appends it to `out`. False
  // where the rate limit kept it back; it is then counted and dropped.
  bool Send(const std::string& address, Message&& message, TrafficClass traffic_class, TimePoint now,
            CoreOutput& out);

 private:
  // How often each update is sent: enough that all but one member in thousands receive it, whatever the
  // fleet's size.
  std::size_t MaxSends() const;

  ProtocolContext& context_;
  DatagramRateLimiter rate_limiter_;
};

}  // namespace mothrack::gossip
