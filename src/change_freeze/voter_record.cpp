#include "change_freeze/voter_record.h"

namespace mothrack::change_freeze {

RecordCondition AssessRecord(const std::optional<VoterRecord>& record,
                             const std::optional<RecordPosition>& position, bool founding) {
  if (!record && !position) return founding ? RecordCondition::kCurrent : RecordCondition::kStale;
  // A record that is ahead of its position was written but not sent, which does no harm.
  const bool current = record && !record->stale && position && PositionOf(*record) >= *position;
  return current ? RecordCondition::kCurrent : RecordCondition::kStale;
}

}  // namespace mothrack::change_freeze
