// The real program between stand-ins: it follows discovery and survives its faults.

#include <atomic>
#include <chrono>
#include <string>

#include "gtest/gtest.h"
#include "sidecar/node_cases.h"
#include "standins/peers.h"

namespace mothrack::testing {
namespace {

using std::chrono::milliseconds;

TEST(Membership, StartsFromKnownWhileDiscoveryIsDown) {
  Upstream upstream(Upstream::Echo("u"));
  Node node(OptionsWith(List({Target("u1", upstream.address())})));
  ASSERT_TRUE(node.Listening());
  Client client(node.port());
  const auto response = client.Get("/page/k", "a1");
  ASSERT_TRUE(response);
  EXPECT_EQ(response->result_int(), 200U);
}

TEST(Membership, FollowsListsChangesAndMoves) {
  Upstream a(Upstream::Echo("a"));
  Upstream b(Upstream::Echo("b"));
  Upstream c(Upstream::Echo("c"));
  Discovery discovery(List({Target("u1", a.address())}));
  Node::Options options = OptionsWith(nullptr);
  options.discovery = discovery.address();
  Node node(options);
  ASSERT_TRUE(node.Listening());
  EXPECT_TRUE(BecomesServedBy(node, "a /page/k"));
  discovery.Publish(List({Target("u2", b.address())}), true);  // u1 is missing: it is removed
  EXPECT_TRUE(BecomesServedBy(node, "b /page/k"));
  discovery.Publish(List({Target("u2", c.address())}), false);  // u2 moved to another address
  EXPECT_TRUE(BecomesServedBy(node, "c /page/k"));
  const std::size_t before = a.requests().size() + b.requests().size();
  for (int i = 0; i < 10; ++i) EXPECT_TRUE(BecomesServedBy(node, "c /page/k"));
  EXPECT_EQ(a.requests().size() + b.requests().size(), before);
  discovery.Publish(List({Target("u2", c.address(), "left"), Target("u1", a.address())}), false);
  EXPECT_TRUE(BecomesServedBy(node, "a /page/k"));
}

TEST(Membership, DrainingUpstreamGetsNoNewRequests) {
  Gate requested;
  Gate gate;
  Upstream leaving([&](Wire& wire, const Request& request, int) {
    if (request.target() == "/submit/held") {
      requested.Open();
      gate.Pass();
    }
    wire.Answer(200, "old");
  });
  Upstream staying(Upstream::Echo("new"));
  Discovery discovery(List({Target("u1", leaving.address())}));
  Node::Options options = OptionsWith(List({Target("u1", leaving.address())}));
  options.discovery = discovery.address();
  Node node(options);
  ASSERT_TRUE(node.Listening());
  Client in_flight(node.port());
  ASSERT_TRUE(in_flight.Send(PostText("/submit/held", "h1", "x", 15000)));
  requested.Pass();
  discovery.Publish(List({Target("u1", leaving.address(), "leaving"), Target("u2", staying.address())}),
                    false);
  ASSERT_TRUE(BecomesServedBy(node, "new /page/k"));
  const std::size_t before = leaving.requests().size();
  for (int i = 0; i < 20; ++i) EXPECT_TRUE(BecomesServedBy(node, "new /page/k"));
  EXPECT_EQ(leaving.requests().size(), before);
  gate.Open();  // requests in flight finish
  const auto response = in_flight.Read();
  ASSERT_TRUE(response);
  EXPECT_EQ(response->body(), "old");
}

TEST(Membership, ConnectingAttemptIsCancelledWhenItsUpstreamDrains) {
  BlackHole hole;
  Upstream staying(Upstream::Echo("new"));
  Discovery discovery(List({Target("u1", hole.address())}));
  json settings = Settings();
  settings["Limits"]["ConnectTimeout"] = 60000000;
  Node::Options options = OptionsWith(List({Target("u1", hole.address())}), settings);
  options.discovery = discovery.address();
  Node node(options);
  ASSERT_TRUE(node.Listening());
  Client client(node.port());
  ASSERT_TRUE(client.Send(PostText("/submit/k", "a1", "x", 15000)));
  ASSERT_TRUE(Eventually([&] { return hole.hanging_attempts() > 0; }));
  discovery.Publish(List({Target("u1", hole.address(), "leaving"), Target("u2", staying.address())}), false);
  const auto response = client.Read();
  ASSERT_TRUE(response);
  EXPECT_EQ(response->body(), "new /submit/k");
}

TEST(Membership, SurvivesABrokenUnresponsiveAndMalformedDiscovery) {
  Upstream a(Upstream::Echo("a"));
  Upstream b(Upstream::Echo("b"));
  for (const auto behavior : {Discovery::Behavior::kClosesConnection, Discovery::Behavior::kMalformed,
                              Discovery::Behavior::kUnresponsive}) {
    Discovery discovery(List({Target("u1", a.address())}));
    Node::Options options = OptionsWith(nullptr);
    options.discovery = discovery.address();
    Node node(options);
    ASSERT_TRUE(node.Listening());
    ASSERT_TRUE(BecomesServedBy(node, "a /page/k"));
    const int calls = discovery.calls();
    discovery.SetBehavior(behavior);
    ASSERT_TRUE(Eventually([&] { return discovery.calls() > calls + 1; }));
    EXPECT_TRUE(BecomesServedBy(node, "a /page/k"));  // the old list stays in effect
    discovery.Publish(List({Target("u2", b.address())}));
    discovery.SetBehavior(Discovery::Behavior::kAnswers);
    EXPECT_TRUE(BecomesServedBy(node, "b /page/k"));
  }
}

TEST(Membership, AgentThatAnswersAtOnceIsNotPolledInABusyLoop) {
  Upstream a(Upstream::Echo("a"));
  std::atomic<int> calls{0};
  const std::string body =
      json{{"rev", 1}, {"all", true}, {"targets", List({Target("u1", a.address())})}}.dump();
  Upstream agent([&](Wire& wire, const Request&, int) {
    ++calls;
    wire.Answer(200, body);
  });
  Node::Options options = OptionsWith(nullptr);
  options.discovery = agent.address();
  const auto start = std::chrono::steady_clock::now();
  Node node(options);
  ASSERT_TRUE(node.Listening());
  ASSERT_TRUE(Eventually([&] { return calls >= 10; }));
  EXPECT_GT(std::chrono::steady_clock::now() - start, milliseconds(200));
}

TEST(Membership, WatchContinuesFromTheLastRevision) {
  Upstream a(Upstream::Echo("a"));
  std::atomic<bool> watched{false};
  const std::string body =
      json{{"rev", 41}, {"all", true}, {"targets", List({Target("u1", a.address())})}}.dump();
  Upstream agent([&](Wire& wire, const Request& request, int) {
    if (std::string(request.target()).find("index=41&") != std::string::npos) watched = true;
    wire.Answer(200, body);
  });
  Node::Options options = OptionsWith(nullptr);
  options.discovery = agent.address();
  Node node(options);
  ASSERT_TRUE(node.Listening());
  EXPECT_TRUE(Eventually([&] { return watched.load(); }));
  EXPECT_EQ(agent.requests().front().target(), "/discovery/hosts");
}

// All sidecars share one discovery service. A restarted sidecar polls it for the changes since its known
// list, not for the complete list, and a failed call does not discard that list.
TEST(Membership, SharedServiceIsPolledForChangesEvenAfterAFailure) {
  Upstream a(Upstream::Echo("a"));
  Upstream b(Upstream::Echo("b"));
  const std::string changes =
      json{{"rev", 5},
           {"all", false},
           {"targets", List({Target("u1", a.address(), "left"), Target("u2", b.address())})}}
          .dump();
  Upstream service([&](Wire& wire, const Request&, int number) {
    if (number == 0) return static_cast<void>(wire.Answer(503, "overbooked"));
    if (number == 1)
      return static_cast<void>(wire.Answer(200, R"({"rev":9,"all":true,"targets":[{"uid":7}]})"));
    if (number == 2) return static_cast<void>(wire.Answer(200, changes));
    wire.Answer(200, R"({"rev":5,"all":false,"targets":[]})");
  });
  json settings = Settings();
  settings["MembershipMode"] = "on_request";
  settings["Rules"]["MustAskIn"] = 1000000;
  Node::Options options = OptionsWith(List({Target("u1", a.address())}), settings);
  options.discovery = service.address();
  Node node(options);
  ASSERT_TRUE(node.Listening());
  EXPECT_TRUE(BecomesServedBy(node, "b /page/k"));
  ASSERT_TRUE(Eventually([&] { return service.requests().size() >= 4; }));
  const auto polls = service.requests();
  for (int i = 0; i < 3; ++i)
    EXPECT_NE(std::string(polls[i].target()).find("?index=0&"), std::string::npos) << i;
  EXPECT_NE(std::string(polls[3].target()).find("?index=5&"), std::string::npos);
}

}  // namespace
}  // namespace mothrack::testing
