// Plays the tables of docs/design/connection_limits.md on silence in a transfer, on a simulated clock: a
// client and an upstream on loopback sockets, and listener and transport between them.
#include <algorithm>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <chrono>
#include <cstddef>
#include <cstdio>
#include <map>
#include <memory>
#include <optional>
#include <sstream>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "http/listener_fixture.h"
#include "http/stall_deadline.h"
#include "http/transport.h"
#include "support/tables.h"

namespace mothrack {
namespace {

using dispatch::ExchangeId;
using std::chrono::seconds;

constexpr std::size_t kMegabyte = std::size_t{1} << 20;
constexpr std::size_t kBudget = 4 * kMegabyte;
// Time passes in these steps. No limit is exceeded by more than one of them and a sweep.
constexpr milliseconds kStep{500};

// Returns a body in which each place has bytes of its own.
std::string BodyOfSize(std::size_t size) {
  std::string body(size, '\0');
  for (std::size_t i = 0; i < size; ++i) body[i] = static_cast<char>('a' + (i ^ (i >> 11)) % 26);
  return body;
}

// An upstream's answer as it is written, cut into the parts before, between and after its pauses.
struct ScriptedAnswer {
  std::string body;
  std::vector<std::string> parts;
};

std::string Chunk(std::string_view bytes) {
  char size[32];
  std::snprintf(size, sizeof size, "%zx\r\n", bytes.size());
  return size + std::string(bytes) + "\r\n";
}

// The text of the answer, and where in it the bytes of the body up to `at` have just been written.
std::pair<std::string, std::size_t> AnswerText(const std::string& framing, const std::string& body,
                                               std::size_t at) {
  const std::string status = "HTTP/1.1 200 OK\r\n";
  const auto before = std::string_view(body).substr(0, at);
  const auto behind = std::string_view(body).substr(at);
  std::string text;
  if (framing == "length") text = status + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
  if (framing == "close") text = status + "Connection: close\r\n\r\n";
  if (!framing.starts_with("chunked")) {
    text += before;
    const std::size_t stop = text.size();
    return {text.append(behind), stop};
  }
  text = status + "Transfer-Encoding: chunked\r\n\r\n" + (before.empty() ? "" : Chunk(before));
  std::size_t stop = text.size();
  text += (behind.empty() ? "" : Chunk(behind)) + "0\r\n\r\n";
  // One digit of the size of the chunk behind.
  if (framing == "chunked, in a size") ++stop;
  return {text, stop};
}

ScriptedAnswer AnswerOf(const testing::Row& row) {
  ScriptedAnswer answer;
  answer.body = BodyOfSize(std::stoul(row.at("bytes")));
  const auto [text, stop] = AnswerText(row.at("framing"), answer.body, std::stoul(row.at("stops after")));
  answer.parts.push_back(text.substr(0, stop));
  const std::string& pauses = row.at("silent (s)");
  const auto count = std::count(pauses.begin(), pauses.end(), ',') + 1;
  // A second pause comes one byte after the first.
  std::size_t at = stop;
  for (auto i = 1; i < count; ++i) answer.parts.push_back(text.substr(at++, 1));
  answer.parts.push_back(text.substr(at));
  return answer;
}

class TransferStalls : public ListenerTest {
 protected:
  TransferStalls() : acceptor(clients_io, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0)) {
    replies_at_once = false;
  }

  void Begin() {
    upstream.reset();
    transport.reset();
    Listen(kManyDescriptors, kBudget);
    transport.emplace(io, balancer::Limits{.connect_timeout = seconds(1), .idle_close = seconds(60)}, false,
                      *descriptors, *budget);
    transport->Apply("u", {balancer::UpstreamState::kServing, acceptor.local_endpoint(), 0});
    outcome.reset();
    written = false;
  }

  // Passes the last request of the listener on to the upstream, and accepts the connection there.
  void Forward(milliseconds client_waits) {
    ForwardedRequest& request = forwarded.back();
    http::HttpRequest message(request.streamed_body ? beast_http::verb::post : beast_http::verb::get, "/p",
                              11);
    dispatch::ExchangeHooks hooks;
    hooks.on_written = [this] { written = true; };
    hooks.on_started = [&request](std::unique_ptr<dispatch::Reply> reply, runtime::Duration) {
      auto& started = static_cast<http::HttpReply&>(*reply);
      http::HttpResponse response;
      response.base() = std::move(started.response.base());
      started.streamed_body.stream->BeginConsuming();
      std::exchange(request.reply, nullptr)(std::move(response), std::move(started.streamed_body));
    };
    hooks.on_end = [this, &request](dispatch::ExchangeResult result) {
      outcome = result.outcome;
      cause = result.cause;
      if (!request.reply) return;
      http::HttpResponse response(beast_http::status::bad_gateway, 11);
      if (result.reply) response = std::move(static_cast<http::HttpReply&>(*result.reply).response);
      std::exchange(request.reply, nullptr)(std::move(response), {});
    };
    transport->Send(ExchangeId{1}, "u", std::make_shared<http::HttpMessage>(message, request.streamed_body),
                    {client_waits, client_waits}, std::move(hooks));
    upstream.emplace(acceptor.accept());
    upstream->non_blocking(true);
    RunUntilIdle();
  }

  // Reads what has arrived at the upstream, and returns how much that was.
  std::size_t ReadAtUpstream() {
    std::size_t size = 0;
    char bytes[16384];
    error_code error;
    while (!error) size += upstream->read_some(boost::asio::buffer(bytes), error);
    RunUntilIdle();
    return size;
  }

  // Writes all of it while the sidecar takes it and, if it `reads`, the client too. Returns whether all of it
  // was taken.
  bool WriteAtUpstream(const std::string& bytes, Client& client, bool reads) {
    for (std::size_t at = 0, blocked = 0; at < bytes.size() && blocked < 200;) {
      error_code error;
      const std::size_t size = upstream->write_some(
          boost::asio::buffer(&bytes[at], std::min<std::size_t>(bytes.size() - at, 65536)), error);
      if (error && error != boost::asio::error::would_block) return false;
      at += size;
      blocked = size == 0 ? blocked + 1 : 0;
      if (size == 0) ::poll(nullptr, 0, 1);
      RunUntilIdle();
      if (reads) Receive(client);
      if (at == bytes.size()) return true;
    }
    return bytes.empty();
  }

  // Until both kernels are empty of what was written.
  void Settle(Client& client) {
    for (int i = 0; i < 20; ++i) {
      ::poll(nullptr, 0, 1);
      RunUntilIdle();
      Receive(client);
    }
  }

  // What the client has of its answer by now.
  std::string Got(Client& client, const std::string& body) {
    Receive(client);
    beast_http::response_parser<beast_http::string_body> parser;
    parser.body_limit(boost::none);
    parser.eager(true);
    error_code error;
    parser.put(boost::asio::buffer(client.received), error);
    if (client.end == boost::asio::error::eof && !parser.is_done()) parser.put_eof(error);
    if (!parser.is_header_done()) return client.end ? "nothing" : "nothing yet";
    if (parser.get().result_int() != 200) return std::to_string(parser.get().result_int());
    if (parser.is_done()) return parser.get().body() == body ? "whole" : "other bytes";
    return client.end ? "truncated" : "incomplete so far";
  }

  tcp::acceptor acceptor;
  std::optional<http::HttpTransport> transport;
  std::optional<tcp::socket> upstream;
  std::optional<balancer::Outcome> outcome;  // of the exchange
  std::string_view cause;
  bool written = false;  // the last byte of the request
};

// Guards against this failure: an answer was cut off 15 s into a pause after which its upstream resumed.
TEST_F(TransferStalls, AnAnswerThatGoesOnIsPassedOnWholeAndOneThatDoesNotEnds) {
  for (const auto& row : testing::TableOf(MOTHRACK_CONNECTION_LIMITS_PAGE, "Answers through a pause")) {
    SCOPED_TRACE(row.at("framing") + ", " + row.at("bytes") + ", " + row.at("stops after") + ", " +
                 row.at("silent (s)"));
    Begin();
    const ScriptedAnswer answer = AnswerOf(row);
    Client& client = Connect();
    Send(client, Get("/p"));
    RunUntilIdle();
    Forward(milliseconds(std::stoi(row.at("client waits (ms)"))));
    ASSERT_GT(ReadAtUpstream(), 0U);
    std::istringstream pauses(row.at("silent (s)"));
    std::string pause;
    for (const std::string& part : answer.parts) {
      ASSERT_TRUE(WriteAtUpstream(part, client, true));
      if (&part == &answer.parts.back()) break;
      Settle(client);
      std::getline(pauses, pause, ',');
      AdvanceTime(seconds(std::stoi(pause)), kStep);
      Receive(client);
      if (client.end) break;
    }
    if (row.at("framing") == "close" && !client.end) upstream->close();
    Settle(client);
    EXPECT_EQ(Got(client, answer.body), row.at("the client gets"));
  }
}

// Guards against this failure: a short answer whose upstream hung in its middle was passed on because of what
// had come before, and was completed long after its client's time.
TEST_F(TransferStalls, AShortAnswerIsWholeInItsTimeOrFailsInIt) {
  constexpr milliseconds kPace{50};
  constexpr std::size_t kPiece = 3000;
  constexpr milliseconds kMaxLateness{500};
  for (const auto& row : testing::TableOf(MOTHRACK_CONNECTION_LIMITS_PAGE, "Short answers through a pause")) {
    SCOPED_TRACE(row.at("framing") + ", " + row.at("stops after") + ", " + row.at("writes"));
    Begin();
    const std::string body = BodyOfSize(std::stoul(row.at("bytes")));
    const auto [text, stop] = AnswerText(row.at("framing"), body, std::stoul(row.at("stops after")));
    Client& client = Connect();
    Send(client, Get("/p"));
    RunUntilIdle();
    const milliseconds client_waits(std::stoi(row.at("client waits (ms)")));
    const runtime::TimePoint give_up_at = runtime::Now() + client_waits + kMaxLateness;
    Forward(client_waits);
    ReadAtUpstream();
    const std::size_t piece = row.at("writes") == "steadily" ? kPiece : stop;
    for (std::size_t at = 0; at < stop; at += piece) {
      ASSERT_TRUE(WriteAtUpstream(text.substr(at, std::min(piece, stop - at)), client, true));
      AdvanceTime(kPace, kPace);
    }
    AdvanceTime(give_up_at - runtime::Now(), kPace);
    Settle(client);
    EXPECT_EQ(Got(client, body) + " in time", row.at("the client gets"));
  }
}

// Guards against this failure: a long upload was failed 5 s into a pause after which its upstream read on.
TEST_F(TransferStalls, AnUploadThatGoesOnIsPassedOnWholeAndOneThatDoesNotEnds) {
  for (const auto& row : testing::TableOf(MOTHRACK_CONNECTION_LIMITS_PAGE, "Uploads through a pause")) {
    SCOPED_TRACE(row.at("framing") + ", " + row.at("silent (s)"));
    Begin();
    Client& client = Connect();
    const std::string body = BodyOfSize(std::stoul(row.at("bytes")));
    const bool chunked = row.at("framing") == "chunked";
    const std::string text = chunked ? Post("Transfer-Encoding: chunked\r\n", Chunk(body) + "0\r\n\r\n")
                                     : PostOfLength(body.size(), 0) + body;
    consumes_bodies = false;
    std::size_t sent = SendAll(client, text);
    Forward(seconds(1));
    ReadAtUpstream();
    std::istringstream pauses(row.at("silent (s)"));
    for (std::string pause; std::getline(pauses, pause, ',');) {
      sent += SendAll(client, text.substr(sent));
      ASSERT_LT(sent, text.size());  // otherwise the client's time would run
      AdvanceTime(seconds(std::stoi(pause)), kStep);
      if (outcome) break;
      ReadAtUpstream();
    }
    const auto is_written = [&] {
      sent += SendAll(client, text.substr(sent));
      ReadAtUpstream();
      return outcome || written;
    };
    ASSERT_TRUE(WaitUntil(is_written));
    if (!outcome)
      upstream->send(boost::asio::buffer(std::string("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")));
    Settle(client);
    EXPECT_EQ(Got(client, ""), row.at("the client gets"));
    EXPECT_EQ(cause, row.at("the client gets") == "whole" ? std::string_view() : "stalled");
  }
}

// Guards against this failure: the process was held up for longer than a limit, and the limit was applied
// although the answer, or more of it, had arrived meanwhile.
TEST_F(TransferStalls, WhatArrivedWhileTheProcessWasHeldUpCounts) {
  const std::string body = BodyOfSize(200000);
  const std::string text = AnswerText("length", body, 0).first;
  for (const std::size_t before : {std::size_t{0}, std::size_t{20}, text.size() / 2}) {
    SCOPED_TRACE(before);
    Begin();
    Client& client = Connect();
    Send(client, Get("/p"));
    RunUntilIdle();
    Forward(seconds(1));
    ReadAtUpstream();
    ASSERT_TRUE(WriteAtUpstream(text.substr(0, before), client, true) || before == 0);
    Settle(client);
    intercepted_calls.after_wake = [&] { upstream->send(boost::asio::buffer(&text[before], 1000)); };
    JumpTime(http::StallDeadline::kMaxPause + kStep);
    Settle(client);
    WriteAtUpstream(text.substr(before + 1000), client, true);
    Settle(client);
    EXPECT_EQ(Got(client, body), "whole");
  }
}

// The client of an answer that never resumes detects the truncation within the limit, and the upstream's
// connection is closed.
TEST_F(TransferStalls, AnAnswerThatStopsForGoodIsGivenUpAtTheLimit) {
  for (const char* framing : {"length", "chunked", "close"}) {
    SCOPED_TRACE(framing);
    Begin();
    Client& client = Connect();
    Send(client, Get("/p"));
    RunUntilIdle();
    Forward(seconds(1));
    ReadAtUpstream();
    const std::string body = BodyOfSize(200000);
    const auto [text, stop] = AnswerText(framing, body, 100000);
    ASSERT_TRUE(WriteAtUpstream(text.substr(0, stop), client, true));
    Settle(client);
    AdvanceTime(http::StallDeadline::kMaxPause - kStep, kStep);
    EXPECT_EQ(Got(client, body), "incomplete so far");
    AdvanceTime(2 * kStep, kStep);
    Settle(client);
    EXPECT_EQ(Got(client, body), "truncated");
    EXPECT_EQ(cause, "stalled");
    EXPECT_EQ(outcome, balancer::Outcome::kTimeout);
    EXPECT_EQ(descriptors->used(), 0U);
    error_code error;
    char byte = 0;
    upstream->read_some(boost::asio::buffer(&byte, 1), error);
    EXPECT_TRUE(error && error != boost::asio::error::would_block) << error;
  }
}

}  // namespace
}  // namespace mothrack
