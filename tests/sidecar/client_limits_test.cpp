// The real program between stand-ins: bounds on descriptors, and clients whose wake-ups are lost.

#include <chrono>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "gtest/gtest.h"
#include "sidecar/node_cases.h"
#include "standins/peers.h"

namespace mothrack::testing {
namespace {

using std::chrono::milliseconds;

TEST(Descriptors, StayWithinTheLimitAndClientsAreServed) {
  Upstream upstream(Upstream::Echo("u"));
  Node::Options options = OptionsWith(List({Target("u1", upstream.address())}));
  options.sockets = 64;
  Node node(options);
  ASSERT_TRUE(node.Listening());
  // More clients than descriptors; each sends one request and stays connected.
  std::vector<std::unique_ptr<Client>> clients;
  for (int i = 0; i < 150; ++i) {
    clients.push_back(std::make_unique<Client>(node.port()));
    const auto response = clients.back()->Get("/page/k", "d" + std::to_string(i));
    ASSERT_TRUE(response) << i;
    EXPECT_EQ(response->result_int(), 200U) << i;
    ASSERT_LE(node.descriptors(), 64) << i;
  }
}

// The last connection that fits the limit must not be evicted while no further client waits for its place.
TEST(Descriptors, LastConnectionThatFitsIsNotEvictedWhileItsClientPauses) {
  Upstream upstream(Upstream::Echo("u"));
  Node::Options options = OptionsWith(List({Target("u1", upstream.address())}));
  options.sockets = 64;
  Node node(options);
  ASSERT_TRUE(node.Listening());
  std::vector<std::unique_ptr<Client>> clients;
  for (int i = 0; i < 30; ++i) {
    clients.push_back(std::make_unique<Client>(node.port()));
    std::this_thread::sleep_for(milliseconds(20));
    const auto response = clients.back()->Get("/page/k", "l" + std::to_string(i));
    ASSERT_TRUE(response) << i;
    EXPECT_EQ(response->result_int(), 200U) << i;
  }
}

// Many clients connect and send nothing: other clients are still served.
TEST(Descriptors, IdleClientsDoNotBlockOthers) {
  Upstream upstream(Upstream::Echo("u"));
  Node::Options options = OptionsWith(List({Target("u1", upstream.address())}));
  options.sockets = 64;
  Node node(options);
  ASSERT_TRUE(node.Listening());
  std::vector<std::unique_ptr<Client>> idle;
  for (int i = 0; i < 100; ++i) idle.push_back(std::make_unique<Client>(node.port()));
  for (int i = 0; i < 5; ++i) {
    Client active(node.port());
    const auto response = active.Get("/page/k", "v" + std::to_string(i));
    ASSERT_TRUE(response) << i;
    EXPECT_EQ(response->result_int(), 200U);
  }
  for (const auto& client : idle) EXPECT_TRUE(client->wire.ReadsEnd());
}

TEST(Descriptors, RunningOutOfThemIsSurvived) {
  Upstream upstream(Upstream::Echo("u"));
  Node::Options options = OptionsWith(List({Target("u1", upstream.address())}));
  {
    Node unlimited(options);
    ASSERT_TRUE(unlimited.Listening());
    // The process limit is below the configured one.
    options.socket_limit = unlimited.descriptors() + 6;
  }
  Node node(options);
  ASSERT_TRUE(node.Listening());
  std::vector<std::unique_ptr<Client>> clients;
  for (int i = 0; i < 40; ++i) {
    clients.push_back(std::make_unique<Client>(node.port()));
    const auto response = clients.back()->Get("/page/k", "e" + std::to_string(i));
    ASSERT_TRUE(response) << i;
    EXPECT_TRUE(response->result_int() == 200U || response->result_int() == 503U) << response->result_int();
  }
  clients.clear();
  EXPECT_TRUE(BecomesServedBy(node, "u /page/k"));
}

std::size_t Count(const std::string& text, const std::string& part) {
  std::size_t count = 0;
  for (auto at = text.find(part); at != std::string::npos; at = text.find(part, at + 1)) ++count;
  return count;
}

// A client whose wake-up is lost is found by polling, well within the deadline of its class, 5 s here.
TEST(WakeUps, ClientsAreServedThoughTheSystemNeverReportsThem) {
  Upstream upstream(Upstream::Echo("u"));
  Node::Options options = OptionsWith(List({Target("u1", upstream.address())}));
  options.lost_wakeups = true;
  Node node(options);
  ASSERT_TRUE(node.Listening());
  std::vector<std::unique_ptr<Client>> clients;
  for (int i = 0; i < 5; ++i) {
    clients.push_back(std::make_unique<Client>(node.port()));
    const auto response = clients.back()->Get("/page/k", "w" + std::to_string(i));
    ASSERT_TRUE(response) << i;
    EXPECT_EQ(response->result_int(), 200U);
  }
  EXPECT_EQ(Count(node.log(), " warning accept_wakeup_missed listener=http\n"), 1U);
}

// No wake-up is lost although the sidecar is otherwise idle and no further client connects.
TEST(WakeUps, NoneIsMissedForSingleClientsInTurn) {
  Node node(OptionsWith(List({})));
  ASSERT_TRUE(node.Listening());
  for (int i = 0; i < 10000; ++i) {
    Client client(node.port());
    ASSERT_TRUE(client.Send("GET /up HTTP/1.1\r\nHost: h\r\n\r\n"));
    ASSERT_TRUE(client.Read()) << i;
    client.wire.Reset();
  }
  EXPECT_EQ(Count(node.log(), " warning accept_wakeup_missed listener=http\n"), 0U);
}

}  // namespace
}  // namespace mothrack::testing
