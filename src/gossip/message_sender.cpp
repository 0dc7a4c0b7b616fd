#include "gossip/message_sender.h"

#include <cmath>
#include <utility>

namespace mothrack::gossip {
namespace {

// Tokens of the burst that are reserved for probes and acks.
constexpr std::int64_t kTokensReservedForProbes = 3;
// Minimum capacity in bytes at which the queue is searched for updates that fit.
constexpr std::size_t kMinPiggybackCapacity = 64;

}  // namespace

MessageSender::MessageSender(ProtocolContext& context, TimePoint now)
    : context_(context), rate_limiter_(context.config.datagrams_per_s, now) {}

Message MessageSender::Make(MessageKind kind) const {
  Message message;
  message.kind = kind;
  message.sender = context_.self;
  return message;
}

std::size_t MessageSender::CapacityOf(const Message& message) {
  std::size_t size = MaxEncodedSize(message) + kMaxSealSize;
  for (const MembershipUpdate& update : message.updates) size += MaxEncodedSize(update);
  return size >= kMaxDatagramSize ? 0 : kMaxDatagramSize - size;
}

std::size_t MessageSender::MaxSends() const {
  const auto live = static_cast<double>(context_.membership.live().size());
  return static_cast<std::size_t>(std::ceil(context_.config.retransmit_multiplier * std::log10(live + 2)));
}

bool MessageSender::Send(const std::string& address, Message&& message, TrafficClass traffic_class,
                         TimePoint now, CoreOutput& out) {
  const std::int64_t reserved = traffic_class == TrafficClass::kProbe ? 0 : kTokensReservedForProbes;
  if (!rate_limiter_.TryAcquire(reserved, now)) {
    ++context_.counts.rate_limited;
    return false;
  }
  ++context_.counts.sent;
  const bool is_full = message.kind == MessageKind::kDigest || message.kind == MessageKind::kRecords;
  if (!is_full) {
    const std::size_t capacity = CapacityOf(message);
    if (capacity >= kMinPiggybackCapacity) {
      context_.updates.Fill(message, capacity, MaxSends(), now, context_.membership, context_.values);
    }
  }
  out.datagrams.push_back({address, std::move(message)});
  return true;
}

}  // namespace mothrack::gossip
