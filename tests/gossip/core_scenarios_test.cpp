// Scripted scenarios in a simulated network: loss, restarts, pauses, partitions, leaving.
#include <gtest/gtest.h>

#include <cstddef>
#include <string>

#include "gossip/scenario.h"
#include "gossip/single_node.h"

namespace mothrack::gossip {
namespace {

TEST(Scenarios, LossDelayAndDuplicatesCauseNoFalseDeath) {
  Scenario scenario(30);
  scenario.links = {10, 5, 150, 100};
  for (std::size_t i = 0; i < 30; i += 3) scenario.nodes[i].clock_rate = 1.05;
  scenario.Run(1'200'000);
  EXPECT_TRUE(scenario.deaths.empty());
  EXPECT_EQ(scenario.violation, "");
  EXPECT_LT(scenario.ticks, 30u * 1200 * 20) << "Tick() was called more often than anything was due";
  for (std::size_t i = 0; i < 30; ++i) scenario.PutValue(i, Numbered("w", i));
  EXPECT_LT(scenario.RunUntilAgreed(30'000), 30'000) << scenario.FindDisagreement();
}

TEST(Scenarios, ADeadMemberIsDetectedAndReturnsAsALaterIncarnation) {
  Scenario scenario(20);
  scenario.Run(10'000);
  scenario.PutValue(3, "former", 60'000);
  scenario.Run(3000);
  scenario.Kill(3);
  scenario.published.clear();
  EXPECT_LT(scenario.RunUntilAgreed(15'000), 8000) << scenario.FindDisagreement();
  EXPECT_EQ(scenario.nodes[0].core->known(), 20u);
  EXPECT_EQ(scenario.nodes[0].core->alive(), 19u);
  scenario.Start(3, 500);  // its clock went back: a lower boot number than before
  EXPECT_LT(scenario.RunUntilAgreed(10'000), 5000) << scenario.FindDisagreement();
  EXPECT_GT(scenario.nodes[3].core->self().boot_id.boot_number, 1'000'000u);
}

TEST(Scenarios, AStoppedMemberResumesWithItsOldState) {
  Scenario scenario(20);
  scenario.Run(10'000);
  scenario.Kill(4);  // may still be suspected when node 7 stops
  scenario.Run(700);
  scenario.Stop(7);
  scenario.Run(60'000);
  EXPECT_EQ(scenario.deaths[scenario.nodes[7].name], 18);
  scenario.deaths.clear();
  scenario.Continue(7);
  // It learns of the death of node 4 from records, and therefore suspects that node first.
  EXPECT_LT(scenario.RunUntilAgreed(20'000), 20'000) << scenario.FindDisagreement();
  scenario.Run(20'000);
  scenario.deaths.erase(scenario.nodes[4].name);
  EXPECT_TRUE(scenario.deaths.empty()) << "declared dead: " << scenario.deaths.begin()->first;
}

TEST(Scenarios, HealedPartitionsMerge) {
  Scenario scenario(40);
  scenario.Run(10'000);
  for (std::size_t i = 0; i < 20; ++i) scenario.nodes[i].group = 1;
  scenario.Run(60'000);
  EXPECT_EQ(scenario.nodes[5].core->alive(), 20u);
  EXPECT_EQ(scenario.nodes[5].core->known(), 40u);
  for (std::size_t i = 0; i < 40; ++i) scenario.PutValue(i, Numbered("w", i));
  scenario.Run(5000);
  scenario.deaths.clear();
  for (auto& node : scenario.nodes) node.group = 0;
  EXPECT_LT(scenario.RunUntilAgreed(60'000), 30'000) << scenario.FindDisagreement();
  EXPECT_TRUE(scenario.deaths.empty()) << "live members were declared dead after the partition healed";
}

TEST(Scenarios, AllMembersRestartAtOnce) {
  Scenario scenario(60);
  scenario.Run(10'000);
  for (std::size_t i = 0; i < 60; ++i) scenario.Kill(i);
  scenario.Run(1000);
  scenario.StartAll();
  EXPECT_LT(scenario.RunUntilAgreed(30'000), 15'000) << scenario.FindDisagreement();
  EXPECT_TRUE(scenario.deaths.empty());
}

TEST(Scenarios, LeavingSpreadsAtOnceAndIsFinal) {
  Scenario scenario(20);
  scenario.Run(10'000);
  scenario.Leave(5);
  EXPECT_LT(scenario.RunUntilAgreed(5000), 3000);
  EXPECT_TRUE(scenario.deaths.empty());
  EXPECT_EQ(scenario.nodes[0].core->Find(scenario.nodes[5].name)->update.state, MemberState::kLeft);
  EXPECT_EQ(scenario.nodes[0].core->known(), 19u);
}

TEST(Scenarios, APauseOfTheProcessDoesNotEndSuspicions) {
  SingleNode node(NoProbes());
  node.ReceiveUpdate(MakeMember("m", 50, 5, MemberState::kSuspect));
  node.now += 10'000'000;
  node.core.Tick(At(node.now), node.out);
  EXPECT_EQ(node.core.Find("m")->update.state, MemberState::kSuspect);
  node.Run(1'500'000);
  EXPECT_EQ(node.core.Find("m")->update.state, MemberState::kDead);
}

}  // namespace
}  // namespace mothrack::gossip
