// The real program between stand-in resolvers and DNS clients: queries sent to each resolver and answers per
// client query are counted in each case that can go wrong.

#include <algorithm>
#include <atomic>
#include <chrono>
#include <csignal>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "gtest/gtest.h"
#include "standins/dns_client.h"
#include "standins/peers.h"
#include "standins/resolver.h"

namespace mothrack::testing {
namespace {

using std::chrono::milliseconds;
using Script = StandinResolver::Script;
using Turn = StandinResolver::Turn;
using Via = StandinResolver::Via;

constexpr int kFormErr = 1;
constexpr int kServFail = 2;
constexpr int kNotImp = 4;
constexpr int kRefused = 5;
// Long enough for what must not come to have come on a busy machine, short enough to wait for often.
constexpr milliseconds kQuiet{150};

struct Upstreams {
  std::string text;
  Upstreams& Add(const std::string& uid, const std::string& endpoint, const std::string& state = "active") {
    text += "[[dns.resolver]]\nuid = \"" + uid + "\"\nendpoint = \"" + endpoint + "\"\nstate = \"" + state +
            "\"\n";
    return *this;
  }
};

std::string File(const Upstreams& upstreams, const std::string& dns = "", const std::string& top = "") {
  return top + "[dns]\nlisten = [\"127.0.0.1:0\"]\n" + dns + "\n" + upstreams.text;
}

Node::Options DnsOnly(const std::string& file) {
  Node::Options options;
  options.platform = false;
  options.operator_file = file;
  return options;
}

QuerySpec Named(const std::string& name, std::uint16_t id = 0x1234) {
  QuerySpec spec;
  spec.name = name;
  spec.id = id;
  return spec;
}

// A counter of the program's account, which it logs when it is told to read its file again.
long Counted(Node& node, const std::string& file, const std::string& name) {
  const std::size_t before = node.log().size();
  node.ReloadOperatorFile(file);
  const std::string mark = " " + name + "=";
  std::size_t at = std::string::npos;
  if (!Eventually([&] {
        at = node.log().find(mark, before);
        return at != std::string::npos && node.log().find("read again", at) != std::string::npos;
      })) {
    return -1;
  }
  return std::stol(node.log().substr(at + mark.size()));
}

// The scripts of one test share this: which query is the first of all, at whichever resolver.
struct Order {
  std::atomic<int> queries{0};
};

// ---- Passing on ----

TEST(Dns, PassesAnswersOnUnchangedOverUdpAndTcp) {
  StandinResolver resolver(StandinResolver::Echo());
  Node node(DnsOnly(File(Upstreams().Add("r1", resolver.address()))));
  ASSERT_TRUE(node.DnsListening());
  const Octets query = MakeQuery(Named("WwW.Example.org", 0x4711));
  DnsUdpClient udp(node.dns_port());
  const auto datagram = udp.Ask(query);
  ASSERT_TRUE(datagram);
  EXPECT_EQ(*datagram, MakeAnswer(query));
  DnsTcpClient tcp(node.dns_port());
  const auto message = tcp.Ask(query);
  ASSERT_TRUE(message);
  EXPECT_EQ(*message, MakeAnswer(query));
  EXPECT_EQ(resolver.queries(), 2);
  EXPECT_EQ(NameOf(resolver.seen()[0].query), "WwW.Example.org");
}

TEST(Dns, AttemptsHaveIdsAndPortsOfTheirOwn) {
  StandinResolver resolver(StandinResolver::Echo());
  Node node(DnsOnly(File(Upstreams().Add("r1", resolver.address()))));
  ASSERT_TRUE(node.DnsListening());
  DnsUdpClient client(node.dns_port());
  constexpr int kQueries = 300;
  for (int i = 0; i < kQueries; ++i)
    ASSERT_TRUE(client.Ask(MakeQuery(Named("n" + std::to_string(i) + ".org", 7))));
  std::set<std::uint16_t> ids;
  std::set<std::uint16_t> ports;
  std::set<int> steps;
  const auto seen = resolver.seen();
  for (std::size_t i = 0; i < seen.size(); ++i) {
    ids.insert(IdOf(seen[i].query));
    ports.insert(seen[i].from_port);
    if (i > 0) steps.insert(IdOf(seen[i].query) - IdOf(seen[i - 1].query));
  }
  // By chance two of 300 ids are the same about once in two runs; a dozen of them never.
  EXPECT_GT(ids.size(), kQueries - 12U);
  EXPECT_GT(steps.size(), kQueries - 24U) << "ids that can be counted on";
  EXPECT_GE(ports.size(), 16U);
  EXPECT_LE(node.descriptors(), 64);
}

TEST(Dns, TcpQueriesAreAnsweredAsTheirAnswersCome) {
  StandinResolver resolver([](Turn& turn) {
    if (NameOf(turn.query()) == "slow.org") {
      turn.SendAfter(milliseconds(300), MakeAnswer(turn.query()));
    } else {
      turn.Answer();
    }
  });
  Node node(DnsOnly(File(Upstreams().Add("r1", resolver.address()))));
  ASSERT_TRUE(node.DnsListening());
  DnsTcpClient client(node.dns_port());
  client.Send(MakeQuery(Named("slow.org", 1)));
  client.Send(MakeQuery(Named("fast.org", 2)));
  client.Send(MakeQuery(Named("fast.org", 3)));
  std::vector<int> order;
  for (int i = 0; i < 3; ++i) {
    const auto answer = client.Receive();
    ASSERT_TRUE(answer);
    order.push_back(IdOf(*answer));
  }
  EXPECT_EQ(order.back(), 1);
}

TEST(Dns, ClientThatEndsItsSendingStillGetsItsAnswers) {
  StandinResolver resolver([](Turn& turn) { turn.SendAfter(milliseconds(100), MakeAnswer(turn.query())); });
  Node node(DnsOnly(File(Upstreams().Add("r1", resolver.address()))));
  ASSERT_TRUE(node.DnsListening());
  DnsTcpClient client(node.dns_port());
  client.Send(MakeQuery(Named("a.org", 1)));
  client.EndSending();
  EXPECT_TRUE(client.Receive());
  EXPECT_TRUE(client.ReadsEnd());
}

TEST(Dns, HttpAndDnsRunBesideEachOther) {
  StandinResolver resolver(StandinResolver::Echo());
  Upstream upstream(Upstream::Echo("u"));
  Node::Options options;
  options.known = List({Target("u1", upstream.address())});
  options.operator_file = File(Upstreams().Add("r1", resolver.address()));
  Node node(options);
  ASSERT_TRUE(node.Listening());
  ASSERT_TRUE(node.DnsListening());
  Client http(node.port());
  const auto response = http.Get("/page/k", "r1");
  ASSERT_TRUE(response);
  EXPECT_EQ(response->result_int(), 200U);
  DnsUdpClient client(node.dns_port());
  EXPECT_TRUE(client.Ask(MakeQuery({})));
  node.Signal(SIGTERM);
  EXPECT_EQ(node.Wait(), 0);
}

// ---- EDNS ----

TEST(Edns, SizesAreHonouredBothWays) {
  std::atomic<int> records{40};
  StandinResolver resolver([&](Turn& turn) {
    AnswerSpec spec;
    spec.records = records;
    spec.edns_size = 4096;
    turn.Answer(spec);
  });
  Node node(DnsOnly(File(Upstreams().Add("r1", resolver.address()))));
  ASSERT_TRUE(node.DnsListening());
  DnsUdpClient client(node.dns_port());
  // 40 records take 684 bytes and more: too much for one that speaks no EDNS, or takes 600 bytes.
  const struct {
    int asked;
    int records;
    bool whole;
  } cases[] = {{-1, 40, false}, {600, 40, false}, {100, 20, true},  {100, 40, false},
               {900, 40, true}, {4096, 40, true}, {4096, 80, false}};
  std::uint16_t id = 0;
  for (const auto& c : cases) {
    records = c.records;
    QuerySpec spec = Named("big.org", ++id);
    spec.edns_size = c.asked;
    const auto answer = client.Ask(MakeQuery(spec));
    ASSERT_TRUE(answer);
    EXPECT_EQ(IsTruncated(*answer), !c.whole) << c.asked;
    EXPECT_EQ(AnswersOf(*answer), c.whole ? c.records : 0) << c.asked;
    EXPECT_EQ(QuestionOf(*answer), QuestionOf(MakeQuery(spec)));
    EXPECT_EQ(EdnsSizeOf(*answer), c.asked < 0 ? -1 : 1232) << c.asked;
    EXPECT_EQ(EdnsSizeOf(resolver.seen().back().query), c.asked < 0 ? -1 : 1232) << c.asked;
  }
  // Over TCP it comes whole.
  DnsTcpClient tcp(node.dns_port());
  const auto answer = tcp.Ask(MakeQuery(Named("big.org", 99)));
  ASSERT_TRUE(answer);
  EXPECT_EQ(AnswersOf(*answer), 80);
}

TEST(Edns, OptionsOfOneHopStayBehind) {
  StandinResolver resolver(StandinResolver::Echo());
  Node node(DnsOnly(File(Upstreams().Add("r1", resolver.address()))));
  ASSERT_TRUE(node.DnsListening());
  QuerySpec spec;
  spec.edns_size = 1232;
  const Octets cookie = {0, 10, 0, 8, 1, 2, 3, 4, 5, 6, 7, 8};
  const Octets subnet = {0, 8, 0, 4, 0, 1, 0, 0};
  spec.edns_options = cookie;
  spec.edns_options.insert(spec.edns_options.end(), subnet.begin(), subnet.end());
  DnsUdpClient client(node.dns_port());
  ASSERT_TRUE(client.Ask(MakeQuery(spec)));
  Octets sent = resolver.seen()[0].query;
  spec.edns_options = subnet;
  Octets expected = MakeQuery(spec);
  SetId(sent, 0);
  SetId(expected, 0);
  EXPECT_EQ(sent, expected);
}

TEST(Edns, UnknownVersionIsToldSo) {
  StandinResolver resolver(StandinResolver::Echo());
  Node node(DnsOnly(File(Upstreams().Add("r1", resolver.address()))));
  ASSERT_TRUE(node.DnsListening());
  QuerySpec spec;
  spec.edns_size = 1232;
  spec.edns_version = 1;
  DnsUdpClient client(node.dns_port());
  const auto answer = client.Ask(MakeQuery(spec));
  ASSERT_TRUE(answer);
  EXPECT_EQ(RcodeOf(*answer), 0);
  EXPECT_EQ((*answer)[answer->size() - 6], 1) << "the upper bits of BADVERS";
  EXPECT_EQ(resolver.queries(), 0);
}

// ---- What is not passed on ----

TEST(Dns, UnknownOpcodesAndTransfersAreTurnedAway) {
  StandinResolver resolver(StandinResolver::Echo());
  Node node(DnsOnly(File(Upstreams().Add("r1", resolver.address()))));
  ASSERT_TRUE(node.DnsListening());
  DnsUdpClient client(node.dns_port());
  for (const std::uint8_t opcode : {1, 2, 3, 6, 15}) {
    QuerySpec spec;
    spec.opcode = opcode;
    const auto answer = client.Ask(MakeQuery(spec));
    ASSERT_TRUE(answer) << int{opcode};
    EXPECT_EQ(RcodeOf(*answer), kNotImp) << int{opcode};
  }
  DnsTcpClient tcp(node.dns_port());
  for (const std::uint16_t type : {251, 252}) {
    QuerySpec spec;
    spec.type = type;
    spec.edns_size = 1232;
    const auto answer = tcp.Ask(MakeQuery(spec));
    ASSERT_TRUE(answer);
    EXPECT_EQ(RcodeOf(*answer), kRefused);
    EXPECT_EQ(ExtendedErrorOf(*answer), 21);
  }
  EXPECT_EQ(resolver.queries(), 0);
}

TEST(Dns, ResolversOwnFailureIsPassedOn) {
  AnswerSpec failed;
  failed.rcode = kServFail;
  failed.edns_size = 1232;
  failed.extended_error = 13;
  StandinResolver one([&](Turn& turn) { turn.Answer(failed); });
  StandinResolver two([&](Turn& turn) { turn.Answer(failed); });
  Node node(DnsOnly(File(Upstreams().Add("r1", one.address()).Add("r2", two.address()))));
  ASSERT_TRUE(node.DnsListening());
  QuerySpec spec;
  spec.edns_size = 1232;
  DnsUdpClient client(node.dns_port());
  const auto answer = client.Ask(MakeQuery(spec));
  ASSERT_TRUE(answer);
  EXPECT_EQ(RcodeOf(*answer), kServFail);
  EXPECT_EQ(ExtendedErrorOf(*answer), 13);
  EXPECT_GE(one.queries(), 1);
  EXPECT_GE(two.queries(), 1);
}

// A name whose signatures are broken is so at every resolver: nobody else is asked, nobody is ejected for it.
TEST(Dns, FailureOfTheNameIsNoFailureOfTheResolver) {
  AnswerSpec bogus;
  bogus.rcode = kServFail;
  bogus.extended_error = 6;
  StandinResolver one([&](Turn& turn) { turn.Answer(bogus); });
  StandinResolver two([&](Turn& turn) { turn.Answer(bogus); });
  Node node(DnsOnly(File(Upstreams().Add("r1", one.address()).Add("r2", two.address()))));
  ASSERT_TRUE(node.DnsListening());
  DnsUdpClient client(node.dns_port());
  constexpr int kQueries = 30;
  for (int i = 0; i < kQueries; ++i) {
    QuerySpec spec = Named("bogus.org", static_cast<std::uint16_t>(i));
    spec.edns_size = 1232;
    const auto answer = client.Ask(MakeQuery(spec));
    ASSERT_TRUE(answer);
    EXPECT_EQ(ExtendedErrorOf(*answer), 6);
  }
  // One each; a machine that is slow for a moment may add a second copy of a few, never a retry of each.
  EXPECT_LE(one.queries() + two.queries(), kQueries + kQueries / 2);
  EXPECT_EQ(node.log().find("ejected"), std::string::npos);
}

// ---- Truncation ----

TEST(Truncated, MovesToTcpAtTheSameResolver) {
  StandinResolver resolver([](Turn& turn) {
    AnswerSpec spec;
    spec.truncated = turn.via() == Via::kUdp;
    spec.records = 3;
    turn.Answer(spec);
  });
  Node node(DnsOnly(File(Upstreams().Add("r1", resolver.address()))));
  ASSERT_TRUE(node.DnsListening());
  DnsUdpClient client(node.dns_port());
  for (std::uint16_t id = 0; id < 20; ++id) {
    const auto answer = client.Ask(MakeQuery(Named("a.org", id)));
    ASSERT_TRUE(answer);
    EXPECT_FALSE(IsTruncated(*answer));
    EXPECT_EQ(AnswersOf(*answer), 3);
  }
  EXPECT_EQ(resolver.udp_queries(), 20);
  EXPECT_EQ(resolver.tcp_queries(), 20);
  EXPECT_EQ(resolver.connections(), 1) << "pooled";
}

// The first attempt is out and silent; its copy is truncated at the other resolver and moves to TCP there.
// Whichever answers first, the client gets one answer and no second.
TEST(Truncated, PartwayThroughARetryWithAnEarlierAttemptStillOut) {
  for (const bool first_wins : {false, true}) {
    Order order;
    std::atomic<bool> move_done{false};
    const Script script = [&](Turn& turn) {
      if (turn.via() == Via::kTcp) {
        move_done = true;
        AnswerSpec spec;
        spec.records = 5;
        turn.SendAfter(milliseconds(first_wins ? 1500 : 0), MakeAnswer(turn.query(), spec));
      } else if (order.queries++ == 0) {
        // Later than the copy, which goes out at 750 ms.
        turn.SendAfter(milliseconds(first_wins ? 1000 : 1500), MakeAnswer(turn.query()));
      } else {
        AnswerSpec spec;
        spec.truncated = true;
        turn.Answer(spec);
      }
    };
    StandinResolver one(script);
    StandinResolver two(script);
    Node node(DnsOnly(File(Upstreams().Add("r1", one.address()).Add("r2", two.address()))));
    ASSERT_TRUE(node.DnsListening());
    DnsUdpClient client(node.dns_port());
    const auto answer = client.Ask(MakeQuery(Named("a.org")));
    ASSERT_TRUE(answer);
    EXPECT_TRUE(move_done);
    EXPECT_EQ(AnswersOf(*answer), first_wins ? 1 : 5);
    EXPECT_FALSE(client.Receive(milliseconds(1200))) << "a second answer";
    EXPECT_EQ(one.udp_queries() + two.udp_queries(), 2);
    EXPECT_EQ(one.tcp_queries() + two.tcp_queries(), 1);
    // The move stayed at the resolver that truncated.
    StandinResolver& truncating = one.tcp_queries() == 1 ? one : two;
    EXPECT_EQ(truncating.udp_queries(), 1);
  }
}

TEST(Truncated, TcpRefusedIsTriedElsewhere) {
  const Script truncating = [](Turn& turn) {
    AnswerSpec spec;
    spec.truncated = true;
    turn.Answer(spec);
  };
  StandinResolver refusing(truncating, false);
  StandinResolver good(StandinResolver::Echo());
  Node node(DnsOnly(File(Upstreams().Add("r1", refusing.address()).Add("r2", good.address()))));
  ASSERT_TRUE(node.DnsListening());
  DnsUdpClient client(node.dns_port());
  for (std::uint16_t id = 0; id < 8; ++id) {
    const auto answer = client.Ask(MakeQuery(Named("a.org", id)));
    ASSERT_TRUE(answer);
    EXPECT_FALSE(IsTruncated(*answer));
    EXPECT_EQ(AnswersOf(*answer), 1);
  }
  EXPECT_GE(refusing.udp_queries(), 1);
}

// Where TCP comes to nothing at the only resolver, the client is told what is known: truncated.
TEST(Truncated, WithoutTcpTheTruncatedAnswerIsPassedOn) {
  enum class Way { kRefused, kSilent, kCut, kTruncatedAgain };
  for (const Way way : {Way::kRefused, Way::kSilent, Way::kCut, Way::kTruncatedAgain}) {
    StandinResolver resolver(
        [way](Turn& turn) {
          if (turn.via() == Via::kTcp && way == Way::kSilent) return;
          if (turn.via() == Via::kTcp && way == Way::kCut) {
            turn.SendRaw({0, 40, 1, 2, 3});
            return turn.Reset();
          }
          AnswerSpec spec;
          spec.truncated = true;
          turn.Answer(spec);
        },
        way != Way::kRefused);
    const std::string classes =
        "[[dns.class]]\nname = \"query\"\nopcode = \"QUERY\"\naim_ms = 200\ndeadline_ms = 400\n";
    Node node(DnsOnly(File(Upstreams().Add("r1", resolver.address()), classes)));
    ASSERT_TRUE(node.DnsListening());
    DnsUdpClient client(node.dns_port());
    const auto answer = client.Ask(MakeQuery(Named("a.org")));
    ASSERT_TRUE(answer) << static_cast<int>(way);
    EXPECT_FALSE(client.Receive(kQuiet)) << static_cast<int>(way);
    if (way == Way::kSilent) {
      // At its deadline nothing has ended yet: the attempt is still out.
      EXPECT_EQ(RcodeOf(*answer), kServFail);
    } else {
      EXPECT_TRUE(IsTruncated(*answer)) << static_cast<int>(way);
    }
  }
}

// ---- Silence ----

TEST(Silent, ResolverIsEjectedAndItsClientsAreServedByTheOthers) {
  StandinResolver silent(StandinResolver::Silent());
  StandinResolver good(StandinResolver::Echo());
  StandinResolver better(StandinResolver::Echo());
  Node node(DnsOnly(
      File(Upstreams().Add("s", silent.address()).Add("g", good.address()).Add("b", better.address()))));
  ASSERT_TRUE(node.DnsListening());
  DnsUdpClient client(node.dns_port());
  std::uint16_t id = 0;
  const auto ask = [&] {
    const Octets query = MakeQuery(Named("a.org", ++id));
    const auto answer = client.Ask(query);
    return answer && *answer == MakeAnswer(query);
  };
  ASSERT_TRUE(Eventually([&] {
    EXPECT_TRUE(ask());
    return node.log().find("ejected s") != std::string::npos;
  }));
  const int before = silent.queries();
  for (int i = 0; i < 200; ++i) ASSERT_TRUE(ask());
  // Only trials, whose clients do not depend on them.
  EXPECT_LE(silent.queries() - before, 4);
  // It is back: trials find out, long before its ejection ends.
  silent.Play(StandinResolver::Echo());
  ASSERT_TRUE(Eventually([&] {
    EXPECT_TRUE(ask());
    return node.log().find("returned s") != std::string::npos;
  }));
  const int returned = silent.queries();
  for (int i = 0; i < 60; ++i) ASSERT_TRUE(ask());
  EXPECT_GT(silent.queries(), returned);
}

TEST(Silent, AllOfThemIsToldAtTheDeadlineOnce) {
  StandinResolver one(StandinResolver::Silent());
  StandinResolver two(StandinResolver::Silent());
  const std::string classes =
      "[[dns.class]]\nname = \"query\"\nopcode = \"QUERY\"\naim_ms = 200\ndeadline_ms = 400\n";
  Node node(DnsOnly(File(Upstreams().Add("r1", one.address()).Add("r2", two.address()), classes)));
  ASSERT_TRUE(node.DnsListening());
  DnsUdpClient client(node.dns_port());
  constexpr int kQueries = 50;
  for (std::uint16_t id = 0; id < kQueries; ++id) {
    QuerySpec spec = Named("a.org", id);
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
  EXPECT_FALSE(client.Receive(kQuiet));
}

TEST(Silent, AllEjectedIsToldAtOnceAndTriedAgain) {
  StandinResolver only(StandinResolver::Silent());
  const std::string classes =
      "[[dns.class]]\nname = \"query\"\nopcode = \"QUERY\"\naim_ms = 50\ndeadline_ms = 100\n";
  Node node(DnsOnly(File(Upstreams().Add("r1", only.address()), classes)));
  ASSERT_TRUE(node.DnsListening());
  DnsUdpClient client(node.dns_port());
  std::uint16_t id = 0;
  const auto ask = [&] {
    QuerySpec spec = Named("a.org", ++id);
    spec.edns_size = 1232;
    const auto answer = client.Ask(MakeQuery(spec));
    return answer ? RcodeOf(*answer) * 100 + std::max(0, ExtendedErrorOf(*answer)) : -1;
  };
  ASSERT_TRUE(Eventually([&] {
    const int told = ask();
    EXPECT_TRUE(told == kServFail * 100 + 22 || told == kRefused * 100 + 14) << told;
    return node.log().find("ejected r1") != std::string::npos;
  }));
  // No resolver to send it to: REFUSED, not ready.
  EXPECT_TRUE(Eventually([&] { return ask() == kRefused * 100 + 14; }));
  only.Play(StandinResolver::Echo());
  EXPECT_TRUE(Eventually([&] {
    std::this_thread::sleep_for(milliseconds(50));
    return ask() == 0;
  }));
}

// ---- Closed ports ----

TEST(Closed, PortIsToldByTheSystemAndTheQueryGoesElsewhere) {
  StandinResolver good(StandinResolver::Echo());
  Refusing closed;  // nobody listens there, over UDP neither
  Node node(DnsOnly(File(Upstreams().Add("c", closed.address()).Add("g", good.address()))));
  ASSERT_TRUE(node.DnsListening());
  DnsUdpClient client(node.dns_port());
  std::uint16_t id = 0;
  EXPECT_TRUE(Eventually([&] {
    const Octets query = MakeQuery(Named("a.org", ++id));
    EXPECT_EQ(client.Ask(query), MakeAnswer(query));
    return node.log().find("ejected c") != std::string::npos;
  }));
}

// ---- Updates ----

TEST(Update, RunsOnce) {
  StandinResolver resolver(StandinResolver::Echo());
  Node node(DnsOnly(File(Upstreams().Add("r1", resolver.address()))));
  ASSERT_TRUE(node.DnsListening());
  DnsUdpClient client(node.dns_port());
  const Octets update = MakeUpdate("example.org", 77, "host");
  const auto answer = client.Ask(update);
  ASSERT_TRUE(answer);
  EXPECT_EQ(RcodeOf(*answer), 0);
  // Its answer was lost on the way: the same again gets the same, and nothing runs.
  for (int i = 0; i < 3; ++i) EXPECT_EQ(client.Ask(update), answer);
  EXPECT_EQ(resolver.queries(), 1);
  // Another one under the same id is another one.
  ASSERT_TRUE(client.Ask(MakeUpdate("example.org", 77, "other")));
  EXPECT_EQ(resolver.queries(), 2);
}

TEST(Update, IsNotSentAgainWhenItMayHaveRun) {
  enum class Way { kSilent, kReset, kTruncated };
  for (const Way way : {Way::kSilent, Way::kReset, Way::kTruncated}) {
    const Script script = [way](Turn& turn) {
      AnswerSpec spec;
      spec.truncated = true;
      if (way == Way::kReset) return turn.Reset();
      if (way == Way::kTruncated) return turn.Answer(spec);
    };
    StandinResolver one(script);
    StandinResolver two(script);
    const std::string classes =
        "[[dns.class]]\nname = \"update\"\nopcode = \"UPDATE\"\naim_ms = 200\ndeadline_ms = 400\n";
    Node node(DnsOnly(File(Upstreams().Add("r1", one.address()).Add("r2", two.address()), classes)));
    ASSERT_TRUE(node.DnsListening());
    Octets update = MakeUpdate("example.org", 5, "host");
    std::optional<Octets> answer;
    if (way == Way::kReset) {
      DnsTcpClient client(node.dns_port());
      answer = client.Ask(update);
    } else {
      DnsUdpClient client(node.dns_port());
      answer = client.Ask(update);
      EXPECT_EQ(client.Ask(update), answer) << "no second run";
    }
    ASSERT_TRUE(answer) << static_cast<int>(way);
    EXPECT_EQ(RcodeOf(*answer), kServFail);
    std::this_thread::sleep_for(kQuiet);
    EXPECT_EQ(one.queries() + two.queries(), 1) << static_cast<int>(way);
  }
}

TEST(Update, ThatWasRefusedUnseenIsSentAgain) {
  // By a closed port, over UDP and TCP; by REFUSED, which is said before anything is done.
  StandinResolver good(StandinResolver::Echo());
  StandinResolver refusing([](Turn& turn) {
    AnswerSpec spec;
    spec.rcode = kRefused;
    turn.Answer(spec);
  });
  Refusing closed;
  for (const std::string& bad : {closed.address(), refusing.address()}) {
    Node node(DnsOnly(File(Upstreams().Add("bad", bad).Add("good", good.address()))));
    ASSERT_TRUE(node.DnsListening());
    DnsUdpClient udp(node.dns_port());
    DnsTcpClient tcp(node.dns_port());
    for (std::uint16_t id = 0; id < 6; ++id) {
      const int before = good.queries();
      const Octets update = MakeUpdate("example.org", id, "host");
      const auto answer = id % 2 == 0 ? udp.Ask(update) : tcp.Ask(update);
      ASSERT_TRUE(answer);
      EXPECT_EQ(RcodeOf(*answer), 0);
      EXPECT_EQ(good.queries(), before + 1);
    }
  }
  EXPECT_GE(refusing.queries(), 1);
}

// Each has a socket of its own: an error that another datagram caused says nothing of it.
TEST(Update, TakesTheClientsWay) {
  StandinResolver resolver(StandinResolver::Echo());
  Node node(DnsOnly(File(Upstreams().Add("r1", resolver.address()))));
  ASSERT_TRUE(node.DnsListening());
  DnsUdpClient udp(node.dns_port());
  ASSERT_TRUE(udp.Ask(MakeUpdate("example.org", 1, "a")));
  ASSERT_TRUE(udp.Ask(MakeUpdate("example.org", 2, "b")));
  EXPECT_EQ(resolver.udp_queries(), 2);
  EXPECT_NE(resolver.seen()[0].from_port, resolver.seen()[1].from_port);
  DnsTcpClient tcp(node.dns_port());
  ASSERT_TRUE(tcp.Ask(MakeUpdate("example.org", 3, "c")));
  EXPECT_EQ(resolver.tcp_queries(), 1);
}

// ---- Retransmissions ----

TEST(Retransmission, OfAnOpenQueryIsNoSecondQuery) {
  std::atomic<bool> answering{false};
  StandinResolver resolver([&](Turn& turn) {
    if (NameOf(turn.query()) != "slow.org") return turn.Answer();
    turn.SendAfter(milliseconds(400), MakeAnswer(turn.query()));
  });
  const std::string file = File(Upstreams().Add("r1", resolver.address()));
  Node node(DnsOnly(file));
  ASSERT_TRUE(node.DnsListening());
  DnsUdpClient client(node.dns_port());
  const Octets query = MakeQuery(Named("slow.org"));
  for (int i = 0; i < 5; ++i) client.Send(query);
  // The same id with another question is another query, and so is another client's.
  client.Send(MakeQuery(Named("fast.org")));
  DnsUdpClient other(node.dns_port());
  EXPECT_TRUE(other.Ask(query));
  std::map<std::string, int> answers;
  while (const auto answer = client.Receive(milliseconds(600))) ++answers[NameOf(*answer)];
  EXPECT_EQ(answers["slow.org"], 1);
  EXPECT_EQ(answers["fast.org"], 1);
  EXPECT_EQ(resolver.queries(), 3);
  EXPECT_EQ(Counted(node, file, "retransmissions"), 4);
}

// ---- Membership ----

TEST(Drain, NothingBeginsAtALeavingResolverAfterTheWindow) {
  const Script script = [](Turn& turn) {
    AnswerSpec spec;
    spec.truncated = turn.via() == Via::kUdp && NameOf(turn.query()).starts_with("t");
    const auto delay = milliseconds(NameOf(turn.query()) == "slow.org" ? 900 : 2);
    turn.SendAfter(delay, MakeAnswer(turn.query(), spec));
  };
  StandinResolver leaving(script);
  StandinResolver staying(script);
  Node node(DnsOnly(File(Upstreams().Add("l", leaving.address()).Add("s", staying.address()))));
  ASSERT_TRUE(node.DnsListening());
  std::atomic<bool> stop{false};
  std::atomic<int> asked{0};
  std::atomic<int> answered{0};
  std::vector<std::thread> clients;
  for (int c = 0; c < 4; ++c) {
    clients.emplace_back([&, c] {
      DnsUdpClient udp(node.dns_port());
      DnsTcpClient tcp(node.dns_port());
      for (std::uint16_t id = 0; !stop; ++id) {
        // Over UDP, moved to TCP, and UPDATEs over TCP: both kinds of sockets are in use.
        ++asked;
        std::optional<Octets> answer;
        if (id % 3 == 0) answer = udp.Ask(MakeQuery(Named("a" + std::to_string(c) + ".org", id)));
        if (id % 3 == 1) answer = udp.Ask(MakeQuery(Named("t" + std::to_string(c) + ".org", id)));
        if (id % 3 == 2) answer = tcp.Ask(MakeUpdate("z.org", id, "h" + std::to_string(c)));
        if (answer && RcodeOf(*answer) == 0 && !IsTruncated(*answer)) ++answered;
      }
    });
  }
  ASSERT_TRUE(Eventually([&] { return leaving.udp_queries() > 20 && leaving.tcp_queries() > 20; }));
  // One that is under way at the leaving one finishes there.
  DnsUdpClient slow(node.dns_port());
  for (std::uint16_t id = 0; id < 2; ++id) slow.Send(MakeQuery(Named("slow.org", id)));
  ASSERT_TRUE(Eventually([&] { return leaving.queries() > 40; }));
  node.ReloadOperatorFile(
      File(Upstreams().Add("l", leaving.address(), "leaving").Add("s", staying.address())));
  ASSERT_TRUE(Eventually([&] { return node.log().find("read again") != std::string::npos; }));
  const auto told = std::chrono::steady_clock::now();
  std::this_thread::sleep_until(told + milliseconds(1200));
  stop = true;
  for (auto& client : clients) client.join();
  for (int i = 0; i < 2; ++i) EXPECT_TRUE(slow.Receive());
  EXPECT_EQ(asked, answered);
  for (const auto& seen : leaving.seen()) {
    EXPECT_LT(seen.at, told + milliseconds(500)) << NameOf(seen.query);
  }
  // Dropped altogether, and a new one enters.
  StandinResolver fresh(script);
  node.ReloadOperatorFile(File(Upstreams().Add("s", staying.address()).Add("f", fresh.address())));
  DnsUdpClient client(node.dns_port());
  std::uint16_t id = 0;
  EXPECT_TRUE(Eventually([&] {
    EXPECT_TRUE(client.Ask(MakeQuery(Named("a.org", ++id))));
    return fresh.queries() > 3;
  }));
}

TEST(Reload, BadFileIsLoggedAndTheOldOneStays) {
  StandinResolver resolver(StandinResolver::Echo());
  const std::string file = File(Upstreams().Add("r1", resolver.address()));
  Node node(DnsOnly(file));
  ASSERT_TRUE(node.DnsListening());
  node.ReloadOperatorFile(file + "surprise = 1\n");
  ASSERT_TRUE(Eventually([&] { return node.log().find("configuration not taken") != std::string::npos; }));
  EXPECT_NE(node.log().find("surprise"), std::string::npos);
  DnsUdpClient client(node.dns_port());
  EXPECT_TRUE(client.Ask(MakeQuery({})));
  // What can't change under way is said.
  node.ReloadOperatorFile(File(Upstreams().Add("r1", resolver.address()), "udp_ports = 3\n"));
  EXPECT_TRUE(Eventually([&] { return node.log().find("count from the next start") != std::string::npos; }));
}

// ---- Forgeries ----

TEST(Forged, AnswersAreDroppedAndTheRightOneStillCounts) {
  constexpr int kGuesses = 10000;
  StandinResolver resolver([](Turn& turn) {
    const Octets right = MakeAnswer(turn.query());
    Octets forged = right;
    // Wrong ids; then the right id with another question, another case, no question, a query's bit.
    std::uint16_t id = IdOf(right);
    for (int i = 0; i < kGuesses; ++i) {
      SetId(forged, ++id);
      turn.Send(forged);
    }
    // Once the flood is through: the system's own buffer may drop some of that.
    constexpr milliseconds kLater{150};
    QuerySpec other = Named("evil.example.org", IdOf(right));
    turn.SendAfter(kLater, MakeAnswer(MakeQuery(other)));
    forged = right;
    forged[13] ^= 0x20;
    turn.SendAfter(kLater, forged);
    forged = right;
    forged[2] &= 0x7f;
    turn.SendAfter(kLater, forged);
    forged = Octets(right.begin(), right.begin() + 12);
    for (std::size_t i = 4; i < 12; ++i) forged[i] = 0;
    turn.SendAfter(kLater, forged);
    turn.SendAfter(kLater, Octets(right.begin(), right.end() - 3));  // cut
    turn.SendAfter(2 * kLater, right);
  });
  // Another process at the same machine answers from its own port: the system keeps that out.
  const std::string file = File(Upstreams().Add("r1", resolver.address()));
  Node node(DnsOnly(file));
  ASSERT_TRUE(node.DnsListening());
  DnsUdpClient client(node.dns_port());
  const Octets query = MakeQuery(Named("www.example.org"));
  const auto answer = client.Ask(query);
  ASSERT_TRUE(answer);
  EXPECT_EQ(*answer, MakeAnswer(query));
  EXPECT_FALSE(client.Receive(kQuiet));
  EXPECT_EQ(Counted(node, file, "garbled"), 1);
  const long unmatched = Counted(node, file, "unmatched");
  EXPECT_GT(unmatched, 4) << "four of these, and some of the flood";
  EXPECT_LE(unmatched, kGuesses + 4);
  EXPECT_EQ(resolver.queries(), 1);
}

TEST(Forged, AnswerFromAnotherPortIsNone) {
  Order order;
  std::unique_ptr<StandinResolver> resolver;
  // A second socket sends what would be right, to the very port that asked.
  resolver = std::make_unique<StandinResolver>(
      [](Turn& turn) { turn.SendAfter(milliseconds(300), MakeAnswer(turn.query())); });
  Node node(DnsOnly(File(Upstreams().Add("r1", resolver->address()))));
  ASSERT_TRUE(node.DnsListening());
  DnsUdpClient client(node.dns_port());
  const Octets query = MakeQuery(Named("www.example.org"));
  client.Send(query);
  ASSERT_TRUE(Eventually([&] { return resolver->queries() == 1; }));
  const auto seen = resolver->seen()[0];
  DnsUdpClient forger(seen.from_port);
  AnswerSpec spec;
  spec.records = 9;
  for (int i = 0; i < 10; ++i) forger.Send(MakeAnswer(seen.query, spec));
  const auto answer = client.Receive();
  ASSERT_TRUE(answer);
  EXPECT_EQ(AnswersOf(*answer), 1);
}

// ---- Hostile bytes ----

struct Hostile {
  const char* what;
  Octets bytes;
  int rcode;  // below 0: no answer
};

std::vector<Hostile> HostileMessages() {
  const Octets good = MakeQuery(Named("www.example.org"));
  const auto with = [&good](std::size_t at, std::uint8_t value) {
    Octets bytes = good;
    bytes.at(at) = value;
    return bytes;
  };
  const auto head = [](std::initializer_list<std::uint8_t> behind, std::uint8_t questions = 1) {
    Octets bytes = {0, 9, 1, 0, 0, questions, 0, 0, 0, 0, 0, 0};
    for (const std::uint8_t byte : behind) bytes.push_back(byte);
    return bytes;
  };
  Octets long_name = head({});
  for (int i = 0; i < 5; ++i) {
    long_name.push_back(63);
    for (int j = 0; j < 63; ++j) long_name.push_back('x');
  }
  for (const std::uint8_t byte : {0, 0, 1, 0, 1}) long_name.push_back(byte);
  QuerySpec spec;
  spec.edns_size = 1232;
  Octets two_opts = MakeQuery(spec);
  two_opts.insert(two_opts.end(), two_opts.end() - 11, two_opts.end());
  two_opts[11] = 2;
  Octets bad_option = MakeQuery(spec);
  bad_option[bad_option.size() - 1] = 4;
  for (const std::uint8_t byte : {0, 10, 0, 200}) bad_option.push_back(byte);
  Octets trailing = good;
  trailing.push_back(0);
  return {
      {"nothing", {}, -1},
      {"eleven bytes", Octets(good.begin(), good.begin() + 11), -1},
      {"a header with nothing behind", head({}), kFormErr},
      {"no question", head({}, 0), kFormErr},
      {"an answer", with(2, 0x81), -1},
      {"two questions said, one there", with(5, 2), kFormErr},
      {"answers said, none there", with(7, 3), kFormErr},
      {"65535 records said", with(10, 0xff), kFormErr},
      {"a pointer to itself", head({0xc0, 12, 0, 1, 0, 1}), kFormErr},
      {"a pointer forwards", head({0xc0, 14, 0, 0, 1, 0, 1}), kFormErr},
      {"a pointer into the header", head({0xc0, 2, 0, 1, 0, 1}), kFormErr},
      {"half a pointer", head({0xc0}), kFormErr},
      {"an unknown kind of label", head({0x80, 1, 0, 0, 1, 0, 1}), kFormErr},
      {"a label past the end", head({63, 'a', 'b'}), kFormErr},
      {"a name without its type", head({1, 'a', 0}), kFormErr},
      {"a name past 255", long_name, kFormErr},
      {"two OPTs", two_opts, kFormErr},
      {"an option past its record", bad_option, kFormErr},
      {"a byte behind the end", trailing, kFormErr},
  };
}

TEST(HostileBytes, AreAnsweredOrDroppedAndServiceGoesOn) {
  StandinResolver resolver(StandinResolver::Echo());
  const std::string file = File(Upstreams().Add("r1", resolver.address()));
  Node node(DnsOnly(file));
  ASSERT_TRUE(node.DnsListening());
  DnsUdpClient client(node.dns_port());
  const Octets good = MakeQuery(Named("good.org", 0x7777));
  for (const Hostile& hostile : HostileMessages()) {
    client.Send(hostile.bytes);
    // Datagrams are taken in their order: what comes before the good one's answer is the hostile one's.
    client.Send(good);
    const auto first = client.Receive();
    ASSERT_TRUE(first) << hostile.what;
    if (hostile.rcode < 0) {
      EXPECT_EQ(IdOf(*first), 0x7777) << hostile.what;
      continue;
    }
    EXPECT_EQ(RcodeOf(*first), hostile.rcode) << hostile.what;
    EXPECT_EQ(IdOf(*first), hostile.bytes[0] << 8 | hostile.bytes[1]) << hostile.what;
    const auto second = client.Receive();
    ASSERT_TRUE(second) << hostile.what;
    EXPECT_EQ(IdOf(*second), 0x7777) << hostile.what;
  }
  EXPECT_EQ(resolver.queries(), static_cast<int>(HostileMessages().size()));
  EXPECT_EQ(Counted(node, file, "dropped"), 3);
  // Over TCP the same, on a connection each.
  for (const Hostile& hostile : HostileMessages()) {
    DnsTcpClient tcp(node.dns_port());
    tcp.Send(hostile.bytes);
    if (hostile.bytes.size() < 12) {
      EXPECT_TRUE(tcp.ReadsEnd()) << hostile.what;
      continue;
    }
    tcp.Send(good);
    const auto first = tcp.Receive();
    ASSERT_TRUE(first) << hostile.what;
    EXPECT_EQ(RcodeOf(*first), std::max(0, hostile.rcode)) << hostile.what;
  }
}

TEST(HostileBytes, FramesOfEverySizeAndPieceAreTaken) {
  StandinResolver resolver(StandinResolver::Echo());
  Node node(DnsOnly(File(Upstreams().Add("r1", resolver.address()))));
  ASSERT_TRUE(node.DnsListening());
  const Octets query = MakeQuery(Named("www.example.org"));
  {
    DnsTcpClient client(node.dns_port());
    client.SendRaw({0});
    std::this_thread::sleep_for(milliseconds(2));
    client.SendRaw({static_cast<std::uint8_t>(query.size())});
    for (const std::uint8_t byte : query) {
      client.SendRaw({byte});
      std::this_thread::sleep_for(milliseconds(2));
    }
    EXPECT_EQ(client.Receive(), MakeAnswer(query));
    // An answer of the largest kind, to a query of the largest kind.
    Octets large = query;
    large.resize(65535, 0);
    client.Send(large);
    const auto answer = client.Receive();
    ASSERT_TRUE(answer);
    EXPECT_EQ(RcodeOf(*answer), kFormErr);
  }
  DnsTcpClient empty(node.dns_port());
  empty.SendRaw({0, 0, 0, 0});
  EXPECT_TRUE(empty.ReadsEnd());
  DnsTcpClient half(node.dns_port());
  half.SendRaw({0xff, 0xff, 1, 2, 3});
  half.EndSending();
  EXPECT_TRUE(half.ReadsEnd());
}

TEST(HostileBytes, FromAResolverOverTcpHarmNobody) {
  std::atomic<int> turn_number{0};
  StandinResolver resolver([&](Turn& turn) {
    if (turn.via() == Via::kUdp) {
      AnswerSpec spec;
      spec.truncated = true;
      return turn.Answer(spec);
    }
    switch (turn_number++) {
      case 0:
        return turn.SendRaw({0, 0, 0, 1, 9, 0, 3, 1, 2, 3});  // empty and short frames, then silence
      case 1:
        turn.SendRaw({0xff, 0xff, 0});
        return turn.Reset();
      case 2: {
        Octets wrong = MakeAnswer(turn.query());
        SetId(wrong, static_cast<std::uint16_t>(IdOf(wrong) + 1));
        turn.Send(wrong);
        return turn.Answer();
      }
      default:
        return turn.Answer();
    }
  });
  const std::string classes =
      "[[dns.class]]\nname = \"query\"\nopcode = \"QUERY\"\naim_ms = 200\ndeadline_ms = 400\n";
  Node node(DnsOnly(File(Upstreams().Add("r1", resolver.address()), classes)));
  ASSERT_TRUE(node.DnsListening());
  DnsUdpClient client(node.dns_port());
  std::uint16_t id = 0;
  EXPECT_TRUE(Eventually([&] {
    const auto answer = client.Ask(MakeQuery(Named("a.org", ++id)));
    EXPECT_TRUE(answer);
    return answer && AnswersOf(*answer) == 1 && turn_number > 3;
  }));
}

// ---- Bounds ----

TEST(Bounds, OpenQueriesOfAClientAndOfAll) {
  StandinResolver resolver(StandinResolver::Silent());
  for (const char* bound : {"max_open_per_client = 5\n", "max_open_queries = 5\n"}) {
    Node node(DnsOnly(File(Upstreams().Add("r1", resolver.address()), bound)));
    ASSERT_TRUE(node.DnsListening());
    DnsUdpClient client(node.dns_port());
    for (std::uint16_t id = 0; id < 8; ++id) {
      QuerySpec spec = Named("a.org", id);
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
  StandinResolver resolver([&](Turn& turn) { turn.SendAfter(milliseconds(5), MakeAnswer(turn.query())); });
  Node node(DnsOnly(File(Upstreams().Add("r1", resolver.address()), "max_open_per_connection = 4\n")));
  ASSERT_TRUE(node.DnsListening());
  DnsTcpClient client(node.dns_port());
  constexpr int kQueries = 200;
  for (std::uint16_t id = 0; id < kQueries; ++id) client.Send(MakeQuery(Named("a.org", id)));
  std::set<int> ids;
  for (int i = 0; i < kQueries; ++i) {
    const auto answer = client.Receive();
    ASSERT_TRUE(answer) << i;
    ids.insert(IdOf(*answer));
  }
  EXPECT_EQ(ids.size(), std::size_t{kQueries});
}

TEST(Bounds, TcpClientsThatSayNothingOrHalfOfItGo) {
  StandinResolver resolver(StandinResolver::Echo());
  Node node(DnsOnly(
      File(Upstreams().Add("r1", resolver.address()), "tcp_first_byte_ms = 300\ntcp_idle_ms = 600\n")));
  ASSERT_TRUE(node.DnsListening());
  DnsTcpClient silent(node.dns_port());
  DnsTcpClient half(node.dns_port());
  half.SendRaw({0, 40, 1});
  DnsTcpClient idle(node.dns_port());
  ASSERT_TRUE(idle.Ask(MakeQuery({})));
  EXPECT_TRUE(silent.ReadsEnd());
  EXPECT_TRUE(half.ReadsEnd());
  EXPECT_TRUE(idle.ReadsEnd());
}

TEST(Bounds, MoreTcpClientsThanAllowedTakeTheIdleOnesPlace) {
  StandinResolver resolver(StandinResolver::Echo());
  Node node(DnsOnly(File(Upstreams().Add("r1", resolver.address()), "max_tcp_clients = 4\n")));
  ASSERT_TRUE(node.DnsListening());
  std::vector<std::unique_ptr<DnsTcpClient>> clients;
  for (std::uint16_t i = 0; i < 40; ++i) {
    clients.push_back(std::make_unique<DnsTcpClient>(node.dns_port()));
    ASSERT_TRUE(clients.back()->Ask(MakeQuery(Named("a.org", i)))) << i;
  }
  EXPECT_LE(node.descriptors(), 40);
}

// ---- Descriptors and buffers ----

TEST(DnsDescriptors, StayWithinALimitOf64) {
  StandinResolver one(StandinResolver::Echo());
  StandinResolver two(StandinResolver::Echo());
  StandinResolver three([](Turn& turn) {
    AnswerSpec spec;
    spec.truncated = turn.via() == Via::kUdp;
    turn.Answer(spec);
  });
  Node node(
      DnsOnly(File(Upstreams().Add("r1", one.address()).Add("r2", two.address()).Add("r3", three.address()),
                   "", "[limits]\nsockets = 64\n")));
  ASSERT_TRUE(node.DnsListening());
  std::vector<std::unique_ptr<DnsTcpClient>> clients;
  DnsUdpClient udp(node.dns_port());
  for (std::uint16_t i = 0; i < 150; ++i) {
    clients.push_back(std::make_unique<DnsTcpClient>(node.dns_port()));
    ASSERT_TRUE(clients.back()->Ask(MakeQuery(Named("a.org", i)))) << i;
    const auto answer = udp.Ask(MakeQuery(Named("a.org", i)));
    ASSERT_TRUE(answer) << i;
    EXPECT_EQ(AnswersOf(*answer), 1) << i;
    ASSERT_LE(node.descriptors(), 64) << i;
  }
}

TEST(DnsDescriptors, RunningOutOfThemIsSurvived) {
  StandinResolver resolver(StandinResolver::Echo());
  Node::Options options = DnsOnly(File(Upstreams().Add("r1", resolver.address())));
  {
    Node usual(options);
    ASSERT_TRUE(usual.DnsListening());
    options.few_sockets = usual.descriptors() + 2;
  }
  Node node(options);
  ASSERT_TRUE(node.DnsListening());
  DnsUdpClient udp(node.dns_port());
  for (std::uint16_t i = 0; i < 100; ++i) {
    const auto answer = udp.Ask(MakeQuery(Named("a.org", i)));
    ASSERT_TRUE(answer) << i;
    EXPECT_EQ(RcodeOf(*answer), 0) << i;
  }
  // No socket of its own for an UPDATE, and none left: refused, as it has never run.
  std::vector<std::unique_ptr<DnsTcpClient>> clients;
  for (int i = 0; i < 5; ++i) clients.push_back(std::make_unique<DnsTcpClient>(node.dns_port()));
  clients.clear();
  EXPECT_TRUE(udp.Ask(MakeUpdate("example.org", 1, "a")));
  EXPECT_TRUE(udp.Ask(MakeQuery(Named("a.org", 999))));
  EXPECT_TRUE(Eventually([&] { return node.log().find("Too many open files") != std::string::npos; }));
}

TEST(DnsBuffers, FullOnesDelayAnswersAndLoseNone) {
  StandinResolver one(StandinResolver::Echo());
  StandinResolver two(StandinResolver::Echo());
  Node::Options options = DnsOnly(File(Upstreams().Add("r1", one.address()).Add("r2", two.address())));
  options.full_send = 3;
  Node node(options);
  ASSERT_TRUE(node.DnsListening());
  DnsUdpClient client(node.dns_port());
  constexpr int kQueries = 60;
  for (std::uint16_t id = 0; id < kQueries; ++id) client.Send(MakeQuery(Named("a.org", id)));
  std::map<int, int> answers;
  for (int i = 0; i < kQueries; ++i) {
    const auto answer = client.Receive();
    ASSERT_TRUE(answer) << i;
    ++answers[IdOf(*answer)];
  }
  EXPECT_EQ(answers.size(), std::size_t{kQueries});
  EXPECT_FALSE(client.Receive(kQuiet));
}

// ---- Planned stop ----

TEST(DnsStop, AnswersWhatWasTakenAndEnds) {
  StandinResolver resolver([](Turn& turn) { turn.SendAfter(milliseconds(1200), MakeAnswer(turn.query())); });
  Node node(DnsOnly(File(Upstreams().Add("r1", resolver.address()))));
  ASSERT_TRUE(node.DnsListening());
  DnsUdpClient udp(node.dns_port());
  DnsTcpClient tcp(node.dns_port());
  constexpr int kQueries = 20;
  for (std::uint16_t id = 0; id < kQueries; ++id) {
    udp.Send(MakeQuery(Named("a.org", id)));
    tcp.Send(MakeQuery(Named("a.org", id)));
  }
  ASSERT_TRUE(Eventually([&] { return resolver.queries() >= 2 * kQueries; }));
  node.Signal(SIGTERM);
  // Clients go on for a moment.
  std::this_thread::sleep_for(milliseconds(100));
  udp.Send(MakeQuery(Named("late.org", 99)));
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
  EXPECT_NE(node.log().find("udp_queries=21 tcp_queries=20 answers=41"), std::string::npos) << node.log();
}

// ---- Starting ----

TEST(DnsStart, TakenAddressAndEmptyFileAreNamed) {
  StandinResolver taken(StandinResolver::Echo());
  Node::Options options = DnsOnly("[dns]\nlisten = [\"" + taken.address() +
                                  "\"]\n[[dns.resolver]]\nuid = \"r\"\nendpoint = \"127.0.0.1:1\"\n");
  Node busy(options);
  EXPECT_EQ(busy.Wait(), 1);
  EXPECT_NE(busy.log().find(taken.address()), std::string::npos) << busy.log();
  Node empty(DnsOnly("name = \"x\"\n"));
  EXPECT_EQ(empty.Wait(), 1);
  EXPECT_NE(empty.log().find("nothing to start"), std::string::npos) << empty.log();
}

}  // namespace
}  // namespace mothrack::testing
