// Carries attempts to resolvers over UDP and TCP and reports the end of each. Ids and ports are unpredictable
// (RFC 5452); a truncated response leads to a repeat over TCP (RFC 7766 section 5).
#pragma once

#include <boost/asio/io_context.hpp>
#include <memory>
#include <string>
#include <unordered_map>

#include "dispatch/exchange.h"
#include "dns/attempt.h"
#include "dns/resolver_pool.h"
#include "dns/response_outcome.h"
#include "dns/settings.h"
#include "runtime/deadlines.h"
#include "runtime/descriptors.h"
#include "runtime/secure_random.h"

namespace mothrack::dns {

// Used on the thread of the event loop only. dispatch/exchange.h specifies the interface.
class Transport : public dispatch::Transport, private AttemptEvents {
 public:
  // The references must outlive this object.
  Transport(boost::asio::io_context& io, const Settings& settings, runtime::Descriptors& descriptors,
            Counters& counters);
  ~Transport() override;

  void Apply(const std::string& uid, const dispatch::Location& location) override;
  // `message` must be a Query. If it is repeatable, a truncated UDP response is followed by a query over TCP
  // within the same attempt: to the same resolver and within the remaining time.
  void Send(dispatch::ExchangeId id, const std::string& uid, std::shared_ptr<const dispatch::Message> message,
            const dispatch::AttemptTimeouts& timeouts, dispatch::ExchangeHooks hooks) override;
  void Probe(dispatch::ExchangeId id, const std::string& uid, OnEnd on_end) override;
  void Cancel(dispatch::ExchangeId id) override;
  void Abandon(dispatch::ExchangeId id) override;
  void CloseIdle(const std::string& uid) override;

 private:
  AttemptEvents& events() { return *this; }  // because the base class is private
  void OnResponse(Attempt& attempt, Bytes message, const Layout& layout) override;
  void OnUnreachable(UdpPort& port) override;
  void OnConnectionLost(ResolverConnection& connection) override;

  void SendOverUdp(Attempt& attempt);
  void SendOverTcp(Attempt& attempt);
  void OnTimeout(dispatch::ExchangeId id);
  void End(Attempt& attempt, balancer::Outcome outcome, std::unique_ptr<dispatch::Reply> reply);
  // Ends an attempt that got no response, or no response over TCP after a truncated one.
  void EndWithoutResponse(Attempt& attempt, balancer::Outcome outcome);
  // Removes the attempt from its socket.
  void Detach(Attempt& attempt);

  const Settings& settings_;
  Counters& counters_;
  runtime::SecureRandom random_;
  ResolverPool pool_;
  std::unordered_map<dispatch::ExchangeId, Attempt> attempts_;
  runtime::Deadlines deadlines_;
};

}  // namespace mothrack::dns
