// Tests compatibility with datagrams and a key file recorded with version 0.2.0: each kind of message is
// encoded to the same bytes and decoded completely, and the seal is equal except for the stream's random
// number and the tag that covers it.
#include <gtest/gtest.h>

#include "gossip/keys.h"
#include "gossip/seal.h"
#include "gossip/wire.h"
#include "support/fixtures.h"

namespace mothrack::gossip {
namespace {

using testing::ToHex;

const std::string kFixtures = MOTHRACK_FIXTURES;

// Offsets in the header of a sealed datagram (src/gossip/seal.h).
constexpr std::size_t kStreamOffset = 6;
constexpr std::size_t kCountOffset = 14;

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

// The fields of a recorded message, whose sender is kAnn.
struct RecordedMessage {
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

// The recorded messages, in the order of fixtures/datagrams.txt.
std::vector<RecordedMessage> RecordedMessages() {
  return {{"ping", MessageKind::kPing, 42, kBob, "", "", {}, kUpdates, {}},
          {"ack", MessageKind::kAck, 43, {}, "", "", {}, kUpdates, Values()},
          {"ping_request", MessageKind::kPingRequest, 44, kCid, "", "", {}, kUpdates, {}},
          {"nack", MessageKind::kNack, 45, {}, "", "", {}, {}, {}},
          {"gossip", MessageKind::kGossip, 0, kBob, "", "", {}, kUpdates, {}},
          {"digest", MessageKind::kDigest, 0, {}, "b", "d", kDigest, {}, {}},
          {"records", MessageKind::kRecords, 0, {}, "b", "d", {}, kUpdates, Values()},
          {"leave", MessageKind::kLeave, 0, {}, "", "", {}, kUpdates, {}}};
}

Message MessageOf(const RecordedMessage& recorded_message) {
  Message message;
  message.kind = recorded_message.kind;
  message.sender = kAnn;
  message.sequence = recorded_message.sequence;
  message.subject = recorded_message.subject;
  message.range_from = recorded_message.range_from;
  message.range_to = recorded_message.range_to;
  message.digest = recorded_message.digest;
  message.updates = recorded_message.updates;
  message.values = recorded_message.values;
  return message;
}

KeyRing Keys() {
  const testing::FixtureDirectory directory;
  return LoadKeys(directory.CopyOf(kFixtures + "/keys.txt"));
}

TEST(RecordedDatagrams, EachKindIsEncodedToTheSameBytesAndDecoded) {
  const auto recorded = testing::ReadHexLines(kFixtures + "/datagrams.txt");
  const std::vector<RecordedMessage> messages = RecordedMessages();
  ASSERT_EQ(recorded.size(), messages.size());
  for (std::size_t i = 0; i < messages.size(); ++i) {
    const Message message = MessageOf(messages[i]);
    EXPECT_EQ(recorded[i].first, messages[i].name);
    EXPECT_EQ(ToHex(Encode(message)), ToHex(recorded[i].second)) << messages[i].name;
    DecodeError error;
    const auto read = Decode(recorded[i].second, &error);
    ASSERT_TRUE(read) << messages[i].name << ": " << error.cause;
    EXPECT_EQ(*read, message) << messages[i].name;
  }
}

TEST(RecordedDatagrams, TheKeyFileGivesTheSameKeys) {
  const auto ids = testing::ReadHexLines(kFixtures + "/key_ids.txt");
  const KeyRing ring = Keys();
  ASSERT_EQ(ring.size(), 2U);
  ASSERT_EQ(ids.size(), ring.size());
  for (std::size_t i = 0; i < ring.size(); ++i) {
    EXPECT_EQ(ToHex({reinterpret_cast<const char*>(ring[i].id.data()), ring[i].id.size()}),
              ToHex(ids[i].second));
  }
}

// The stream's number is random and the tag covers it, so these two cannot be equal; opening the recorded
// datagrams verifies them.
TEST(RecordedDatagrams, RecordedSealsAreAcceptedAndNewSealsAreEqual) {
  const auto sealed = testing::ReadHexLines(kFixtures + "/sealed.txt");
  const std::string payload = Encode(MessageOf(RecordedMessages().back()));
  ASSERT_EQ(sealed.size(), 3U);
  const KeyRing ring = Keys();
  Seal opener(ring);
  Seal first_key_seal(ring);
  Seal second_key_seal({ring[1]});
  for (const auto& [key, datagram] : sealed) {
    const auto opened = opener.Open(datagram);
    ASSERT_EQ(opened.verdict, SealVerdict::kAccepted) << key;
    EXPECT_EQ(ToHex(opened.payload), ToHex(payload)) << key;
    const auto sealed_now = (key == "first" ? first_key_seal : second_key_seal).Close(payload);
    ASSERT_TRUE(sealed_now);
    ASSERT_EQ(sealed_now->size(), datagram.size());
    EXPECT_EQ(ToHex(sealed_now->substr(0, kStreamOffset)), ToHex(datagram.substr(0, kStreamOffset))) << key;
    const std::size_t covered = datagram.size() - kSealTagSize;
    EXPECT_EQ(ToHex(sealed_now->substr(kCountOffset, covered - kCountOffset)),
              ToHex(datagram.substr(kCountOffset, covered - kCountOffset)))
        << key;
  }
}

}  // namespace
}  // namespace mothrack::gossip
