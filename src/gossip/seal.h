// The seal of each datagram: a keyed BLAKE2b hash (RFC 7693), so that only senders with the cluster's key are
// accepted. It provides integrity and authenticity, but not secrecy; docs/design/gossip_wire.md explains why.
//
//   magic (2) | key id (4) | stream (8) | count (8) | payload | tag (16)     (sizes in bytes)
//
// A stream is one process: a random number drawn at its start. All of its datagrams, whatever their
// recipient, are numbered consecutively, so that replays are detected.
#pragma once

#include <array>
#include <cstdint>
#include <list>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

#include "gossip/keys.h"
#include "gossip/message.h"

namespace mothrack::gossip {

constexpr std::size_t kSealHeaderSize = 22;  // bytes before the payload
constexpr std::size_t kSealTagSize = 16;     // bytes after the payload
static_assert(kSealHeaderSize + kSealTagSize <= kMaxSealSize);
constexpr std::size_t kMaxPayloadSize = kMaxDatagramSize - kMaxSealSize;

// Tracks which numbers of each stream were received: the highest one, and one bit for each of the 64 numbers
// up to it (the window of RFC 4303, section 3.4.3). An older datagram counts as received. At 40 datagrams a
// second, such a datagram is more than 1.6 s late: no probe waits that long, and updates are sent repeatedly.
class ReplayWindow {
 public:
  // Tracks at most `max_streams` streams, by default one per member. Beyond that, the stream that has been
  // idle for longest is evicted.
  explicit ReplayWindow(std::size_t max_streams = kMaxMembers) : max_streams_(max_streams) {}
  // Returns false if the datagram with this sequence number was, or may have been, received before.
  bool Accept(std::uint64_t stream, std::uint64_t sequence_number);
  std::size_t streams() const { return streams_.size(); }

 private:
  struct Stream {
    std::uint64_t id = 0, latest = 0;
    std::uint64_t received = 0;  // bit n: whether number `latest` - n was received
  };
  std::size_t max_streams_;
  std::list<Stream> streams_;  // most recently received first
  std::unordered_map<std::uint64_t, std::list<Stream>::iterator> by_id_;
};

// Result of opening a datagram.
enum class SealVerdict : std::uint8_t {
  kAccepted,
  kMalformed,   // too short, too long, or not of this protocol
  kUnknownKey,  // sealed with a key that is not in the ring: rejected without hashing
  kForged,      // the tag does not match the key
  kReplayed,    // received before, older than the replay window, or sent by this process itself
};

// Number of datagrams by verdict, since the Seal was created. `received`: accepted datagrams.
struct SealCounts {
  std::uint64_t received = 0, malformed = 0, unknown_key = 0, forged = 0, replayed = 0;
};

// Seals and opens datagrams for one process. Used on one thread.
class Seal {
 public:
  explicit Seal(KeyRing ring);
  // Replaces the key ring; the count and the replay window are kept. Throws std::invalid_argument unless the
  // ring has one or two keys.
  void ReplaceKeys(KeyRing ring);

  // Seals a payload. Returns nothing if it is longer than kMaxPayloadSize.
  std::optional<std::string> Close(std::string_view payload);

  struct Opened {
    SealVerdict verdict = SealVerdict::kMalformed;
    std::string_view payload;  // for kAccepted; points into the datagram
  };
  // Verifies a datagram and counts the verdict.
  Opened Open(std::string_view datagram);
  const SealCounts& counts() const { return counts_; }

 private:
  Opened Verify(std::string_view datagram);

  KeyRing ring_;
  std::uint64_t stream_ = 0, count_ = 0;
  ReplayWindow window_;
  SealCounts counts_;
};

}  // namespace mothrack::gossip
