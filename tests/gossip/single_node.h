// One core, driven by a test in simulated time, and helpers that create what it receives.
#pragma once

#include <algorithm>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "gossip/core.h"

namespace mothrack::gossip {

using Texts = std::vector<std::string>;

inline const Texts kStates = {"alive", "suspect", "dead", "left"};

// The time of a test's start plus `ms`.
inline TimePoint At(std::int64_t ms) { return TimePoint(Duration(1'000'000 + ms)); }
inline MembershipUpdate MakeMember(const std::string& name, std::uint64_t boot_number = 50,
                                   std::uint64_t incarnation = 5, MemberState state = MemberState::kAlive) {
  return {{name, boot_number}, incarnation, state, Role::kSidecar, name + ":7", "north"};
}
inline Message From(const std::string& name, MessageKind kind = MessageKind::kGossip) {
  Message message;
  message.kind = kind;
  message.sender = MakeMember(name);
  return message;
}
inline Value MakeValue(std::uint64_t boot_number, std::uint64_t version, int age, int ttl,
                       const std::string& bytes, const std::string& key = "k") {
  Value value;
  value.owner = {"m", boot_number};
  value.key = key;
  value.version = version;
  value.age = Duration(age);
  value.ttl = Duration(ttl);
  value.bytes = bytes;
  return value;
}
inline std::string Numbered(const std::string& prefix, std::size_t number) {
  return prefix + std::to_string(number);
}
inline MemberState StateOf(const std::string& name) {
  return static_cast<MemberState>(std::find(kStates.begin(), kStates.end(), name) - kStates.begin() + 1);
}

// One core, which receives its updates and values from a member "helper".
struct SingleNode {
  explicit SingleNode(ProtocolConfig config = {}) : core(MakeMember("self"), config, 1, At(0)) {
    Receive(From("helper"));
  }
  void Receive(const Message& message) { core.Receive(message, message.sender.address, At(now), out); }
  void ReceiveUpdate(const MembershipUpdate& update, MessageKind kind = MessageKind::kGossip) {
    Message message = From("helper", kind);
    message.updates = {update};
    Receive(message);
  }
  void ReceiveValue(const Value& value) {
    Message message = From("helper");
    message.values = {value};
    Receive(message);
  }
  // Advances the time, calls Tick() whenever it is due, and returns the datagrams sent meanwhile.
  std::vector<Datagram> Run(std::int64_t ms) {
    out.datagrams.clear();
    const std::int64_t until = now + ms;
    while (core.next() <= At(until)) {
      now = std::max(now, (core.next() - At(0)).count());
      core.Tick(At(now), out);
    }
    now = until;
    return std::exchange(out.datagrams, {});
  }
  // Whether the core sends the member's update, or its value of this key, within 300 ms.
  bool Disseminates(const std::string& name, const std::string& key = "") {
    bool disseminated = false;
    for (const Datagram& sent : Run(300)) {
      for (const auto& update : sent.message.updates)
        disseminated = disseminated || (key.empty() && update.boot_id.name == name);
      for (const auto& value : sent.message.values)
        disseminated = disseminated || (value.owner.name == name && value.key == key);
    }
    return disseminated;
  }
  Core core;
  CoreOutput out;
  std::int64_t now = 0;
};

// A configuration whose probes are so rare that no member is suspected during a test.
inline ProtocolConfig NoProbes() {
  ProtocolConfig config;
  config.probe_interval = Duration(60'000);
  return config;
}

}  // namespace mothrack::gossip
