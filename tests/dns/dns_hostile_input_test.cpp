// The real program between scripted resolvers and DNS clients. Forged answers and malformed bytes, from
// clients and from resolvers.
#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdint>
#include <initializer_list>
#include <memory>
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

// ---- Forgeries ----

TEST(Forged, AnswersAreDroppedAndTheRightOneIsAccepted) {
  constexpr int kGuesses = 10000;
  StandinResolver resolver([](Responder& responder) {
    const Octets right = MakeAnswer(responder.query());
    Octets forged = right;
    // Wrong ids; then the right id with another question, another letter case, the QR bit of a query, no
    // question, or a cut-off end.
    std::uint16_t id = IdOf(right);
    for (int i = 0; i < kGuesses; ++i) {
      SetId(forged, ++id);
      responder.Send(forged);
    }
    // Sent after the flood has been received, because the kernel's buffer may drop datagrams during it.
    constexpr milliseconds kLater{150};
    QuerySpec other = QueryFor("evil.example.org", IdOf(right));
    responder.SendAfter(kLater, MakeAnswer(MakeQuery(other)));
    forged = right;
    forged[13] ^= 0x20;
    responder.SendAfter(kLater, forged);
    forged = right;
    forged[2] &= 0x7f;
    responder.SendAfter(kLater, forged);
    forged = Octets(right.begin(), right.begin() + 12);
    for (std::size_t i = 4; i < 12; ++i) forged[i] = 0;
    responder.SendAfter(kLater, forged);
    responder.SendAfter(kLater, Octets(right.begin(), right.end() - 3));  // cut
    responder.SendAfter(2 * kLater, right);
  });
  const std::string file = OperatorFile(ResolverList().Add("r1", resolver.address()));
  Node node(DnsOnlyOptions(file));
  ASSERT_TRUE(node.DnsListening());
  DnsUdpClient client(node.dns_port());
  const Octets query = MakeQuery(QueryFor("www.example.org"));
  const auto answer = client.Query(query);
  ASSERT_TRUE(answer);
  EXPECT_EQ(*answer, MakeAnswer(query));
  EXPECT_FALSE(client.Receive(kQuietPeriod));
  EXPECT_EQ(ReadCounter(node, file, "garbled"), 1);
  const long unmatched = ReadCounter(node, file, "unmatched");
  EXPECT_GT(unmatched, 4) << "four forged answers with the right id, and some of the flood";
  EXPECT_LE(unmatched, kGuesses + 4);
  EXPECT_EQ(resolver.queries(), 1);
}

TEST(Forged, AnswersFromAnotherPortAreIgnored) {
  std::unique_ptr<StandinResolver> resolver;
  // The socket `forger` below sends matching answers to the port that sent the query. The kernel drops them,
  // because the program's socket is connected to the resolver's port.
  resolver = std::make_unique<StandinResolver>(
      [](Responder& responder) { responder.SendAfter(milliseconds(300), MakeAnswer(responder.query())); });
  Node node(DnsOnlyOptions(OperatorFile(ResolverList().Add("r1", resolver->address()))));
  ASSERT_TRUE(node.DnsListening());
  DnsUdpClient client(node.dns_port());
  const Octets query = MakeQuery(QueryFor("www.example.org"));
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
  const Octets good = MakeQuery(QueryFor("www.example.org"));
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
  const std::string file = OperatorFile(ResolverList().Add("r1", resolver.address()));
  Node node(DnsOnlyOptions(file));
  ASSERT_TRUE(node.DnsListening());
  DnsUdpClient client(node.dns_port());
  const Octets good = MakeQuery(QueryFor("good.org", 0x7777));
  for (const Hostile& hostile : HostileMessages()) {
    client.Send(hostile.bytes);
    // Datagrams are handled in order: an answer before that to the good query belongs to the hostile message.
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
  EXPECT_EQ(ReadCounter(node, file, "dropped"), 3);
  // The same messages over TCP, each on its own connection.
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

TEST(HostileBytes, FramesOfEverySizeAndSegmentationAreAccepted) {
  StandinResolver resolver(StandinResolver::Echo());
  Node node(DnsOnlyOptions(OperatorFile(ResolverList().Add("r1", resolver.address()))));
  ASSERT_TRUE(node.DnsListening());
  const Octets query = MakeQuery(QueryFor("www.example.org"));
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
    // A query of the maximum size is answered.
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
  std::atomic<int> query_number{0};
  StandinResolver resolver([&](Responder& responder) {
    if (responder.via() == Via::kUdp) {
      AnswerSpec spec;
      spec.truncated = true;
      return responder.Answer(spec);
    }
    switch (query_number++) {
      case 0:
        return responder.SendRaw({0, 0, 0, 1, 9, 0, 3, 1, 2, 3});  // empty and short frames, then silence
      case 1:
        responder.SendRaw({0xff, 0xff, 0});
        return responder.Reset();
      case 2: {
        Octets wrong = MakeAnswer(responder.query());
        SetId(wrong, static_cast<std::uint16_t>(IdOf(wrong) + 1));
        responder.Send(wrong);
        return responder.Answer();
      }
      default:
        return responder.Answer();
    }
  });
  const std::string classes =
      "[[dns.class]]\nname = \"query\"\nopcode = \"QUERY\"\naim_ms = 200\ndeadline_ms = 400\n";
  Node node(DnsOnlyOptions(OperatorFile(ResolverList().Add("r1", resolver.address()), classes)));
  ASSERT_TRUE(node.DnsListening());
  DnsUdpClient client(node.dns_port());
  std::uint16_t id = 0;
  EXPECT_TRUE(Eventually([&] {
    const auto answer = client.Query(MakeQuery(QueryFor("a.org", ++id)));
    EXPECT_TRUE(answer);
    return answer && AnswersOf(*answer) == 1 && query_number > 3;
  }));
}

}  // namespace
}  // namespace mothrack::testing
