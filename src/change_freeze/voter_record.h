// What a voter keeps on disk, and how a voter that starts finds out whether its file is the latest one.
//
// Plain values; any thread. Source: docs/design/change_freeze.md, "What a voter promises".
#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace mothrack::change_freeze {

// As in Raft: rises with each election; a term has at most one leader.
using Term = std::uint64_t;

// A voter's incarnation: rises each time its file was found to be stale and it joined again (voter.h,
// "Rejoining").
using Incarnation = std::uint64_t;

// The largest replicated value in bytes. It is written as a whole to each voter's disk at every change.
inline constexpr std::size_t kMaxValueBytes = std::size_t{64} * 1024;

// Orders the values that the register has held: by the term of the leader that wrote one, then by its number
// in that term. The counterpart of Raft's (term, index).
struct ValueVersion {
  Term term = 0;
  std::uint64_t version = 0;  // in `term`, from 1; 0: nothing was written
  // NOLINTNEXTLINE(modernize-use-nullptr): false finding in the comparison that the compiler writes.
  auto operator<=>(const ValueVersion&) const = default;
};

// What must be on disk before any message that follows from it is sent.
struct VoterRecord {
  std::uint64_t serial = 0;  // counts the writes of this record
  Incarnation incarnation = 0;
  Term term = 0;          // the highest known
  std::string voted_for;  // in `term`; empty: nobody yet
  ValueVersion value_version;
  std::string value;                                // at most kMaxValueBytes
  bool stale = false;                               // was found to be behind what this voter has sent
  std::map<std::string, Incarnation> incarnations;  // by voter: those that rejoined with this voter's grant
  bool operator==(const VoterRecord&) const = default;
};

// Which record is the later one of a voter. The position of the last record that may have been sent is kept
// in another place than the record itself, so that a file that was restored from a copy is noticed.
struct RecordPosition {
  Incarnation incarnation = 0;
  std::uint64_t serial = 0;
  // NOLINTNEXTLINE(modernize-use-nullptr): false finding in the comparison that the compiler writes.
  auto operator<=>(const RecordPosition&) const = default;
};
inline RecordPosition PositionOf(const VoterRecord& record) { return {record.incarnation, record.serial}; }

enum class RecordCondition : std::uint8_t {
  kCurrent,
  kStale,  // an old copy, or missing: the voter has to rejoin
};

// Judges what a voter finds at its start; std::nullopt for a file that is missing. `founding`: an operator
// has said that the fleet is founded now, which happens once; only then may both files be missing.
RecordCondition AssessRecord(const std::optional<VoterRecord>& record,
                             const std::optional<RecordPosition>& position, bool founding);

// Where a voter's record is kept; the caller of ApplyDurably (apply_durably.h) owns it, and it is called on
// that thread.
class RecordStore {
 public:
  virtual ~RecordStore() = default;
  // True: the record, and then its position in another place, are durable. False: the caller sends nothing,
  // though the record may be on disk all the same.
  virtual bool Save(const VoterRecord& record) = 0;
};

}  // namespace mothrack::change_freeze
