// A tool's claim of the lease of many agents.
#include "rollout/claim.h"

#include <chrono>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "gtest/gtest.h"
#include "rollout/lease.h"
#include "rollout/rollout_test_support.h"

namespace mothrack::rollout {
namespace {

using std::chrono::milliseconds;
using testing::At;
using testing::HolderNamed;
using Verdict = Lessor::Verdict;

// Agents that answer a claim at once.
struct Agents {
  std::map<std::string, Lessor> lessors;
  Agents() {
    for (const char* name : {"a", "b", "c", "d"})
      lessors.emplace(name, Lessor({}, milliseconds(10'000), At(0)));
  }
  std::set<std::string> Names() const {
    std::set<std::string> names;
    for (const auto& [name, lessor] : lessors) names.insert(name);
    return names;
  }
  // Runs one tick of the claim; agents in `unresponsive` do not answer.
  void Tick(Claim& claim, const Holder& holder, TimePoint now,
            const std::set<std::string>& unresponsive = {}) {
    std::vector<ClaimCommand> commands;
    claim.Tick(now, commands);
    for (const ClaimCommand& command : commands) {
      if (unresponsive.contains(command.agent)) continue;
      Lessor& lessor = lessors.at(command.agent);
      const auto current_holder = lessor.holder(now);
      switch (command.kind) {
        case ClaimCommand::Kind::kReadEpoch:
          claim.OnHighestEpoch(command.agent, lessor.state().highest);
          break;
        case ClaimCommand::Kind::kAcquire:
          claim.OnLeaseAnswer(holder.claim_id, command.agent, command.epoch,
                              lessor.Acquire(command.epoch, holder, now), current_holder,
                              lessor.state().open && lessor.state().open->change == holder.change);
          break;
        case ClaimCommand::Kind::kOpen:
          claim.OnLeaseAnswer(holder.claim_id, command.agent, command.epoch,
                              lessor.Open(command.epoch, holder, now), current_holder, true);
          break;
        case ClaimCommand::Kind::kRelease:
          lessor.Release(command.epoch, holder.claim_id, false);
          break;
      }
    }
  }
};

TEST(Claim, OneOfTwoConcurrentClaimsIsGranted) {
  Agents agents;
  const Holder ann = HolderNamed("ann", "c1");
  const Holder bob = HolderNamed("bob", "c2");
  Claim first("ann", agents.Names(), agents.Names(), false, milliseconds(1000), At(0));
  Claim second("bob", agents.Names(), agents.Names(), false, milliseconds(1000), At(0));
  for (int i = 0; i < 12; ++i) {
    agents.Tick(first, ann, At(i));
    agents.Tick(second, bob, At(i));
  }
  ASSERT_TRUE(first.granted());
  EXPECT_FALSE(second.granted());
  EXPECT_NE(second.rejection().find("at the same time"), std::string::npos) << second.rejection();
  Claim third("bob", agents.Names(), agents.Names(), false, milliseconds(1000), At(100));
  for (int i = 0; i < 12; ++i) agents.Tick(third, bob, At(100 + i));
  EXPECT_EQ(third.rejection(), "ann holds the lease of the fleet for c1 (a test)");
  for (const auto& [name, lessor] : agents.lessors) EXPECT_EQ(lessor.holder(At(200))->who, "ann") << name;
}

TEST(Claim, NeedsAMajorityAndAllRequiredAgents) {
  const auto result_of = [](const std::set<std::string>& required,
                            const std::set<std::string>& unresponsive) {
    Agents agents;
    Claim claim("ann", agents.Names(), required, false, milliseconds(1000), At(0));
    for (int i = 0; i < 100; ++i) agents.Tick(claim, HolderNamed("ann", "c1"), At(i * 100), unresponsive);
    return claim.granted() ? "granted" : claim.rejection();
  };
  EXPECT_EQ(result_of({"a"}, {"d"}), "granted");
  EXPECT_EQ(result_of({"a", "d"}, {"d"}), "can't be reached: d");
  EXPECT_EQ(result_of({"a"}, {"c", "d"}), "can't be reached: c, d")
      << "the other two may have granted it to another";
}

TEST(Claim, ResumeOfAClosedChangeIsRejected) {
  Agents agents;
  const Holder ann = HolderNamed("ann", "c1");
  Claim closed("ann", agents.Names(), agents.Names(), true, milliseconds(1000), At(0));
  for (int i = 0; i < 12; ++i) agents.Tick(closed, ann, At(i));
  EXPECT_EQ(closed.rejection(), "the change has ended in the meantime");
  Lessor& lessor = agents.lessors.at("c");
  ASSERT_EQ(lessor.Acquire(9, ann, At(20)), Verdict::kGranted);
  ASSERT_EQ(lessor.Open(9, ann, At(20)), Verdict::kGranted);
  Claim open("ann", agents.Names(), agents.Names(), true, milliseconds(1000), At(20));
  for (int i = 0; i < 12; ++i) agents.Tick(open, ann, At(20 + i));
  EXPECT_TRUE(open.granted()) << open.rejection();
}

// Guards against a fault that the random history of seed 98150 found. A claim for c1 was rejected while its
// request to "a" was still in flight. The answer arrived after the operator's second claim, for c4, had
// chosen the same epoch, and was matched to that claim. Then c1 was open at "a" and c4 elsewhere, and neither
// could be closed.
TEST(Claim, AnswersToAnEarlierClaimAreIgnored) {
  Agents agents;
  const Holder first{"c1", "ann", "a test", 0, "ann.1"};
  const Holder second{"c4", "ann", "a test", 0, "ann.2"};
  Claim claim(second.claim_id, agents.Names(), agents.Names(), false, milliseconds(1000), At(0));
  agents.Tick(claim, second, At(0));                  // reads the highest epoch
  agents.Tick(claim, second, At(1), agents.Names());  // requests epoch 1 of "a", whose answer is late
  Lessor& lessor_a = agents.lessors.at("a");
  claim.OnLeaseAnswer(first.claim_id, "a", 1, lessor_a.Acquire(1, first, At(2)), std::nullopt, false);
  for (int i = 0; i < 12; ++i) agents.Tick(claim, second, At(500 + i));
  EXPECT_FALSE(claim.granted());
  EXPECT_NE(claim.rejection().find("at the same time"), std::string::npos) << claim.rejection();
  for (const auto& [name, lessor] : agents.lessors) EXPECT_FALSE(lessor.state().open) << name;
  EXPECT_EQ(agents.lessors.at("b").state().highest, 0U)
      << "the claim continued without the lease of the previous agent";
}

TEST(Claim, ReleasesGrantedLeasesWhenRejected) {
  Agents agents;
  ASSERT_EQ(agents.lessors.at("c").Acquire(5, HolderNamed("bob", "c2"), At(0)), Verdict::kGranted);
  Claim claim("ann", agents.Names(), agents.Names(), false, milliseconds(1000), At(0));
  for (int i = 0; i < 12; ++i) agents.Tick(claim, HolderNamed("ann", "c1"), At(i));
  EXPECT_EQ(claim.rejection(), "bob holds the lease of the fleet for c2 (a test)");
  for (const char* name : {"a", "b", "d"}) EXPECT_FALSE(agents.lessors.at(name).holder(At(20))) << name;
  EXPECT_EQ(agents.lessors.at("c").holder(At(20))->who, "bob");
}

}  // namespace
}  // namespace mothrack::rollout
