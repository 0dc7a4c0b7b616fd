#include "gossip/seal.h"

#include <sodium.h>

#include <algorithm>
#include <stdexcept>
#include <utility>

namespace mothrack::gossip {
namespace {

constexpr std::string_view kMagic =
    "\xb7m";  // no UTF-8 text begins with these bytes, so stray traffic is rejected early
constexpr std::size_t kKeyIdOffset = 2, kStreamOffset = 6, kCountOffset = 14;
constexpr std::uint64_t kWindowSize = 64;

using Tag = std::array<std::uint8_t, kSealTagSize>;

const std::uint8_t* Bytes(std::string_view text) {
  return reinterpret_cast<const std::uint8_t*>(text.data());
}

void AppendNumber(std::string& to, std::uint64_t number) {
  for (int shift = 56; shift >= 0; shift -= 8) to.push_back(static_cast<char>(number >> shift));
}

std::uint64_t NumberAt(std::string_view from, std::size_t at) {
  std::uint64_t number = 0;
  for (std::size_t i = at; i < at + 8; ++i) number = number << 8 | static_cast<std::uint8_t>(from[i]);
  return number;
}

// The tag covers header and payload. It is last, so that one pass over contiguous bytes computes it.
Tag TagOf(const Key& key, std::string_view covered) {
  Tag tag;
  crypto_generichash(tag.data(), tag.size(), Bytes(covered), covered.size(), key.seal->data(), kKeySize);
  return tag;
}

}  // namespace

bool ReplayWindow::Accept(std::uint64_t stream, std::uint64_t sequence_number) {
  const auto found = by_id_.find(stream);
  if (found == by_id_.end()) {
    if (streams_.size() >= max_streams_) {
      by_id_.erase(streams_.back().id);
      streams_.pop_back();
    }
    streams_.push_front({stream, sequence_number, 1});
    by_id_[stream] = streams_.begin();
    return true;
  }
  Stream& known = *found->second;
  if (sequence_number > known.latest) {
    const std::uint64_t ahead = sequence_number - known.latest;
    known.received = (ahead < kWindowSize ? known.received << ahead : 0) | 1;
    known.latest = sequence_number;
  } else {
    const std::uint64_t behind = known.latest - sequence_number;
    if (behind >= kWindowSize) return false;
    const std::uint64_t bit = std::uint64_t{1} << behind;
    if ((known.received & bit) != 0) return false;
    known.received |= bit;
  }
  streams_.splice(streams_.begin(), streams_, found->second);
  return true;
}

Seal::Seal(KeyRing ring) {
  ReplaceKeys(std::move(ring));
  randombytes_buf(&stream_, sizeof stream_);
}

void Seal::ReplaceKeys(KeyRing ring) {
  if (ring.empty() || ring.size() > kMaxRingKeys)
    throw std::invalid_argument("a key ring must have one or two keys");
  ring_ = std::move(ring);
}

std::optional<std::string> Seal::Close(std::string_view payload) {
  if (payload.size() > kMaxPayloadSize) return std::nullopt;
  std::string datagram;
  datagram.reserve(kSealHeaderSize + payload.size() + kSealTagSize);
  datagram += kMagic;
  datagram.append(ring_.front().id.begin(), ring_.front().id.end());
  AppendNumber(datagram, stream_);
  AppendNumber(datagram, ++count_);
  datagram += payload;
  const Tag tag = TagOf(ring_.front(), datagram);
  datagram.append(tag.begin(), tag.end());
  return datagram;
}

Seal::Opened Seal::Verify(std::string_view datagram) {
  if (datagram.size() < kSealHeaderSize + kSealTagSize || datagram.size() > kMaxDatagramSize ||
      !datagram.starts_with(kMagic)) {
    return {SealVerdict::kMalformed, {}};
  }
  const auto key = std::find_if(ring_.begin(), ring_.end(), [&](const Key& candidate) {
    return std::equal(candidate.id.begin(), candidate.id.end(), Bytes(datagram) + kKeyIdOffset);
  });
  if (key == ring_.end()) return {SealVerdict::kUnknownKey, {}};
  const std::string_view covered = datagram.substr(0, datagram.size() - kSealTagSize);
  // Constant-time comparison: the time must not reveal how much of a guess was right.
  if (sodium_memcmp(TagOf(*key, covered).data(), datagram.data() + covered.size(), kSealTagSize) != 0) {
    return {SealVerdict::kForged, {}};
  }
  // Only after the check, because a forged datagram must not move the replay window.
  const std::uint64_t stream = NumberAt(datagram, kStreamOffset);
  if (stream == stream_ || !window_.Accept(stream, NumberAt(datagram, kCountOffset)))
    return {SealVerdict::kReplayed, {}};
  return {SealVerdict::kAccepted, covered.substr(kSealHeaderSize)};
}

Seal::Opened Seal::Open(std::string_view datagram) {
  const Opened opened = Verify(datagram);
  switch (opened.verdict) {
    case SealVerdict::kAccepted:
      ++counts_.received;
      break;
    case SealVerdict::kMalformed:
      ++counts_.malformed;
      break;
    case SealVerdict::kUnknownKey:
      ++counts_.unknown_key;
      break;
    case SealVerdict::kForged:
      ++counts_.forged;
      break;
    case SealVerdict::kReplayed:
      ++counts_.replayed;
      break;
  }
  return opened;
}

}  // namespace mothrack::gossip
