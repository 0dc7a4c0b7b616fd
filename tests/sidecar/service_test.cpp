// The operator API of the sidecar: readiness, statistics, bans and manual drain.

#include <unistd.h>

#include <atomic>
#include <chrono>
#include <csignal>
#include <future>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "gtest/gtest.h"
#include "standins/admin_client.h"
#include "standins/peers.h"

namespace mothrack::testing {
namespace {

using std::chrono::milliseconds;

Node::Options OptionsWithOps(const json& known) {
  Node::Options options;
  options.known = known;
  options.ops = "127.0.0.1:0";
  return options;
}

// The body of a call that names an upstream.
std::string UpstreamBody(const std::string& uid) { return json{{"name", uid}}.dump(); }

int StatusOf(const std::optional<AdminAnswer>& answer) { return answer ? answer->status : 0; }

json Stats(const AdminClient& ops) {
  const auto answer = ops.Get("/ops/stats");
  return answer && answer->status == 200 ? answer->body : json();
}

// ---- Calls of the operator API ----

TEST(OperatorApi, ReportsReadinessAndCounters) {
  Upstream upstream(Upstream::Echo("u"));
  Node node(
      OptionsWithOps(List({Target("u1", upstream.address()), Target("u2", upstream.address(), "leaving")})));
  ASSERT_TRUE(node.OpsListening());
  ASSERT_TRUE(node.Listening());
  const AdminClient ops(node.ops());
  EXPECT_EQ(StatusOf(ops.Get("/ops/readiness")), 200);
  Client client(node.port());
  for (int i = 0; i < 7; ++i) ASSERT_TRUE(client.Get("/page/x", "c" + std::to_string(i)));
  const json stats = Stats(ops);
  const json page = {{"answered", 7}, {"deferred", 0}, {"errored", 0}, {"sends", 7}};
  EXPECT_EQ(stats["transactions"]["page"], page);
  EXPECT_EQ(stats["transactions"]["submit"]["sends"], 0);
  EXPECT_EQ(stats["current"], 0);
  EXPECT_EQ(stats["cluster_size"], 2);
  EXPECT_EQ(stats["cluster_unhealthy"], 0);
}

TEST(OperatorApi, CountsRejectedFailedAndOpenRequests) {
  std::promise<void> release;
  const auto open = release.get_future().share();
  Upstream upstream([&](Wire& wire, const Request& request, int) {
    if (request.target() == "/page/held") open.wait();
    if (request.target() == "/submit/full") return (void)wire.Answer(503, "x", "X-Not-Processed: 1\r\n");
    if (request.target() == "/submit/bad") return (void)wire.Answer(500, "x");
    wire.Answer(200, "fine");
  });
  Node node(OptionsWithOps(List({Target("u1", upstream.address())})));
  ASSERT_TRUE(node.OpsListening());
  ASSERT_TRUE(node.Listening());
  const AdminClient ops(node.ops());
  Client client(node.port());
  EXPECT_EQ(client.Post("/submit/ok", "c", "x")->result_int(), 200U);
  EXPECT_EQ(client.Post("/submit/bad", "b", "x")->result_int(), 502U);
  Client in_flight(node.port());
  ASSERT_TRUE(in_flight.Send(GetText("/page/held", "d")));
  // An attempt counts as sent once it is written, not when it ends.
  ASSERT_TRUE(Eventually([&] { return Stats(ops)["transactions"]["page"]["sends"] == 1; }));
  EXPECT_EQ(client.Post("/submit/full", "a", "x")->result_int(), 503U);
  const json stats = Stats(ops);
  const json submit = stats["transactions"]["submit"];
  EXPECT_EQ(submit["answered"], 1);
  EXPECT_EQ(submit["deferred"], 1);
  EXPECT_EQ(submit["errored"], 1);
  EXPECT_EQ(submit["sends"], upstream.requests().size() - 1);
  EXPECT_EQ(stats["current"], 1);
  release.set_value();
  EXPECT_EQ(in_flight.Read()->result_int(), 200U);
  EXPECT_EQ(Stats(ops)["current"], 0);
}

TEST(OperatorApi, CallersThatHoldTheirConnectionsDoNotBlockOthers) {
  Node node(OptionsWithOps(List({})));
  ASSERT_TRUE(node.OpsListening());
  const AdminClient ops(node.ops());
  std::vector<int> half_sent;
  for (int i = 0; i < 60; ++i) {
    half_sent.push_back(ops.Connect());
    ASSERT_GE(half_sent.back(), 0);
    ASSERT_EQ(::write(half_sent.back(), "GET /ops/st", 11), 11);
    if (i % 10 == 9) {
      EXPECT_EQ(StatusOf(ops.Get("/ops/readiness")), 200);
    }
  }
  for (const int fd : half_sent) ::close(fd);
}

TEST(OperatorApi, UnknownCallsAreRejected) {
  Node node(OptionsWithOps(List({})));
  ASSERT_TRUE(node.OpsListening());
  const AdminClient ops(node.ops());
  EXPECT_EQ(StatusOf(ops.Get("/ops/upstreams/down")), 405);
  EXPECT_EQ(StatusOf(ops.Get("/v1/status")), 404);
  EXPECT_EQ(StatusOf(ops.Put("/ops/upstreams/down", "what?")), 400);
  EXPECT_EQ(StatusOf(ops.Put("/ops/upstreams/down", R"({"name":7})")), 400);
  EXPECT_EQ(StatusOf(ops.Put("/ops/upstreams/down", std::string(9000, 'x'))), 413);
  EXPECT_EQ(StatusOf(ops.Raw("what?\r\n\r\n")), 0);
}

// ---- Bans ----

// Sends this many requests in sequence and returns the names of the upstreams that answered.
std::set<std::string> AnswerersOf(Node& node, int requests, const std::string& prefix) {
  Client client(node.port());
  std::set<std::string> names;
  for (int i = 0; i < requests; ++i) {
    const auto response = client.Get("/page/x", prefix + std::to_string(i));
    if (!response) return {"no answer"};
    names.insert(response->result_int() == 200 ? response->body().substr(0, response->body().find(' '))
                                               : "rejected");
  }
  return names;
}

TEST(Ban, HoldsForAnyEndpointListUntilItIsLifted) {
  Upstream a(Upstream::Echo("a"));
  Upstream b(Upstream::Echo("b"));
  const json both = List({Target("ua", a.address()), Target("ub", b.address())});
  Discovery discovery(both);
  Node::Options options = OptionsWithOps(both);
  options.discovery = discovery.address();
  Node node(options);
  ASSERT_TRUE(node.OpsListening());
  ASSERT_TRUE(node.Listening());
  const AdminClient ops(node.ops());
  using Names = std::set<std::string>;
  EXPECT_EQ(AnswerersOf(node, 8, "p"), (Names{"a", "b"}));
  EXPECT_EQ(StatusOf(ops.Put("/ops/upstreams/down", UpstreamBody("ua"))), 200);
  EXPECT_EQ(StatusOf(ops.Put("/ops/upstreams/down", UpstreamBody("ua"))), 200);
  EXPECT_EQ(AnswerersOf(node, 8, "q"), Names{"b"});
  EXPECT_EQ(Stats(ops)["cluster_unhealthy"], 1);
  EXPECT_EQ(Stats(ops)["cluster_size"], 2);
  // The banned upstream `ua` leaves the list and returns, restarted at another address.
  Upstream again(Upstream::Echo("again"));
  discovery.Publish(List({Target("ub", b.address())}));
  ASSERT_TRUE(Eventually([&] { return Stats(ops)["cluster_size"] == 1; }));
  EXPECT_EQ(StatusOf(ops.Put("/ops/upstreams/down", UpstreamBody("ua"))), 200);
  discovery.Publish(
      List({Target("ua", again.address(), "active", 1700000000000), Target("ub", b.address())}));
  ASSERT_TRUE(Eventually([&] { return Stats(ops)["cluster_size"] == 2; }));
  EXPECT_EQ(AnswerersOf(node, 8, "r"), Names{"b"});
  EXPECT_EQ(StatusOf(ops.Put("/ops/upstreams/up", UpstreamBody("ua"))), 200);
  // The upstream `ua`, now at another address, is new to the list and in slow start. It still gets a share of
  // the requests.
  Names back;
  int tries = 0;
  EXPECT_TRUE(Eventually([&] {
    back.merge(AnswerersOf(node, 8, "s" + std::to_string(tries++) + "-"));
    return back.contains("again");
  }));
  EXPECT_EQ(back, (Names{"again", "b"}));
  EXPECT_EQ(Stats(ops)["cluster_unhealthy"], 0);
}

TEST(Ban, OfAnUpstreamNeverListedIsRejected) {
  Node node(OptionsWithOps(List({})));
  ASSERT_TRUE(node.OpsListening());
  const AdminClient ops(node.ops());
  EXPECT_EQ(StatusOf(ops.Put("/ops/upstreams/down", UpstreamBody("nobody"))), 404);
  EXPECT_EQ(StatusOf(ops.Put("/ops/upstreams/up", UpstreamBody("nobody"))), 404);
}

TEST(Ban, EndsAttemptsThatAreOnlyConnecting) {
  BlackHole hole;
  json settings = Settings();
  settings["Limits"]["ConnectTimeout"] = 15000000;
  Node::Options options = OptionsWithOps(List({Target("u1", hole.address())}));
  options.settings = settings;
  Node node(options);
  ASSERT_TRUE(node.OpsListening());
  ASSERT_TRUE(node.Listening());
  Client client(node.port());
  ASSERT_TRUE(client.Send(GetText("/page/x", "a", 15000)));
  const AdminClient ops(node.ops());
  ASSERT_TRUE(Eventually([&] { return Stats(ops)["current"] == 1; }));
  const auto began = std::chrono::steady_clock::now();
  EXPECT_EQ(StatusOf(ops.Put("/ops/upstreams/down", UpstreamBody("u1"))), 200);
  EXPECT_EQ(client.Read()->result_int(), 503U);
  EXPECT_LT(std::chrono::steady_clock::now() - began, std::chrono::seconds(10));
}

// ---- Draining the sidecar ----

// The status of GET /up on a new connection; 0 without an answer.
unsigned HealthStatus(Node& node) {
  Client client(node.port());
  if (!client.Send("GET /up HTTP/1.1\r\nHost: x\r\n\r\n")) return 0;
  const auto response = client.Read();
  return response ? response->result_int() : 0;
}

TEST(ManualDrain, ClosesIdleConnectionsAnswersOpenRequestsAndAcceptsAgain) {
  std::promise<void> release;
  const auto open = release.get_future().share();
  Upstream upstream([&](Wire& wire, const Request& request, int) {
    if (request.target() == "/page/held") open.wait();
    wire.Answer(200, "fine");
  });
  Node node(OptionsWithOps(List({Target("u1", upstream.address())})));
  ASSERT_TRUE(node.OpsListening());
  ASSERT_TRUE(node.Listening());
  const AdminClient ops(node.ops());
  Client idle(node.port());
  ASSERT_TRUE(idle.Get("/page/x", "a"));
  Client new_client(node.port());
  Client half(node.port());
  const std::string text = PostText("/submit/k", "h", "hello");
  ASSERT_TRUE(half.Send(text.substr(0, 40)));
  Client busy(node.port());
  ASSERT_TRUE(busy.Send(GetText("/page/held", "b")));
  ASSERT_TRUE(Eventually([&] { return Stats(ops)["current"] == 1; }));

  EXPECT_EQ(HealthStatus(node), 200U);
  EXPECT_EQ(StatusOf(ops.Put("/ops/drain/start")), 200);
  EXPECT_EQ(HealthStatus(node), 503U);
  EXPECT_EQ(StatusOf(ops.Get("/ops/readiness")), 503);
  EXPECT_TRUE(idle.wire.ReadsEnd());
  EXPECT_TRUE(new_client.wire.ReadsEnd());
  ASSERT_TRUE(half.Send(text.substr(40)));
  auto response = half.Read();
  ASSERT_TRUE(response);
  EXPECT_EQ(response->result_int(), 200U);
  EXPECT_FALSE(response->keep_alive());
  EXPECT_TRUE(half.wire.ReadsEnd());
  release.set_value();
  response = busy.Read();
  ASSERT_TRUE(response);
  EXPECT_EQ(response->result_int(), 200U);
  EXPECT_TRUE(busy.wire.ReadsEnd());

  for (int i = 0; i < 2; ++i) {
    EXPECT_EQ(StatusOf(ops.Put("/ops/drain/stop")), 200);
    EXPECT_EQ(HealthStatus(node), 200U);
    EXPECT_EQ(StatusOf(ops.Get("/ops/readiness")), 200);
    Client keep_alive(node.port());
    ASSERT_TRUE(keep_alive.Get("/page/x", "k" + std::to_string(2 * i)));
    EXPECT_TRUE(keep_alive.Get("/page/x", "k" + std::to_string(2 * i + 1)));
    EXPECT_EQ(StatusOf(ops.Put("/ops/drain/start")), 200);
    EXPECT_TRUE(keep_alive.wire.ReadsEnd());
  }
  node.Signal(SIGTERM);
  EXPECT_EQ(node.Wait(), 0);
}

}  // namespace
}  // namespace mothrack::testing
