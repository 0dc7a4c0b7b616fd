// Joins the fleet through seeds, and finds the other side again after a partition: pings seeds and members
// considered dead. Pure: no I/O, clock or thread.
//
// Source: docs/design/gossip.md. SWIM does not cover two halves of a fleet that have declared each other
// dead.
#pragma once

#include <string>
#include <utility>
#include <vector>

#include "gossip/anti_entropy_exchange.h"
#include "gossip/message_sender.h"
#include "gossip/probe_scheduler.h"
#include "gossip/protocol_context.h"

namespace mothrack::gossip {

class Rejoin {
 public:
  Rejoin(ProtocolContext& context, MessageSender& sender, ProbeScheduler& probes,
         AntiEntropyExchange& anti_entropy, TimePoint first_attempt)
      : context_(context),
        sender_(sender),
        probes_(probes),
        anti_entropy_(anti_entropy),
        attempt_at_(first_attempt) {}

  // Sets the seeds, without this member's own address.
  void SetSeeds(std::vector<std::string> addresses);
  // While no other member is live, pings all seeds and one dead member every `probe_interval`. Otherwise
  // pings one of the candidates ten times less often, and sends it a digest.
  void RunIfDue(TimePoint now, CoreOutput& out);
  TimePoint next() const { return attempt_at_; }

 private:
  // An address and the member known there; the member is null for a seed.
  using Target = std::pair<std::string, const MembershipUpdate*>;

  // Returns the seeds that are not the address of a live member, then the dead members. While no other member
  // is live, it includes only one dead member, drawn at random.
  std::vector<Target> Candidates();

  ProtocolContext& context_;
  MessageSender& sender_;
  ProbeScheduler& probes_;
  AntiEntropyExchange& anti_entropy_;
  std::vector<std::string> seeds_;
  TimePoint attempt_at_;
};

}  // namespace mothrack::gossip
