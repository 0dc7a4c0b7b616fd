// The real program between stand-ins: SIGHUP reloads the configuration.

#include <csignal>
#include <string>

#include "gtest/gtest.h"
#include "sidecar/node_cases.h"
#include "standins/peers.h"

namespace mothrack::testing {
namespace {

// The program's configuration with another address of discovery.
std::string ConfigWithDiscovery(const Node& node, const std::string& discovery) {
  json config = node.config();
  config["discovery"] = discovery;
  return config.dump();
}

// SIGHUP must not end the process, and neither the revision nor the backoff of the old address may apply to
// the new one.
TEST(Reload, FollowsTheNewDiscoveryEachTime) {
  Upstream a(Upstream::Echo("a"));
  Upstream b(Upstream::Echo("b"));
  Discovery first(List({Target("u1", a.address())}));
  for (int i = 0; i < 5; ++i)
    first.Publish(List({Target("u1", a.address())}));  // a higher version than the next
  Discovery second(List({Target("u2", b.address())}));
  Node::Options options = OptionsWith(nullptr);
  options.discovery = first.address();
  Node node(options);
  ASSERT_TRUE(node.Listening());
  ASSERT_TRUE(BecomesServedBy(node, "a /page/k"));
  node.Reload(ConfigWithDiscovery(node, second.address()));  // while a watch is open
  EXPECT_TRUE(BecomesServedBy(node, "b /page/k"));
  first.SetBehavior(Discovery::Behavior::kClosesConnection);
  node.Reload(ConfigWithDiscovery(node, first.address()));
  ASSERT_TRUE(Eventually([&] { return node.log().find("discovery: ") != std::string::npos; }));
  EXPECT_TRUE(BecomesServedBy(node, "b /page/k"));  // the old list stays in effect
  for (int i = 0; i < 3; ++i) node.Reload(ConfigWithDiscovery(node, second.address()));
  second.Publish(List({Target("u1", a.address())}));
  EXPECT_TRUE(BecomesServedBy(node, "a /page/k"));
  node.Signal(SIGTERM);
  node.Reload(ConfigWithDiscovery(node, first.address()));  // while it drains
  EXPECT_EQ(node.Wait(), 0);
}

TEST(Reload, ErrorIsLoggedAndTheOldConfigurationStaysInEffect) {
  Upstream a(Upstream::Echo("a"));
  Upstream b(Upstream::Echo("b"));
  Discovery discovery(List({Target("u1", a.address())}));
  Node::Options options = OptionsWith(nullptr);
  options.discovery = discovery.address();
  Node node(options);
  ASSERT_TRUE(node.Listening());
  ASSERT_TRUE(BecomesServedBy(node, "a /page/k"));
  json known = node.config();
  known["known"] = {{"no", "list"}};
  for (const auto& text : {std::string("{"), ConfigWithDiscovery(node, "nowhere"), known.dump()}) {
    const auto errors = [&node] {
      const std::string log = node.log();
      const std::string event = " error configuration_not_taken cause=";
      int count = 0;
      for (auto at = log.find(event); at != std::string::npos; at = log.find(event, at + 1)) ++count;
      return count;
    };
    const int before = errors();
    node.Reload(text);
    EXPECT_TRUE(Eventually([&] { return errors() > before; })) << text;
  }
  discovery.Publish(List({Target("u2", b.address())}));
  EXPECT_TRUE(BecomesServedBy(node, "b /page/k"));
}

// `discovery` in the file takes precedence over LB_DISCOVERY: the file of a running process can be replaced,
// its environment cannot. The same holds at the start.
TEST(Reload, FileTakesPrecedenceOverTheEnvironment) {
  Upstream a(Upstream::Echo("a"));
  Discovery discovery(List({Target("u1", a.address())}));
  Node::Options options = OptionsWith(nullptr);
  options.discovery = "127.0.0.1:1";
  json config = Node(options).config();
  config["discovery"] = discovery.address();
  options.config_text = config.dump();
  Node node(options);
  ASSERT_TRUE(node.Listening());
  EXPECT_TRUE(BecomesServedBy(node, "a /page/k"));
}

}  // namespace
}  // namespace mothrack::testing
