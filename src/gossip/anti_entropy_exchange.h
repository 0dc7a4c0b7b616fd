// The messages of anti-entropy: sends digests, and records in answer to other members' digests. AntiEntropy
// decides what the messages contain, AntiEntropySchedule when they are sent. Pure: no I/O, clock or thread.
//
// Source: push-pull state exchange of Lifeguard's memberlist, here in ranges of names so that the cost per
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

  // Sends a digest to one random member if one is due.
  void SendDigestIfDue(TimePoint now, CoreOutput& out);
  void SendDigest(const std::string& address, TimePoint now, CoreOutput& out);
  // Answers with the updates and values that are later than the digest's. Rejects a digest with an invalid
  // entry.
  void OnDigest(const Message& digest, const std::string& from, TimePoint now, CoreOutput& out);
  // Handles records whose updates and values have been merged already.
  void OnRecords(const Message& records, const std::string& from, TimePoint now, CoreOutput& out);

 private:
  // Merges a death that an entry reports, or answers an entry about this member, so that the member can
  // refute it. One digest thus heals both sides of a partition.
  void MergeReportedDeath(const DigestEntry& entry, TimePoint now, CoreOutput& out);

  ProtocolContext& context_;
  MessageSender& sender_;
  UpdateMerger& merger_;
  AntiEntropySchedule& schedule_;
  AntiEntropy anti_entropy_;
};

}  // namespace mothrack::gossip
