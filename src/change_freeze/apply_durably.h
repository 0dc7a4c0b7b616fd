// The only order in which a voter may act: decide on a copy, write the copy's record, adopt the copy, send
// its messages. A decision that could not be written has no effect.
#pragma once

#include <utility>
#include <vector>

#include "change_freeze/clock_tolerance.h"
#include "change_freeze/voter_message.h"
#include "change_freeze/voter_record.h"

namespace mothrack::change_freeze {

// Calls `act(copy, messages)` on a copy of `decider` (a Voter, or a PermitService, which contains one). If
// this changed the record, makes the record durable, and only then replaces `decider` by the copy. Afterwards
// the messages in `out` may be sent. Returns false if the store failed; `decider` was notified by
// OnWriteFailed(), and nothing was added to `out`. Blocks as long as `store` does; call it on the thread that
// owns `decider`.
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
