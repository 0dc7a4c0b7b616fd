#include "gossip/anti_entropy_exchange.h"

#include <utility>

namespace mothrack::gossip {
namespace {

// Maximum size in bytes of the two ends of a range. An end is a name, or the smallest string that sorts after
// a given name, which is that name with one more byte.
constexpr std::size_t kRangeReserve = 2 * (kMaxNameSize + 1);

bool IsValid(const DigestEntry& entry) {
  return IsValid(entry.boot_id) && entry.incarnation <= kMaxCounter && entry.state >= MemberState::kAlive &&
         entry.state <= MemberState::kLeft;
}

}  // namespace

void AntiEntropyExchange::SendDigestIfDue(TimePoint now, CoreOutput& out) {
  if (!schedule_.StartIfDue(now)) return;
  const auto members = context_.membership.SampleLive(1, "", context_.random);
  if (members.empty()) return;
  SendDigest(context_.membership.Find(members.front())->update.address, now, out);
}

void AntiEntropyExchange::SendDigest(const std::string& address, TimePoint now, CoreOutput& out) {
  Message digest = sender_.Make(MessageKind::kDigest);
  const std::size_t capacity = MessageSender::CapacityOf(digest) - kRangeReserve;
  anti_entropy_.FillDigest(digest, capacity, now, context_.membership, context_.values);
  if (sender_.Send(address, std::move(digest), TrafficClass::kDissemination, now, out)) {
    ++context_.counts.digests;
  }
}

void AntiEntropyExchange::OnDigest(const Message& digest, const std::string& from, TimePoint now,
                                   CoreOutput& out) {
  for (const DigestEntry& entry : digest.digest) {
    if (!IsValid(entry)) {
      ++context_.counts.rejected;
      return;
    }
    MergeReportedDeath(entry, now, out);
  }
  Message records = sender_.Make(MessageKind::kRecords);
  // The range ends of the answer are those of the digest or names of members known here.
  const std::size_t capacity = MessageSender::CapacityOf(records) - kRangeReserve;
  context_.counts.records +=
      anti_entropy_.FillRecords(digest, records, capacity, now, context_.membership, context_.values);
  sender_.Send(from, std::move(records), TrafficClass::kDissemination, now, out);
}

void AntiEntropyExchange::MergeReportedDeath(const DigestEntry& entry, TimePoint now, CoreOutput& out) {
  const auto* member = context_.membership.Find(entry.boot_id.name);
  if (member == nullptr) return;
  MembershipUpdate update = member->update;
  const bool same_boot = entry.boot_id == update.boot_id;
  update.boot_id = entry.boot_id;
  update.incarnation = entry.incarnation;
  update.state = entry.state;
  if (context_.IsSelf(entry.boot_id)) {
    merger_.RespondToOwnUpdate(update, now, out);
  } else if (entry.state == MemberState::kDead && same_boot) {
    merger_.ApplyMember(update, UpdateOrigin::kAntiEntropy, now, out);
  }
}

void AntiEntropyExchange::OnRecords(const Message& records, const std::string& from, TimePoint now,
                                    CoreOutput& out) {
  if (!anti_entropy_.OnRecords(records)) return;
  if (schedule_.OnRecords(anti_entropy_.round_complete(), now)) SendDigest(from, now, out);
}

}  // namespace mothrack::gossip
