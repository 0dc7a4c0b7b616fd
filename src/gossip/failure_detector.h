// Probes members directly and through other members, answers probes, and turns missing acks into suspicions
// and deaths. Pure: no I/O, clock or thread. The rules are in the table "Rules of probes" of
// docs/design/gossip.md.
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

  // Runs the steps of the probe round that are due: the ping, the indirect pings, the end of the round.
  void RunRounds(TimePoint now, CoreOutput& out);
  // Declares members dead whose suspicion was not refuted in time.
  void DeclareExpiredDead(TimePoint now, CoreOutput& out);
  // Sends nacks to members that requested an indirect ping whose target did not answer in time.
  void SendOverdueNacks(TimePoint now, CoreOutput& out);

  // Handlers of other members' messages, whose updates have been merged already. `from`: the sender's
  // address.
  void OnPing(const Message& ping, const std::string& from, TimePoint now, CoreOutput& out);
  void OnAck(const Message& ack, TimePoint now, CoreOutput& out);
  void OnPingRequest(const Message& request, const std::string& from, TimePoint now, CoreOutput& out);
  void OnNack(const Message& nack);
  // Handles gossip that names a member from which the sender itself got no ack.
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
