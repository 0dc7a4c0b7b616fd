// The seal around each datagram: a keyed BLAKE2b hash (RFC 7693), so that only holders of the cluster's key
// are accepted. It gives integrity and authenticity, not secrecy; docs/design/gossip_wire.md says why.
//
//   magic (2) | key's name (4) | stream (8) | count (8) | payload | tag (16)
//
// A stream is one process: a number drawn at its start. Its datagrams are numbered through, whoever they go
// to, so that a replayed one is recognised.
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

constexpr std::size_t kSealHead = 22;
constexpr std::size_t kSealTag = 16;
static_assert(kSealHead + kSealTag <= kMaxSealSize);
constexpr std::size_t kMaxPayloadSize = kMaxDatagramSize - kMaxSealSize;

// Which numbers of each stream were received: the latest, and a bit for each of the 64 up to it (the window
// of RFC 4303, section 3.4.3). What lies further back counts as received: at 40 datagrams a second it is 1.6
// s late, which no probe waits for, and updates are sent again.
class ReplayWindow {
 public:
  // As many streams as members; beyond, the one that was idle for longest is forgotten.
  explicit ReplayWindow(std::size_t max_streams = kMaxMembers) : max_streams_(max_streams) {}
  // False where it was received before, or may have been.
  bool Accept(std::uint64_t stream, std::uint64_t count);
  std::size_t streams() const { return streams_.size(); }

 private:
  struct Stream {
    std::uint64_t id = 0, latest = 0, received = 0;  // bit n of `received`: latest - n
  };
  std::size_t max_streams_;
  std::list<Stream> streams_;  // the one received last is first
  std::unordered_map<std::uint64_t, std::list<Stream>::iterator> by_id_;
};

enum class SealVerdict : std::uint8_t {
  kAccepted,
  kNoDatagram,  // too short, too long, or of something else that sends here
  kUnknownKey,  // sealed with a key that is not in the ring: rejected without hashing
  kForged,      // its tag is not what the key makes of it
  kReplayed,    // received before, too late to tell, or this process's own
};

struct SealCounts {
  std::uint64_t received = 0, no_datagram = 0, unknown_key = 0, forged = 0, replayed = 0;
};

// Seals and opens for one process, on one thread.
class Seal {
 public:
  explicit Seal(KeyRing ring);
  // Another ring from now on; count and window stay.
  void Use(KeyRing ring);

  // Nothing where the payload is longer than kMaxPayloadSize.
  std::optional<std::string> Close(std::string_view payload);

  struct Opened {
    SealVerdict verdict = SealVerdict::kNoDatagram;
    std::string_view payload;  // of kAccepted; within the datagram
  };
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
