// Sends queued updates to random members, where probes and acks do not carry them soon enough. Pure.
//
// Source: SWIM, section 4.1; the rounds of their own are memberlist's (HashiCorp), which Lifeguard describes.
#pragma once

#include <cstddef>

#include "gossip/membership.h"
#include "gossip/message_sender.h"
#include "gossip/protocol_context.h"

namespace mothrack::gossip {

class GossipRounds {
 public:
  GossipRounds(ProtocolContext& context, MessageSender& sender, TimePoint first_round)
      : context_(context), sender_(sender), round_at_(first_round) {}

  // At most `fanout` datagrams, once every `gossip_interval` while there is something to send.
  void RunIfDue(TimePoint now, CoreOutput& out);
  // TimePoint::max() while nothing is queued or nobody is there.
  TimePoint next() const;

 private:
  // In turn, of the suspected members from which this member itself had no ack; null: none.
  const Membership::Member* NextFirstHandSuspect();

  ProtocolContext& context_;
  MessageSender& sender_;
  TimePoint round_at_;
  std::size_t suspect_turn_ = 0;
};

}  // namespace mothrack::gossip
