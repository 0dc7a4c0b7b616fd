#include "gossip/core.h"

#include <algorithm>
#include <cmath>

#include "gossip/anti_entropy.h"
#include "gossip/datagram_rate_limiter.h"
#include "gossip/membership.h"
#include "gossip/probe_scheduler.h"
#include "gossip/update_queue.h"
#include "gossip/value_store.h"

namespace mothrack::gossip {
namespace {

// Of the tokens that may be sent at once, so many are the probes' and acks' alone.
constexpr std::int64_t kKeptForProbes = 3;
// A seed or a dead one is asked this much less often than members are: it costs one datagram in ten at most,
// and two halves find together within seconds.
constexpr int kReunion = 10;
// Who hears of a leaving at first hand: one lost datagram in ten leaves seven that tell it on.
constexpr std::size_t kFarewells = 8;
// Microseconds: within a second of the former life's birth.
constexpr std::size_t kRebirths = 1 << 20;
// The least that is worth looking for a piece of news for.
constexpr std::size_t kLeastRoom = 64;

}  // namespace

class Core::Impl {
 public:
  Impl(MembershipUpdate self, const ProtocolConfig& config, std::uint64_t seed, TimePoint now)
      : config_(config),
        self_(std::move(self)),
        random_(seed),
        members_(self_, config, now),
        probes_(config, now, random_),
        rate_(config.datagrams_per_s, now),
        gossip_at_(now + Phase(config.gossip_interval)),
        digest_at_(now + Phase(config.digest_interval)),
        reunion_at_(now) {
    due_ = next();
  }

  void SetSeeds(std::vector<std::string> addresses) {
    std::erase(addresses, self_.address);
    seeds_ = std::move(addresses);
  }

  void Receive(const Message& message, const std::string& from, TimePoint now, CoreOutput& out) {
    if (left_) return;
    Wake(now);
    if (!IsValid(message.sender) || (!message.subject.boot_id.name.empty() && !IsValid(message.subject))) {
      ++counts_.rejected;
      return;
    }
    ++counts_.received;
    MembershipUpdate sender = message.sender;
    if (message.kind == MessageKind::kLeave) sender.state = MemberState::kLeft;
    if (sender.boot_id.name == self_.boot_id.name) {
      // A former process, still on its way out, or a later one: nothing else it says concerns this one.
      Own(sender, now, out);
    } else {
      const auto later = LaterThan(sender);
      if (!later) {
        TakeNews(sender, UpdateOrigin::kGossip, now, out);
        Read(message, from, now, out);
      } else if (message.kind == MessageKind::kPing || message.kind == MessageKind::kAck) {
        // It never speaks again, but is told why: a process whose clock went back has to be born later. An
        // ack is told by what nobody answers, or the two would go on for ever.
        Message why = Start(message.kind == MessageKind::kPing ? MessageKind::kAck : MessageKind::kGossip);
        why.sequence = message.sequence;
        why.updates.push_back(*later);
        Send(from, std::move(why), kForProbes, now, out);
      }
    }
    Due(now);
  }

  void Tick(TimePoint now, CoreOutput& out) {
    if (left_) return;
    Wake(now);
    Probe(now, out);
    for (const std::string& name : members_.ExpiredSuspicions(now)) {
      MembershipUpdate dead = members_.Find(name)->update;
      dead.state = MemberState::kDead;
      TakeNews(dead, UpdateOrigin::kGossip, now, out);
    }
    for (ProbeScheduler::RelayedProbe& probe : probes_.TakeOverdueRelayed(now)) {
      Message nack = Start(MessageKind::kNack);
      nack.sequence = probe.sequence;
      Send(probe.address, std::move(nack), kForProbes, now, out);
    }
    for (Value& value : values_.ExpireDue(now)) {
      const std::string owner = value.owner.name;
      Expired(std::move(value), out);
      // Of nobody who is known: nothing but its values kept it here.
      if (members_.Find(owner) == nullptr && values_.AllExpired(owner)) values_.Forget(owner);
    }
    for (const std::string& name : members_.ForgettableMembers(now)) {
      members_.Forget(name);
      values_.Forget(name);
    }
    if (now >= reunion_at_) Reunite(now, out);
    if (now >= digest_at_) {
      digest_at_ = now + config_.digest_interval;
      const auto whom = members_.SampleLive(1, "", random_);
      if (!whom.empty()) Digest(members_.Find(whom.front())->update.address, now, out);
    }
    if (now >= gossip_at_ && !updates_.empty() && !members_.live().empty()) Gossip(now, out);
    Due(now);
  }

  TimePoint next() const {
    if (left_) return TimePoint::max();
    TimePoint next = std::min({members_.next(), probes_.next(), values_.next(), reunion_at_, digest_at_});
    if (!updates_.empty() && !members_.live().empty()) next = std::min(next, gossip_at_);
    return next;
  }

  bool Put(const std::string& key, const std::string& bytes, Duration ttl, TimePoint now) {
    const Value value{self_.boot_id, key, 1, Duration(0), ttl, bytes};
    if (left_ || !gossip::IsValid(value) || !values_.Put(self_.boot_id, key, bytes, ttl, now)) return false;
    updates_.Add(self_.boot_id.name, key, now);
    Due(now);
    return true;
  }

  void Leave(TimePoint now, CoreOutput& out) {
    if (left_) return;
    self_.state = MemberState::kLeft;
    members_.SetLocal(self_);
    for (const std::string& name : members_.SampleLive(kFarewells, "", random_)) {
      Send(members_.Find(name)->update.address, Start(MessageKind::kLeave), kForProbes, now, out);
    }
    left_ = true;
  }

  const MembershipUpdate& self() const { return self_; }
  int health() const { return probes_.health(); }
  const Counts& counts() const { return counts_; }
  std::size_t alive() const { return members_.live().size() + 1; }

  std::size_t known() const {
    return alive() + static_cast<std::size_t>(std::count_if(
                         members_.departed().begin(), members_.departed().end(), [this](const auto& gone) {
                           const auto* member = members_.Find(gone.second);
                           return member->was_live && member->update.state == MemberState::kDead;
                         }));
  }

  std::vector<MemberView> members() const {
    std::vector<MemberView> views;
    for (const auto& [name, member] : members_.all()) {
      if (name != self_.boot_id.name) views.push_back({member.update, member.since});
    }
    return views;
  }

  std::optional<MemberView> Find(const std::string& name) const {
    const auto* member = members_.Find(name);
    if (member == nullptr) return std::nullopt;
    return MemberView{member->update, member->since};
  }

  std::vector<ValueView> ValuesOf(const std::string& key, TimePoint now) const {
    std::vector<ValueView> views;
    for (const auto& [name, member] : members_.all()) {
      if (member.update.state > MemberState::kSuspect) continue;
      const auto* said = values_.ValuesOf(member.update.boot_id);
      if (said == nullptr) continue;
      const auto it = said->find(key);
      if (it == said->end() || it->second.expired || it->second.AgeAt(now) >= it->second.value.ttl) continue;
      views.push_back({&it->second.value, it->second.AgeAt(now)});
    }
    return views;
  }

 private:
  enum What { kForProbes, kForNews };
  enum class Pace { kNone, kFast, kSlow };

  Duration Phase(Duration every) {
    return Duration(random_.Below(static_cast<std::size_t>(every.count()) + 1));
  }

  // Gossip that waited for news may have been due long since.
  void Due(TimePoint now) { due_ = std::max(now, next()); }

  // This process was not run for longer than a probe's time, or it was called late: what is due now was due
  // while nobody could be heard, so it judges nobody by it.
  void Wake(TimePoint now) {
    if (now <= due_ || now - due_ <= config_.probe_interval) return;
    members_.ExtendSuspicions(now - due_);
    probes_.Restart(now);
    probes_.RecordOutcome(Outcome::kPaused);
    due_ = now;
    // What waited in the socket meanwhile has an age that nobody knows: its values come again.
    woke_ = now + config_.gossip_interval;
  }

  // Each piece this often: enough that all hear it but for one in thousands, whatever the number of members.
  std::size_t Most() const {
    return static_cast<std::size_t>(std::ceil(config_.retransmit_multiplier *
                                              std::log10(static_cast<double>(members_.live().size()) + 2)));
  }

  Message Start(MessageKind kind) const {
    Message message;
    message.kind = kind;
    message.sender = self_;
    return message;
  }

  static std::size_t RoomIn(const Message& message) {
    std::size_t size = MaxEncodedSize(message) + kMaxSealSize;
    for (const MembershipUpdate& update : message.updates) size += MaxEncodedSize(update);
    return size >= kMaxDatagramSize ? 0 : kMaxDatagramSize - size;
  }

  // What is known of a later life than this one's, or of its end. A value may be all that came of a later
  // life.
  std::optional<MembershipUpdate> LaterThan(const MembershipUpdate& update) const {
    const auto* stored = members_.Find(update.boot_id.name);
    if (stored != nullptr && (update.boot_id.boot_number < stored->update.boot_id.boot_number ||
                              (update.boot_id.boot_number == stored->update.boot_id.boot_number &&
                               stored->update.state == MemberState::kLeft))) {
      return stored->update;
    }
    if (update.boot_id.boot_number >= values_.BootNumberOf(update.boot_id.name)) return std::nullopt;
    MembershipUpdate later = update;
    later.boot_id.boot_number = values_.BootNumberOf(update.boot_id.name);
    return later;
  }

  bool Send(const std::string& address, Message&& message, What what, TimePoint now, CoreOutput& out) {
    if (!rate_.TryAcquire(what == kForProbes ? 0 : kKeptForProbes, now)) {
      ++counts_.rate_limited;
      return false;
    }
    ++counts_.sent;
    const bool full = message.kind == MessageKind::kDigest || message.kind == MessageKind::kRecords;
    if (!full) {
      const std::size_t room = RoomIn(message);
      if (room >= kLeastRoom) updates_.Fill(message, room, Most(), now, members_, values_);
    }
    out.datagrams.push_back({address, std::move(message)});
    return true;
  }

  void Read(const Message& message, const std::string& from, TimePoint now, CoreOutput& out) {
    const MembershipUpdate& subject = message.subject;
    const bool of_self = subject.boot_id.name == self_.boot_id.name;
    const UpdateOrigin origin =
        message.kind == MessageKind::kRecords ? UpdateOrigin::kAntiEntropy : UpdateOrigin::kGossip;
    for (const MembershipUpdate& update : message.updates) TakeNews(update, origin, now, out);
    for (const Value& value : message.values) TakeValue(value, now, out);
    switch (message.kind) {
      case MessageKind::kPing: {
        if (of_self) Own(subject, now, out);
        Message ack = Start(MessageKind::kAck);
        ack.sequence = message.sequence;
        // So that it can refute, whatever else there is to tell.
        const auto* stored = members_.Find(message.sender.boot_id.name);
        if (stored != nullptr && stored->update.state != MemberState::kAlive)
          ack.updates.push_back(stored->update);
        Send(from, std::move(ack), kForProbes, now, out);
        break;
      }
      case MessageKind::kAck:
        if (probes_.OnAck(message.sender.boot_id.name, message.sequence)) {
          probes_.RecordOutcome(Outcome::kAcked);
        } else if (const auto probe = probes_.FinishRelayed(message.sender.boot_id.name, message.sequence)) {
          Message ack = Start(MessageKind::kAck);
          ack.sequence = probe->sequence;
          Send(probe->address, std::move(ack), kForProbes, now, out);
        }
        break;
      case MessageKind::kPingRequest: {
        if (subject.boot_id.name.empty()) break;
        const auto sequence =
            probes_.StartRelayed({subject.boot_id.name, from, message.sequence, now + config_.probe_timeout});
        if (!sequence) {
          ++counts_.rejected;
          break;
        }
        Message ping = Start(MessageKind::kPing);
        ping.sequence = *sequence;
        ping.subject = subject;
        Send(subject.address, std::move(ping), kForProbes, now, out);
        break;
      }
      case MessageKind::kNack:
        probes_.OnNack(message.sender.boot_id.name, message.sequence);
        break;
      case MessageKind::kGossip:
        if (!subject.boot_id.name.empty() && subject.state == MemberState::kSuspect) {
          TakeNews(subject, UpdateOrigin::kGossip, now, out);
          members_.ReportSuspect(subject.boot_id.name, subject.incarnation, message.sender.boot_id.name);
        }
        break;
      case MessageKind::kDigest:
        Answer(message, from, now, out);
        break;
      case MessageKind::kRecords:
        if (anti_entropy_.OnRecords(message)) CatchUp(from, now, out);
        break;
      case MessageKind::kLeave:
        break;  // its sender's news have said it
    }
  }

  void Answer(const Message& digest, const std::string& from, TimePoint now, CoreOutput& out) {
    for (const DigestEntry& line : digest.digest) {
      if (!IsValid(line.boot_id) || line.incarnation > kMaxCounter || line.state < MemberState::kAlive ||
          line.state > MemberState::kLeft) {
        ++counts_.rejected;
        return;
      }
      const auto* stored = members_.Find(line.boot_id.name);
      if (stored == nullptr) continue;
      // Whom it holds for dead hears of it through those that know better, and refutes: one question heals
      // both sides.
      MembershipUpdate update = stored->update;
      update.boot_id = line.boot_id;
      update.incarnation = line.incarnation;
      update.state = line.state;
      if (line.boot_id.name == self_.boot_id.name) {
        Own(update, now, out);
      } else if (line.state == MemberState::kDead && line.boot_id == stored->update.boot_id) {
        TakeNews(update, UpdateOrigin::kAntiEntropy, now, out);
      }
    }
    Message records = Start(MessageKind::kRecords);
    // The ranges of the answer are as long as the question's, or names that are held here.
    const std::size_t room = RoomIn(records) - 2 * (kMaxNameSize + 1);
    counts_.records += anti_entropy_.FillRecords(digest, records, room, now, members_, values_);
    Send(from, std::move(records), kForNews, now, out);
  }

  void Digest(const std::string& address, TimePoint now, CoreOutput& out) {
    Message digest = Start(MessageKind::kDigest);
    anti_entropy_.FillDigest(digest, RoomIn(digest) - 2 * (kMaxNameSize + 1), now, members_, values_);
    if (Send(address, std::move(digest), kForNews, now, out)) ++counts_.digests;
  }

  // The first time around as fast as answers come; then, where all start at once and those asked knew little
  // themselves, at the pace of gossip until a round brought nothing new.
  void CatchUp(const std::string& from, TimePoint now, CoreOutput& out) {
    if (catching_up_ == Pace::kNone) return;
    if (anti_entropy_.round_complete()) {
      catching_up_ = learned_ ? Pace::kSlow : Pace::kNone;
      learned_ = false;
    }
    if (catching_up_ == Pace::kFast) Digest(from, now, out);
    if (catching_up_ == Pace::kSlow) digest_at_ = std::min(digest_at_, now + config_.gossip_interval);
  }

  void Gossip(TimePoint now, CoreOutput& out) {
    gossip_at_ = now + config_.gossip_interval;
    for (const std::string& name : members_.SampleLive(config_.fanout, "", random_)) {
      if (updates_.empty()) break;
      Message gossip = Start(MessageKind::kGossip);
      if (const auto* accused = OneAccused()) gossip.subject = accused->update;
      if (!Send(members_.Find(name)->update.address, std::move(gossip), kForNews, now, out)) break;
    }
  }

  // In turn, of those that this member had no answer from itself.
  const Membership::Member* OneAccused() {
    std::vector<const Membership::Member*> accused;
    for (const auto& [over, name] : members_.suspects()) {
      const auto* member = members_.Find(name);
      if (member->reporters.contains(self_.boot_id.name)) accused.push_back(member);
    }
    return accused.empty() ? nullptr : accused[turn_++ % accused.size()];
  }

  void Probe(TimePoint now, CoreOutput& out) {
    for (auto step = probes_.Next(now, members_, random_); step.what != ProbeScheduler::Step::What::kNone;
         step = probes_.Next(now, members_, random_)) {
      const auto* member = members_.Find(step.name);
      if (step.what == ProbeScheduler::Step::What::kRoundOver) {
        ++counts_.probes_failed;
        probes_.RecordOutcome(step.outcome);
        if (!EffectOf(step.outcome).suspect || member == nullptr ||
            member->update.boot_id.boot_number != step.boot_number ||
            member->update.incarnation != step.incarnation) {
          continue;
        }
        MembershipUpdate update = member->update;
        update.state = std::max(update.state, MemberState::kSuspect);
        if (update.state == MemberState::kSuspect) {
          TakeNews(update, UpdateOrigin::kGossip, now, out);
          members_.ReportSuspect(step.name, step.incarnation, self_.boot_id.name);
          updates_.Add(step.name, "", now);  // with its accuser named, also where the suspicion was known
        }
        continue;
      }
      if (member == nullptr) continue;
      if (step.what == ProbeScheduler::Step::What::kPing) {
        ++counts_.probes;
        Message ping = Start(MessageKind::kPing);
        ping.sequence = step.sequence;
        if (member->update.state != MemberState::kAlive) ping.subject = member->update;
        Send(member->update.address, std::move(ping), kForProbes, now, out);
        continue;
      }
      std::vector<std::string> asked;
      for (const std::string& other : members_.SampleLive(config_.indirect_probes, step.name, random_)) {
        Message ask = Start(MessageKind::kPingRequest);
        ask.sequence = step.sequence;
        ask.subject = member->update;
        if (!Send(members_.Find(other)->update.address, std::move(ask), kForProbes, now, out)) break;
        ++counts_.indirect_probes;
        asked.push_back(other);
      }
      probes_.SetHelpers(asked);
    }
  }

  // While it is alone all seeds and one that is held for dead; afterwards one of them, but for seeds that are
  // the address of a live one.
  void Reunite(TimePoint now, CoreOutput& out) {
    const bool alone = members_.live().empty();
    reunion_at_ = now + config_.probe_interval * (alone ? 1 : kReunion);
    std::set<std::string> known;
    for (const std::string& name : members_.live()) known.insert(members_.Find(name)->update.address);
    std::vector<const MembershipUpdate*> dead;
    for (const auto& [since, name] : members_.departed()) {
      const MembershipUpdate& update = members_.Find(name)->update;
      if (update.state == MemberState::kDead) dead.push_back(&update);
    }
    std::vector<std::pair<std::string, const MembershipUpdate*>> whom;
    for (const std::string& seed : seeds_) {
      if (!known.contains(seed)) whom.emplace_back(seed, nullptr);
    }
    if (alone && !dead.empty()) dead = {dead[random_.Below(dead.size())]};
    for (const MembershipUpdate* update : dead) whom.emplace_back(update->address, update);
    if (!alone && !whom.empty()) whom = {whom[random_.Below(whom.size())]};
    for (const auto& [address, update] : whom) {
      Message ping = Start(MessageKind::kPing);
      ping.sequence = probes_.NewSequence();
      if (update != nullptr) ping.subject = *update;
      Send(address, std::move(ping), kForProbes, now, out);
      if (!alone) Digest(address, now, out);
    }
  }

  void TakeNews(const MembershipUpdate& update, UpdateOrigin origin, TimePoint now, CoreOutput& out) {
    if (!IsValid(update)) {
      ++counts_.rejected;
      return;
    }
    if (update.boot_id.name == self_.boot_id.name) return Own(update, now, out);
    if (update.boot_id.boot_number < values_.BootNumberOf(update.boot_id.name)) {
      ++counts_.updates_stale;
      return;
    }
    const bool alone = members_.live().empty();
    const auto result = members_.Apply(update, origin, now);
    for (const std::string& name : members_.TakeEvicted()) values_.Forget(name);
    if (!result.applied) {
      ++(result.full ? counts_.rejected : counts_.updates_stale);
      return;
    }
    ++counts_.updates_applied;
    learned_ = learned_ || origin == UpdateOrigin::kAntiEntropy;
    const MembershipUpdate& stored = members_.Find(update.boot_id.name)->update;
    const bool live = stored.state <= MemberState::kSuspect;
    const bool was_live = result.before && result.before->state <= MemberState::kSuspect;
    if (stored.state == MemberState::kSuspect) ++counts_.suspected;
    if (stored.state == MemberState::kDead && was_live) ++counts_.died;
    if (live && result.before && !was_live) ++counts_.returned;
    if (live && !was_live) probes_.AddMember(update.boot_id.name, random_);
    if (live && alone) {
      catching_up_ = Pace::kFast;
      digest_at_ = now;
    }
    for (Value& value : values_.AdvanceBoot(stored.boot_id, false)) Expired(std::move(value), out);
    updates_.Add(update.boot_id.name, "", now);
    MembershipUpdate like = stored;
    if (result.before) like.incarnation = result.before->incarnation;
    // A refutation that nobody here had doubted changes nothing for whoever uses it.
    if (!result.before || like != *result.before) Changed(Change::What::kMember, stored, out);
  }

  void TakeValue(const Value& value, TimePoint now, CoreOutput& out) {
    if (!gossip::IsValid(value)) {
      ++counts_.rejected;
      return;
    }
    if (value.owner.name == self_.boot_id.name) {
      if (value.owner.boot_number > self_.boot_id.boot_number) {
        MembershipUpdate update = self_;
        update.boot_id = value.owner;
        Own(update, now, out);
      } else if (values_.RefuteVersion(value)) {
        updates_.Add(self_.boot_id.name, value.key, now);
      }
      return;
    }
    const auto* member = members_.Find(value.owner.name);
    const bool over = member == nullptr && value.age >= value.ttl;  // nothing would ever forget it
    const bool former = member != nullptr && value.owner.boot_number < member->update.boot_id.boot_number;
    if (over || former || now < woke_) {
      ++counts_.values_stale;
      return;
    }
    auto result = values_.Merge(value, now);
    for (Value& expired : result.expired) Expired(std::move(expired), out);
    switch (result.outcome) {
      case ValueStore::MergeOutcome::kFull:
        ++counts_.rejected;
        break;
      case ValueStore::MergeOutcome::kApplied:
        ++counts_.values_applied;
        updates_.Add(value.owner.name, value.key, now - value.age);
        Changed(Change::What::kValue, value, out);
        break;
      default:
        ++counts_.values_stale;
    }
  }

  void Own(const MembershipUpdate& update, TimePoint now, CoreOutput& out) {
    const SelfResponse reply = ResponseTo(self_, update);
    if (reply == SelfResponse::kIgnore) return;
    if (reply == SelfResponse::kRaiseBootNumber) {
      // Two processes of one name would outbid each other without end: not more often than that.
      if (update.boot_id.boot_number >= kMaxCounter - kRebirths ||
          (reborn_ && now < *reborn_ + config_.probe_interval))
        return;
      reborn_ = now;
      // Two that are born after the same former one, one after the other, must not be of one life.
      self_.boot_id.boot_number = update.boot_id.boot_number + 1 + random_.Below(kRebirths);
      self_.incarnation = 0;
      values_.AdvanceBoot(self_.boot_id, true);
      if (const auto* said = values_.ValuesOf(self_.boot_id)) {
        for (const auto& [key, stored] : *said) {
          if (!stored.expired) updates_.Add(self_.boot_id.name, key, now);
        }
      }
      Changed(Change::What::kLocalBootRaised, self_, out);
    } else {
      self_.incarnation = update.incarnation + 1;
    }
    if (reply == SelfResponse::kRefute) {
      probes_.RecordOutcome(Outcome::kRefuted);
      ++counts_.refuted;
      // Dead to somebody: it was cut off or stopped, so what it knows is old.
      if (update.state == MemberState::kDead) catching_up_ = Pace::kFast;
    }
    members_.SetLocal(self_);
    updates_.Add(self_.boot_id.name, "", now);
  }

  static void Changed(Change::What what, const MembershipUpdate& member, CoreOutput& out) {
    out.changes.emplace_back().what = what;
    out.changes.back().member = member;
  }
  static void Changed(Change::What what, const Value& value, CoreOutput& out) {
    out.changes.emplace_back().what = what;
    out.changes.back().value = value;
  }

  void Expired(Value&& value, CoreOutput& out) {
    ++counts_.expired;
    updates_.Drop(value.owner.name, value.key);
    value.bytes.clear();
    Changed(Change::What::kValueExpired, value, out);
  }

  const ProtocolConfig config_;
  MembershipUpdate self_;
  Random random_;
  Membership members_;
  ValueStore values_;
  UpdateQueue updates_;
  AntiEntropy anti_entropy_;
  ProbeScheduler probes_;
  DatagramRateLimiter rate_;
  std::vector<std::string> seeds_;
  TimePoint gossip_at_, digest_at_, reunion_at_;
  TimePoint due_;  // when it wanted to be called
  TimePoint woke_{TimePoint::min()};
  std::optional<TimePoint> reborn_;
  Pace catching_up_ = Pace::kNone;
  bool learned_ = false;  // of members, in this round of catching up
  bool left_ = false;
  std::size_t turn_ = 0;
  Counts counts_;
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
const MembershipUpdate& Core::self() const { return impl_->self(); }
int Core::health() const { return impl_->health(); }
std::size_t Core::alive() const { return impl_->alive(); }
std::size_t Core::known() const { return impl_->known(); }
std::vector<MemberView> Core::members() const { return impl_->members(); }
std::optional<MemberView> Core::Find(const std::string& name) const { return impl_->Find(name); }
std::vector<ValueView> Core::Values(const std::string& key, TimePoint now) const {
  return impl_->ValuesOf(key, now);
}
const Counts& Core::counts() const { return impl_->counts(); }

}  // namespace mothrack::gossip
