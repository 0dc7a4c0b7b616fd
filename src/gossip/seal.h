// The seal around each datagram: whoever has none of the cluster's keys is not heard. It tells that a
// datagram comes whole from a member, and not that it is secret; docs/design/peers_wire.md says why.
//
//   magic (2) | key's name (4) | stream (8) | count (8) | payload | tag (16)
//
// A stream is one process: a number drawn at its start. Its datagrams are counted through, whoever they go
// to, so that one that comes again is known.
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
static_assert(kSealHead + kSealTag <= kSealSize);
constexpr std::size_t kMostPayload = kMostDatagram - kSealSize;

// Which counts of each stream were heard: the latest, and a bit for each of the 64 up to it. What lies
// further back is taken for heard: at 40 datagrams a second it is 1.6 s late, which no probe waits for, and
// news comes again.
class ReplayWindow {
 public:
  // As many streams as members; beyond, the one that was silent for longest is forgotten.
  explicit ReplayWindow(std::size_t most_streams = kMostMembers) : most_(most_streams) {}
  // False where it was heard before, or may have been.
  bool Take(std::uint64_t stream, std::uint64_t count);
  std::size_t streams() const { return streams_.size(); }

 private:
  struct Stream {
    std::uint64_t id = 0, latest = 0, heard = 0;  // bit n of `heard`: latest - n
  };
  std::size_t most_;
  std::list<Stream> streams_;  // the one heard last first
  std::unordered_map<std::uint64_t, std::list<Stream>::iterator> by_id_;
};

enum class Verdict : std::uint8_t {
  kHeard,
  kNoDatagram,  // too short, too long, or of something else that sends here
  kUnknownKey,  // sealed with a key that is not in the ring: found without reckoning
  kForged,      // its tag is not what the key makes of it
  kRepeated,    // heard before, too late to tell, or this process's own come back
};

struct SealCounts {
  std::uint64_t heard = 0, no_datagram = 0, unknown_key = 0, forged = 0, repeated = 0;
};

// Seals and opens for one process, on one thread.
class Seal {
 public:
  explicit Seal(KeyRing ring);
  // Another ring from now on; count and window stay.
  void Use(KeyRing ring);

  // Nothing where the payload is longer than kMostPayload.
  std::optional<std::string> Close(std::string_view payload);

  struct Opened {
    Verdict verdict = Verdict::kNoDatagram;
    std::string_view payload;  // of kHeard; within the datagram
  };
  Opened Open(std::string_view datagram);
  const SealCounts& counts() const { return counts_; }

 private:
  Opened Look(std::string_view datagram);

  KeyRing ring_;
  std::uint64_t stream_ = 0, count_ = 0;
  ReplayWindow window_;
  SealCounts counts_;
};

}  // namespace mothrack::gossip
