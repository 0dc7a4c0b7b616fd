// The resolvers and the sockets to them. Decides which socket an attempt uses, when a socket is opened, and
// when an idle one is closed.
//
// Owned by Transport and used on the thread of the event loop only. Bounded by Settings and by the upstream
// side of Descriptors; if no socket can be had, a null pointer is returned.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "dispatch/membership.h"
#include "dns/attempt.h"
#include "dns/settings.h"
#include "dns/udp_poller.h"
#include "runtime/descriptors.h"
#include "runtime/secure_random.h"

namespace mothrack::dns {

// One resolver at one address. When the address changes, a new object replaces it under the same uid.
struct Resolver {
  dispatch::Location location;
  std::vector<std::shared_ptr<UdpPort>> ports;  // shared ports that accept attempts
  std::vector<std::shared_ptr<ResolverConnection>> connections;
};

class ResolverPool {
 public:
  // The references must outlive this object. The sockets that it opens notify `events`.
  ResolverPool(boost::asio::io_context& io, const Settings& settings, runtime::Descriptors& descriptors,
               runtime::SecureRandom& random, AttemptEvents& events, Counters& counters);
  ~ResolverPool();

  // Returns null if the resolver is unknown or accepts no attempts.
  std::shared_ptr<Resolver> FindServing(const std::string& uid) const;
  // Adds, changes or removes a resolver. If it no longer serves at its previous address, its sockets accept
  // no more attempts, and the function returns its TCP connections, because unwritten queries may still wait
  // there.
  std::vector<std::shared_ptr<ResolverConnection>> Apply(const std::string& uid,
                                                         const dispatch::Location& location);

  // Returns a UDP port for an attempt; `exclusive`: one that no other attempt shares. Returns null if the
  // kernel or the bounds allow none.
  std::shared_ptr<UdpPort> PickPort(Resolver& resolver, bool exclusive);
  // Returns a TCP connection for an attempt; null if the kernel or the bounds allow none.
  std::shared_ptr<ResolverConnection> PickConnection(Resolver& resolver);
  // Closes the resolver's TCP connections without open queries.
  void CloseIdleConnections(const std::string& uid);

 private:
  // An idle socket. At most one of the last two pointers is set.
  struct IdleSocket {
    Resolver* resolver = nullptr;
    std::shared_ptr<UdpPort> port;
    std::shared_ptr<ResolverConnection> connection;
  };

  bool HasDescriptor() const { return descriptors_.HasCapacity(runtime::Descriptors::Side::kUpstream); }
  // Closes the sockets that have been idle longest until a descriptor is free. Returns false if none is idle.
  bool FreeDescriptor();
  IdleSocket LongestIdle() const;
  void ScheduleSweep();
  void CloseIdle();

  boost::asio::io_context& io_;
  const Settings& settings_;
  runtime::Descriptors& descriptors_;
  runtime::SecureRandom& random_;
  AttemptEvents& events_;
  Counters& counters_;
  UdpPoller poller_;
  std::map<std::string, std::shared_ptr<Resolver>> resolvers_;  // by uid
  boost::asio::steady_timer sweep_timer_;
};

}  // namespace mothrack::dns
