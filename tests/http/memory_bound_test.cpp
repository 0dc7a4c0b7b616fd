// Tests that the process stays within its memory limit when every client descriptor is used by the costliest
// requests, at the corners of the limits that a deployment may set.
#include <sys/resource.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <csignal>
#include <deque>
#include <fstream>
#include <functional>
#include <string>
#include <thread>

#include "gtest/gtest.h"
#include "standins/peers.h"

namespace mothrack::testing {
namespace {

using boost::system::error_code;
using std::chrono::milliseconds;
using std::chrono::seconds;
using SteadyClock = std::chrono::steady_clock;

constexpr std::size_t kMegabyte = 1024 * 1024;
constexpr std::size_t kLongBody = kMegabyte;
// The load lasts at least this long, and until each client has a response or the end of its connection. The
// sidecar gives up an upstream that reads nothing after 5 s.
constexpr auto kLoadTime = seconds(8);
constexpr auto kMaxLoadTime = seconds(60);
// Receive buffer of the peers, so that little of a body is held outside the sidecar.
constexpr int kPeerReceiveBuffer = 4096;

struct Limits {
  int memory_mb;
  int sockets;
};

// An upstream that accepts connections and either reads nothing, or answers each request with a long body.
class LoadUpstream {
 public:
  explicit LoadUpstream(bool answers) : answers_(answers), acceptor_(io_, tcp::endpoint(tcp::v4(), 0)) {
    acceptor_.set_option(boost::asio::socket_base::receive_buffer_size(kPeerReceiveBuffer));
    acceptor_.non_blocking(true);
  }
  std::string address() const { return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port()); }

  // Does what can be done without blocking.
  void Step() {
    error_code error;
    for (tcp::socket socket = acceptor_.accept(error); !error; socket = acceptor_.accept(error)) {
      connections_.push_back({std::move(socket), {}, 0});
      connections_.back().socket.non_blocking(true);
    }
    if (!answers_) return;
    for (Connection& connection : connections_) Serve(connection);
  }

 private:
  struct Connection {
    tcp::socket socket;
    std::string unsent;
    std::size_t sent;
  };

  static void Serve(Connection& connection) {
    std::array<char, 4096> bytes;
    error_code error;
    const std::size_t size = connection.socket.read_some(boost::asio::buffer(bytes), error);
    if (std::string_view(bytes.data(), size).find("\r\n\r\n") != std::string_view::npos) {
      connection.unsent = "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(kLongBody) + "\r\n\r\n" +
                          std::string(kLongBody, 'x');
      connection.sent = 0;
    }
    if (connection.sent == connection.unsent.size()) return;
    connection.sent += connection.socket.write_some(
        boost::asio::buffer(connection.unsent.data() + connection.sent,
                            std::min<std::size_t>(connection.unsent.size() - connection.sent, 65536)),
        error);
  }

  const bool answers_;
  boost::asio::io_context io_;
  tcp::acceptor acceptor_;
  std::deque<Connection> connections_;
};

// A client that sends as fast as it can and reads at most the head of the response.
class LoadClient {
 public:
  LoadClient(std::uint16_t port, std::string text) : socket_(io_), text_(std::move(text)) {
    socket_.open(tcp::v4());
    socket_.set_option(boost::asio::socket_base::receive_buffer_size(kPeerReceiveBuffer));
    error_code error;
    socket_.connect({boost::asio::ip::address_v4::loopback(), port}, error);
    socket_.non_blocking(true);
  }

  void Step() {
    error_code error;
    if (sent_ < text_.size()) {
      sent_ += socket_.write_some(boost::asio::buffer(text_.data() + sent_, text_.size() - sent_), error);
    }
    if (!head_.empty()) return;
    std::array<char, 64> bytes;
    const std::size_t size = socket_.read_some(boost::asio::buffer(bytes), error);
    head_.assign(bytes.data(), size);
    if (size == 0 && error && error != boost::asio::error::would_block) head_ = "end";
  }

  bool ended() const { return !head_.empty(); }
  // The beginning of the response; "end" if the connection was closed without one; empty if neither has come.
  const std::string& head() const { return head_; }

 private:
  boost::asio::io_context io_;
  tcp::socket socket_;
  const std::string text_;
  std::size_t sent_ = 0;
  std::string head_;
};

std::size_t ResidentBytes(pid_t pid) {
  std::size_t pages = 0;
  std::size_t resident = 0;
  std::ifstream("/proc/" + std::to_string(pid) + "/statm") >> pages >> resident;
  return resident * static_cast<std::size_t>(::sysconf(_SC_PAGESIZE));
}

struct Outcome {
  int served = 0;
  int rejected = 0;    // with 503
  int unanswered = 0;  // neither response nor end within kMaxLoadTime
  std::size_t max_resident = 0;
};

enum class Upstreams { kNone, kReadNothing, kAnswer };

// Lets as many clients as the sidecar admits send `text(number)` at once.
Outcome Play(const Limits& limits, Upstreams upstreams, const std::function<std::string(int)>& text) {
  rlimit descriptors{};
  ::getrlimit(RLIMIT_NOFILE, &descriptors);
  descriptors.rlim_cur = std::min<rlim_t>(descriptors.rlim_max, 4096);
  ::setrlimit(RLIMIT_NOFILE, &descriptors);
  LoadUpstream upstream(upstreams == Upstreams::kAnswer);
  Node::Options options;
  std::vector<json> targets;
  const int upstream_count = upstreams == Upstreams::kNone ? 0 : 8;
  for (int i = 0; i < upstream_count; ++i)
    targets.push_back(Target("u" + std::to_string(i), upstream.address()));
  options.known = List(targets);
  options.memory_mb = limits.memory_mb;
  options.sockets = limits.sockets;
  Node node(options);
  EXPECT_TRUE(node.Listening());
  std::deque<LoadClient> clients;
  Outcome outcome;
  const int count = (limits.sockets - 16) / 2;
  const auto begin = SteadyClock::now();
  const auto lasts = [&] {
    const auto elapsed = SteadyClock::now() - begin;
    const bool complete = static_cast<int>(clients.size()) == count &&
                          std::all_of(clients.begin(), clients.end(), std::mem_fn(&LoadClient::ended));
    return elapsed < kLoadTime || (!complete && elapsed < kMaxLoadTime);
  };
  while (lasts()) {
    for (int i = 0; i < 8 && static_cast<int>(clients.size()) < count; ++i) {
      clients.emplace_back(node.port(), text(static_cast<int>(clients.size())));
    }
    for (LoadClient& client : clients) client.Step();
    upstream.Step();
    outcome.max_resident = std::max(outcome.max_resident, ResidentBytes(node.pid()));
    std::this_thread::sleep_for(milliseconds(1));
  }
  for (const LoadClient& client : clients) {
    outcome.served += client.head().starts_with("HTTP/1.1 200");
    outcome.rejected += client.head().starts_with("HTTP/1.1 503");
    outcome.unanswered += !client.ended();
  }
  ::testing::Test::RecordProperty("served", outcome.served);
  ::testing::Test::RecordProperty("rejected", outcome.rejected);
  ::testing::Test::RecordProperty("max_resident_kb", static_cast<int>(outcome.max_resident / 1024));
  node.Signal(SIGTERM);
  EXPECT_EQ(node.Wait(), 0);
  return outcome;
}

void ExpectWithin([[maybe_unused]] const Limits& limits, const Outcome& outcome) {
#ifndef __SANITIZE_ADDRESS__  // its shadow memory and its delay of reuse count as well
  EXPECT_LT(outcome.max_resident, limits.memory_mb * kMegabyte);
#endif
  EXPECT_EQ(outcome.unanswered, 0);
}

std::string LongUpload(int number) {
  return PostText("/submit/k", "r" + std::to_string(number), std::string(kLongBody, 'x'));
}

class MemoryBound : public ::testing::TestWithParam<Limits> {};

// Guards against this failure: uploads that upstreams read slowly took the process over its memory limit,
// because the buffers that each held beside its stream were counted nowhere.
TEST_P(MemoryBound, HoldsForUploadsThatNoUpstreamReads) {
  const Outcome outcome = Play(GetParam(), Upstreams::kReadNothing, LongUpload);
  ExpectWithin(GetParam(), outcome);
}

// Guards against this failure: an upload that was rejected as soon as it was passed on kept what had been
// read of its body, 64 KiB, until its connection ended, and no budget counted it.
TEST_P(MemoryBound, HoldsForUploadsThatAreRejectedAtOnce) {
  const Outcome outcome = Play(GetParam(), Upstreams::kNone, LongUpload);
  ExpectWithin(GetParam(), outcome);
  EXPECT_GT(outcome.rejected, 0);
}

TEST_P(MemoryBound, HoldsForResponsesThatNoClientReads) {
  const Outcome outcome = Play(GetParam(), Upstreams::kAnswer, [](int number) {
    return GetText("/page/long", "r" + std::to_string(number), 4000);
  });
  ExpectWithin(GetParam(), outcome);
  EXPECT_GT(outcome.served, 0);
}

TEST_P(MemoryBound, HoldsForBufferedBodiesWithManyFields) {
  std::string fields;
  for (int i = 0; i < 200; ++i) fields += "a:\r\n";
  const Outcome outcome = Play(GetParam(), Upstreams::kReadNothing, [&](int number) {
    return PostText("/submit/k", "r" + std::to_string(number), std::string(60000, 'x'), 4000, fields);
  });
  ExpectWithin(GetParam(), outcome);
}

TEST_P(MemoryBound, HoldsForIncompleteHeads) {
  const Outcome outcome = Play(GetParam(), Upstreams::kReadNothing,
                               [](int) { return "GET /page/x HTTP/1.1\r\nX: " + std::string(15000, 'x'); });
  ExpectWithin(GetParam(), outcome);
}

INSTANTIATE_TEST_SUITE_P(Limits, MemoryBound, ::testing::Values(Limits{32, 1024}, Limits{192, 256}),
                         [](const auto& info) {
                           return std::to_string(info.param.memory_mb) + "MbWith" +
                                  std::to_string(info.param.sockets) + "Descriptors";
                         });

}  // namespace
}  // namespace mothrack::testing
