// One voter of the leader election, and of the replicated register with the leader's state: one value of at
// most kMaxValueBytes, replaced as a whole. The register is single-decree Paxos under a lease;
// docs/design/change_freeze.md explains why it is no log.
//
// Election. A term has one leader: each voter votes once per term and has its vote on disk before it sends
// it. A pre-vote first asks whether the candidate would win, so that a voter that was cut off does not end a
// leader's lease.
//
// Commit. A value that a majority has on disk is committed. Votes carry the voter's value, so the winner has
// read the latest value from a majority. It writes that value again under its own term, and acts only once
// that is committed.
//
// Lease. The leader acts while its lease holds (LeaderLease). A voter that receives a message of the leader
// promises to let nobody else win for the duration of the lease, lengthened by the clock tolerance. A
// starting voter makes the same promise, because it may have promised before its restart.
//
// Rejoining. A voter whose file is older than what it has sent takes no part. It rejoins as a later
// incarnation once enough other voters, a majority of all, have that incarnation on disk and have sent their
// values. What it sent in an earlier incarnation is no longer valid.
//
// "Raft" and a number refer to a section of D. Ongaro, "Consensus: Bridging Theory and Practice", 2014.
//
// Parts: voter_role.h (the state machine), leader_lease.h, replica_tracker.h, incarnation_table.h,
// voter_record.h (what is on disk), voter_message.h. voter.cpp has the common code; voter_election.cpp,
// voter_replication.cpp and voter_rejoin.cpp have one concern each.
//
// A value without clock, disk or socket; one thread at a time. Every call that may change it must go through
// ApplyDurably (apply_durably.h).
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "change_freeze/apply_durably.h"
#include "change_freeze/clock_tolerance.h"
#include "change_freeze/incarnation_table.h"
#include "change_freeze/leader_lease.h"
#include "change_freeze/replica_tracker.h"
#include "change_freeze/voter_message.h"
#include "change_freeze/voter_record.h"
#include "change_freeze/voter_role.h"

namespace mothrack::change_freeze {

// The same at all voters of a fleet, except for `local_voter`.
struct VoterSettings {
  std::string local_voter;
  std::set<std::string> voters;  // all voters, including this one; an odd number
  // A leader that sends nothing can be replaced after this time plus the clock tolerance.
  Duration lease{3000};
  Duration heartbeat_interval{500};  // six heartbeats per lease
  Duration request_timeout{800};     // for a request to all voters: a round trip of 200 ms with one loss
};

class Voter {
 public:
  using Role = VoterRole;

  // Tick() must be called at least this often, whatever else happens.
  static constexpr Duration kTickInterval{100};

  // `record`: what was on disk, or a new one. `condition`: the result of AssessRecord().
  Voter(VoterSettings settings, VoterRecord record, RecordCondition condition, TimePoint now);

  // Handles a message of another voter; ignores one that is not for this voter or not from a voter. Here and
  // below, messages to send are added to `out`.
  void Receive(const VoterMessage& message, TimePoint now, std::vector<VoterMessage>& out);
  void Tick(TimePoint now, std::vector<VoterMessage>& out);
  // Replaces the register's value. Returns its version, which is committed once committed() has reached it.
  // Returns 0 if this voter does not hold the lease or the value exceeds kMaxValueBytes.
  std::uint64_t Propose(const std::string& value, TimePoint now, std::vector<VoterMessage>& out);
  // A decision made on a copy of this voter could not be written to disk. A leader steps down: the failed
  // write may still be on its disk, and its version must never name another value.
  void OnWriteFailed(TimePoint now);

  const VoterRecord& record() const { return record_; }
  Role role() const { return role_; }
  Term term() const { return record_.term; }
  // Whether this voter may act as the leader at `now`.
  bool HoldsLease(TimePoint now) const { return role_ == Role::kLeader && now < LeaseEnd(); }
  // The highest committed version of the term that this voter leads or led last.
  std::uint64_t committed() const { return replicas_.committed(); }
  // The leader for which this voter's promise is in force; empty if no leader is known.
  std::string LeaderAt(TimePoint now) const;
  // The other voters from which nothing was received for the duration of a lease.
  std::set<std::string> UnreachableVoters(TimePoint now) const;

 private:
  struct VersionedValue {
    ValueVersion version;
    std::string value;
  };

  // Common code: voter.cpp. A change of the record in any of these functions is durable before the messages
  // in `out` are sent (ApplyDurably).
  std::size_t Majority() const { return settings_.voters.size() / 2 + 1; }
  TimePoint LeaseEnd() const { return lease_.End(Majority()); }
  void BecomeFollower(TimePoint now);
  void ClearRoleState(TimePoint now);
  void PromiseLease(TimePoint now);
  void ObservePeer(const VoterMessage& message, TimePoint now);
  bool IsBehind(const VoterMessage& message) const;
  void HandleRequest(const VoterMessage& request, TimePoint now, std::vector<VoterMessage>& out);
  void HandleResponse(const VoterMessage& response, TimePoint now);
  void OnActionDue(TimePoint now, std::vector<VoterMessage>& out);
  void AdvanceRole(TimePoint now, std::vector<VoterMessage>& out);
  VoterMessage MakeMessage(const std::string& receiver, VoterMessage::Kind kind) const;
  VoterMessage Respond(const VoterMessage& request, VoterMessage::Kind kind, bool granted) const;
  void Broadcast(VoterMessage::Kind kind, Term term, TimePoint now, std::vector<VoterMessage>& out) const;
  void AssignSerial(const VoterRecord& before, std::size_t first, std::vector<VoterMessage>& out);
  void KeepLatest(const VoterMessage& response);

  // Election: voter_election.cpp.
  Duration ElectionDelay();
  Term NextCampaignTerm() const;
  bool HasMajorityOfGrants() const;
  void StartPreVote(TimePoint now, std::vector<VoterMessage>& out);
  void StartElection(TimePoint now, std::vector<VoterMessage>& out);
  bool OnPreVoteRequest(const VoterMessage& request, TimePoint now) const;
  bool OnVoteRequest(const VoterMessage& request, TimePoint now);
  void OnPreVoteResponse(const VoterMessage& response);
  void OnVoteResponse(const VoterMessage& response);

  // Replication and the lease: voter_replication.cpp.
  bool LeadsTerm() const { return role_ == Role::kEstablishing || role_ == Role::kLeader; }
  void StartLeadership(TimePoint now, std::vector<VoterMessage>& out);
  void SendHeartbeats(TimePoint now, std::vector<VoterMessage>& out);
  void UpdateCommitted(TimePoint now);
  bool OnLeaderMessage(const VoterMessage& message, TimePoint now);
  void OnReplicateResponse(const VoterMessage& response);

  // Rejoining: voter_rejoin.cpp.
  void BeginRejoin(TimePoint now);
  void FinishRejoin(TimePoint now);
  bool OnRejoinRequest(const VoterMessage& request);
  void OnRejoinResponse(const VoterMessage& response, TimePoint now);

  VoterSettings settings_;
  VoterRecord record_;
  // The members below belong to this process only and are not stored on disk.
  Role role_ = Role::kFollower;
  TimePoint promised_until_;  // until then this voter grants no new vote and does not campaign
  TimePoint next_action_;     // time of the next OnActionDue()
  // The number of calls of ElectionDelay(), which derives the delay from it, so that the delay changes with
  // each call.
  std::uint64_t campaigns_ = 0;
  Term highest_seen_term_ = 0;  // in responses; the next campaign uses a higher one
  std::string leader_;
  std::map<std::string, TimePoint> last_contact_;
  std::map<std::string, RecordPosition> peer_positions_;  // as received from the other voters
  IncarnationTable incarnations_;
  // The voters that granted the current request (pre-vote, vote or rejoin), and their incarnations.
  std::map<std::string, Incarnation> granted_by_;
  VersionedValue latest_;               // the latest among the votes or the rejoin responses
  Term rejoin_term_ = 0;                // the highest among the rejoin responses
  Incarnation wanted_incarnation_ = 0;  // while rejoining
  LeaderLease lease_;
  ReplicaTracker replicas_;
  TimePoint establish_deadline_;  // when kEstablishing steps down
};

}  // namespace mothrack::change_freeze
