// The transport alone between a dispatcher that is a script and upstreams that are: what it writes, and what
// it tells of an exchange, where two events cross.
#include "http/transport.h"

#include <gtest/gtest.h>
#include <linux/sockios.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <cstdio>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "runtime/address.h"
#include "runtime/descriptors.h"

namespace mothrack {
namespace {

namespace beast_http = boost::beast::http;
using balancer::Outcome;
using boost::asio::ip::tcp;
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
  const std::string& received() const { return received_; }
  void Answer(const std::string& text) { boost::asio::write(*socket_, boost::asio::buffer(text)); }

 private:
  void Read() {
    socket_->async_read_some(boost::asio::buffer(bytes_),
                             [this](boost::system::error_code error, std::size_t size) {
                               received_.append(bytes_.data(), size);
                               if (!error) Read();
                             });
  }

  boost::asio::io_context& io_;
  tcp::acceptor acceptor_;
  std::optional<tcp::socket> filler_;
  std::optional<tcp::socket> socket_;
  std::array<char, 4096> bytes_{};
  std::string received_;
};

// Bytes written that the other side's system has not taken.
int Unread(tcp::socket& socket) {
  int bytes = 0;
  return ::ioctl(socket.native_handle(), SIOCOUTQ, &bytes) == 0 ? bytes : -1;
}

class TransportTest : public ::testing::Test {
 protected:
  TransportTest() : descriptors(100), budget(1 << 20), transport(io, Limits(), false, descriptors, budget) {}

  static balancer::Limits Limits() {
    balancer::Limits limits;
    limits.connect_timeout = seconds(10);
    limits.idle_close = seconds(60);
    return limits;
  }

  void Serving(const std::string& uid, const std::string& address) {
    transport.Apply(
        uid, dispatch::Location{balancer::UpstreamState::kServing, *runtime::ParseEndpoint(address), 0});
  }

  void Send(dispatch::ExchangeId id, const std::string& uid, const std::string& target, std::string body = "",
            runtime::Duration timeout = seconds(20)) {
    http::HttpRequest request(body.empty() ? beast_http::verb::get : beast_http::verb::post, target, 11);
    request.set("X-Request-ID", "r1");
    request.body() = std::move(body);
    request.prepare_payload();
    dispatch::ExchangeHooks hooks;
    hooks.on_written = [this] { ++written; };
    hooks.on_started = [this](std::unique_ptr<dispatch::Reply> reply) {
      started.push_back(std::move(reply));
    };
    hooks.on_end = [this](dispatch::ExchangeResult result) {
      ended.push_back(result.outcome);
      if (result.reply) whole = static_cast<http::HttpReply&>(*result.reply).response.body();
    };
    transport.Send(id, uid, std::make_shared<http::HttpMessage>(std::move(request)), timeout,
                   std::move(hooks));
  }

  // Runs the loop until `condition` holds; the test's own time-out is the other end.
  void Until(const std::function<bool()>& condition) {
    while (!condition()) io.run_one();
  }

  boost::asio::io_context io;
  runtime::Descriptors descriptors;
  runtime::ByteBudget budget;
  http::HttpTransport transport;
  std::vector<Outcome> ended;
  std::vector<std::unique_ptr<dispatch::Reply>> started;  // answers whose bodies came as they came
  std::string whole;                                      // the last body that came whole
  int written = 0;
};

// Seen: a copy whose connection came up 50 ms after its request had been answered was written then, and ran.
TEST_F(TransportTest, AnAttemptAbandonedWhileConnectingIsNotSentAndItsConnectionIsPooled) {
  Late late(io);
  Serving("u1", late.address());
  Send(dispatch::ExchangeId{1}, "u1", "/page/abandoned");
  io.poll();
  ASSERT_TRUE(ended.empty());
  transport.Abandon(dispatch::ExchangeId{1});
  ASSERT_TRUE(ended.empty()) << "how its connection fares is worth knowing";
  late.Open();
  Until([&] { return !ended.empty(); });
  EXPECT_EQ(ended, std::vector{Outcome::kNotSent});
  EXPECT_EQ(written, 0);
  Until([&] { return late.up(); });
  Send(dispatch::ExchangeId{2}, "u1", "/page/next");
  Until([&] { return late.received().find("\r\n\r\n") != std::string::npos; });
  EXPECT_EQ(late.received().rfind("GET /page/next ", 0), 0U) << late.received();
  late.Answer("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
  Until([&] { return ended.size() == 2; });
  EXPECT_EQ(ended[1], Outcome::kServed);
  EXPECT_EQ(transport.counts().opened, 1U);
}

TEST_F(TransportTest, AnAbandonedAttemptThatIsCancelledOrDrainedEndsOnce) {
  for (const bool drained : {false, true}) {
    Late late(io);
    ended.clear();
    const std::string uid = drained ? "u1" : "u2";
    Serving(uid, late.address());
    const dispatch::ExchangeId id{drained ? 11U : 12U};
    Send(id, uid, "/page/x");
    io.poll();
    transport.Abandon(id);
    if (drained) {
      transport.Apply(uid, dispatch::Location{balancer::UpstreamState::kDraining,
                                              *runtime::ParseEndpoint(late.address()), 0});
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

// The loop had no time meanwhile: both wait for it in one turn, and what is handled first decides for both.
TEST_F(TransportTest, AConnectAndATimeoutInOneLoopTurnEndTheAttemptOnce) {
  for (int i = 0; i < 20; ++i) {
    tcp::acceptor acceptor(io, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0));
    const std::string uid = "u" + std::to_string(i);
    const runtime::Endpoint endpoint = acceptor.local_endpoint();
    ended.clear();
    written = 0;
    Serving(uid, "127.0.0.1:" + std::to_string(endpoint.port()));
    Send(dispatch::ExchangeId{static_cast<std::uint64_t>(i + 1)}, uid, "/submit/x", "unsafe",
         milliseconds(2));
    tcp::socket upstream = acceptor.accept();  // the system's doing, without the loop
    std::this_thread::sleep_for(milliseconds(4));
    Until([&] { return !ended.empty(); });
    io.poll();
    ASSERT_EQ(ended.size(), 1U);
    // What the module takes for never run must not have gone out, nor what it takes for run have stayed here.
    boost::system::error_code error;
    std::string received;
    boost::asio::read(upstream, boost::asio::dynamic_buffer(received), error);
    const bool arrived = received.find("unsafe") != std::string::npos;
    EXPECT_EQ(ended[0], arrived ? Outcome::kTimeout : Outcome::kConnectFailed) << received;
    EXPECT_EQ(written, arrived ? 1 : 0);
  }
}

// Its upstream reads nothing: the system has taken some of it, and not all.
TEST_F(TransportTest, AnAttemptAbandonedHalfWrittenNeverArrivesComplete) {
  tcp::acceptor acceptor(io, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0));
  Serving("u1", "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port()));
  const std::size_t size = 16 << 20;
  Send(dispatch::ExchangeId{1}, "u1", "/submit/x", std::string(size, 'x'));
  tcp::socket upstream = acceptor.accept();
  Until([&] { return upstream.available() > 0; });
  transport.Abandon(dispatch::ExchangeId{1});
  Until([&] { return !ended.empty(); });
  EXPECT_EQ(ended, std::vector{Outcome::kCancelled});
  EXPECT_EQ(written, 0);
  std::string all(size, 0);
  boost::system::error_code error;
  EXPECT_LT(boost::asio::read(upstream, boost::asio::buffer(all), error), size);
  EXPECT_TRUE(error);
}

// The system took all of it, and its upstream's has room for some only: reading on later must not find the
// rest.
TEST_F(TransportTest, AnAttemptCancelledBeforeDeliveryNeverArrivesComplete) {
  tcp::acceptor acceptor(io, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0));
  acceptor.set_option(boost::asio::socket_base::receive_buffer_size(4096));
  Serving("u1", "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port()));
  const std::size_t size = 1 << 20;
  Send(dispatch::ExchangeId{1}, "u1", "/submit/x", std::string(size, 'x'));
  tcp::socket upstream = acceptor.accept();
  Until([&] { return written == 1; });
  transport.Cancel(dispatch::ExchangeId{1});
  ASSERT_EQ(ended, std::vector{Outcome::kCancelled});
  std::string all(size, 0);
  boost::system::error_code error;
  EXPECT_LT(boost::asio::read(upstream, boost::asio::buffer(all), error), size);
  EXPECT_EQ(error, boost::asio::error::connection_reset);
}

// An answer that does not tell its length: what comes of it, and whether another attempt can still be made.
TEST_F(TransportTest, AnAnswerWithoutALengthIsBufferedUpToItsBound) {
  constexpr std::size_t kKilo = 1024;
  enum class Then { kEnds, kStops, kBreaks, kGoesOn };
  struct Row {
    const char* name;
    std::size_t first;  // bytes that come at once
    Then then;
    std::size_t more;  // and later, of what goes on
    int timeout_ms;
    bool starts;  // its way to the client, before it is whole
    std::optional<Outcome> outcome;
  };
  const Row rows[] = {
      {"small and whole", kKilo, Then::kEnds, 0, 5000, false, Outcome::kServed},
      {"long and whole", 40 * kKilo, Then::kEnds, 0, 5000, false, Outcome::kServed},
      {"as long as is kept", 64 * kKilo, Then::kEnds, 0, 5000, false, Outcome::kServed},
      {"longer", 64 * kKilo + 1, Then::kEnds, 0, 5000, true, Outcome::kServed},
      {"small and broken", kKilo, Then::kBreaks, 0, 5000, false, Outcome::kReset},
      {"long and broken", 40 * kKilo, Then::kBreaks, 0, 5000, false, Outcome::kReset},
      {"longer and broken", 65 * kKilo, Then::kBreaks, 0, 5000, true, Outcome::kReset},
      {"small and late", kKilo, Then::kStops, 0, 1300, false, Outcome::kTimeout},
      {"long and late", 40 * kKilo, Then::kStops, 0, 500, false, Outcome::kTimeout},
      {"long and slow", 40 * kKilo, Then::kStops, 0, 5000, true, std::nullopt},
      {"grows in time", kKilo, Then::kGoesOn, 40 * kKilo, 5000, true, Outcome::kServed},
      {"small for long", kKilo, Then::kGoesOn, kKilo, 5000, false, Outcome::kServed},
  };
  std::uint64_t id = 0;
  for (const bool chunked : {true, false}) {
    for (const Row& row : rows) {
      SCOPED_TRACE(std::string(row.name) + (chunked ? ", in chunks" : ", to the connection's end"));
      ended.clear(), started.clear(), whole.clear();
      tcp::acceptor acceptor(io, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0));
      const std::string uid = "u" + std::to_string(++id);
      Serving(uid, "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port()));
      Send(dispatch::ExchangeId{id}, uid, "/page/x", "", milliseconds(row.timeout_ms));
      tcp::socket upstream = acceptor.accept();
      Until([&] { return upstream.available() > 0; });
      const auto write = [&](std::size_t size, const std::string& before, const std::string& after) {
        char head[32] = "";
        if (chunked && size > 0) std::snprintf(head, sizeof head, "%zx\r\n", size);
        boost::asio::write(upstream, boost::asio::buffer(before + head + std::string(size, 'x') +
                                                         (chunked && size > 0 ? "\r\n" : "") + after));
      };
      const std::string last = chunked ? "0\r\n\r\n" : "";
      const auto end = [&] { chunked ? upstream.close() : upstream.shutdown(tcp::socket::shutdown_send); };
      write(row.first,
            std::string("HTTP/1.1 200 OK\r\n") +
                (chunked ? "Transfer-Encoding: chunked" : "Connection: close") + "\r\n\r\n",
            row.then == Then::kEnds ? last : "");
      if (row.then == Then::kEnds && !chunked) end();
      if (row.then == Then::kBreaks) {
        upstream.set_option(boost::asio::socket_base::linger(true, 0));
        // What it wrote is delivered first: the reset would overtake it.
        Until([&] { return Unread(upstream) == 0; });
        io.poll();
        upstream.close();
      }
      if (row.then == Then::kGoesOn) {
        const runtime::TimePoint later = runtime::Now() + milliseconds(1200);  // beyond the longest hold
        while (runtime::Now() < later) io.run_one_for(milliseconds(20));
        EXPECT_TRUE(started.empty());
        write(row.more, "", last);
        if (!chunked) end();
      }
      Until([&] { return row.outcome ? !ended.empty() : !started.empty(); });
      EXPECT_EQ(started.size(), row.starts ? 1U : 0U);
      EXPECT_EQ(ended, row.outcome ? std::vector{*row.outcome} : std::vector<Outcome>{});
      if (!row.starts && row.outcome == Outcome::kServed) {
        EXPECT_EQ(whole.size(), row.first + row.more);
      }
      transport.Cancel(dispatch::ExchangeId{id});
      transport.Apply(
          uid, dispatch::Location{balancer::UpstreamState::kGone, *runtime::ParseEndpoint("127.0.0.1:1"), 0});
    }
  }
}

TEST_F(TransportTest, AWrittenAttemptContinuesWhenItIsAbandoned) {
  Late late(io);
  late.Open();
  Serving("u1", late.address());
  Send(dispatch::ExchangeId{1}, "u1", "/page/x");
  Until([&] { return late.received().find("\r\n\r\n") != std::string::npos; });
  transport.Abandon(dispatch::ExchangeId{1});
  late.Answer("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
  Until([&] { return !ended.empty(); });
  EXPECT_EQ(ended, std::vector{Outcome::kServed});
  EXPECT_EQ(written, 1);
}

}  // namespace
}  // namespace mothrack
