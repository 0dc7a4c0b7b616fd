// The one order in which a voter may act: decide, write, keep, send. What the disk refuses has not happened.
#pragma once

#include <utility>
#include <vector>

#include "change_freeze/clock_tolerance.h"
#include "change_freeze/voter_message.h"
#include "change_freeze/voter_record.h"

namespace mothrack::change_freeze {

// Lets a copy of `decider` (a Voter, or a PermitService, which holds one) do `act(copy, messages)`, makes its
// record durable if that changed, and only then replaces `decider` by the copy. What is in `out` afterwards
// may be sent. False: the store refused; `decider` was told so (OnWriteFailed), and nothing was added to
// `out`. Blocks for as long as `store` does; call it on the thread that owns `decider`.
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
