#include "gossip/core.h"

#include <algorithm>
#include <cmath>

#include "gossip/anti_entropy.h"
#include "gossip/membership.h"
#include "gossip/probes.h"
#include "gossip/rate.h"
#include "gossip/spread.h"
#include "gossip/values.h"

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
  Impl(MemberNews self, const Terms& terms, std::uint64_t seed, TimePoint now)
      : terms_(terms),
        self_(std::move(self)),
        random_(seed),
        members_(self_, terms, now),
        probes_(terms, now, random_),
        rate_(terms.datagrams_per_s, now),
        gossip_at_(now + Phase(terms.gossip_every)),
        digest_at_(now + Phase(terms.digest_every)),
        reunion_at_(now) {
    due_ = next();
  }

  void Seeds(std::vector<std::string> addresses) {
    std::erase(addresses, self_.address);
    seeds_ = std::move(addresses);
  }

  void Hear(const Message& message, const std::string& from, TimePoint now, Out& out) {
    if (left_) return;
    Wake(now);
    if (!Fine(message.sender) || (!message.subject.life.name.empty() && !Fine(message.subject))) {
      ++counts_.not_taken;
      return;
    }
    ++counts_.heard;
    MemberNews sender = message.sender;
    if (message.kind == Kind::kLeave) sender.state = State::kLeft;
    if (sender.life.name == self_.life.name) {
      // A former process, still on its way out, or a later one: nothing else it says concerns this one.
      Own(sender, now, out);
    } else {
      const auto later = LaterThan(sender);
      if (!later) {
        TakeNews(sender, By::kGossip, now, out);
        Read(message, from, now, out);
      } else if (message.kind == Kind::kPing || message.kind == Kind::kAck) {
        // It never speaks again, but is told why: a process whose clock went back has to be born later. An
        // ack is told by what nobody answers, or the two would go on for ever.
        Message why = Start(message.kind == Kind::kPing ? Kind::kAck : Kind::kGossip);
        why.sequence = message.sequence;
        why.news.push_back(*later);
        Send(from, std::move(why), kForProbes, now, out);
      }
    }
    Due(now);
  }

  void Tick(TimePoint now, Out& out) {
    if (left_) return;
    Wake(now);
    Probe(now, out);
    for (const std::string& name : members_.Expired(now)) {
      MemberNews dead = members_.Find(name)->news;
      dead.state = State::kDead;
      TakeNews(dead, By::kGossip, now, out);
    }
    for (Probes::Errand& errand : probes_.Overdue(now)) {
      Message nack = Start(Kind::kNack);
      nack.sequence = errand.sequence;
      Send(errand.address, std::move(nack), kForProbes, now, out);
    }
    for (Value& value : values_.Lapse(now)) {
      const std::string owner = value.owner.name;
      Lapsed(std::move(value), out);
      // Of nobody who is known: nothing but its values kept it here.
      if (members_.Find(owner) == nullptr && values_.AllLapsed(owner)) values_.Forget(owner);
    }
    for (const std::string& name : members_.Forgettable(now)) {
      members_.Forget(name);
      values_.Forget(name);
    }
    if (now >= reunion_at_) Reunite(now, out);
    if (now >= digest_at_) {
      digest_at_ = now + terms_.digest_every;
      const auto whom = members_.Some(1, "", random_);
      if (!whom.empty()) Digest(members_.Find(whom.front())->news.address, now, out);
    }
    if (now >= gossip_at_ && !spread_.empty() && !members_.live().empty()) Gossip(now, out);
    Due(now);
  }

  TimePoint next() const {
    if (left_) return TimePoint::max();
    TimePoint next = std::min({members_.next(), probes_.next(), values_.next(), reunion_at_, digest_at_});
    if (!spread_.empty() && !members_.live().empty()) next = std::min(next, gossip_at_);
    return next;
  }

  bool Put(const std::string& key, const std::string& bytes, Duration lasts, TimePoint now) {
    const Value value{self_.life, key, 1, Duration(0), lasts, bytes};
    if (left_ || !gossip::Fine(value) || !values_.Put(self_.life, key, bytes, lasts, now)) return false;
    spread_.Add(self_.life.name, key, now);
    Due(now);
    return true;
  }

  void Leave(TimePoint now, Out& out) {
    if (left_) return;
    self_.state = State::kLeft;
    members_.Own(self_);
    for (const std::string& name : members_.Some(kFarewells, "", random_)) {
      Send(members_.Find(name)->news.address, Start(Kind::kLeave), kForProbes, now, out);
    }
    left_ = true;
  }

  const MemberNews& self() const { return self_; }
  int health() const { return probes_.health(); }
  const Counts& counts() const { return counts_; }
  std::size_t alive() const { return members_.live().size() + 1; }

  std::size_t known() const {
    return alive() + static_cast<std::size_t>(std::count_if(
                         members_.gone().begin(), members_.gone().end(), [this](const auto& gone) {
                           const auto* member = members_.Find(gone.second);
                           return member->lived && member->news.state == State::kDead;
                         }));
  }

  std::vector<MemberView> members() const {
    std::vector<MemberView> views;
    for (const auto& [name, member] : members_.all()) {
      if (name != self_.life.name) views.push_back({member.news, member.since});
    }
    return views;
  }

  std::optional<MemberView> Find(const std::string& name) const {
    const auto* member = members_.Find(name);
    if (member == nullptr) return std::nullopt;
    return MemberView{member->news, member->since};
  }

  std::vector<ValueView> ValuesOf(const std::string& key, TimePoint now) const {
    std::vector<ValueView> views;
    for (const auto& [name, member] : members_.all()) {
      if (member.news.state > State::kSuspect) continue;
      const auto* said = values_.Of(member.news.life);
      if (said == nullptr) continue;
      const auto it = said->find(key);
      if (it == said->end() || it->second.lapsed || it->second.AgeAt(now) >= it->second.value.lasts) continue;
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
    if (now <= due_ || now - due_ <= terms_.probe_every) return;
    members_.Postpone(now - due_);
    probes_.Restart(now);
    probes_.Learn(Outcome::kStopped);
    due_ = now;
    // What waited in the socket meanwhile has an age that nobody knows: its values come again.
    woke_ = now + terms_.gossip_every;
  }

  // Each piece this often: enough that all hear it but for one in thousands, whatever the number of members.
  std::size_t Most() const {
    return static_cast<std::size_t>(
        std::ceil(terms_.retransmit * std::log10(static_cast<double>(members_.live().size()) + 2)));
  }

  Message Start(Kind kind) const {
    Message message;
    message.kind = kind;
    message.sender = self_;
    return message;
  }

  static std::size_t RoomIn(const Message& message) {
    std::size_t size = MostSize(message) + kSealSize;
    for (const MemberNews& news : message.news) size += MostSize(news);
    return size >= kMostDatagram ? 0 : kMostDatagram - size;
  }

  // What is known of a later life than this one's, or of its end. A value may be all that came of a later
  // life.
  std::optional<MemberNews> LaterThan(const MemberNews& news) const {
    const auto* held = members_.Find(news.life.name);
    if (held != nullptr && (news.life.born < held->news.life.born ||
                            (news.life.born == held->news.life.born && held->news.state == State::kLeft))) {
      return held->news;
    }
    if (news.life.born >= values_.BornOf(news.life.name)) return std::nullopt;
    MemberNews later = news;
    later.life.born = values_.BornOf(news.life.name);
    return later;
  }

  bool Send(const std::string& address, Message&& message, What what, TimePoint now, Out& out) {
    if (!rate_.Take(what == kForProbes ? 0 : kKeptForProbes, now)) {
      ++counts_.over_rate;
      return false;
    }
    ++counts_.sent;
    const bool full = message.kind == Kind::kDigest || message.kind == Kind::kRecords;
    if (!full) {
      const std::size_t room = RoomIn(message);
      if (room >= kLeastRoom) spread_.Fill(message, room, Most(), now, members_, values_);
    }
    out.datagrams.push_back({address, std::move(message)});
    return true;
  }

  void Read(const Message& message, const std::string& from, TimePoint now, Out& out) {
    const MemberNews& subject = message.subject;
    const bool of_self = subject.life.name == self_.life.name;
    const By by = message.kind == Kind::kRecords ? By::kRecords : By::kGossip;
    for (const MemberNews& news : message.news) TakeNews(news, by, now, out);
    for (const Value& value : message.values) TakeValue(value, now, out);
    switch (message.kind) {
      case Kind::kPing: {
        if (of_self) Own(subject, now, out);
        Message ack = Start(Kind::kAck);
        ack.sequence = message.sequence;
        // So that it can refute, whatever else there is to tell.
        const auto* held = members_.Find(message.sender.life.name);
        if (held != nullptr && held->news.state != State::kAlive) ack.news.push_back(held->news);
        Send(from, std::move(ack), kForProbes, now, out);
        break;
      }
      case Kind::kAck:
        if (probes_.Acked(message.sender.life.name, message.sequence)) {
          probes_.Learn(Outcome::kAcked);
        } else if (const auto errand = probes_.Done(message.sender.life.name, message.sequence)) {
          Message ack = Start(Kind::kAck);
          ack.sequence = errand->sequence;
          Send(errand->address, std::move(ack), kForProbes, now, out);
        }
        break;
      case Kind::kPingFor: {
        if (subject.life.name.empty()) break;
        const auto sequence =
            probes_.Run({subject.life.name, from, message.sequence, now + terms_.probe_patience});
        if (!sequence) {
          ++counts_.not_taken;
          break;
        }
        Message ping = Start(Kind::kPing);
        ping.sequence = *sequence;
        ping.subject = subject;
        Send(subject.address, std::move(ping), kForProbes, now, out);
        break;
      }
      case Kind::kNack:
        probes_.Nacked(message.sender.life.name, message.sequence);
        break;
      case Kind::kGossip:
        if (!subject.life.name.empty() && subject.state == State::kSuspect) {
          TakeNews(subject, By::kGossip, now, out);
          members_.Accuse(subject.life.name, subject.incarnation, message.sender.life.name);
        }
        break;
      case Kind::kDigest:
        Answer(message, from, now, out);
        break;
      case Kind::kRecords:
        if (anti_entropy_.Answered(message)) CatchUp(from, now, out);
        break;
      case Kind::kLeave:
        break;  // its sender's news have said it
    }
  }

  void Answer(const Message& digest, const std::string& from, TimePoint now, Out& out) {
    for (const DigestLine& line : digest.digest) {
      if (!Fine(line.life) || line.incarnation > kMostNumber || line.state < State::kAlive ||
          line.state > State::kLeft) {
        ++counts_.not_taken;
        return;
      }
      const auto* held = members_.Find(line.life.name);
      if (held == nullptr) continue;
      // Whom it holds for dead hears of it through those that know better, and refutes: one question heals
      // both sides.
      MemberNews news = held->news;
      news.life = line.life;
      news.incarnation = line.incarnation;
      news.state = line.state;
      if (line.life.name == self_.life.name) {
        Own(news, now, out);
      } else if (line.state == State::kDead && line.life == held->news.life) {
        TakeNews(news, By::kRecords, now, out);
      }
    }
    Message records = Start(Kind::kRecords);
    // The ranges of the answer are as long as the question's, or names that are held here.
    const std::size_t room = RoomIn(records) - 2 * (kMostName + 1);
    counts_.records += anti_entropy_.Answer(digest, records, room, now, members_, values_);
    Send(from, std::move(records), kForNews, now, out);
  }

  void Digest(const std::string& address, TimePoint now, Out& out) {
    Message digest = Start(Kind::kDigest);
    anti_entropy_.Ask(digest, RoomIn(digest) - 2 * (kMostName + 1), now, members_, values_);
    if (Send(address, std::move(digest), kForNews, now, out)) ++counts_.digests;
  }

  // The first time around as fast as answers come; then, where all start at once and those asked knew little
  // themselves, at the pace of gossip until a round brought nothing new.
  void CatchUp(const std::string& from, TimePoint now, Out& out) {
    if (catching_up_ == Pace::kNone) return;
    if (anti_entropy_.round()) {
      catching_up_ = learned_ ? Pace::kSlow : Pace::kNone;
      learned_ = false;
    }
    if (catching_up_ == Pace::kFast) Digest(from, now, out);
    if (catching_up_ == Pace::kSlow) digest_at_ = std::min(digest_at_, now + terms_.gossip_every);
  }

  void Gossip(TimePoint now, Out& out) {
    gossip_at_ = now + terms_.gossip_every;
    for (const std::string& name : members_.Some(terms_.fanout, "", random_)) {
      if (spread_.empty()) break;
      Message gossip = Start(Kind::kGossip);
      if (const auto* accused = OneAccused()) gossip.subject = accused->news;
      if (!Send(members_.Find(name)->news.address, std::move(gossip), kForNews, now, out)) break;
    }
  }

  // In turn, of those that this member had no answer from itself.
  const Membership::Member* OneAccused() {
    std::vector<const Membership::Member*> accused;
    for (const auto& [over, name] : members_.suspects()) {
      const auto* member = members_.Find(name);
      if (member->accusers.contains(self_.life.name)) accused.push_back(member);
    }
    return accused.empty() ? nullptr : accused[turn_++ % accused.size()];
  }

  void Probe(TimePoint now, Out& out) {
    for (auto step = probes_.Next(now, members_, random_); step.what != Probes::Step::What::kNone;
         step = probes_.Next(now, members_, random_)) {
      const auto* member = members_.Find(step.name);
      if (step.what == Probes::Step::What::kOver) {
        ++counts_.probes_failed;
        probes_.Learn(step.outcome);
        if (!Judge(step.outcome).suspect || member == nullptr || member->news.life.born != step.born ||
            member->news.incarnation != step.incarnation) {
          continue;
        }
        MemberNews news = member->news;
        news.state = std::max(news.state, State::kSuspect);
        if (news.state == State::kSuspect) {
          TakeNews(news, By::kGossip, now, out);
          members_.Accuse(step.name, step.incarnation, self_.life.name);
          spread_.Add(step.name, "", now);  // with its accuser named, also where the suspicion was known
        }
        continue;
      }
      if (member == nullptr) continue;
      if (step.what == Probes::Step::What::kPing) {
        ++counts_.probes;
        Message ping = Start(Kind::kPing);
        ping.sequence = step.sequence;
        if (member->news.state != State::kAlive) ping.subject = member->news;
        Send(member->news.address, std::move(ping), kForProbes, now, out);
        continue;
      }
      std::vector<std::string> asked;
      for (const std::string& other : members_.Some(terms_.indirect, step.name, random_)) {
        Message ask = Start(Kind::kPingFor);
        ask.sequence = step.sequence;
        ask.subject = member->news;
        if (!Send(members_.Find(other)->news.address, std::move(ask), kForProbes, now, out)) break;
        ++counts_.indirect;
        asked.push_back(other);
      }
      probes_.Asked(asked);
    }
  }

  // While it is alone all seeds and one that is held for dead; afterwards one of them, but for seeds that are
  // the address of a live one.
  void Reunite(TimePoint now, Out& out) {
    const bool alone = members_.live().empty();
    reunion_at_ = now + terms_.probe_every * (alone ? 1 : kReunion);
    std::set<std::string> known;
    for (const std::string& name : members_.live()) known.insert(members_.Find(name)->news.address);
    std::vector<const MemberNews*> dead;
    for (const auto& [since, name] : members_.gone()) {
      const MemberNews& news = members_.Find(name)->news;
      if (news.state == State::kDead) dead.push_back(&news);
    }
    std::vector<std::pair<std::string, const MemberNews*>> whom;
    for (const std::string& seed : seeds_) {
      if (!known.contains(seed)) whom.emplace_back(seed, nullptr);
    }
    if (alone && !dead.empty()) dead = {dead[random_.Below(dead.size())]};
    for (const MemberNews* news : dead) whom.emplace_back(news->address, news);
    if (!alone && !whom.empty()) whom = {whom[random_.Below(whom.size())]};
    for (const auto& [address, news] : whom) {
      Message ping = Start(Kind::kPing);
      ping.sequence = probes_.NewSequence();
      if (news != nullptr) ping.subject = *news;
      Send(address, std::move(ping), kForProbes, now, out);
      if (!alone) Digest(address, now, out);
    }
  }

  void TakeNews(const MemberNews& news, By by, TimePoint now, Out& out) {
    if (!Fine(news)) {
      ++counts_.not_taken;
      return;
    }
    if (news.life.name == self_.life.name) return Own(news, now, out);
    if (news.life.born < values_.BornOf(news.life.name)) {
      ++counts_.news_old;
      return;
    }
    const bool alone = members_.live().empty();
    const auto taken = members_.Take(news, by, now);
    for (const std::string& name : members_.forgotten_for_room()) values_.Forget(name);
    if (!taken.taken) {
      ++(taken.full ? counts_.not_taken : counts_.news_old);
      return;
    }
    ++counts_.news_taken;
    learned_ = learned_ || by == By::kRecords;
    const MemberNews& held = members_.Find(news.life.name)->news;
    const bool live = held.state <= State::kSuspect;
    const bool was_live = taken.before && taken.before->state <= State::kSuspect;
    if (held.state == State::kSuspect) ++counts_.suspected;
    if (held.state == State::kDead && was_live) ++counts_.died;
    if (live && taken.before && !was_live) ++counts_.returned;
    if (live && !was_live) probes_.Joined(news.life.name, random_);
    if (live && alone) {
      catching_up_ = Pace::kFast;
      digest_at_ = now;
    }
    for (Value& value : values_.Later(held.life, false)) Lapsed(std::move(value), out);
    spread_.Add(news.life.name, "", now);
    MemberNews like = held;
    if (taken.before) like.incarnation = taken.before->incarnation;
    // A refutation that nobody here had doubted changes nothing for whoever uses it.
    if (!taken.before || like != *taken.before) Changed(Change::What::kMember, held, out);
  }

  void TakeValue(const Value& value, TimePoint now, Out& out) {
    if (!gossip::Fine(value)) {
      ++counts_.not_taken;
      return;
    }
    if (value.owner.name == self_.life.name) {
      if (value.owner.born > self_.life.born) {
        MemberNews news = self_;
        news.life = value.owner;
        Own(news, now, out);
      } else if (values_.Outdo(value)) {
        spread_.Add(self_.life.name, value.key, now);
      }
      return;
    }
    const auto* member = members_.Find(value.owner.name);
    const bool over = member == nullptr && value.age >= value.lasts;  // nothing would ever forget it
    const bool former = member != nullptr && value.owner.born < member->news.life.born;
    if (over || former || now < woke_) {
      ++counts_.values_old;
      return;
    }
    auto result = values_.Take(value, now);
    for (Value& lapsed : result.lapsed) Lapsed(std::move(lapsed), out);
    switch (result.verdict) {
      case Values::Verdict::kFull:
        ++counts_.not_taken;
        break;
      case Values::Verdict::kTaken:
        ++counts_.values_taken;
        spread_.Add(value.owner.name, value.key, now - value.age);
        Changed(Change::What::kValue, value, out);
        break;
      default:
        ++counts_.values_old;
    }
  }

  void Own(const MemberNews& news, TimePoint now, Out& out) {
    const Reply reply = JudgeOwn(self_, news);
    if (reply == Reply::kNothing) return;
    if (reply == Reply::kReborn) {
      // Two processes of one name would outbid each other without end: not more often than that.
      if (news.life.born >= kMostNumber - kRebirths || (reborn_ && now < *reborn_ + terms_.probe_every))
        return;
      reborn_ = now;
      // Two that are born after the same former one, one after the other, must not be of one life.
      self_.life.born = news.life.born + 1 + random_.Below(kRebirths);
      self_.incarnation = 0;
      values_.Later(self_.life, true);
      if (const auto* said = values_.Of(self_.life)) {
        for (const auto& [key, held] : *said) {
          if (!held.lapsed) spread_.Add(self_.life.name, key, now);
        }
      }
      Changed(Change::What::kSelfReborn, self_, out);
    } else {
      self_.incarnation = news.incarnation + 1;
    }
    if (reply == Reply::kRefute) {
      probes_.Learn(Outcome::kDoubted);
      ++counts_.refuted;
      // Dead to somebody: it was cut off or stopped, so what it knows is old.
      if (news.state == State::kDead) catching_up_ = Pace::kFast;
    }
    members_.Own(self_);
    spread_.Add(self_.life.name, "", now);
  }

  static void Changed(Change::What what, const MemberNews& member, Out& out) {
    out.changes.emplace_back().what = what;
    out.changes.back().member = member;
  }
  static void Changed(Change::What what, const Value& value, Out& out) {
    out.changes.emplace_back().what = what;
    out.changes.back().value = value;
  }

  void Lapsed(Value&& value, Out& out) {
    ++counts_.lapsed;
    spread_.Drop(value.owner.name, value.key);
    value.bytes.clear();
    Changed(Change::What::kLapsed, value, out);
  }

  const Terms terms_;
  MemberNews self_;
  Random random_;
  Membership members_;
  class Values values_;
  Spread spread_;
  AntiEntropy anti_entropy_;
  Probes probes_;
  Rate rate_;
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

Core::Core(MemberNews self, const Terms& terms, std::uint64_t seed, TimePoint now)
    : impl_(std::make_unique<Impl>(std::move(self), terms, seed, now)) {}
Core::~Core() = default;
Core::Core(Core&&) noexcept = default;
Core& Core::operator=(Core&&) noexcept = default;

void Core::Seeds(std::vector<std::string> addresses) { impl_->Seeds(std::move(addresses)); }
void Core::Hear(const Message& message, const std::string& from, TimePoint now, Out& out) {
  impl_->Hear(message, from, now, out);
}
void Core::Tick(TimePoint now, Out& out) { impl_->Tick(now, out); }
TimePoint Core::next() const { return impl_->next(); }
bool Core::Put(const std::string& key, const std::string& bytes, Duration lasts, TimePoint now) {
  return impl_->Put(key, bytes, lasts, now);
}
void Core::Leave(TimePoint now, Out& out) { impl_->Leave(now, out); }
const MemberNews& Core::self() const { return impl_->self(); }
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
