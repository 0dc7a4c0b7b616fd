// Probes members directly and through others, answers probes, and turns missing acks into suspicions and
// deaths. Pure. The table "Rules of probes" in docs/design/gossip.md has its rules.
//
// Source: SWIM, sections 3.1 (ping, ping-req) and 4.2 (suspicion); Lifeguard, section IV (local health,
// nacks, buddy system).
#pragma once

#include <string>

#include "gossip/message_sender.h"
#include "gossip/probe_scheduler.h"
#include "gossip/protocol_context.h"
#include "gossip/update_merger.h"

namespace mothrack::gossip {

class FailureDetector {
 public:
  FailureDetector(ProtocolContext& context, MessageSender& sender, ProbeScheduler& probes,
                  UpdateMerger& merger)
      : context_(context), sender_(sender), probes_(probes), merger_(merger) {}

  // Whatever the probe round has due: its ping, the requests to others, its end.
  void RunRounds(TimePoint now, CoreOutput& out);
  // Suspicions that nobody refuted in time.
  void DeclareExpiredDead(TimePoint now, CoreOutput& out);
  // To members that asked for a probe of one that did not answer in time.
  void SendOverdueNacks(TimePoint now, CoreOutput& out);

  // Messages of other members, whose updates were merged before. `from`: the sender's address.
  void OnPing(const Message& ping, const std::string& from, TimePoint now, CoreOutput& out);
  void OnAck(const Message& ack, TimePoint now, CoreOutput& out);
  void OnPingRequest(const Message& request, const std::string& from, TimePoint now, CoreOutput& out);
  void OnNack(const Message& nack);
  // Gossip that names a member from which its sender itself had no ack.
  void OnFirstHandSuspicion(const Message& gossip, TimePoint now, CoreOutput& out);

 private:
  using Step = ProbeScheduler::Step;

  void Ping(const Step& step, TimePoint now, CoreOutput& out);
  void RequestIndirectPings(const Step& step, TimePoint now, CoreOutput& out);
  void FinishRound(const Step& step, TimePoint now, CoreOutput& out);

  ProtocolContext& context_;
  MessageSender& sender_;
  ProbeScheduler& probes_;
  UpdateMerger& merger_;
};

}  // namespace mothrack::gossip
