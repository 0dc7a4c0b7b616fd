// Tests how long a client connection lasts in each phase once its client has gone silent, row by row of the
// table in docs/design/connection_limits.md, and that slow but steady clients are served.
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "http/listener_fixture.h"
#include "http/stall_deadline.h"
#include "support/tables.h"

namespace mothrack {
namespace {

// Overdue connections are found by a sweep at this interval.
constexpr milliseconds kSweep{250};
constexpr std::size_t kKilobyte = 1000;
constexpr std::size_t kMegabyte = 1000 * kKilobyte;
// More than the kernel's buffers of both sides hold.
constexpr std::size_t kLongResponse = 16 * kMegabyte;

std::string ChunkHead(std::size_t size) {
  char text[32];
  std::snprintf(text, sizeof text, "%zx\r\n", size);
  return text;
}

std::string PostInChunks(const std::string& body) { return Post("Transfer-Encoding: chunked\r\n", body); }

class ConnectionPhases : public ListenerTest {
 protected:
  // Sends at most 2 MB of a body of `size`, and at least half of it unless that is more.
  void StopInBody(Client& client, std::size_t size) {
    const std::string text = PostOfLength(size, std::min(size / 2, 2 * kMegabyte));
    ASSERT_EQ(SendAll(client, text), text.size());
  }

  void ServeOneRequest(Client& client) {
    Send(client, Get("/first"));
    ASSERT_TRUE(Receives(client, "answer /first"));
  }

  void StopInChunk(Client& client) {
    const std::string text =
        PostInChunks(ChunkHead(200000) + std::string(200000, 'x') + "\r\n" + ChunkHead(100000) + "xyz");
    ASSERT_EQ(SendAll(client, text), text.size());
  }

  void StopInChunkSize(Client& client) {
    const std::string text = PostInChunks(ChunkHead(200000) + std::string(200000, 'x') + "\r\n100");
    ASSERT_EQ(SendAll(client, text), text.size());
  }

  void StopInAnsweredBody(Client& client) {
    replies_at_once = false;
    StopInBody(client, 2 * kMegabyte);
    Reply(forwarded.back());
    ASSERT_TRUE(Receives(client, "answer /p"));
  }

  void StopInBodyWhileDraining(Client& client) {
    StopInBody(client, 2 * kMegabyte);
    listener->Drain([this] { ++drains_ended; });
  }

  void RespondWithoutReader(std::size_t extra_bytes) {
    extra_response_bytes = extra_bytes;
    Send(clients.back(), Get("/p"));
    RunUntilIdle();
  }

  void BeginStream(Client& client, const std::string& version = "1.1") {
    replies_at_once = false;
    Send(client, "GET /p HTTP/" + version + "\r\nHost: h\r\n\r\n");
    RunUntilIdle();
    const auto stream = std::make_shared<runtime::Stream>(*budget, 0);
    ASSERT_TRUE(stream->BeginConsuming());
    const auto reply = std::exchange(forwarded.back().reply, nullptr);
    const auto length = version == "1.1" ? std::optional<std::uint64_t>(kLongResponse) : std::nullopt;
    reply(http::HttpResponse(beast_http::status::ok, 11), http::StreamedBody{stream, length});
    streams.push_back(stream);
  }

  // Until the sockets hold no more and the stream keeps what is appended.
  void FillStream() {
    runtime::Stream& stream = *streams.back();
    while (stream.Capacity() > 0) {
      stream.Append(std::string(stream.Capacity(), 'x'));
      RunUntilIdle();
    }
  }

  void StreamWithoutReader(Client& client) {
    BeginStream(client);
    FillStream();
  }

  const std::map<std::string, std::function<void(Client&)>> phases = {
      {"sends nothing", [](Client&) {}},
      {"stops in the head", [this](Client& client) { Send(client, "POST /p HTT"); }},
      {"stops in the head of a later request",
       [this](Client& client) {
         ServeOneRequest(client);
         Send(client, "POST /p HTT");
       }},
      {"stops in a body of 60 kB", [this](Client& client) { StopInBody(client, 60 * kKilobyte); }},
      {"stops in a body of 300 kB", [this](Client& client) { StopInBody(client, 300 * kKilobyte); }},
      {"stops in a body of 2 MB", [this](Client& client) { StopInBody(client, 2 * kMegabyte); }},
      {"stops in a body of 60 MB", [this](Client& client) { StopInBody(client, 60 * kMegabyte); }},
      {"stops in a chunk", [this](Client& client) { StopInChunk(client); }},
      {"stops in the size of a chunk", [this](Client& client) { StopInChunkSize(client); }},
      {"stops in the body of a later request",
       [this](Client& client) {
         ServeOneRequest(client);
         StopInBody(client, 2 * kMegabyte);
       }},
      {"stops in a pipelined request",
       [this](Client& client) {
         Send(client, Get("/first") + "GET /p HTT");
         ASSERT_TRUE(Receives(client, "answer /first"));
       }},
      {"stops in a body that is answered already", [this](Client& client) { StopInAnsweredBody(client); }},
      {"stops in a body while the process drains",
       [this](Client& client) { StopInBodyWhileDraining(client); }},
      {"keeps its side open after the last response",
       [this](Client& client) {
         Send(client, Get("/p", "Connection: close\r\n"));
         ASSERT_TRUE(Receives(client, "answer /p"));
       }},
      {"does not read a short response", [this](Client&) { RespondWithoutReader(kLongResponse); }},
      {"does not read a streamed response", [this](Client& client) { StreamWithoutReader(client); }},
  };
  std::vector<std::shared_ptr<runtime::Stream>> streams;
};

// Guards against this failure: clients that sent megabytes at once and then stopped kept their connections
// for minutes, until no descriptor was left.
TEST_F(ConnectionPhases, ASilentClientIsEndedWithinTheLimitOfItsPhase) {
  const auto rows = testing::TableOf(MOTHRACK_CONNECTION_LIMITS_PAGE, "Phases of a client connection");
  EXPECT_EQ(rows.size(), phases.size());
  for (const auto& row : rows) {
    SCOPED_TRACE(row.at("client"));
    Listen(kManyDescriptors);
    replies_at_once = true;
    extra_response_bytes = 0;
    const milliseconds limit(std::stoi(row.at("limit (ms)")));
    Client& client = Connect(true);
    phases.at(row.at("client"))(client);
    ASSERT_EQ(descriptors->used(), 1U);
    AdvanceTime(limit - milliseconds(10), milliseconds(10));
    EXPECT_EQ(descriptors->used(), 1U) << "ended too early";
    AdvanceTime(kSweep + milliseconds(20), milliseconds(10));
    if (row.at("then") == "408") {
      EXPECT_TRUE(Receives(client, " 408 "));
      AdvanceTime(http::kLingerTimeout + kSweep, milliseconds(10));
    }
    EXPECT_EQ(descriptors->used(), 0U) << "not ended in time";
    streams.clear();
  }
}

// Guards against this failure: a client that had read all there was of its response was closed as one that
// does not read, because the upstream had paused for so long.
TEST_F(ConnectionPhases, AClientIsNotOverdueWhileThereIsNothingToWrite) {
  constexpr auto kBelowLimit = http::StallDeadline::kMaxPause - kSweep;
  Client& client = Connect(true);
  BeginStream(client);
  for (int turn = 0; turn < 2; ++turn) {
    AdvanceTime(2 * http::StallDeadline::kMaxPause, kSweep);
    ASSERT_EQ(descriptors->used(), 1U) << "while the upstream paused";
    FillStream();
    AdvanceTime(kBelowLimit, kSweep);
    ASSERT_EQ(descriptors->used(), 1U) << "before the client's time was over";
    const auto until_empty = [&] { return Receive(client), streams.back()->Ready().empty(); };
    ASSERT_TRUE(WaitUntil(until_empty));
  }
  FillStream();
  AdvanceTime(http::StallDeadline::kMaxPause + 2 * kSweep, kSweep);
  EXPECT_EQ(descriptors->used(), 0U) << "not ended in time";
}

// Guards against this failure: a client of HTTP/1.0 that was closed while it did not read took the part of
// its response that it had for a complete one, because only the end of the connection marks the end.
TEST_F(ConnectionPhases, AResponseThatEndsWithItsConnectionIsBrokenOffByAReset) {
  constexpr runtime::Duration kKillAfter = milliseconds(3700);  // as the deployment does with these settings
  for (const bool stops : {false, true}) {
    SCOPED_TRACE(stops);
    Listen(kManyDescriptors);
    Client& client = Connect(true);
    BeginStream(client, "1.0");
    FillStream();
    if (stops) listener->Drain([this] { ++drains_ended; });
    AdvanceTime(stops ? kKillAfter : http::StallDeadline::kMaxPause + 2 * kSweep, milliseconds(10));
    EXPECT_EQ(descriptors->used(), 0U);
    EXPECT_TRUE(WaitUntil([&] { return Receive(client), client.end.failed(); }));
    EXPECT_EQ(client.end, boost::asio::error::connection_reset);
    streams.clear();
  }
}

// Guards against this failure: stalled uploads were never evicted, so new clients were not accepted.
TEST_F(ConnectionPhases, StalledUploadsFreeTheirDescriptorsForWaitingClients) {
  Listen(kDescriptorsForTwoClients);
  StopInBody(Connect(), 2 * kMegabyte);
  StopInBody(Connect(), 60 * kMegabyte);
  Client& waiting = ConnectToBacklog();
  RunUntilIdle();
  AdvanceTime(http::kRequestTimeout + kSweep + http::kLingerTimeout, milliseconds(10));
  waiting.server = intercepted_calls.accepted.back();
  Send(waiting, Get("/waits"));
  EXPECT_TRUE(Receives(waiting, "answer /waits"));
}

// Slow clients that the deployment allows: 2 s for the head, 32 MB of body at 64 kB a second.
TEST_F(ConnectionPhases, ALongBodyAtASteadySlowRateIsServed) {
  constexpr std::size_t kLongBody = 32 * kMegabyte;
  constexpr std::size_t kBytesPerSecond = 64 * kKilobyte;
  Client& client = Connect();
  const std::string text = PostOfLength(kLongBody, kLongBody);
  const std::size_t head_size = text.size() - kLongBody;
  Send(client, text.substr(0, 10));
  AdvanceTime(std::chrono::seconds(2), milliseconds(250));
  Send(client, text.substr(10, head_size - 10));
  RunUntilIdle();
  for (std::size_t at = head_size; at < text.size(); at += kBytesPerSecond) {
    const std::string piece = text.substr(at, kBytesPerSecond);
    ASSERT_EQ(SendAll(client, piece), piece.size());
    JumpTime(std::chrono::seconds(1));
  }
  EXPECT_TRUE(Receives(client, "answer /p"));
  EXPECT_EQ(forwarded.back().body.size(), kLongBody);
}

// A body that is slower than the minimum rate is ended although bytes keep arriving.
TEST_F(ConnectionPhases, ATricklingBodyIsEnded) {
  Client& client = Connect();
  StopInBody(client, 2 * kMegabyte);
  for (int i = 0; i < 3; ++i) {
    Send(client, "x");
    AdvanceTime(std::chrono::seconds(1), milliseconds(250));
  }
  EXPECT_TRUE(Receives(client, " 408 "));
}

}  // namespace
}  // namespace mothrack
