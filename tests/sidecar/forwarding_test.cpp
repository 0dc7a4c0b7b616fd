// The real program between stand-ins: requests and answers pass unchanged, connections to upstreams are
// reused.

#include <future>
#include <string>

#include "gtest/gtest.h"
#include "sidecar/node_cases.h"
#include "standins/peers.h"

namespace mothrack::testing {
namespace {

TEST(Node, PassesRequestAndAnswerUnchanged) {
  std::string body;
  for (int i = 0; i < 65536; ++i) body.push_back(static_cast<char>(i * 7));
  Upstream upstream([&](Wire& wire, const Request&, int) { wire.Answer(200, body); });
  Node node(OptionsWith(List({Target("u1", upstream.address())})));
  ASSERT_TRUE(node.Listening());
  Client client(node.port());
  const auto response = client.Post("/keyed/a%20b?x=1&y=/", "9b1f03aa5c7e2d41", body, 5000,
                                    "Idempotency-Key: 5c0f\r\nContent-Type: text/x\r\nTE: trailers\r\n");
  ASSERT_TRUE(response);
  EXPECT_EQ(response->result_int(), 200U);
  EXPECT_TRUE(response->body() == body);
  const auto sent = upstream.requests();
  ASSERT_EQ(sent.size(), 1U);
  EXPECT_EQ(sent[0].method_string(), "POST");
  EXPECT_EQ(sent[0].target(), "/keyed/a%20b?x=1&y=/");
  EXPECT_EQ(sent[0]["X-Request-ID"], "9b1f03aa5c7e2d41");
  EXPECT_EQ(sent[0]["Idempotency-Key"], "5c0f");
  EXPECT_EQ(sent[0]["Content-Type"], "text/x");
  EXPECT_EQ(sent[0].count("TE"), 0U);
  EXPECT_TRUE(sent[0].body() == body);
  const int left = std::stoi(std::string(sent[0]["X-Timeout-Ms"]));
  EXPECT_GT(left, 0);
  EXPECT_LE(left, 5000);
}

TEST(Node, ReusesOneConnectionForRequestsInTurn) {
  Upstream upstream(Upstream::Echo("u"));
  Node node(OptionsWith(List({Target("u1", upstream.address())})));
  ASSERT_TRUE(node.Listening());
  Client client(node.port());
  for (int i = 0; i < 5; ++i) {
    const auto response = client.Get("/page/" + std::to_string(i), "r" + std::to_string(i));
    ASSERT_TRUE(response);
    EXPECT_EQ(response->body(), "u /page/" + std::to_string(i));
  }
  EXPECT_EQ(upstream.connections(), 1);
}

TEST(Node, ForwardsChunkedAnswersAndRequestsInPieces) {
  Upstream upstream([](Wire& wire, const Request& request, int) {
    wire.Write("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    for (const char c : request.body()) wire.Write(std::string("1\r\n") + c + "\r\n");
    wire.Write("0\r\n\r\n");
  });
  Node node(OptionsWith(List({Target("u1", upstream.address())})));
  ASSERT_TRUE(node.Listening());
  Client client(node.port());
  const std::string text = PostText("/submit/k", "p1", "hello");
  for (const char c : text) ASSERT_TRUE(client.Send(std::string(1, c)));
  const auto response = client.Read();
  ASSERT_TRUE(response);
  EXPECT_EQ(response->body(), "hello");
}

TEST(Pool, ConnectionClosedByTheUpstreamIsNotUsedAgain) {
  Gate closed;
  Upstream upstream([&](Wire& wire, const Request&, int number) {
    wire.Answer(200, "n" + std::to_string(number));
    if (number > 0) return;
    wire.socket.close();
    closed.Open();
  });
  Node node(OptionsWith(List({Target("u1", upstream.address())})));
  ASSERT_TRUE(node.Listening());
  Client client(node.port());
  ASSERT_TRUE(client.Post("/submit/k", "a1", "x"));
  closed.Pass();
  const auto response = client.Post("/submit/k", "a2", "x");
  ASSERT_TRUE(response);
  EXPECT_EQ(response->result_int(), 200U);
  EXPECT_EQ(response->body(), "n1");
  EXPECT_EQ(upstream.connections(), 2);
}

TEST(Pool, IdleConnectionIsRetiredBeforeTheUpstreamsLimit) {
  std::promise<bool> ended;
  Peer peer([&](Wire& wire, int) {
    if (!wire.ReadRequest()) return;
    wire.Answer(200, "x");
    ended.set_value(wire.ReadsEnd());
  });
  json settings = Settings();
  settings["Limits"]["IdleClose"] = 1500000;
  Node node(OptionsWith(List({Target("u1", peer.address())}), settings));
  ASSERT_TRUE(node.Listening());
  Client client(node.port());
  ASSERT_TRUE(client.Get("/page/k", "a1"));
  EXPECT_TRUE(ended.get_future().get());
}

TEST(Pool, LateAnswerNeverReachesAnotherRequest) {
  Gate late;
  Upstream upstream([&](Wire& wire, const Request& request, int number) {
    if (number == 0) late.Pass();
    wire.Answer(200, std::string(request["X-Request-ID"]));
  });
  Node node(OptionsWith(List({Target("u1", upstream.address())})));
  ASSERT_TRUE(node.Listening());
  Client client(node.port());
  const auto first = client.Post("/submit/k", "slow", "x", 300);
  ASSERT_TRUE(first);
  EXPECT_EQ(first->result_int(), 504U);
  late.Open();
  const auto second = client.Post("/submit/k", "next", "x");
  ASSERT_TRUE(second);
  EXPECT_EQ(second->body(), "next");
  EXPECT_EQ(upstream.connections(), 2);
}

TEST(Pool, ConnectionThatTheAnswerClosesIsNotReused) {
  Upstream upstream([](Wire& wire, const Request&, int) { wire.Answer(200, "x", "Connection: close\r\n"); });
  Node node(OptionsWith(List({Target("u1", upstream.address())})));
  ASSERT_TRUE(node.Listening());
  Client client(node.port());
  for (const char* id : {"a1", "a2"}) {
    const auto response = client.Post("/submit/k", id, "x");
    ASSERT_TRUE(response);
    EXPECT_EQ(response->result_int(), 200U);
  }
  EXPECT_EQ(upstream.connections(), 2);
}

}  // namespace
}  // namespace mothrack::testing
