// The real program between stand-ins: requests that are rejected, clients that stall or disconnect.

#include <atomic>
#include <chrono>
#include <future>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "gtest/gtest.h"
#include "sidecar/node_cases.h"
#include "standins/peers.h"

namespace mothrack::testing {
namespace {

using std::chrono::milliseconds;

TEST(Application, DisconnectEndsItsAttempt) {
  std::promise<bool> ended;
  Gate requested;
  Upstream upstream([&](Wire& wire, const Request&, int) {
    requested.Open();
    ended.set_value(wire.ReadsEnd());
  });
  Node node(OptionsWith(List({Target("u1", upstream.address())})));
  ASSERT_TRUE(node.Listening());
  {
    Client client(node.port());
    ASSERT_TRUE(client.Send(GetText("/page/k", "a1", 15000)));
    requested.Pass();
  }
  EXPECT_TRUE(ended.get_future().get());
}

TEST(Application, BadRequestsAreRejectedAndNotForwarded) {
  Upstream upstream(Upstream::Echo("u"));
  Node node(OptionsWith(List({Target("u1", upstream.address())})));
  ASSERT_TRUE(node.Listening());
  const std::string id = "X-Request-ID: a1\r\n";
  const std::string time = "X-Timeout-Ms: 100\r\n";
  const auto get = [](const std::string& target, const std::string& headers) {
    return "GET " + target + " HTTP/1.1\r\nHost: x\r\n" + headers + "\r\n";
  };
  const std::vector<std::pair<std::string, unsigned>> cases = {
      {"what is this\r\n\r\n", 400},
      {"HEAD /page/k HTTP/1.1\r\nHost: x\r\n" + id + time + "\r\n", 400},
      {"GET /page/k HTTP/1.1\r\nno colon here\r\n\r\n", 400},
      {get("/unknown/k", id + time), 400},
      {get("/", id + time), 400},
      {get("page/k", id + time), 400},
      {get("/page/k", time), 400},
      {get("/page/k", "X-Request-ID: \r\n" + time), 400},
      {get("/page/k", "X-Request-ID: a b\r\n" + time), 400},
      {get("/page/k", "X-Request-ID: " + std::string(200, 'a') + "\r\n" + time), 400},
      {get("/page/k", id + id + time), 400},
      {get("/page/k", id), 400},
      {get("/page/k", id + "X-Timeout-Ms: soon\r\n"), 400},
      {get("/page/k", id + "X-Timeout-Ms: 0\r\n"), 400},
      {get("/page/k", id + "X-Timeout-Ms: -5\r\n"), 400},
      {get("/page/k", id + "X-Timeout-Ms: 99999999999\r\n"), 400},
      {get("/page/k", id + "X-Timeout-Ms: 1.5\r\n"), 400},
      {get("/page/k", id + time + "X-Fill: " + std::string(20000, 'a') + "\r\n"), 400},
      {PostText("/page/k", "a1", std::string(65537, 'x')), 400},
      {"POST /submit/k HTTP/1.1\r\nHost: x\r\n" + id + time + "Content-Length: 70000000\r\n\r\nhalf", 413},
      {"POST /page/k HTTP/1.1\r\nHost: x\r\n" + id + time + "Transfer-Encoding: chunked\r\n\r\n4400000\r\n" +
           std::string(1000, 'x'),
       413}};
  for (const auto& [text, status] : cases) {
    Client client(node.port());
    client.Send(text);
    const auto response = client.Read();
    ASSERT_TRUE(response) << text.substr(0, 200);
    EXPECT_EQ(response->result_int(), status) << text.substr(0, 200);
  }
  EXPECT_TRUE(upstream.requests().empty());
  Client client(node.port());
  const auto response = client.Get("/page/k", "good");
  ASSERT_TRUE(response);
  EXPECT_EQ(response->result_int(), 200U);
}

// Sends these bytes on a new connection. Returns the status of the answer; 0 if the connection is closed
// without one. Fails the test if the connection does not end after the answer.
unsigned StatusAndClose(Node& node, const std::string& bytes) {
  Client client(node.port());
  client.Send(bytes);
  const auto response = client.Read();
  EXPECT_FALSE(client.Read()) << bytes.substr(0, 200);
  return response ? response->result_int() : 0;
}

// Requests that smuggle another one, and requests whose method or idempotency key does not match their class.
// Each is rejected, and nothing that follows on its connection is read.
TEST(Application, RequestsThatMustNotBeForwardedEndTheirConnection) {
  Upstream upstream(Upstream::Echo("u"));
  Node node(OptionsWith(List({Target("u1", upstream.address())})));
  ASSERT_TRUE(node.Listening());
  const std::string next = GetText("/page/hidden", "h1");
  const auto post = [&](const std::string& headers, const std::string& body,
                        const std::string& target = "/submit/k") {
    return "POST " + target + " HTTP/1.1\r\nHost: x\r\nX-Request-ID: a1\r\nX-Timeout-Ms: 1000\r\n" + headers +
           "\r\n" + body + next;
  };
  const std::string length = "Content-Length: 5\r\n";
  const std::string chunked = "Transfer-Encoding: chunked\r\n";
  const std::string chunks = "0\r\n\r\n";
  const auto get = [&](const std::string& headers) {
    return "GET /page/k HTTP/1.1\r\nHost: x\r\nX-Request-ID: a1\r\nX-Timeout-Ms: 1000\r\n" + headers +
           "\r\n" + next;
  };
  const std::vector<std::string> cases = {
      post(length + chunked, chunks),
      post(chunked + length, chunks),
      post("content-length: 5\r\nTRANSFER-ENCODING: Chunked\r\n", chunks),
      post(chunked + "Content-Length: 0\r\n", chunks),
      post(chunked + chunked, chunks),
      post(length + "Transfer-Encoding: gzip\r\n", "12345"),
      post(length + "Transfer-Encoding:\r\n", "12345"),
      post(length + "Transfer-Encoding: identity\r\n", "12345"),
      post("Transfer-Encoding: gzip\r\n", ""),
      post("Transfer-Encoding: gzip, chunked\r\n", chunks),
      post("Transfer-Encoding: chunked, gzip\r\n", chunks),
      post("Transfer-Encoding: xchunked\r\n", chunks),
      post("Transfer-Encoding: \"chunked\"\r\n", chunks),
      post("Transfer-Encoding:\r\n chunked\r\n", chunks),
      post("Transfer-Encoding : chunked\r\n", chunks),
      post(chunked, "0\r\nContent-Length: 5\r\n\r\n"),
      post(chunked, "zz\r\n"),
      post(length + length, "12345"),
      post(length + "Content-Length: 6\r\n", "12345"),
      post("Content-Length: 5, 5\r\n", "12345"),
      post("Content-Length: +5\r\n", "12345"),
      post("Content-Length: -5\r\n", "12345"),
      post("Content-Length: 0x5\r\n", "12345"),
      post("Content-Length: 5 5\r\n", "12345"),
      post("Content-Length:\r\n", "12345"),
      post("Content-Length: 99999999999999999999999\r\n", "12345"),
      post("Content-Length: 18446744073709551617\r\n", "1"),
      post(length + "X-Folded: a\r\n b\r\n", "12345"),
      post("Content-Length: 2\r\n", "12345"),
      "POST /submit/k HTTP/1.1\nX-Request-ID: a1\nX-Timeout-Ms: 1000\nContent-Length: 0\n\n" + next,
      "POST /submit/k HTTP/1.1\r\nX-Request-ID: a1\nX-Timeout-Ms: 1000\r\nContent-Length: 0\r\n\r\n" + next,
      get(length) + "12345",
      get(std::string("X-Nul: a\0b\r\n", 13)),
      get("Idempotency-Key : x\r\n"),
      get("Connection: X-Request-ID\r\n"),
      "GET /page/k HTTP/2.0\r\nHost: x\r\nX-Request-ID: a1\r\nX-Timeout-Ms: 1000\r\n\r\n" + next,
      "GET /page/\x80 HTTP/1.1\r\nHost: x\r\nX-Request-ID: a1\r\nX-Timeout-Ms: 1000\r\n\r\n" + next,
      "PUT /page/k HTTP/1.1\r\nHost: x\r\nX-Request-ID: a1\r\nX-Timeout-Ms: 1000\r\n\r\n" + next,
      "GET /submit/k HTTP/1.1\r\nHost: x\r\nX-Request-ID: a1\r\nX-Timeout-Ms: 1000\r\n\r\n" + next,
      post(length, "12345", "/page/k"),
      post(length, "12345", "/keyed/k"),
      post(length + "Idempotency-Key: k\r\n", "12345"),
      post(length + "Idempotency-Key: \r\n", "12345", "/keyed/k"),
      post(length + "Idempotency-Key: a\r\nIdempotency-Key: b\r\n", "12345", "/keyed/k"),
      GetText("/page/k", "a1", 2000000000) + next,
  };
  for (const std::string& text : cases) {
    EXPECT_EQ(StatusAndClose(node, text), 400U) << text.substr(0, 200);
  }
  EXPECT_TRUE(upstream.requests().empty());
}

// A request must be complete 3 s after its client connected, even if bytes still arrive.
TEST(Application, IdleAndStalledClientsAreDisconnected) {
  Node node(OptionsWith(json::array()));
  ASSERT_TRUE(node.Listening());
  Client idle(node.port());
  Client half(node.port());
  ASSERT_TRUE(half.Send("GET /page/k HTTP/1.1\r\nHost: x\r\nX-"));
  Client body(node.port());
  ASSERT_TRUE(
      body.Send("POST /submit/k HTTP/1.1\r\nHost: x\r\nX-Request-ID: b1\r\nContent-Length: 9\r\n\r\nx"));
  Client trickling(node.port());
  ASSERT_TRUE(trickling.Send("GET /page/k HTTP/1.1\r\nHost: x\r\nX-Slow: "));
  std::atomic<bool> ended{false};
  std::thread feeding([&] {
    while (!ended && trickling.Send("a")) std::this_thread::sleep_for(milliseconds(20));
  });
  EXPECT_TRUE(idle.wire.ReadsEnd());
  for (Client* client : {&half, &body, &trickling}) {
    const auto response = client->Read();
    EXPECT_EQ(response ? response->result_int() : 0, 408U);
  }
  ended = true;
  feeding.join();
}

TEST(Application, DuplicateOfAnAnsweredRequestDoesNotRunAgain) {
  Upstream upstream(Upstream::Echo("u"));
  Node node(OptionsWith(List({Target("u1", upstream.address())})));
  ASSERT_TRUE(node.Listening());
  Client client(node.port());
  ASSERT_TRUE(client.Post("/submit/k", "same", "x"));
  Client other(node.port());
  const auto rejected = other.Post("/submit/k", "same", "x");
  ASSERT_TRUE(rejected);
  EXPECT_EQ(rejected->result_int(), 400U);
  EXPECT_EQ(upstream.requests().size(), 1U);
}

TEST(Application, DuplicateOfARequestInFlightIsRejected) {
  Gate requested;
  Gate gate;
  Upstream upstream([&](Wire& wire, const Request&, int) {
    requested.Open();
    gate.Pass();
    wire.Answer(200, "x");
  });
  Node node(OptionsWith(List({Target("u1", upstream.address())})));
  ASSERT_TRUE(node.Listening());
  Client first(node.port());
  ASSERT_TRUE(first.Send(PostText("/submit/k", "same", "x", 15000)));
  requested.Pass();
  Client second(node.port());
  const auto rejected = second.Post("/submit/k", "same", "x");
  ASSERT_TRUE(rejected);
  EXPECT_EQ(rejected->result_int(), 400U);
  gate.Open();
  const auto response = first.Read();
  ASSERT_TRUE(response);
  EXPECT_EQ(response->result_int(), 200U);
  EXPECT_EQ(upstream.requests().size(), 1U);
}

TEST(Application, PipelinedRequestIsServedInTurn) {
  Upstream upstream(Upstream::Echo("u"));
  Node node(OptionsWith(List({Target("u1", upstream.address())})));
  ASSERT_TRUE(node.Listening());
  Client client(node.port());
  ASSERT_TRUE(client.Send(GetText("/page/1", "a1") + GetText("/page/2", "a2")));
  for (const char* body : {"u /page/1", "u /page/2"}) {
    const auto response = client.Read();
    ASSERT_TRUE(response);
    EXPECT_EQ(response->body(), body);
  }
}

TEST(Application, Expect100ContinueIsAnswered) {
  Upstream upstream(Upstream::Echo("u"));
  Node node(OptionsWith(List({Target("u1", upstream.address())})));
  ASSERT_TRUE(node.Listening());
  Client client(node.port());
  const std::string text = PostText("/submit/k", "a1", "x", 15000, "Expect: 100-continue\r\n");
  ASSERT_TRUE(client.Send(text.substr(0, text.size() - 1)));
  const auto interim = client.Read();
  ASSERT_TRUE(interim);
  EXPECT_EQ(interim->result_int(), 100U);
  ASSERT_TRUE(client.Send("x"));
  const auto response = client.Read();
  ASSERT_TRUE(response);
  EXPECT_EQ(response->result_int(), 200U);
}

}  // namespace
}  // namespace mothrack::testing
