// Tests of the encoding and the seal of datagrams, which may be malicious, of another version or corrupted,
// and of errors in the key file.
#include <gtest/gtest.h>
#include <sodium.h>
#include <sys/stat.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <functional>

#include "gossip/peers.pb.h"
#include "gossip/random_messages.h"
#include "gossip/seal.h"

namespace mothrack::gossip {
namespace {

MembershipUpdate Ann() {
  return {{"ann", 1'700'000'000'000'000}, 3, MemberState::kAlive, Role::kSidecar, "127.0.0.1:7001", "hall-a"};
}

DecodeFault FaultOf(std::string_view bytes) {
  DecodeError error;
  const auto message = Decode(bytes, &error);
  EXPECT_EQ(message.has_value(), error.fault == DecodeFault::kNone);
  EXPECT_EQ(error.cause.empty(), error.fault == DecodeFault::kNone);
  return error.fault;
}

TEST(PeersWire, RandomMessagesRoundTripWithinTheirSizeBounds) {
  MessageGenerator generator(30);
  for (int i = 0; i < 20'000; ++i) {
    const Message message = generator.RandomMessage();
    const std::string bytes = Encode(message);
    ASSERT_LE(bytes.size(), MaxEncodedSizeOfAll(message));
    DecodeError error;
    const auto read = Decode(bytes, &error);
    ASSERT_TRUE(read) << i << ": " << error.cause;
    ASSERT_EQ(*read, message) << i;
  }
}

TEST(PeersWire, TheLargestPartsAreWithinTheirSizeBounds) {
  Message bare;
  bare.sender.boot_id = {std::string(kMaxNameSize, 'n'), kMaxCounter};
  bare.sender.incarnation = kMaxCounter;
  bare.sender.address = std::string(kMaxAddressSize - 2, '1') + ":1";
  bare.sender.zone = bare.sender.boot_id.name;
  bare.subject = bare.sender;
  bare.sequence = ~std::uint64_t{0};
  bare.range_from = bare.range_to = std::string(kMaxNameSize + 1, 'r');
  EXPECT_LE(Encode(bare).size(), MaxEncodedSize(bare));
  const auto grown = [&](const Message& message) { return Encode(message).size() - Encode(bare).size(); };
  Message with_part = bare;
  with_part.digest = {{bare.sender.boot_id, kMaxCounter, MemberState::kLeft, ~std::uint64_t{0}}};
  EXPECT_LE(grown(with_part), MaxEncodedSize(with_part.digest[0]));
  with_part = bare;
  with_part.updates = {bare.sender};
  EXPECT_LE(grown(with_part), MaxEncodedSize(with_part.updates[0]));
  with_part = bare;
  with_part.values = {{bare.sender.boot_id, std::string(24, 'k'), kMaxCounter, kMaxValueTtl, kMaxValueTtl,
                       std::string(256, 'v')}};
  EXPECT_LE(grown(with_part), MaxEncodedSize(with_part.values[0]));
}

// A message truncated between two parts may still be valid, but must never contain other data than the
// original.
TEST(PeersWire, EveryTruncationIsRejectedOrDecodesToAPrefix) {
  MessageGenerator generator(31);
  for (int i = 0; i < 50; ++i) {
    const Message message = generator.RandomMessage();
    const std::string bytes = Encode(message);
    for (std::size_t size = 0; size < bytes.size(); ++size) {
      const auto read = Decode(std::string_view(bytes).substr(0, size));
      if (!read) continue;
      ASSERT_TRUE(bytes.starts_with(Encode(*read))) << size;
    }
  }
}

TEST(PeersWire, ALaterMinorVersionIsReadAndALaterMajorIsCountedSeparately) {
  Message message;
  message.sender = Ann();
  message.updates = {Ann()};
  const std::string bytes = Encode(message);
  std::string later = bytes + "\xa2\x06\x05hello" + "\xa8\x06\x2a";  // fields 100 and 101
  EXPECT_EQ(Decode(later), message);
  // An unknown varint field 15 inside a part, here the only update, is skipped as well.
  pb::Datagram parsed;
  ASSERT_TRUE(parsed.ParseFromString(bytes));
  const std::string part = parsed.updates(0).SerializeAsString();
  later = bytes.substr(0, bytes.size() - part.size() - 1) + static_cast<char>(part.size() + 2) + part +
          "\x78\x01";
  EXPECT_EQ(Decode(later), message);

  using namespace std::string_literals;
  EXPECT_EQ(FaultOf("\x08\x02" + bytes.substr(2)), DecodeFault::kLaterVersion);
  EXPECT_EQ(FaultOf("\x08\x02\xff\xff garbage to us"), DecodeFault::kLaterVersion);
  EXPECT_EQ(FaultOf("\x08\xff\x01"), DecodeFault::kLaterVersion);
  EXPECT_EQ(FaultOf("\x08\x00"s + bytes.substr(2)), DecodeFault::kOutOfBounds);
  EXPECT_EQ(FaultOf(bytes + "\x08\x02"), DecodeFault::kOutOfBounds);  // a second version
  EXPECT_EQ(FaultOf(bytes.substr(2)), DecodeFault::kMalformed);
  EXPECT_EQ(FaultOf("\x08" + std::string(12, '\xff')), DecodeFault::kMalformed);
  EXPECT_EQ(FaultOf(""), DecodeFault::kMalformed);
}

TEST(PeersWire, MessagesBeyondABoundAreRejected) {
  const auto largest = std::string(kMaxNameSize, 'n');
  const std::vector<std::pair<const char*, std::function<void(pb::Datagram&)>>> rows = {
      {"kind 0", [](auto& datagram) { datagram.set_kind(0); }},
      {"kind 9", [](auto& datagram) { datagram.set_kind(9); }},
      {"kind 2^32 + 1", [](auto& datagram) { datagram.set_kind((1ull << 32) + 1); }},
      {"no sender", [](auto& datagram) { datagram.clear_sender(); }},
      {"ping request without subject",
       [](auto& datagram) {
         datagram.set_kind(3);
         datagram.clear_subject();
       }},
      {"subject without a name", [](auto& datagram) { datagram.mutable_subject()->clear_name(); }},
      {"range", [&](auto& datagram) { datagram.set_range_to(largest + "12"); }},
      {"name", [&](auto& datagram) { datagram.mutable_sender()->set_name(largest + "1"); }},
      {"name that is a path", [](auto& datagram) { datagram.mutable_sender()->set_name("../x"); }},
      {"name with a blank", [](auto& datagram) { datagram.mutable_updates(0)->set_name("a b"); }},
      {"boot number", [](auto& datagram) { datagram.mutable_updates(0)->set_boot_number(kMaxCounter + 1); }},
      {"incarnation", [](auto& datagram) { datagram.mutable_updates(0)->set_incarnation(~0ull); }},
      {"state 0", [](auto& datagram) { datagram.mutable_updates(0)->set_state(0); }},
      {"state 5", [](auto& datagram) { datagram.mutable_updates(0)->set_state(5); }},
      {"role 3", [](auto& datagram) { datagram.mutable_updates(0)->set_role(3); }},
      {"address", [](auto& datagram) { datagram.mutable_updates(0)->set_address("host:80"); }},
      {"address without port", [](auto& datagram) { datagram.mutable_updates(0)->set_address("127.0.0.1"); }},
      {"long address",
       [](auto& datagram) { datagram.mutable_updates(0)->set_address(std::string(47, '1') + ":1"); }},
      {"zone", [](auto& datagram) { datagram.mutable_updates(0)->set_zone("hall a"); }},
      {"digest name", [](auto& datagram) { datagram.mutable_digest(0)->set_name(""); }},
      {"digest state", [](auto& datagram) { datagram.mutable_digest(0)->set_state(7); }},
      {"owner", [](auto& datagram) { datagram.mutable_values(0)->set_owner(""); }},
      {"key", [](auto& datagram) { datagram.mutable_values(0)->set_key(std::string(25, 'k')); }},
      {"empty key", [](auto& datagram) { datagram.mutable_values(0)->set_key(""); }},
      {"key with a line break", [](auto& datagram) { datagram.mutable_values(0)->set_key("a\n"); }},
      {"version", [](auto& datagram) { datagram.mutable_values(0)->set_version(kMaxCounter + 1); }},
      {"age", [](auto& datagram) { datagram.mutable_values(0)->set_age_ms(600'001); }},
      {"age below 0",
       [](auto& datagram) { datagram.mutable_values(0)->set_age_ms(static_cast<std::uint64_t>(-1)); }},
      {"time to live", [](auto& datagram) { datagram.mutable_values(0)->set_ttl_ms((1ull << 32) + 5); }},
      {"value", [](auto& datagram) { datagram.mutable_values(0)->set_bytes(std::string(257, 'v')); }},
  };
  Message message;
  message.sender = message.subject = Ann();
  message.digest = {{Ann().boot_id, 1, MemberState::kAlive, 2}};
  message.updates = {Ann()};
  message.values = {{Ann().boot_id, "load", 1, Duration(5), Duration(1000), "7"}};
  pb::Datagram valid;
  ASSERT_TRUE(valid.ParseFromString(Encode(message)));
  EXPECT_EQ(FaultOf(valid.SerializeAsString()), DecodeFault::kNone);
  for (const auto& [description, make_invalid] : rows) {
    pb::Datagram invalid = valid;
    make_invalid(invalid);
    EXPECT_EQ(FaultOf(invalid.SerializeAsString()), DecodeFault::kOutOfBounds) << description;
  }
  message.values.assign(5, {Ann().boot_id, "load", 1, Duration(5), Duration(1000), std::string(256, 'v')});
  EXPECT_EQ(FaultOf(Encode(message)), DecodeFault::kOutOfBounds) << "longer than a datagram";
}

Key KeyOf(std::uint8_t fill) {
  std::array<std::uint8_t, kKeySize> bytes;
  bytes.fill(fill);
  return MakeKey(bytes.data());
}

TEST(PeersSeal, StaysWithinItsReservedSizeAndRejectsLongerDatagrams) {
  Seal sender({KeyOf(1)}), receiver({KeyOf(1)});
  const std::string full(kMaxPayloadSize, 'p');
  const auto sealed = sender.Close(full);
  ASSERT_TRUE(sealed);
  EXPECT_LE(sealed->size(), kMaxDatagramSize);
  EXPECT_EQ(receiver.Open(*sealed).payload, full);
  EXPECT_FALSE(sender.Close(full + "p"));
  EXPECT_EQ(receiver.Open(std::string(kMaxDatagramSize + 1, 'x')).verdict, SealVerdict::kMalformed);
}

TEST(PeersSeal, TruncatedAndCorruptedDatagramsAreRejected) {
  Message message;
  message.sender = Ann();
  Seal sender({KeyOf(1)}), receiver({KeyOf(1), KeyOf(2)});
  const std::string sealed = *sender.Close(Encode(message));
  for (std::size_t size = 0; size < sealed.size(); ++size) {
    ASSERT_NE(receiver.Open(std::string_view(sealed).substr(0, size)).verdict, SealVerdict::kAccepted)
        << size;
  }
  for (std::size_t bit = 0; bit < 8 * sealed.size(); ++bit) {
    std::string other = sealed;
    other[bit / 8] = static_cast<char>(other[bit / 8] ^ 1 << bit % 8);
    ASSERT_NE(receiver.Open(other).verdict, SealVerdict::kAccepted) << bit;
  }
  EXPECT_NE(receiver.Open(sealed + "x").verdict, SealVerdict::kAccepted);
  EXPECT_EQ(receiver.counts().received, 0u);
  EXPECT_EQ(receiver.counts().replayed, 0u) << "forged datagrams must not move the replay window";
  EXPECT_EQ(receiver.Open(sealed).verdict, SealVerdict::kAccepted);
}

TEST(PeersSeal, KeysAreRotatedInThreeStepsWithoutLosingMessages) {
  const Key current_key = KeyOf(1), next_key = KeyOf(2);
  const std::vector<KeyRing> steps = {
      {current_key}, {current_key, next_key}, {next_key, current_key}, {next_key}};
  for (std::size_t i = 0; i < steps.size(); ++i) {
    for (std::size_t j = 0; j < steps.size(); ++j) {
      Seal from(steps[i]), to(steps[j]);
      const bool is_adjacent = i < j ? j - i < 2 : i - j < 2;
      const SealVerdict verdict = to.Open(*from.Close("x")).verdict;
      if (is_adjacent) {
        EXPECT_EQ(verdict, SealVerdict::kAccepted) << i << " to " << j;
      }
    }
  }
  EXPECT_EQ(Seal(steps[3]).Open(*Seal(steps[0]).Close("x")).verdict, SealVerdict::kUnknownKey)
      << "a rotation that skips a step must be rejected";
  // The id of a known key does not help without the key.
  Seal stranger({KeyOf(3)}), member({current_key});
  std::string impostor = *stranger.Close("x");
  EXPECT_EQ(member.Open(impostor).verdict, SealVerdict::kUnknownKey);
  std::copy(current_key.id.begin(), current_key.id.end(), impostor.begin() + 2);
  EXPECT_EQ(member.Open(impostor).verdict, SealVerdict::kForged);
  EXPECT_EQ(member.counts().unknown_key, 1u);
  EXPECT_EQ(member.counts().forged, 1u);
  // The datagrams of a process whose ring is replaced are not rejected as replayed.
  Seal running({current_key}), other({current_key, next_key});
  EXPECT_EQ(other.Open(*running.Close("1")).verdict, SealVerdict::kAccepted);
  running.ReplaceKeys({next_key});
  EXPECT_EQ(other.Open(*running.Close("2")).verdict, SealVerdict::kAccepted);
  EXPECT_THROW(running.ReplaceKeys({}), std::invalid_argument);
}

TEST(PeersSeal, ReplayedDatagramsAreAcceptedOnce) {
  Seal sender({KeyOf(1)}), receiver({KeyOf(1)}), restarted({KeyOf(1)});
  std::vector<std::string> sent;
  for (int i = 0; i < 100; ++i) sent.push_back(*sender.Close("x"));
  for (int i = 99; i >= 0; --i) {  // in reverse order: 64 are within the window
    EXPECT_EQ(receiver.Open(sent[static_cast<std::size_t>(i)]).verdict,
              i >= 36 ? SealVerdict::kAccepted : SealVerdict::kReplayed)
        << i;
  }
  for (const auto& datagram : sent) EXPECT_EQ(receiver.Open(datagram).verdict, SealVerdict::kReplayed);
  EXPECT_EQ(receiver.counts().received, 64u);
  EXPECT_EQ(sender.Open(sent[0]).verdict, SealVerdict::kReplayed) << "a process must reject its own datagram";
  EXPECT_EQ(receiver.Open(*restarted.Close("x")).verdict, SealVerdict::kAccepted)
      << "the next process of a member has a stream of its own";
}

TEST(PeersSeal, TheReplayWindowEvictsTheStreamIdleForLongest) {
  ReplayWindow window(3);
  for (const std::uint64_t stream : {1, 2, 3, 1})
    EXPECT_TRUE(window.Accept(stream, stream == 1 ? window.streams() + 1 : 5));
  EXPECT_TRUE(window.Accept(4, 1));  // evicts stream 2
  EXPECT_EQ(window.streams(), 3u);
  EXPECT_FALSE(window.Accept(3, 5));
  EXPECT_FALSE(window.Accept(1, 4));
  EXPECT_TRUE(window.Accept(2, 5));
  EXPECT_TRUE(window.Accept(1, ~0ull));
  EXPECT_FALSE(window.Accept(1, 1));
}

// Compares the window with a record of all accepted sequence numbers.
TEST(PeersSeal, TheReplayWindowAcceptsNothingTwiceInAnySequence) {
  MessageGenerator generator(32);
  ReplayWindow window;
  std::vector<bool> already_accepted(4000);
  std::uint64_t latest = 0;
  for (std::uint64_t i = 0; i < 40'000; ++i) {
    const std::uint64_t sequence_number = std::min<std::uint64_t>(3999, i / 10 + generator.Below(100));
    latest = std::max(latest, sequence_number);
    const bool accepted = window.Accept(7, sequence_number);
    ASSERT_EQ(accepted, !already_accepted[sequence_number] && latest - sequence_number < 64) << i;
    if (accepted) already_accepted[sequence_number] = true;
  }
}

class PeersKeys : public ::testing::Test {
 protected:
  PeersKeys() : path_("/tmp/peers_keys_" + std::to_string(::getpid())) {}
  ~PeersKeys() override { std::filesystem::remove(path_); }
  void WriteFile(const std::string& text, mode_t mode = 0600) {
    std::ofstream(path_, std::ios::trunc) << text;
    ::chmod(path_.c_str(), mode);
  }
  std::string ErrorOfLoading() {
    try {
      LoadKeys(path_);
    } catch (const KeyFileError& error) {
      return error.what();
    }
    return "none";
  }
  std::string path_;
  const std::string hex_ = "000102030405060708090a0b0c0d0e0f101112131415161718191a1b1c1d1e1f";
  const std::string base64_ = "AAECAwQFBgcICQoLDA0ODxAREhMUFRYXGBkaGxwdHh8=";  // of the same bytes
  const std::string other_ = "ff" + hex_.substr(2);
};

TEST_F(PeersKeys, OneOrTwoAreReadInFileOrder) {
  WriteFile("# of the cluster\n\n  " + hex_ + " \r\n\t" + other_);
  const KeyRing two = LoadKeys(path_);
  ASSERT_EQ(two.size(), 2u);
  WriteFile(base64_ + '\n', 0400);
  const KeyRing one = LoadKeys(path_);
  ASSERT_EQ(one.size(), 1u);
  EXPECT_EQ(one[0].id, two[0].id);
  EXPECT_EQ(Seal(two).Open(*Seal(one).Close("x")).verdict, SealVerdict::kAccepted);
  EXPECT_NE(two[0].id, two[1].id);
}

TEST_F(PeersKeys, EachErrorNamesItsLineAndRemedy) {
  const std::vector<std::pair<std::string, std::string>> rows = {
      {hex_.substr(1) + "\n",
       ":1: the key has 63 characters instead of 64 hex or 44 base64 characters; write 32 random bytes"},
      {"# x\n" + hex_ + "\nxy" + hex_.substr(2), ":3: the key is not hex; write 32 random bytes"},
      {"!!" + base64_.substr(2), ":1: the key is not base64; write 32 random bytes"},
      {base64_.substr(0, 41) + "A==", ":1: the key is not base64; write 32 random bytes"},
      {hex_ + "\n\n" + base64_, ":3: the same key as in line 1; remove one of the two"},
      {hex_ + "\n" + other_ + "\n" + hex_, ":3: a third key; remove one that no member seals with any more"},
      {"\n" + std::string(64, '0'), ":2: the key repeats a single byte; write 32 random bytes"},
      {"# none yet\n", ": contains no key; write 32 random bytes"},
      {"", ": contains no key; write 32 random bytes"},
      {std::string(5000, '#'), ": is longer than 4096 bytes; keep one or two keys"},
  };
  for (const auto& [text, fault] : rows) {
    WriteFile(text);
    EXPECT_TRUE(ErrorOfLoading().starts_with(path_ + fault)) << ErrorOfLoading();
    EXPECT_EQ(ErrorOfLoading().find(hex_.substr(8, 16)), std::string::npos)
        << "the error must not contain the key";
  }
}

TEST_F(PeersKeys, AFileWithAnUnsafeModeOrAnotherOwnerIsRejected) {
  for (const mode_t mode : {0644, 0640, 0604, 0620, 0700}) {
    WriteFile(hex_, mode);
    EXPECT_EQ(ErrorOfLoading(),
              path_ +
                  ": its mode allows more than reading and writing by its owner; chmod it to 0600, and "
                  "replace the keys if others may have read them")
        << mode;
  }
  std::filesystem::remove(path_);
  EXPECT_EQ(ErrorOfLoading(),
            path_ + ": cannot be opened: No such file or directory; create it with mode 0600");
  ASSERT_EQ(::mkfifo(path_.c_str(), 0600), 0);
  EXPECT_EQ(ErrorOfLoading(), path_ + ": is not a regular file; give the path of one");
  std::filesystem::remove(path_);
  if (::geteuid() != 0) return;  // only root can give a file away
  WriteFile(hex_);
  ASSERT_EQ(::chown(path_.c_str(), 12345, 12345), 0);
  EXPECT_EQ(ErrorOfLoading(), path_ + ": belongs to user 12345; chown it to user 0, who runs this program");
}

}  // namespace
}  // namespace mothrack::gossip
