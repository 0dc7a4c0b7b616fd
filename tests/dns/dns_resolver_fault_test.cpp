// The real program between scripted resolvers and DNS clients: resolvers that are unresponsive, closed,
// draining, or changed by the configuration.
#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <thread>
#include <vector>

#include "dns/closed_port.h"
#include "dns/dns_helpers.h"
#include "gtest/gtest.h"
#include "standins/dns_client.h"
#include "standins/peers.h"
#include "standins/resolver.h"

namespace mothrack::testing {
namespace {

using std::chrono::milliseconds;
using Script = StandinResolver::Script;
using Responder = StandinResolver::Responder;
using Via = StandinResolver::Via;

// ---- Unresponsive resolvers ----

TEST(UnresponsiveResolvers, ResolverIsEjectedAndItsClientsAreServedByTheOthers) {
  StandinResolver unresponsive(StandinResolver::Unresponsive());
  StandinResolver good(StandinResolver::Echo());
  StandinResolver second_responsive(StandinResolver::Echo());
  Node node(DnsOnlyOptions(OperatorFile(ResolverList()
                                            .Add("s", unresponsive.address())
                                            .Add("g", good.address())
                                            .Add("b", second_responsive.address()))));
  ASSERT_TRUE(node.DnsListening());
  DnsUdpClient client(node.dns_port());
  std::uint16_t id = 0;
  const auto send_query = [&] {
    const Octets query = MakeQuery(QueryFor("a.org", ++id));
    const auto answer = client.Query(query);
    return answer && *answer == MakeAnswer(query);
  };
  ASSERT_TRUE(Eventually([&] {
    EXPECT_TRUE(send_query());
    return node.log().find("ejected s") != std::string::npos;
  }));
  const int before = unresponsive.queries();
  for (int i = 0; i < 200; ++i) ASSERT_TRUE(send_query());
  // The ejected resolver gets only half-open probes, on which no client depends.
  EXPECT_LE(unresponsive.queries() - before, 4);
  // It answers again: half-open probes detect that long before its ejection ends.
  unresponsive.SetScript(StandinResolver::Echo());
  ASSERT_TRUE(Eventually([&] {
    EXPECT_TRUE(send_query());
    return node.log().find("returned s") != std::string::npos;
  }));
  const int returned = unresponsive.queries();
  for (int i = 0; i < 60; ++i) ASSERT_TRUE(send_query());
  EXPECT_GT(unresponsive.queries(), returned);
}

TEST(UnresponsiveResolvers, AllOfThemAreAnsweredOnceAtTheDeadline) {
  StandinResolver one(StandinResolver::Unresponsive());
  StandinResolver two(StandinResolver::Unresponsive());
  const std::string classes =
      "[[dns.class]]\nname = \"query\"\nopcode = \"QUERY\"\naim_ms = 200\ndeadline_ms = 400\n";
  Node node(DnsOnlyOptions(
      OperatorFile(ResolverList().Add("r1", one.address()).Add("r2", two.address()), classes)));
  ASSERT_TRUE(node.DnsListening());
  DnsUdpClient client(node.dns_port());
  constexpr int kQueries = 50;
  for (std::uint16_t id = 0; id < kQueries; ++id) {
    QuerySpec spec = QueryFor("a.org", id);
    spec.edns_size = 1232;
    client.Send(MakeQuery(spec));
  }
  std::map<int, int> answers;
  for (int i = 0; i < kQueries; ++i) {
    const auto answer = client.Receive();
    ASSERT_TRUE(answer);
    ++answers[IdOf(*answer)];
    EXPECT_EQ(RcodeOf(*answer), kServFail);
    EXPECT_EQ(ExtendedErrorOf(*answer), 22);
  }
  EXPECT_EQ(answers.size(), std::size_t{kQueries}) << "an answer each";
  EXPECT_FALSE(client.Receive(kQuietPeriod));
}

TEST(UnresponsiveResolvers, AllEjectedIsAnsweredAtOnceAndProbedAgain) {
  StandinResolver only(StandinResolver::Unresponsive());
  const std::string classes =
      "[[dns.class]]\nname = \"query\"\nopcode = \"QUERY\"\naim_ms = 50\ndeadline_ms = 100\n";
  Node node(DnsOnlyOptions(OperatorFile(ResolverList().Add("r1", only.address()), classes)));
  ASSERT_TRUE(node.DnsListening());
  DnsUdpClient client(node.dns_port());
  std::uint16_t id = 0;
  const auto send_query = [&] {
    QuerySpec spec = QueryFor("a.org", ++id);
    spec.edns_size = 1232;
    const auto answer = client.Query(MakeQuery(spec));
    return answer ? RcodeOf(*answer) * 100 + std::max(0, ExtendedErrorOf(*answer)) : -1;
  };
  ASSERT_TRUE(Eventually([&] {
    const int answer_code = send_query();
    EXPECT_TRUE(answer_code == kServFail * 100 + 22 || answer_code == kRefused * 100 + 14) << answer_code;
    return node.log().find("ejected r1") != std::string::npos;
  }));
  // Without any resolver, the answer is REFUSED with the extended error Not Ready.
  EXPECT_TRUE(Eventually([&] { return send_query() == kRefused * 100 + 14; }));
  only.SetScript(StandinResolver::Echo());
  EXPECT_TRUE(Eventually([&] {
    std::this_thread::sleep_for(milliseconds(50));
    return send_query() == 0;
  }));
}

// ---- Closed ports ----

TEST(Closed, PortIsReportedByTheSystemAndTheQueryIsRetriedElsewhere) {
  StandinResolver good(StandinResolver::Echo());
  const ClosedPort closed;
  Node node(DnsOnlyOptions(OperatorFile(ResolverList().Add("c", closed.address()).Add("g", good.address()))));
  ASSERT_TRUE(node.DnsListening());
  DnsUdpClient client(node.dns_port());
  std::uint16_t id = 0;
  EXPECT_TRUE(Eventually([&] {
    const Octets query = MakeQuery(QueryFor("a.org", ++id));
    EXPECT_EQ(client.Query(query), MakeAnswer(query));
    return node.log().find("ejected c") != std::string::npos;
  }));
}

// ---- Membership ----

TEST(Drain, NoAttemptStartsAtALeavingResolverAfterTheWindow) {
  const Script script = [](Responder& responder) {
    AnswerSpec spec;
    spec.truncated = responder.via() == Via::kUdp && NameOf(responder.query()).starts_with("t");
    const auto delay = milliseconds(NameOf(responder.query()) == "slow.org" ? 900 : 2);
    responder.SendAfter(delay, MakeAnswer(responder.query(), spec));
  };
  StandinResolver leaving(script);
  StandinResolver staying(script);
  Node node(
      DnsOnlyOptions(OperatorFile(ResolverList().Add("l", leaving.address()).Add("s", staying.address()))));
  ASSERT_TRUE(node.DnsListening());
  std::atomic<bool> stop{false};
  std::atomic<int> asked{0};
  std::atomic<int> answered{0};
  std::vector<std::thread> clients;
  for (int client_index = 0; client_index < 4; ++client_index) {
    clients.emplace_back([&, client_index] {
      DnsUdpClient udp(node.dns_port());
      DnsTcpClient tcp(node.dns_port());
      for (std::uint16_t id = 0; !stop; ++id) {
        // Over UDP, moved to TCP, and UPDATEs over TCP: both kinds of sockets are in use.
        ++asked;
        std::optional<Octets> answer;
        if (id % 3 == 0)
          answer = udp.Query(MakeQuery(QueryFor("a" + std::to_string(client_index) + ".org", id)));
        if (id % 3 == 1)
          answer = udp.Query(MakeQuery(QueryFor("t" + std::to_string(client_index) + ".org", id)));
        if (id % 3 == 2) answer = tcp.Query(MakeUpdate("z.org", id, "h" + std::to_string(client_index)));
        if (answer && RcodeOf(*answer) == 0 && !IsTruncated(*answer)) {
          ++answered;
        } else {
          ADD_FAILURE() << "query " << id << " of client " << client_index << ": "
                        << (answer ? "rcode " + std::to_string(RcodeOf(*answer)) + ", extended error " +
                                         std::to_string(ExtendedErrorOf(*answer)) +
                                         (IsTruncated(*answer) ? ", truncated" : "")
                                   : "no answer")
                        << '\n'
                        << node.log();
        }
      }
    });
  }
  ASSERT_TRUE(Eventually([&] { return leaving.udp_queries() > 20 && leaving.tcp_queries() > 20; }));
  // An attempt in flight at the draining resolver finishes there.
  DnsUdpClient slow(node.dns_port());
  for (std::uint16_t id = 0; id < 2; ++id) slow.Send(MakeQuery(QueryFor("slow.org", id)));
  ASSERT_TRUE(Eventually([&] { return leaving.queries() > 40; }));
  node.ReloadOperatorFile(
      OperatorFile(ResolverList().Add("l", leaving.address(), "leaving").Add("s", staying.address())));
  ASSERT_TRUE(
      Eventually([&] { return node.log().find(" info resolvers_reloaded file=") != std::string::npos; }));
  const auto notified = std::chrono::steady_clock::now();
  std::this_thread::sleep_until(notified + milliseconds(1200));
  stop = true;
  for (auto& client : clients) client.join();
  for (int i = 0; i < 2; ++i) EXPECT_TRUE(slow.Receive());
  EXPECT_EQ(asked, answered);
  for (const auto& seen : leaving.seen()) {
    EXPECT_LT(seen.at, notified + milliseconds(500)) << NameOf(seen.query);
  }
  // The draining resolver is removed from the list, and a new resolver is added.
  StandinResolver added(script);
  node.ReloadOperatorFile(OperatorFile(ResolverList().Add("s", staying.address()).Add("f", added.address())));
  DnsUdpClient client(node.dns_port());
  std::uint16_t id = 0;
  EXPECT_TRUE(Eventually([&] {
    EXPECT_TRUE(client.Query(MakeQuery(QueryFor("a.org", ++id))));
    return added.queries() > 3;
  }));
}

TEST(Reload, BadFileIsLoggedAndTheOldOneStays) {
  StandinResolver resolver(StandinResolver::Echo());
  const std::string file = OperatorFile(ResolverList().Add("r1", resolver.address()));
  Node node(DnsOnlyOptions(file));
  ASSERT_TRUE(node.DnsListening());
  node.ReloadOperatorFile(file + "surprise = 1\n");
  ASSERT_TRUE(Eventually(
      [&] { return node.log().find(" error configuration_not_taken cause=") != std::string::npos; }));
  EXPECT_NE(node.log().find("surprise"), std::string::npos);
  DnsUdpClient client(node.dns_port());
  EXPECT_TRUE(client.Query(MakeQuery({})));
  // Settings that need a restart are logged.
  node.ReloadOperatorFile(OperatorFile(ResolverList().Add("r1", resolver.address()), "udp_ports = 3\n"));
  EXPECT_TRUE(Eventually(
      [&] { return node.log().find(" warning changes_await_restart file=") != std::string::npos; }));
}

}  // namespace
}  // namespace mothrack::testing
