// The real program between scripted resolvers and DNS clients. Bounds on queries, connections, descriptors
// and buffers; planned stop and start-up.
#include <atomic>
#include <chrono>
#include <csignal>
#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "dns/dns_helpers.h"
#include "gtest/gtest.h"
#include "standins/dns_client.h"
#include "standins/peers.h"
#include "standins/resolver.h"

namespace mothrack::testing {
namespace {

using std::chrono::milliseconds;
using Responder = StandinResolver::Responder;
using Via = StandinResolver::Via;

// ---- Bounds ----

TEST(Bounds, OpenQueriesOfAClientAndOfAll) {
  StandinResolver resolver(StandinResolver::Unresponsive());
  for (const char* bound : {"max_open_per_client = 5\n", "max_open_queries = 5\n"}) {
    Node node(DnsOnlyOptions(OperatorFile(ResolverList().Add("r1", resolver.address()), bound)));
    ASSERT_TRUE(node.DnsListening());
    DnsUdpClient client(node.dns_port());
    for (std::uint16_t id = 0; id < 8; ++id) {
      QuerySpec spec = QueryFor("a.org", id);
      spec.edns_size = 1232;
      client.Send(MakeQuery(spec));
    }
    for (int i = 0; i < 3; ++i) {
      const auto answer = client.Receive(milliseconds(2000));
      ASSERT_TRUE(answer);
      EXPECT_EQ(RcodeOf(*answer), kRefused);
      EXPECT_EQ(ExtendedErrorOf(*answer), 14);
    }
  }
}

TEST(Bounds, PipelinedQueriesBeyondTheBoundWaitAndAreAnswered) {
  std::atomic<int> most{0};
  StandinResolver resolver(
      [&](Responder& responder) { responder.SendAfter(milliseconds(5), MakeAnswer(responder.query())); });
  Node node(DnsOnlyOptions(
      OperatorFile(ResolverList().Add("r1", resolver.address()), "max_open_per_connection = 4\n")));
  ASSERT_TRUE(node.DnsListening());
  DnsTcpClient client(node.dns_port());
  constexpr int kQueries = 200;
  for (std::uint16_t id = 0; id < kQueries; ++id) client.Send(MakeQuery(QueryFor("a.org", id)));
  std::set<int> ids;
  for (int i = 0; i < kQueries; ++i) {
    const auto answer = client.Receive();
    ASSERT_TRUE(answer) << i;
    ids.insert(IdOf(*answer));
  }
  EXPECT_EQ(ids.size(), std::size_t{kQueries});
}

TEST(Bounds, IdleAndStalledTcpClientsAreDisconnected) {
  StandinResolver resolver(StandinResolver::Echo());
  Node node(DnsOnlyOptions(OperatorFile(ResolverList().Add("r1", resolver.address()),
                                        "tcp_first_byte_ms = 300\ntcp_idle_ms = 600\n")));
  ASSERT_TRUE(node.DnsListening());
  DnsTcpClient no_query(node.dns_port());
  DnsTcpClient half(node.dns_port());
  half.SendRaw({0, 40, 1});
  DnsTcpClient idle(node.dns_port());
  ASSERT_TRUE(idle.Query(MakeQuery({})));
  EXPECT_TRUE(no_query.ReadsEnd());
  EXPECT_TRUE(half.ReadsEnd());
  EXPECT_TRUE(idle.ReadsEnd());
}

TEST(Bounds, TcpClientsBeyondTheLimitEvictIdleOnes) {
  StandinResolver resolver(StandinResolver::Echo());
  Node node(
      DnsOnlyOptions(OperatorFile(ResolverList().Add("r1", resolver.address()), "max_tcp_clients = 4\n")));
  ASSERT_TRUE(node.DnsListening());
  std::vector<std::unique_ptr<DnsTcpClient>> clients;
  for (std::uint16_t i = 0; i < 40; ++i) {
    clients.push_back(std::make_unique<DnsTcpClient>(node.dns_port()));
    ASSERT_TRUE(clients.back()->Query(MakeQuery(QueryFor("a.org", i)))) << i;
  }
  EXPECT_LE(node.descriptors(), 40);
}

// ---- Descriptors and buffers ----

TEST(DnsDescriptors, StayWithinALimitOf64) {
  StandinResolver one(StandinResolver::Echo());
  StandinResolver two(StandinResolver::Echo());
  StandinResolver three([](Responder& responder) {
    AnswerSpec spec;
    spec.truncated = responder.via() == Via::kUdp;
    responder.Answer(spec);
  });
  Node node(DnsOnlyOptions(OperatorFile(
      ResolverList().Add("r1", one.address()).Add("r2", two.address()).Add("r3", three.address()), "",
      "[limits]\nsockets = 64\n")));
  ASSERT_TRUE(node.DnsListening());
  std::vector<std::unique_ptr<DnsTcpClient>> clients;
  DnsUdpClient udp(node.dns_port());
  for (std::uint16_t i = 0; i < 150; ++i) {
    clients.push_back(std::make_unique<DnsTcpClient>(node.dns_port()));
    ASSERT_TRUE(clients.back()->Query(MakeQuery(QueryFor("a.org", i)))) << i;
    const auto answer = udp.Query(MakeQuery(QueryFor("a.org", i)));
    ASSERT_TRUE(answer) << i;
    EXPECT_EQ(AnswersOf(*answer), 1) << i;
    ASSERT_LE(node.descriptors(), 64) << i;
  }
}

TEST(DnsDescriptors, RunningOutOfThemIsSurvived) {
  StandinResolver resolver(StandinResolver::Echo());
  Node::Options options = DnsOnlyOptions(OperatorFile(ResolverList().Add("r1", resolver.address())));
  {
    Node usual(options);
    ASSERT_TRUE(usual.DnsListening());
    options.socket_limit = usual.descriptors() + 2;
  }
  Node node(options);
  ASSERT_TRUE(node.DnsListening());
  DnsUdpClient udp(node.dns_port());
  for (std::uint16_t i = 0; i < 100; ++i) {
    const auto answer = udp.Query(MakeQuery(QueryFor("a.org", i)));
    ASSERT_TRUE(answer) << i;
    EXPECT_EQ(RcodeOf(*answer), 0) << i;
  }
  // An UPDATE needs a socket of its own. Without a free descriptor it is refused, which is safe since no
  // attempt was sent.
  std::vector<std::unique_ptr<DnsTcpClient>> clients;
  for (int i = 0; i < 5; ++i) clients.push_back(std::make_unique<DnsTcpClient>(node.dns_port()));
  clients.clear();
  EXPECT_TRUE(udp.Query(MakeUpdate("example.org", 1, "a")));
  EXPECT_TRUE(udp.Query(MakeQuery(QueryFor("a.org", 999))));
  EXPECT_TRUE(Eventually([&] {
    return node.log().find(" warning accept_failed listener=dns cause=\"Too many open files\"\n") !=
           std::string::npos;
  }));
}

TEST(DnsBuffers, FullOnesDelayAnswersButLoseNone) {
  StandinResolver one(StandinResolver::Echo());
  StandinResolver two(StandinResolver::Echo());
  Node::Options options =
      DnsOnlyOptions(OperatorFile(ResolverList().Add("r1", one.address()).Add("r2", two.address())));
  options.udp_send_interval = 3;
  Node node(options);
  ASSERT_TRUE(node.DnsListening());
  DnsUdpClient client(node.dns_port());
  constexpr int kQueries = 60;
  for (std::uint16_t id = 0; id < kQueries; ++id) client.Send(MakeQuery(QueryFor("a.org", id)));
  std::map<int, int> answers;
  for (int i = 0; i < kQueries; ++i) {
    const auto answer = client.Receive();
    ASSERT_TRUE(answer) << i;
    ++answers[IdOf(*answer)];
  }
  EXPECT_EQ(answers.size(), std::size_t{kQueries});
  EXPECT_FALSE(client.Receive(kQuietPeriod));
}

// ---- Planned stop ----

TEST(DnsStop, AnswersAcceptedQueriesAndEnds) {
  StandinResolver resolver(
      [](Responder& responder) { responder.SendAfter(milliseconds(1200), MakeAnswer(responder.query())); });
  Node node(DnsOnlyOptions(OperatorFile(ResolverList().Add("r1", resolver.address()))));
  ASSERT_TRUE(node.DnsListening());
  DnsUdpClient udp(node.dns_port());
  DnsTcpClient tcp(node.dns_port());
  constexpr int kQueries = 20;
  for (std::uint16_t id = 0; id < kQueries; ++id) {
    udp.Send(MakeQuery(QueryFor("a.org", id)));
    tcp.Send(MakeQuery(QueryFor("a.org", id)));
  }
  ASSERT_TRUE(Eventually([&] { return resolver.queries() >= 2 * kQueries; }));
  node.Signal(SIGTERM);
  // Clients still send queries for a short while.
  std::this_thread::sleep_for(milliseconds(100));
  udp.Send(MakeQuery(QueryFor("late.org", 99)));
  std::set<int> ids;
  for (int i = 0; i < kQueries + 1; ++i) {
    const auto answer = udp.Receive();
    ASSERT_TRUE(answer) << i;
    ids.insert(IdOf(*answer));
  }
  EXPECT_EQ(ids.size(), kQueries + 1U);
  for (int i = 0; i < kQueries; ++i) EXPECT_TRUE(tcp.Receive()) << i;
  EXPECT_TRUE(tcp.ReadsEnd());
  EXPECT_EQ(node.Wait(), 0);
  EXPECT_NE(node.log().find(" info dns_counts udp_queries=21 tcp_queries=20 answers=41 "), std::string::npos)
      << node.log();
}

// ---- Start-up ----

TEST(DnsStart, AddressInUseAndEmptyFileAreNamed) {
  StandinResolver occupied(StandinResolver::Echo());
  Node::Options options = DnsOnlyOptions("[dns]\nlisten = [\"" + occupied.address() +
                                         "\"]\n[[dns.resolver]]\nuid = \"r\"\nendpoint = \"127.0.0.1:1\"\n");
  Node busy(options);
  EXPECT_EQ(busy.Wait(), 1);
  EXPECT_NE(busy.log().find(occupied.address()), std::string::npos) << busy.log();
  Node empty(DnsOnlyOptions("name = \"x\"\n"));
  EXPECT_EQ(empty.Wait(), 1);
  EXPECT_NE(empty.log().find("nothing to start"), std::string::npos) << empty.log();
}

}  // namespace
}  // namespace mothrack::testing
