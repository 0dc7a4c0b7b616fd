// Tests of what the core rejects and evicts, and that the order of updates does not matter.
#include <gtest/gtest.h>

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "gossip/core.h"
#include "gossip/random.h"
#include "gossip/single_node.h"

namespace mothrack::gossip {
namespace {

TEST(Bounds, InvalidUpdatesAreRejectedAndCounted) {
  const std::string too_long(kMaxNameSize + 1, 'x');
  std::vector<MembershipUpdate> invalid(7, MakeMember("m"));
  invalid[0].boot_id.name = too_long;
  invalid[1].boot_id.name = "";
  invalid[2].address = too_long;
  invalid[3].zone = too_long;
  invalid[4].state = static_cast<MemberState>(9);
  invalid[5].boot_id.boot_number = 0;
  invalid[6].incarnation = ~0ull;
  SingleNode node;
  for (const auto& update : invalid) node.ReceiveUpdate(update);
  EXPECT_EQ(node.core.counts().rejected, invalid.size());
  EXPECT_EQ(node.core.alive(), 2u);
  std::vector<Value> values(5, MakeValue(50, 1, 0, 1000, "v"));
  values[0].key = too_long;
  values[1].bytes.resize(kMaxValueSize + 1);
  values[2].ttl = kMaxValueTtl + Duration(1);
  values[3].version = 0;
  values[4].age = Duration(-1);
  for (const auto& value : values) node.ReceiveValue(value);
  EXPECT_EQ(node.core.counts().rejected, invalid.size() + values.size());
  for (std::size_t i = 0; i <= kMaxKeysPerOwner; ++i) {
    EXPECT_EQ(node.core.Put(Numbered("k", i), "v", Duration(1000), At(0)), i < kMaxKeysPerOwner);
    node.ReceiveValue(MakeValue(50, 1, 0, 1000, "v", Numbered("k", i)));
  }
  EXPECT_EQ(node.core.counts().rejected, invalid.size() + values.size() + 1);
}

TEST(Bounds, TheOldestDeadAreEvictedFirst) {
  SingleNode node;
  node.ReceiveUpdate(MakeMember("dead1", 50, 5, MemberState::kDead));
  node.now = 100;
  node.ReceiveUpdate(MakeMember("dead2", 50, 5, MemberState::kDead));
  for (std::size_t i = 4; i < kMaxMembers; ++i) node.ReceiveUpdate(MakeMember(Numbered("n", i)));
  EXPECT_TRUE(node.core.Find("dead1"));
  node.ReceiveUpdate(MakeMember("x1"));
  EXPECT_FALSE(node.core.Find("dead1"));
  EXPECT_TRUE(node.core.Find("dead2"));
  node.ReceiveUpdate(MakeMember("x2"));
  const auto before = node.core.counts().rejected;
  node.ReceiveUpdate(MakeMember("x3"));
  EXPECT_FALSE(node.core.Find("x3"));
  EXPECT_EQ(node.core.counts().rejected, before + 1);
}

// The same updates and values, received in any order, lead to the same state.
TEST(Merge, IsCommutative) {
  for (std::uint64_t seed = 1; seed <= 300; ++seed) {
    Random random(seed);
    std::vector<Message> messages;
    for (int i = 0; i < 12; ++i) {
      Message message = From("helper");
      // One draw a statement: the order in which arguments are evaluated differs between compilers.
      const auto state = static_cast<MemberState>(1 + random.Below(4));
      const auto incarnation = random.Below(3);
      const auto boot_number = 50 + random.Below(2);
      message.updates = {MakeMember("m", boot_number, incarnation, state)};
      const auto version = 1 + random.Below(4);  // determines the bytes and age, as set by the owner
      message.values.push_back(
          MakeValue(50 + random.Below(2), version, version == 3 ? 9000 : 0, 9000, Numbered("v", version)));
      messages.push_back(message);
    }
    // Ensures that the later boot is received in an update too, since a value alone does not create a member.
    messages.push_back(From("helper"));
    messages.back().updates = {MakeMember("m", 51, 0)};
    std::string first;
    for (int permutation = 0; permutation < 6; ++permutation) {
      SingleNode node;
      random.Shuffle(messages);
      for (const auto& message : messages) node.Receive(message);
      const auto stored = node.core.Find("m")->update;
      std::string text =
          std::to_string(stored.boot_id.boot_number) + '/' + std::to_string(static_cast<int>(stored.state));
      // The incarnation of a member that has left does not matter.
      if (stored.state != MemberState::kLeft) text += '/' + std::to_string(stored.incarnation);
      for (const auto& view : node.core.Values("k", At(0))) text += '/' + view.value->bytes;
      if (permutation == 0) first = text;
      ASSERT_EQ(text, first) << "seed " << seed;
    }
  }
}

}  // namespace
}  // namespace mothrack::gossip
