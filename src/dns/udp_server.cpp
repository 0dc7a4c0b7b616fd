#include "dns/udp_server.h"

#include <array>
#include <string>

namespace mothrack::dns {
namespace {

using boost::asio::ip::udp;
using boost::system::error_code;

// Maximum number of datagrams read in a row, so that other handlers of the event loop can run.
constexpr int kMaxBatch = 64;
// Requested size of the receive buffer in bytes, for datagrams that arrive while the event loop is busy. The
// kernel may grant less.
constexpr int kReceiveBuffer = 1 << 20;
constexpr std::size_t kMaxUnsentResponses = 4096;

Frontend::Client ToClient(const udp::endpoint& peer) {
  Frontend::Client client;
  if (peer.address().is_v4()) {
    const auto bytes = peer.address().to_v4().to_bytes();
    client.address.assign(bytes.begin(), bytes.end());
  } else {
    const auto bytes = peer.address().to_v6().to_bytes();
    client.address.assign(bytes.begin(), bytes.end());
  }
  client.name = client.address;
  client.name.push_back(static_cast<char>(peer.port() >> 8));
  client.name.push_back(static_cast<char>(peer.port()));
  return client;
}

}  // namespace

UdpServer::UdpServer(boost::asio::io_context& io, const runtime::Endpoint& endpoint, Frontend& frontend,
                     Counters& counters, runtime::Logger& log)
    : socket_(io, udp::endpoint(endpoint.address(), endpoint.port())),
      frontend_(frontend),
      counters_(counters),
      log_(log) {
  error_code ignored;
  socket_.set_option(boost::asio::socket_base::receive_buffer_size(kReceiveBuffer), ignored);
  socket_.non_blocking(true);
  WaitReadable();
}

runtime::Endpoint UdpServer::local() const {
  const auto local = socket_.local_endpoint();
  return {local.address(), local.port()};
}

void UdpServer::WaitReadable() {
  socket_.async_wait(udp::socket::wait_read, [this](error_code error) {
    if (error || !receiving_) return;
    Receive();
    WaitReadable();
  });
}

void UdpServer::Receive() {
  static thread_local std::array<std::uint8_t, kMaxMessageSize> datagram;
  for (int i = 0; i < kMaxBatch; ++i) {
    Peer from;
    error_code error;
    const std::size_t size = socket_.receive_from(boost::asio::buffer(datagram), from, 0, error);
    if (error == boost::asio::error::would_block) return;
    if (error) continue;  // reading the error has cleared it
    frontend_.HandleMessage({datagram.data(), size}, ToClient(from),
                            [this, from](Buffer answer) { Send(from, std::move(answer)); });
  }
}

void UdpServer::StopReceiving() {
  if (!receiving_) return;
  for (std::size_t last = 1, now = 0; last != now;) {
    last = counters_.udp_queries;
    Receive();
    now = counters_.udp_queries;
  }
  receiving_ = false;
}

void UdpServer::Send(const Peer& to, Buffer answer) {
  if (unsent_.empty()) {
    error_code error;
    socket_.send_to(boost::asio::buffer(answer), to, 0, error);
    if (!error) return;
    if (error != boost::asio::error::would_block && error != boost::asio::error::no_buffer_space) {
      if (counters_.unsent_answers++ == 0) log_.Warn("dns_answer_unsent", {{"cause", error.message()}});
      return;
    }
    Flush();
  }
  if (unsent_.size() >= kMaxUnsentResponses) {
    if (counters_.unsent_answers++ == 0) log_.Warn("dns_answer_unsent", {{"cause", "the system takes none"}});
    return;
  }
  unsent_.emplace_back(to, std::move(answer));
}

void UdpServer::Flush() {
  socket_.async_wait(udp::socket::wait_write, [this](error_code error) {
    if (error) return;
    while (!unsent_.empty()) {
      auto& [to, answer] = unsent_.front();
      socket_.send_to(boost::asio::buffer(answer), to, 0, error);
      if (error == boost::asio::error::would_block || error == boost::asio::error::no_buffer_space) {
        return Flush();
      }
      if (error) ++counters_.unsent_answers;
      unsent_.pop_front();
    }
  });
}

}  // namespace mothrack::dns
