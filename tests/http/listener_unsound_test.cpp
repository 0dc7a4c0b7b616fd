// Bytes behind a request that can't begin another one: found wherever a read ends, while the request is out
// and until its answer begins, for buffered and streamed bodies.
#include <cstddef>
#include <string>
#include <utility>
#include <vector>

#include "http/listener_fixture.h"

namespace mothrack {
namespace {

constexpr const char* kNoise = "cde";

struct BodyCase {
  const char* name;
  std::string request;
  bool streamed = false;
};

std::vector<BodyCase> BodyCases() {
  const std::string streamed(300'000, 'x');
  return {
      {"no body", Get("/p")},
      {"short", Post("Content-Length: 2\r\n", "ab")},
      {"length 0", Post("Content-Length: 0\r\n", "")},
      {"chunks", Post("Transfer-Encoding: chunked\r\n", "2\r\nab\r\n0\r\n\r\n")},
      {"long", Post("Content-Length: 50000\r\n", std::string(50'000, 'x'))},
      {"streamed", Post("Content-Length: 300000\r\n", streamed), true},
      {"streamed chunks", Post("Transfer-Encoding: chunked\r\n", "493e0\r\n" + streamed + "\r\n0\r\n\r\n"),
       true},
  };
}

class UnsoundListener : public ListenerTest {
 protected:
  UnsoundListener() { replies_at_once = false; }

  void ExpectRejected(Client& client) {
    EXPECT_TRUE(Receives(client, "HTTP/1.1 400 "));
    EXPECT_EQ(client.received.find(" 200 "), std::string::npos);
    EXPECT_TRUE(Ends(client));
  }

  // Ends all connections, so that the next case begins without any.
  void EndCase() {
    for (Client& client : clients) client.socket.close();
    ASSERT_TRUE(AllClosed());
    clients.clear();
    forwarded.clear();
  }

  // A sound request before the case on the same connection.
  void ServeFirst(Client& client) {
    Send(client, Get("/first"));
    ASSERT_TRUE(WaitUntil([&] { return !forwarded.empty(); }));
    Reply(forwarded.back());
    ASSERT_TRUE(Receives(client, "answer /first"));
    client.received.clear();
    forwarded.clear();
  }
};

TEST_F(UnsoundListener, BytesBehindAreFoundWithTheEndOfTheRequest) {
  for (const BodyCase& body_case : BodyCases()) {
    for (const bool reused : {false, true}) {
      SCOPED_TRACE(body_case.name);
      Client& client = Connect();
      if (reused) ServeFirst(client);
      SendAll(client, body_case.request + kNoise);
      ExpectRejected(client);
      // A streamed request was passed on before its end, and never completely.
      ASSERT_LE(forwarded.size(), body_case.streamed ? 1U : 0U);
      for (const ForwardedRequest& request : forwarded) {
        EXPECT_TRUE(request.disconnected);
        EXPECT_FALSE(request.complete);
        EXPECT_EQ(request.streamed_body.stream->state(), runtime::Stream::State::kTruncated);
      }
      EndCase();
    }
  }
}

TEST_F(UnsoundListener, BytesBehindAreFoundWhileTheRequestIsOut) {
  for (const BodyCase& body_case : BodyCases()) {
    SCOPED_TRACE(body_case.name);
    Client& client = Connect();
    ASSERT_EQ(SendAll(client, body_case.request), body_case.request.size());
    ASSERT_TRUE(WaitUntil([&] { return forwarded.size() == 1; }));
    Send(client, kNoise);
    ExpectRejected(client);
    EXPECT_TRUE(forwarded.back().disconnected);
    EndCase();
  }
}

// The handler replies before the event loop reports the bytes.
TEST_F(UnsoundListener, BytesBehindInTheKernelAreFoundBeforeTheAnswerBegins) {
  for (const BodyCase& body_case : BodyCases()) {
    for (const bool streamed_answer : {false, true}) {
      SCOPED_TRACE(body_case.name + std::string(streamed_answer ? ", streamed answer" : ""));
      Client& client = Connect();
      ASSERT_EQ(SendAll(client, body_case.request), body_case.request.size());
      ASSERT_TRUE(WaitUntil([&] { return forwarded.size() == 1; }));
      Send(client, kNoise);
      http::HttpResponse response(beast_http::status::ok, 11);
      http::StreamedBody body;
      if (streamed_answer) body = {std::make_shared<runtime::Stream>(*budget, 0), 10};
      const auto stream = body.stream;
      std::exchange(forwarded.back().reply, nullptr)(std::move(response), std::move(body));
      ExpectRejected(client);
      if (stream) {
        EXPECT_TRUE(stream->abandoned());
        EXPECT_TRUE(forwarded.back().disconnected);
      }
      EndCase();
    }
  }
}

// When memory is short, short bodies are streamed too, and what follows a request is not read before its
// answer.
TEST_F(UnsoundListener, BytesBehindAreFoundWithAFullBudget) {
  Listen(kManyDescriptors, 1 << 18);
  runtime::MemoryBudget::Charge others(*budget);
  ASSERT_TRUE(others.Reserve((1 << 18) * 3 / 4));
  for (const BodyCase& body_case : BodyCases()) {
    SCOPED_TRACE(body_case.name);
    Client& at_once = Connect();
    SendAll(at_once, body_case.request + kNoise);
    ExpectRejected(at_once);
    EndCase();
    Client& later = Connect();
    ASSERT_EQ(SendAll(later, body_case.request), body_case.request.size());
    ASSERT_TRUE(WaitUntil([&] { return forwarded.size() == 1; }));
    Send(later, kNoise);
    RunUntilIdle();
    Reply(forwarded.back());
    ExpectRejected(later);
    EndCase();
  }
}

// One byte at a time, behind a request that is out.
TEST_F(UnsoundListener, ASoundRequestBehindIsNoNoise) {
  for (const BodyCase& body_case : BodyCases()) {
    SCOPED_TRACE(body_case.name);
    Client& client = Connect();
    ASSERT_EQ(SendAll(client, body_case.request), body_case.request.size());
    ASSERT_TRUE(WaitUntil([&] { return forwarded.size() == 1; }));
    for (const char c : Get("/next")) {
      Send(client, std::string(1, c));
      RunUntilIdle();
    }
    Reply(forwarded.front());
    ASSERT_TRUE(Receives(client, "answer /p"));
    ASSERT_TRUE(WaitUntil([&] { return forwarded.size() == 2; }));
    Reply(forwarded.back());
    EXPECT_TRUE(Receives(client, "answer /next"));
    EndCase();
  }
}

// Once an answer has begun it is not taken back; what is behind it gets an error of its own.
TEST_F(UnsoundListener, BytesThatComeAfterTheAnswerGetAnErrorOfTheirOwn) {
  Client& client = Connect();
  Send(client, Get("/p"));
  ASSERT_TRUE(WaitUntil([&] { return forwarded.size() == 1; }));
  Reply(forwarded.back());
  ASSERT_TRUE(Receives(client, "answer /p"));
  Send(client, kNoise);
  EXPECT_TRUE(Receives(client, "HTTP/1.1 400 "));
  EXPECT_TRUE(Ends(client));
}

}  // namespace
}  // namespace mothrack
