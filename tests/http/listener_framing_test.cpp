// Requests that arrive in parts, or not completely.
#include <cstddef>
#include <string>
#include <vector>

#include "http/listener_fixture.h"

namespace mothrack {
namespace {

struct Kind {
  const char* name;
  std::string bytes;
  std::string body;  // as it is to be handed on
  std::size_t step;  // from one cut to the next, behind the head's first 200 bytes
};

std::vector<Kind> Kinds() {
  const std::string long_body(70000, 'x');
  return {
      {"no body", Get("/p"), "", 1},
      {"length", Post("Content-Length: 5\r\n", "abcde"), "abcde", 1},
      {"no bytes", Post("Content-Length: 0\r\n", ""), "", 1},
      {"chunks", Post("Transfer-Encoding: chunked\r\n", "3\r\nabc\r\n2;x=y\r\nde\r\n0\r\n\r\n"), "abcde", 1},
      {"trailer", Post("Transfer-Encoding: chunked\r\n", "5\r\nabcde\r\n0\r\nX-A: b\r\n\r\n"), "abcde", 1},
      {"asks whether to go on", Post("Expect: 100-continue\r\nContent-Length: 5\r\n", "abcde"), "abcde", 1},
      // Longer than what is kept whole: handed on before its end, and its body as it comes.
      {"passed on as it comes", Post("Content-Length: 70000\r\n", long_body), long_body, 2999},
  };
}

std::vector<std::size_t> Cuts(const Kind& kind) {
  std::vector<std::size_t> cuts;
  for (std::size_t at = 1; at < kind.bytes.size(); at += at < 200 ? 1 : kind.step) cuts.push_back(at);
  if (cuts.back() != kind.bytes.size() - 1) cuts.push_back(kind.bytes.size() - 1);
  return cuts;
}

TEST_F(ListenerTest, ARequestSplitAtAnyByteArrivesCompleteAndOnce) {
  for (const Kind& kind : Kinds()) {
    for (const std::size_t cut : Cuts(kind)) {
      SCOPED_TRACE(kind.name + (" at " + std::to_string(cut)));
      Client& client = Connect();
      ASSERT_EQ(SendAll(client, kind.bytes.substr(0, cut)), cut);
      ASSERT_TRUE(Until([&] { return Unread(client) == 0; }));
      ASSERT_EQ(SendAll(client, kind.bytes.substr(cut)), kind.bytes.size() - cut);
      ASSERT_TRUE(Receives(client, "answer /p"));
      ASSERT_EQ(handed.size(), 1U);
      EXPECT_TRUE(handed[0].body == kind.body);
      Leave(client, Way::kClose);
      ASSERT_TRUE(AllClosed());
      EXPECT_FALSE(handed[0].disconnected);
      handed.clear();
      clients.clear();
    }
  }
}

TEST_F(ListenerTest, ARequestTruncatedAtAnyByteIsNeverForwarded) {
  for (const Kind& kind : Kinds()) {
    for (const Way way : {Way::kClose, Way::kReset}) {
      for (const std::size_t cut : Cuts(kind)) {
        SCOPED_TRACE(kind.name + (" at " + std::to_string(cut)));
        Client& client = Connect();
        ASSERT_EQ(SendAll(client, kind.bytes.substr(0, cut)), cut);
        Leave(client, way);
        ASSERT_TRUE(AllClosed());
        // One whose body still comes may have been begun, and is told to end.
        ASSERT_LE(handed.size(), kind.body.size() > http::kBufferLimit ? 1U : 0U);
        for (const Handed& begun : handed) {
          EXPECT_TRUE(begun.disconnected);
          EXPECT_FALSE(begun.whole);
          EXPECT_EQ(begun.coming.stream->state(), runtime::Stream::State::kBroken);
        }
        handed.clear();
        clients.clear();
      }
    }
  }
}

}  // namespace
}  // namespace mothrack
