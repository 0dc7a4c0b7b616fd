// The data that a voter stores on disk, and the check by which a starting voter finds out whether its file is
// the latest one.
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

// As in Raft: incremented with each election. A term has at most one leader.
using Term = std::uint64_t;

// A voter's incarnation: incremented each time its file was found to be stale and it rejoined (voter.h,
// "Rejoining").
using Incarnation = std::uint64_t;

// Maximum size of the replicated value in bytes. Each change writes the whole value to each voter's disk.
inline constexpr std::size_t kMaxValueBytes = std::size_t{64} * 1024;

// Orders the values of the register: by the term of the leader that wrote them, then by their number in that
// term. Corresponds to Raft's (term, index).
struct ValueVersion {
  Term term = 0;
  std::uint64_t version = 0;  // in `term`, from 1; 0: nothing written
  // NOLINTNEXTLINE(modernize-use-nullptr): false positive in the compiler-generated comparison
  auto operator<=>(const ValueVersion&) const = default;
};

// The durable state of a voter. It must be on disk before any message that results from it is sent.
struct VoterRecord {
  std::uint64_t serial = 0;  // number of writes of this record
  Incarnation incarnation = 0;
  Term term = 0;          // the highest known
  std::string voted_for;  // in `term`; empty: no vote yet
  ValueVersion value_version;
  std::string value;                                // at most kMaxValueBytes
  bool stale = false;                               // found to be behind what this voter has sent
  std::map<std::string, Incarnation> incarnations;  // by voter: rejoined incarnations that this voter granted
  bool operator==(const VoterRecord&) const = default;
};

// Orders the records of one voter. The position of the last record that may have been sent is stored
// separately from the record, so that a file restored from a backup is detected.
struct RecordPosition {
  Incarnation incarnation = 0;
  std::uint64_t serial = 0;
  // NOLINTNEXTLINE(modernize-use-nullptr): false positive in the compiler-generated comparison
  auto operator<=>(const RecordPosition&) const = default;
};
inline RecordPosition PositionOf(const VoterRecord& record) { return {record.incarnation, record.serial}; }

// Result of AssessRecord().
enum class RecordCondition : std::uint8_t {
  kCurrent,
  kStale,  // an old copy, or missing: the voter must rejoin
};

// Assesses the files that a voter finds at its start; std::nullopt means a missing file. `founding`: an
// operator declared that the fleet is being founded, which happens once. Only then may both files be missing.
RecordCondition AssessRecord(const std::optional<VoterRecord>& record,
                             const std::optional<RecordPosition>& position, bool founding);

// The storage of a voter's record. Owned by the caller of ApplyDurably (apply_durably.h) and called on its
// thread.
class RecordStore {
 public:
  virtual ~RecordStore() = default;
  // Returns true once the record, and then its position in a separate place, are durable. On false the caller
  // must send nothing, although the record may be on disk all the same.
  virtual bool Save(const VoterRecord& record) = 0;
};

}  // namespace mothrack::change_freeze
