// The real program between stand-ins: start, planned stop, and starts that fail.

#include <algorithm>
#include <csignal>
#include <string>

#include "gtest/gtest.h"
#include "sidecar/node_cases.h"
#include "standins/peers.h"

namespace mothrack::testing {
namespace {

TEST(Process, PlannedStopServesAcceptedAndLateRequests) {
  Gate requested;
  Gate gate;
  Upstream upstream([&](Wire& wire, const Request& request, int) {
    if (request.target() == "/submit/held") {
      requested.Open();
      gate.Pass();
    }
    wire.Answer(200, std::string(request.target()));
  });
  Node node(OptionsWith(List({Target("u1", upstream.address())})));
  ASSERT_TRUE(node.Listening());
  Client idle(node.port());
  ASSERT_TRUE(idle.Get("/page/k", "i1"));
  Client held(node.port());
  ASSERT_TRUE(held.Send(PostText("/submit/held", "h1", "x", 15000)));
  requested.Pass();
  node.Signal(SIGTERM);
  EXPECT_TRUE(idle.wire.ReadsEnd());
  Client late(node.port());
  const auto served = late.Get("/page/late", "l1");
  ASSERT_TRUE(served);
  EXPECT_EQ(served->body(), "/page/late");
  EXPECT_FALSE(served->keep_alive());
  gate.Open();
  const auto response = held.Read();
  ASSERT_TRUE(response);
  EXPECT_EQ(response->body(), "/submit/held");
  EXPECT_FALSE(response->keep_alive());
  EXPECT_EQ(node.Wait(), 0);
}

TEST(Process, PlannedStopEndsThoughClientsStall) {
  Node node(OptionsWith(json::array()));
  ASSERT_TRUE(node.Listening());
  Client half(node.port());
  ASSERT_TRUE(half.Send("GET /page/k HTTP/1.1\r\nX-"));
  Client idle(node.port());
  node.Signal(SIGTERM);
  EXPECT_EQ(node.Wait(), 0);  // long before the test runner's limit
}

TEST(Process, BindsTheSameAddressAtOnceAfterAKill) {
  Upstream upstream(Upstream::Echo("u"));
  std::uint16_t port = 0;
  {
    Node node(OptionsWith(List({Target("u1", upstream.address())})));
    ASSERT_TRUE(node.Listening());
    port = node.port();
    Client client(port);
    ASSERT_TRUE(client.Get("/page/k", "a1"));
    node.Signal(SIGKILL);
    EXPECT_EQ(node.Wait(), 128 + SIGKILL);
  }
  Node::Options options = OptionsWith(List({Target("u1", upstream.address())}));
  options.listen = "127.0.0.1:" + std::to_string(port);
  Node node(options);
  ASSERT_TRUE(node.Listening());
  Client client(port);
  const auto response = client.Get("/page/k", "a1");
  ASSERT_TRUE(response);
  EXPECT_EQ(response->result_int(), 200U);
}

TEST(Process, AnswersHealthChecks) {
  Node node(OptionsWith(json::array()));
  ASSERT_TRUE(node.Listening());
  Client client(node.port());
  ASSERT_TRUE(client.Send("GET /up HTTP/1.1\r\nHost: x\r\n\r\n"));
  const auto response = client.Read();
  ASSERT_TRUE(response);
  EXPECT_EQ(response->result_int(), 200U);
}

// Starts a node that must fail. Checks its exit code and returns its output, which must be one line.
std::string FailedStart(const Node::Options& options) {
  Node node(options);
  EXPECT_NE(node.Wait(), 0);
  const std::string log = node.log();
  EXPECT_EQ(std::count(log.begin(), log.end(), '\n'), 1) << log;
  return log;
}

TEST(Process, InvalidSettingIsNamed) {
  const auto has = [](const std::string& text, const std::string& part) {
    return text.find(part) != std::string::npos;
  };
  for (const char* name : {"LB_NAME", "LB_LISTEN", "LB_DISCOVERY", "LB_CONFIG"}) {
    Node::Options options = OptionsWith(nullptr);
    options.unset = {name};
    EXPECT_TRUE(has(FailedStart(options), name));
  }
  Node::Options options = OptionsWith(nullptr);
  options.listen = "nowhere";
  EXPECT_TRUE(has(FailedStart(options), "LB_LISTEN"));
  options = OptionsWith(nullptr);
  options.discovery = "127.0.0.1:99999";
  EXPECT_TRUE(has(FailedStart(options), "LB_DISCOVERY"));
  options = OptionsWith(nullptr);
  options.config_text = "{";
  EXPECT_TRUE(has(FailedStart(options), "LB_CONFIG"));
  options.config_text = R"({"limits":{"sockets":256},"settings":{}})";
  EXPECT_TRUE(has(FailedStart(options), "seed"));
  options.config_text = R"({"seed":"xyz","limits":{"sockets":256},"settings":{}})";
  EXPECT_TRUE(has(FailedStart(options), "seed"));
  options.config_text = R"({"seed":"1","settings":{}})";
  EXPECT_TRUE(has(FailedStart(options), "limits"));
  options.config_text = R"({"seed":"1","limits":{"sockets":"many"},"settings":{}})";
  EXPECT_TRUE(has(FailedStart(options), "sockets"));
  options.config_text = R"({"seed":"1","limits":{"sockets":256},"settings":{}})";
  EXPECT_TRUE(has(FailedStart(options), "Classes"));
  options = OptionsWith(json{{"no", "list"}});
  EXPECT_TRUE(has(FailedStart(options), "known"));
  json settings = Settings();
  settings["Limits"]["MaxAttempts"] = 0;
  EXPECT_TRUE(has(FailedStart(OptionsWith(nullptr, settings)), "max_attempts"));
  settings["Limits"]["MaxAttempts"] = "three";
  EXPECT_TRUE(has(FailedStart(OptionsWith(nullptr, settings)), "MaxAttempts"));
}

TEST(Process, AddressInUseIsNamed) {
  Peer peer([](Wire&, int) {});
  Node::Options options = OptionsWith(nullptr);
  options.listen = peer.address();
  EXPECT_NE(FailedStart(options).find(peer.address()), std::string::npos);
}

}  // namespace
}  // namespace mothrack::testing
