// Tests that what client connections hold stays within the memory budget, and what happens to requests that
// do not fit.
#include <cstddef>
#include <string>

#include "http/listener_fixture.h"

namespace mothrack {
namespace {

constexpr std::size_t kBudget = std::size_t{512} * 1024;
constexpr int kClients = 60;
// What connections may read although the budget denies it.
constexpr std::size_t kUnclaimed = kClients * std::size_t{1024};

class ListenerMemory : public ListenerTest {
 protected:
  ListenerMemory() { Listen(kManyDescriptors, kBudget); }

  // Connects kClients and lets each send `text`. Returns how many are rejected because memory is short.
  int SendFromAll(const std::string& text) {
    for (int i = 0; i < kClients; ++i) {
      Client& client = Connect();
      SendAll(client, text);
      EXPECT_LE(budget->used(), kBudget + kUnclaimed) << i;
    }
    RunUntilIdle();
    int rejected = 0;
    for (Client& client : clients) {
      const std::string& received = Receive(client);
      if (received.empty()) continue;
      EXPECT_NE(received.find(" 503 "), std::string::npos) << received;
      EXPECT_NE(received.find("Retry-After: 1\r\n"), std::string::npos) << received;
      ++rejected;
    }
    return rejected;
  }

  runtime::MemoryBudget::Charge UseUpMemory() {
    runtime::MemoryBudget::Charge charge(*budget);
    EXPECT_TRUE(charge.Reserve(kBudget));
    return charge;
  }
};

// Guards against this failure: the buffers that each upload held beside its stream were counted nowhere, and
// many uploads took the process over its memory limit.
TEST_F(ListenerMemory, UploadsThatAreNotConsumedStayWithinTheBudget) {
  consumes_bodies = false;
  const int rejected = SendFromAll(PostOfLength(1 << 20, 200000));
  EXPECT_GT(rejected, 0);
  EXPECT_EQ(static_cast<int>(forwarded.size()), kClients - rejected);
}

// Every upload that was admitted can be finished, however little memory is left.
TEST_F(ListenerMemory, AdmittedUploadsAreReadToTheirEnd) {
  constexpr std::size_t kBody = 200000;
  consumes_bodies = replies_at_once = false;
  const int rejected = SendFromAll(PostOfLength(kBody, kBody));
  EXPECT_GT(rejected, 0);
  ASSERT_FALSE(forwarded.empty());
  for (ForwardedRequest& request : forwarded) {
    const auto stream = request.streamed_body.stream;
    ASSERT_TRUE(stream->BeginConsuming());
    ASSERT_TRUE(WaitUntil([&] {
      request.body += stream->Ready();
      stream->Consume(stream->Ready().size());
      return stream->done();
    }));
    EXPECT_EQ(request.body.size(), kBody);
    EXPECT_LE(budget->used(), kBudget + kUnclaimed);
  }
}

// The memory for reading the body is kept although the client pauses after the head.
TEST_F(ListenerMemory, BodiesThatFollowTheirHeadsLaterStayWithinTheBudget) {
  consumes_bodies = false;
  const std::string text = PostOfLength(1 << 20, 100000);
  const std::size_t head_size = text.size() - 100000;
  const int rejected = SendFromAll(text.substr(0, head_size));
  EXPECT_GT(rejected, 0);
  for (Client& client : clients) {
    if (client.received.empty()) SendAll(client, text.substr(head_size));
    EXPECT_LE(budget->used(), kBudget);
  }
  EXPECT_EQ(static_cast<int>(forwarded.size()), kClients - rejected);
}

TEST_F(ListenerMemory, BufferedBodiesStayWithinTheBudget) {
  replies_at_once = false;
  EXPECT_GT(SendFromAll(PostOfLength(60000, 60000)), 0);
}

TEST_F(ListenerMemory, IncompleteHeadsStayWithinTheBudget) {
  EXPECT_GT(SendFromAll("GET /p HTTP/1.1\r\nX: " + std::string(15000, 'x')), 0);
}

// A field takes much more memory than its few bytes on the wire.
TEST_F(ListenerMemory, HeadsOfManyFieldsStayWithinTheBudget) {
  replies_at_once = false;
  std::string fields;
  for (int i = 0; i < 200; ++i) fields += "a:\r\n";
  EXPECT_GT(SendFromAll(Get("/p", fields)), 0);
}

TEST_F(ListenerMemory, AHeadOfTooManyFieldsIsRejected) {
  std::string fields;
  for (std::size_t i = 0; i < http::kMaxHeaderFields; ++i) fields += "a:\r\n";
  Client& client = Connect();
  Send(client, Get("/p", fields));
  EXPECT_TRUE(Receives(client, " 400 "));
}

TEST_F(ListenerMemory, TooManyTrailersAreRejected) {
  std::string trailers;
  for (std::size_t i = 0; i < http::kMaxHeaderFields; ++i) trailers += "a:\r\n";
  Client& client = Connect();
  Send(client, Post("Transfer-Encoding: chunked\r\n", "1\r\nx\r\n0\r\n" + trailers + "\r\n"));
  EXPECT_TRUE(Receives(client, " 400 "));
}

TEST_F(ListenerMemory, TheHealthCheckIsAnsweredWhenMemoryIsUsedUp) {
  const auto charge = UseUpMemory();
  Client& client = Connect();
  Send(client, Get("/up"));
  EXPECT_TRUE(Receives(client, " 200 "));
  Client& other = Connect();
  Send(other, Get("/p"));
  EXPECT_TRUE(Receives(other, " 503 "));
  EXPECT_TRUE(Ends(other));
  EXPECT_TRUE(forwarded.empty());
}

TEST_F(ListenerMemory, AHealthCheckWithABodyIsAnswered) {
  Client& client = Connect();
  Send(client, "GET /up HTTP/1.1\r\nHost: h\r\nContent-Length: 20000\r\n\r\n" + std::string(20000, 'x'));
  EXPECT_TRUE(Receives(client, " 200 "));
}

// A body that may not be buffered is streamed from its beginning.
TEST_F(ListenerMemory, AShortBodyIsStreamedIfMemoryIsShort) {
  runtime::MemoryBudget::Charge others(*budget);
  ASSERT_TRUE(others.Grow(budget->GrowthAvailable()));
  Client& client = Connect();
  Send(client, PostOfLength(60000, 60000));
  EXPECT_TRUE(Receives(client, "answer /p"));
  ASSERT_EQ(forwarded.size(), 1U);
  EXPECT_TRUE(forwarded[0].streamed_body);
  EXPECT_EQ(forwarded[0].body.size(), 60000U);
}

TEST_F(ListenerMemory, NothingIsHeldForIdleConnections) {
  for (int i = 0; i < kClients; ++i) {
    Client& client = Connect();
    Send(client, PostOfLength(1000, 1000));
    ASSERT_TRUE(Receives(client, "answer /p"));
    forwarded.clear();
  }
  RunUntilIdle();
  EXPECT_EQ(budget->used(), 0U);
}

}  // namespace
}  // namespace mothrack
