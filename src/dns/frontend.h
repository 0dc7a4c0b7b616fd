// The DNS front end: decides which messages are queries to forward, answers others itself, and gives each
// query its one response. Sources: RFC 1035, 2136 (UPDATE), 6891 (EDNS), 8482/9210 (TCP), 8914 (extended
// errors); the rules for operators: docs/operators/dns.md.
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

// Owns the servers that clients reach. Used by the thread of the event loop only.
class Frontend {
 public:
  // An open query; null where there is none (any more).
  using Handle = OpenQueries::Handle;

  struct Client {
    std::string name;     // its address and port, or its connection: where retransmissions come from
    std::string address;  // over UDP, for the bound on its open queries; empty over TCP
  };

  // Binds and accepts queries at once; throws boost::system::system_error, without the address. All
  // references must outlive it.
  Frontend(boost::asio::io_context& io, const Settings& settings, runtime::Descriptors& descriptors,
           runtime::Logger& log, dispatch::Dispatcher& dispatcher, Counters& counters);
  ~Frontend();

  // A message from a client. `respond` may be called before this returns. Null where no query is open then:
  // it was answered or dropped.
  Handle HandleMessage(Bytes message, const Client& client, Respond respond);
  // The response is not wanted any more.
  void OnClientDisconnected(Handle handle);

  // A planned stop: accepts for a short while what clients still send, answers all that was accepted, then
  // calls `done`.
  void Drain(std::function<void()> done);

  std::vector<runtime::Endpoint> local() const;

 private:
  // A bound on what is open at a time.
  enum class Limit { kOpenQueries, kOpenQueriesOfClient, kRecentUpdates };
  static std::string_view Describe(Limit limit);

  void Listen(boost::asio::io_context& io, const runtime::Endpoint& endpoint,
              runtime::Descriptors& descriptors, runtime::Logger& log);
  ClientQuery DescribeQuery(const Layout& layout, bool well_formed, bool tcp) const;
  bool AnswerRetransmission(const std::string& key, std::uint8_t opcode, const Respond& respond);
  std::optional<Limit> ReachedLimit(const Client& client, std::uint8_t opcode) const;
  Handle Forward(const std::string& key, OpenQuery query, const ClassSettings& class_settings,
                 balancer::ClassId class_id);
  void OnFinal(Handle handle, const dispatch::Final& final);
  Buffer ResponseFor(const OpenQuery& open, const dispatch::Final& final) const;
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
