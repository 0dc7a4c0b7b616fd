// One attempt that is in flight to a resolver, and the table of open attempts of a socket by message id.
//
// Used on the thread of the event loop only.
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

// State of one attempt. Owned by Transport from Send() to the end of the attempt.
struct Attempt {
  dispatch::ExchangeId id{};
  std::shared_ptr<Resolver> resolver;
  std::shared_ptr<const Query> query;
  dispatch::ExchangeHooks hooks;
  runtime::TimePoint sent;
  runtime::TimePoint deadline;
  std::uint16_t wire_id = 0;
  // The socket that carries the attempt: exactly one of the two is set while the attempt is open.
  std::shared_ptr<UdpPort> port;
  std::shared_ptr<ResolverConnection> connection;
  bool written = false;  // over TCP: the last byte was written to the socket
  // The truncated UDP response because of which the attempt was repeated over TCP.
  std::unique_ptr<ResolverResponse> truncated;
};

// Notifications from a socket to the owner of its attempts. Each call may end attempts and so close the
// socket that makes the call.
class AttemptEvents {
 public:
  // A well-formed response that matches the attempt. RFC 5452 section 9.1 requires that address, port, id and
  // question match; the connected socket ensures address and port.
  virtual void OnResponse(Attempt& attempt, Bytes message, const Layout& layout) = 0;
  // The resolver's port is closed (an ICMP error arrived).
  virtual void OnUnreachable(UdpPort& port) = 0;
  // The connection was lost or could not be established.
  virtual void OnConnectionLost(ResolverConnection& connection) = 0;

 protected:
  ~AttemptEvents() = default;
};

// The open attempts of one socket by message id. Does not own them.
class OpenAttempts {
 public:
  // Assigns an unused, unpredictable id to the attempt and adds it. Fewer than half of all ids may be in use,
  // so that a random choice finds a free one soon.
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

// Returns the open attempt that `message` from the resolver answers, and fills in `layout`. If there is none,
// returns null and counts the message.
Attempt* MatchResponse(const OpenAttempts& open, Bytes message, Layout& layout, Counters& counters);

}  // namespace mothrack::dns
