#include "change_freeze/voter.h"

#include <algorithm>
#include <utility>

namespace mothrack::change_freeze {

using Kind = VoterMessage::Kind;

namespace {
// In `voted`: for nobody in this term, and for nobody to come. No voter has this name.
constexpr char kNobody = '-';
}  // namespace

Voter::Trust Voter::TrustOf(const std::optional<VoterRecord>& record, const std::optional<Seal>& seal,
                            bool founding) {
  if (!record && !seal) return founding ? Trust::kSound : Trust::kOld;
  return record && !record->old && seal && SealOf(*record) >= *seal ? Trust::kSound : Trust::kOld;
}

Voter::Voter(VoterSettings settings, VoterRecord record, Trust trust, TimePoint now)
    : settings_(std::move(settings)), record_(std::move(record)), known_(record_.lives) {
  Quiet(now);
  if (trust == Trust::kOld) Lose(now);
}

// Nobody may win before the holder of a promise made now knows that it has ended.
void Voter::Quiet(TimePoint now) {
  quiet_until_ = std::max(quiet_until_, now + Lengthened(settings_.lease));
  if (role_ == Role::kFollower) next_ = quiet_until_ + Stagger();
}

// Two that begin at once split the votes: each waits a while of its own, another one at each attempt.
Duration Voter::Stagger() {
  std::uint64_t hash = 1469598103934665603u + ++attempts_;
  for (const char c : settings_.self) hash = (hash ^ static_cast<unsigned char>(c)) * 1099511628211u;
  return settings_.patience * static_cast<int>((hash >> 20) % 16) / 16;
}

void Voter::Follow(TimePoint now) {
  role_ = Role::kFollower;
  granted_.clear();
  held_.clear();
  asked_.clear();
  next_ = std::max(now, quiet_until_) + Stagger();
}

void Voter::Lose(TimePoint now) {
  Follow(now);
  role_ = Role::kLost;
  record_.old = true;
  wanted_ = std::max(wanted_, record_.life) + 1;
  latest_ = {};
  latest_value_.clear();
  joined_term_ = 0;
  next_ = now;
}

void Voter::DiskRefused(TimePoint now) {
  if (role_ == Role::kLost) return;
  Follow(now);
  // Others first: it could not write its own vote.
  next_ += settings_.lease;
}

VoterMessage Voter::To(const std::string& name, Kind kind) const {
  VoterMessage message;
  message.kind = kind;
  message.from = settings_.self;
  message.to = name;
  message.term = record_.term;
  message.stamp = record_.stamp;
  message.life = record_.life;
  message.serial = record_.serial;
  message.lives = record_.lives;
  if (const auto told = told_.find(name); told != told_.end()) {
    message.your_life = told->second.life;
    message.your_serial = told->second.serial;
  }
  return message;
}

void Voter::ToAll(Kind kind, Term term, TimePoint now, std::vector<VoterMessage>& out) const {
  for (const std::string& name : settings_.voters) {
    if (name == settings_.self) continue;
    out.push_back(To(name, kind));
    out.back().term = term;
    out.back().asked = now.time_since_epoch().count();
    out.back().wanted = wanted_;
  }
}

// What goes out tells the number that the record will have on disk.
void Voter::Number(const VoterRecord& before, std::size_t first, std::vector<VoterMessage>& out) {
  if (record_ != before) record_.serial = before.serial + 1;
  for (std::size_t i = first; i < out.size(); ++i) {
    out[i].serial = record_.serial;
    out[i].life = record_.life;
  }
}

TimePoint Voter::LeaseEnd() const {
  std::vector<TimePoint> asked{beat_};
  for (const auto& [name, at] : asked_) asked.push_back(at);
  if (asked.size() < Majority()) return TimePoint::min();
  std::sort(asked.rbegin(), asked.rend());
  return asked[Majority() - 1] + Shortened(settings_.lease);
}

std::string Voter::CoordinatorOf(TimePoint now) const {
  if (Leads(now)) return settings_.self;
  return now < quiet_until_ && role_ != Role::kLost ? coordinator_ : std::string();
}

std::set<std::string> Voter::Missing(TimePoint now) const {
  std::set<std::string> missing;
  for (const std::string& name : settings_.voters) {
    const auto heard = heard_.find(name);
    if (name != settings_.self && (heard == heard_.end() || heard->second + settings_.lease <= now))
      missing.insert(name);
  }
  return missing;
}

// Those of `lives` that speak for their voter's latest life.
std::size_t Voter::Counted(const std::map<std::string, std::uint64_t>& lives) const {
  return std::count_if(lives.begin(), lives.end(), [&](const auto& entry) {
    const auto known = known_.find(entry.first);
    return known == known_.end() || entry.second >= known->second;
  });
}

void Voter::Commit() {
  std::vector<std::uint64_t> versions{record_.stamp.version};
  for (const auto& [name, held] : held_) {
    if (Counted({{name, held.life}}) == 1) versions.push_back(held.version);
  }
  if (versions.size() < Majority()) return;
  std::sort(versions.rbegin(), versions.rend());
  committed_ = std::max(committed_, versions[Majority() - 1]);
}

void Voter::Beat(TimePoint now, std::vector<VoterMessage>& out) {
  beat_ = now;
  Quiet(now);
  next_ = now + settings_.beat;
  for (const std::string& name : settings_.voters) {
    if (name == settings_.self) continue;
    const auto held = held_.find(name);
    const bool behind = held == held_.end() || held->second.version < record_.stamp.version;
    out.push_back(To(name, behind ? Kind::kWrite : Kind::kBeat));
    out.back().asked = now.time_since_epoch().count();
    if (behind) out.back().value = record_.value;
  }
}

// What follows once enough have answered. A fleet of one voter needs no answer.
void Voter::Progress(TimePoint now, std::vector<VoterMessage>& out) {
  if (role_ == Role::kLost && Counted(granted_) >= Majority()) {
    // Above whatever it may have voted or held, as far as these know; of the rest, they answer for it
    // (Counted).
    record_.old = false;
    record_.life = wanted_;
    record_.term = std::max(record_.term, joined_term_);
    record_.voted.assign(1, kNobody);
    if (latest_ > record_.stamp) {
      record_.stamp = latest_;
      record_.value = latest_value_;
    }
    quiet_until_ = now + Lengthened(settings_.lease);
    Follow(now);
  }
  if (role_ == Role::kAsking && Counted(granted_) + 1 >= Majority()) {
    role_ = Role::kCandidate;
    granted_.clear();
    record_.term = std::max(record_.term, seen_) + 1;
    record_.voted = settings_.self;
    latest_ = record_.stamp;
    latest_value_ = record_.value;
    next_ = now + settings_.patience;
    ToAll(Kind::kAsk, record_.term, now, out);
  }
  if (role_ == Role::kCandidate && Counted(granted_) + 1 >= Majority()) {
    role_ = Role::kTaking;
    held_.clear();
    asked_.clear();
    committed_ = 0;
    give_up_ = now + settings_.lease;
    record_.stamp = {record_.term, 1};
    record_.value = latest_value_;
    Beat(now, out);
  }
  if (role_ == Role::kTaking || role_ == Role::kCoordinator) {
    Commit();
    if (role_ == Role::kTaking && committed_ > 0 && now < LeaseEnd()) {
      role_ = Role::kCoordinator;
      coordinator_ = settings_.self;
    }
  }
}

void Voter::HeardOfCoordinator(const VoterMessage& message, TimePoint now, VoterMessage& answer) {
  if (message.term < record_.term) return;
  if (message.term > record_.term) {
    record_.term = message.term;
    record_.voted = message.from;  // it has won, so nobody else does in its term
  }
  if (role_ != Role::kFollower) Follow(now);
  Quiet(now);
  coordinator_ = message.from;
  if (message.kind == Kind::kWrite && message.stamp > record_.stamp &&
      message.value.size() <= kLargestValue) {
    record_.stamp = message.stamp;
    record_.value = message.value;
  }
  answer.granted = true;
}

// Questions.
void Voter::Answer(const VoterMessage& message, TimePoint now, std::vector<VoterMessage>& out) {
  VoterMessage answer = To(message.from, Kind::kHeld);
  answer.asked = message.asked;
  answer.wanted = message.wanted;
  switch (message.kind) {
    case Kind::kPre:
      answer.kind = Kind::kPreTold;
      answer.granted = now >= quiet_until_ && message.term > record_.term;
      answer.stamp = {message.term, 0};  // names the question
      break;
    case Kind::kAsk:
      answer.kind = Kind::kVote;
      // In the middle of another's lease its term is not taken over either, or every lonely voter would end
      // one.
      if (now >= quiet_until_ && message.term > record_.term) {
        record_.term = message.term;
        record_.voted = message.from;
        Follow(now);
      }
      answer.granted = message.term == record_.term && record_.voted == message.from;
      break;
    case Kind::kWrite:
    case Kind::kBeat:
      HeardOfCoordinator(message, now, answer);
      break;
    case Kind::kJoin: {
      answer.kind = Kind::kJoined;
      // A life that was wanted before may have been lived.
      std::uint64_t& known = known_[message.from];
      answer.granted = message.wanted > known;
      if (answer.granted) known = record_.lives[message.from] = message.wanted;
      break;
    }
    default:
      return;
  }
  answer.term = record_.term;
  answer.lives = record_.lives;
  if (answer.kind == Kind::kJoined) answer.lives[message.from] = known_[message.from];
  if (answer.kind != Kind::kPreTold) answer.stamp = record_.stamp;
  if (answer.granted && (answer.kind == Kind::kVote || answer.kind == Kind::kJoined))
    answer.value = record_.value;
  out.push_back(answer);
}

void Voter::Join(const VoterMessage& message, TimePoint now) {
  const auto known = known_.find(settings_.self);
  if (message.granted && message.wanted == wanted_) {
    granted_[message.from] = message.life;
    joined_term_ = std::max(joined_term_, message.term);
    if (message.stamp > latest_) {
      latest_ = message.stamp;
      latest_value_ = message.value;
    }
  } else if (!message.granted && known != known_.end() && known->second >= wanted_ &&
             !granted_.contains(message.from)) {
    wanted_ = known->second;
    Lose(now);
  }
}

// Answers.
void Voter::Tally(const VoterMessage& message, TimePoint now) {
  if (message.kind == Kind::kJoined) {
    if (role_ == Role::kLost) Join(message, now);
    return;
  }
  const bool answer =
      message.kind == Kind::kPreTold || message.kind == Kind::kVote || message.kind == Kind::kHeld;
  if (role_ == Role::kLost || !answer) return;
  if (message.kind == Kind::kPreTold) {
    if (role_ == Role::kAsking && message.granted &&
        message.stamp.term == std::max(record_.term, seen_) + 1) {
      granted_[message.from] = message.life;
    } else if (!message.granted) {
      seen_ = std::max(seen_, message.term);
    }
    return;
  }
  if (message.term > record_.term) {
    seen_ = std::max(seen_, message.term);
    if (role_ != Role::kFollower) Follow(now);
    return;
  }
  if (message.term < record_.term || !message.granted) return;
  if (message.kind == Kind::kVote && role_ == Role::kCandidate) {
    granted_[message.from] = message.life;
    if (message.stamp > latest_) {
      latest_ = message.stamp;
      latest_value_ = message.value;
    }
  } else if (message.kind == Kind::kHeld && (role_ == Role::kTaking || role_ == Role::kCoordinator)) {
    Held& held = held_[message.from];
    const bool anew = message.life > held.life;
    const std::uint64_t version = message.stamp.term == record_.term ? message.stamp.version : 0;
    if (anew || (message.life == held.life && version > held.version)) held = {version, message.life};
    TimePoint& asked = asked_[message.from];
    asked = std::max(asked, TimePoint(Duration(message.asked)));
  }
}

void Voter::Heard(const VoterMessage& message, TimePoint now, std::vector<VoterMessage>& out) {
  if (message.to != settings_.self || message.from == settings_.self ||
      !settings_.voters.contains(message.from))
    return;
  const VoterRecord before = record_;
  const std::size_t first = out.size();
  heard_[message.from] = now;
  Seal& told = told_[message.from];
  told = std::max(told, Seal{message.life, message.serial});
  known_[message.from] = std::max(known_[message.from], message.life);
  for (const auto& [name, life] : message.lives) known_[name] = std::max(known_[name], life);
  // It has told more than it knows, or has asked to join as a later life before its present file was put
  // back.
  const auto self = known_.find(settings_.self);
  const bool forgot = (message.your_life == record_.life && message.your_serial > record_.serial) ||
                      (self != known_.end() && self->second > record_.life);
  if (forgot && role_ != Role::kLost) Lose(now);
  // What it is asked while lost, it can't know.
  if (role_ != Role::kLost) Answer(message, now, out);
  Tally(message, now);
  Progress(now, out);
  Number(before, first, out);
}

void Voter::Turn(TimePoint now, std::vector<VoterMessage>& out) {
  const VoterRecord before = record_;
  const std::size_t first = out.size();
  if (role_ == Role::kCoordinator && now >= LeaseEnd()) Follow(now);
  if (now >= next_) {
    switch (role_) {
      case Role::kLost:
        next_ = now + settings_.beat;
        ToAll(Kind::kJoin, record_.term, now, out);
        break;
      case Role::kFollower:
        if (now < quiet_until_) break;
        role_ = Role::kAsking;
        granted_.clear();
        next_ = now + settings_.patience;
        ToAll(Kind::kPre, std::max(record_.term, seen_) + 1, now, out);
        break;
      case Role::kAsking:
      case Role::kCandidate:
        Follow(now);
        break;
      case Role::kTaking:
        if (now >= give_up_) {
          Follow(now);
          break;
        }
        [[fallthrough]];
      case Role::kCoordinator:
        Beat(now, out);
        break;
    }
  }
  Progress(now, out);
  Number(before, first, out);
}

std::uint64_t Voter::Write(const std::string& value, TimePoint now, std::vector<VoterMessage>& out) {
  if (!Leads(now) || value.size() > kLargestValue) return 0;
  const VoterRecord before = record_;
  const std::size_t first = out.size();
  ++record_.stamp.version;
  record_.value = value;
  Beat(now, out);
  Progress(now, out);
  Number(before, first, out);
  return record_.stamp.version;
}

}  // namespace mothrack::change_freeze
