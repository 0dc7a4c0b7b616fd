// The real program between scripted peers: what crosses the sockets in each case that the protocol names.

#include <algorithm>
#include <atomic>
#include <chrono>
#include <csignal>
#include <future>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "gtest/gtest.h"
#include "standins/peers.h"

namespace mothrack::testing {
namespace {

using std::chrono::milliseconds;

// A door that a script waits at until the test opens it.
class Gate {
 public:
  void Open() { promise_.set_value(); }
  void Pass() const { opened_.wait(); }

 private:
  std::promise<void> promise_;
  std::shared_future<void> opened_ = promise_.get_future().share();
};

Node::Options With(const json& known, json settings = Settings()) {
  Node::Options options;
  options.known = known;
  options.settings = std::move(settings);
  return options;
}

// The status that an unsafe request ends with, for one upstream that behaves like this: 503 says that nothing
// ran, 502 and 504 that it may have.
unsigned UnsafeStatus(const std::string& address, int timeout_ms, std::size_t body = 10) {
  Node node(With(List({Target("u1", address)})));
  if (!node.Listening()) return 0;
  Client client(node.port());
  const auto response = client.Post("/submit/k", "a1", std::string(body, 'x'), timeout_ms);
  return response ? response->result_int() : 0;
}

// ---- Passing on ----

TEST(Node, PassesRequestAndAnswerUnchanged) {
  std::string body;
  for (int i = 0; i < 65536; ++i) body.push_back(static_cast<char>(i * 7));
  Upstream upstream([&](Wire& wire, const Request&, int) { wire.Answer(200, body); });
  Node node(With(List({Target("u1", upstream.address())})));
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
  Node node(With(List({Target("u1", upstream.address())})));
  ASSERT_TRUE(node.Listening());
  Client client(node.port());
  for (int i = 0; i < 5; ++i) {
    const auto response = client.Get("/page/" + std::to_string(i), "r" + std::to_string(i));
    ASSERT_TRUE(response);
    EXPECT_EQ(response->body(), "u /page/" + std::to_string(i));
  }
  EXPECT_EQ(upstream.connections(), 1);
}

TEST(Node, TakesChunkedAnswersAndRequestsInPieces) {
  Upstream upstream([](Wire& wire, const Request& request, int) {
    wire.Write("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    for (const char c : request.body()) wire.Write(std::string("1\r\n") + c + "\r\n");
    wire.Write("0\r\n\r\n");
  });
  Node node(With(List({Target("u1", upstream.address())})));
  ASSERT_TRUE(node.Listening());
  Client client(node.port());
  const std::string text = PostText("/submit/k", "p1", "hello");
  for (const char c : text) ASSERT_TRUE(client.Send(std::string(1, c)));
  const auto response = client.Read();
  ASSERT_TRUE(response);
  EXPECT_EQ(response->body(), "hello");
}

// ---- Outcomes ----

TEST(Outcome, ErrorMayHaveRun) {
  Upstream upstream([](Wire& wire, const Request&, int) { wire.Answer(500, "x"); });
  EXPECT_EQ(UnsafeStatus(upstream.address(), 5000), 502U);
  EXPECT_EQ(upstream.requests().size(), 1U);
}

TEST(Outcome, Bare503MayHaveRun) {
  Upstream upstream([](Wire& wire, const Request&, int) { wire.Answer(503, "x"); });
  EXPECT_EQ(UnsafeStatus(upstream.address(), 5000), 502U);
  EXPECT_EQ(upstream.requests().size(), 1U);
}

TEST(Outcome, NotProcessedProvesThatNothingRan) {
  for (const unsigned status : {503U, 504U}) {
    Upstream upstream(
        [status](Wire& wire, const Request&, int) { wire.Answer(status, "x", "X-Not-Processed: 1\r\n"); });
    EXPECT_EQ(UnsafeStatus(upstream.address(), 5000), 503U);
  }
}

TEST(Outcome, NotProcessedOnAnotherStatusProvesNothing) {
  Upstream upstream([](Wire& wire, const Request&, int) { wire.Answer(500, "x", "X-Not-Processed: 1\r\n"); });
  EXPECT_EQ(UnsafeStatus(upstream.address(), 5000), 502U);
}

TEST(Outcome, RefusedConnectionProvesThatNothingRan) {
  Refusing refusing;
  EXPECT_EQ(UnsafeStatus(refusing.address(), 5000), 503U);
}

TEST(Outcome, ConnectionThatNeverComesUpProvesThatNothingRan) {
  BlackHole hole;
  EXPECT_EQ(UnsafeStatus(hole.address(), 10000), 503U);
}

// How much of a message a connection takes whose narrow other end never reads.
std::size_t TakenUnread() {
  boost::asio::io_context io;
  tcp::acceptor acceptor(io, tcp::v4());
  MakeNarrow(acceptor);
  acceptor.bind({boost::asio::ip::make_address_v4("127.0.0.1"), 0});
  acceptor.listen();
  tcp::socket socket(io);
  socket.connect(acceptor.local_endpoint());
  socket.non_blocking(true);
  boost::system::error_code error;
  const std::string bytes(65536, 'x');
  std::size_t taken = 0;
  while (!error && taken < bytes.size()) taken += socket.write_some(boost::asio::buffer(bytes), error);
  return taken;
}

TEST(Outcome, BreakBeforeTheLastByteProvesThatNothingRan) {
  if (TakenUnread() >= 65536) GTEST_SKIP() << "this system takes a whole message that nobody reads";
  Peer peer(
      [](Wire& wire, int) {
        char byte = 0;
        boost::system::error_code error;
        wire.socket.read_some(boost::asio::buffer(&byte, 1), error);
        wire.Reset();
      },
      true);
  EXPECT_EQ(UnsafeStatus(peer.address(), 5000, 65536), 503U);
}

TEST(Outcome, ResetAfterTheRequestMayHaveRun) {
  Upstream upstream([](Wire& wire, const Request&, int) { wire.Reset(); });
  EXPECT_EQ(UnsafeStatus(upstream.address(), 5000), 502U);
  EXPECT_EQ(upstream.requests().size(), 1U);
}

TEST(Outcome, AnswerCutShortIsAReset) {
  Upstream upstream([](Wire& wire, const Request&, int) {
    wire.Write("HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf");
    wire.socket.close();
  });
  EXPECT_EQ(UnsafeStatus(upstream.address(), 5000), 502U);
  EXPECT_EQ(upstream.requests().size(), 1U);
}

TEST(Outcome, GarbageIsNoAnswer) {
  Upstream upstream([](Wire& wire, const Request&, int) { wire.Write("SSH-2.0-what\r\n\r\n"); });
  EXPECT_EQ(UnsafeStatus(upstream.address(), 5000), 502U);
}

TEST(Outcome, AnswerBeyondTheBoundIsNoAnswer) {
  Upstream upstream([](Wire& wire, const Request&, int) {
    wire.Write("HTTP/1.1 200 OK\r\nContent-Length: 70000000\r\n\r\nhalf");
  });
  EXPECT_EQ(UnsafeStatus(upstream.address(), 5000), 502U);
}

TEST(Outcome, NoAnswerEndsAtTheClientsDeadline) {
  Gate end;
  Upstream upstream([&](Wire&, const Request&, int) { end.Pass(); });
  EXPECT_EQ(UnsafeStatus(upstream.address(), 300), 504U);
  EXPECT_EQ(upstream.requests().size(), 1U);
  end.Open();
}

TEST(Outcome, SafeRequestIsTriedAgainElsewhereOnlyAsTheModuleSays) {
  Upstream good(Upstream::Echo("good"));
  Upstream bad([](Wire& wire, const Request&, int) { wire.Answer(500, "x"); });
  Node node(With(List({Target("u1", good.address()), Target("u2", bad.address())})));
  ASSERT_TRUE(node.Listening());
  Client client(node.port());
  for (int i = 0; i < 8; ++i) {
    const auto response = client.Get("/page/k", "s" + std::to_string(i));
    ASSERT_TRUE(response);
    EXPECT_EQ(response->result_int(), 200U);
  }
  EXPECT_GT(bad.requests().size(), 0U);
  EXPECT_EQ(good.requests().size(), 8U);
}

TEST(Outcome, RefusalTellsWhenToComeBack) {
  Refusing refusing;
  Node node(With(List({Target("u1", refusing.address())})));
  ASSERT_TRUE(node.Listening());
  Client client(node.port());
  const auto response = client.Get("/page/k", "a1");
  ASSERT_TRUE(response);
  EXPECT_EQ(response->result_int(), 503U);
  const double wait = std::stod(std::string((*response)["Retry-After"]));
  EXPECT_GT(wait, 0);
  EXPECT_LE(wait, 2);
}

// ---- Spoilt answers ----

// What an unsafe request gets for an upstream that sends these bytes and leaves the connection open.
unsigned StatusForBytes(const std::string& bytes) {
  Upstream upstream([&](Wire& wire, const Request&, int) { wire.Write(bytes); });
  const unsigned status = UnsafeStatus(upstream.address(), 1000);
  EXPECT_EQ(upstream.requests().size(), 1U) << bytes.substr(0, 80);
  return status;
}

TEST(Spoilt, AnswerWhoseEndCannotBeToldHasFailed) {
  for (const char* head :
       {"", "Transfer-Encoding: gzip\r\n", "Transfer-Encoding: chunked, gzip\r\n", "Content-Length: -5\r\n",
        "Content-Length: 3000000000\r\n", "Content-Length: 4\r\nTransfer-Encoding: gzip\r\n",
        "Content-Length: 4\r\nContent-Length: 5\r\n"}) {
    EXPECT_EQ(StatusForBytes(std::string("HTTP/1.1 200 OK\r\n") + head + "\r\nbody"), 502U) << head;
  }
}

TEST(Spoilt, AnswerThatEndsOnlyWithItsConnectionHasFailed) {
  Upstream upstream([](Wire& wire, const Request&, int) {
    wire.Write("HTTP/1.1 200 OK\r\n\r\nperhaps not all of it");
    wire.socket.close();
  });
  EXPECT_EQ(UnsafeStatus(upstream.address(), 5000), 502U);
}

TEST(Spoilt, InterimAnswersWithoutEndHaveFailed) {
  std::string many;
  for (int i = 0; i < 100; ++i) many += "HTTP/1.1 103 Early Hints\r\n\r\n";
  EXPECT_EQ(StatusForBytes(many), 502U);
  EXPECT_EQ(StatusForBytes("HTTP/1.1 101 Switching Protocols\r\n\r\n"), 502U);
}

// Guards against an answer that is none: the request can't have been read.
TEST(Spoilt, AnswerBeforeTheLastByteWasWrittenIsNone) {
  if (TakenUnread() >= 65536) GTEST_SKIP() << "this system takes a whole message that nobody reads";
  Gate end;
  Peer peer(
      [&](Wire& wire, int) {
        wire.Answer(200, "too early");
        end.Pass();
      },
      true);
  EXPECT_EQ(UnsafeStatus(peer.address(), 5000, 65536), 503U);
  end.Open();
}

// Bytes that come while a connection is idle must never be read as the next answer, whole or in part.
TEST(Spoilt, BytesBehindAnAnswerReachNoOtherRequest) {
  const std::string copy = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstray";
  for (const std::string& stray : {copy, copy.substr(0, 20), std::string("noise")}) {
    for (const bool later : {false, true}) {
      Gate answered;
      Gate strayed;
      Upstream upstream([&](Wire& wire, const Request& request, int number) {
        const std::string id(request["X-Request-ID"]);
        const std::string answer =
            "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(id.size()) + "\r\n\r\n" + id;
        wire.Write(answer + (number == 0 && !later ? stray : ""));
        if (number > 0) return;
        if (later) {
          answered.Pass();
          wire.Write(stray);
        }
        strayed.Open();
      });
      Node node(With(List({Target("u1", upstream.address())})));
      ASSERT_TRUE(node.Listening());
      Client client(node.port());
      const auto first = client.Post("/submit/k", "one", "x");
      ASSERT_TRUE(first);
      EXPECT_EQ(first->body(), "one");
      answered.Open();
      strayed.Pass();
      const auto second = client.Post("/submit/k", "two", "x");
      ASSERT_TRUE(second);
      EXPECT_EQ(second->body(), "two");
      EXPECT_EQ(upstream.connections(), 2);
    }
  }
}

TEST(Spoilt, LoadReportThatCannotBeReadLeavesTheAnswerGood) {
  for (const char* report :
       {"inflight=nan", "inflight=inf,queue=2", "util=-1", "queue=1e300", "inflight=", "=,=,"}) {
    Upstream upstream([&](Wire& wire, const Request&, int) {
      wire.Answer(200, "good", "X-Server-Load: " + std::string(report) + "\r\n");
    });
    EXPECT_EQ(UnsafeStatus(upstream.address(), 5000), 200U) << report;
  }
}

// ---- Pools ----

TEST(Pool, ConnectionClosedByTheUpstreamIsNotUsedAgain) {
  Gate closed;
  Upstream upstream([&](Wire& wire, const Request&, int number) {
    wire.Answer(200, "n" + std::to_string(number));
    if (number > 0) return;
    wire.socket.close();
    closed.Open();
  });
  Node node(With(List({Target("u1", upstream.address())})));
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
  Node node(With(List({Target("u1", peer.address())}), settings));
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
  Node node(With(List({Target("u1", upstream.address())})));
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

TEST(Pool, ConnectionThatTheAnswerClosesIsNotKept) {
  Upstream upstream([](Wire& wire, const Request&, int) { wire.Answer(200, "x", "Connection: close\r\n"); });
  Node node(With(List({Target("u1", upstream.address())})));
  ASSERT_TRUE(node.Listening());
  Client client(node.port());
  for (const char* id : {"a1", "a2"}) {
    const auto response = client.Post("/submit/k", id, "x");
    ASSERT_TRUE(response);
    EXPECT_EQ(response->result_int(), 200U);
  }
  EXPECT_EQ(upstream.connections(), 2);
}

// ---- Clients ----

TEST(Application, ThatLeavesEndsItsAttempt) {
  std::promise<bool> ended;
  Gate asked;
  Upstream upstream([&](Wire& wire, const Request&, int) {
    asked.Open();
    ended.set_value(wire.ReadsEnd());
  });
  Node node(With(List({Target("u1", upstream.address())})));
  ASSERT_TRUE(node.Listening());
  {
    Client client(node.port());
    ASSERT_TRUE(client.Send(GetText("/page/k", "a1", 15000)));
    asked.Pass();
  }
  EXPECT_TRUE(ended.get_future().get());
}

TEST(Application, BadRequestsAreTurnedAwayAndNotPassedOn) {
  Upstream upstream(Upstream::Echo("u"));
  Node node(With(List({Target("u1", upstream.address())})));
  ASSERT_TRUE(node.Listening());
  const std::string id = "X-Request-ID: a1\r\n";
  const std::string time = "X-Timeout-Ms: 100\r\n";
  const auto get = [](const std::string& target, const std::string& headers) {
    return "GET " + target + " HTTP/1.1\r\nHost: x\r\n" + headers + "\r\n";
  };
  const std::vector<std::pair<std::string, unsigned>> cases = {
      {"what is this\r\n\r\n", 400},
      {"HEAD /page/k HTTP/1.1\r\n" + id + time + "\r\n", 400},
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
      {"POST /submit/k HTTP/1.1\r\n" + id + time + "Content-Length: 70000000\r\n\r\nhalf", 413},
      {"POST /page/k HTTP/1.1\r\n" + id + time + "Transfer-Encoding: chunked\r\n\r\n4400000\r\n" +
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

// Sends these bytes on a connection of its own; the status it is answered with, 0 where it is closed without
// one. What is behind the answer is the end of the connection.
unsigned StatusAndClose(Node& node, const std::string& bytes) {
  Client client(node.port());
  client.Send(bytes);
  const auto response = client.Read();
  EXPECT_FALSE(client.Read()) << bytes.substr(0, 200);
  return response ? response->result_int() : 0;
}

// Guards against a request hidden in another's body, and one that is repeated against its class: each of
// these is turned away, and what follows on its connection is not looked at.
TEST(Application, RequestsThatMustNotPassEndTheirConnection) {
  Upstream upstream(Upstream::Echo("u"));
  Node node(With(List({Target("u1", upstream.address())})));
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
    return "GET /page/k HTTP/1.1\r\nX-Request-ID: a1\r\nX-Timeout-Ms: 1000\r\n" + headers + "\r\n" + next;
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
      "GET /page/k HTTP/2.0\r\nX-Request-ID: a1\r\nX-Timeout-Ms: 1000\r\n\r\n" + next,
      "GET /page/\x80 HTTP/1.1\r\nX-Request-ID: a1\r\nX-Timeout-Ms: 1000\r\n\r\n" + next,
      "PUT /page/k HTTP/1.1\r\nX-Request-ID: a1\r\nX-Timeout-Ms: 1000\r\n\r\n" + next,
      "GET /submit/k HTTP/1.1\r\nX-Request-ID: a1\r\nX-Timeout-Ms: 1000\r\n\r\n" + next,
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

// The deployment's limit is 3 s from connecting, whatever trickles in the meantime.
TEST(Application, SilentAndStalledClientsAreLetGo) {
  Node node(With(json::array()));
  ASSERT_TRUE(node.Listening());
  Client silent(node.port());
  Client half(node.port());
  ASSERT_TRUE(half.Send("GET /page/k HTTP/1.1\r\nX-"));
  Client body(node.port());
  ASSERT_TRUE(body.Send("POST /submit/k HTTP/1.1\r\nX-Request-ID: b1\r\nContent-Length: 9\r\n\r\nx"));
  Client trickling(node.port());
  ASSERT_TRUE(trickling.Send("GET /page/k HTTP/1.1\r\nX-Slow: "));
  std::atomic<bool> ended{false};
  std::thread feeding([&] {
    while (!ended && trickling.Send("a")) std::this_thread::sleep_for(milliseconds(20));
  });
  EXPECT_TRUE(silent.wire.ReadsEnd());
  for (Client* client : {&half, &body, &trickling}) {
    const auto response = client->Read();
    EXPECT_EQ(response ? response->result_int() : 0, 408U);
  }
  ended = true;
  feeding.join();
}

TEST(Application, CopyThatCrossesTheAnswerDoesNotRunAgain) {
  Upstream upstream(Upstream::Echo("u"));
  Node node(With(List({Target("u1", upstream.address())})));
  ASSERT_TRUE(node.Listening());
  Client client(node.port());
  ASSERT_TRUE(client.Post("/submit/k", "same", "x"));
  Client other(node.port());
  const auto refused = other.Post("/submit/k", "same", "x");
  ASSERT_TRUE(refused);
  EXPECT_EQ(refused->result_int(), 400U);
  EXPECT_EQ(upstream.requests().size(), 1U);
}

TEST(Application, IdInFlightIsTurnedAway) {
  Gate asked;
  Gate go;
  Upstream upstream([&](Wire& wire, const Request&, int) {
    asked.Open();
    go.Pass();
    wire.Answer(200, "x");
  });
  Node node(With(List({Target("u1", upstream.address())})));
  ASSERT_TRUE(node.Listening());
  Client first(node.port());
  ASSERT_TRUE(first.Send(PostText("/submit/k", "same", "x", 15000)));
  asked.Pass();
  Client second(node.port());
  const auto refused = second.Post("/submit/k", "same", "x");
  ASSERT_TRUE(refused);
  EXPECT_EQ(refused->result_int(), 400U);
  go.Open();
  const auto response = first.Read();
  ASSERT_TRUE(response);
  EXPECT_EQ(response->result_int(), 200U);
  EXPECT_EQ(upstream.requests().size(), 1U);
}

TEST(Application, RequestSentAheadIsServedInTurn) {
  Upstream upstream(Upstream::Echo("u"));
  Node node(With(List({Target("u1", upstream.address())})));
  ASSERT_TRUE(node.Listening());
  Client client(node.port());
  ASSERT_TRUE(client.Send(GetText("/page/1", "a1") + GetText("/page/2", "a2")));
  for (const char* body : {"u /page/1", "u /page/2"}) {
    const auto response = client.Read();
    ASSERT_TRUE(response);
    EXPECT_EQ(response->body(), body);
  }
}

TEST(Application, ThatAsksWhetherToGoOnIsTold) {
  Upstream upstream(Upstream::Echo("u"));
  Node node(With(List({Target("u1", upstream.address())})));
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

// ---- Discovery ----

TEST(Membership, StartsFromKnownWhileDiscoveryIsDown) {
  Upstream upstream(Upstream::Echo("u"));
  Node node(With(List({Target("u1", upstream.address())})));
  ASSERT_TRUE(node.Listening());
  Client client(node.port());
  const auto response = client.Get("/page/k", "a1");
  ASSERT_TRUE(response);
  EXPECT_EQ(response->result_int(), 200U);
}

// Sends requests until one is answered with this body.
bool BecomesServedBy(Node& node, const std::string& body) {
  static int number = 0;
  return Eventually([&] {
    Client client(node.port());
    const auto response = client.Get("/page/k", "w" + std::to_string(number++));
    return response && response->body() == body;
  });
}

TEST(Membership, FollowsListsChangesAndMoves) {
  Upstream a(Upstream::Echo("a"));
  Upstream b(Upstream::Echo("b"));
  Upstream c(Upstream::Echo("c"));
  Discovery discovery(List({Target("u1", a.address())}));
  Node::Options options = With(nullptr);
  options.discovery = discovery.address();
  Node node(options);
  ASSERT_TRUE(node.Listening());
  EXPECT_TRUE(BecomesServedBy(node, "a /page/k"));
  discovery.Tell(List({Target("u2", b.address())}), true);  // u1 is missing: it is gone
  EXPECT_TRUE(BecomesServedBy(node, "b /page/k"));
  discovery.Tell(List({Target("u2", c.address())}), false);  // moved
  EXPECT_TRUE(BecomesServedBy(node, "c /page/k"));
  const std::size_t before = a.requests().size() + b.requests().size();
  for (int i = 0; i < 10; ++i) EXPECT_TRUE(BecomesServedBy(node, "c /page/k"));
  EXPECT_EQ(a.requests().size() + b.requests().size(), before);
  discovery.Tell(List({Target("u2", c.address(), "left"), Target("u1", a.address())}), false);
  EXPECT_TRUE(BecomesServedBy(node, "a /page/k"));
}

TEST(Membership, NothingNewGoesToADrainingUpstream) {
  Gate asked;
  Gate go;
  Upstream leaving([&](Wire& wire, const Request& request, int) {
    if (request.target() == "/submit/held") {
      asked.Open();
      go.Pass();
    }
    wire.Answer(200, "old");
  });
  Upstream staying(Upstream::Echo("new"));
  Discovery discovery(List({Target("u1", leaving.address())}));
  Node::Options options = With(List({Target("u1", leaving.address())}));
  options.discovery = discovery.address();
  Node node(options);
  ASSERT_TRUE(node.Listening());
  Client held(node.port());
  ASSERT_TRUE(held.Send(PostText("/submit/held", "h1", "x", 15000)));
  asked.Pass();
  discovery.Tell(List({Target("u1", leaving.address(), "leaving"), Target("u2", staying.address())}), false);
  ASSERT_TRUE(BecomesServedBy(node, "new /page/k"));
  const std::size_t before = leaving.requests().size();
  for (int i = 0; i < 20; ++i) EXPECT_TRUE(BecomesServedBy(node, "new /page/k"));
  EXPECT_EQ(leaving.requests().size(), before);
  go.Open();  // what it had is finished
  const auto response = held.Read();
  ASSERT_TRUE(response);
  EXPECT_EQ(response->body(), "old");
}

TEST(Membership, ConnectingAttemptIsCalledOffWhenItsUpstreamDrains) {
  BlackHole hole;
  Upstream staying(Upstream::Echo("new"));
  Discovery discovery(List({Target("u1", hole.address())}));
  json settings = Settings();
  settings["Limits"]["ConnectTimeout"] = 60000000;
  Node::Options options = With(List({Target("u1", hole.address())}), settings);
  options.discovery = discovery.address();
  Node node(options);
  ASSERT_TRUE(node.Listening());
  const int idle = node.descriptors();
  Client client(node.port());
  ASSERT_TRUE(client.Send(PostText("/submit/k", "a1", "x", 15000)));
  ASSERT_TRUE(Eventually([&] { return node.descriptors() >= idle + 2; }));  // the client and the attempt
  discovery.Tell(List({Target("u1", hole.address(), "leaving"), Target("u2", staying.address())}), false);
  const auto response = client.Read();
  ASSERT_TRUE(response);
  EXPECT_EQ(response->body(), "new /submit/k");
}

TEST(Membership, LoopOutlivesABrokenSilentAndMalformedDiscovery) {
  Upstream a(Upstream::Echo("a"));
  Upstream b(Upstream::Echo("b"));
  for (const auto mood : {Discovery::Mood::kBreaks, Discovery::Mood::kMalformed, Discovery::Mood::kSilent}) {
    Discovery discovery(List({Target("u1", a.address())}));
    Node::Options options = With(nullptr);
    options.discovery = discovery.address();
    Node node(options);
    ASSERT_TRUE(node.Listening());
    ASSERT_TRUE(BecomesServedBy(node, "a /page/k"));
    const int calls = discovery.calls();
    discovery.Set(mood);
    ASSERT_TRUE(Eventually([&] { return discovery.calls() > calls + 1; }));
    EXPECT_TRUE(BecomesServedBy(node, "a /page/k"));  // the old list stands
    discovery.Tell(List({Target("u2", b.address())}));
    discovery.Set(Discovery::Mood::kAnswers);
    EXPECT_TRUE(BecomesServedBy(node, "b /page/k"));
  }
}

TEST(Membership, AgentThatAnswersAtOnceIsNotAskedInASpin) {
  Upstream a(Upstream::Echo("a"));
  std::atomic<int> calls{0};
  const std::string body =
      json{{"rev", 1}, {"all", true}, {"targets", List({Target("u1", a.address())})}}.dump();
  Upstream agent([&](Wire& wire, const Request&, int) {
    ++calls;
    wire.Answer(200, body);
  });
  Node::Options options = With(nullptr);
  options.discovery = agent.address();
  const auto start = std::chrono::steady_clock::now();
  Node node(options);
  ASSERT_TRUE(node.Listening());
  ASSERT_TRUE(Eventually([&] { return calls >= 10; }));
  EXPECT_GT(std::chrono::steady_clock::now() - start, milliseconds(200));
}

TEST(Membership, WatchGoesOnFromTheLastVersion) {
  Upstream a(Upstream::Echo("a"));
  std::atomic<bool> watched{false};
  const std::string body =
      json{{"rev", 41}, {"all", true}, {"targets", List({Target("u1", a.address())})}}.dump();
  Upstream agent([&](Wire& wire, const Request& request, int) {
    if (std::string(request.target()).find("index=41&") != std::string::npos) watched = true;
    wire.Answer(200, body);
  });
  Node::Options options = With(nullptr);
  options.discovery = agent.address();
  Node node(options);
  ASSERT_TRUE(node.Listening());
  EXPECT_TRUE(Eventually([&] { return watched.load(); }));
  EXPECT_EQ(agent.requests().front().target(), "/discovery/hosts");
}

// A service that all sidecars ask: one that has started anew holds a list, and a call that failed leaves it
// standing.
TEST(Membership, OneServiceForAllIsAskedForWhatChangedAlsoAfterAFailure) {
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
  Node::Options options = With(List({Target("u1", a.address())}), settings);
  options.discovery = service.address();
  Node node(options);
  ASSERT_TRUE(node.Listening());
  EXPECT_TRUE(BecomesServedBy(node, "b /page/k"));
  ASSERT_TRUE(Eventually([&] { return service.requests().size() >= 4; }));
  const auto asked = service.requests();
  for (int i = 0; i < 3; ++i)
    EXPECT_NE(std::string(asked[i].target()).find("?index=0&"), std::string::npos) << i;
  EXPECT_NE(std::string(asked[3].target()).find("?index=5&"), std::string::npos);
}

// ---- Configuration read again ----

std::string FollowingTo(const Node& node, const std::string& discovery) {
  json config = node.config();
  config["discovery"] = discovery;
  return config.dump();
}

// Guards against ending on SIGHUP, and against a version or a pause that belonged to the old address.
TEST(Reload, FollowsTheNewDiscoveryEachTime) {
  Upstream a(Upstream::Echo("a"));
  Upstream b(Upstream::Echo("b"));
  Discovery first(List({Target("u1", a.address())}));
  for (int i = 0; i < 5; ++i)
    first.Tell(List({Target("u1", a.address())}));  // a higher version than the next
  Discovery second(List({Target("u2", b.address())}));
  Node::Options options = With(nullptr);
  options.discovery = first.address();
  Node node(options);
  ASSERT_TRUE(node.Listening());
  ASSERT_TRUE(BecomesServedBy(node, "a /page/k"));
  node.Reload(FollowingTo(node, second.address()));  // with a watch open
  EXPECT_TRUE(BecomesServedBy(node, "b /page/k"));
  first.Set(Discovery::Mood::kBreaks);
  node.Reload(FollowingTo(node, first.address()));
  ASSERT_TRUE(Eventually([&] { return node.log().find("discovery: ") != std::string::npos; }));
  EXPECT_TRUE(BecomesServedBy(node, "b /page/k"));  // the old list stands
  for (int i = 0; i < 3; ++i) node.Reload(FollowingTo(node, second.address()));
  second.Tell(List({Target("u1", a.address())}));
  EXPECT_TRUE(BecomesServedBy(node, "a /page/k"));
  node.Signal(SIGTERM);
  node.Reload(FollowingTo(node, first.address()));  // in a drain
  EXPECT_EQ(node.Wait(), 0);
}

TEST(Reload, FaultIsLoggedAndTheOldConfigurationStays) {
  Upstream a(Upstream::Echo("a"));
  Upstream b(Upstream::Echo("b"));
  Discovery discovery(List({Target("u1", a.address())}));
  Node::Options options = With(nullptr);
  options.discovery = discovery.address();
  Node node(options);
  ASSERT_TRUE(node.Listening());
  ASSERT_TRUE(BecomesServedBy(node, "a /page/k"));
  json known = node.config();
  known["known"] = {{"no", "list"}};
  for (const auto& text : {std::string("{"), FollowingTo(node, "nowhere"), known.dump()}) {
    const auto faults = [&node] {
      const std::string log = node.log();
      int count = 0;
      for (auto at = log.find("not taken"); at != std::string::npos; at = log.find("not taken", at + 1))
        ++count;
      return count;
    };
    const int before = faults();
    node.Reload(text);
    EXPECT_TRUE(Eventually([&] { return faults() > before; })) << text;
  }
  discovery.Tell(List({Target("u2", b.address())}));
  EXPECT_TRUE(BecomesServedBy(node, "b /page/k"));
}

// The file can be replaced under a running process, its environment can't: after a restart it counts too.
TEST(Reload, FileCountsBeforeTheEnvironment) {
  Upstream a(Upstream::Echo("a"));
  Discovery discovery(List({Target("u1", a.address())}));
  Node::Options options = With(nullptr);
  options.discovery = "127.0.0.1:1";
  json config = Node(options).config();
  config["discovery"] = discovery.address();
  options.config_text = config.dump();
  Node node(options);
  ASSERT_TRUE(node.Listening());
  EXPECT_TRUE(BecomesServedBy(node, "a /page/k"));
}

// ---- Start and stop ----

TEST(Process, PlannedStopServesWhatItTookAndWhatStillComes) {
  Gate asked;
  Gate go;
  Upstream upstream([&](Wire& wire, const Request& request, int) {
    if (request.target() == "/submit/held") {
      asked.Open();
      go.Pass();
    }
    wire.Answer(200, std::string(request.target()));
  });
  Node node(With(List({Target("u1", upstream.address())})));
  ASSERT_TRUE(node.Listening());
  Client idle(node.port());
  ASSERT_TRUE(idle.Get("/page/k", "i1"));
  Client held(node.port());
  ASSERT_TRUE(held.Send(PostText("/submit/held", "h1", "x", 15000)));
  asked.Pass();
  node.Signal(SIGTERM);
  EXPECT_TRUE(idle.wire.ReadsEnd());
  Client late(node.port());
  const auto served = late.Get("/page/late", "l1");
  ASSERT_TRUE(served);
  EXPECT_EQ(served->body(), "/page/late");
  EXPECT_FALSE(served->keep_alive());
  go.Open();
  const auto response = held.Read();
  ASSERT_TRUE(response);
  EXPECT_EQ(response->body(), "/submit/held");
  EXPECT_FALSE(response->keep_alive());
  EXPECT_EQ(node.Wait(), 0);
}

TEST(Process, PlannedStopEndsThoughClientsStall) {
  Node node(With(json::array()));
  ASSERT_TRUE(node.Listening());
  Client half(node.port());
  ASSERT_TRUE(half.Send("GET /page/k HTTP/1.1\r\nX-"));
  Client silent(node.port());
  node.Signal(SIGTERM);
  EXPECT_EQ(node.Wait(), 0);  // long before the test runner's limit
}

TEST(Process, BindsTheSameAddressAtOnceAfterAKill) {
  Upstream upstream(Upstream::Echo("u"));
  std::uint16_t port = 0;
  {
    Node node(With(List({Target("u1", upstream.address())})));
    ASSERT_TRUE(node.Listening());
    port = node.port();
    Client client(port);
    ASSERT_TRUE(client.Get("/page/k", "a1"));
    node.Signal(SIGKILL);
    EXPECT_EQ(node.Wait(), 128 + SIGKILL);
  }
  Node::Options options = With(List({Target("u1", upstream.address())}));
  options.listen = "127.0.0.1:" + std::to_string(port);
  Node node(options);
  ASSERT_TRUE(node.Listening());
  Client client(port);
  const auto response = client.Get("/page/k", "a1");
  ASSERT_TRUE(response);
  EXPECT_EQ(response->result_int(), 200U);
}

TEST(Process, AnswersUp) {
  Node node(With(json::array()));
  ASSERT_TRUE(node.Listening());
  Client client(node.port());
  ASSERT_TRUE(client.Send("GET /up HTTP/1.1\r\nHost: x\r\n\r\n"));
  const auto response = client.Read();
  ASSERT_TRUE(response);
  EXPECT_EQ(response->result_int(), 200U);
}

// The one line on standard error that a bad start leaves; checks the exit code.
std::string BadStart(const Node::Options& options) {
  Node node(options);
  EXPECT_NE(node.Wait(), 0);
  const std::string log = node.log();
  EXPECT_EQ(std::count(log.begin(), log.end(), '\n'), 1) << log;
  return log;
}

TEST(Process, BadConfigurationIsNamed) {
  const auto has = [](const std::string& text, const std::string& part) {
    return text.find(part) != std::string::npos;
  };
  for (const char* name : {"LB_NAME", "LB_LISTEN", "LB_DISCOVERY", "LB_CONFIG"}) {
    Node::Options options = With(nullptr);
    options.unset = {name};
    EXPECT_TRUE(has(BadStart(options), name));
  }
  Node::Options options = With(nullptr);
  options.listen = "nowhere";
  EXPECT_TRUE(has(BadStart(options), "LB_LISTEN"));
  options = With(nullptr);
  options.discovery = "127.0.0.1:99999";
  EXPECT_TRUE(has(BadStart(options), "LB_DISCOVERY"));
  options = With(nullptr);
  options.config_text = "{";
  EXPECT_TRUE(has(BadStart(options), "LB_CONFIG"));
  options.config_text = R"({"limits":{"sockets":256},"settings":{}})";
  EXPECT_TRUE(has(BadStart(options), "seed"));
  options.config_text = R"({"seed":"xyz","limits":{"sockets":256},"settings":{}})";
  EXPECT_TRUE(has(BadStart(options), "seed"));
  options.config_text = R"({"seed":"1","settings":{}})";
  EXPECT_TRUE(has(BadStart(options), "limits"));
  options.config_text = R"({"seed":"1","limits":{"sockets":"many"},"settings":{}})";
  EXPECT_TRUE(has(BadStart(options), "sockets"));
  options.config_text = R"({"seed":"1","limits":{"sockets":256},"settings":{}})";
  EXPECT_TRUE(has(BadStart(options), "Classes"));
  options = With(json{{"no", "list"}});
  EXPECT_TRUE(has(BadStart(options), "known"));
  json settings = Settings();
  settings["Limits"]["MaxAttempts"] = 0;
  EXPECT_TRUE(has(BadStart(With(nullptr, settings)), "max_attempts"));
  settings["Limits"]["MaxAttempts"] = "three";
  EXPECT_TRUE(has(BadStart(With(nullptr, settings)), "MaxAttempts"));
}

TEST(Process, TakenAddressIsNamed) {
  Peer peer([](Wire&, int) {});
  Node::Options options = With(nullptr);
  options.listen = peer.address();
  EXPECT_NE(BadStart(options).find(peer.address()), std::string::npos);
}

// ---- Descriptors ----

TEST(Descriptors, StayWithinTheLimitAndClientsAreServed) {
  Upstream upstream(Upstream::Echo("u"));
  Node::Options options = With(List({Target("u1", upstream.address())}));
  options.sockets = 64;
  Node node(options);
  ASSERT_TRUE(node.Listening());
  // More clients than there are descriptors; each asks once and stays.
  std::vector<std::unique_ptr<Client>> clients;
  for (int i = 0; i < 150; ++i) {
    clients.push_back(std::make_unique<Client>(node.port()));
    const auto response = clients.back()->Get("/page/k", "d" + std::to_string(i));
    ASSERT_TRUE(response) << i;
    EXPECT_EQ(response->result_int(), 200U) << i;
    ASSERT_LE(node.descriptors(), 64) << i;
  }
}

// Guards against making room for a client that is not there at the cost of the last one that came.
TEST(Descriptors, LastOneThatFitsIsServedThoughItTakesAMoment) {
  Upstream upstream(Upstream::Echo("u"));
  Node::Options options = With(List({Target("u1", upstream.address())}));
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

// Many clients connect and say nothing: usual clients are served all the same.
TEST(Descriptors, SilentClientsKeepNobodyOut) {
  Upstream upstream(Upstream::Echo("u"));
  Node::Options options = With(List({Target("u1", upstream.address())}));
  options.sockets = 64;
  Node node(options);
  ASSERT_TRUE(node.Listening());
  std::vector<std::unique_ptr<Client>> silent;
  for (int i = 0; i < 100; ++i) silent.push_back(std::make_unique<Client>(node.port()));
  for (int i = 0; i < 5; ++i) {
    Client usual(node.port());
    const auto response = usual.Get("/page/k", "v" + std::to_string(i));
    ASSERT_TRUE(response) << i;
    EXPECT_EQ(response->result_int(), 200U);
  }
  for (const auto& client : silent) EXPECT_TRUE(client->wire.ReadsEnd());
}

TEST(Descriptors, RunningOutOfThemIsSurvived) {
  Upstream upstream(Upstream::Echo("u"));
  Node::Options options = With(List({Target("u1", upstream.address())}));
  {
    Node usual(options);
    ASSERT_TRUE(usual.Listening());
    // The system allows less than the deployment said.
    options.few_sockets = usual.descriptors() + 6;
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

// ---- Wake-ups ----

std::size_t Count(const std::string& text, const std::string& part) {
  std::size_t count = 0;
  for (auto at = text.find(part); at != std::string::npos; at = text.find(part, at + 1)) ++count;
  return count;
}

// A class's deadline is 5 s here: a client of which the system says nothing is found well within it.
TEST(WakeUps, ClientsAreServedWhereTheSystemNeverTellsOfThem) {
  Upstream upstream(Upstream::Echo("u"));
  Node::Options options = With(List({Target("u1", upstream.address())}));
  options.lost_wakes = true;
  Node node(options);
  ASSERT_TRUE(node.Listening());
  std::vector<std::unique_ptr<Client>> clients;
  for (int i = 0; i < 5; ++i) {
    clients.push_back(std::make_unique<Client>(node.port()));
    const auto response = clients.back()->Get("/page/k", "w" + std::to_string(i));
    ASSERT_TRUE(response) << i;
    EXPECT_EQ(response->result_int(), 200U);
  }
  EXPECT_EQ(Count(node.log(), "the system did not tell"), 1U);
}

// Nothing else happens at the sidecar, and no client comes behind the one that waits.
TEST(WakeUps, LoneClientsOneAfterTheOther) {
  Node node(With(List({})));
  ASSERT_TRUE(node.Listening());
  for (int i = 0; i < 10000; ++i) {
    Client client(node.port());
    ASSERT_TRUE(client.Send("GET /up HTTP/1.1\r\nHost: h\r\n\r\n"));
    ASSERT_TRUE(client.Read()) << i;
    client.wire.Reset();
  }
  EXPECT_EQ(Count(node.log(), "the system did not tell"), 0U);
}

}  // namespace
}  // namespace mothrack::testing
