// A network of cores in simulated time. Links lose, delay, duplicate and reorder datagrams and can be
// partitioned. Processes stop, die and start again, and their clocks differ. The bounds on the size and rate
// of datagrams are checked for every datagram sent.
#pragma once

#include <algorithm>
#include <deque>
#include <functional>
#include <memory>
#include <queue>
#include <string>
#include <unordered_map>
#include <vector>

#include "gossip/core.h"
#include "gossip/random.h"

namespace mothrack::testing {

using gossip::Core;
using gossip::Duration;
using gossip::Message;
using gossip::TimePoint;

inline std::size_t SizeOf(const Message& message) {
  std::size_t size = MaxEncodedSize(message) + gossip::kMaxSealSize;
  for (const auto& part : message.digest) size += MaxEncodedSize(part);
  for (const auto& part : message.updates) size += MaxEncodedSize(part);
  for (const auto& part : message.values) size += MaxEncodedSize(part);
  return size;
}

struct LinkConditions {
  int loss = 0, duplication = 0;  // percent
  int delay = 1, jitter = 0;  // ms: from `delay` to `delay` + `jitter`, so that datagrams overtake each other
};

class SimulatedNetwork {
 public:
  struct Node {
    std::string name, address;
    std::unique_ptr<Core> core;     // null if the process does not run
    bool stopped = false;           // the process is stopped; its socket buffers what arrives
    int group = 0;                  // datagrams between different groups are lost
    double clock_rate = 1;          // of its clock; 1 is correct
    std::int64_t tick_at = 0;       // when Tick() is called next
    std::deque<std::int64_t> sent;  // local times of datagrams sent within the last second
    std::deque<std::pair<std::shared_ptr<Message>, std::string>> receive_buffer;
    std::uint64_t datagrams = 0, bytes = 0;
    std::size_t max_per_second = 0;
  };
  using OnChange = std::function<void(std::size_t node, const gossip::Change&)>;

  explicit SimulatedNetwork(std::uint64_t seed, gossip::ProtocolConfig config = {})
      : config_(config), random(seed) {}

  std::size_t Add(std::size_t count = 1) {
    for (; count > 0; --count) {
      Node node;
      node.name = "m" + std::to_string(1000 + nodes.size());
      node.address =
          "10.0." + std::to_string(nodes.size() / 250) + "." + std::to_string(nodes.size() % 250) + ":7";
      by_address_[node.address] = nodes.size();
      nodes.push_back(std::move(node));
    }
    return nodes.size() - 1;
  }
  // Starts a process of node `i`.
  void Start(std::size_t i, std::uint64_t boot_number) {
    Node& node = nodes[i];
    gossip::MembershipUpdate local{
        {node.name, boot_number},      0, gossip::MemberState::kAlive, gossip::Role::kSidecar, node.address,
        i % 2 == 0 ? "north" : "south"};
    node.core = std::make_unique<Core>(local, config_, random.Next(), LocalNow(i));
    node.core->SetSeeds({nodes[0].address, nodes[nodes.size() / 2].address});
    node.stopped = false;
    node.receive_buffer.clear();
    node.sent.clear();
    node.tick_at = kNever;
    Schedule(i);
  }
  void StartAll() {
    for (std::size_t i = 0; i < nodes.size(); ++i) Start(i, 1'000'000 + now);
  }
  void Kill(std::size_t i) { nodes[i].core.reset(); }
  void Stop(std::size_t i) { nodes[i].stopped = true; }
  void Continue(std::size_t i) {
    Node& node = nodes[i];
    if (!node.core || !node.stopped) return;
    node.stopped = false;
    for (const auto& [message, from] : std::exchange(node.receive_buffer, {})) Receive(i, *message, from);
    node.tick_at = kNever;
    Schedule(i);
  }
  void Leave(std::size_t i) {
    gossip::CoreOutput out;
    nodes[i].core->Leave(LocalNow(i), out);
    Dispatch(i, out);
    Kill(i);
  }
  bool Put(std::size_t i, const std::string& key, const std::string& bytes, int ttl) {
    const bool put = nodes[i].core->Put(key, bytes, Duration(ttl), LocalNow(i));
    Schedule(i);
    return put;
  }

  void Run(std::int64_t ms) {
    const std::int64_t until = now + ms;
    while (!events_.empty() && events_.top().at <= until) {
      const Event event = events_.top();
      events_.pop();
      now = event.at;
      Node& node = nodes[event.node];
      if (event.message == nullptr) {
        if (!node.core || node.stopped || node.tick_at != event.at) continue;
        node.tick_at = kNever;
        gossip::CoreOutput out;
        node.core->Tick(LocalNow(event.node), out);
        ++ticks;
        Dispatch(event.node, out);
        Schedule(event.node);
        continue;
      }
      if (!node.core || nodes[event.from].group != node.group) continue;
      if (node.stopped) {
        // The buffer of a socket is bounded.
        if (node.receive_buffer.size() < 200)
          node.receive_buffer.emplace_back(event.message, nodes[event.from].address);
      } else {
        Receive(event.node, *event.message, nodes[event.from].address);
      }
    }
    now = until;
  }

  TimePoint LocalNow(std::size_t i) const {
    // Each node's clock has its own origin, since clocks of two machines are not comparable.
    return TimePoint(Duration(static_cast<std::int64_t>(static_cast<double>(now) * nodes[i].clock_rate) +
                              static_cast<std::int64_t>(i) * 1'000'000));
  }
  bool IsRunning(std::size_t i) const { return nodes[i].core && !nodes[i].stopped; }

  const gossip::ProtocolConfig config_;
  gossip::Random random;
  std::vector<Node> nodes;
  LinkConditions links;
  std::int64_t now = 0;
  std::uint64_t ticks = 0;
  OnChange on_change;
  // Injects a fault into a received message. Returns false to lose the message.
  std::function<bool(Message&, std::size_t to)> tamper;
  std::string violation;  // the first violation; empty if there is none

 private:
  static constexpr std::int64_t kNever = std::int64_t{1} << 60;
  struct Event {
    std::int64_t at;
    std::uint64_t sequence;
    std::size_t node, from;
    std::shared_ptr<Message> message;  // null for a tick
    bool operator<(const Event& other) const {
      return std::tie(at, sequence) > std::tie(other.at, other.sequence);
    }
  };

  void Receive(std::size_t i, const Message& message, const std::string& from) {
    gossip::CoreOutput out;
    if (tamper) {
      Message tampered = message;
      if (!tamper(tampered, i)) return;
      nodes[i].core->Receive(tampered, from, LocalNow(i), out);
    } else {
      nodes[i].core->Receive(message, from, LocalNow(i), out);
    }
    Dispatch(i, out);
    Schedule(i);
  }

  void Schedule(std::size_t i) {
    Node& node = nodes[i];
    if (!node.core || node.stopped || node.core->next() == TimePoint::max()) return;
    const auto local =
        node.core->next().time_since_epoch().count() - static_cast<std::int64_t>(i) * 1'000'000;
    const auto at =
        std::max(now, node.clock_rate == 1
                          ? local
                          : static_cast<std::int64_t>(static_cast<double>(local) / node.clock_rate) + 1);
    if (at >= node.tick_at) return;
    node.tick_at = at;
    events_.push({at, ++last_sequence_, i, i, nullptr});
  }

  void Dispatch(std::size_t i, gossip::CoreOutput& out) {
    for (const auto& change : out.changes) {
      if (on_change) on_change(i, change);
    }
    Node& node = nodes[i];
    for (auto& datagram : out.datagrams) {
      const std::size_t size = SizeOf(datagram.message);
      if (size > gossip::kMaxDatagramSize)
        RecordViolation(node.name + " sent " + std::to_string(size) + " bytes");
      ++node.datagrams;
      node.bytes += size;
      const auto local = LocalNow(i).time_since_epoch().count();
      while (!node.sent.empty() && node.sent.front() <= local - 1000) node.sent.pop_front();
      node.sent.push_back(local);
      node.max_per_second = std::max(node.max_per_second, node.sent.size());
      if (node.sent.size() > config_.datagrams_per_s)
        RecordViolation(node.name + " exceeded the datagrams allowed per second");
      const auto to = by_address_.find(datagram.address);
      if (to == by_address_.end()) continue;
      const auto message = std::make_shared<Message>(std::move(datagram.message));
      const int copies = Chance(links.duplication) ? 2 : 1;
      for (int copy = 0; copy < copies; ++copy) {
        if (Chance(links.loss)) continue;
        const auto delay =
            links.delay + static_cast<int>(random.Below(static_cast<std::size_t>(links.jitter) + 1));
        events_.push({now + delay, ++last_sequence_, to->second, i, message});
      }
    }
  }

  bool Chance(int percent) { return percent > 0 && static_cast<int>(random.Below(100)) < percent; }
  void RecordViolation(const std::string& what) {
    if (violation.empty()) violation = "at " + std::to_string(now) + ": " + what;
  }

  std::unordered_map<std::string, std::size_t> by_address_;
  std::priority_queue<Event> events_;
  std::uint64_t last_sequence_ = 0;
};

}  // namespace mothrack::testing
