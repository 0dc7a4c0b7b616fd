// The DNS front end. Decides which messages are queries to forward, answers the others itself, and sends
// exactly one response to each forwarded query.
//
// Sources: RFC 1035, 2136 (UPDATE), 6891 (EDNS), 8482/9210 (TCP), 8914 (extended errors). The rules for
// operators are in docs/operators/dns.md.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "dispatch/dispatcher.h"
#include "dns/message.h"
#include "dns/open_queries.h"
#include "dns/query.h"
#include "dns/settings.h"
#include "dns/update_cache.h"
#include "runtime/descriptors.h"
#include "runtime/log.h"

namespace mothrack::dns {

class UdpServer;
class TcpServer;

// Owns the UDP and TCP servers. Owned by Service and used on the thread of the event loop only. Bounds are in
// Settings; a query beyond a bound is answered with REFUSED.
class Frontend {
 public:
  // Identifies an open query; null if there is none.
  using Handle = OpenQueries::Handle;

  // The sender of a message.
  struct Client {
    std::string name;     // binary address and port, or the connection number: identifies retransmissions
    std::string address;  // over UDP: binary address, for the bound on open queries; empty over TCP
  };

  // Binds and accepts queries at once. Throws boost::system::system_error, which does not name the address.
  // All references must outlive this object.
  Frontend(boost::asio::io_context& io, const Settings& settings, runtime::Descriptors& descriptors,
           runtime::Logger& log, dispatch::Dispatcher& dispatcher, Counters& counters);
  ~Frontend();

  // Handles a message from a client. `respond` may be called before this returns. Returns null if no query is
  // open afterwards, because the message was answered or dropped.
  Handle HandleMessage(Bytes message, const Client& client, Respond respond);
  // The client no longer needs the response.
  void OnClientDisconnected(Handle handle);

  // Starts a planned stop: accepts queries that clients still send for a short while, answers all accepted
  // ones, then calls `done`. Later calls have no effect.
  void Drain(std::function<void()> done);

  // The addresses of the UDP servers, with the ports that the kernel chose for port 0. TCP uses the same.
  std::vector<runtime::Endpoint> local() const;

 private:
  // A bound on what may be open at a time.
  enum class Limit { kOpenQueries, kOpenQueriesOfClient, kRecentUpdates };
  static std::string_view Describe(Limit limit);

  void Listen(boost::asio::io_context& io, const runtime::Endpoint& endpoint,
              runtime::Descriptors& descriptors, runtime::Logger& log);
  ClientQuery DescribeQuery(const Layout& layout, bool well_formed, bool tcp) const;
  bool AnswerRetransmission(const std::string& key, std::uint8_t opcode, const Respond& respond);
  std::optional<Limit> ReachedLimit(const Client& client, std::uint8_t opcode) const;
  Handle Forward(const std::string& key, OpenQuery query, const ClassSettings& class_settings,
                 balancer::ClassId class_id);
  void OnFinal(Handle handle, const dispatch::FinalAnswer& final);
  Buffer ResponseFor(const OpenQuery& open, const dispatch::FinalAnswer& final) const;
  void CheckDrained();

  const Settings& settings_;
  dispatch::Dispatcher& dispatcher_;
  Counters& counters_;
  const Classifier classifier_;
  OpenQueries open_;
  UpdateCache recent_updates_;
  std::vector<std::unique_ptr<UdpServer>> udp_;
  std::vector<std::unique_ptr<TcpServer>> tcp_;
  std::function<void()> drained_;
  runtime::TimePoint drain_started_;
  boost::asio::steady_timer drain_check_;
};

}  // namespace mothrack::dns
