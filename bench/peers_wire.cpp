// Measures the size of datagrams on the wire and their processing time: nanoseconds a call, the median of
// five runs.
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

template <typename F>
double Nanoseconds(F&& call) {
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

std::size_t g_sink = 0;

void Report(const char* name, const Message& message, const KeyRing& ring, const KeyRing& others) {
  const std::string bytes = Encode(message);
  Seal from(ring), stranger(others), to(ring);
  const std::string sealed = *from.Close(bytes);
  const std::string foreign = *stranger.Close(bytes);
  std::string posing = foreign;  // claims the receiver's key id but is sealed with another key
  std::copy(ring[0].id.begin(), ring[0].id.end(), posing.begin() + 2);
  std::printf("| %s | %zu | %zu | %.0f | %.0f | %.0f | %.0f | %.0f | %.0f |\n", name, bytes.size(),
              sealed.size(), Nanoseconds([&] { g_sink += Encode(message).size(); }),
              Nanoseconds([&] { g_sink += Decode(bytes)->updates.size(); }),
              Nanoseconds([&] { g_sink += from.Close(bytes)->size(); }),
              Nanoseconds([&] { g_sink += to.Open(sealed).payload.size(); }),
              Nanoseconds([&] { g_sink += to.Open(foreign).payload.size(); }),
              Nanoseconds([&] { g_sink += to.Open(posing).payload.size(); }));
}

}  // namespace

int main() {
  std::array<std::uint8_t, kKeySize> bytes{1, 2, 3};
  const KeyRing ring{MakeKey(bytes.data())};
  bytes[0] = 9;
  const KeyRing others{MakeKey(bytes.data())};

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
  std::printf("a full gossip: %zu news; values of 64 bytes: %zu; digest: %zu lines\n", gossip.updates.size(),
              values.values.size(), digest.digest.size());
  std::printf(
      "| datagram | bytes | sealed | write | read | seal | open, repeated | unknown key | forged |\n");
  Report("ping with a subject", ping, ring, others);
  Report("gossip, full", gossip, ring, others);
  Report("values, full", values, ring, others);
  Report("digest, full", digest, ring, others);

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
  std::printf("news of 300 members: %zu datagrams, %zu bytes\n", datagrams, size);
  return g_sink == 0;
}
