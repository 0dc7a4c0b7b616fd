// The transport alone between a dispatcher that is a script and upstreams that are: what it writes, and what it tells
// of an exchange, where two events cross.
#include <gtest/gtest.h>
#include <sys/socket.h>

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "core/address.h"
#include "core/descriptors.h"
#include "http/transport.h"

namespace mothrack {
namespace {

using boost::asio::ip::tcp;
using kestrellb::Outcome;
using std::chrono::milliseconds;
using std::chrono::seconds;

// Listens with a backlog of one that is full, so that a connection comes up only once somebody accepts.
class Late {
 public:
  explicit Late(boost::asio::io_context& io)
      : io_(io), acceptor_(io, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0), false) {
    ::listen(acceptor_.native_handle(), 0);
    filler_.emplace(io_);
    filler_->connect(acceptor_.local_endpoint());
  }

  std::string address() const { return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port()); }

  // From here on connections come up; the system knocks again within a second or so.
  void Open() {
    acceptor_.accept();  // the filler
    acceptor_.async_accept([this](boost::system::error_code error, tcp::socket socket) {
      if (error) return;
      socket_.emplace(std::move(socket));
      Read();
    });
  }

  bool up() const { return socket_.has_value(); }
  const std::string& heard() const { return heard_; }
  void Answer(const std::string& text) { boost::asio::write(*socket_, boost::asio::buffer(text)); }

 private:
  void Read() {
    socket_->async_read_some(boost::asio::buffer(bytes_), [this](boost::system::error_code error, std::size_t size) {
      heard_.append(bytes_.data(), size);
      if (!error) Read();
    });
  }

  boost::asio::io_context& io_;
  tcp::acceptor acceptor_;
  std::optional<tcp::socket> filler_;
  std::optional<tcp::socket> socket_;
  std::array<char, 4096> bytes_{};
  std::string heard_;
};

class TransportTest : public ::testing::Test {
 protected:
  TransportTest() : descriptors(100), budget(1 << 20), transport(io, Limits(), false, descriptors, budget) {}

  static kestrellb::Limits Limits() {
    kestrellb::Limits limits;
    limits.connect_timeout = seconds(10);
    limits.idle_close = seconds(60);
    return limits;
  }

  void Serving(const std::string& uid, const std::string& address) {
    transport.Apply(uid, Location{kestrellb::UpstreamState::kServing, *ParseEndpoint(address), 0});
  }

  void Send(ExchangeId id, const std::string& uid, const std::string& target, std::string body = "") {
    HttpRequest request(body.empty() ? http::verb::get : http::verb::post, target, 11);
    request.set("X-Request-ID", "r1");
    request.body() = std::move(body);
    request.prepare_payload();
    ExchangeHooks hooks;
    hooks.on_written = [this] { ++written; };
    hooks.on_started = [](std::unique_ptr<Reply>) {};
    hooks.on_end = [this](ExchangeResult result) { ended.push_back(result.outcome); };
    transport.Send(id, uid, std::make_shared<HttpMessage>(std::move(request)), seconds(20), std::move(hooks));
  }

  // Runs the loop until `condition` holds; the test's own time-out is the other end.
  void Until(const std::function<bool()>& condition) {
    while (!condition()) io.run_one();
  }

  boost::asio::io_context io;
  Descriptors descriptors;
  ByteBudget budget;
  HttpTransport transport;
  std::vector<Outcome> ended;
  int written = 0;
};

// Seen: a copy whose connection came up 50 ms after its request had been answered was written then, and ran.
TEST_F(TransportTest, WhatIsAbandonedWhileItConnectsIsNeverWrittenAndItsConnectionIsKept) {
  Late late(io);
  Serving("u1", late.address());
  Send(ExchangeId{1}, "u1", "/page/abandoned");
  io.poll();
  ASSERT_TRUE(ended.empty());
  transport.Abandon(ExchangeId{1});
  ASSERT_TRUE(ended.empty()) << "how its connection fares is worth knowing";
  late.Open();
  Until([&] { return !ended.empty(); });
  EXPECT_EQ(ended, std::vector{Outcome::kNotSent});
  EXPECT_EQ(written, 0);
  Until([&] { return late.up(); });
  Send(ExchangeId{2}, "u1", "/page/next");
  Until([&] { return late.heard().find("\r\n\r\n") != std::string::npos; });
  EXPECT_EQ(late.heard().rfind("GET /page/next ", 0), 0U) << late.heard();
  late.Answer("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
  Until([&] { return ended.size() == 2; });
  EXPECT_EQ(ended[1], Outcome::kServed);
  EXPECT_EQ(transport.counts().opened, 1U);
}

TEST_F(TransportTest, WhatIsAbandonedAndThenCancelledOrDrainedEndsOnce) {
  for (const bool drained : {false, true}) {
    Late late(io);
    ended.clear();
    const std::string uid = drained ? "u1" : "u2";
    Serving(uid, late.address());
    const ExchangeId id{drained ? 11U : 12U};
    Send(id, uid, "/page/x");
    io.poll();
    transport.Abandon(id);
    if (drained) {
      transport.Apply(uid, Location{kestrellb::UpstreamState::kDraining, *ParseEndpoint(late.address()), 0});
    } else {
      transport.Cancel(id);
    }
    EXPECT_EQ(ended, std::vector{drained ? Outcome::kNotSent : Outcome::kCancelled});
    transport.Abandon(id);
    late.Open();
    io.poll();
    EXPECT_EQ(ended.size(), 1U);
    EXPECT_EQ(written, 0);
  }
}

// Its upstream reads nothing: the system has taken some of it, and not all.
TEST_F(TransportTest, WhatIsAbandonedHalfWrittenNeverArrivesWhole) {
  tcp::acceptor acceptor(io, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0));
  Serving("u1", "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port()));
  const std::size_t size = 16 << 20;
  Send(ExchangeId{1}, "u1", "/submit/x", std::string(size, 'x'));
  tcp::socket upstream = acceptor.accept();
  Until([&] { return upstream.available() > 0; });
  transport.Abandon(ExchangeId{1});
  Until([&] { return !ended.empty(); });
  EXPECT_EQ(ended, std::vector{Outcome::kCancelled});
  EXPECT_EQ(written, 0);
  std::string all(size, 0);
  boost::system::error_code error;
  EXPECT_LT(boost::asio::read(upstream, boost::asio::buffer(all), error), size);
  EXPECT_TRUE(error);
}

// The system took all of it, and its upstream's has room for some only: reading on later must not find the rest.
TEST_F(TransportTest, WhatIsGivenUpBeforeItIsDeliveredNeverArrivesWhole) {
  tcp::acceptor acceptor(io, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0));
  acceptor.set_option(boost::asio::socket_base::receive_buffer_size(4096));
  Serving("u1", "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port()));
  const std::size_t size = 1 << 20;
  Send(ExchangeId{1}, "u1", "/submit/x", std::string(size, 'x'));
  tcp::socket upstream = acceptor.accept();
  Until([&] { return written == 1; });
  transport.Cancel(ExchangeId{1});
  ASSERT_EQ(ended, std::vector{Outcome::kCancelled});
  std::string all(size, 0);
  boost::system::error_code error;
  EXPECT_LT(boost::asio::read(upstream, boost::asio::buffer(all), error), size);
  EXPECT_EQ(error, boost::asio::error::connection_reset);
}

TEST_F(TransportTest, WhatIsWrittenGoesOnWhenItIsAbandoned) {
  Late late(io);
  late.Open();
  Serving("u1", late.address());
  Send(ExchangeId{1}, "u1", "/page/x");
  Until([&] { return late.heard().find("\r\n\r\n") != std::string::npos; });
  transport.Abandon(ExchangeId{1});
  late.Answer("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
  Until([&] { return !ended.empty(); });
  EXPECT_EQ(ended, std::vector{Outcome::kServed});
  EXPECT_EQ(written, 1);
}

}  // namespace
}  // namespace mothrack
