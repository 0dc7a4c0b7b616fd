// The sidecar program while discovery is unavailable, slow or at a new address: it starts, reloads its
// configuration, and reaches discovery again however many descriptors its clients use.
#include <sys/resource.h>
#include <unistd.h>

#include <chrono>
#include <csignal>
#include <cstddef>
#include <future>
#include <memory>
#include <string>
#include <vector>

#include "gtest/gtest.h"
#include "standins/peers.h"
#include "support/temporary_directory.h"

namespace mothrack::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using std::chrono::steady_clock;

// The options of a program with this address of discovery and this list from an earlier run.
Node::Options MakeOptions(const std::string& discovery, const json& known = nullptr,
                          bool on_request = false) {
  Node::Options options;
  options.discovery = discovery;
  options.known = known;
  if (on_request) {
    options.settings["MembershipMode"] = "on_request";
    options.settings["Rules"]["MustAskIn"] = 10'000'000;
  }
  return options;
}

bool BecomesServedBy(Node& node, const std::string& body) {
  static int number = 0;
  return Eventually([&] {
    Client client(node.port());
    const auto response = client.Get("/page/k", "w" + std::to_string(number++));
    return response && response->body() == body;
  });
}

std::size_t CountOccurrences(const std::string& text, const std::string& part) {
  std::size_t count = 0;
  for (auto at = text.find(part); at != std::string::npos; at = text.find(part, at + 1)) ++count;
  return count;
}

// The program's configuration with another address of discovery.
std::string ConfigWithDiscovery(const Node& node, const std::string& discovery) {
  json config = node.config();
  config["discovery"] = discovery;
  return config.dump();
}

// Limits the descriptors of processes that are started during its lifetime.
class DescriptorLimit {
 public:
  explicit DescriptorLimit(rlim_t limit) {
    ::getrlimit(RLIMIT_NOFILE, &before_);
    const rlimit lower{limit, before_.rlim_max};
    ::setrlimit(RLIMIT_NOFILE, &lower);
  }
  ~DescriptorLimit() { ::setrlimit(RLIMIT_NOFILE, &before_); }
  DescriptorLimit(const DescriptorLimit&) = delete;
  DescriptorLimit& operator=(const DescriptorLimit&) = delete;

 private:
  rlimit before_{};
};

// ---- Descriptors ----

// While discovery is down, idle clients and upstreams that never answer use all descriptors that they may.
// The operating system's limit equals the one in the configuration.
TEST(Descriptors, DiscoveryIsReachedAgainWhileClientsUseAllOfThem) {
  constexpr int kLimit = 64;
  Upstream hanging([](Wire& wire, const Request&, int) { wire.ReadsEnd(); });
  Upstream found(Upstream::Echo("found"));
  for (const bool on_request : {false, true}) {
    Discovery discovery(List({Target("u1", hanging.address())}));
    Node::Options options =
        MakeOptions(discovery.address(), List({Target("u1", hanging.address())}), on_request);
    options.sockets = kLimit;
    std::unique_ptr<Node> node;
    {
      const DescriptorLimit limit(kLimit);
      node = std::make_unique<Node>(options);
    }
    ASSERT_TRUE(node->Listening());
    ASSERT_TRUE(Eventually([&] { return discovery.calls() > 1; }));
    discovery.SetBehavior(Discovery::Behavior::kClosesConnection);
    ASSERT_TRUE(Eventually([&] { return node->log().find("discovery: ") != std::string::npos; }));
    std::vector<std::unique_ptr<Client>> clients;
    for (int i = 0; i < 2 * kLimit; ++i) {
      clients.push_back(std::make_unique<Client>(node->port()));
      ASSERT_TRUE(clients.back()->Send(PostText("/submit/k", "h" + std::to_string(i), "x", 20000)));
    }
    const int calls = discovery.calls();
    ASSERT_TRUE(Eventually([&] { return discovery.calls() > calls + 2; }))
        << "discovery is not called any more";
    ASSERT_LE(node->descriptors(), kLimit);
    discovery.Publish(List({Target("u2", found.address())}));
    const auto recovered = steady_clock::now();
    discovery.SetBehavior(Discovery::Behavior::kAnswers);
    ASSERT_TRUE(Eventually([&] { return node->log().find("discovery answers again") != std::string::npos; }));
    EXPECT_LE(steady_clock::now() - recovered, seconds(7)) << on_request;
    EXPECT_EQ(CountOccurrences(node->log(), "Too many open files"), 0U) << node->log();
    clients.clear();
    EXPECT_TRUE(BecomesServedBy(*node, "found /page/k"));
  }
}

// ---- Reload of the configuration ----

TEST(Reload, DuringAnOutageSwitchesToTheNewAddressAtOnce) {
  Upstream upstream_a(Upstream::Echo("a"));
  Upstream upstream_b(Upstream::Echo("b"));
  BlackHole black_hole;
  RefusingAddress refusing;
  for (const bool on_request : {false, true}) {
    for (const std::string& old_address : {black_hole.address(), refusing.address()}) {
      Discovery next(List({Target("u2", upstream_b.address())}));
      Node node(MakeOptions(old_address, List({Target("u1", upstream_a.address())}), on_request));
      ASSERT_TRUE(node.Listening());
      ASSERT_TRUE(BecomesServedBy(node, "a /page/k"));
      const auto reloaded = steady_clock::now();
      node.Reload(ConfigWithDiscovery(node, next.address()));
      EXPECT_TRUE(BecomesServedBy(node, "b /page/k"));
      EXPECT_LE(steady_clock::now() - reloaded, seconds(2));
    }
  }
}

// The program is stopped meanwhile, so that both signals are pending when it continues (the system may merge
// them).
TEST(Reload, TwiceInOneTurnTheLastOneCounts) {
  Upstream upstream_a(Upstream::Echo("a"));
  Upstream upstream_b(Upstream::Echo("b"));
  Discovery first(List({Target("u1", upstream_a.address())}));
  Discovery second(List({Target("u1", upstream_a.address())}));
  Discovery third(List({Target("u2", upstream_b.address())}));
  Node node(MakeOptions(first.address()));
  ASSERT_TRUE(node.Listening());
  ASSERT_TRUE(BecomesServedBy(node, "a /page/k"));
  node.Signal(SIGSTOP);
  node.Reload(ConfigWithDiscovery(node, second.address()));
  node.Reload(ConfigWithDiscovery(node, third.address()));
  node.Signal(SIGCONT);
  ASSERT_TRUE(BecomesServedBy(node, "b /page/k"));
  const int calls = first.calls() + second.calls();
  const int later = third.calls() + 5;
  ASSERT_TRUE(Eventually([&] { return third.calls() >= later; }));
  EXPECT_EQ(first.calls() + second.calls(), calls) << "an earlier address is still polled";
}

// The program keeps running until the pending request is answered. Neither a valid configuration nor a broken
// one ends it early or loses the answer.
TEST(Reload, AfterThePlannedStopBeganLosesNothing) {
  std::promise<void> request_arrived;
  std::promise<void> answer_allowed;
  Upstream slow([&](Wire& wire, const Request&, int) {
    request_arrived.set_value();
    answer_allowed.get_future().wait();
    wire.Answer(200, "served");
  });
  Discovery first(List({Target("u1", slow.address())}));
  Discovery second(List({Target("u1", slow.address())}));
  Node node(MakeOptions(first.address(), List({Target("u1", slow.address())})));
  ASSERT_TRUE(node.Listening());
  Client client(node.port());
  ASSERT_TRUE(client.Send(PostText("/submit/k", "s1", "x", 15000)));
  request_arrived.get_future().wait();
  node.Signal(SIGTERM);
  node.Reload("{");
  EXPECT_TRUE(Eventually(
      [&] { return node.log().find(" error configuration_not_taken cause=") != std::string::npos; }));
  node.Reload(ConfigWithDiscovery(node, second.address()));
  EXPECT_TRUE(Eventually([&] { return second.calls() > 0; }));
  answer_allowed.set_value();
  const auto response = client.Read();
  ASSERT_TRUE(response);
  EXPECT_EQ(response->body(), "served");
  EXPECT_EQ(node.Wait(), 0);
}

TEST(Reload, OfABrokenFileDuringAnOutageIsOneErrorAndTheOldAddressIsKept) {
  Upstream upstream_a(Upstream::Echo("a"));
  Upstream upstream_b(Upstream::Echo("b"));
  Discovery discovery(List({Target("u1", upstream_a.address())}));
  Node node(MakeOptions(discovery.address()));
  ASSERT_TRUE(node.Listening());
  ASSERT_TRUE(BecomesServedBy(node, "a /page/k"));
  discovery.SetBehavior(Discovery::Behavior::kUnresponsive);
  ASSERT_TRUE(Eventually([&] { return node.log().find("discovery: ") != std::string::npos; }));
  json config = node.config();
  config["limits"]["sockets"] = "many";
  const std::size_t lines = CountOccurrences(node.log(), "\n");
  node.Reload(config.dump());
  ASSERT_TRUE(Eventually([&] { return CountOccurrences(node.log(), "\n") > lines; }));
  EXPECT_NE(node.log().find(" error configuration_not_taken cause=\"LB_CONFIG: limits.sockets"),
            std::string::npos)
      << node.log();
  EXPECT_TRUE(BecomesServedBy(node, "a /page/k"));
  discovery.Publish(List({Target("u2", upstream_b.address())}));
  discovery.SetBehavior(Discovery::Behavior::kAnswers);
  EXPECT_TRUE(BecomesServedBy(node, "b /page/k"));
  EXPECT_EQ(CountOccurrences(node.log(), "configuration_not_taken"), 1U);
}

// ---- Signals during the start ----

// The program listens and then blocks while it logs that, because nothing reads its log. Meanwhile a client
// connects and the signal arrives. The connection that the system has accepted is served, and the planned
// stop follows.
TEST(Start, ASignalDuringTheStartLeavesPendingConnectionsServed) {
  Upstream upstream_a(Upstream::Echo("a"));
  for (const int signal : {SIGTERM, SIGINT}) {
    Node::Options options = MakeOptions("127.0.0.1:1", List({Target("u1", upstream_a.address())}));
    boost::asio::io_context io;
    tcp::endpoint listen_address;
    {
      tcp::acceptor unused_port(io, {boost::asio::ip::make_address("127.0.0.1"), 0});
      listen_address = unused_port.local_endpoint();
    }
    options.listen = "127.0.0.1:" + std::to_string(listen_address.port());
    options.log_blocked = true;
    Node node(options);
    Wire wire(io);
    ASSERT_TRUE(Eventually([&] {
      boost::system::error_code error;
      wire.socket.close(error);
      wire.socket.connect(listen_address, error);
      return !error;
    }));
    ASSERT_TRUE(wire.Write(PostText("/submit/k", "t1", "x", 5000)));
    node.Signal(signal);
    node.UnblockLog();
    const auto response = wire.ReadResponse();
    ASSERT_TRUE(response) << signal;
    EXPECT_EQ(response->body(), "a /submit/k");
    EXPECT_EQ(node.Wait(), 0);
  }
}

// ---- Readiness ----

// The program does not wait for discovery, with or without a list from an earlier run, at the first start and
// after a kill.
TEST(Ready, AtOnceWhateverDiscoveryDoes) {
  BlackHole black_hole;
  RefusingAddress refusing;
  Upstream stalling([](Wire& wire, const Request&, int) {
    wire.Write("HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n{");
    wire.ReadsEnd();
  });
  Upstream overloaded([](Wire& wire, const Request&, int) { wire.Answer(503, "overbooked"); });
  const TemporaryDirectory directory("ready");
  for (const std::string& discovery :
       {black_hole.address(), refusing.address(), stalling.address(), overloaded.address()}) {
    for (const bool on_request : {false, true}) {
      for (const json& known : {json(nullptr), List({Target("u1", black_hole.address())})}) {
        Node::Options options = MakeOptions(discovery, known, on_request);
        options.tmpdir = directory.path();
        for (int start = 0; start < 2; ++start) {
          const auto started = steady_clock::now();
          Node node(options);
          ASSERT_TRUE(node.Listening());
          Client client(node.port());
          ASSERT_TRUE(client.Send("GET /up HTTP/1.1\r\nHost: x\r\n\r\n"));
          const auto response = client.Read();
          ASSERT_TRUE(response);
          EXPECT_EQ(response->result_int(), 200U) << discovery;
          // A start may take 10 s in all.
          EXPECT_LE(steady_clock::now() - started, seconds(5)) << discovery;
          // The next start has the same address, after this program was killed.
          options.listen = "127.0.0.1:" + std::to_string(node.port());
        }
      }
    }
  }
}

}  // namespace
}  // namespace mothrack::testing
