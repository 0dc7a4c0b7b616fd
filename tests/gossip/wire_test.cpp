// What a peer may do to a datagram, by malice, by age or by accident, and what an operator to the key file.
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
  MessageGenerator draw(30);
  for (int i = 0; i < 20'000; ++i) {
    const Message message = draw.RandomMessage();
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
  Message one = bare;
  one.digest = {{bare.sender.boot_id, kMaxCounter, MemberState::kLeft, ~std::uint64_t{0}}};
  EXPECT_LE(grown(one), MaxEncodedSize(one.digest[0]));
  one = bare;
  one.updates = {bare.sender};
  EXPECT_LE(grown(one), MaxEncodedSize(one.updates[0]));
  one = bare;
  one.values = {{bare.sender.boot_id, std::string(24, 'k'), kMaxCounter, kMaxValueTtl, kMaxValueTtl,
                 std::string(256, 'v')}};
  EXPECT_LE(grown(one), MaxEncodedSize(one.values[0]));
}

// A cut may fall between two parts, and the rest is a message; it is never another one's words.
TEST(PeersWire, EveryTruncationIsRejectedOrDecodesToAPrefix) {
  MessageGenerator draw(31);
  for (int i = 0; i < 50; ++i) {
    const Message message = draw.RandomMessage();
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
  // Inside a part as well: the last one is the news; a varint field 15 more.
  pb::Datagram whole;
  ASSERT_TRUE(whole.ParseFromString(bytes));
  const std::string part = whole.updates(0).SerializeAsString();
  later = bytes.substr(0, bytes.size() - part.size() - 1) + static_cast<char>(part.size() + 2) + part +
          "\x78\x01";
  EXPECT_EQ(Decode(later), message);

  using namespace std::string_literals;
  EXPECT_EQ(FaultOf("\x08\x02" + bytes.substr(2)), DecodeFault::kLater);
  EXPECT_EQ(FaultOf("\x08\x02\xff\xff garbage to us"), DecodeFault::kLater);
  EXPECT_EQ(FaultOf("\x08\xff\x01"), DecodeFault::kLater);
  EXPECT_EQ(FaultOf("\x08\x00"s + bytes.substr(2)), DecodeFault::kBounds);
  EXPECT_EQ(FaultOf(bytes + "\x08\x02"), DecodeFault::kBounds);  // a second version
  EXPECT_EQ(FaultOf(bytes.substr(2)), DecodeFault::kMalformed);
  EXPECT_EQ(FaultOf("\x08" + std::string(12, '\xff')), DecodeFault::kMalformed);
  EXPECT_EQ(FaultOf(""), DecodeFault::kMalformed);
}

TEST(PeersWire, MessagesBeyondABoundAreRejected) {
  const auto largest = std::string(kMaxNameSize, 'n');
  const std::vector<std::pair<const char*, std::function<void(pb::Datagram&)>>> rows = {
      {"kind 0", [](auto& d) { d.set_kind(0); }},
      {"kind 9", [](auto& d) { d.set_kind(9); }},
      {"kind 2^32 + 1", [](auto& d) { d.set_kind((1ull << 32) + 1); }},
      {"no sender", [](auto& d) { d.clear_sender(); }},
      {"ping for nobody",
       [](auto& d) {
         d.set_kind(3);
         d.clear_subject();
       }},
      {"a subject of no name", [](auto& d) { d.mutable_subject()->clear_name(); }},
      {"range", [&](auto& d) { d.set_range_to(largest + "12"); }},
      {"name", [&](auto& d) { d.mutable_sender()->set_name(largest + "1"); }},
      {"name of a folder", [](auto& d) { d.mutable_sender()->set_name("../x"); }},
      {"name with a blank", [](auto& d) { d.mutable_updates(0)->set_name("a b"); }},
      {"born", [](auto& d) { d.mutable_updates(0)->set_boot_number(kMaxCounter + 1); }},
      {"incarnation", [](auto& d) { d.mutable_updates(0)->set_incarnation(~0ull); }},
      {"state 0", [](auto& d) { d.mutable_updates(0)->set_state(0); }},
      {"state 5", [](auto& d) { d.mutable_updates(0)->set_state(5); }},
      {"role 3", [](auto& d) { d.mutable_updates(0)->set_role(3); }},
      {"address", [](auto& d) { d.mutable_updates(0)->set_address("host:80"); }},
      {"address without port", [](auto& d) { d.mutable_updates(0)->set_address("127.0.0.1"); }},
      {"long address", [](auto& d) { d.mutable_updates(0)->set_address(std::string(47, '1') + ":1"); }},
      {"zone", [](auto& d) { d.mutable_updates(0)->set_zone("hall a"); }},
      {"digest name", [](auto& d) { d.mutable_digest(0)->set_name(""); }},
      {"digest state", [](auto& d) { d.mutable_digest(0)->set_state(7); }},
      {"owner", [](auto& d) { d.mutable_values(0)->set_owner(""); }},
      {"key", [](auto& d) { d.mutable_values(0)->set_key(std::string(25, 'k')); }},
      {"key of none", [](auto& d) { d.mutable_values(0)->set_key(""); }},
      {"key with a line's end", [](auto& d) { d.mutable_values(0)->set_key("a\n"); }},
      {"version", [](auto& d) { d.mutable_values(0)->set_version(kMaxCounter + 1); }},
      {"age", [](auto& d) { d.mutable_values(0)->set_age_ms(600'001); }},
      {"age below 0", [](auto& d) { d.mutable_values(0)->set_age_ms(static_cast<std::uint64_t>(-1)); }},
      {"lasts", [](auto& d) { d.mutable_values(0)->set_ttl_ms((1ull << 32) + 5); }},
      {"value", [](auto& d) { d.mutable_values(0)->set_bytes(std::string(257, 'v')); }},
  };
  Message message;
  message.sender = message.subject = Ann();
  message.digest = {{Ann().boot_id, 1, MemberState::kAlive, 2}};
  message.updates = {Ann()};
  message.values = {{Ann().boot_id, "load", 1, Duration(5), Duration(1000), "7"}};
  pb::Datagram good;
  ASSERT_TRUE(good.ParseFromString(Encode(message)));
  EXPECT_EQ(FaultOf(good.SerializeAsString()), DecodeFault::kNone);
  for (const auto& [what, spoil] : rows) {
    pb::Datagram bad = good;
    spoil(bad);
    EXPECT_EQ(FaultOf(bad.SerializeAsString()), DecodeFault::kBounds) << what;
  }
  message.values.assign(5, {Ann().boot_id, "load", 1, Duration(5), Duration(1000), std::string(256, 'v')});
  EXPECT_EQ(FaultOf(Encode(message)), DecodeFault::kBounds) << "longer than a datagram";
}

Key KeyOf(std::uint8_t fill) {
  std::array<std::uint8_t, kKeySize> bytes;
  bytes.fill(fill);
  return MakeKey(bytes.data());
}

TEST(PeersSeal, StaysWithinItsReservedSizeAndRejectsLongerDatagrams) {
  Seal a({KeyOf(1)}), b({KeyOf(1)});
  const std::string full(kMaxPayloadSize, 'p');
  const auto sealed = a.Close(full);
  ASSERT_TRUE(sealed);
  EXPECT_LE(sealed->size(), kMaxDatagramSize);
  EXPECT_EQ(b.Open(*sealed).payload, full);
  EXPECT_FALSE(a.Close(full + "p"));
  EXPECT_EQ(b.Open(std::string(kMaxDatagramSize + 1, 'x')).verdict, SealVerdict::kNoDatagram);
}

TEST(PeersSeal, TruncatedAndCorruptedDatagramsAreRejected) {
  Message message;
  message.sender = Ann();
  Seal a({KeyOf(1)}), b({KeyOf(1), KeyOf(2)});
  const std::string sealed = *a.Close(Encode(message));
  for (std::size_t size = 0; size < sealed.size(); ++size) {
    ASSERT_NE(b.Open(std::string_view(sealed).substr(0, size)).verdict, SealVerdict::kAccepted) << size;
  }
  for (std::size_t bit = 0; bit < 8 * sealed.size(); ++bit) {
    std::string other = sealed;
    other[bit / 8] = static_cast<char>(other[bit / 8] ^ 1 << bit % 8);
    ASSERT_NE(b.Open(other).verdict, SealVerdict::kAccepted) << bit;
  }
  EXPECT_NE(b.Open(sealed + "x").verdict, SealVerdict::kAccepted);
  EXPECT_EQ(b.counts().received, 0u);
  EXPECT_EQ(b.counts().replayed, 0u) << "what is forged must not have moved the window";
  EXPECT_EQ(b.Open(sealed).verdict, SealVerdict::kAccepted);
}

TEST(PeersSeal, KeysAreRotatedInThreeStepsWithoutLosingMessages) {
  const Key old = KeyOf(1), young = KeyOf(2);
  const std::vector<KeyRing> steps = {{old}, {old, young}, {young, old}, {young}};
  for (std::size_t i = 0; i < steps.size(); ++i) {
    for (std::size_t j = 0; j < steps.size(); ++j) {
      Seal from(steps[i]), to(steps[j]);
      const bool near = i < j ? j - i < 2 : i - j < 2;
      const SealVerdict verdict = to.Open(*from.Close("x")).verdict;
      if (near) {
        EXPECT_EQ(verdict, SealVerdict::kAccepted) << i << " to " << j;
      }
    }
  }
  EXPECT_EQ(Seal(steps[3]).Open(*Seal(steps[0]).Close("x")).verdict, SealVerdict::kUnknownKey)
      << "a step left out";
  // The name of a key that is known does not help without the key.
  Seal stranger({KeyOf(3)}), member({old});
  std::string posing = *stranger.Close("x");
  EXPECT_EQ(member.Open(posing).verdict, SealVerdict::kUnknownKey);
  std::copy(old.id.begin(), old.id.end(), posing.begin() + 2);
  EXPECT_EQ(member.Open(posing).verdict, SealVerdict::kForged);
  EXPECT_EQ(member.counts().unknown_key, 1u);
  EXPECT_EQ(member.counts().forged, 1u);
  // A ring changes under a running process without its datagrams being taken for repeated ones.
  Seal running({old}), other({old, young});
  EXPECT_EQ(other.Open(*running.Close("1")).verdict, SealVerdict::kAccepted);
  running.Use({young});
  EXPECT_EQ(other.Open(*running.Close("2")).verdict, SealVerdict::kAccepted);
  EXPECT_THROW(running.Use({}), std::invalid_argument);
}

TEST(PeersSeal, ReplayedDatagramsAreAcceptedOnce) {
  Seal a({KeyOf(1)}), b({KeyOf(1)}), again({KeyOf(1)});
  std::vector<std::string> sent;
  for (int i = 0; i < 100; ++i) sent.push_back(*a.Close("x"));
  for (int i = 99; i >= 0; --i) {  // the wrong way round: 64 are within the window
    EXPECT_EQ(b.Open(sent[static_cast<std::size_t>(i)]).verdict,
              i >= 36 ? SealVerdict::kAccepted : SealVerdict::kReplayed)
        << i;
  }
  for (const auto& one : sent) EXPECT_EQ(b.Open(one).verdict, SealVerdict::kReplayed);
  EXPECT_EQ(b.counts().received, 64u);
  EXPECT_EQ(a.Open(sent[0]).verdict, SealVerdict::kReplayed) << "its own, come back";
  EXPECT_EQ(b.Open(*again.Close("x")).verdict, SealVerdict::kAccepted)
      << "the next process of a member begins anew";
}

TEST(PeersSeal, TheReplayWindowEvictsTheStreamIdleForLongest) {
  ReplayWindow window(3);
  for (const std::uint64_t stream : {1, 2, 3, 1})
    EXPECT_TRUE(window.Accept(stream, stream == 1 ? window.streams() + 1 : 5));
  EXPECT_TRUE(window.Accept(4, 1));  // 2 goes
  EXPECT_EQ(window.streams(), 3u);
  EXPECT_FALSE(window.Accept(3, 5));
  EXPECT_FALSE(window.Accept(1, 4));
  EXPECT_TRUE(window.Accept(2, 5));
  EXPECT_TRUE(window.Accept(1, ~0ull));
  EXPECT_FALSE(window.Accept(1, 1));
}

// Against a window that remembers all.
TEST(PeersSeal, TheReplayWindowAcceptsNothingTwiceInAnySequence) {
  MessageGenerator draw(32);
  ReplayWindow window;
  std::vector<bool> taken(4000);
  std::uint64_t latest = 0;
  for (std::uint64_t i = 0; i < 40'000; ++i) {
    const std::uint64_t count = std::min<std::uint64_t>(3999, i / 10 + draw.Below(100));
    latest = std::max(latest, count);
    const bool took = window.Accept(7, count);
    ASSERT_EQ(took, !taken[count] && latest - count < 64) << i;
    if (took) taken[count] = true;
  }
}

class PeersKeys : public ::testing::Test {
 protected:
  PeersKeys() : path_("/tmp/peers_keys_" + std::to_string(::getpid())) {}
  ~PeersKeys() override { std::filesystem::remove(path_); }
  void Put(const std::string& text, mode_t mode = 0600) {
    std::ofstream(path_, std::ios::trunc) << text;
    ::chmod(path_.c_str(), mode);
  }
  std::string Fault() {
    try {
      Load(path_);
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
  Put("# of the cluster\n\n  " + hex_ + " \r\n\t" + other_);
  const KeyRing two = Load(path_);
  ASSERT_EQ(two.size(), 2u);
  Put(base64_ + '\n', 0400);
  const KeyRing one = Load(path_);
  ASSERT_EQ(one.size(), 1u);
  EXPECT_EQ(one[0].id, two[0].id);
  EXPECT_EQ(Seal(two).Open(*Seal(one).Close("x")).verdict, SealVerdict::kAccepted);
  EXPECT_NE(two[0].id, two[1].id);
}

TEST_F(PeersKeys, EachFaultIsNamedWithItsLineAndRemedy) {
  const std::vector<std::pair<std::string, std::string>> rows = {
      {hex_.substr(1) + "\n",
       ":1: a key of 63 characters, where 64 hex or 44 base64 are wanted; write 32 random bytes"},
      {"# x\n" + hex_ + "\nxy" + hex_.substr(2), ":3: the key is not hex; write 32 random bytes"},
      {"!!" + base64_.substr(2), ":1: the key is not base64; write 32 random bytes"},
      {base64_.substr(0, 41) + "A==", ":1: the key is not base64; write 32 random bytes"},
      {hex_ + "\n\n" + base64_, ":3: the same key as in line 1; take out one of the two"},
      {hex_ + "\n" + other_ + "\n" + hex_, ":3: a third key; take out one that nobody seals with any more"},
      {"\n" + std::string(64, '0'), ":2: the key is one byte over and over; write 32 random bytes"},
      {"# none yet\n", ": holds no key; write 32 random bytes"},
      {"", ": holds no key; write 32 random bytes"},
      {std::string(5000, '#'), ": is longer than 4096 bytes; keep one or two keys"},
  };
  for (const auto& [text, fault] : rows) {
    Put(text);
    EXPECT_TRUE(Fault().starts_with(path_ + fault)) << Fault();
    EXPECT_EQ(Fault().find(hex_.substr(8, 16)), std::string::npos) << "the key itself was told";
  }
}

TEST_F(PeersKeys, AFileAccessibleToOthersIsRejected) {
  for (const mode_t mode : {0644, 0640, 0604, 0620, 0700}) {
    Put(hex_, mode);
    EXPECT_EQ(Fault(), path_ + ": others may use it; chmod 0600 it, and change the keys if they were read")
        << mode;
  }
  std::filesystem::remove(path_);
  EXPECT_EQ(Fault(), path_ + ": cannot be opened: No such file or directory; make it with mode 0600");
  ASSERT_EQ(::mkfifo(path_.c_str(), 0600), 0);
  EXPECT_EQ(Fault(), path_ + ": is no regular file; give the path of one");
  std::filesystem::remove(path_);
  if (::geteuid() != 0) return;  // only root can give a file away
  Put(hex_);
  ASSERT_EQ(::chown(path_.c_str(), 12345, 12345), 0);
  EXPECT_EQ(Fault(), path_ + ": belongs to user 12345; chown it to 0, who runs this");
}

}  // namespace
}  // namespace mothrack::gossip
