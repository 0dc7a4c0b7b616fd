// DNS's front: what makes a message a query that is passed on, who is answered at once and how, and the
// answer that each end of a query is told with. Sources: RFC 1035, 2136 (UPDATE), 6891 (EDNS), 8482/9210
// (TCP), 8914 (extended errors).
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "dispatch/dispatcher.h"
#include "dns/message.h"
#include "dns/query.h"
#include "dns/settings.h"
#include "runtime/descriptors.h"
#include "runtime/log.h"

namespace mothrack::dns {

class UdpServer;
class TcpServer;

class Frontend {
 public:
  // Hands the answer over; called once for each query that was taken, unless it is called off.
  using Respond = std::function<void(Buffer answer)>;
  // An open query; null where there is none (any more).
  using Handle = const std::string*;

  struct Client {
    std::string name;     // its address and port, or its connection
    std::string address;  // over UDP, for the bound on its open queries; empty over TCP
  };

  // Binds and takes queries at once; throws boost::system::system_error, after `failed` was set to the
  // address.
  Frontend(boost::asio::io_context& io, const Settings& settings, runtime::Descriptors& descriptors,
           runtime::Logger& log, dispatch::Dispatcher& dispatcher, Counters& counters);
  ~Frontend();

  // `respond` may be called before this returns. Null where nothing is open: answered, or left out.
  Handle HandleMessage(Bytes message, const Client& client, Respond respond);
  // Its client has left.
  void OnClientDisconnected(Handle handle);

  // A planned stop: takes what still comes for a while, then answers all it has taken, then calls `done`.
  void Drain(std::function<void()> done);

  std::vector<runtime::Endpoint> local() const;

 private:
  struct Open {
    balancer::RequestId id{};
    ClientQuery client_query;
    std::shared_ptr<const Query> query;
    Respond respond;
    std::string address;
  };

  void Ended(Handle handle, dispatch::Final final);
  void Close(Handle handle);
  Buffer ToAnswer(const Open& open, const dispatch::Final& final) const;
  void Remember(const std::string& name, const Buffer& answer);
  void ForgetOldUpdates();
  bool MayOpen(const Client& client, std::uint8_t opcode, std::string_view& why);
  void CheckDrained();

  boost::asio::io_context& io_;
  const Settings& settings_;
  dispatch::Dispatcher& dispatcher_;
  Counters& counters_;
  const Classifier classifier_;
  std::unordered_map<std::string, Open> open_;            // by client, id, opcode and question
  std::unordered_map<std::string, std::size_t> open_of_;  // queries, by address over UDP
  std::size_t open_updates_ = 0;
  // Answers of UPDATEs: whoever sends one again, since the answer was lost, must not make it run again.
  std::unordered_map<std::string, Buffer> updates_;
  std::deque<std::pair<runtime::TimePoint, std::string>> updates_by_age_;
  std::vector<std::unique_ptr<UdpServer>> udp_;
  std::vector<std::unique_ptr<TcpServer>> tcp_;
  std::function<void()> drained_;
  runtime::TimePoint drain_started_;
  boost::asio::steady_timer drain_check_;
};

}  // namespace mothrack::dns
