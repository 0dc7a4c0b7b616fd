// The real program between scripted resolvers and DNS clients. What the program forwards: answers unchanged
// over UDP and TCP, EDNS, failures of names and of resolvers, and what it answers itself.
#include <atomic>
#include <chrono>
#include <csignal>
#include <cstdint>
#include <set>
#include <string>
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

// ---- Forwarding ----

TEST(Dns, ForwardsAnswersUnchangedOverUdpAndTcp) {
  StandinResolver resolver(StandinResolver::Echo());
  Node node(DnsOnlyOptions(OperatorFile(ResolverList().Add("r1", resolver.address()))));
  ASSERT_TRUE(node.DnsListening());
  const Octets query = MakeQuery(QueryFor("WwW.Example.org", 0x4711));
  DnsUdpClient udp(node.dns_port());
  const auto datagram = udp.Query(query);
  ASSERT_TRUE(datagram);
  EXPECT_EQ(*datagram, MakeAnswer(query));
  DnsTcpClient tcp(node.dns_port());
  const auto message = tcp.Query(query);
  ASSERT_TRUE(message);
  EXPECT_EQ(*message, MakeAnswer(query));
  EXPECT_EQ(resolver.queries(), 2);
  EXPECT_EQ(NameOf(resolver.seen()[0].query), "WwW.Example.org");
}

TEST(Dns, AttemptsHaveIdsAndPortsOfTheirOwn) {
  StandinResolver resolver(StandinResolver::Echo());
  Node node(DnsOnlyOptions(OperatorFile(ResolverList().Add("r1", resolver.address()))));
  ASSERT_TRUE(node.DnsListening());
  DnsUdpClient client(node.dns_port());
  constexpr int kQueries = 300;
  for (int i = 0; i < kQueries; ++i)
    ASSERT_TRUE(client.Query(MakeQuery(QueryFor("n" + std::to_string(i) + ".org", 7))));
  std::set<std::uint16_t> ids;
  std::set<std::uint16_t> ports;
  std::set<int> steps;
  const auto seen = resolver.seen();
  for (std::size_t i = 0; i < seen.size(); ++i) {
    ids.insert(IdOf(seen[i].query));
    ports.insert(seen[i].from_port);
    if (i > 0) steps.insert(IdOf(seen[i].query) - IdOf(seen[i - 1].query));
  }
  // Two of 300 random ids coincide in about one run of two; a dozen practically never do.
  EXPECT_GT(ids.size(), kQueries - 12U);
  EXPECT_GT(steps.size(), kQueries - 24U) << "predictable ids";
  EXPECT_GE(ports.size(), 16U);
  EXPECT_LE(node.descriptors(), 64);
}

TEST(Dns, TcpQueriesAreAnsweredAsAnswersArrive) {
  StandinResolver resolver([](Responder& responder) {
    if (NameOf(responder.query()) == "slow.org") {
      responder.SendAfter(milliseconds(300), MakeAnswer(responder.query()));
    } else {
      responder.Answer();
    }
  });
  Node node(DnsOnlyOptions(OperatorFile(ResolverList().Add("r1", resolver.address()))));
  ASSERT_TRUE(node.DnsListening());
  DnsTcpClient client(node.dns_port());
  client.Send(MakeQuery(QueryFor("slow.org", 1)));
  client.Send(MakeQuery(QueryFor("fast.org", 2)));
  client.Send(MakeQuery(QueryFor("fast.org", 3)));
  std::vector<int> answer_ids;
  for (int i = 0; i < 3; ++i) {
    const auto answer = client.Receive();
    ASSERT_TRUE(answer);
    answer_ids.push_back(IdOf(*answer));
  }
  EXPECT_EQ(answer_ids.back(), 1);
}

TEST(Dns, ClientThatEndsItsSendingStillGetsItsAnswers) {
  StandinResolver resolver(
      [](Responder& responder) { responder.SendAfter(milliseconds(100), MakeAnswer(responder.query())); });
  Node node(DnsOnlyOptions(OperatorFile(ResolverList().Add("r1", resolver.address()))));
  ASSERT_TRUE(node.DnsListening());
  DnsTcpClient client(node.dns_port());
  client.Send(MakeQuery(QueryFor("a.org", 1)));
  client.EndSending();
  EXPECT_TRUE(client.Receive());
  EXPECT_TRUE(client.ReadsEnd());
}

TEST(Dns, HttpAndDnsRunSideBySide) {
  StandinResolver resolver(StandinResolver::Echo());
  Upstream upstream(Upstream::Echo("u"));
  Node::Options options;
  options.known = List({Target("u1", upstream.address())});
  options.operator_file = OperatorFile(ResolverList().Add("r1", resolver.address()));
  Node node(options);
  ASSERT_TRUE(node.Listening());
  ASSERT_TRUE(node.DnsListening());
  Client http(node.port());
  const auto response = http.Get("/page/k", "r1");
  ASSERT_TRUE(response);
  EXPECT_EQ(response->result_int(), 200U);
  DnsUdpClient client(node.dns_port());
  EXPECT_TRUE(client.Query(MakeQuery({})));
  node.Signal(SIGTERM);
  EXPECT_EQ(node.Wait(), 0);
}

// ---- EDNS ----

TEST(Edns, SizesAreHonouredBothWays) {
  std::atomic<int> records{40};
  StandinResolver resolver([&](Responder& responder) {
    AnswerSpec spec;
    spec.records = records;
    spec.edns_size = 4096;
    responder.Answer(spec);
  });
  Node node(DnsOnlyOptions(OperatorFile(ResolverList().Add("r1", resolver.address()))));
  ASSERT_TRUE(node.DnsListening());
  DnsUdpClient client(node.dns_port());
  // 40 records take at least 684 bytes: too many for a client without EDNS or with a limit of 600 bytes.
  const struct {
    int client_edns_size;
    int records;
    bool whole;
  } cases[] = {{-1, 40, false}, {600, 40, false}, {100, 20, true},  {100, 40, false},
               {900, 40, true}, {4096, 40, true}, {4096, 80, false}};
  std::uint16_t id = 0;
  for (const auto& test_case : cases) {
    records = test_case.records;
    QuerySpec spec = QueryFor("big.org", ++id);
    spec.edns_size = test_case.client_edns_size;
    const auto answer = client.Query(MakeQuery(spec));
    ASSERT_TRUE(answer);
    EXPECT_EQ(IsTruncated(*answer), !test_case.whole) << test_case.client_edns_size;
    EXPECT_EQ(AnswersOf(*answer), test_case.whole ? test_case.records : 0) << test_case.client_edns_size;
    EXPECT_EQ(QuestionOf(*answer), QuestionOf(MakeQuery(spec)));
    EXPECT_EQ(EdnsSizeOf(*answer), test_case.client_edns_size < 0 ? -1 : 1232) << test_case.client_edns_size;
    EXPECT_EQ(EdnsSizeOf(resolver.seen().back().query), test_case.client_edns_size < 0 ? -1 : 1232)
        << test_case.client_edns_size;
  }
  // Over TCP the answer is complete.
  DnsTcpClient tcp(node.dns_port());
  const auto answer = tcp.Query(MakeQuery(QueryFor("big.org", 99)));
  ASSERT_TRUE(answer);
  EXPECT_EQ(AnswersOf(*answer), 80);
}

TEST(Edns, HopByHopOptionsAreNotForwarded) {
  StandinResolver resolver(StandinResolver::Echo());
  Node node(DnsOnlyOptions(OperatorFile(ResolverList().Add("r1", resolver.address()))));
  ASSERT_TRUE(node.DnsListening());
  QuerySpec spec;
  spec.edns_size = 1232;
  const Octets cookie = {0, 10, 0, 8, 1, 2, 3, 4, 5, 6, 7, 8};
  const Octets subnet = {0, 8, 0, 4, 0, 1, 0, 0};
  spec.edns_options = cookie;
  spec.edns_options.insert(spec.edns_options.end(), subnet.begin(), subnet.end());
  DnsUdpClient client(node.dns_port());
  ASSERT_TRUE(client.Query(MakeQuery(spec)));
  Octets sent = resolver.seen()[0].query;
  spec.edns_options = subnet;
  Octets expected = MakeQuery(spec);
  SetId(sent, 0);
  SetId(expected, 0);
  EXPECT_EQ(sent, expected);
}

TEST(Edns, UnknownVersionIsAnsweredBadVers) {
  StandinResolver resolver(StandinResolver::Echo());
  Node node(DnsOnlyOptions(OperatorFile(ResolverList().Add("r1", resolver.address()))));
  ASSERT_TRUE(node.DnsListening());
  QuerySpec spec;
  spec.edns_size = 1232;
  spec.edns_version = 1;
  DnsUdpClient client(node.dns_port());
  const auto answer = client.Query(MakeQuery(spec));
  ASSERT_TRUE(answer);
  EXPECT_EQ(RcodeOf(*answer), 0);
  EXPECT_EQ((*answer)[answer->size() - 6], 1) << "the upper bits of BADVERS";
  EXPECT_EQ(resolver.queries(), 0);
}

// ---- Messages that are not forwarded ----

TEST(Dns, UnknownOpcodesAndTransfersAreRejected) {
  StandinResolver resolver(StandinResolver::Echo());
  Node node(DnsOnlyOptions(OperatorFile(ResolverList().Add("r1", resolver.address()))));
  ASSERT_TRUE(node.DnsListening());
  DnsUdpClient client(node.dns_port());
  for (const std::uint8_t opcode : {1, 2, 3, 6, 15}) {
    QuerySpec spec;
    spec.opcode = opcode;
    const auto answer = client.Query(MakeQuery(spec));
    ASSERT_TRUE(answer) << int{opcode};
    EXPECT_EQ(RcodeOf(*answer), kNotImp) << int{opcode};
  }
  DnsTcpClient tcp(node.dns_port());
  for (const std::uint16_t type : {251, 252}) {
    QuerySpec spec;
    spec.type = type;
    spec.edns_size = 1232;
    const auto answer = tcp.Query(MakeQuery(spec));
    ASSERT_TRUE(answer);
    EXPECT_EQ(RcodeOf(*answer), kRefused);
    EXPECT_EQ(ExtendedErrorOf(*answer), 21);
  }
  EXPECT_EQ(resolver.queries(), 0);
}

TEST(Dns, ResolversOwnFailureIsForwarded) {
  AnswerSpec failed;
  failed.rcode = kServFail;
  failed.edns_size = 1232;
  failed.extended_error = 13;
  StandinResolver one([&](Responder& responder) { responder.Answer(failed); });
  StandinResolver two([&](Responder& responder) { responder.Answer(failed); });
  Node node(DnsOnlyOptions(OperatorFile(ResolverList().Add("r1", one.address()).Add("r2", two.address()))));
  ASSERT_TRUE(node.DnsListening());
  QuerySpec spec;
  spec.edns_size = 1232;
  DnsUdpClient client(node.dns_port());
  const auto answer = client.Query(MakeQuery(spec));
  ASSERT_TRUE(answer);
  EXPECT_EQ(RcodeOf(*answer), kServFail);
  EXPECT_EQ(ExtendedErrorOf(*answer), 13);
  EXPECT_GE(one.queries(), 1);
  EXPECT_GE(two.queries(), 1);
}

// A name with broken signatures fails at every resolver: no retry, no ejection.
TEST(Dns, FailureOfTheNameIsNoFailureOfTheResolver) {
  AnswerSpec bogus;
  bogus.rcode = kServFail;
  bogus.extended_error = 6;
  StandinResolver one([&](Responder& responder) { responder.Answer(bogus); });
  StandinResolver two([&](Responder& responder) { responder.Answer(bogus); });
  Node node(DnsOnlyOptions(OperatorFile(ResolverList().Add("r1", one.address()).Add("r2", two.address()))));
  ASSERT_TRUE(node.DnsListening());
  DnsUdpClient client(node.dns_port());
  constexpr int kQueries = 30;
  for (int i = 0; i < kQueries; ++i) {
    QuerySpec spec = QueryFor("bogus.org", static_cast<std::uint16_t>(i));
    spec.edns_size = 1232;
    const auto answer = client.Query(MakeQuery(spec));
    ASSERT_TRUE(answer);
    EXPECT_EQ(ExtendedErrorOf(*answer), 6);
  }
  // One attempt each; on a slow machine a few may be hedged, but not each retried.
  EXPECT_LE(one.queries() + two.queries(), kQueries + kQueries / 2);
  EXPECT_EQ(node.log().find("ejected"), std::string::npos);
}

}  // namespace
}  // namespace mothrack::testing
