#include "gossip/core.h"

#include <algorithm>
#include <utility>

#include "gossip/anti_entropy_exchange.h"
#include "gossip/anti_entropy_schedule.h"
#include "gossip/failure_detector.h"
#include "gossip/gossip_rounds.h"
#include "gossip/message_sender.h"
#include "gossip/probe_scheduler.h"
#include "gossip/protocol_context.h"
#include "gossip/rejoin.h"
#include "gossip/update_merger.h"

namespace mothrack::gossip {
namespace {

// Number of members notified directly of a leave. If one datagram in ten is lost, seven members remain to
// disseminate it.
constexpr std::size_t kLeaveRecipients = 8;

}  // namespace

class Core::Impl {
 public:
  // The members draw from the random engine in their order of initialization.
  Impl(MembershipUpdate self, const ProtocolConfig& config, std::uint64_t seed, TimePoint now)
      : context_(std::move(self), config, seed, now),
        probes_(config, now, context_.random),
        sender_(context_, now),
        gossip_(context_, sender_, now + context_.RandomPhase(config.gossip_interval)),
        anti_entropy_schedule_(config, now + context_.RandomPhase(config.digest_interval)),
        merger_(context_, probes_, anti_entropy_schedule_),
        failure_detector_(context_, sender_, probes_, merger_),
        anti_entropy_(context_, sender_, merger_, anti_entropy_schedule_),
        rejoin_(context_, sender_, probes_, anti_entropy_, now),
        due_(next()) {}

  void SetSeeds(std::vector<std::string> addresses) { rejoin_.SetSeeds(std::move(addresses)); }

  void Receive(const Message& message, const std::string& from, TimePoint now, CoreOutput& out) {
    if (left_) return;
    DetectPause(now);
    const bool has_subject = !message.subject.boot_id.name.empty();
    if (!IsValid(message.sender) || (has_subject && !IsValid(message.subject))) {
      ++context_.counts.rejected;
      return;
    }
    ++context_.counts.received;
    MembershipUpdate sender = message.sender;
    if (message.kind == MessageKind::kLeave) sender.state = MemberState::kLeft;
    if (context_.IsSelf(sender.boot_id)) {
      // The sender is an earlier process of this name that still runs, or a later one. Nothing else in its
      // message concerns this process.
      merger_.RespondToOwnUpdate(sender, now, out);
    } else if (const auto later = merger_.FindLaterBoot(sender)) {
      ReplySuperseded(message, *later, from, now, out);
    } else {
      merger_.ApplyMember(sender, UpdateOrigin::kGossip, now, out);
      MergeContents(message, now, out);
      Dispatch(message, from, now, out);
    }
    Reschedule(now);
  }

  void Tick(TimePoint now, CoreOutput& out) {
    if (left_) return;
    DetectPause(now);
    failure_detector_.RunRounds(now, out);
    failure_detector_.DeclareExpiredDead(now, out);
    failure_detector_.SendOverdueNacks(now, out);
    merger_.ExpireValues(now, out);
    merger_.ForgetDeparted(now);
    rejoin_.RunIfDue(now, out);
    anti_entropy_.SendDigestIfDue(now, out);
    gossip_.RunIfDue(now, out);
    Reschedule(now);
  }

  TimePoint next() const {
    if (left_) return TimePoint::max();
    return std::min({context_.membership.next(), probes_.next(), context_.values.next(), rejoin_.next(),
                     anti_entropy_schedule_.next(), gossip_.next()});
  }

  bool Put(const std::string& key, const std::string& bytes, Duration ttl, TimePoint now) {
    const BootId& owner = context_.self.boot_id;
    const Value value{owner, key, 1, Duration(0), ttl, bytes};
    if (left_ || !IsValid(value) || !context_.values.Put(owner, key, bytes, ttl, now)) return false;
    context_.updates.Add(owner.name, key, now);
    Reschedule(now);
    return true;
  }

  void Leave(TimePoint now, CoreOutput& out) {
    if (left_) return;
    context_.self.state = MemberState::kLeft;
    context_.membership.SetLocal(context_.self);
    for (const std::string& name : context_.membership.SampleLive(kLeaveRecipients, "", context_.random)) {
      const std::string& address = context_.membership.Find(name)->update.address;
      sender_.Send(address, sender_.Make(MessageKind::kLeave), TrafficClass::kProbe, now, out);
    }
    left_ = true;
  }

  const ProtocolContext& context() const { return context_; }
  int health() const { return probes_.health(); }
  std::size_t alive() const { return context_.membership.live().size() + 1; }

  std::size_t known() const {
    const auto& departed = context_.membership.departed();
    const auto died = std::count_if(departed.begin(), departed.end(), [this](const auto& entry) {
      const auto* member = context_.membership.Find(entry.second);
      return member->was_live && member->update.state == MemberState::kDead;
    });
    return alive() + static_cast<std::size_t>(died);
  }

  std::vector<MemberView> members() const {
    std::vector<MemberView> views;
    for (const auto& [name, member] : context_.membership.all()) {
      if (name != context_.self.boot_id.name) views.push_back({member.update, member.since});
    }
    return views;
  }

  std::vector<ValueView> Values(const std::string& key, TimePoint now) const {
    std::vector<ValueView> views;
    for (const auto& [name, member] : context_.membership.all()) {
      if (member.update.state > MemberState::kSuspect) continue;
      const auto* values = context_.values.ValuesOf(member.update.boot_id);
      if (values == nullptr) continue;
      const auto it = values->find(key);
      if (it == values->end() || it->second.expired) continue;
      const Duration age = it->second.AgeAt(now);
      if (age < it->second.value.ttl) views.push_back({&it->second.value, age});
    }
    return views;
  }

 private:
  // A gossip round that waited for an update may be overdue already.
  void Reschedule(TimePoint now) { due_ = std::max(now, next()); }

  // Detects that this process was paused, or was called late, by more than a probe interval. Timers that are
  // due now expired while nothing could be received, so no member is declared suspect or dead by them.
  void DetectPause(TimePoint now) {
    if (now <= due_ || now - due_ <= context_.config.probe_interval) return;
    context_.membership.ExtendSuspicions(now - due_);
    probes_.Restart(now);
    probes_.RecordOutcome(Outcome::kPaused);
    due_ = now;
    // Datagrams that waited in the socket have an unknown age. Their values will be sent again.
    merger_.IgnoreValuesUntil(now + context_.config.gossip_interval);
  }

  // Sends a superseded process the update that supersedes it, so that a process whose clock went back raises
  // its boot number. The reply to an ack is a message that is never answered; otherwise the two would reply
  // to each other forever.
  void ReplySuperseded(const Message& message, const MembershipUpdate& later, const std::string& from,
                       TimePoint now, CoreOutput& out) {
    const bool ping = message.kind == MessageKind::kPing;
    if (!ping && message.kind != MessageKind::kAck) return;
    Message reply = sender_.Make(ping ? MessageKind::kAck : MessageKind::kGossip);
    reply.sequence = message.sequence;
    reply.updates.push_back(later);
    sender_.Send(from, std::move(reply), TrafficClass::kProbe, now, out);
  }

  void MergeContents(const Message& message, TimePoint now, CoreOutput& out) {
    const UpdateOrigin origin =
        message.kind == MessageKind::kRecords ? UpdateOrigin::kAntiEntropy : UpdateOrigin::kGossip;
    for (const MembershipUpdate& update : message.updates) merger_.ApplyMember(update, origin, now, out);
    for (const Value& value : message.values) merger_.ApplyValue(value, now, out);
  }

  void Dispatch(const Message& message, const std::string& from, TimePoint now, CoreOutput& out) {
    switch (message.kind) {
      case MessageKind::kPing:
        return failure_detector_.OnPing(message, from, now, out);
      case MessageKind::kAck:
        return failure_detector_.OnAck(message, now, out);
      case MessageKind::kPingRequest:
        return failure_detector_.OnPingRequest(message, from, now, out);
      case MessageKind::kNack:
        return failure_detector_.OnNack(message);
      case MessageKind::kGossip:
        return failure_detector_.OnFirstHandSuspicion(message, now, out);
      case MessageKind::kDigest:
        return anti_entropy_.OnDigest(message, from, now, out);
      case MessageKind::kRecords:
        return anti_entropy_.OnRecords(message, from, now, out);
      case MessageKind::kLeave:
        return;  // its sender has already been merged as left
    }
  }

  ProtocolContext context_;
  ProbeScheduler probes_;
  MessageSender sender_;
  GossipRounds gossip_;
  AntiEntropySchedule anti_entropy_schedule_;
  UpdateMerger merger_;
  FailureDetector failure_detector_;
  AntiEntropyExchange anti_entropy_;
  Rejoin rejoin_;
  bool left_ = false;
  TimePoint due_;  // when Tick() is due, as of the last call
};

Core::Core(MembershipUpdate self, const ProtocolConfig& config, std::uint64_t seed, TimePoint now)
    : impl_(std::make_unique<Impl>(std::move(self), config, seed, now)) {}
Core::~Core() = default;
Core::Core(Core&&) noexcept = default;
Core& Core::operator=(Core&&) noexcept = default;

void Core::SetSeeds(std::vector<std::string> addresses) { impl_->SetSeeds(std::move(addresses)); }
void Core::Receive(const Message& message, const std::string& from, TimePoint now, CoreOutput& out) {
  impl_->Receive(message, from, now, out);
}
void Core::Tick(TimePoint now, CoreOutput& out) { impl_->Tick(now, out); }
TimePoint Core::next() const { return impl_->next(); }
bool Core::Put(const std::string& key, const std::string& bytes, Duration ttl, TimePoint now) {
  return impl_->Put(key, bytes, ttl, now);
}
void Core::Leave(TimePoint now, CoreOutput& out) { impl_->Leave(now, out); }
const MembershipUpdate& Core::self() const { return impl_->context().self; }
int Core::health() const { return impl_->health(); }
std::size_t Core::alive() const { return impl_->alive(); }
std::size_t Core::known() const { return impl_->known(); }
std::vector<MemberView> Core::members() const { return impl_->members(); }
std::optional<MemberView> Core::Find(const std::string& name) const {
  const auto* member = impl_->context().membership.Find(name);
  if (member == nullptr) return std::nullopt;
  return MemberView{member->update, member->since};
}
std::vector<ValueView> Core::Values(const std::string& key, TimePoint now) const {
  return impl_->Values(key, now);
}
const Counts& Core::counts() const { return impl_->context().counts; }

}  // namespace mothrack::gossip
