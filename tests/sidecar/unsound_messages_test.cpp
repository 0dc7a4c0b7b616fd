// Plays the tables of docs/design/message_rules.md through the program: nothing of a request that is not
// sound is served, and no client is served an answer that is not sound.
#include <atomic>
#include <chrono>
#include <optional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "gtest/gtest.h"
#include "http/message_forms.h"
#include "sidecar/node_cases.h"
#include "standins/peers.h"
#include "support/tables.h"

namespace mothrack::testing {
namespace {

using std::chrono::milliseconds;

std::vector<Row> RowsOf(const std::string& heading) { return TableOf(MOTHRACK_MESSAGE_RULES_PAGE, heading); }

// ---- Requests ----

// Sends the parts one after the other and returns the status of each of `answers` responses; 0 stands for the
// end of the connection.
std::vector<unsigned> StatusesFor(Node& node, const std::vector<std::string>& parts, int answers) {
  Client client(node.port());
  for (const std::string& part : parts) {
    if (!client.Send(part)) break;
    if (parts.size() > 1) std::this_thread::sleep_for(milliseconds(2));
  }
  std::vector<unsigned> statuses;
  for (int i = 0; i < answers; ++i) {
    const auto response = client.Read();
    statuses.push_back(response ? response->result_int() : 0);
  }
  return statuses;
}

// Guards against this failure: a request without a Host, or with a fragment in its target, was served.
TEST(UnsoundRequests, EachFormGetsItsAnswer) {
  Upstream upstream(Upstream::Echo("u"));
  Node node(OptionsWith(List({Target("u1", upstream.address())})));
  ASSERT_TRUE(node.Listening());
  int number = 0;
  const auto next_id = [&number] { return "r" + std::to_string(number++); };
  for (const Row& row : RowsOf("Requests")) {
    const bool sound = row.at("defect") == "none";
    const auto status = static_cast<unsigned>(std::stoul(row.at("answer")));
    const std::size_t served_before = upstream.requests().size();
    std::string text = RequestOfForm(row.at("form"), next_id());
    EXPECT_EQ(StatusesFor(node, {text}, 1), std::vector{status}) << row.at("form");
    text = RequestOfForm(row.at("form"), next_id());
    const std::string half = text.substr(0, text.size() / 2);
    EXPECT_EQ(StatusesFor(node, {half, text.substr(half.size())}, 1), std::vector{status})
        << row.at("form") << " in two writes";
    // Behind a sound one on the same connection, in one write. Behind an unsound one nothing is read. If not
    // even its head can be read, it is taken for bytes behind the sound one.
    text = GetText("/page/k", next_id()) + RequestOfForm(row.at("form"), next_id());
    if (!sound) text += GetText("/page/k", next_id());
    const std::vector<unsigned> expected = sound ? std::vector{200U, 200U} : std::vector{200U, status, 0U};
    const std::vector<unsigned> both_rejected = {400U, 0U, 0U};
    const std::vector<unsigned> statuses = StatusesFor(node, {text}, sound ? 2 : 3);
    const bool unreadable = row.at("defect") == "malformed_head" && statuses == both_rejected;
    EXPECT_TRUE(statuses == expected || unreadable)
        << row.at("form") << " behind a sound one: " << ::testing::PrintToString(statuses);
    const std::size_t served = upstream.requests().size() - served_before;
    EXPECT_LE(served, sound ? 4U : 1U) << row.at("form");
  }
}

struct OutstandingRequest {
  const char* name;
  std::string text;
};

std::vector<OutstandingRequest> OutstandingRequests(const std::string& id) {
  const std::string streamed(300'000, 'b');
  const std::string chunks = "493e0\r\n" + streamed + "\r\n0\r\n\r\n";  // 300,000
  std::string chunked = PostText("/submit/k", id, "", 5000, "Transfer-Encoding: chunked\r\n");
  const std::string length = "Content-Length: 0\r\n";
  chunked.replace(chunked.find(length), length.size(), "");
  return {
      {"GET", GetText("/page/k", id)},
      {"a short body", PostText("/submit/k", id, "ab")},
      {"a long body", PostText("/submit/k", id, std::string(50'000, 'b'))},
      {"a streamed body", PostText("/submit/k", id, streamed)},
      {"a streamed body in chunks", chunked + chunks},
  };
}

// Guards against this failure: bytes behind a request were looked at once only, and never behind a streamed
// body, so that a request whose length was too short was served.
TEST(UnsoundRequests, BytesThatComeWhileTheRequestIsOutAreFound) {
  for (std::size_t form = 0; form < OutstandingRequests("").size(); ++form) {
    for (const bool in_one_write : {true, false}) {
      Gate gate;
      Upstream upstream([&](Wire& wire, const Request&, int) {
        gate.Pass();
        wire.Answer(200, "served");
      });
      Node node(OptionsWith(List({Target("u1", upstream.address())})));
      ASSERT_TRUE(node.Listening());
      const OutstandingRequest request = OutstandingRequests("r1")[form];
      SCOPED_TRACE(request.name + std::string(in_one_write ? " in one write" : " in two writes"));
      Client client(node.port());
      ASSERT_TRUE(client.Send(in_one_write ? request.text + "cde" : request.text));
      if (!in_one_write) {
        ASSERT_TRUE(Eventually([&] { return upstream.requests().size() == 1; }));
        ASSERT_TRUE(client.Send("cde"));
      }
      // The upstream does not answer before the client has its error.
      const auto response = client.Read();
      gate.Open();
      EXPECT_EQ(response ? response->result_int() : 0, 400U);
      EXPECT_FALSE(client.Read());
      EXPECT_LE(upstream.requests().size(), in_one_write ? 0U : 1U);
    }
  }
}

// ---- Answers ----

struct AnswerCase {
  const char* request_class;
  std::size_t size;
};

constexpr AnswerCase kAnswerCases[] = {
    {"safe", 100}, {"unsafe", 100}, {"keyed", 50'000}, {"safe", 300'000}, {"unsafe", 300'000}};

std::optional<Response> Exchange(Client& client, const std::string& request_class) {
  if (request_class == "safe") return client.Get("/page/k", "a1");
  if (request_class == "keyed") return client.Post("/keyed/k", "a1", "x", 5000, "Idempotency-Key: k\r\n");
  return client.Post("/submit/k", "a1", "x");
}

std::string BodyOfSize(std::size_t size) {
  std::string body;
  for (std::size_t line = 0; body.size() < size; ++line) body += std::to_string(line) + ' ';
  body.resize(size);
  return body;
}

// Plays one row with all upstreams alike.
void PlayAnswer(const std::string& form, const AnswerCase& answer_case, bool sound) {
  const std::string body = BodyOfSize(answer_case.size);
  const AnswerForm answer = AnswerOfForm(form, body);
  Upstream upstream([&](Wire& wire, const Request&, int) {
    wire.Write(answer.bytes);
    boost::system::error_code ignored;
    if (answer.closes) wire.socket.shutdown(tcp::socket::shutdown_send, ignored);
  });
  Node node(OptionsWith(List({Target("u1", upstream.address()), Target("u2", upstream.address()),
                              Target("u3", upstream.address())})));
  ASSERT_TRUE(node.Listening());
  Client client(node.port());
  const auto response = Exchange(client, answer_case.request_class);
  const unsigned status = response ? response->result_int() : 0;
  const std::size_t attempts = upstream.requests().size();
  EXPECT_GE(attempts, 1U);
  if (sound) {
    EXPECT_EQ(status, 200U) << node.log();
    EXPECT_TRUE(response && response->body() == body);
    return;
  }
  EXPECT_NE(status, 200U) << node.log();
  EXPECT_LE(attempts, std::string(answer_case.request_class) == "unsafe" ? 1U : 3U);
}

// Guards against this failure: an answer whose length was shorter than its body was served in part, and so
// was one of HTTP/1.0 with a transfer coding.
TEST(UnsoundAnswers, NoFormIsServed) {
  for (const Row& row : RowsOf("Answers")) {
    for (const AnswerCase& answer_case : kAnswerCases) {
      SCOPED_TRACE(row.at("form") + ", " + answer_case.request_class + ", " +
                   std::to_string(answer_case.size) + " bytes");
      PlayAnswer(row.at("form"), answer_case, row.at("defect") == "none");
    }
  }
}

// The log names the defect, the request and the upstream.
TEST(UnsoundAnswers, AreLoggedWithTheirDefect) {
  Upstream upstream([&](Wire& wire, const Request&, int) {
    wire.Write(AnswerOfForm("a length shorter than the body", "abcdef").bytes);
  });
  Node node(OptionsWith(List({Target("u1", upstream.address())})));
  ASSERT_TRUE(node.Listening());
  Client client(node.port());
  ASSERT_TRUE(client.Post("/submit/k", "a1", "x"));
  EXPECT_TRUE(Eventually([&] {
    return node.log().find("attempt_failed id=a1 upstream=u1 attempt=1 outcome=reset cause=bytes_behind") !=
           std::string::npos;
  })) << node.log();
}

// ---- Whose fault a failure is ----

// Guards against this failure: a body that upstreams can't read was sent to one after the other, and each was
// blamed for it, so that a client's own requests ejected upstreams and made the sidecar refuse the others'.
TEST(UnsoundRequests, BodiesThatUpstreamsCutOffBlameNoUpstream) {
  constexpr int kRequests = 30;
  std::atomic<int> cut_off{0};
  Peer upstream([&](Wire& wire, int) {
    std::string head;
    char part[4096];
    while (true) {
      boost::system::error_code error;
      const std::size_t size = wire.socket.read_some(boost::asio::buffer(part), error);
      if (error) return;
      head.append(part, size);
      if (head.find("\r\n\r\n") == std::string::npos) continue;
      if (head.starts_with("POST")) {
        ++cut_off;
        return wire.Reset();
      }
      wire.Answer(200, "served");
      head.clear();
    }
  });
  std::vector<json> targets;
  for (int i = 0; i < 6; ++i) targets.push_back(Target("u" + std::to_string(i), upstream.address()));
  Node::Options options = OptionsWith(List(targets));
  options.settings["Limits"]["MaxAttempts"] = 6;
  Node node(options);
  ASSERT_TRUE(node.Listening());
  Client sound(node.port());
  for (int i = 0; i < kRequests; ++i) {
    Client client(node.port());
    const std::string text = PostText("/submit/k", "b" + std::to_string(i), std::string(300'000, 'b'));
    ASSERT_TRUE(client.Send(text.substr(0, 100'000)));
    const auto response = client.Read();
    ASSERT_TRUE(response);
    EXPECT_EQ(response->result_int(), 503U);
    const auto served = sound.Get("/page/k", "s" + std::to_string(i));
    ASSERT_TRUE(served) << node.log();
    EXPECT_EQ(served->result_int(), 200U) << node.log();
  }
  EXPECT_LE(cut_off, 2 * kRequests);
  EXPECT_EQ(node.log().find("ejected"), std::string::npos) << node.log();
  EXPECT_EQ(node.log().find("refusing"), std::string::npos) << node.log();
}

}  // namespace
}  // namespace mothrack::testing
