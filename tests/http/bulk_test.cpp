// Tests bodies that are longer than the buffer limit, in requests and responses: sent in pieces, slowly, and
// truncated.

#include <unistd.h>

#include <atomic>
#include <boost/asio/write.hpp>
#include <chrono>
#include <fstream>
#include <future>
#include <string>
#include <thread>
#include <vector>

#include "gtest/gtest.h"
#include "standins/admin_client.h"
#include "standins/peers.h"

namespace mothrack::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kMegabyte = 1024 * 1024;

// AddressSanitizer delays the reuse of freed memory, so the resident memory grows further with it.
#ifdef __SANITIZE_ADDRESS__
constexpr std::size_t kMaxMemoryGrowth = 300 * kMegabyte;
#else
constexpr std::size_t kMaxMemoryGrowth = 30 * kMegabyte;
#endif

// Returns a body of pseudo-random bytes, the same for each call.
std::string Pattern(std::size_t size) {
  std::string text(size, '\0');
  std::uint32_t state = 12345;
  for (char& c : text) {
    state = state * 1664525 + 1013904223;
    c = static_cast<char>(state >> 24);
  }
  return text;
}

Node::Options NodeOptions(const json& known) {
  Node::Options options;
  options.known = known;
  options.ops = "127.0.0.1:0";
  return options;
}

json PageCounters(Node& node) {
  const auto answer = AdminClient(node.ops()).Get("/ops/stats");
  return answer ? answer->body["transactions"]["page"] : json();
}

// Returns the resident memory of the node's process in bytes.
std::size_t ResidentBytes(const Node& node) {
  std::size_t pages = 0;
  std::size_t resident = 0;
  std::ifstream("/proc/" + std::to_string(node.pid()) + "/statm") >> pages >> resident;
  return resident * static_cast<std::size_t>(::sysconf(_SC_PAGESIZE));
}

// Returns the body in chunked coding, with chunk extensions and a trailer.
std::string Chunked(const std::string& body, std::size_t chunk) {
  std::string text;
  char head[32];
  for (std::size_t at = 0; at < body.size(); at += chunk) {
    const std::string part = body.substr(at, chunk);
    std::snprintf(head, sizeof head, "%zx;ext=\"a b\"\r\n", part.size());
    text += head + part + "\r\n";
  }
  return text + "0\r\nX-Check: 1\r\n\r\n";
}

// Sends the text in pieces of irregular sizes.
void SendInPieces(Wire& wire, const std::string& text) {
  for (std::size_t at = 0, size = 1; at < text.size(); at += size) {
    size = 1 + (at * 7919) % 65000;
    if (!wire.Write(text.substr(at, size))) return;
  }
}

// ---- Responses ----

TEST(BulkResponse, ABodyOfEachFramingArrivesComplete) {
  const std::string body = Pattern(3 * kMegabyte);
  Upstream upstream([&](Wire& wire, const Request& request, int) {
    const std::string head = "HTTP/1.1 200 OK\r\n";
    if (request.target() == "/page/length") {
      return SendInPieces(wire, head + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
    }
    if (request.target() == "/page/chunked") {
      return SendInPieces(wire, head + "Transfer-Encoding: chunked\r\n\r\n" + Chunked(body, 70001));
    }
    SendInPieces(wire, head + "Connection: close\r\n\r\n" + body);
    wire.socket.close();
  });
  Node node(NodeOptions(List({Target("u1", upstream.address())})));
  ASSERT_TRUE(node.Listening() && node.OpsListening());
  Client client(node.port());
  for (const char* kind : {"length", "chunked", "end"}) {
    const auto response = client.Get(std::string("/page/") + kind, kind);
    ASSERT_TRUE(response) << kind;
    EXPECT_EQ(response->result_int(), 200U);
    EXPECT_TRUE(response->body() == body) << kind;
  }
  const json page = PageCounters(node);
  EXPECT_EQ(page["answered"], 3);
  EXPECT_EQ(page["errored"], 0);
  EXPECT_EQ(page["sends"], 3);
}

TEST(BulkResponse, ATruncatedOneIsForwardedAsTruncatedAndCountsAsFailed) {
  const std::string body = Pattern(300 * 1024);
  Upstream upstream([&](Wire& wire, const Request& request, int) {
    const bool chunked = request.target() == "/page/chunked";
    const std::string text = chunked ? Chunked(body, 9000) : body;
    wire.Write(std::string("HTTP/1.1 200 OK\r\n") +
               (chunked ? "Transfer-Encoding: chunked" : "Content-Length: " + std::to_string(body.size())) +
               "\r\n\r\n" + text.substr(0, 150 * 1024));
    wire.socket.close();
  });
  Node node(NodeOptions(List({Target("u1", upstream.address())})));
  ASSERT_TRUE(node.Listening() && node.OpsListening());
  for (const char* kind : {"length", "chunked"}) {
    Client client(node.port());
    EXPECT_FALSE(client.Get(std::string("/page/") + kind, kind)) << kind;
  }
  EXPECT_TRUE(Eventually([&] { return PageCounters(node)["errored"] == 2; }));
  EXPECT_EQ(upstream.requests().size(), 2U);  // no retry: the client has part of the response
  const auto is_logged = [&] { return node.log().find("reason=response_broke") != std::string::npos; };
  EXPECT_TRUE(Eventually(is_logged)) << node.log();
}

TEST(BulkResponse, ThirtySlowReadersStayWithinTheMemoryLimitAndOthersAreServed) {
  const std::string body = Pattern(32 * kMegabyte);
  Upstream upstream([&](Wire& wire, const Request& request, int) {
    if (request.target() != "/page/big") return (void)wire.Answer(200, "small");
    wire.Write("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n");
    boost::system::error_code error;
    boost::asio::write(wire.socket, boost::asio::buffer(body), error);
  });
  Node::Options options =
      NodeOptions(List({Target("u1", upstream.address()), Target("u2", upstream.address())}));
  Node node(options);
  ASSERT_TRUE(node.Listening() && node.OpsListening());
  std::vector<std::unique_ptr<Client>> readers;
  std::vector<char> piece(4096);
  for (int i = 0; i < 30; ++i) {
    readers.push_back(std::make_unique<Client>(node.port()));
    ASSERT_TRUE(readers.back()->Send(GetText("/page/big", "b" + std::to_string(i))));
    const auto size = readers.back()->wire.socket.read_some(boost::asio::buffer(piece));
    ASSERT_EQ(std::string(piece.data(), std::min<std::size_t>(size, 12)), "HTTP/1.1 200");
  }
  const auto resident_before = ResidentBytes(node);
  std::size_t max_resident = 0;
  Client pages(node.port());
  for (int i = 0; i < 40; ++i) {
    for (const auto& reader : readers) reader->wire.socket.read_some(boost::asio::buffer(piece));
    const auto response = pages.Get("/page/small", "s" + std::to_string(i));
    ASSERT_TRUE(response);
    EXPECT_EQ(response->result_int(), 200U);
    max_resident = std::max(max_resident, ResidentBytes(node));
  }
  // The limit covers the data that the sidecar buffers for the readers: thirty windows of 256 KiB
  // (runtime::MemoryBudget::kMaxWindow), twice that while they are copied, and the bytes that each connection
  // reads ahead of its parser (http::kMaxReadAhead).
  EXPECT_LT(max_resident, resident_before + kMaxMemoryGrowth);
  readers.clear();
  EXPECT_TRUE(Eventually([&] {
    const auto stats = AdminClient(node.ops()).Get("/ops/stats");
    return stats && stats->body["current"] == 0;
  }));
}

// ---- Uploads ----

TEST(BulkUpload, ABodyOfEachFramingArrivesCompleteAndOnce) {
  const std::string body = Pattern(3 * kMegabyte);
  Upstream upstream([&](Wire& wire, const Request& request, int) {
    wire.Answer(200, request.body() == body ? "same" : "other");
  });
  Node node(NodeOptions(List({Target("u1", upstream.address())})));
  ASSERT_TRUE(node.Listening());
  Client client(node.port());
  SendInPieces(client.wire, PostText("/submit/k", "length", body));
  auto response = client.Read();
  ASSERT_TRUE(response);
  EXPECT_EQ(response->body(), "same");
  SendInPieces(client.wire,
               "POST /submit/k HTTP/1.1\r\nHost: x\r\nX-Request-ID: chunked\r\nX-Timeout-Ms: 5000\r\n"
               "Trailer: X-Check\r\nTransfer-Encoding: chunked\r\n\r\n" +
                   Chunked(body, 40001));
  response = client.Read();
  ASSERT_TRUE(response);
  EXPECT_EQ(response->body(), "same");
  // The message boundaries are intact: the connection serves another request.
  response = client.Post("/submit/k", "small", "x");
  ASSERT_TRUE(response);
  EXPECT_EQ(response->body(), "other");
  EXPECT_EQ(upstream.requests().size(), 3U);
}

TEST(BulkUpload, TheTimeoutOfASlowOneCountsFromItsLastByte) {
  Upstream upstream(Upstream::Echo("u"));
  Node node(NodeOptions(List({Target("u1", upstream.address())})));
  ASSERT_TRUE(node.Listening());
  const std::string body = Pattern(200 * 1024);
  const std::string text = PostText("/submit/k", "slow", body, 1000);
  Client client(node.port());
  for (std::size_t at = 0; at < text.size(); at += 16 * 1024) {
    ASSERT_TRUE(client.Send(text.substr(at, 16 * 1024)));
    std::this_thread::sleep_for(milliseconds(150));
  }
  const auto response = client.Read();
  ASSERT_TRUE(response);
  EXPECT_EQ(response->result_int(), 200U);
}

TEST(BulkUpload, ABufferedOneIsRetriedElsewhereIfNothingRan) {
  Upstream upstream(Upstream::Echo("u"));
  RefusingAddress refusing;
  Upstream full([](Wire& wire, const Request&, int) { wire.Answer(503, "x", "X-Not-Processed: 1\r\n"); });
  Node node(NodeOptions(List(
      {Target("u1", refusing.address()), Target("u2", upstream.address()), Target("u3", full.address())})));
  ASSERT_TRUE(node.Listening());
  const std::string body = Pattern(300 * 1024);
  Client client(node.port());
  for (int i = 0; i < 6; ++i) {
    const auto response = client.Post("/submit/k", "i" + std::to_string(i), body);
    ASSERT_TRUE(response);
    EXPECT_EQ(response->result_int(), 200U);
  }
  for (const Request& request : upstream.requests()) EXPECT_TRUE(request.body() == body);
  EXPECT_EQ(upstream.requests().size(), 6U);
}

TEST(BulkUpload, TheResponseArrivesCompleteIfItPrecedesTheEndOfTheUpload) {
  // There is no upstream: the response is sent while the client still sends, and no reset overtakes it.
  Node node(NodeOptions(List({})));
  ASSERT_TRUE(node.Listening());
  const std::string text = PostText("/submit/k", "a", Pattern(4 * kMegabyte));
  Client client(node.port());
  for (std::size_t at = 0; at < text.size(); at += 256 * 1024) {
    ASSERT_TRUE(client.Send(text.substr(at, 256 * 1024)));
    std::this_thread::sleep_for(milliseconds(20));
  }
  const auto response = client.Read();
  ASSERT_TRUE(response);
  EXPECT_EQ(response->result_int(), 503U);
  EXPECT_FALSE(response->keep_alive());
}

TEST(BulkUpload, AClientThatDisconnectsEndsItsRequest) {
  std::atomic<bool> ended{false};
  Peer peer([&](Wire& wire, int) {
    if (wire.ReadsEnd()) ended = true;
  });
  Node node(NodeOptions(List({Target("u1", peer.address())})));
  ASSERT_TRUE(node.Listening() && node.OpsListening());
  {
    Client client(node.port());
    const std::string text = PostText("/submit/k", "a", Pattern(kMegabyte));
    ASSERT_TRUE(client.Send(text.substr(0, text.size() / 2)));
    ASSERT_TRUE(Eventually([&] { return peer.connections() == 1; }));
  }
  EXPECT_TRUE(Eventually([&] { return ended.load(); }));
  const auto stats = AdminClient(node.ops()).Get("/ops/stats");
  ASSERT_TRUE(stats);
  EXPECT_EQ(stats->body["transactions"]["submit"]["sends"], 0);
  EXPECT_EQ(stats->body["current"], 0);
}

TEST(BulkUpload, AHeadThatTakesTwoSecondsIsServed) {
  Upstream upstream(Upstream::Echo("u"));
  Node node(NodeOptions(List({Target("u1", upstream.address())})));
  ASSERT_TRUE(node.Listening());
  const std::string text = GetText("/page/x", "slow");
  Client client(node.port());
  for (std::size_t i = 0; i < 4; ++i) {
    ASSERT_TRUE(
        client.Send(text.substr(i * text.size() / 4, (i + 1) * text.size() / 4 - i * text.size() / 4)));
    if (i < 3) std::this_thread::sleep_for(milliseconds(650));
  }
  const auto response = client.Read();
  ASSERT_TRUE(response);
  EXPECT_EQ(response->result_int(), 200U);
}

}  // namespace
}  // namespace mothrack::testing
