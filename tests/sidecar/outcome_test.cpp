// The real program between stand-ins: the answer of a client for each outcome of an attempt, and for
// invalid answers.

#include <string>

#include "gtest/gtest.h"
#include "sidecar/node_cases.h"
#include "standins/peers.h"

namespace mothrack::testing {
namespace {

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
  RefusingAddress refusing;
  EXPECT_EQ(UnsafeStatus(refusing.address(), 5000), 503U);
}

TEST(Outcome, ConnectionThatNeverComesUpProvesThatNothingRan) {
  BlackHole hole;
  EXPECT_EQ(UnsafeStatus(hole.address(), 10000), 503U);
}

TEST(Outcome, BreakBeforeTheLastByteProvesThatNothingRan) {
  if (BytesAcceptedUnread() >= 65536)
    GTEST_SKIP() << "this system buffers a complete message that its peer does not read";
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

TEST(Outcome, AnswerBeyondTheSizeLimitIsNoAnswer) {
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

TEST(Outcome, SafeRequestIsRetriedElsewhereOnlyAsTheModuleSays) {
  Upstream good(Upstream::Echo("good"));
  Upstream bad([](Wire& wire, const Request&, int) { wire.Answer(500, "x"); });
  Node node(OptionsWith(List({Target("u1", good.address()), Target("u2", bad.address())})));
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

TEST(Outcome, RejectionHasRetryAfter) {
  RefusingAddress refusing;
  Node node(OptionsWith(List({Target("u1", refusing.address())})));
  ASSERT_TRUE(node.Listening());
  Client client(node.port());
  const auto response = client.Get("/page/k", "a1");
  ASSERT_TRUE(response);
  EXPECT_EQ(response->result_int(), 503U);
  const double wait = std::stod(std::string((*response)["Retry-After"]));
  EXPECT_GT(wait, 0);
  EXPECT_LE(wait, 2);
}

// The answer to an unsafe request if the upstream sends these bytes and leaves the connection open.
unsigned StatusForBytes(const std::string& bytes) {
  Upstream upstream([&](Wire& wire, const Request&, int) { wire.Write(bytes); });
  const unsigned status = UnsafeStatus(upstream.address(), 1000);
  EXPECT_EQ(upstream.requests().size(), 1U) << bytes.substr(0, 80);
  return status;
}

TEST(InvalidAnswer, BodyWithoutARecognizableEndHasFailed) {
  for (const char* head :
       {"", "Transfer-Encoding: gzip\r\n", "Transfer-Encoding: chunked, gzip\r\n", "Content-Length: -5\r\n",
        "Content-Length: 3000000000\r\n", "Content-Length: 4\r\nTransfer-Encoding: gzip\r\n",
        "Content-Length: 4\r\nContent-Length: 5\r\n"}) {
    EXPECT_EQ(StatusForBytes(std::string("HTTP/1.1 200 OK\r\n") + head + "\r\nbody"), 502U) << head;
  }
}

TEST(InvalidAnswer, AnswerThatEndsOnlyWithItsConnectionHasFailed) {
  Upstream upstream([](Wire& wire, const Request&, int) {
    wire.Write("HTTP/1.1 200 OK\r\n\r\nperhaps incomplete");
    wire.socket.close();
  });
  EXPECT_EQ(UnsafeStatus(upstream.address(), 5000), 502U);
}

TEST(InvalidAnswer, InterimAnswersWithoutEndHaveFailed) {
  std::string many;
  for (int i = 0; i < 100; ++i) many += "HTTP/1.1 103 Early Hints\r\n\r\n";
  EXPECT_EQ(StatusForBytes(many), 502U);
  EXPECT_EQ(StatusForBytes("HTTP/1.1 101 Switching Protocols\r\n\r\n"), 502U);
}

// An answer that arrives before the request was written cannot be the answer to it.
TEST(InvalidAnswer, AnswerBeforeTheLastByteWasWrittenIsNoAnswer) {
  if (BytesAcceptedUnread() >= 65536)
    GTEST_SKIP() << "this system buffers a complete message that its peer does not read";
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

// Bytes received on an idle connection must never be read as the next answer, or as a part of it.
TEST(InvalidAnswer, BytesBehindAnAnswerReachNoOtherRequest) {
  const std::string complete = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstray";
  for (const std::string& stray : {complete, complete.substr(0, 20), std::string("noise")}) {
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
      Node node(OptionsWith(List({Target("u1", upstream.address())})));
      ASSERT_TRUE(node.Listening());
      Client client(node.port());
      const auto first = client.Post("/submit/k", "one", "x");
      ASSERT_TRUE(first);
      // Noise that is there when the answer would be passed on may be the rest of it (docs/questions.md, 2).
      const bool served = later || stray != "noise";
      EXPECT_EQ(first->result_int(), served ? 200U : 502U);
      EXPECT_EQ(first->body(), served ? "one" : "upstream failed\n");
      answered.Open();
      strayed.Pass();
      const auto second = client.Post("/submit/k", "two", "x");
      ASSERT_TRUE(second);
      EXPECT_EQ(second->body(), "two");
      EXPECT_EQ(upstream.connections(), 2);
    }
  }
}

TEST(InvalidAnswer, LoadReportThatCannotBeReadLeavesTheAnswerGood) {
  for (const char* report :
       {"inflight=nan", "inflight=inf,queue=2", "util=-1", "queue=1e300", "inflight=", "=,=,"}) {
    Upstream upstream([&](Wire& wire, const Request&, int) {
      wire.Answer(200, "good", "X-Server-Load: " + std::string(report) + "\r\n");
    });
    EXPECT_EQ(UnsafeStatus(upstream.address(), 5000), 200U) << report;
  }
}

}  // namespace
}  // namespace mothrack::testing
