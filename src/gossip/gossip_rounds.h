// Sends queued updates to random members if probes and acks do not carry them soon enough. Pure: no I/O,
// clock or thread.
//
// Source: SWIM, section 4.1; the separate rounds are from memberlist (HashiCorp), as described by Lifeguard.
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

  // Sends at most `fanout` datagrams, once every `gossip_interval`, while updates are queued.
  void RunIfDue(TimePoint now, CoreOutput& out);
  // When RunIfDue() must be called next; TimePoint::max() while no update is queued or no other member is
  // live.
  TimePoint next() const;

 private:
  // Returns the next of the suspected members from which this member itself got no ack, in turn; null if
  // there is none.
  const Membership::Member* NextFirstHandSuspect();

  ProtocolContext& context_;
  MessageSender& sender_;
  TimePoint round_at_;
  std::size_t suspect_turn_ = 0;
};

}  // namespace mothrack::gossip
