// One voter of the election of the coordinator, and of the register that keeps its state: a value of at most
// 64 KiB, replaced as a whole. docs/design/freeze.md says why it is no log.
//
//   * A term has one coordinator: each voter votes once a term, on disk before it is told.
//   * What a majority holds on disk is committed. Votes bring what the voter holds, so whoever wins has read
//   the latest from a majority; it writes that anew under its own term, and acts only once a majority holds
//   it.
//   * The coordinator's lease counts from when it *asked* a majority, shortened; a voter that heard lets
//   nobody else win for as long, lengthened. With every steady clock within kClockRate of true time the lease
//   has ended at its holder before another can win. A voter that starts lets nobody win for the whole of that
//   time: it may have promised.
//   * A voter whose file is older than what it has told takes no part. It joins as another life, once as many
//   others as are a majority of all have that life on disk and told what they hold; what it told in a former
//   life counts no more. Whose file is old is told by the seal, the number of the last write, kept in another
//   place; and by any peer that has heard of a later write.
//
// A value: let a copy decide, make its record durable, keep the copy, and only then send (Decide).
#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "rollout/types.h"

namespace mothrack::change_freeze {

using rollout::Duration;
using rollout::TimePoint;
using Term = std::uint64_t;

inline constexpr std::size_t kMaxValueBytes = 64 * 1024;
// In percent. Crystals are within 0.01; a virtual machine that is slewed after a move, within 1.
inline constexpr int kMaxClockErrorPercent = 10;
constexpr Duration Shortened(Duration time) { return time * (100 - kMaxClockErrorPercent) / 100; }
constexpr Duration Lengthened(Duration time) { return time * (100 + kMaxClockErrorPercent) / 100; }

struct ValueVersion {
  Term term = 0;
  std::uint64_t version = 0;
  auto operator<=>(const ValueVersion&) const = default;
};

// What must be on disk before anything that follows from it is told.
struct VoterRecord {
  std::uint64_t serial = 0;       // of this write
  std::uint64_t incarnation = 0;  // rises when its file was found to be old
  Term term = 0;                  // the highest known
  std::string voted_for;          // for whom in `term`
  ValueVersion value_version;
  std::string value;
  bool stale = false;                                 // found to be behind what was told: it takes no part
  std::map<std::string, std::uint64_t> incarnations;  // of the others, as they joined anew
  bool operator==(const VoterRecord&) const = default;
};

// Of the last record that may have been told, kept in another place than the record itself.
struct RecordPosition {
  std::uint64_t incarnation = 0;
  std::uint64_t serial = 0;
  auto operator<=>(const RecordPosition&) const = default;
};
inline RecordPosition PositionOf(const VoterRecord& record) { return {record.incarnation, record.serial}; }

struct VoterMessage {
  enum class Kind : std::uint8_t {
    kPreVoteRequest,     // would you vote for me in `term`?
    kPreVoteResponse,    // `granted`
    kVoteRequest,        // vote for me in `term`
    kVoteResponse,       // `granted`, with what the voter holds
    kReplicate,          // hold `value`; a beat as well
    kHeartbeat,          // the coordinator of `term` lives
    kReplicateResponse,  // of both: `granted`, and the stamp that is held
    kRejoinRequest,      // my file was old: I want to come back as `life`
    kRejoinResponse,     // `granted`: that life is on disk here; with what is held
  };
  Kind kind = Kind::kHeartbeat;
  std::string from{};
  std::string to{};
  Term term = 0;
  bool granted = false;
  ValueVersion value_version{};
  std::string value{};
  std::int64_t request_sent = 0;           // of the asker's clock; comes back with the answer
  std::uint64_t wanted_incarnation = 0;    // of kJoin and kJoined: the life
  std::uint64_t incarnation = 0;           // the sender's
  std::uint64_t serial = 0;                // likewise
  std::uint64_t receiver_incarnation = 0;  // the receiver's, as the sender last heard of it
  std::uint64_t receiver_serial = 0;
  std::map<std::string, std::uint64_t> incarnations{};  // that the sender has on disk
};

struct VoterSettings {
  std::string local_voter;
  std::set<std::string> voters;  // all of them, an odd number
  Duration lease{3000};
  Duration heartbeat_interval{500};  // six chances a lease
  Duration request_timeout{800};     // of a question to all: a round trip at 200 ms with one loss
};

class Voter {
 public:
  enum class Role : std::uint8_t {
    kRejoining,  // its file is old
    kFollower,
    kPreCandidate,  // whether it would win
    kCandidate,
    kEstablishing,  // it won; the latest is not yet held under its term
    kLeader,
  };
  enum class RecordCondition : std::uint8_t { kCurrent, kStale };

  // `seal`: nothing where it is missing. A fleet is founded once, by an operator, with `founding`.
  static RecordCondition AssessRecord(const std::optional<VoterRecord>& record,
                                      const std::optional<RecordPosition>& position, bool founding);

  Voter(VoterSettings settings, VoterRecord record, RecordCondition condition, TimePoint now);

  void Receive(const VoterMessage& message, TimePoint now, std::vector<VoterMessage>& out);
  // Call it at least every kTurn.
  static constexpr Duration kTickInterval{100};
  void Tick(TimePoint now, std::vector<VoterMessage>& out);
  // Only of a coordinator whose lease holds: the version that is committed once committed() has come to it;
  // 0: no.
  std::uint64_t Propose(const std::string& value, TimePoint now, std::vector<VoterMessage>& out);
  // The disk did not take what a copy decided. Whoever leads steps down: what it could not write may be on
  // its disk.
  void OnWriteFailed(TimePoint now);

  const VoterRecord& record() const { return record_; }
  Role role() const { return role_; }
  Term term() const { return record_.term; }
  // May it act as coordinator at this instant?
  bool HoldsLease(TimePoint now) const { return role_ == Role::kLeader && now < LeaseEnd(); }
  std::uint64_t committed() const { return committed_; }
  // Who was coordinator a short while ago; empty: nobody.
  std::string LeaderAt(TimePoint now) const;
  // Other voters that have not been heard for a lease.
  std::set<std::string> UnreachableVoters(TimePoint now) const;

 private:
  struct ReplicaProgress {
    std::uint64_t version = 0;
    std::uint64_t incarnation = 0;
  };
  std::size_t Majority() const { return settings_.voters.size() / 2 + 1; }
  TimePoint LeaseEnd() const;
  Duration ElectionDelay();
  void PromiseLease(TimePoint now);
  void BecomeFollower(TimePoint now);
  void BeginRejoin(TimePoint now);
  VoterMessage MakeMessage(const std::string& name, VoterMessage::Kind kind) const;
  void Broadcast(VoterMessage::Kind kind, Term term, TimePoint now, std::vector<VoterMessage>& out) const;
  std::size_t CountCurrent(const std::map<std::string, std::uint64_t>& incarnations) const;
  void AdvanceRole(TimePoint now, std::vector<VoterMessage>& out);
  void SendHeartbeats(TimePoint now, std::vector<VoterMessage>& out);
  void UpdateCommitted();
  void AssignSerial(const VoterRecord& before, std::size_t first, std::vector<VoterMessage>& out);
  void HandleRequest(const VoterMessage& message, TimePoint now, std::vector<VoterMessage>& out);
  void HandleResponse(const VoterMessage& message, TimePoint now);
  void OnLeaderMessage(const VoterMessage& message, TimePoint now, VoterMessage& answer);
  void OnRejoinResponse(const VoterMessage& message, TimePoint now);

  VoterSettings settings_;
  VoterRecord record_;
  // Of this process's life only.
  Role role_ = Role::kFollower;
  TimePoint promised_until_;  // nobody else may win before
  TimePoint next_action_;     // to campaign, to give up, to beat or to ask again: by the role
  std::uint64_t campaigns_ = 0;
  Term highest_seen_term_ = 0;  // in answers; the next campaign goes above it
  std::string leader_;
  std::map<std::string, TimePoint> last_contact_;
  std::map<std::string, RecordPosition> peer_positions_;      // by the others, of themselves
  std::map<std::string, std::uint64_t> latest_incarnations_;  // lives, from whoever told
  std::map<std::string, std::uint64_t> granted_by_;  // who granted what is asked now, and in which life
  ValueVersion latest_version_;                      // among the votes, or those who let it join
  std::string latest_value_;
  Term rejoin_term_ = 0;
  std::uint64_t wanted_incarnation_ = 0;
  std::map<std::string, ReplicaProgress> replicas_;  // of this term
  std::map<std::string, TimePoint> acked_requests_;  // by who answered: when that question left
  TimePoint last_heartbeat_;                         // the last one
  TimePoint establish_deadline_;                     // of kTaking
  std::uint64_t committed_ = 0;
};

// Where a voter's record is kept. True: the record, and then its seal in another place, are durable; false:
// nothing may be told, though the record may be there.
class RecordStore {
 public:
  virtual ~RecordStore() = default;
  virtual bool Save(const VoterRecord& record) = 0;
};

// `Deciding`: Voter, or what holds one. What is in `out` afterwards may be sent.
template <typename Decider, typename Act>
bool ApplyDurably(Decider& decider, RecordStore& store, TimePoint now, Act act,
                  std::vector<VoterMessage>& out) {
  Decider copy = decider;
  std::vector<VoterMessage> messages;
  act(copy, messages);
  if (copy.record().serial != decider.record().serial && !store.Save(copy.record())) {
    decider.OnWriteFailed(now);
    return false;
  }
  decider = std::move(copy);
  out.insert(out.end(), messages.begin(), messages.end());
  return true;
}

}  // namespace mothrack::change_freeze
