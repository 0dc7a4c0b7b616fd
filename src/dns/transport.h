// Carries attempts to resolvers, over UDP and TCP, and tells what became of each. Ids and ports that nobody
// can foresee: RFC 5452; truncation: RFC 7766 section 5; what an answer's RCODE says of the attempt: README
// of this package's operators' page, docs/operators/dns.md.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "dispatch/exchange.h"
#include "dns/attempt.h"
#include "dns/settings.h"
#include "dns/udp_poller.h"
#include "runtime/deadlines.h"
#include "runtime/descriptors.h"

namespace mothrack::dns {

// One resolver at one place: when it moves, a new one takes its uid.
struct Resolver {
  dispatch::Location location;
  std::vector<std::shared_ptr<UdpPort>> ports;  // shared ones that take attempts
  std::vector<std::shared_ptr<ResolverConnection>> connections;
};

// Whether the resolver's answer ends the matter (kServed), says that it never began (kFull) or that it failed
// (kError).
balancer::Outcome OutcomeOf(Bytes message, const Layout& layout);

class Transport : public dispatch::Transport, private AttemptEvents {
 public:
  // `settings` and `counters` must outlive it.
  Transport(boost::asio::io_context& io, const Settings& settings, runtime::Descriptors& descriptors,
            Counters& counters);
  ~Transport() override;

  void Apply(const std::string& uid, const dispatch::Location& location) override;
  // `message` is a Query. Its truncated answer over UDP is followed over TCP within the same attempt, at the
  // same resolver and in what is left of its time, where it may be repeated.
  void Send(dispatch::ExchangeId id, const std::string& uid, std::shared_ptr<const dispatch::Message> message,
            runtime::Duration timeout, dispatch::ExchangeHooks hooks) override;
  void Probe(dispatch::ExchangeId id, const std::string& uid, OnEnd on_end) override;
  void Cancel(dispatch::ExchangeId id) override;
  void Abandon(dispatch::ExchangeId id) override;
  void CloseIdle(const std::string& uid) override;

 private:
  AttemptEvents& events() { return *this; }
  void OnResponse(Attempt& attempt, Bytes message, const Layout& layout) override;
  void OnUnreachable(UdpPort& port) override;
  void OnConnectionLost(ResolverConnection& connection) override;

  void SendOverUdp(Attempt& attempt);
  void SendOverTcp(Attempt& attempt);
  std::shared_ptr<UdpPort> PickPort(Resolver& resolver, bool exclusive);
  std::shared_ptr<ResolverConnection> PickLink(Resolver& resolver);
  bool MakeRoom();
  void Expired(dispatch::ExchangeId id);
  void End(Attempt& attempt, balancer::Outcome outcome, std::unique_ptr<dispatch::Reply> reply);
  // Its answer over TCP did not come about.
  void EndWithoutAnswer(Attempt& attempt, balancer::Outcome outcome);
  void Leave(Attempt& attempt);
  void ScheduleSweep();
  void Sweep();

  boost::asio::io_context& io_;
  const Settings& settings_;
  runtime::Descriptors& descriptors_;
  Counters& counters_;
  runtime::SecureRandom random_;
  UdpPoller poll_;
  std::map<std::string, std::shared_ptr<Resolver>> resolvers_;
  std::unordered_map<dispatch::ExchangeId, Attempt> attempts_;
  runtime::Deadlines deadlines_;
  boost::asio::steady_timer sweep_;
};

}  // namespace mothrack::dns
