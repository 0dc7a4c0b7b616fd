// Anti-entropy as messages: digests out, records in answer to others' digests. Pure. What goes into them is
// AntiEntropy's concern, when they are sent is AntiEntropySchedule's.
//
// Source: push-pull state exchange of Lifeguard's memberlist, here in ranges of names so that its cost a
// second is bounded; docs/design/gossip.md.
#pragma once

#include <string>

#include "gossip/anti_entropy.h"
#include "gossip/anti_entropy_schedule.h"
#include "gossip/message_sender.h"
#include "gossip/protocol_context.h"
#include "gossip/update_merger.h"

namespace mothrack::gossip {

class AntiEntropyExchange {
 public:
  AntiEntropyExchange(ProtocolContext& context, MessageSender& sender, UpdateMerger& merger,
                      AntiEntropySchedule& schedule)
      : context_(context), sender_(sender), merger_(merger), schedule_(schedule) {}

  // To one random member.
  void SendDigestIfDue(TimePoint now, CoreOutput& out);
  void SendDigest(const std::string& address, TimePoint now, CoreOutput& out);
  // Answers with what is later here. A digest with an invalid entry is rejected.
  void OnDigest(const Message& digest, const std::string& from, TimePoint now, CoreOutput& out);
  // The updates and values of the message were merged before.
  void OnRecords(const Message& records, const std::string& from, TimePoint now, CoreOutput& out);

 private:
  // Where the digest's sender holds a member for dead: lets it refute, and heals both sides by one digest.
  void MergeDeath(const DigestEntry& entry, TimePoint now, CoreOutput& out);

  ProtocolContext& context_;
  MessageSender& sender_;
  UpdateMerger& merger_;
  AntiEntropySchedule& schedule_;
  AntiEntropy anti_entropy_;
};

}  // namespace mothrack::gossip
