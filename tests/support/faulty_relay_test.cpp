// Each fault of the link box, by plain sockets: what a test over real processes concludes from it rests on
// these.
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

constexpr milliseconds kTimeout(10'000);  // for what has to come
constexpr std::size_t kHeaders = 28;      // of IP and UDP, which count on the way
constexpr milliseconds kSilence(150);     // for what must not; a loopback takes far less

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

enum class Heard { kBytes, kSilence, kEnd, kReset };
Heard Listen(const Socket& socket, milliseconds timeout = kTimeout, std::string* bytes = nullptr) {
  if (!socket.Ready(timeout)) return Heard::kSilence;
  char some[65'536];
  const ssize_t got = ::recv(socket.fd(), some, sizeof some, 0);
  if (got > 0 && bytes != nullptr) bytes->append(some, static_cast<std::size_t>(got));
  if (got > 0) return Heard::kBytes;
  return got == 0 ? Heard::kEnd : Heard::kReset;
}

// Three ends in two halls.
struct Three {
  explicit Three(std::uint64_t seed = 1) : relay(seed) {
    relay.AddEndpoint("a", {"bole"}, a.port());
    relay.AddEndpoint("b", {"bole"}, b.port());
    relay.AddEndpoint("c", {"kality"}, c.port());
  }
  std::uint16_t at(const std::string& name) const { return relay.advertised_port(name); }

  Udp a, b, c;
  FaultyRelay relay;
};

// Which of so many datagrams from a to b come, sent slowly enough that nobody's buffer is full.
std::vector<int> WhatComes(Three& t, int count) {
  std::vector<int> come;
  for (int i = 0; i < count; ++i) {
    t.a.Send(t.at("b"), std::to_string(i));
    if (i % 50 == 49) std::this_thread::sleep_for(milliseconds(1));
  }
  while (t.relay.counts("a", "b").received < static_cast<std::uint64_t>(count))
    std::this_thread::sleep_for(milliseconds(1));
  while (const auto got = t.b.Receive(kSilence)) come.push_back(std::stoi(*got));
  return come;
}

TEST(FaultyRelayUdp, PassesAllInOrderAndAnAnswerToEitherAddressComesBack) {
  Three t;
  const auto come = WhatComes(t, 1000);
  EXPECT_EQ(come.size(), 1000U);
  EXPECT_TRUE(std::ranges::is_sorted(come));
  // Where it came from is where its sender says that it is.
  EXPECT_EQ(t.b.from(), t.at("a"));
  t.b.Send(t.b.from(), "answer");
  EXPECT_EQ(t.a.Receive(), "answer");
  EXPECT_EQ(t.a.from(), t.at("b"));
  EXPECT_EQ(t.relay.counts("a", "b").delivered, 1000U);
  EXPECT_EQ(t.relay.counts("b", "a").delivered, 1U);
  EXPECT_EQ(t.relay.queued_bytes(), 0U);
}

TEST(FaultyRelayUdp, StrangersAreCountedAndGoNowhere) {
  Three t;
  Udp stranger;
  stranger.Send(t.at("a"), "let me in");
  EXPECT_FALSE(t.a.Receive(kSilence));
  EXPECT_EQ(t.relay.unknown_senders(), 1U);
  // Until it is the address of an end that was started anew.
  t.relay.MoveEndpoint("b", stranger.port());
  stranger.Send(t.at("a"), "b again");
  EXPECT_EQ(t.a.Receive(), "b again");
  EXPECT_EQ(t.a.from(), t.at("b"));
  t.a.Send(t.at("b"), "welcome");
  EXPECT_EQ(stranger.Receive(), "welcome");
  t.b.Send(t.at("a"), "the old one");
  EXPECT_FALSE(t.a.Receive(kSilence));
}

TEST(FaultyRelayUdp, LosesItsShareTheSameOnesBySeed) {
  const auto lose = [](std::uint64_t seed, double repeat) {
    Three t(seed);
    t.relay.ChangeFaults("a", "b", [&](auto& faults) { faults.loss = 0.1, faults.duplicate = repeat; });
    auto come = WhatComes(t, 2000);
    come.erase(std::ranges::unique(come).begin(), come.end());
    EXPECT_EQ(come.size() + t.relay.counts("a", "b").lost, 2000U);
    return come;
  };
  const auto once = lose(7, 0);
  // Five standard deviations of the 200 that are expected.
  EXPECT_NEAR(static_cast<double>(once.size()), 1800, 67);
  EXPECT_EQ(lose(7, 0), once);
  EXPECT_EQ(lose(7, 0.2), once) << "another fault moved the losses";
  EXPECT_NE(lose(8, 0), once);
}

TEST(FaultyRelayUdp, EachLinkHasChancesOfItsOwn) {
  Three t;
  t.relay.ChangeFaults("a", "*", [](auto& faults) { faults.loss = 0.5; });
  std::string to_b;
  std::string to_c;
  for (int i = 0; i < 100; ++i)
    t.a.Send(t.at("b"), std::to_string(i)), t.a.Send(t.at("c"), std::to_string(i));
  while (const auto got = t.b.Receive(kSilence)) to_b += *got + ' ';
  while (const auto got = t.c.Receive(kSilence)) to_c += *got + ' ';
  EXPECT_FALSE(to_b.empty());
  EXPECT_NE(to_b, to_c);
}

TEST(FaultyRelayUdp, DelaysByAtLeastSoMuchAndJitterKeepsTheOrder) {
  Three t;
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

TEST(FaultyRelayUdp, SettingsHoldAtOnceForWhatIsOnTheWay) {
  Three t;
  t.relay.ChangeFaults("*", "*", [](auto& faults) { faults.delay = milliseconds(60'000); });
  t.a.Send(t.at("b"), "late");
  t.a.Send(t.at("c"), "cut off");
  EXPECT_FALSE(t.b.Receive(kSilence));
  EXPECT_EQ(t.relay.queued_bytes(), 11U + 2 * kHeaders);
  t.relay.Cut("a", "c");
  t.relay.ChangeFaults("*", "*", [](auto& faults) { faults.delay = milliseconds(0); });
  EXPECT_EQ(t.b.Receive(), "late");
  EXPECT_FALSE(t.c.Receive(kSilence));
  EXPECT_EQ(t.relay.counts("a", "c").cut, 1U);
}

TEST(FaultyRelayUdp, RepeatsAndReorders) {
  Three t(3);
  t.relay.ChangeFaults("a", "b", [](auto& faults) { faults.duplicate = 0.1; });
  auto come = WhatComes(t, 1000);
  EXPECT_NEAR(static_cast<double>(come.size()), 1100, 48);
  EXPECT_EQ(come.size(), 1000 + t.relay.counts("a", "b").duplicated);
  EXPECT_TRUE(std::ranges::is_sorted(come));

  t.relay.ChangeFaults("a", "b", [](auto& faults) {
    faults = {}, faults.reorder = 0.1, faults.reorder_delay = milliseconds(30);
  });
  come = WhatComes(t, 1000);
  ASSERT_EQ(come.size(), 1000U) << "reordering loses nothing";
  EXPECT_NEAR(static_cast<double>(t.relay.counts("a", "b").reordered), 100, 48);
  int overtaken = 0;
  int highest = -1;
  for (const int number : come) {
    overtaken += number < highest ? 1 : 0;
    highest = std::max(highest, number);
  }
  EXPECT_GE(overtaken, 40);
  EXPECT_LE(overtaken, static_cast<int>(t.relay.counts("a", "b").reordered));
}

TEST(FaultyRelayUdp, CutsOneWayOnly) {
  Three t;
  t.relay.Cut("a", "b");
  t.a.Send(t.at("b"), "there");
  t.b.Send(t.at("a"), "back");
  t.a.Send(t.at("c"), "another");
  EXPECT_EQ(t.a.Receive(), "back");
  EXPECT_EQ(t.c.Receive(), "another");
  EXPECT_FALSE(t.b.Receive(kSilence));
  EXPECT_EQ(t.relay.counts("a", "b").cut, 1U);
  EXPECT_NE(t.relay.Describe().find("a > b: 1 came, 0 delivered"), std::string::npos) << t.relay.Describe();
  t.relay.Restore("a", "b");
  t.a.Send(t.at("b"), "joined");
  EXPECT_EQ(t.b.Receive(), "joined") << "what was cut is gone";
}

TEST(FaultyRelayUdp, PartitionsByGroupAndHeals) {
  Three t;
  t.relay.Partition({{"bole"}, {"kality"}});
  t.a.Send(t.at("b"), "same side");
  t.a.Send(t.at("c"), "other side");
  t.c.Send(t.at("b"), "other side");
  EXPECT_EQ(t.b.Receive(), "same side");
  EXPECT_FALSE(t.c.Receive(kSilence));
  EXPECT_FALSE(t.b.Receive(milliseconds(0)));
  t.relay.Heal();
  t.a.Send(t.at("c"), "healed");
  EXPECT_EQ(t.c.Receive(), "healed");
  // By one end's own name; the others, in no side, hear one another.
  t.relay.Partition({{"c"}});
  t.a.Send(t.at("c"), "alone");
  t.a.Send(t.at("b"), "not alone");
  EXPECT_EQ(t.b.Receive(), "not alone");
  EXPECT_FALSE(t.c.Receive(kSilence));
  t.relay.ClearFaults();
  t.a.Send(t.at("c"), "cleared");
  EXPECT_EQ(t.c.Receive(), "cleared");
  EXPECT_THROW(t.relay.Cut("bole", "nowhere"), std::logic_error);
}

TEST(FaultyRelayUdp, ASlowLinkKeepsItsRateAndItsQueueIsBounded) {
  Three t;
  t.relay.ChangeFaults("a", "b",
                       [](auto& faults) { faults.bytes_per_s = 100'000, faults.queue_bytes = 50'000; });
  const auto sent = Clock::now();
  const std::string kilobyte(1000 - kHeaders, 'x');
  for (int i = 0; i < 100; ++i) t.a.Send(t.at("b"), kilobyte);
  int come = 0;
  while (come < 50 && t.b.Receive()) ++come;
  const auto took = Clock::now() - sent;
  EXPECT_EQ(come, 50);
  EXPECT_GE(took, milliseconds(490));
  EXPECT_LT(took, milliseconds(2000));
  // A few more where the first went on before the last came.
  while (t.b.Receive(kSilence)) ++come;
  const auto counts = t.relay.counts("a", "b");
  EXPECT_EQ(static_cast<std::uint64_t>(come), counts.delivered);
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

TEST(FaultyRelayTcp, PassesBytesAndEndsBothWays) {
  Pair p;
  const Socket client = Connect(p.port);
  const Socket server = Accept(p.listener);
  Write(client, "question");
  std::string heard;
  EXPECT_EQ(Listen(server, kTimeout, &heard), Heard::kBytes);
  EXPECT_EQ(heard, "question");
  ::shutdown(client.fd(), SHUT_WR);
  EXPECT_EQ(Listen(server), Heard::kEnd);
  Write(server, "answer");
  EXPECT_EQ(Listen(client, kTimeout, &heard), Heard::kBytes);
  EXPECT_EQ(heard, "questionanswer");
  ::shutdown(server.fd(), SHUT_WR);
  EXPECT_EQ(Listen(client), Heard::kEnd);
  EXPECT_EQ(p.relay.counts("a", "b").tcp_bytes, 8U);
  EXPECT_EQ(p.relay.counts("b", "a").tcp_bytes, 6U);
}

TEST(FaultyRelayTcp, DelaysByAtLeastSoMuch) {
  Pair p;
  const Socket client = Connect(p.port);
  const Socket server = Accept(p.listener);
  p.relay.ChangeFaults("a", "b", [](auto& faults) { faults.delay = milliseconds(120); });
  const auto sent = Clock::now();
  Write(client, "question");
  EXPECT_EQ(Listen(server), Heard::kBytes);
  EXPECT_GE(Clock::now() - sent, milliseconds(120));
}

TEST(FaultyRelayTcp, ACutHoldsBytesWithoutAWordAndTheyComeWhenItHeals) {
  Pair p;
  const Socket client = Connect(p.port);
  Socket server = Accept(p.listener);
  p.relay.Cut("bole", "kality");
  Write(client, "held");
  EXPECT_EQ(Listen(server, kSilence), Heard::kSilence);
  Write(server, "back");  // one way only
  EXPECT_EQ(Listen(client), Heard::kBytes);
  p.relay.Restore("bole", "kality");
  std::string heard;
  EXPECT_EQ(Listen(server, kTimeout, &heard), Heard::kBytes);
  EXPECT_EQ(heard, "held");

  // Nor does a process that dies on one side reach the other, until then.
  p.relay.Partition({{"a"}, {"b"}});
  const Socket late = Connect(p.port);
  EXPECT_FALSE(p.listener.Ready(kSilence));
  const linger at_once{1, 0};
  ::setsockopt(server.fd(), SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
  server.Close();
  EXPECT_EQ(Listen(client, kSilence), Heard::kSilence);
  p.relay.Heal();
  EXPECT_EQ(Listen(client), Heard::kReset);
  const Socket taken = Accept(p.listener);
  Write(late, "late");
  EXPECT_EQ(Listen(taken), Heard::kBytes);
}

TEST(FaultyRelayTcp, AResetIsHeardByBothAndRefusedConnectionsAreToo) {
  Pair p;
  const Socket client = Connect(p.port);
  const Socket server = Accept(p.listener);
  Write(client, "question");
  EXPECT_EQ(Listen(server), Heard::kBytes);
  p.relay.ResetConnections("a", "b");
  EXPECT_EQ(Listen(client), Heard::kReset);
  EXPECT_EQ(Listen(server), Heard::kReset);
  p.relay.ChangeFaults("a", "b", [](auto& faults) { faults.reset_connections = true; });
  EXPECT_EQ(Listen(Connect(p.port)), Heard::kReset);
  EXPECT_FALSE(p.listener.Ready(milliseconds(0)));
  EXPECT_EQ(p.relay.counts("a", "b").resets, 2U);
  p.relay.ClearFaults();
  // Nobody listens behind the relay.
  p.listener.Close();
  EXPECT_EQ(Listen(Connect(p.port)), Heard::kReset);
}

TEST(FaultyRelayTcp, ASlowLinkKeepsItsRateAndItsSenderWaits) {
  Pair p;
  const Socket client = Connect(p.port);
  const Socket server = Accept(p.listener);
  p.relay.ChangeFaults("a", "b",
                       [](auto& faults) { faults.bytes_per_s = 1'000'000, faults.queue_bytes = 20'000; });
  constexpr std::size_t kSize = 500'000;
  const auto begin = Clock::now();
  std::thread writing([&] { Write(client, std::string(kSize, 'x')); });
  std::string heard;
  std::size_t most = 0;
  while (heard.size() < kSize && Listen(server, kTimeout, &heard) == Heard::kBytes) {
    most = std::max(most, p.relay.queued_bytes());
  }
  writing.join();
  const auto took = Clock::now() - begin;
  EXPECT_EQ(heard.size(), kSize);
  EXPECT_GE(took, milliseconds(480));
  EXPECT_LT(took, milliseconds(2000));
  EXPECT_LE(most, 20'000U);
  EXPECT_GT(most, 0U);
}

TEST(FaultyRelayTcp, ManyConnectionsAtOnceAndTheirClientsGone) {
  Pair p;
  std::vector<Socket> clients;
  std::vector<Socket> servers;
  for (int i = 0; i < 64; ++i) {
    clients.push_back(Connect(p.port));
    servers.push_back(Accept(p.listener));
    Write(clients.back(), std::to_string(i));
  }
  for (int i = 0; i < 64; ++i) {
    std::string heard;
    EXPECT_EQ(Listen(servers[static_cast<std::size_t>(i)], kTimeout, &heard), Heard::kBytes);
    EXPECT_EQ(heard, std::to_string(i));
  }
  clients.clear();
  for (const Socket& server : servers) EXPECT_EQ(Listen(server), Heard::kEnd);
  servers.clear();
  const auto until = Clock::now() + kTimeout;
  while (p.relay.queued_bytes() > 0 && Clock::now() < until) std::this_thread::sleep_for(milliseconds(1));
  EXPECT_EQ(p.relay.counts("a", "b").connections, 64U);
}

}  // namespace
}  // namespace mothrack::testing
