// Each fault of the relay, checked with plain sockets: tests over real processes rest on these.
#include "standins/faulty_relay.h"

#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "gtest/gtest.h"
#include "support/loopback.h"

namespace mothrack::testing {
namespace {

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

constexpr milliseconds kTimeout(10'000);  // for what must arrive
constexpr std::size_t kHeaders = 28;      // of IP and UDP, which count on the way
constexpr milliseconds kQuietTime(150);   // for what must not arrive; a loopback takes far less

class Socket {
 public:
  explicit Socket(int fd) : fd_(fd) {}
  Socket(Socket&& other) noexcept : fd_(std::exchange(other.fd_, -1)) {}
  Socket& operator=(Socket&&) = delete;
  ~Socket() { Close(); }
  void Close() {
    if (fd_ >= 0) ::close(std::exchange(fd_, -1));
  }
  int fd() const { return fd_; }
  std::uint16_t port() const { return LocalPort(fd_); }
  bool Ready(milliseconds timeout) const {
    pollfd waiting{fd_, POLLIN, 0};
    return ::poll(&waiting, 1, static_cast<int>(timeout.count())) > 0;
  }

 private:
  int fd_;
};

class Udp : public Socket {
 public:
  Udp() : Socket(::socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0)) {
    EXPECT_TRUE(BindLoopback(fd(), 0));
    const int buffer = 1 << 21;
    ::setsockopt(fd(), SOL_SOCKET, SO_RCVBUF, &buffer, sizeof buffer);
  }
  void Send(std::uint16_t port, const std::string& bytes) const {
    const sockaddr_in to = LoopbackAddress(port);
    EXPECT_EQ(
        ::sendto(fd(), bytes.data(), bytes.size(), 0, reinterpret_cast<const sockaddr*>(&to), sizeof to),
        static_cast<ssize_t>(bytes.size()));
  }
  std::optional<std::string> Receive(milliseconds timeout = kTimeout) {
    if (!Ready(timeout)) return std::nullopt;
    char bytes[65'536];
    sockaddr_in from{};
    socklen_t size = sizeof from;
    const ssize_t got = ::recvfrom(fd(), bytes, sizeof bytes, 0, reinterpret_cast<sockaddr*>(&from), &size);
    if (got < 0) return std::nullopt;
    from_ = ntohs(from.sin_port);
    return std::string(bytes, static_cast<std::size_t>(got));
  }
  std::uint16_t from() const { return from_; }  // of the last one

 private:
  std::uint16_t from_ = 0;
};

Socket Listener() {
  Socket listener(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  EXPECT_TRUE(BindLoopback(listener.fd(), 0));
  EXPECT_EQ(::listen(listener.fd(), 16), 0);
  return listener;
}

Socket Connect(std::uint16_t port) {
  Socket socket(ConnectLoopback(SOCK_STREAM, port));
  EXPECT_GE(socket.fd(), 0);
  return socket;
}

Socket Accept(const Socket& listener) {
  EXPECT_TRUE(listener.Ready(kTimeout));
  return Socket(::accept4(listener.fd(), nullptr, nullptr, SOCK_CLOEXEC));
}

void Write(const Socket& socket, const std::string& bytes) {
  EXPECT_EQ(::send(socket.fd(), bytes.data(), bytes.size(), MSG_NOSIGNAL),
            static_cast<ssize_t>(bytes.size()));
}

enum class ReadResult { kBytes, kTimedOut, kEnd, kReset };
ReadResult ReadOnce(const Socket& socket, milliseconds timeout = kTimeout, std::string* bytes = nullptr) {
  if (!socket.Ready(timeout)) return ReadResult::kTimedOut;
  char some[65'536];
  const ssize_t got = ::recv(socket.fd(), some, sizeof some, 0);
  if (got > 0 && bytes != nullptr) bytes->append(some, static_cast<std::size_t>(got));
  if (got > 0) return ReadResult::kBytes;
  return got == 0 ? ReadResult::kEnd : ReadResult::kReset;
}

// Three UDP endpoints in two zones.
struct ThreeEndpoints {
  explicit ThreeEndpoints(std::uint64_t seed = 1) : relay(seed) {
    relay.AddEndpoint("a", {"bole"}, a.port());
    relay.AddEndpoint("b", {"bole"}, b.port());
    relay.AddEndpoint("c", {"kality"}, c.port());
  }
  std::uint16_t at(const std::string& name) const { return relay.advertised_port(name); }

  Udp a, b, c;
  FaultyRelay relay;
};

// Sends `count` numbered datagrams from a to b, slowly enough that no buffer overflows; those that arrive.
std::vector<int> SendAndCollect(ThreeEndpoints& t, int count) {
  std::vector<int> received;
  for (int i = 0; i < count; ++i) {
    t.a.Send(t.at("b"), std::to_string(i));
    if (i % 50 == 49) std::this_thread::sleep_for(milliseconds(1));
  }
  while (t.relay.counts("a", "b").received < static_cast<std::uint64_t>(count))
    std::this_thread::sleep_for(milliseconds(1));
  while (const auto got = t.b.Receive(kQuietTime)) received.push_back(std::stoi(*got));
  return received;
}

TEST(FaultyRelayUdp, ForwardsInOrderAndRepliesReachTheSenderByEitherAddress) {
  ThreeEndpoints t;
  const auto received = SendAndCollect(t, 1000);
  EXPECT_EQ(received.size(), 1000U);
  EXPECT_TRUE(std::ranges::is_sorted(received));
  // Where it came from is where its sender says that it is.
  EXPECT_EQ(t.b.from(), t.at("a"));
  t.b.Send(t.b.from(), "answer");
  EXPECT_EQ(t.a.Receive(), "answer");
  EXPECT_EQ(t.a.from(), t.at("b"));
  EXPECT_EQ(t.relay.counts("a", "b").delivered, 1000U);
  EXPECT_EQ(t.relay.counts("b", "a").delivered, 1U);
  EXPECT_EQ(t.relay.queued_bytes(), 0U);
}

TEST(FaultyRelayUdp, DatagramsOfUnknownSendersAreCountedAndDropped) {
  ThreeEndpoints t;
  Udp stranger;
  stranger.Send(t.at("a"), "let me in");
  EXPECT_FALSE(t.a.Receive(kQuietTime));
  EXPECT_EQ(t.relay.unknown_senders(), 1U);
  // Until it is the address of an end that was started anew.
  t.relay.MoveEndpoint("b", stranger.port());
  stranger.Send(t.at("a"), "b again");
  EXPECT_EQ(t.a.Receive(), "b again");
  EXPECT_EQ(t.a.from(), t.at("b"));
  t.a.Send(t.at("b"), "welcome");
  EXPECT_EQ(stranger.Receive(), "welcome");
  t.b.Send(t.at("a"), "the old one");
  EXPECT_FALSE(t.a.Receive(kQuietTime));
}

TEST(FaultyRelayUdp, LossRateIsMetAndRepeatsWithTheSeed) {
  const auto lose = [](std::uint64_t seed, double repeat) {
    ThreeEndpoints t(seed);
    t.relay.ChangeFaults("a", "b", [&](auto& faults) { faults.loss = 0.1, faults.duplicate = repeat; });
    auto received = SendAndCollect(t, 2000);
    received.erase(std::ranges::unique(received).begin(), received.end());
    EXPECT_EQ(received.size() + t.relay.counts("a", "b").lost, 2000U);
    return received;
  };
  const auto once = lose(7, 0);
  // Five standard deviations of the 200 that are expected.
  EXPECT_NEAR(static_cast<double>(once.size()), 1800, 67);
  EXPECT_EQ(lose(7, 0), once);
  EXPECT_EQ(lose(7, 0.2), once) << "another fault moved the losses";
  EXPECT_NE(lose(8, 0), once);
}

TEST(FaultyRelayUdp, EachLinkDrawsFromItsOwnRandomStream) {
  ThreeEndpoints t;
  t.relay.ChangeFaults("a", "*", [](auto& faults) { faults.loss = 0.5; });
  std::string to_b;
  std::string to_c;
  for (int i = 0; i < 100; ++i)
    t.a.Send(t.at("b"), std::to_string(i)), t.a.Send(t.at("c"), std::to_string(i));
  while (const auto got = t.b.Receive(kQuietTime)) to_b += *got + ' ';
  while (const auto got = t.c.Receive(kQuietTime)) to_c += *got + ' ';
  EXPECT_FALSE(to_b.empty());
  EXPECT_NE(to_b, to_c);
}

TEST(FaultyRelayUdp, DelayIsALowerBoundAndJitterDoesNotReorder) {
  ThreeEndpoints t;
  t.relay.ChangeFaults(
      "a", "b", [](auto& faults) { faults.delay = milliseconds(100), faults.jitter = milliseconds(60); });
  const auto sent = Clock::now();
  for (int i = 0; i < 50; ++i) t.a.Send(t.at("b"), std::to_string(i));
  for (int i = 0; i < 50; ++i) {
    EXPECT_EQ(t.b.Receive(), std::to_string(i));
    EXPECT_GE(Clock::now() - sent, milliseconds(100));
  }
  EXPECT_GE(Clock::now() - sent, milliseconds(130)) << "no jitter";
  // The way back has none.
  const auto back = Clock::now();
  t.b.Send(t.at("a"), "back");
  EXPECT_TRUE(t.a.Receive());
  EXPECT_LT(Clock::now() - back, milliseconds(100));
}

TEST(FaultyRelayUdp, ChangedFaultsApplyToQueuedDatagrams) {
  ThreeEndpoints t;
  t.relay.ChangeFaults("*", "*", [](auto& faults) { faults.delay = milliseconds(60'000); });
  t.a.Send(t.at("b"), "late");
  t.a.Send(t.at("c"), "cut off");
  EXPECT_FALSE(t.b.Receive(kQuietTime));
  EXPECT_EQ(t.relay.queued_bytes(), 11U + 2 * kHeaders);
  t.relay.Cut("a", "c");
  t.relay.ChangeFaults("*", "*", [](auto& faults) { faults.delay = milliseconds(0); });
  EXPECT_EQ(t.b.Receive(), "late");
  EXPECT_FALSE(t.c.Receive(kQuietTime));
  EXPECT_EQ(t.relay.counts("a", "c").cut, 1U);
}

TEST(FaultyRelayUdp, DuplicatesAndReordersAtTheirRates) {
  ThreeEndpoints t(3);
  t.relay.ChangeFaults("a", "b", [](auto& faults) { faults.duplicate = 0.1; });
  auto received = SendAndCollect(t, 1000);
  EXPECT_NEAR(static_cast<double>(received.size()), 1100, 48);
  EXPECT_EQ(received.size(), 1000 + t.relay.counts("a", "b").duplicated);
  EXPECT_TRUE(std::ranges::is_sorted(received));

  t.relay.ChangeFaults("a", "b", [](auto& faults) {
    faults = {}, faults.reorder = 0.1, faults.reorder_delay = milliseconds(30);
  });
  received = SendAndCollect(t, 1000);
  ASSERT_EQ(received.size(), 1000U) << "reordering loses nothing";
  EXPECT_NEAR(static_cast<double>(t.relay.counts("a", "b").reordered), 100, 48);
  int overtaken = 0;
  int highest = -1;
  for (const int number : received) {
    overtaken += number < highest ? 1 : 0;
    highest = std::max(highest, number);
  }
  EXPECT_GE(overtaken, 40);
  EXPECT_LE(overtaken, static_cast<int>(t.relay.counts("a", "b").reordered));
}

TEST(FaultyRelayUdp, CutDropsOneDirectionOnly) {
  ThreeEndpoints t;
  t.relay.Cut("a", "b");
  t.a.Send(t.at("b"), "there");
  t.b.Send(t.at("a"), "back");
  t.a.Send(t.at("c"), "another");
  EXPECT_EQ(t.a.Receive(), "back");
  EXPECT_EQ(t.c.Receive(), "another");
  EXPECT_FALSE(t.b.Receive(kQuietTime));
  EXPECT_EQ(t.relay.counts("a", "b").cut, 1U);
  EXPECT_NE(t.relay.Describe().find("a > b: 1 came, 0 delivered"), std::string::npos) << t.relay.Describe();
  t.relay.Restore("a", "b");
  t.a.Send(t.at("b"), "joined");
  EXPECT_EQ(t.b.Receive(), "joined") << "what was cut is gone";
}

TEST(FaultyRelayUdp, PartitionSeparatesGroupsUntilHealed) {
  ThreeEndpoints t;
  t.relay.Partition({{"bole"}, {"kality"}});
  t.a.Send(t.at("b"), "same side");
  t.a.Send(t.at("c"), "other side");
  t.c.Send(t.at("b"), "other side");
  EXPECT_EQ(t.b.Receive(), "same side");
  EXPECT_FALSE(t.c.Receive(kQuietTime));
  EXPECT_FALSE(t.b.Receive(milliseconds(0)));
  t.relay.Heal();
  t.a.Send(t.at("c"), "healed");
  EXPECT_EQ(t.c.Receive(), "healed");
  // By one end's own name; the others, in no side, hear one another.
  t.relay.Partition({{"c"}});
  t.a.Send(t.at("c"), "alone");
  t.a.Send(t.at("b"), "not alone");
  EXPECT_EQ(t.b.Receive(), "not alone");
  EXPECT_FALSE(t.c.Receive(kQuietTime));
  t.relay.ClearFaults();
  t.a.Send(t.at("c"), "cleared");
  EXPECT_EQ(t.c.Receive(), "cleared");
  EXPECT_THROW(t.relay.Cut("bole", "nowhere"), std::logic_error);
}

TEST(FaultyRelayUdp, BandwidthLimitIsMetAndTheQueueIsBounded) {
  ThreeEndpoints t;
  t.relay.ChangeFaults("a", "b",
                       [](auto& faults) { faults.bytes_per_s = 100'000, faults.queue_bytes = 50'000; });
  const auto sent = Clock::now();
  const std::string kilobyte(1000 - kHeaders, 'x');
  for (int i = 0; i < 100; ++i) t.a.Send(t.at("b"), kilobyte);
  int received = 0;
  while (received < 50 && t.b.Receive()) ++received;
  const auto took = Clock::now() - sent;
  EXPECT_EQ(received, 50);
  EXPECT_GE(took, milliseconds(490));
  EXPECT_LT(took, milliseconds(2000));
  // A few more where the first went on before the last came.
  while (t.b.Receive(kQuietTime)) ++received;
  const auto counts = t.relay.counts("a", "b");
  EXPECT_EQ(static_cast<std::uint64_t>(received), counts.delivered);
  EXPECT_EQ(counts.delivered + counts.queue_full, 100U);
  EXPECT_GE(counts.queue_full, 20U);
  EXPECT_EQ(t.relay.queued_bytes(), 0U);
}

// A client a, and a server behind it at b.
struct Pair {
  Pair() {
    relay.AddEndpoint("a", {"bole"});
    relay.AddEndpoint("b", {"kality"});
    port = relay.AddTcpPort("a", "b", listener.port());
  }
  Socket listener = Listener();
  FaultyRelay relay;
  std::uint16_t port = 0;
};

TEST(FaultyRelayTcp, ForwardsBytesAndHalfClosesBothWays) {
  Pair p;
  const Socket client = Connect(p.port);
  const Socket server = Accept(p.listener);
  Write(client, "question");
  std::string received;
  EXPECT_EQ(ReadOnce(server, kTimeout, &received), ReadResult::kBytes);
  EXPECT_EQ(received, "question");
  ::shutdown(client.fd(), SHUT_WR);
  EXPECT_EQ(ReadOnce(server), ReadResult::kEnd);
  Write(server, "answer");
  EXPECT_EQ(ReadOnce(client, kTimeout, &received), ReadResult::kBytes);
  EXPECT_EQ(received, "questionanswer");
  ::shutdown(server.fd(), SHUT_WR);
  EXPECT_EQ(ReadOnce(client), ReadResult::kEnd);
  EXPECT_EQ(p.relay.counts("a", "b").tcp_bytes, 8U);
  EXPECT_EQ(p.relay.counts("b", "a").tcp_bytes, 6U);
}

TEST(FaultyRelayTcp, DelayIsALowerBound) {
  Pair p;
  const Socket client = Connect(p.port);
  const Socket server = Accept(p.listener);
  p.relay.ChangeFaults("a", "b", [](auto& faults) { faults.delay = milliseconds(120); });
  const auto sent = Clock::now();
  Write(client, "question");
  EXPECT_EQ(ReadOnce(server), ReadResult::kBytes);
  EXPECT_GE(Clock::now() - sent, milliseconds(120));
}

TEST(FaultyRelayTcp, CutBuffersBytesAndResetsUntilHealed) {
  Pair p;
  const Socket client = Connect(p.port);
  Socket server = Accept(p.listener);
  p.relay.Cut("bole", "kality");
  Write(client, "held");
  EXPECT_EQ(ReadOnce(server, kQuietTime), ReadResult::kTimedOut);
  Write(server, "back");  // one way only
  EXPECT_EQ(ReadOnce(client), ReadResult::kBytes);
  p.relay.Restore("bole", "kality");
  std::string received;
  EXPECT_EQ(ReadOnce(server, kTimeout, &received), ReadResult::kBytes);
  EXPECT_EQ(received, "held");

  // Nor does a process that dies on one side reach the other, until then.
  p.relay.Partition({{"a"}, {"b"}});
  const Socket late = Connect(p.port);
  EXPECT_FALSE(p.listener.Ready(kQuietTime));
  const linger at_once{1, 0};
  ::setsockopt(server.fd(), SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
  server.Close();
  EXPECT_EQ(ReadOnce(client, kQuietTime), ReadResult::kTimedOut);
  p.relay.Heal();
  EXPECT_EQ(ReadOnce(client), ReadResult::kReset);
  const Socket accepted = Accept(p.listener);
  Write(late, "late");
  EXPECT_EQ(ReadOnce(accepted), ReadResult::kBytes);
}

TEST(FaultyRelayTcp, ResetReachesBothSidesAndRefusalResetsNewConnections) {
  Pair p;
  const Socket client = Connect(p.port);
  const Socket server = Accept(p.listener);
  Write(client, "question");
  EXPECT_EQ(ReadOnce(server), ReadResult::kBytes);
  p.relay.ResetConnections("a", "b");
  EXPECT_EQ(ReadOnce(client), ReadResult::kReset);
  EXPECT_EQ(ReadOnce(server), ReadResult::kReset);
  p.relay.ChangeFaults("a", "b", [](auto& faults) { faults.reset_connections = true; });
  EXPECT_EQ(ReadOnce(Connect(p.port)), ReadResult::kReset);
  EXPECT_FALSE(p.listener.Ready(milliseconds(0)));
  EXPECT_EQ(p.relay.counts("a", "b").resets, 2U);
  p.relay.ClearFaults();
  // Nobody listens behind the relay.
  p.listener.Close();
  EXPECT_EQ(ReadOnce(Connect(p.port)), ReadResult::kReset);
}

TEST(FaultyRelayTcp, BandwidthLimitIsMetByBackpressure) {
  Pair p;
  const Socket client = Connect(p.port);
  const Socket server = Accept(p.listener);
  p.relay.ChangeFaults("a", "b",
                       [](auto& faults) { faults.bytes_per_s = 1'000'000, faults.queue_bytes = 20'000; });
  constexpr std::size_t kSize = 500'000;
  const auto begin = Clock::now();
  std::thread writing([&] { Write(client, std::string(kSize, 'x')); });
  std::string received;
  std::size_t most = 0;
  while (received.size() < kSize && ReadOnce(server, kTimeout, &received) == ReadResult::kBytes) {
    most = std::max(most, p.relay.queued_bytes());
  }
  writing.join();
  const auto took = Clock::now() - begin;
  EXPECT_EQ(received.size(), kSize);
  EXPECT_GE(took, milliseconds(480));
  EXPECT_LT(took, milliseconds(2000));
  EXPECT_LE(most, 20'000U);
  EXPECT_GT(most, 0U);
}

TEST(FaultyRelayTcp, ReleasesManyConnectionsWhoseClientsDisconnect) {
  Pair p;
  std::vector<Socket> clients;
  std::vector<Socket> servers;
  for (int i = 0; i < 64; ++i) {
    clients.push_back(Connect(p.port));
    servers.push_back(Accept(p.listener));
    Write(clients.back(), std::to_string(i));
  }
  for (int i = 0; i < 64; ++i) {
    std::string received;
    EXPECT_EQ(ReadOnce(servers[static_cast<std::size_t>(i)], kTimeout, &received), ReadResult::kBytes);
    EXPECT_EQ(received, std::to_string(i));
  }
  clients.clear();
  for (const Socket& server : servers) EXPECT_EQ(ReadOnce(server), ReadResult::kEnd);
  servers.clear();
  const auto until = Clock::now() + kTimeout;
  while (p.relay.queued_bytes() > 0 && Clock::now() < until) std::this_thread::sleep_for(milliseconds(1));
  EXPECT_EQ(p.relay.counts("a", "b").connections, 64U);
}

}  // namespace
}  // namespace mothrack::testing
