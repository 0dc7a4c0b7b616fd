// The DNS messages that the program sends are byte for byte those of version 0.2.0: queries to a resolver and
// responses to a client, over UDP and TCP. The random id of a query to the resolver is masked as "....".
#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "dns/dns_helpers.h"
#include "support/fixtures.h"

namespace mothrack::testing {
namespace {

using Responder = StandinResolver::Responder;
using Via = StandinResolver::Via;
using Script = StandinResolver::Script;

constexpr std::size_t kIdDigits = 4;

std::string HexOf(const Octets& message) {
  return ToHex({reinterpret_cast<const char*>(message.data()), message.size()});
}

std::string WithoutId(const Octets& message) { return "...." + HexOf(message).substr(kIdDigits); }

Script Answering(const AnswerSpec& over_udp, const AnswerSpec& over_tcp = {}) {
  return [over_udp, over_tcp](Responder& responder) {
    responder.Answer(responder.via() == Via::kUdp ? over_udp : over_tcp);
  };
}

struct Row {
  const char* name;
  Octets query;
  Script script;
  bool tcp = true;  // the resolver's TCP port is open
};

Octets WithEdns() {
  QuerySpec spec = QueryFor("www.Example.org", 0xbeef);
  spec.edns_size = 1232;
  spec.edns_options = {0, 10, 0, 8, 1, 2, 3, 4, 5, 6, 7, 8};  // a cookie
  return MakeQuery(spec);
}

Octets OfEdnsVersion(std::uint8_t version) {
  QuerySpec spec = QueryFor("a.org");
  spec.edns_size = 512;
  spec.edns_version = version;
  return MakeQuery(spec);
}

Octets OfOpcode(std::uint8_t opcode) {
  QuerySpec spec = QueryFor("a.org");
  spec.opcode = opcode;
  return MakeQuery(spec);
}

Octets CutQuery() {
  Octets query = MakeQuery(QueryFor("a.org"));
  query.resize(query.size() - 3);
  return query;
}

std::vector<Row> Rows() {
  const AnswerSpec truncated{.truncated = true, .records = 0};
  const AnswerSpec long_answer{.records = 60};
  const AnswerSpec failing{.rcode = kServFail, .records = 0};
  const AnswerSpec explained{.rcode = kServFail, .records = 0, .extended_error = 22, .edns_size = 1232};
  return {
      {"answer", MakeQuery(QueryFor("www.Example.org")), Answering({})},
      {"answer with EDNS", WithEdns(), Answering({.records = 2, .edns_size = 1400})},
      {"no such name", MakeQuery(QueryFor("a.org")), Answering({.rcode = 3, .records = 0})},
      {"SERVFAIL of the resolver", MakeQuery(QueryFor("a.org")), Answering(failing)},
      {"SERVFAIL that is explained", WithEdns(), Answering(explained)},
      {"REFUSED by the resolver", MakeQuery(QueryFor("a.org")), Answering({.rcode = kRefused, .records = 0})},
      {"no answer", MakeQuery(QueryFor("a.org")), StandinResolver::Unresponsive()},
      {"no answer with EDNS", WithEdns(), StandinResolver::Unresponsive()},
      {"truncated, then whole over TCP", MakeQuery(QueryFor("a.org")), Answering(truncated, {.records = 3})},
      {"truncated, and no TCP", MakeQuery(QueryFor("a.org")), Answering(truncated), false},
      {"longer than a datagram", MakeQuery(QueryFor("a.org")), Answering(truncated, long_answer)},
      {"EDNS of a later version", OfEdnsVersion(1), Answering({})},
      {"UPDATE", MakeUpdate("example.org", 0x4242, "h"), Answering({.records = 0})},
      {"another opcode", OfOpcode(2), Answering({})},
      {"a query that is cut", CutQuery(), Answering({})},
  };
}

// Runs each row over UDP and over TCP, each time with a new node and a new resolver.
void Exchange(const Row& row, bool by_tcp, RecordedSections& recorded) {
  const std::string name = std::string(row.name) + (by_tcp ? ", over TCP" : ", over UDP");
  StandinResolver resolver(row.script, row.tcp);
  const std::string classes =
      "[[dns.class]]\nname = \"query\"\nopcode = \"QUERY\"\naim_ms = 200\ndeadline_ms = 400\n"
      "[[dns.class]]\nname = \"update\"\nopcode = \"UPDATE\"\naim_ms = 200\ndeadline_ms = 400\n";
  Node node(DnsOnlyOptions(OperatorFile(ResolverList().Add("r1", resolver.address()), classes)));
  ASSERT_TRUE(node.DnsListening());
  std::optional<Octets> told;
  if (by_tcp) {
    told = DnsTcpClient(node.dns_port()).Query(row.query);
  } else {
    told = DnsUdpClient(node.dns_port()).Query(row.query);
  }
  ASSERT_TRUE(told) << name;
  std::string sent;
  for (const auto& seen : resolver.seen()) {
    sent += (seen.via == Via::kTcp ? "TCP " : "UDP ") + WithoutId(seen.query) + '\n';
  }
  recorded.Expect(name + ": to the resolver", sent);
  recorded.Expect(name + ": to the client", HexOf(*told));
}

TEST(RecordedDns, MessagesAreThoseOfTheFormerVersion) {
  RecordedSections recorded(MOTHRACK_FIXTURES "/messages.txt");
  for (const Row& row : Rows()) {
    for (const bool by_tcp : {false, true}) Exchange(row, by_tcp, recorded);
  }
}

}  // namespace
}  // namespace mothrack::testing
