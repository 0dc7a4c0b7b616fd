// The code common to all roles of a voter: its entry points, and how messages are created and delivered.
#include "change_freeze/voter.h"

#include <algorithm>
#include <utility>

namespace mothrack::change_freeze {

using Kind = VoterMessage::Kind;

Voter::Voter(VoterSettings settings, VoterRecord record, RecordCondition condition, TimePoint now)
    : settings_(std::move(settings)),
      record_(std::move(record)),
      incarnations_(record_.incarnations),
      lease_(settings_.lease) {
  PromiseLease(now);
  if (condition == RecordCondition::kStale) BeginRejoin(now);
}

void Voter::Receive(const VoterMessage& message, TimePoint now, std::vector<VoterMessage>& out) {
  const bool for_this_voter = message.to == settings_.local_voter;
  const bool from_other_voter =
      message.from != settings_.local_voter && settings_.voters.contains(message.from);
  if (!for_this_voter || !from_other_voter) return;
  const VoterRecord before = record_;
  const std::size_t first = out.size();
  ObservePeer(message, now);
  if (IsBehind(message) && role_ != Role::kRejoining) BeginRejoin(now);
  // A rejoining voter lacks the record that its answers would depend on.
  if (role_ != Role::kRejoining) HandleRequest(message, now, out);
  HandleResponse(message, now);
  AdvanceRole(now, out);
  AssignSerial(before, first, out);
}

void Voter::Tick(TimePoint now, std::vector<VoterMessage>& out) {
  const VoterRecord before = record_;
  const std::size_t first = out.size();
  if (role_ == Role::kLeader && now >= LeaseEnd()) BecomeFollower(now);
  if (now >= next_action_) OnActionDue(now, out);
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

void Voter::OnWriteFailed(TimePoint now) {
  if (role_ == Role::kRejoining) return;
  BecomeFollower(now);
  // Let the others campaign first, because this voter could not write its own vote.
  next_action_ += settings_.lease;
}

std::string Voter::LeaderAt(TimePoint now) const {
  if (HoldsLease(now)) return settings_.local_voter;
  return now < promised_until_ && role_ != Role::kRejoining ? leader_ : std::string();
}

std::set<std::string> Voter::UnreachableVoters(TimePoint now) const {
  std::set<std::string> unreachable;
  for (const std::string& name : settings_.voters) {
    if (name == settings_.local_voter) continue;
    const auto contact = last_contact_.find(name);
    if (contact == last_contact_.end() || contact->second + settings_.lease <= now) unreachable.insert(name);
  }
  return unreachable;
}

void Voter::BecomeFollower(TimePoint now) {
  role_ = NextRole(role_, RoleEvent::kSteppedDown);
  ClearRoleState(now);
}

// Resets the state of the current campaign or leadership.
void Voter::ClearRoleState(TimePoint now) {
  granted_by_.clear();
  replicas_.Clear();
  lease_.Reset();
  next_action_ = std::max(now, promised_until_) + ElectionDelay();
}

// Extends the promise that no other voter wins before the holder of the lease knows that it has ended.
void Voter::PromiseLease(TimePoint now) {
  promised_until_ = std::max(promised_until_, now + Lengthened(settings_.lease));
  if (role_ == Role::kFollower) next_action_ = promised_until_ + ElectionDelay();
}

void Voter::ObservePeer(const VoterMessage& message, TimePoint now) {
  last_contact_[message.from] = now;
  RecordPosition& position = peer_positions_[message.from];
  position = std::max(position, RecordPosition{message.incarnation, message.serial});
  incarnations_.Observe(message.from, message.incarnation);
  for (const auto& [name, incarnation] : message.incarnations) incarnations_.Observe(name, incarnation);
}

// Whether this voter's file is stale: the voter has sent a later position than the file has, or it requested
// to rejoin as a later incarnation before the current file was restored.
bool Voter::IsBehind(const VoterMessage& message) const {
  const bool sent_more =
      message.receiver_incarnation == record_.incarnation && message.receiver_serial > record_.serial;
  return sent_more || incarnations_.Latest(settings_.local_voter) > record_.incarnation;
}

void Voter::HandleRequest(const VoterMessage& request, TimePoint now, std::vector<VoterMessage>& out) {
  VoterMessage response;
  switch (request.kind) {
    case Kind::kPreVoteRequest:
      response = Respond(request, Kind::kPreVoteResponse, OnPreVoteRequest(request, now));
      response.value_version = {request.term, 0};  // identifies the answered request
      break;
    case Kind::kVoteRequest:
      response = Respond(request, Kind::kVoteResponse, OnVoteRequest(request, now));
      if (response.granted) response.value = record_.value;
      break;
    case Kind::kReplicate:
    case Kind::kHeartbeat:
      response = Respond(request, Kind::kReplicateResponse, OnLeaderMessage(request, now));
      break;
    case Kind::kRejoinRequest:
      response = Respond(request, Kind::kRejoinResponse, OnRejoinRequest(request));
      response.incarnations[request.from] = incarnations_.Latest(request.from);
      if (response.granted) response.value = record_.value;
      break;
    default:
      return;
  }
  out.push_back(std::move(response));
}

void Voter::HandleResponse(const VoterMessage& response, TimePoint now) {
  if (response.kind == Kind::kRejoinResponse) {
    if (role_ == Role::kRejoining) OnRejoinResponse(response, now);
    return;
  }
  if (role_ == Role::kRejoining) return;
  if (response.kind == Kind::kPreVoteResponse) return OnPreVoteResponse(response);
  if (response.kind != Kind::kVoteResponse && response.kind != Kind::kReplicateResponse) return;
  if (response.term > record_.term) {
    highest_seen_term_ = std::max(highest_seen_term_, response.term);
    if (role_ != Role::kFollower) BecomeFollower(now);
    return;
  }
  if (response.term < record_.term || !response.granted) return;
  if (response.kind == Kind::kVoteResponse) return OnVoteResponse(response);
  OnReplicateResponse(response);
}

// Performs the action that is due in the current role: starts a campaign, abandons it, sends heartbeats or
// repeats the rejoin request.
void Voter::OnActionDue(TimePoint now, std::vector<VoterMessage>& out) {
  switch (role_) {
    case Role::kRejoining:
      next_action_ = now + settings_.heartbeat_interval;
      Broadcast(Kind::kRejoinRequest, record_.term, now, out);
      break;
    case Role::kFollower:
      if (now >= promised_until_) StartPreVote(now, out);
      break;
    case Role::kPreCandidate:
    case Role::kCandidate:
      BecomeFollower(now);
      break;
    case Role::kEstablishing:
      if (now >= establish_deadline_) {
        BecomeFollower(now);
      } else {
        SendHeartbeats(now, out);
      }
      break;
    case Role::kLeader:
      SendHeartbeats(now, out);
      break;
  }
}

// Takes the next step once enough voters have granted or acknowledged. One step may complete the next: a
// fleet of one voter needs no responses at all.
void Voter::AdvanceRole(TimePoint now, std::vector<VoterMessage>& out) {
  if (role_ == Role::kRejoining && incarnations_.CountCurrent(granted_by_) >= Majority()) FinishRejoin(now);
  if (role_ == Role::kPreCandidate && HasMajorityOfGrants()) StartElection(now, out);
  if (role_ == Role::kCandidate && HasMajorityOfGrants()) StartLeadership(now, out);
  if (LeadsTerm()) UpdateCommitted(now);
}

VoterMessage Voter::MakeMessage(const std::string& receiver, Kind kind) const {
  VoterMessage message;
  message.kind = kind;
  message.from = settings_.local_voter;
  message.to = receiver;
  message.term = record_.term;
  message.value_version = record_.value_version;
  message.incarnation = record_.incarnation;
  message.serial = record_.serial;
  message.incarnations = record_.incarnations;
  if (const auto position = peer_positions_.find(receiver); position != peer_positions_.end()) {
    message.receiver_incarnation = position->second.incarnation;
    message.receiver_serial = position->second.serial;
  }
  return message;
}

VoterMessage Voter::Respond(const VoterMessage& request, Kind kind, bool granted) const {
  VoterMessage response = MakeMessage(request.from, kind);
  response.granted = granted;
  response.request_sent = request.request_sent;
  response.wanted_incarnation = request.wanted_incarnation;
  return response;
}

void Voter::Broadcast(Kind kind, Term term, TimePoint now, std::vector<VoterMessage>& out) const {
  for (const std::string& name : settings_.voters) {
    if (name == settings_.local_voter) continue;
    VoterMessage message = MakeMessage(name, kind);
    message.term = term;
    message.request_sent = now.time_since_epoch().count();
    message.wanted_incarnation = wanted_incarnation_;
    out.push_back(std::move(message));
  }
}

// Messages carry the position that the record will have on disk when they are sent.
void Voter::AssignSerial(const VoterRecord& before, std::size_t first, std::vector<VoterMessage>& out) {
  if (record_ != before) record_.serial = before.serial + 1;
  for (std::size_t i = first; i < out.size(); ++i) {
    out[i].serial = record_.serial;
    out[i].incarnation = record_.incarnation;
  }
}

void Voter::KeepLatest(const VoterMessage& response) {
  if (response.value_version > latest_.version) latest_ = {response.value_version, response.value};
}

}  // namespace mothrack::change_freeze
