// The real program between scripted resolvers and DNS clients. Truncated answers: the attempt is repeated
// over TCP; outcomes if TCP fails.
#include <atomic>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <mutex>
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
using Script = StandinResolver::Script;
using Responder = StandinResolver::Responder;
using Via = StandinResolver::Via;

TEST(Truncation, IsRetriedOverTcpAtTheSameResolver) {
  StandinResolver resolver([](Responder& responder) {
    AnswerSpec spec;
    spec.truncated = responder.via() == Via::kUdp;
    spec.records = 3;
    responder.Answer(spec);
  });
  Node node(DnsOnlyOptions(OperatorFile(ResolverList().Add("r1", resolver.address()))));
  ASSERT_TRUE(node.DnsListening());
  DnsUdpClient client(node.dns_port());
  for (std::uint16_t id = 0; id < 20; ++id) {
    const auto answer = client.Query(MakeQuery(QueryFor("a.org", id)));
    ASSERT_TRUE(answer);
    EXPECT_FALSE(IsTruncated(*answer));
    EXPECT_EQ(AnswersOf(*answer), 3);
  }
  EXPECT_EQ(resolver.udp_queries(), 20);
  EXPECT_EQ(resolver.tcp_queries(), 20);
  EXPECT_EQ(resolver.connections(), 1) << "pooled";
}

// The first attempt is unanswered; its hedge is truncated at the other resolver and retried over TCP there.
// Whichever answers first, the client gets one answer and no second.
TEST(Truncation, OfAHedgeWhileTheFirstAttemptIsOpen) {
  for (const bool first_wins : {false, true}) {
    SharedQueryCount query_count;
    std::atomic<bool> move_done{false};
    const Script script = [&](Responder& responder) {
      if (responder.via() == Via::kTcp) {
        move_done = true;
        AnswerSpec spec;
        spec.records = 5;
        responder.SendAfter(milliseconds(first_wins ? 1500 : 0), MakeAnswer(responder.query(), spec));
      } else if (query_count.queries++ == 0) {
        // Later than the hedge, which is sent at 750 ms.
        responder.SendAfter(milliseconds(first_wins ? 1000 : 1500), MakeAnswer(responder.query()));
      } else {
        AnswerSpec spec;
        spec.truncated = true;
        responder.Answer(spec);
      }
    };
    StandinResolver one(script);
    StandinResolver two(script);
    Node node(DnsOnlyOptions(OperatorFile(ResolverList().Add("r1", one.address()).Add("r2", two.address()))));
    ASSERT_TRUE(node.DnsListening());
    DnsUdpClient client(node.dns_port());
    const auto answer = client.Query(MakeQuery(QueryFor("a.org")));
    ASSERT_TRUE(answer);
    EXPECT_TRUE(move_done);
    EXPECT_EQ(AnswersOf(*answer), first_wins ? 1 : 5);
    EXPECT_FALSE(client.Receive(milliseconds(1200))) << "a second answer";
    EXPECT_EQ(one.udp_queries() + two.udp_queries(), 2);
    EXPECT_EQ(one.tcp_queries() + two.tcp_queries(), 1);
    // The TCP attempt went to the resolver that truncated.
    StandinResolver& truncating = one.tcp_queries() == 1 ? one : two;
    EXPECT_EQ(truncating.udp_queries(), 1);
  }
}

TEST(Truncation, TcpRefusedIsTriedElsewhere) {
  const Script truncating = [](Responder& responder) {
    AnswerSpec spec;
    spec.truncated = true;
    responder.Answer(spec);
  };
  StandinResolver refusing(truncating, false);
  StandinResolver good(StandinResolver::Echo());
  Node node(
      DnsOnlyOptions(OperatorFile(ResolverList().Add("r1", refusing.address()).Add("r2", good.address()))));
  ASSERT_TRUE(node.DnsListening());
  DnsUdpClient client(node.dns_port());
  for (std::uint16_t id = 0; id < 8; ++id) {
    const auto answer = client.Query(MakeQuery(QueryFor("a.org", id)));
    ASSERT_TRUE(answer);
    EXPECT_FALSE(IsTruncated(*answer));
    EXPECT_EQ(AnswersOf(*answer), 1);
  }
  EXPECT_GE(refusing.udp_queries(), 1);
}

// Queries over UDP that a resolver has received and not answered.
class UnansweredQueries {
 public:
  Script Collect() {
    return [this](Responder& responder) {
      const std::lock_guard lock(mutex_);
      queries_.push_back(responder);
    };
  }
  // Returns how many there were.
  std::size_t Answer(const AnswerSpec& spec) {
    const std::lock_guard lock(mutex_);
    for (Responder& query : queries_) query.Answer(spec);
    return queries_.size();
  }

 private:
  std::mutex mutex_;
  std::vector<Responder> queries_;
};

// Guards against this failure: queries whose truncated answers came while their resolver was leaving counted
// as its errors, and their retries took more from the retry budget than it had.
TEST(Truncation, AtALeavingResolverIsRetriedElsewhere) {
  constexpr std::uint16_t kQueries = 40;
  UnansweredQueries at_leaving;
  UnansweredQueries at_staying;
  StandinResolver leaving(at_leaving.Collect());
  StandinResolver staying(at_staying.Collect());
  Node node(
      DnsOnlyOptions(OperatorFile(ResolverList().Add("l", leaving.address()).Add("s", staying.address()))));
  ASSERT_TRUE(node.DnsListening());
  DnsUdpClient client(node.dns_port());
  for (std::uint16_t id = 0; id < kQueries; ++id) client.Send(MakeQuery(QueryFor("a.org", id)));
  ASSERT_TRUE(Eventually([&] { return leaving.queries() + staying.queries() >= kQueries; }));
  staying.SetScript(StandinResolver::Echo());
  at_staying.Answer({});
  node.ReloadOperatorFile(
      OperatorFile(ResolverList().Add("l", leaving.address(), "leaving").Add("s", staying.address())));
  ASSERT_TRUE(
      Eventually([&] { return node.log().find(" info resolvers_reloaded file=") != std::string::npos; }));
  AnswerSpec truncated;
  truncated.truncated = true;
  EXPECT_GE(at_leaving.Answer(truncated), 10U);
  for (std::uint16_t id = 0; id < kQueries; ++id) {
    const auto answer = client.Receive();
    ASSERT_TRUE(answer);
    EXPECT_EQ(RcodeOf(*answer), 0);
    EXPECT_FALSE(IsTruncated(*answer));
  }
  EXPECT_EQ(leaving.tcp_queries(), 0);
}

// If TCP fails at the only resolver, the client gets the truncated answer.
TEST(Truncation, WithoutTcpTheTruncatedAnswerIsForwarded) {
  enum class Way { kRefused, kUnresponsive, kCut, kTruncatedAgain };
  for (const Way way : {Way::kRefused, Way::kUnresponsive, Way::kCut, Way::kTruncatedAgain}) {
    StandinResolver resolver(
        [way](Responder& responder) {
          if (responder.via() == Via::kTcp && way == Way::kUnresponsive) return;
          if (responder.via() == Via::kTcp && way == Way::kCut) {
            responder.SendRaw({0, 40, 1, 2, 3});
            return responder.Reset();
          }
          AnswerSpec spec;
          spec.truncated = true;
          responder.Answer(spec);
        },
        way != Way::kRefused);
    const std::string classes =
        "[[dns.class]]\nname = \"query\"\nopcode = \"QUERY\"\naim_ms = 200\ndeadline_ms = 400\n";
    Node node(DnsOnlyOptions(OperatorFile(ResolverList().Add("r1", resolver.address()), classes)));
    ASSERT_TRUE(node.DnsListening());
    DnsUdpClient client(node.dns_port());
    const auto answer = client.Query(MakeQuery(QueryFor("a.org")));
    ASSERT_TRUE(answer) << static_cast<int>(way);
    EXPECT_FALSE(client.Receive(kQuietPeriod)) << static_cast<int>(way);
    if (way == Way::kUnresponsive) {
      // The attempt is still open at the deadline, so the truncated answer is not used.
      EXPECT_EQ(RcodeOf(*answer), kServFail);
    } else {
      EXPECT_TRUE(IsTruncated(*answer)) << static_cast<int>(way);
    }
  }
}

}  // namespace
}  // namespace mothrack::testing
