#include "gossip/failure_detector.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace mothrack::gossip {

void FailureDetector::RunRounds(TimePoint now, CoreOutput& out) {
  const auto next_step = [&] { return probes_.Next(now, context_.membership, context_.random); };
  for (Step step = next_step(); step.action != Step::Action::kNone; step = next_step()) {
    switch (step.action) {
      case Step::Action::kNone:
        break;
      case Step::Action::kPing:
        Ping(step, now, out);
        break;
      case Step::Action::kPingIndirectly:
        RequestIndirectPings(step, now, out);
        break;
      case Step::Action::kRoundOver:
        FinishRound(step, now, out);
        break;
    }
  }
}

void FailureDetector::Ping(const Step& step, TimePoint now, CoreOutput& out) {
  const auto* member = context_.membership.Find(step.name);
  if (member == nullptr) return;
  ++context_.counts.probes;
  Message ping = sender_.Make(MessageKind::kPing);
  ping.sequence = step.sequence;
  // Lifeguard's buddy system: a suspected member learns of the suspicion from the first ping.
  if (member->update.state != MemberState::kAlive) ping.subject = member->update;
  sender_.Send(member->update.address, std::move(ping), TrafficClass::kProbe, now, out);
}

void FailureDetector::RequestIndirectPings(const Step& step, TimePoint now, CoreOutput& out) {
  const auto* member = context_.membership.Find(step.name);
  if (member == nullptr) return;
  std::vector<std::string> helpers;
  const auto candidates =
      context_.membership.SampleLive(context_.config.indirect_probes, step.name, context_.random);
  for (const std::string& helper : candidates) {
    Message request = sender_.Make(MessageKind::kPingRequest);
    request.sequence = step.sequence;
    request.subject = member->update;
    const std::string& address = context_.membership.Find(helper)->update.address;
    if (!sender_.Send(address, std::move(request), TrafficClass::kProbe, now, out)) break;
    ++context_.counts.indirect_probes;
    helpers.push_back(helper);
  }
  probes_.SetHelpers(helpers);
}

void FailureDetector::FinishRound(const Step& step, TimePoint now, CoreOutput& out) {
  ++context_.counts.probes_failed;
  probes_.RecordOutcome(step.outcome);
  if (!EffectOf(step.outcome).suspect) return;
  const auto* member = context_.membership.Find(step.name);
  // A newer boot or incarnation than the probed one must be probed anew.
  if (member == nullptr || member->update.boot_id.boot_number != step.boot_number ||
      member->update.incarnation != step.incarnation) {
    return;
  }
  MembershipUpdate update = member->update;
  update.state = std::max(update.state, MemberState::kSuspect);
  if (update.state != MemberState::kSuspect) return;
  merger_.ApplyMember(update, UpdateOrigin::kGossip, now, out);
  context_.membership.ReportSuspect(step.name, step.incarnation, context_.self.boot_id.name);
  // Disseminate it even if the suspicion was already known, because it is now first-hand.
  context_.updates.Add(step.name, "", now);
}

void FailureDetector::DeclareExpiredDead(TimePoint now, CoreOutput& out) {
  for (const std::string& name : context_.membership.ExpiredSuspicions(now)) {
    MembershipUpdate dead = context_.membership.Find(name)->update;
    dead.state = MemberState::kDead;
    merger_.ApplyMember(dead, UpdateOrigin::kGossip, now, out);
  }
}

void FailureDetector::SendOverdueNacks(TimePoint now, CoreOutput& out) {
  for (const ProbeScheduler::RelayedProbe& probe : probes_.TakeOverdueRelayed(now)) {
    Message nack = sender_.Make(MessageKind::kNack);
    nack.sequence = probe.sequence;
    sender_.Send(probe.address, std::move(nack), TrafficClass::kProbe, now, out);
  }
}

void FailureDetector::OnPing(const Message& ping, const std::string& from, TimePoint now, CoreOutput& out) {
  if (context_.IsSelf(ping.subject.boot_id)) merger_.RespondToOwnUpdate(ping.subject, now, out);
  Message ack = sender_.Make(MessageKind::kAck);
  ack.sequence = ping.sequence;
  // Include the state known here, so that the pinging member can refute it, whatever other updates are
  // queued.
  const auto* member = context_.membership.Find(ping.sender.boot_id.name);
  if (member != nullptr && member->update.state != MemberState::kAlive) ack.updates.push_back(member->update);
  sender_.Send(from, std::move(ack), TrafficClass::kProbe, now, out);
}

void FailureDetector::OnAck(const Message& ack, TimePoint now, CoreOutput& out) {
  const std::string& sender = ack.sender.boot_id.name;
  if (probes_.OnAck(sender, ack.sequence)) {
    probes_.RecordOutcome(Outcome::kAcked);
    return;
  }
  const auto relayed = probes_.FinishRelayed(sender, ack.sequence);
  if (!relayed) return;
  Message relayed_ack = sender_.Make(MessageKind::kAck);
  relayed_ack.sequence = relayed->sequence;
  sender_.Send(relayed->address, std::move(relayed_ack), TrafficClass::kProbe, now, out);
}

void FailureDetector::OnPingRequest(const Message& request, const std::string& from, TimePoint now,
                                    CoreOutput& out) {
  const MembershipUpdate& subject = request.subject;
  if (subject.boot_id.name.empty()) return;
  const TimePoint deadline = now + context_.config.probe_timeout;
  const auto sequence = probes_.StartRelayed({subject.boot_id.name, from, request.sequence, deadline});
  if (!sequence) {
    ++context_.counts.rejected;
    return;
  }
  Message ping = sender_.Make(MessageKind::kPing);
  ping.sequence = *sequence;
  ping.subject = subject;
  sender_.Send(subject.address, std::move(ping), TrafficClass::kProbe, now, out);
}

void FailureDetector::OnNack(const Message& nack) { probes_.OnNack(nack.sender.boot_id.name, nack.sequence); }

void FailureDetector::OnFirstHandSuspicion(const Message& gossip, TimePoint now, CoreOutput& out) {
  const MembershipUpdate& subject = gossip.subject;
  if (subject.boot_id.name.empty() || subject.state != MemberState::kSuspect) return;
  merger_.ApplyMember(subject, UpdateOrigin::kGossip, now, out);
  context_.membership.ReportSuspect(subject.boot_id.name, subject.incarnation, gossip.sender.boot_id.name);
}

}  // namespace mothrack::gossip
