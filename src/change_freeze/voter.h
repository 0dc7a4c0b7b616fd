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

inline constexpr std::size_t kLargestValue = 64 * 1024;
// In percent. Crystals are within 0.01; a virtual machine that is slewed after a move, within 1.
inline constexpr int kClockRate = 10;
constexpr Duration Shortened(Duration time) { return time * (100 - kClockRate) / 100; }
constexpr Duration Lengthened(Duration time) { return time * (100 + kClockRate) / 100; }

struct Stamp {
  Term term = 0;
  std::uint64_t version = 0;
  auto operator<=>(const Stamp&) const = default;
};

// What must be on disk before anything that follows from it is told.
struct VoterRecord {
  std::uint64_t serial = 0;  // of this write
  std::uint64_t life = 0;    // rises when its file was found to be old
  Term term = 0;             // the highest known
  std::string voted;         // for whom in `term`
  Stamp stamp;
  std::string value;
  bool old = false;                            // found to be behind what was told: it takes no part
  std::map<std::string, std::uint64_t> lives;  // of the others, as they joined anew
  bool operator==(const VoterRecord&) const = default;
};

// Of the last record that may have been told, kept in another place than the record itself.
struct Seal {
  std::uint64_t life = 0;
  std::uint64_t serial = 0;
  auto operator<=>(const Seal&) const = default;
};
inline Seal SealOf(const VoterRecord& record) { return {record.life, record.serial}; }

struct VoterMessage {
  enum class Kind : std::uint8_t {
    kPre,      // would you vote for me in `term`?
    kPreTold,  // `granted`
    kAsk,      // vote for me in `term`
    kVote,     // `granted`, with what the voter holds
    kWrite,    // hold `value`; a beat as well
    kBeat,     // the coordinator of `term` lives
    kHeld,     // of both: `granted`, and the stamp that is held
    kJoin,     // my file was old: I want to come back as `life`
    kJoined,   // `granted`: that life is on disk here; with what is held
  };
  Kind kind = Kind::kBeat;
  std::string from{};
  std::string to{};
  Term term = 0;
  bool granted = false;
  Stamp stamp{};
  std::string value{};
  std::int64_t asked = 0;       // of the asker's clock; comes back with the answer
  std::uint64_t wanted = 0;     // of kJoin and kJoined: the life
  std::uint64_t life = 0;       // the sender's
  std::uint64_t serial = 0;     // likewise
  std::uint64_t your_life = 0;  // the receiver's, as the sender last heard of it
  std::uint64_t your_serial = 0;
  std::map<std::string, std::uint64_t> lives{};  // that the sender has on disk
};

struct VoterSettings {
  std::string self;
  std::set<std::string> voters;  // all of them, an odd number
  Duration lease{3000};
  Duration beat{500};      // six chances a lease
  Duration patience{800};  // of a question to all: a round trip at 200 ms with one loss
};

class Voter {
 public:
  enum class Role : std::uint8_t {
    kLost,  // its file is old
    kFollower,
    kAsking,  // whether it would win
    kCandidate,
    kTaking,  // it won; the latest is not yet held under its term
    kCoordinator,
  };
  enum class Trust : std::uint8_t { kSound, kOld };

  // `seal`: nothing where it is missing. A fleet is founded once, by an operator, with `founding`.
  static Trust TrustOf(const std::optional<VoterRecord>& record, const std::optional<Seal>& seal,
                       bool founding);

  Voter(VoterSettings settings, VoterRecord record, Trust trust, TimePoint now);

  void Heard(const VoterMessage& message, TimePoint now, std::vector<VoterMessage>& out);
  // Call it at least every kTurn.
  static constexpr Duration kTurn{100};
  void Turn(TimePoint now, std::vector<VoterMessage>& out);
  // Only of a coordinator whose lease holds: the version that is committed once committed() has come to it;
  // 0: no.
  std::uint64_t Write(const std::string& value, TimePoint now, std::vector<VoterMessage>& out);
  // The disk did not take what a copy decided. Whoever leads steps down: what it could not write may be on
  // its disk.
  void DiskRefused(TimePoint now);

  const VoterRecord& record() const { return record_; }
  Role role() const { return role_; }
  Term term() const { return record_.term; }
  // May it act as coordinator at this instant?
  bool Leads(TimePoint now) const { return role_ == Role::kCoordinator && now < LeaseEnd(); }
  std::uint64_t committed() const { return committed_; }
  // Who was coordinator a short while ago; empty: nobody.
  std::string CoordinatorOf(TimePoint now) const;
  // Other voters that have not been heard for a lease.
  std::set<std::string> Missing(TimePoint now) const;

 private:
  struct Held {
    std::uint64_t version = 0;
    std::uint64_t life = 0;
  };
  std::size_t Majority() const { return settings_.voters.size() / 2 + 1; }
  TimePoint LeaseEnd() const;
  Duration Stagger();
  void Quiet(TimePoint now);
  void Follow(TimePoint now);
  void Lose(TimePoint now);
  VoterMessage To(const std::string& name, VoterMessage::Kind kind) const;
  void ToAll(VoterMessage::Kind kind, Term term, TimePoint now, std::vector<VoterMessage>& out) const;
  std::size_t Counted(const std::map<std::string, std::uint64_t>& lives) const;
  void Progress(TimePoint now, std::vector<VoterMessage>& out);
  void Beat(TimePoint now, std::vector<VoterMessage>& out);
  void Commit();
  void Number(const VoterRecord& before, std::size_t first, std::vector<VoterMessage>& out);
  void Answer(const VoterMessage& message, TimePoint now, std::vector<VoterMessage>& out);
  void Tally(const VoterMessage& message, TimePoint now);
  void HeardOfCoordinator(const VoterMessage& message, TimePoint now, VoterMessage& answer);
  void Join(const VoterMessage& message, TimePoint now);

  VoterSettings settings_;
  VoterRecord record_;
  // Of this process's life only.
  Role role_ = Role::kFollower;
  TimePoint quiet_until_;  // nobody else may win before
  TimePoint next_;         // to campaign, to give up, to beat or to ask again: by the role
  std::uint64_t attempts_ = 0;
  Term seen_ = 0;  // in answers; the next campaign goes above it
  std::string coordinator_;
  std::map<std::string, TimePoint> heard_;
  std::map<std::string, Seal> told_;              // by the others, of themselves
  std::map<std::string, std::uint64_t> known_;    // lives, from whoever told
  std::map<std::string, std::uint64_t> granted_;  // who granted what is asked now, and in which life
  Stamp latest_;                                  // among the votes, or those who let it join
  std::string latest_value_;
  Term joined_term_ = 0;
  std::uint64_t wanted_ = 0;
  std::map<std::string, Held> held_;        // of this term
  std::map<std::string, TimePoint> asked_;  // by who answered: when that question left
  TimePoint beat_;                          // the last one
  TimePoint give_up_;                       // of kTaking
  std::uint64_t committed_ = 0;
};

// Where a voter's record is kept. True: the record, and then its seal in another place, are durable; false:
// nothing may be told, though the record may be there.
class VoterStore {
 public:
  virtual ~VoterStore() = default;
  virtual bool Save(const VoterRecord& record) = 0;
};

// `Deciding`: Voter, or what holds one. What is in `out` afterwards may be sent.
template <typename Deciding, typename Act>
bool Decide(Deciding& decider, VoterStore& store, TimePoint now, Act act, std::vector<VoterMessage>& out) {
  Deciding copy = decider;
  std::vector<VoterMessage> messages;
  act(copy, messages);
  if (copy.record().serial != decider.record().serial && !store.Save(copy.record())) {
    decider.DiskRefused(now);
    return false;
  }
  decider = std::move(copy);
  out.insert(out.end(), messages.begin(), messages.end());
  return true;
}

}  // namespace mothrack::change_freeze
