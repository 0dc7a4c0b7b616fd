// Compares the requests to an upstream and the responses to a client, byte for byte, with those of version
// 0.2.0. Two values differ between runs and are masked: the upstream's port, as 127.0.0.1:PORT, and the
// digits of the X-Timeout-Ms that is sent to the upstream, which is the time left of the client's timeout.
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

// Reads until `is_complete` returns true or the peer closes. A close is shown as "[closed]" at the end of the
// text.
std::string ReadRaw(Wire& wire, const std::function<bool(const std::string&)>& is_complete) {
  std::string text;
  char part[4096];
  while (!is_complete(text)) {
    boost::system::error_code error;
    const std::size_t size = wire.socket.read_some(boost::asio::buffer(part), error);
    if (error) return text + "[closed]";
    text.append(part, size);
  }
  return text;
}

// Whether `text` is one complete message, possibly after an interim response. Its body is framed by
// Content-Length or in chunks; without either there is no body.
bool IsComplete(const std::string& text) {
  static const std::regex kLength("\r\nContent-Length: ([0-9]+)\r\n", std::regex::icase);
  const auto head = text.find("\r\n\r\n");
  if (head == std::string::npos) return false;
  if (text.starts_with("HTTP/1.1 100 ")) return IsComplete(text.substr(head + 4));
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

const std::string kProtocolHeaders = "X-Request-ID: 9b1f03aa\r\nX-Timeout-Ms: 5000\r\n";
const std::string kShortTimeoutHeaders = "X-Request-ID: 9b1f03aa\r\nX-Timeout-Ms: 300\r\n";
const std::string kOk = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

struct ExchangeCase {
  const char* name;
  std::string request;
  std::string answer;    // the upstream's response; empty if it never responds
  bool upstream = true;  // whether there is an upstream
  bool closes = false;   // the program closes the client's connection after its response
};

std::vector<ExchangeCase> ServedCases() {
  return {
      {"get", Get("Accept: text/x\r\nTE: trailers\r\nX-Own: a, b\r\nX-Own: c\r\n" + kProtocolHeaders), kOk},
      {"get with Connection: close", Get("Connection: close, X-Hop\r\nX-Hop: 1\r\n" + kProtocolHeaders), kOk,
       true, true},
      {"get with HTTP/1.0", "GET /page/k HTTP/1.0\r\nHost: api.internal\r\n" + kProtocolHeaders + "\r\n", kOk,
       true, true},
      {"post with a body",
       Post("Content-Type: text/x\r\nContent-Length: 5\r\nX-Cost: 7\r\nX-Retried: 1\r\n" + kProtocolHeaders,
            "hello"),
       "HTTP/1.1 200 OK\r\nServer: u\r\nSet-Cookie: a=1\r\nSet-Cookie: b=2\r\nKeep-Alive: 5\r\n"
       "Content-Length: 3\r\n\r\nnew"},
      {"post with a body in chunks",
       Post("Transfer-Encoding: chunked\r\n" + kProtocolHeaders, "3\r\nhel\r\n2;x=y\r\nlo\r\n0\r\n\r\n"),
       "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nnew\r\n0\r\n\r\n"},
      {"post without a body", Post("Content-Length: 0\r\n" + kProtocolHeaders, ""),
       "HTTP/1.1 204 No Content\r\n\r\n"},
      {"post with Expect: 100-continue",
       Post("Expect: 100-continue\r\nContent-Length: 5\r\n" + kProtocolHeaders, "hello"), kOk},
      {"not found", Get(kProtocolHeaders), "HTTP/1.1 404 Not Found\r\nContent-Length: 4\r\n\r\nnone"},
      {"response with HTTP/1.0", Get(kProtocolHeaders), "HTTP/1.0 200 OK\r\nContent-Length: 2\r\n\r\nok"},
  };
}

std::vector<ExchangeCase> FaultCases() {
  return {
      {"502", Post("Content-Length: 2\r\n" + kProtocolHeaders, "ab"),
       "HTTP/1.1 500 Internal Server Error\r\nX-Own: 1\r\nContent-Length: 1\r\n\r\nx"},
      {"503 from the upstream", Post("Content-Length: 2\r\n" + kProtocolHeaders, "ab"),
       "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 3\r\nContent-Length: 1\r\n\r\nx"},
      {"503 without an upstream", Get(kProtocolHeaders), "", false},
      {"504", Post("Content-Length: 2\r\n" + kShortTimeoutHeaders, "ab"), ""},
      {"400 for a malformed request", "nonsense\r\n\r\n", "", true, true},
      {"400 for an unknown class", Get(kProtocolHeaders, "/nobody/k"), "", true, true},
      {"400 for a wrong method", Get(kProtocolHeaders, "/submit/k"), "", true, true},
      {"400 without an id", Get("X-Timeout-Ms: 5000\r\n"), "", true, true},
      {"400 for an id with a blank", Get("X-Request-ID: a b\r\nX-Timeout-Ms: 5000\r\n"), "", true, true},
      {"400 without a timeout", Get("X-Request-ID: a\r\n"), "", true, true},
      {"400 for two lengths", Post("Content-Length: 2\r\nContent-Length: 3\r\n" + kProtocolHeaders, "ab"), "",
       true, true},
      {"400 for a bad chunk", Post("Transfer-Encoding: chunked\r\n" + kProtocolHeaders, "z\r\n"), "", true,
       true},
      {"head too long", Get("X-Long: " + std::string(20'000, 'x') + "\r\n" + kProtocolHeaders), "", true,
       true},
  };
}

// Sends the request of one case. Stores the bytes that the upstream got in `sent`, and those that the client
// got in `received`.
void Exchange(const ExchangeCase& row, std::string& sent, std::string& received) {
  std::mutex mutex;  // guards `sent` while the upstream's thread runs
  Peer upstream([&](Wire& wire, int) {
    const std::string request = ReadRaw(wire, IsComplete);
    if (!IsComplete(request)) return;  // a connection that was opened and not used
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
  received =
      ReadRaw(client.wire, [&row](const std::string& text) { return !row.closes && IsComplete(text); });
}

TEST(RecordedHttp, MessagesAreThoseOfVersion020) {
  RecordedSections recorded(MOTHRACK_FIXTURES "/messages.txt");
  std::vector<ExchangeCase> rows = ServedCases();
  for (ExchangeCase& row : FaultCases()) rows.push_back(std::move(row));
  for (const ExchangeCase& row : rows) {
    std::string sent;
    std::string received;
    ASSERT_NO_FATAL_FAILURE(Exchange(row, sent, received)) << row.name;
    recorded.Expect(std::string(row.name) + ": to the upstream", Escaped(Masked(sent)));
    recorded.Expect(std::string(row.name) + ": to the client", Escaped(Masked(received)));
  }
}

}  // namespace
}  // namespace mothrack::testing
