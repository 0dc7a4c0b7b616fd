// bench_peers_wire: measures the size of gossip datagrams on the wire, and the time that it takes to process
// them: nanoseconds per call, the median of five runs.
#include <algorithm>
#include <array>
#include <chrono>
#include <cstdio>
#include <string>
#include <vector>

#include "gossip/seal.h"
#include "gossip/wire.h"

namespace {

using namespace mothrack::gossip;

MembershipUpdate Member(std::size_t number) {
  return {{"sidecar-" + std::to_string(100 + number), 1'700'000'000'000'000 + number},
          number % 3,
          MemberState::kAlive,
          Role::kSidecar,
          "10.20.3." + std::to_string(number % 256) + ":7946",
          "hall-a"};
}

template <typename Function>
double Nanoseconds(Function&& call) {
  constexpr int kCalls = 100'000;
  std::array<double, 5> runs;
  for (double& run : runs) {
    const auto start = std::chrono::steady_clock::now();
    for (int i = 0; i < kCalls; ++i) call();
    run = std::chrono::duration<double, std::nano>(std::chrono::steady_clock::now() - start).count() / kCalls;
  }
  std::sort(runs.begin(), runs.end());
  return runs[2];
}

std::size_t g_sink = 0;  // keeps the compiler from removing the measured calls

// Prints the table row of one message. `other_ring` has a key that the receiver does not know.
void Report(const char* name, const Message& message, const KeyRing& ring, const KeyRing& other_ring) {
  const std::string bytes = Encode(message);
  Seal sender(ring), other_sender(other_ring), receiver(ring);
  const std::string sealed = *sender.Close(bytes);
  const std::string unknown_key = *other_sender.Close(bytes);
  std::string forged = unknown_key;  // claims the receiver's key id but is sealed with another key
  std::copy(ring[0].id.begin(), ring[0].id.end(), forged.begin() + 2);
  std::printf("| %s | %zu | %zu | %.0f | %.0f | %.0f | %.0f | %.0f | %.0f |\n", name, bytes.size(),
              sealed.size(), Nanoseconds([&] { g_sink += Encode(message).size(); }),
              Nanoseconds([&] { g_sink += Decode(bytes)->updates.size(); }),
              Nanoseconds([&] { g_sink += sender.Close(bytes)->size(); }),
              Nanoseconds([&] { g_sink += receiver.Open(sealed).payload.size(); }),
              Nanoseconds([&] { g_sink += receiver.Open(unknown_key).payload.size(); }),
              Nanoseconds([&] { g_sink += receiver.Open(forged).payload.size(); }));
}

}  // namespace

int main() {
  std::array<std::uint8_t, kKeySize> bytes{1, 2, 3};
  const KeyRing ring{MakeKey(bytes.data())};
  bytes[0] = 9;
  const KeyRing other_ring{MakeKey(bytes.data())};

  Message ping;
  ping.kind = MessageKind::kPing;
  ping.sender = Member(1);
  ping.sequence = 123'456;
  ping.subject = Member(2);
  Message gossip;
  gossip.kind = MessageKind::kGossip;
  gossip.sender = Member(1);
  Message values = gossip, digest = gossip;
  digest.kind = MessageKind::kDigest;
  digest.range_from = Member(10).boot_id.name;
  digest.range_to = Member(40).boot_id.name;
  // Adds the parts 0, 1, ... that `make` returns until the datagram is full.
  const auto fill = [](const Message& message, auto& parts, const auto& make) {
    std::size_t capacity = kMaxPayloadSize - MaxEncodedSize(message);
    for (std::size_t i = 0;; ++i) {
      auto part = make(i);
      if (MaxEncodedSize(part) > capacity) return;
      capacity -= MaxEncodedSize(part);
      parts.push_back(std::move(part));
    }
  };
  fill(gossip, gossip.updates, Member);
  fill(values, values.values, [](std::size_t i) {
    return Value{Member(i).boot_id, "evidence",       4711 + i,
                 Duration(1234),    Duration(10'000), std::string(64, 'v')};
  });
  fill(digest, digest.digest, [](std::size_t i) {
    return DigestEntry{Member(i).boot_id, i % 3, MemberState::kAlive, 0x9e3779b97f4a7c15 * (i + 1)};
  });
  std::printf(
      "capacity of one datagram: %zu membership updates, %zu values of 64 bytes, or %zu digest entries\n",
      gossip.updates.size(), values.values.size(), digest.digest.size());
  std::printf(
      "| datagram | bytes | sealed bytes | encode | decode | seal | open, repeated | open, unknown key | "
      "open, forged |\n");
  Report("ping with a subject", ping, ring, other_ring);
  Report("gossip, full", gossip, ring, other_ring);
  Report("values, full", values, ring, other_ring);
  Report("digest, full", digest, ring, other_ring);

  // The full state of 300 members, as a joining member receives it.
  std::size_t datagrams = 0, size = 0;
  for (std::size_t i = 0; i < 300;) {
    Message part;
    part.kind = MessageKind::kRecords;
    part.sender = Member(1);
    for (std::size_t capacity = kMaxPayloadSize - MaxEncodedSize(part);
         i < 300 && MaxEncodedSize(Member(i)) <= capacity; ++i) {
      capacity -= MaxEncodedSize(Member(i));
      part.updates.push_back(Member(i));
    }
    ++datagrams;
    size += Encode(part).size() + kSealHeaderSize + kSealTagSize;
  }
  std::printf("full state of 300 members: %zu datagrams, %zu bytes\n", datagrams, size);
  return g_sink == 0;
}
