// The resolvers and the sockets to them: which socket an attempt takes, when one is opened, and when an idle
// one is closed. Used by the thread of the event loop only.
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

// One resolver at one address: when the address changes, a new one takes its uid.
struct Resolver {
  dispatch::Location location;
  std::vector<std::shared_ptr<UdpPort>> ports;  // shared ones that accept attempts
  std::vector<std::shared_ptr<ResolverConnection>> connections;
};

class ResolverPool {
 public:
  // The references must outlive it; `events` is notified by the sockets that it opens.
  ResolverPool(boost::asio::io_context& io, const Settings& settings, runtime::Descriptors& descriptors,
               runtime::SecureRandom& random, AttemptEvents& events, Counters& counters);
  ~ResolverPool();

  // Null where the resolver is unknown or does not take attempts.
  std::shared_ptr<Resolver> FindServing(const std::string& uid) const;
  // Adds, changes or removes a resolver. Where it stops to serve at its former address, its sockets accept no
  // more attempts; returns the connections among them, since queries may still wait there.
  std::vector<std::shared_ptr<ResolverConnection>> Apply(const std::string& uid,
                                                         const dispatch::Location& location);

  // `exclusive`: a port for one attempt alone. Null where the system or the bounds allow none.
  std::shared_ptr<UdpPort> PickPort(Resolver& resolver, bool exclusive);
  std::shared_ptr<ResolverConnection> PickConnection(Resolver& resolver);
  void CloseIdleConnections(const std::string& uid);

 private:
  // An idle socket; one of the two pointers is set, or none.
  struct IdleSocket {
    Resolver* resolver = nullptr;
    std::shared_ptr<UdpPort> port;
    std::shared_ptr<ResolverConnection> connection;
  };

  bool HasDescriptor() const { return descriptors_.HasCapacity(runtime::Descriptors::Side::kUpstream); }
  // Closes sockets that have been idle longest until there is a descriptor; false where none is idle.
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
