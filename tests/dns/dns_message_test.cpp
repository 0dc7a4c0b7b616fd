// Parsing and rewriting of DNS messages, including messages with wrong lengths, offsets and counts.
#include <random>
#include <string>

#include "dns/message.h"
#include "dns/response_outcome.h"
#include "gtest/gtest.h"
#include "standins/dns_wire.h"

namespace mothrack::dns {
namespace {

using testing::AnswerSpec;
using testing::MakeAnswer;
using testing::MakeQuery;
using testing::QuerySpec;

ClientQuery QueryOf(const Buffer& query, std::size_t max_response_size = kMaxUdpWithoutEdns) {
  Layout layout;
  EXPECT_EQ(ParseMessage(query, layout), ParseStatus::kOk);
  ClientQuery client_query{layout.id, layout.flags};
  client_query.edns = layout.edns.has_value();
  client_query.max_response_size = max_response_size;
  return client_query;
}

TEST(Message, LayoutOfAQueryAndItsAnswer) {
  QuerySpec spec;
  spec.edns_size = 1400;
  const Buffer query = MakeQuery(spec);
  Layout layout;
  ASSERT_EQ(ParseMessage(query, layout), ParseStatus::kOk);
  EXPECT_EQ(layout.id, 0x1234);
  EXPECT_EQ(layout.qtype, 1);
  EXPECT_EQ(layout.question_end, query.size() - 11);
  ASSERT_TRUE(layout.edns);
  EXPECT_EQ(layout.edns->payload, 1400);
  EXPECT_FALSE(layout.response());
  AnswerSpec answer;
  answer.records = 7;
  const Buffer bytes = MakeAnswer(query, answer);
  ASSERT_EQ(ParseMessage(bytes, layout), ParseStatus::kOk);
  EXPECT_TRUE(layout.response());
  EXPECT_EQ(layout.answers, 7);
  EXPECT_FALSE(layout.edns);
}

// Wherever a message is cut off, it is malformed, and no byte after its end is read (checked by the address
// sanitizer).
TEST(Message, EveryPrefixIsMalformed) {
  QuerySpec spec;
  spec.edns_size = 1232;
  spec.edns_options = {0, 8, 0, 4, 0, 1, 0, 0};
  AnswerSpec answer;
  answer.records = 3;
  answer.extended_error = 22;
  const Buffer bytes = MakeAnswer(MakeQuery(spec), answer);
  for (std::size_t size = 0; size < bytes.size(); ++size) {
    const Buffer prefix(bytes.begin(), bytes.begin() + static_cast<std::ptrdiff_t>(size));
    Layout layout;
    EXPECT_EQ(ParseMessage(prefix, layout),
              size < kHeaderSize ? ParseStatus::kNoHeader : ParseStatus::kMalformed)
        << size;
  }
}

TEST(Message, RandomlyChangedOnesParseAgainAfterRewriting) {
  QuerySpec spec;
  spec.edns_size = 1232;
  AnswerSpec answer;
  answer.records = 3;
  answer.extended_error = 22;
  const Buffer query = MakeQuery(spec);
  const Buffer good = MakeAnswer(query, answer);
  const ClientQuery client_query = QueryOf(query, 600);
  std::mt19937 random(11);
  for (int i = 0; i < 200000; ++i) {
    Buffer bytes = good;
    for (int changes = 1 + static_cast<int>(random() % 4); changes > 0; --changes) {
      bytes[random() % bytes.size()] = static_cast<std::uint8_t>(random());
    }
    Layout layout;
    if (ParseMessage(bytes, layout) != ParseStatus::kOk) continue;
    // A message that can be parsed can be rewritten, and the result can be parsed again.
    const Buffer out = ToClientResponse(bytes, layout, client_query, 1232);
    ASSERT_LE(out.size(), client_query.max_response_size);
    Layout again;
    ASSERT_EQ(ParseMessage(out, again), ParseStatus::kOk);
    ASSERT_EQ(again.id, client_query.id);
    ASSERT_EQ(again.rcode(), layout.rcode());
    const Buffer query_out = ToResolverQuery(bytes, layout, 1232);
    ASSERT_EQ(ParseMessage(query_out, again), ParseStatus::kOk);
  }
}

TEST(Message, PointersLeadBackwardsOnly) {
  // A long chain of pointers, each to the previous one, is valid because it ends.
  Buffer bytes = {0, 1, 0, 0, 0, 1, 0, 0, 0, 0, 0, 0, 1, 'a', 0, 0, 1, 0, 1};
  std::uint16_t records = 0;
  std::size_t last = 12;
  for (; records < 500; ++records) {
    const std::size_t at = bytes.size();
    bytes.push_back(static_cast<std::uint8_t>(0xc0 | last >> 8));
    bytes.push_back(static_cast<std::uint8_t>(last));
    for (const std::uint8_t byte : {0, 1, 0, 1, 0, 0, 0, 0, 0, 0}) bytes.push_back(byte);
    last = at;
  }
  bytes[6] = static_cast<std::uint8_t>(records >> 8);
  bytes[7] = static_cast<std::uint8_t>(records);
  Layout layout;
  EXPECT_EQ(ParseMessage(bytes, layout), ParseStatus::kOk);
  // A pointer to itself and a pointer forwards are malformed.
  Buffer loop = bytes;
  loop[19] = 0xc0;
  loop[20] = 19;
  EXPECT_EQ(ParseMessage(loop, layout), ParseStatus::kMalformed);
  loop[20] = 31;
  EXPECT_EQ(ParseMessage(loop, layout), ParseStatus::kMalformed);
}

TEST(Message, NamesHave255OctetsAtMost) {
  for (const int last : {61, 62}) {
    std::string name;
    for (int i = 0; i < 3; ++i) name += std::string(63, 'x') + '.';
    name += std::string(static_cast<std::size_t>(last), 'y');
    QuerySpec spec;
    spec.name = name;
    Layout layout;
    EXPECT_EQ(ParseMessage(MakeQuery(spec), layout), last == 61 ? ParseStatus::kOk : ParseStatus::kMalformed)
        << last;
  }
}

TEST(Message, SignedOnesAreNotModified) {
  QuerySpec spec;
  spec.edns_size = 4000;
  spec.edns_options = {0, 10, 0, 8, 1, 2, 3, 4, 5, 6, 7, 8};
  Buffer query = MakeQuery(spec);
  // A TSIG record: name, type 250, class ANY, TTL 0, no data.
  for (const std::uint8_t byte : {1, 107, 0, 0, 250, 0, 255, 0, 0, 0, 0, 0, 0}) query.push_back(byte);
  query[11] = 2;
  Layout layout;
  ASSERT_EQ(ParseMessage(query, layout), ParseStatus::kOk);
  EXPECT_TRUE(layout.is_signed);
  EXPECT_EQ(ToResolverQuery(query, layout, 1232), query);
  // No record may follow the signature.
  for (const std::uint8_t byte : {0, 0, 1, 0, 1, 0, 0, 0, 0, 0, 0}) query.push_back(byte);
  query[11] = 3;
  EXPECT_EQ(ParseMessage(query, layout), ParseStatus::kMalformed);
}

TEST(Message, OwnAnswerRepeatsTheQuestionAndSaysWhy) {
  QuerySpec spec;
  spec.edns_size = 1232;
  const Buffer query = MakeQuery(spec);
  Layout layout;
  ASSERT_EQ(ParseMessage(query, layout), ParseStatus::kOk);
  const Buffer answer = MakeResponse(QueryOf(query), Question(query, layout), kServFail,
                                     ExtendedErrorInfo{kNoReachableAuthority, std::string(500, 'x')}, 1232);
  Layout read;
  ASSERT_EQ(ParseMessage(answer, read), ParseStatus::kOk);
  EXPECT_EQ(read.rcode(), kServFail);
  EXPECT_EQ(FindExtendedError(answer, read), kNoReachableAuthority);
  EXPECT_LE(answer.size(), kMaxUdpWithoutEdns);
  EXPECT_EQ(testing::QuestionOf(answer), testing::QuestionOf(query));
  // A client that does not use EDNS gets a response without it.
  const Buffer plain = MakeResponse(QueryOf(MakeQuery({})), {}, kBadVers, ExtendedErrorInfo{}, 1232);
  ASSERT_EQ(ParseMessage(plain, read), ParseStatus::kOk);
  EXPECT_FALSE(read.edns);
}

TEST(Message, ClientWithoutEdnsGetsNoOpt) {
  const Buffer query = MakeQuery({});
  AnswerSpec spec;
  spec.edns_size = 4096;
  const Buffer answer = MakeAnswer(query, spec);
  Layout layout;
  ASSERT_EQ(ParseMessage(answer, layout), ParseStatus::kOk);
  const Buffer out = ToClientResponse(answer, layout, QueryOf(query), 1232);
  EXPECT_EQ(out, MakeAnswer(query));
}

TEST(OutcomeOf, SeparatesFaultsOfTheNameFromThoseOfTheResolver) {
  const auto judged = [](int rcode, int extended_error) {
    AnswerSpec spec;
    spec.rcode = rcode;
    spec.extended_error = extended_error;
    const Buffer answer = MakeAnswer(MakeQuery({}), spec);
    Layout layout;
    EXPECT_EQ(ParseMessage(answer, layout), ParseStatus::kOk);
    return OutcomeOf(answer, layout);
  };
  using balancer::Outcome;
  EXPECT_EQ(judged(kNoError, -1), Outcome::kServed);
  EXPECT_EQ(judged(kNxDomain, -1), Outcome::kServed);
  EXPECT_EQ(judged(kNotImp, -1), Outcome::kServed);
  EXPECT_EQ(judged(kRefused, -1), Outcome::kFull);
  EXPECT_EQ(judged(kServFail, -1), Outcome::kError);
  EXPECT_EQ(judged(kServFail, 23), Outcome::kError);
  for (int code = 5; code <= 12; ++code) EXPECT_EQ(judged(kServFail, code), Outcome::kServed);
  EXPECT_EQ(judged(kServFail, 22), Outcome::kServed);
}

}  // namespace
}  // namespace mothrack::dns
