// Tests the transport between a scripted dispatcher and scripted upstreams: what it writes, and which outcome
// it reports when two events coincide.
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

// An upstream whose backlog of one is full, so that connections to it are established only after Open().
class DelayedUpstream {
 public:
  explicit DelayedUpstream(boost::asio::io_context& io)
      : io_(io), acceptor_(io, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0), false) {
    ::listen(acceptor_.native_handle(), 0);
    filler_.emplace(io_);
    filler_->connect(acceptor_.local_endpoint());
  }

  std::string address() const { return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port()); }

  // Accepts connections from now on. The kernel of the connecting side retries its SYN within about a second.
  void Open() {
    acceptor_.accept();  // the filler
    acceptor_.async_accept([this](boost::system::error_code error, tcp::socket socket) {
      if (error) return;
      socket_.emplace(std::move(socket));
      Read();
    });
  }

  bool connected() const { return socket_.has_value(); }
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

// Returns the number of written bytes that the peer's kernel has not acknowledged.
int UnacknowledgedBytes(tcp::socket& socket) {
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

  void AddUpstream(const std::string& uid, const std::string& address) {
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
    hooks.on_started = [this](std::unique_ptr<dispatch::Reply> reply, runtime::Duration) {
      started.push_back(std::move(reply));
    };
    hooks.on_end = [this](dispatch::ExchangeResult result) {
      outcomes.push_back(result.outcome);
      if (result.reply) buffered_body = static_cast<http::HttpReply&>(*result.reply).response.body();
    };
    transport.Send(id, uid, std::make_shared<http::HttpMessage>(std::move(request)), {timeout, timeout},
                   std::move(hooks));
  }

  // Runs the event loop until `condition` holds. Only the timeout of the test program ends it otherwise.
  void RunUntil(const std::function<bool()>& condition) {
    while (!condition()) io.run_one();
  }

  boost::asio::io_context io;
  runtime::Descriptors descriptors;
  runtime::MemoryBudget budget;
  http::HttpTransport transport;
  std::vector<Outcome> outcomes;
  std::vector<std::unique_ptr<dispatch::Reply>> started;  // responses with a streamed body
  std::string buffered_body;                              // the last body that was buffered completely
  int written = 0;
};

// Guards against this failure: the connection of an attempt was established 50 ms after the request's final
// answer, and the upstream still got and processed the request.
TEST_F(TransportTest, AnAttemptAbandonedWhileConnectingIsNotSentAndItsConnectionIsPooled) {
  DelayedUpstream delayed_upstream(io);
  AddUpstream("u1", delayed_upstream.address());
  Send(dispatch::ExchangeId{1}, "u1", "/page/abandoned");
  io.poll();
  ASSERT_TRUE(outcomes.empty());
  transport.Abandon(dispatch::ExchangeId{1});
  ASSERT_TRUE(outcomes.empty()) << "the exchange must stay open until its connection is established or fails";
  delayed_upstream.Open();
  RunUntil([&] { return !outcomes.empty(); });
  EXPECT_EQ(outcomes, std::vector{Outcome::kNotSent});
  EXPECT_EQ(written, 0);
  RunUntil([&] { return delayed_upstream.connected(); });
  Send(dispatch::ExchangeId{2}, "u1", "/page/next");
  RunUntil([&] { return delayed_upstream.received().find("\r\n\r\n") != std::string::npos; });
  EXPECT_EQ(delayed_upstream.received().rfind("GET /page/next ", 0), 0U) << delayed_upstream.received();
  delayed_upstream.Answer("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
  RunUntil([&] { return outcomes.size() == 2; });
  EXPECT_EQ(outcomes[1], Outcome::kServed);
  EXPECT_EQ(transport.counts().opened, 1U);
}

TEST_F(TransportTest, AnAbandonedAttemptThatIsCancelledOrDrainedEndsOnce) {
  for (const bool drained : {false, true}) {
    DelayedUpstream delayed_upstream(io);
    outcomes.clear();
    const std::string uid = drained ? "u1" : "u2";
    AddUpstream(uid, delayed_upstream.address());
    const dispatch::ExchangeId id{drained ? 11U : 12U};
    Send(id, uid, "/page/x");
    io.poll();
    transport.Abandon(id);
    if (drained) {
      transport.Apply(uid, dispatch::Location{balancer::UpstreamState::kDraining,
                                              *runtime::ParseEndpoint(delayed_upstream.address()), 0});
    } else {
      transport.Cancel(id);
    }
    EXPECT_EQ(outcomes, std::vector{drained ? Outcome::kNotSent : Outcome::kCancelled});
    transport.Abandon(id);
    delayed_upstream.Open();
    io.poll();
    EXPECT_EQ(outcomes.size(), 1U);
    EXPECT_EQ(written, 0);
  }
}

// The event loop was delayed, so both events are pending in one turn. The one that is handled first decides.
TEST_F(TransportTest, AConnectAndATimeoutInOneLoopTurnEndTheAttemptOnce) {
  for (int i = 0; i < 20; ++i) {
    tcp::acceptor acceptor(io, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0));
    const std::string uid = "u" + std::to_string(i);
    const runtime::Endpoint endpoint = acceptor.local_endpoint();
    outcomes.clear();
    written = 0;
    AddUpstream(uid, "127.0.0.1:" + std::to_string(endpoint.port()));
    Send(dispatch::ExchangeId{static_cast<std::uint64_t>(i + 1)}, uid, "/submit/x", "unsafe",
         milliseconds(2));
    tcp::socket upstream = acceptor.accept();  // the kernel completes the connection without the event loop
    std::this_thread::sleep_for(milliseconds(4));
    RunUntil([&] { return !outcomes.empty(); });
    io.poll();
    ASSERT_EQ(outcomes.size(), 1U);
    // A request reported as never run must not have been sent, and one reported as possibly run must have
    // been.
    boost::system::error_code error;
    std::string received;
    boost::asio::read(upstream, boost::asio::dynamic_buffer(received), error);
    const bool arrived = received.find("unsafe") != std::string::npos;
    EXPECT_EQ(outcomes[0], arrived ? Outcome::kTimeout : Outcome::kConnectFailed) << received;
    EXPECT_EQ(written, arrived ? 1 : 0);
  }
}

// The upstream reads nothing, so the kernel has accepted only part of the request.
TEST_F(TransportTest, AnAttemptAbandonedDuringItsWriteNeverArrivesComplete) {
  tcp::acceptor acceptor(io, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0));
  AddUpstream("u1", "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port()));
  const std::size_t size = 16 << 20;
  Send(dispatch::ExchangeId{1}, "u1", "/submit/x", std::string(size, 'x'));
  tcp::socket upstream = acceptor.accept();
  RunUntil([&] { return upstream.available() > 0; });
  transport.Abandon(dispatch::ExchangeId{1});
  RunUntil([&] { return !outcomes.empty(); });
  EXPECT_EQ(outcomes, std::vector{Outcome::kCancelled});
  EXPECT_EQ(written, 0);
  std::string all(size, 0);
  boost::system::error_code error;
  EXPECT_LT(boost::asio::read(upstream, boost::asio::buffer(all), error), size);
  EXPECT_TRUE(error);
}

// The local kernel has accepted the whole request, and the upstream's receive buffer holds only part of it.
// An upstream that reads later must not get the rest.
TEST_F(TransportTest, AnAttemptCancelledBeforeDeliveryNeverArrivesComplete) {
  tcp::acceptor acceptor(io, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0));
  acceptor.set_option(boost::asio::socket_base::receive_buffer_size(4096));
  AddUpstream("u1", "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port()));
  const std::size_t size = 1 << 20;
  Send(dispatch::ExchangeId{1}, "u1", "/submit/x", std::string(size, 'x'));
  tcp::socket upstream = acceptor.accept();
  RunUntil([&] { return written == 1; });
  transport.Cancel(dispatch::ExchangeId{1});
  ASSERT_EQ(outcomes, std::vector{Outcome::kCancelled});
  std::string all(size, 0);
  boost::system::error_code error;
  EXPECT_LT(boost::asio::read(upstream, boost::asio::buffer(all), error), size);
  EXPECT_EQ(error, boost::asio::error::connection_reset);
}

// A response of unknown length: its outcome, and whether it stays buffered, so that another attempt is
// possible.
TEST_F(TransportTest, AResponseWithoutALengthIsBufferedUpToTheLimits) {
  constexpr std::size_t kKilo = 1024;
  enum class Continuation { kCompletes, kPauses, kBreaks, kContinues };
  struct ResponseCase {
    const char* name;
    std::size_t first_bytes;  // bytes sent at once
    Continuation continuation;
    std::size_t later_bytes;  // bytes sent later, with kContinues
    int timeout_ms;
    bool streams;  // streaming to the client starts before the response is complete
    std::optional<Outcome> outcome;
  };
  const ResponseCase rows[] = {
      {"small and complete", kKilo, Continuation::kCompletes, 0, 5000, false, Outcome::kServed},
      {"long and complete", 40 * kKilo, Continuation::kCompletes, 0, 5000, false, Outcome::kServed},
      {"as long as the buffer limit", 64 * kKilo, Continuation::kCompletes, 0, 5000, false, Outcome::kServed},
      {"longer than the buffer limit", 64 * kKilo + 1, Continuation::kCompletes, 0, 5000, true,
       Outcome::kServed},
      {"small and broken", kKilo, Continuation::kBreaks, 0, 5000, false, Outcome::kReset},
      {"long and broken", 40 * kKilo, Continuation::kBreaks, 0, 5000, false, Outcome::kReset},
      {"longer than the buffer limit and broken", 65 * kKilo, Continuation::kBreaks, 0, 5000, true,
       Outcome::kReset},
      {"small and late", kKilo, Continuation::kPauses, 0, 1300, false, Outcome::kTimeout},
      {"long and late", 40 * kKilo, Continuation::kPauses, 0, 500, true, std::nullopt},
      {"long and slow", 40 * kKilo, Continuation::kPauses, 0, 5000, true, std::nullopt},
      {"small, then long", kKilo, Continuation::kContinues, 40 * kKilo, 5000, true, Outcome::kServed},
      {"small for long, then complete", kKilo, Continuation::kContinues, kKilo, 5000, false,
       Outcome::kServed},
  };
  std::uint64_t id = 0;
  for (const bool chunked : {true, false}) {
    for (const ResponseCase& row : rows) {
      SCOPED_TRACE(std::string(row.name) + (chunked ? ", in chunks" : ", until the connection ends"));
      outcomes.clear(), started.clear(), buffered_body.clear();
      tcp::acceptor acceptor(io, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0));
      const std::string uid = "u" + std::to_string(++id);
      AddUpstream(uid, "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port()));
      Send(dispatch::ExchangeId{id}, uid, "/page/x", "", milliseconds(row.timeout_ms));
      tcp::socket upstream = acceptor.accept();
      RunUntil([&] { return upstream.available() > 0; });
      const auto write = [&](std::size_t size, const std::string& before, const std::string& after) {
        char head[32] = "";
        if (chunked && size > 0) std::snprintf(head, sizeof head, "%zx\r\n", size);
        boost::asio::write(upstream, boost::asio::buffer(before + head + std::string(size, 'x') +
                                                         (chunked && size > 0 ? "\r\n" : "") + after));
      };
      const std::string last = chunked ? "0\r\n\r\n" : "";
      const auto end = [&] { chunked ? upstream.close() : upstream.shutdown(tcp::socket::shutdown_send); };
      write(row.first_bytes,
            std::string("HTTP/1.1 200 OK\r\n") +
                (chunked ? "Transfer-Encoding: chunked" : "Connection: close") + "\r\n\r\n",
            row.continuation == Continuation::kCompletes ? last : "");
      if (row.continuation == Continuation::kCompletes && !chunked) end();
      if (row.continuation == Continuation::kBreaks) {
        upstream.set_option(boost::asio::socket_base::linger(true, 0));
        // The written bytes must be delivered first, because the reset would overtake them.
        RunUntil([&] { return UnacknowledgedBytes(upstream) == 0; });
        io.poll();
        upstream.close();
      }
      if (row.continuation == Continuation::kContinues) {
        const runtime::TimePoint later =
            runtime::Now() + milliseconds(1200);  // longer than a response is buffered
        while (runtime::Now() < later) io.run_one_for(milliseconds(20));
        EXPECT_TRUE(started.empty());
        write(row.later_bytes, "", last);
        if (!chunked) end();
      }
      RunUntil([&] { return row.outcome ? !outcomes.empty() : !started.empty(); });
      EXPECT_EQ(started.size(), row.streams ? 1U : 0U);
      EXPECT_EQ(outcomes, row.outcome ? std::vector{*row.outcome} : std::vector<Outcome>{});
      if (!row.streams && row.outcome == Outcome::kServed) {
        EXPECT_EQ(buffered_body.size(), row.first_bytes + row.later_bytes);
      }
      transport.Cancel(dispatch::ExchangeId{id});
      transport.Apply(
          uid, dispatch::Location{balancer::UpstreamState::kGone, *runtime::ParseEndpoint("127.0.0.1:1"), 0});
    }
  }
}

TEST_F(TransportTest, AWrittenAttemptContinuesWhenItIsAbandoned) {
  DelayedUpstream delayed_upstream(io);
  delayed_upstream.Open();
  AddUpstream("u1", delayed_upstream.address());
  Send(dispatch::ExchangeId{1}, "u1", "/page/x");
  RunUntil([&] { return delayed_upstream.received().find("\r\n\r\n") != std::string::npos; });
  transport.Abandon(dispatch::ExchangeId{1});
  delayed_upstream.Answer("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
  RunUntil([&] { return !outcomes.empty(); });
  EXPECT_EQ(outcomes, std::vector{Outcome::kServed});
  EXPECT_EQ(written, 1);
}

}  // namespace
}  // namespace mothrack
