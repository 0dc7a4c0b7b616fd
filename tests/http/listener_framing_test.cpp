// Tests requests that arrive in parts or are truncated.
#include <cstddef>
#include <string>
#include <vector>

#include "http/listener_fixture.h"

namespace mothrack {
namespace {

struct RequestCase {
  const char* name;
  std::string bytes;
  std::string body;  // as the handler must receive it
  std::size_t step;  // distance between two cuts after the first 200 bytes
};

std::vector<RequestCase> RequestCases() {
  const std::string long_body(70000, 'x');
  return {
      {"no body", Get("/p"), "", 1},
      {"Content-Length", Post("Content-Length: 5\r\n", "abcde"), "abcde", 1},
      {"empty body", Post("Content-Length: 0\r\n", ""), "", 1},
      {"chunks", Post("Transfer-Encoding: chunked\r\n", "3\r\nabc\r\n2;x=y\r\nde\r\n0\r\n\r\n"), "abcde", 1},
      {"trailer", Post("Transfer-Encoding: chunked\r\n", "5\r\nabcde\r\n0\r\nX-A: b\r\n\r\n"), "abcde", 1},
      {"Expect: 100-continue", Post("Expect: 100-continue\r\nContent-Length: 5\r\n", "abcde"), "abcde", 1},
      // Longer than the buffer limit: forwarded before it is complete, and its body is streamed.
      {"streamed", Post("Content-Length: 70000\r\n", long_body), long_body, 2999},
  };
}

std::vector<std::size_t> Cuts(const RequestCase& request_case) {
  std::vector<std::size_t> cuts;
  for (std::size_t at = 1; at < request_case.bytes.size(); at += at < 200 ? 1 : request_case.step)
    cuts.push_back(at);
  if (cuts.back() != request_case.bytes.size() - 1) cuts.push_back(request_case.bytes.size() - 1);
  return cuts;
}

TEST_F(ListenerTest, ARequestSplitAtAnyByteArrivesCompleteAndOnce) {
  for (const RequestCase& request_case : RequestCases()) {
    for (const std::size_t cut : Cuts(request_case)) {
      SCOPED_TRACE(request_case.name + (" at " + std::to_string(cut)));
      Client& client = Connect();
      ASSERT_EQ(SendAll(client, request_case.bytes.substr(0, cut)), cut);
      ASSERT_TRUE(WaitUntil([&] { return Unread(client) == 0; }));
      ASSERT_EQ(SendAll(client, request_case.bytes.substr(cut)), request_case.bytes.size() - cut);
      ASSERT_TRUE(Receives(client, "answer /p"));
      ASSERT_EQ(forwarded.size(), 1U);
      EXPECT_TRUE(forwarded[0].body == request_case.body);
      Disconnect(client, DisconnectKind::kClose);
      ASSERT_TRUE(AllClosed());
      EXPECT_FALSE(forwarded[0].disconnected);
      forwarded.clear();
      clients.clear();
    }
  }
}

TEST_F(ListenerTest, ARequestTruncatedAtAnyByteIsNeverForwarded) {
  for (const RequestCase& request_case : RequestCases()) {
    for (const DisconnectKind disconnect_kind : {DisconnectKind::kClose, DisconnectKind::kReset}) {
      for (const std::size_t cut : Cuts(request_case)) {
        SCOPED_TRACE(request_case.name + (" at " + std::to_string(cut)));
        Client& client = Connect();
        ASSERT_EQ(SendAll(client, request_case.bytes.substr(0, cut)), cut);
        Disconnect(client, disconnect_kind);
        ASSERT_TRUE(AllClosed());
        // A request whose body is streamed may already have been forwarded; its handler is notified of the
        // disconnect.
        ASSERT_LE(forwarded.size(), request_case.body.size() > http::kBufferLimit ? 1U : 0U);
        for (const ForwardedRequest& forwarded_request : forwarded) {
          EXPECT_TRUE(forwarded_request.disconnected);
          EXPECT_FALSE(forwarded_request.complete);
          EXPECT_EQ(forwarded_request.streamed_body.stream->state(), runtime::Stream::State::kTruncated);
        }
        forwarded.clear();
        clients.clear();
      }
    }
  }
}

}  // namespace
}  // namespace mothrack
