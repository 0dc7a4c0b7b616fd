// Voter: replication of the register's value to a majority, and the lease that heartbeats renew.
#include "change_freeze/voter.h"

namespace mothrack::change_freeze {

using Kind = VoterMessage::Kind;

// The winner writes the latest value of its majority again, under its own term.
void Voter::StartLeadership(TimePoint now, std::vector<VoterMessage>& out) {
  role_ = NextRole(role_, RoleEvent::kElectionWon);
  replicas_.BeginTerm();
  lease_.Reset();
  establish_deadline_ = now + settings_.lease;
  record_.value_version = {record_.term, 1};
  record_.value = latest_.value;
  SendHeartbeats(now, out);
}

// Voters that do not have the value yet receive it with the heartbeat.
void Voter::SendHeartbeats(TimePoint now, std::vector<VoterMessage>& out) {
  lease_.OnHeartbeatsSent(now);
  PromiseLease(now);
  next_action_ = now + settings_.heartbeat_interval;
  for (const std::string& name : settings_.voters) {
    if (name == settings_.local_voter) continue;
    const bool behind = replicas_.IsBehind(name, record_.value_version.version);
    VoterMessage message = MakeMessage(name, behind ? Kind::kReplicate : Kind::kHeartbeat);
    message.request_sent = now.time_since_epoch().count();
    if (behind) message.value = record_.value;
    out.push_back(std::move(message));
  }
}

void Voter::UpdateCommitted(TimePoint now) {
  replicas_.UpdateCommitted(record_.value_version.version, Majority(), incarnations_);
  if (role_ != Role::kEstablishing || replicas_.committed() == 0 || now >= LeaseEnd()) return;
  role_ = NextRole(role_, RoleEvent::kValueCommitted);
  leader_ = settings_.local_voter;
}

// Handles a heartbeat or value of a term's leader. Returns false if the term is over.
bool Voter::OnLeaderMessage(const VoterMessage& message, TimePoint now) {
  if (message.term < record_.term) return false;
  if (message.term > record_.term) {
    record_.term = message.term;
    record_.voted_for = message.from;  // the sender has won this term, so no other voter can win it
  }
  if (role_ != Role::kFollower) BecomeFollower(now);
  PromiseLease(now);
  leader_ = message.from;
  const bool newer = message.value_version > record_.value_version;
  if (message.kind == Kind::kReplicate && newer && message.value.size() <= kMaxValueBytes) {
    record_.value_version = message.value_version;
    record_.value = message.value;
  }
  return true;
}

void Voter::OnReplicateResponse(const VoterMessage& response) {
  if (!LeadsTerm()) return;
  const bool of_this_term = response.value_version.term == record_.term;
  replicas_.OnAcknowledged(response.from, response.incarnation,
                           of_this_term ? response.value_version.version : 0);
  lease_.OnAcknowledged(response.from, TimePoint(Duration(response.request_sent)));
}

}  // namespace mothrack::change_freeze
