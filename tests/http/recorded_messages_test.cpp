// What the program sends over HTTP, byte for byte as version 0.2.0 sent it: requests to an upstream, and what
// a client is told. Masked, since they differ by the run: the upstream's port as 127.0.0.1:PORT, and the
// digits of X-Timeout-Ms to the upstream, which is what is left of the client's time.
#include <gtest/gtest.h>

#include <boost/asio/buffer.hpp>
#include <mutex>
#include <regex>
#include <string>
#include <vector>

#include "standins/peers.h"
#include "support/fixtures.h"

namespace mothrack::testing {
namespace {

// Reads until `whole` says that this is all, or the other side closes, which is told as "[closed]".
std::string ReadRaw(Wire& wire, const std::function<bool(const std::string&)>& whole) {
  std::string text;
  char part[4096];
  while (!whole(text)) {
    boost::system::error_code error;
    const std::size_t size = wire.socket.read_some(boost::asio::buffer(part), error);
    if (error) return text + "[closed]";
    text.append(part, size);
  }
  return text;
}

// A message with its head, and a body by Content-Length or in chunks, and no other; behind an interim answer.
bool IsWhole(const std::string& text) {
  static const std::regex kLength("\r\nContent-Length: ([0-9]+)\r\n", std::regex::icase);
  const auto head = text.find("\r\n\r\n");
  if (head == std::string::npos) return false;
  if (text.starts_with("HTTP/1.1 100 ")) return IsWhole(text.substr(head + 4));
  if (text.find("chunked\r\n") < head) return text.ends_with("0\r\n\r\n");
  std::smatch length;
  const std::string head_text = text.substr(0, head + 2);
  if (!std::regex_search(head_text, length, kLength)) return true;
  return text.size() - head - 4 >= std::stoul(length[1]);
}

std::string Masked(const std::string& text) {
  static const std::regex kPort("127\\.0\\.0\\.1:[0-9]+");
  static const std::regex kTimeout("X-Timeout-Ms: [0-9]+", std::regex::icase);
  return std::regex_replace(std::regex_replace(text, kPort, "127.0.0.1:PORT"), kTimeout, "X-Timeout-Ms: MS");
}

std::string Get(const std::string& headers, const std::string& target = "/page/a%20b?x=1&y=/") {
  return "GET " + target + " HTTP/1.1\r\nHost: api.internal\r\n" + headers + "\r\n";
}

std::string Post(const std::string& headers, const std::string& body) {
  return "POST /submit/k HTTP/1.1\r\nHost: api.internal\r\n" + headers + "\r\n" + body;
}

const std::string kOurs = "X-Request-ID: 9b1f03aa\r\nX-Timeout-Ms: 5000\r\n";
const std::string kBrief = "X-Request-ID: 9b1f03aa\r\nX-Timeout-Ms: 300\r\n";
const std::string kOk = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

struct Row {
  const char* name;
  std::string request;
  std::string answer;  // the upstream's; empty: it never answers
  bool upstream = true;
  bool closes = false;  // the program closes the client's connection behind its answer
};

std::vector<Row> ServedRows() {
  return {
      {"get", Get("Accept: text/x\r\nTE: trailers\r\nX-Own: a, b\r\nX-Own: c\r\n" + kOurs), kOk},
      {"get that closes", Get("Connection: close, X-Hop\r\nX-Hop: 1\r\n" + kOurs), kOk, true, true},
      {"get of HTTP/1.0", "GET /page/k HTTP/1.0\r\nHost: api.internal\r\n" + kOurs + "\r\n", kOk, true, true},
      {"post with a body",
       Post("Content-Type: text/x\r\nContent-Length: 5\r\nX-Cost: 7\r\nX-Retried: 1\r\n" + kOurs, "hello"),
       "HTTP/1.1 200 OK\r\nServer: u\r\nSet-Cookie: a=1\r\nSet-Cookie: b=2\r\nKeep-Alive: 5\r\n"
       "Content-Length: 3\r\n\r\nnew"},
      {"post with a body in chunks",
       Post("Transfer-Encoding: chunked\r\n" + kOurs, "3\r\nhel\r\n2;x=y\r\nlo\r\n0\r\n\r\n"),
       "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nnew\r\n0\r\n\r\n"},
      {"post without a body", Post("Content-Length: 0\r\n" + kOurs, ""), "HTTP/1.1 204 No Content\r\n\r\n"},
      {"post that expects", Post("Expect: 100-continue\r\nContent-Length: 5\r\n" + kOurs, "hello"), kOk},
      {"not found", Get(kOurs), "HTTP/1.1 404 Not Found\r\nContent-Length: 4\r\n\r\nnone"},
      {"of another time", Get(kOurs), "HTTP/1.0 200 OK\r\nContent-Length: 2\r\n\r\nok"},
  };
}

std::vector<Row> FaultRows() {
  return {
      {"502", Post("Content-Length: 2\r\n" + kOurs, "ab"),
       "HTTP/1.1 500 Internal Server Error\r\nX-Own: 1\r\nContent-Length: 1\r\n\r\nx"},
      {"503 of the upstream", Post("Content-Length: 2\r\n" + kOurs, "ab"),
       "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 3\r\nContent-Length: 1\r\n\r\nx"},
      {"503 without an upstream", Get(kOurs), "", false},
      {"504", Post("Content-Length: 2\r\n" + kBrief, "ab"), ""},
      {"400 of no request", "nonsense\r\n\r\n", "", true, true},
      {"400 of an unknown class", Get(kOurs, "/nobody/k"), "", true, true},
      {"400 of another method", Get(kOurs, "/submit/k"), "", true, true},
      {"400 without an id", Get("X-Timeout-Ms: 5000\r\n"), "", true, true},
      {"400 of an id with a blank", Get("X-Request-ID: a b\r\nX-Timeout-Ms: 5000\r\n"), "", true, true},
      {"400 without a time", Get("X-Request-ID: a\r\n"), "", true, true},
      {"400 of two lengths", Post("Content-Length: 2\r\nContent-Length: 3\r\n" + kOurs, "ab"), "", true,
       true},
      {"400 of a bad chunk", Post("Transfer-Encoding: chunked\r\n" + kOurs, "z\r\n"), "", true, true},
      {"a head too long", Get("X-Long: " + std::string(20'000, 'x') + "\r\n" + kOurs), "", true, true},
  };
}

// What the upstream was sent, and what the client was told.
void Exchange(const Row& row, std::string& sent, std::string& told) {
  std::mutex mutex;  // of `sent`, until the upstream is gone
  Peer upstream([&](Wire& wire, int) {
    const std::string request = ReadRaw(wire, IsWhole);
    if (!IsWhole(request)) return;  // a connection that was opened and not used
    {
      const std::lock_guard lock(mutex);
      sent += request;
    }
    if (!row.answer.empty()) wire.Write(row.answer);
    ReadRaw(wire, [](const std::string&) { return false; });
  });
  Node::Options options;
  options.known = row.upstream ? List({Target("u1", upstream.address())}) : List({});
  Node node(options);
  ASSERT_TRUE(node.Listening());
  Client client(node.port());
  ASSERT_TRUE(client.Send(row.request));
  told = ReadRaw(client.wire, [&row](const std::string& text) { return !row.closes && IsWhole(text); });
}

TEST(RecordedHttp, MessagesAreThoseOfTheFormerVersion) {
  Recorded recorded(MOTHRACK_FIXTURES "/messages.txt");
  std::vector<Row> rows = ServedRows();
  for (Row& row : FaultRows()) rows.push_back(std::move(row));
  for (const Row& row : rows) {
    std::string sent;
    std::string told;
    ASSERT_NO_FATAL_FAILURE(Exchange(row, sent, told)) << row.name;
    recorded.Expect(std::string(row.name) + ": to the upstream", Escaped(Masked(sent)));
    recorded.Expect(std::string(row.name) + ": to the client", Escaped(Masked(told)));
  }
}

}  // namespace
}  // namespace mothrack::testing
