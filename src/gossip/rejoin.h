// Joining through seeds, and finding together again after a partition: pings seeds and members that are held
// for dead. Pure.
//
// Source: docs/design/gossip.md. SWIM has no rule for two halves that each declared the other dead.
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

  // This member's own address is left out.
  void SetSeeds(std::vector<std::string> addresses);
  // While alone: all seeds and one dead member, every `probe_interval`. Afterwards one of them, with a
  // digest, ten times less often.
  void RunIfDue(TimePoint now, CoreOutput& out);
  TimePoint next() const { return attempt_at_; }

 private:
  // An address, and what is known of the member there; null where it is only a seed.
  using Target = std::pair<std::string, const MembershipUpdate*>;

  // Seeds that are no live member's address, then dead members. While alone one dead member is drawn.
  std::vector<Target> Candidates();

  ProtocolContext& context_;
  MessageSender& sender_;
  ProbeScheduler& probes_;
  AntiEntropyExchange& anti_entropy_;
  std::vector<std::string> seeds_;
  TimePoint attempt_at_;
};

}  // namespace mothrack::gossip
