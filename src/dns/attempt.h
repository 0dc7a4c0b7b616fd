// One attempt on its way to a resolver, and the open attempts of a socket by their message ids.
#pragma once

#include <cstdint>
#include <memory>
#include <unordered_map>

#include "dispatch/exchange.h"
#include "dns/query.h"
#include "runtime/clock.h"
#include "runtime/secure_random.h"

namespace mothrack::dns {

struct Resolver;
class UdpPort;
class ResolverConnection;

struct Attempt {
  dispatch::ExchangeId id{};
  std::shared_ptr<Resolver> resolver;
  std::shared_ptr<const Query> query;
  dispatch::ExchangeHooks hooks;
  runtime::TimePoint sent;
  runtime::TimePoint deadline;
  std::uint16_t wire_id = 0;
  // The socket that carries it; one of the two while it is open.
  std::shared_ptr<UdpPort> port;
  std::shared_ptr<ResolverConnection> connection;
  bool written = false;  // over TCP: up to its last byte
  // The response over UDP, where the attempt moved to TCP for it.
  std::unique_ptr<ResolverResponse> truncated;
};

// What sockets notify the owner of their attempts of. Each call may end attempts, and with that close the
// socket that calls.
class AttemptEvents {
 public:
  // A well-formed response that matches the attempt (RFC 5452 section 9.1: address and port by the socket,
  // id, question).
  virtual void OnResponse(Attempt& attempt, Bytes message, const Layout& layout) = 0;
  // The resolver's port is closed.
  virtual void OnUnreachable(UdpPort& port) = 0;
  // The connection was lost, or never came up.
  virtual void OnConnectionLost(ResolverConnection& connection) = 0;

 protected:
  ~AttemptEvents() = default;
};

class OpenAttempts {
 public:
  // Gives the attempt an id of its own that nobody can foresee. Fewer than half of all ids must be open.
  void Add(Attempt& attempt, runtime::SecureRandom& random) {
    do attempt.wire_id = random.Next16();
    while (!open_.try_emplace(attempt.wire_id, &attempt).second);
  }
  Attempt* Find(std::uint16_t id) const {
    const auto it = open_.find(id);
    return it == open_.end() ? nullptr : it->second;
  }
  void Remove(std::uint16_t id) { open_.erase(id); }
  std::size_t size() const { return open_.size(); }
  std::vector<Attempt*> All() const {
    std::vector<Attempt*> all;
    for (const auto& [id, attempt] : open_) all.push_back(attempt);
    return all;
  }

 private:
  std::unordered_map<std::uint16_t, Attempt*> open_;
};

// The open attempt to which `message` from the resolver is the response; null, and counted, where there is
// none. `layout` is filled in.
Attempt* MatchResponse(const OpenAttempts& open, Bytes message, Layout& layout, Counters& counters);

}  // namespace mothrack::dns
