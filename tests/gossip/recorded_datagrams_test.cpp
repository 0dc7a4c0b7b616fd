// Datagrams and the key file as version 0.2.0 had them: each kind of message is written with the same bytes
// and read whole, and the seal is the same but for the stream's random number and the tag over it.
#include <gtest/gtest.h>

#include "gossip/keys.h"
#include "gossip/seal.h"
#include "gossip/wire.h"
#include "support/fixtures.h"

namespace mothrack::gossip {
namespace {

using testing::ToHex;

const std::string kFolder = MOTHRACK_FIXTURES;

// Where the head of a sealed datagram has what (src/gossip/seal.h).
constexpr std::size_t kStreamAt = 6;
constexpr std::size_t kCountAt = 14;

const MembershipUpdate kAnn{
    {"ann", 1'700'000'000'000'000}, 3, MemberState::kAlive, Role::kSidecar, "127.0.0.1:7001", "hall-a"};
const MembershipUpdate kBob{
    {"bob", 1'700'000'000'000'001}, 4, MemberState::kSuspect, Role::kAgent, "127.0.0.1:7002", "hall-b"};
const MembershipUpdate kCid{{"cid", 7}, 0, MemberState::kDead, Role::kSidecar, "[::1]:7003", ""};
const MembershipUpdate kDan{{"dan", 8}, 1, MemberState::kLeft, Role::kAgent, "127.0.0.1:7004", "hall-a"};
const std::vector<MembershipUpdate> kUpdates = {kBob, kCid, kDan};
const std::vector<DigestEntry> kDigest = {{kBob.boot_id, 4, MemberState::kSuspect, 0x0123456789abcdef},
                                          {kCid.boot_id, 0, MemberState::kDead, 0}};

std::vector<Value> Values() {
  return {{kBob.boot_id, "load", 9, Duration{1'234}, Duration{60'000}, std::string("\0\xff x", 4)},
          {kCid.boot_id, "k", 1, Duration{0}, Duration{600'000}, ""}};
}

struct Row {
  const char* name;
  MessageKind kind;
  std::uint64_t sequence;
  MembershipUpdate subject;
  const char* range_from;
  const char* range_to;
  std::vector<DigestEntry> digest;
  std::vector<MembershipUpdate> updates;
  std::vector<Value> values;
};

// In the order of the fixture.
std::vector<Row> Rows() {
  return {{"ping", MessageKind::kPing, 42, kBob, "", "", {}, kUpdates, {}},
          {"ack", MessageKind::kAck, 43, {}, "", "", {}, kUpdates, Values()},
          {"ping_request", MessageKind::kPingRequest, 44, kCid, "", "", {}, kUpdates, {}},
          {"nack", MessageKind::kNack, 45, {}, "", "", {}, {}, {}},
          {"gossip", MessageKind::kGossip, 0, kBob, "", "", {}, kUpdates, {}},
          {"digest", MessageKind::kDigest, 0, {}, "b", "d", kDigest, {}, {}},
          {"records", MessageKind::kRecords, 0, {}, "b", "d", {}, kUpdates, Values()},
          {"leave", MessageKind::kLeave, 0, {}, "", "", {}, kUpdates, {}}};
}

Message MessageOf(const Row& row) {
  Message message;
  message.kind = row.kind;
  message.sender = kAnn;
  message.sequence = row.sequence;
  message.subject = row.subject;
  message.range_from = row.range_from;
  message.range_to = row.range_to;
  message.digest = row.digest;
  message.updates = row.updates;
  message.values = row.values;
  return message;
}

KeyRing Keys() {
  const testing::FixtureDirectory folder;
  return Load(folder.CopyOf(kFolder + "/keys.txt"));
}

TEST(RecordedDatagrams, EachKindIsWrittenWithTheSameBytesAndReadWhole) {
  const auto recorded = testing::ReadHexLines(kFolder + "/datagrams.txt");
  const std::vector<Row> rows = Rows();
  ASSERT_EQ(recorded.size(), rows.size());
  for (std::size_t i = 0; i < rows.size(); ++i) {
    const Message message = MessageOf(rows[i]);
    EXPECT_EQ(recorded[i].first, rows[i].name);
    EXPECT_EQ(ToHex(Encode(message)), ToHex(recorded[i].second)) << rows[i].name;
    DecodeError error;
    const auto read = Decode(recorded[i].second, &error);
    ASSERT_TRUE(read) << rows[i].name << ": " << error.cause;
    EXPECT_EQ(*read, message) << rows[i].name;
  }
}

TEST(RecordedDatagrams, TheKeyFileGivesTheSameKeys) {
  const auto ids = testing::ReadHexLines(kFolder + "/key_ids.txt");
  const KeyRing ring = Keys();
  ASSERT_EQ(ring.size(), 2U);
  ASSERT_EQ(ids.size(), ring.size());
  for (std::size_t i = 0; i < ring.size(); ++i) {
    EXPECT_EQ(ToHex({reinterpret_cast<const char*>(ring[i].id.data()), ring[i].id.size()}),
              ToHex(ids[i].second));
  }
}

// The stream's number is random and the tag covers it: what can't be equal is proven by opening.
TEST(RecordedDatagrams, SealedOnesAreOpenedAndTheSealIsTheSame) {
  const auto sealed = testing::ReadHexLines(kFolder + "/sealed.txt");
  const std::string payload = Encode(MessageOf(Rows().back()));
  ASSERT_EQ(sealed.size(), 3U);
  const KeyRing ring = Keys();
  Seal both(ring);
  Seal first(ring);
  Seal second({ring[1]});
  for (const auto& [key, datagram] : sealed) {
    const auto opened = both.Open(datagram);
    ASSERT_EQ(opened.verdict, SealVerdict::kAccepted) << key;
    EXPECT_EQ(ToHex(opened.payload), ToHex(payload)) << key;
    const auto now = (key == "first" ? first : second).Close(payload);
    ASSERT_TRUE(now);
    ASSERT_EQ(now->size(), datagram.size());
    EXPECT_EQ(ToHex(now->substr(0, kStreamAt)), ToHex(datagram.substr(0, kStreamAt))) << key;
    const std::size_t covered = datagram.size() - kSealTagSize;
    EXPECT_EQ(ToHex(now->substr(kCountAt, covered - kCountAt)),
              ToHex(datagram.substr(kCountAt, covered - kCountAt)))
        << key;
  }
}

}  // namespace
}  // namespace mothrack::gossip
