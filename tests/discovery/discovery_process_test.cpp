// The real program where discovery is away, slow or changed: it starts, takes a new configuration and finds
// discovery again whatever its clients hold.
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

Node::Options With(const std::string& discovery, const json& known = nullptr, bool on_request = false) {
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

std::size_t Count(const std::string& text, const std::string& part) {
  std::size_t count = 0;
  for (auto at = text.find(part); at != std::string::npos; at = text.find(part, at + 1)) ++count;
  return count;
}

std::string FollowingTo(const Node& node, const std::string& discovery) {
  json config = node.config();
  config["discovery"] = discovery;
  return config.dump();
}

// The limit of descriptors of the processes that are started while it lives.
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

// Clients that send nothing more, and upstreams that never answer, hold all that they may while discovery is
// down. The system itself gives the program no more than the deployment says.
TEST(Descriptors, DiscoveryIsFoundAgainWhileClientsHoldAllOfThem) {
  constexpr int kLimit = 64;
  Upstream hanging([](Wire& wire, const Request&, int) { wire.ReadsEnd(); });
  Upstream found(Upstream::Echo("found"));
  for (const bool on_request : {false, true}) {
    Discovery discovery(List({Target("u1", hanging.address())}));
    Node::Options options = With(discovery.address(), List({Target("u1", hanging.address())}), on_request);
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
    ASSERT_TRUE(Eventually([&] { return discovery.calls() > calls + 2; })) << "its calls go on";
    ASSERT_LE(node->descriptors(), kLimit);
    discovery.Publish(List({Target("u2", found.address())}));
    const auto back = steady_clock::now();
    discovery.SetBehavior(Discovery::Behavior::kAnswers);
    ASSERT_TRUE(Eventually([&] { return node->log().find("discovery answers again") != std::string::npos; }));
    EXPECT_LE(steady_clock::now() - back, seconds(7)) << on_request;
    EXPECT_EQ(Count(node->log(), "Too many open files"), 0U) << node->log();
    clients.clear();
    EXPECT_TRUE(BecomesServedBy(*node, "found /page/k"));
  }
}

// ---- Configuration read again ----

TEST(Reload, DuringAnOutageGoesToTheNewAddressAtOnce) {
  Upstream a(Upstream::Echo("a"));
  Upstream b(Upstream::Echo("b"));
  BlackHole hole;
  Refusing refusing;
  for (const bool on_request : {false, true}) {
    for (const std::string& old : {hole.address(), refusing.address()}) {
      Discovery next(List({Target("u2", b.address())}));
      Node node(With(old, List({Target("u1", a.address())}), on_request));
      ASSERT_TRUE(node.Listening());
      ASSERT_TRUE(BecomesServedBy(node, "a /page/k"));
      const auto reloaded = steady_clock::now();
      node.Reload(FollowingTo(node, next.address()));
      EXPECT_TRUE(BecomesServedBy(node, "b /page/k"));
      EXPECT_LE(steady_clock::now() - reloaded, seconds(2));
    }
  }
}

// The program is stopped meanwhile, so that both signals wait for it (the system may make one of them).
TEST(Reload, TwiceInOneTurnTheLastOneCounts) {
  Upstream a(Upstream::Echo("a"));
  Upstream b(Upstream::Echo("b"));
  Discovery first(List({Target("u1", a.address())}));
  Discovery second(List({Target("u1", a.address())}));
  Discovery third(List({Target("u2", b.address())}));
  Node node(With(first.address()));
  ASSERT_TRUE(node.Listening());
  ASSERT_TRUE(BecomesServedBy(node, "a /page/k"));
  node.Signal(SIGSTOP);
  node.Reload(FollowingTo(node, second.address()));
  node.Reload(FollowingTo(node, third.address()));
  node.Signal(SIGCONT);
  ASSERT_TRUE(BecomesServedBy(node, "b /page/k"));
  const int calls = first.calls() + second.calls();
  const int later = third.calls() + 5;
  ASSERT_TRUE(Eventually([&] { return third.calls() >= later; }));
  EXPECT_EQ(first.calls() + second.calls(), calls) << "one address is followed";
}

// A request is under way, so the program stays: neither a good file nor a broken one ends it early or loses
// the answer.
TEST(Reload, AfterThePlannedStopBeganLosesNothing) {
  std::promise<void> request_arrived;
  std::promise<void> go;
  Upstream slow([&](Wire& wire, const Request&, int) {
    request_arrived.set_value();
    go.get_future().wait();
    wire.Answer(200, "served");
  });
  Discovery first(List({Target("u1", slow.address())}));
  Discovery second(List({Target("u1", slow.address())}));
  Node node(With(first.address(), List({Target("u1", slow.address())})));
  ASSERT_TRUE(node.Listening());
  Client client(node.port());
  ASSERT_TRUE(client.Send(PostText("/submit/k", "s1", "x", 15000)));
  request_arrived.get_future().wait();
  node.Signal(SIGTERM);
  node.Reload("{");
  EXPECT_TRUE(Eventually(
      [&] { return node.log().find(" error configuration_not_taken cause=") != std::string::npos; }));
  node.Reload(FollowingTo(node, second.address()));
  EXPECT_TRUE(Eventually([&] { return second.calls() > 0; }));
  go.set_value();
  const auto response = client.Read();
  ASSERT_TRUE(response);
  EXPECT_EQ(response->body(), "served");
  EXPECT_EQ(node.Wait(), 0);
}

TEST(Reload, OfABrokenFileDuringAnOutageIsOneErrorAndTheOldAddressIsFollowed) {
  Upstream a(Upstream::Echo("a"));
  Upstream b(Upstream::Echo("b"));
  Discovery discovery(List({Target("u1", a.address())}));
  Node node(With(discovery.address()));
  ASSERT_TRUE(node.Listening());
  ASSERT_TRUE(BecomesServedBy(node, "a /page/k"));
  discovery.SetBehavior(Discovery::Behavior::kUnresponsive);
  ASSERT_TRUE(Eventually([&] { return node.log().find("discovery: ") != std::string::npos; }));
  json config = node.config();
  config["limits"]["sockets"] = "many";
  const std::size_t lines = Count(node.log(), "\n");
  node.Reload(config.dump());
  ASSERT_TRUE(Eventually([&] { return Count(node.log(), "\n") > lines; }));
  EXPECT_NE(node.log().find(" error configuration_not_taken cause=\"LB_CONFIG: limits.sockets"),
            std::string::npos)
      << node.log();
  EXPECT_TRUE(BecomesServedBy(node, "a /page/k"));
  discovery.Publish(List({Target("u2", b.address())}));
  discovery.SetBehavior(Discovery::Behavior::kAnswers);
  EXPECT_TRUE(BecomesServedBy(node, "b /page/k"));
  EXPECT_EQ(Count(node.log(), "configuration_not_taken"), 1U);
}

// ---- Told to end while it starts ----

// It listens, and stops at the line that says so, since nobody reads its log; there a client connects, and
// the signal comes. What the system has accepted is served all the same, and the planned stop follows.
TEST(Start, ThatASignalCrossesServesThoseWhoWaitAndThenEnds) {
  Upstream a(Upstream::Echo("a"));
  for (const int signal : {SIGTERM, SIGINT}) {
    Node::Options options = With("127.0.0.1:1", List({Target("u1", a.address())}));
    boost::asio::io_context io;
    tcp::endpoint place;
    {
      tcp::acceptor free(io, {boost::asio::ip::make_address("127.0.0.1"), 0});
      place = free.local_endpoint();
    }
    options.listen = "127.0.0.1:" + std::to_string(place.port());
    options.log_blocked = true;
    Node node(options);
    Wire wire(io);
    ASSERT_TRUE(Eventually([&] {
      boost::system::error_code error;
      wire.socket.close(error);
      wire.socket.connect(place, error);
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

// ---- Ready ----

// Nothing of discovery is waited for, with a list from before or without, after a kill as at a first start.
TEST(Ready, AtOnceWhateverDiscoveryDoes) {
  BlackHole hole;
  Refusing refusing;
  Upstream dripping([](Wire& wire, const Request&, int) {
    wire.Write("HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n{");
    wire.ReadsEnd();
  });
  Upstream turning([](Wire& wire, const Request&, int) { wire.Answer(503, "overbooked"); });
  const TemporaryDirectory directory("ready");
  for (const std::string& discovery :
       {hole.address(), refusing.address(), dripping.address(), turning.address()}) {
    for (const bool on_request : {false, true}) {
      for (const json& known : {json(nullptr), List({Target("u1", hole.address())})}) {
        Node::Options options = With(discovery, known, on_request);
        options.tmpdir = directory.path();
        for (int start = 0; start < 2; ++start) {
          const auto begun = steady_clock::now();
          Node node(options);
          ASSERT_TRUE(node.Listening());
          Client client(node.port());
          ASSERT_TRUE(client.Send("GET /up HTTP/1.1\r\nHost: x\r\n\r\n"));
          const auto response = client.Read();
          ASSERT_TRUE(response);
          EXPECT_EQ(response->result_int(), 200U) << discovery;
          EXPECT_LE(steady_clock::now() - begun, seconds(5))
              << discovery;                                             // of the 10 s that a start may take
          options.listen = "127.0.0.1:" + std::to_string(node.port());  // the same again, killed meanwhile
        }
      }
    }
  }
}

}  // namespace
}  // namespace mothrack::testing
