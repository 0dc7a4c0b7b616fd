#include "change_freeze/voter.h"

#include <algorithm>
#include <utility>

namespace mothrack::change_freeze {

using Kind = VoterMessage::Kind;

namespace {
// In `voted`: for nobody in this term, and for nobody to come. No voter has this name.
constexpr char kNobody = '-';
}  // namespace

Voter::RecordCondition Voter::AssessRecord(const std::optional<VoterRecord>& record,
                                           const std::optional<RecordPosition>& position, bool founding) {
  if (!record && !position) return founding ? RecordCondition::kCurrent : RecordCondition::kStale;
  return record && !record->stale && position && PositionOf(*record) >= *position ? RecordCondition::kCurrent
                                                                                  : RecordCondition::kStale;
}

Voter::Voter(VoterSettings settings, VoterRecord record, RecordCondition condition, TimePoint now)
    : settings_(std::move(settings)), record_(std::move(record)), latest_incarnations_(record_.incarnations) {
  PromiseLease(now);
  if (condition == RecordCondition::kStale) BeginRejoin(now);
}

// Nobody may win before the holder of a promise made now knows that it has ended.
void Voter::PromiseLease(TimePoint now) {
  promised_until_ = std::max(promised_until_, now + Lengthened(settings_.lease));
  if (role_ == Role::kFollower) next_action_ = promised_until_ + ElectionDelay();
}

// Two that begin at once split the votes: each waits a while of its own, another one at each attempt.
Duration Voter::ElectionDelay() {
  std::uint64_t hash = 1469598103934665603u + ++campaigns_;
  for (const char c : settings_.local_voter) hash = (hash ^ static_cast<unsigned char>(c)) * 1099511628211u;
  return settings_.request_timeout * static_cast<int>((hash >> 20) % 16) / 16;
}

void Voter::BecomeFollower(TimePoint now) {
  role_ = Role::kFollower;
  granted_by_.clear();
  replicas_.clear();
  acked_requests_.clear();
  next_action_ = std::max(now, promised_until_) + ElectionDelay();
}

void Voter::BeginRejoin(TimePoint now) {
  BecomeFollower(now);
  role_ = Role::kRejoining;
  record_.stale = true;
  wanted_incarnation_ = std::max(wanted_incarnation_, record_.incarnation) + 1;
  latest_version_ = {};
  latest_value_.clear();
  rejoin_term_ = 0;
  next_action_ = now;
}

void Voter::OnWriteFailed(TimePoint now) {
  if (role_ == Role::kRejoining) return;
  BecomeFollower(now);
  // Others first: it could not write its own vote.
  next_action_ += settings_.lease;
}

VoterMessage Voter::MakeMessage(const std::string& name, Kind kind) const {
  VoterMessage message;
  message.kind = kind;
  message.from = settings_.local_voter;
  message.to = name;
  message.term = record_.term;
  message.value_version = record_.value_version;
  message.incarnation = record_.incarnation;
  message.serial = record_.serial;
  message.incarnations = record_.incarnations;
  if (const auto position = peer_positions_.find(name); position != peer_positions_.end()) {
    message.receiver_incarnation = position->second.incarnation;
    message.receiver_serial = position->second.serial;
  }
  return message;
}

void Voter::Broadcast(Kind kind, Term term, TimePoint now, std::vector<VoterMessage>& out) const {
  for (const std::string& name : settings_.voters) {
    if (name == settings_.local_voter) continue;
    out.push_back(MakeMessage(name, kind));
    out.back().term = term;
    out.back().request_sent = now.time_since_epoch().count();
    out.back().wanted_incarnation = wanted_incarnation_;
  }
}

// What goes out tells the number that the record will have on disk.
void Voter::AssignSerial(const VoterRecord& before, std::size_t first, std::vector<VoterMessage>& out) {
  if (record_ != before) record_.serial = before.serial + 1;
  for (std::size_t i = first; i < out.size(); ++i) {
    out[i].serial = record_.serial;
    out[i].incarnation = record_.incarnation;
  }
}

TimePoint Voter::LeaseEnd() const {
  std::vector<TimePoint> request_sent{last_heartbeat_};
  for (const auto& [name, at] : acked_requests_) request_sent.push_back(at);
  if (request_sent.size() < Majority()) return TimePoint::min();
  std::sort(request_sent.rbegin(), request_sent.rend());
  return request_sent[Majority() - 1] + Shortened(settings_.lease);
}

std::string Voter::LeaderAt(TimePoint now) const {
  if (HoldsLease(now)) return settings_.local_voter;
  return now < promised_until_ && role_ != Role::kRejoining ? leader_ : std::string();
}

std::set<std::string> Voter::UnreachableVoters(TimePoint now) const {
  std::set<std::string> missing;
  for (const std::string& name : settings_.voters) {
    const auto heard = last_contact_.find(name);
    if (name != settings_.local_voter &&
        (heard == last_contact_.end() || heard->second + settings_.lease <= now))
      missing.insert(name);
  }
  return missing;
}

// Those of `lives` that speak for their voter's latest life.
std::size_t Voter::CountCurrent(const std::map<std::string, std::uint64_t>& incarnations) const {
  return std::count_if(incarnations.begin(), incarnations.end(), [&](const auto& entry) {
    const auto incarnation = latest_incarnations_.find(entry.first);
    return incarnation == latest_incarnations_.end() || entry.second >= incarnation->second;
  });
}

void Voter::UpdateCommitted() {
  std::vector<std::uint64_t> versions{record_.value_version.version};
  for (const auto& [name, replica] : replicas_) {
    if (CountCurrent({{name, replica.incarnation}}) == 1) versions.push_back(replica.version);
  }
  if (versions.size() < Majority()) return;
  std::sort(versions.rbegin(), versions.rend());
  committed_ = std::max(committed_, versions[Majority() - 1]);
}

void Voter::SendHeartbeats(TimePoint now, std::vector<VoterMessage>& out) {
  last_heartbeat_ = now;
  PromiseLease(now);
  next_action_ = now + settings_.heartbeat_interval;
  for (const std::string& name : settings_.voters) {
    if (name == settings_.local_voter) continue;
    const auto replica = replicas_.find(name);
    const bool behind = replica == replicas_.end() || replica->second.version < record_.value_version.version;
    out.push_back(MakeMessage(name, behind ? Kind::kReplicate : Kind::kHeartbeat));
    out.back().request_sent = now.time_since_epoch().count();
    if (behind) out.back().value = record_.value;
  }
}

// What follows once enough have answered. A fleet of one voter needs no answer.
void Voter::AdvanceRole(TimePoint now, std::vector<VoterMessage>& out) {
  if (role_ == Role::kRejoining && CountCurrent(granted_by_) >= Majority()) {
    // Above whatever it may have voted or held, as far as these know; of the rest, they answer for it
    // (Counted).
    record_.stale = false;
    record_.incarnation = wanted_incarnation_;
    record_.term = std::max(record_.term, rejoin_term_);
    record_.voted_for.assign(1, kNobody);
    if (latest_version_ > record_.value_version) {
      record_.value_version = latest_version_;
      record_.value = latest_value_;
    }
    promised_until_ = now + Lengthened(settings_.lease);
    BecomeFollower(now);
  }
  if (role_ == Role::kPreCandidate && CountCurrent(granted_by_) + 1 >= Majority()) {
    role_ = Role::kCandidate;
    granted_by_.clear();
    record_.term = std::max(record_.term, highest_seen_term_) + 1;
    record_.voted_for = settings_.local_voter;
    latest_version_ = record_.value_version;
    latest_value_ = record_.value;
    next_action_ = now + settings_.request_timeout;
    Broadcast(Kind::kVoteRequest, record_.term, now, out);
  }
  if (role_ == Role::kCandidate && CountCurrent(granted_by_) + 1 >= Majority()) {
    role_ = Role::kEstablishing;
    replicas_.clear();
    acked_requests_.clear();
    committed_ = 0;
    establish_deadline_ = now + settings_.lease;
    record_.value_version = {record_.term, 1};
    record_.value = latest_value_;
    SendHeartbeats(now, out);
  }
  if (role_ == Role::kEstablishing || role_ == Role::kLeader) {
    UpdateCommitted();
    if (role_ == Role::kEstablishing && committed_ > 0 && now < LeaseEnd()) {
      role_ = Role::kLeader;
      leader_ = settings_.local_voter;
    }
  }
}

void Voter::OnLeaderMessage(const VoterMessage& message, TimePoint now, VoterMessage& response) {
  if (message.term < record_.term) return;
  if (message.term > record_.term) {
    record_.term = message.term;
    record_.voted_for = message.from;  // it has won, so nobody else does in its term
  }
  if (role_ != Role::kFollower) BecomeFollower(now);
  PromiseLease(now);
  leader_ = message.from;
  if (message.kind == Kind::kReplicate && message.value_version > record_.value_version &&
      message.value.size() <= kMaxValueBytes) {
    record_.value_version = message.value_version;
    record_.value = message.value;
  }
  response.granted = true;
}

// Questions.
void Voter::HandleRequest(const VoterMessage& message, TimePoint now, std::vector<VoterMessage>& out) {
  VoterMessage response = MakeMessage(message.from, Kind::kReplicateResponse);
  response.request_sent = message.request_sent;
  response.wanted_incarnation = message.wanted_incarnation;
  switch (message.kind) {
    case Kind::kPreVoteRequest:
      response.kind = Kind::kPreVoteResponse;
      response.granted = now >= promised_until_ && message.term > record_.term;
      response.value_version = {message.term, 0};  // names the question
      break;
    case Kind::kVoteRequest:
      response.kind = Kind::kVoteResponse;
      // In the middle of another's lease its term is not taken over either, or every lonely voter would end
      // one.
      if (now >= promised_until_ && message.term > record_.term) {
        record_.term = message.term;
        record_.voted_for = message.from;
        BecomeFollower(now);
      }
      response.granted = message.term == record_.term && record_.voted_for == message.from;
      break;
    case Kind::kReplicate:
    case Kind::kHeartbeat:
      OnLeaderMessage(message, now, response);
      break;
    case Kind::kRejoinRequest: {
      response.kind = Kind::kRejoinResponse;
      // A life that was wanted before may have been lived.
      std::uint64_t& incarnation = latest_incarnations_[message.from];
      response.granted = message.wanted_incarnation > incarnation;
      if (response.granted) incarnation = record_.incarnations[message.from] = message.wanted_incarnation;
      break;
    }
    default:
      return;
  }
  response.term = record_.term;
  response.incarnations = record_.incarnations;
  if (response.kind == Kind::kRejoinResponse)
    response.incarnations[message.from] = latest_incarnations_[message.from];
  if (response.kind != Kind::kPreVoteResponse) response.value_version = record_.value_version;
  if (response.granted && (response.kind == Kind::kVoteResponse || response.kind == Kind::kRejoinResponse))
    response.value = record_.value;
  out.push_back(response);
}

void Voter::OnRejoinResponse(const VoterMessage& message, TimePoint now) {
  const auto incarnation = latest_incarnations_.find(settings_.local_voter);
  if (message.granted && message.wanted_incarnation == wanted_incarnation_) {
    granted_by_[message.from] = message.incarnation;
    rejoin_term_ = std::max(rejoin_term_, message.term);
    if (message.value_version > latest_version_) {
      latest_version_ = message.value_version;
      latest_value_ = message.value;
    }
  } else if (!message.granted && incarnation != latest_incarnations_.end() &&
             incarnation->second >= wanted_incarnation_ && !granted_by_.contains(message.from)) {
    wanted_incarnation_ = incarnation->second;
    BeginRejoin(now);
  }
}

// Answers.
void Voter::HandleResponse(const VoterMessage& message, TimePoint now) {
  if (message.kind == Kind::kRejoinResponse) {
    if (role_ == Role::kRejoining) OnRejoinResponse(message, now);
    return;
  }
  const bool response = message.kind == Kind::kPreVoteResponse || message.kind == Kind::kVoteResponse ||
                        message.kind == Kind::kReplicateResponse;
  if (role_ == Role::kRejoining || !response) return;
  if (message.kind == Kind::kPreVoteResponse) {
    if (role_ == Role::kPreCandidate && message.granted &&
        message.value_version.term == std::max(record_.term, highest_seen_term_) + 1) {
      granted_by_[message.from] = message.incarnation;
    } else if (!message.granted) {
      highest_seen_term_ = std::max(highest_seen_term_, message.term);
    }
    return;
  }
  if (message.term > record_.term) {
    highest_seen_term_ = std::max(highest_seen_term_, message.term);
    if (role_ != Role::kFollower) BecomeFollower(now);
    return;
  }
  if (message.term < record_.term || !message.granted) return;
  if (message.kind == Kind::kVoteResponse && role_ == Role::kCandidate) {
    granted_by_[message.from] = message.incarnation;
    if (message.value_version > latest_version_) {
      latest_version_ = message.value_version;
      latest_value_ = message.value;
    }
  } else if (message.kind == Kind::kReplicateResponse &&
             (role_ == Role::kEstablishing || role_ == Role::kLeader)) {
    ReplicaProgress& replica = replicas_[message.from];
    const bool newer_incarnation = message.incarnation > replica.incarnation;
    const std::uint64_t version =
        message.value_version.term == record_.term ? message.value_version.version : 0;
    if (newer_incarnation || (message.incarnation == replica.incarnation && version > replica.version))
      replica = {version, message.incarnation};
    TimePoint& request_sent = acked_requests_[message.from];
    request_sent = std::max(request_sent, TimePoint(Duration(message.request_sent)));
  }
}

void Voter::Receive(const VoterMessage& message, TimePoint now, std::vector<VoterMessage>& out) {
  if (message.to != settings_.local_voter || message.from == settings_.local_voter ||
      !settings_.voters.contains(message.from))
    return;
  const VoterRecord before = record_;
  const std::size_t first = out.size();
  last_contact_[message.from] = now;
  RecordPosition& position = peer_positions_[message.from];
  position = std::max(position, RecordPosition{message.incarnation, message.serial});
  latest_incarnations_[message.from] = std::max(latest_incarnations_[message.from], message.incarnation);
  for (const auto& [name, incarnation] : message.incarnations)
    latest_incarnations_[name] = std::max(latest_incarnations_[name], incarnation);
  // It has told more than it knows, or has asked to join as a later life before its present file was put
  // back.
  const auto local_voter = latest_incarnations_.find(settings_.local_voter);
  const bool behind_peers =
      (message.receiver_incarnation == record_.incarnation && message.receiver_serial > record_.serial) ||
      (local_voter != latest_incarnations_.end() && local_voter->second > record_.incarnation);
  if (behind_peers && role_ != Role::kRejoining) BeginRejoin(now);
  // What it is asked while lost, it can't know.
  if (role_ != Role::kRejoining) HandleRequest(message, now, out);
  HandleResponse(message, now);
  AdvanceRole(now, out);
  AssignSerial(before, first, out);
}

void Voter::Tick(TimePoint now, std::vector<VoterMessage>& out) {
  const VoterRecord before = record_;
  const std::size_t first = out.size();
  if (role_ == Role::kLeader && now >= LeaseEnd()) BecomeFollower(now);
  if (now >= next_action_) {
    switch (role_) {
      case Role::kRejoining:
        next_action_ = now + settings_.heartbeat_interval;
        Broadcast(Kind::kRejoinRequest, record_.term, now, out);
        break;
      case Role::kFollower:
        if (now < promised_until_) break;
        role_ = Role::kPreCandidate;
        granted_by_.clear();
        next_action_ = now + settings_.request_timeout;
        Broadcast(Kind::kPreVoteRequest, std::max(record_.term, highest_seen_term_) + 1, now, out);
        break;
      case Role::kPreCandidate:
      case Role::kCandidate:
        BecomeFollower(now);
        break;
      case Role::kEstablishing:
        if (now >= establish_deadline_) {
          BecomeFollower(now);
          break;
        }
        [[fallthrough]];
      case Role::kLeader:
        SendHeartbeats(now, out);
        break;
    }
  }
  AdvanceRole(now, out);
  AssignSerial(before, first, out);
}

std::uint64_t Voter::Propose(const std::string& value, TimePoint now, std::vector<VoterMessage>& out) {
  if (!HoldsLease(now) || value.size() > kMaxValueBytes) return 0;
  const VoterRecord before = record_;
  const std::size_t first = out.size();
  ++record_.value_version.version;
  record_.value = value;
  SendHeartbeats(now, out);
  AdvanceRole(now, out);
  AssignSerial(before, first, out);
  return record_.value_version.version;
}

}  // namespace mothrack::change_freeze
