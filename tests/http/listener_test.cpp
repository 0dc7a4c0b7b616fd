// The listener alone on a loopback socket, between scripted clients and a scripted answerer. Time stands
// still unless a test moves it on, and the system's calls on the listener's sockets are the test's own and
// pass on to the real ones: a client can act between any two of them.
#include "http/listener.h"

#include <dlfcn.h>
#include <poll.h>
#include <sys/epoll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <time.h>

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "gtest/gtest.h"

namespace {

using Hook = std::function<void()>;

struct System {
  std::optional<timespec> now;  // of the steady clock
  int listening = -1;
  std::vector<int> accepted;  // by the listener, in order
  int watched = -1;           // of this one the next half-close or close is
  Hook before_end;            // told here, once
  Hook after_end;
  Hook after_wake;  // once, between a wake-up of the event loop and what it wakes
  std::uint64_t waits = 0;
} system_;

template <typename F>
F* Next(const char* name) {
  return reinterpret_cast<F*>(::dlsym(RTLD_NEXT, name));
}

void Once(Hook& hook) {
  if (const Hook call = std::exchange(hook, nullptr)) call();
}

int End(int fd, const std::function<int()>& end) {
  if (fd < 0 || fd != system_.watched) return end();
  system_.watched = -1;
  Once(system_.before_end);
  const int result = end();
  Once(system_.after_end);
  return result;
}

}  // namespace

extern "C" int clock_gettime(clockid_t clock, timespec* time) {
  static const auto next = Next<int(clockid_t, timespec*)>("clock_gettime");
  if (clock != CLOCK_MONOTONIC) return next(clock, time);
  if (!system_.now) next(clock, &system_.now.emplace());
  *time = *system_.now;
  return 0;
}

extern "C" int accept(int fd, sockaddr* from, socklen_t* size) {
  static const auto next = Next<int(int, sockaddr*, socklen_t*)>("accept");
  const int accepted = next(fd, from, size);
  if (fd == system_.listening && accepted >= 0) system_.accepted.push_back(accepted);
  return accepted;
}

extern "C" int shutdown(int fd, int how) {
  static const auto next = Next<int(int, int)>("shutdown");
  return End(fd, [&] { return next(fd, how); });
}

extern "C" int close(int fd) {
  static const auto next = Next<int(int)>("close");
  return End(fd, [&] { return next(fd); });
}

extern "C" int epoll_wait(int epoll, epoll_event* events, int most, int timeout) {
  static const auto next = Next<int(int, epoll_event*, int, int)>("epoll_wait");
  ++system_.waits;
  const int ready = next(epoll, events, most, timeout);
  if (ready > 0) Once(system_.after_wake);
  return ready;
}

namespace mothrack {
namespace {

namespace beast_http = boost::beast::http;
using boost::asio::ip::tcp;
using boost::system::error_code;
using std::chrono::milliseconds;

constexpr std::size_t kRoomy = 256;
constexpr std::size_t kTwoClients = runtime::Descriptors::kFixed + 4;  // each side has half

std::string Get(const std::string& target, const std::string& headers = "") {
  return "GET " + target + " HTTP/1.1\r\nHost: h\r\n" + headers + "\r\n";
}

std::string Post(const std::string& headers, const std::string& body) {
  return "POST /p HTTP/1.1\r\nHost: h\r\n" + headers + "\r\n" + body;
}

std::string PostOfLength(std::size_t length, std::size_t sent) {
  return Post("Content-Length: " + std::to_string(length) + "\r\n", std::string(sent, 'x'));
}

class ListenerTest : public ::testing::Test {
 protected:
  ListenerTest() { Listen(kRoomy); }
  ~ListenerTest() override {
    system_.listening = system_.watched = -1;
    system_.before_end = system_.after_end = system_.after_wake = nullptr;
  }

  // What was handed on of a request, and what it was told since.
  struct Handed {
    std::string target;
    std::string body;
    http::ReplyCallback reply;
    http::ComingBody coming;
    bool disconnected = false;
    bool whole = false;
  };

  struct Client {
    explicit Client(boost::asio::io_context& io) : socket(io) {}
    tcp::socket socket;
    int server = -1;  // the listener's descriptor of it
    std::string received;
    error_code end;
  };

  void Listen(std::size_t sockets, std::size_t budget_bytes = 1 << 20) {
    listener.reset();
    descriptors.emplace(sockets);
    budget.emplace(budget_bytes);
    const runtime::ListenOn where(runtime::Endpoint(boost::asio::ip::make_address("127.0.0.1"), 0));
    listener.emplace(io, where, *descriptors, *budget, log,
                     http::DeadlineRange{std::chrono::seconds(5), std::chrono::seconds(5)},
                     [this](http::HttpRequest request, http::ComingBody coming, http::ReplyCallback reply) {
                       return Take(std::move(request), std::move(coming), std::move(reply));
                     });
    system_.listening = listener->native_handle();
  }

  http::RequestObserver Take(http::HttpRequest request, http::ComingBody coming, http::ReplyCallback reply) {
    Handed& handed_request = handed.emplace_back();
    handed_request.target = std::string(request.target());
    handed_request.body = request.body();
    handed_request.coming = coming;
    handed_request.reply = std::move(reply);
    if (coming && takes) {
      coming.stream->BeginConsuming();
      const auto take = [&handed_request, stream = coming.stream.get()] {
        handed_request.body += stream->Ready();
        stream->Consume(stream->Ready().size());
      };
      coming.stream->on_bytes = take;
    }
    if (answers && !coming) Answer(handed_request);
    return {[&handed_request] { handed_request.disconnected = true; },
            [this, &handed_request] {
              handed_request.whole = true;
              if (answers) Answer(handed_request);
            }};
  }

  void Answer(Handed& handed_request) {
    http::HttpResponse response(beast_http::status::ok, 11);
    response.body() = "answer " + handed_request.target + std::string(more_of_answer, '.');
    std::exchange(handed_request.reply, nullptr)(std::move(response), {});
  }

  // Runs the event loop until it has nothing to do by now.
  void Settle() {
    io.restart();
    while (io.poll() > 0) {
    }
  }

  // Runs it until the condition holds, with an eye to the real clock.
  bool Until(const std::function<bool()>& condition, bool running = true) {
    const auto give_up_at = std::chrono::system_clock::now() + std::chrono::seconds(20);
    while (true) {
      if (running) Settle();
      if (condition()) return true;
      if (std::chrono::system_clock::now() > give_up_at) return false;
      ::poll(nullptr, 0, 1);
    }
  }

  // Moves time on and lets the event loop see it.
  void Pass(runtime::Duration by, runtime::Duration step = milliseconds(5)) {
    for (; by > runtime::Duration::zero(); by -= step) Leap(std::min(by, step));
  }
  void Leap(runtime::Duration by) {
    const long nanoseconds = system_.now->tv_nsec + std::chrono::nanoseconds(by).count();
    system_.now->tv_sec += nanoseconds / 1000000000;
    system_.now->tv_nsec = nanoseconds % 1000000000;
    // The event loop looks at the clock when a timer is set that is earlier than all others.
    bool woken = false;
    boost::asio::steady_timer now(io, std::chrono::steady_clock::time_point());
    now.async_wait([&](error_code) { woken = true; });
    ASSERT_TRUE(Until([&] { return woken; }));
    Settle();
  }

  Client& Connect(bool narrow = false) {
    Client& client = Dial(narrow);
    const std::size_t before = system_.accepted.size();
    EXPECT_TRUE(Until([&] { return system_.accepted.size() > before; }));
    client.server = system_.accepted.back();
    return client;
  }
  // Only as far as the listening socket's queue. Little of an answer reaches a narrow client before it reads.
  Client& Dial(bool narrow = false) {
    Client& client = clients.emplace_back(own);
    client.socket.open(tcp::v4());
    if (narrow) client.socket.set_option(boost::asio::socket_base::receive_buffer_size(4096));
    client.socket.connect(listener->local());
    pollfd listening{system_.listening, POLLIN, 0};
    EXPECT_EQ(::poll(&listening, 1, 20000), 1);
    client.socket.non_blocking(true);
    return client;
  }

  static std::size_t Unread(const Client& client) {
    int size = 0;
    return ::ioctl(client.server, FIONREAD, &size) == 0 ? static_cast<std::size_t>(size) : 0;
  }

  // As much as there is room for; the listener's system has it then, and the listener not yet.
  std::size_t Send(Client& client, const std::string& bytes) {
    const std::size_t before = Unread(client);
    error_code error;
    const std::size_t size = client.socket.write_some(boost::asio::buffer(bytes), error);
    EXPECT_TRUE(Until([&] { return Unread(client) >= before + size; }, false));
    return size;
  }

  // The listener reads on meanwhile; fewer bytes where it reads no more.
  std::size_t SendAll(Client& client, const std::string& bytes) {
    std::size_t sent = 0;
    for (int refusals = 0; sent < bytes.size() && refusals < 200;) {
      error_code error;
      // In small parts: the system accounts a large one as held until all of it is read.
      const auto remaining =
          boost::asio::buffer(&bytes[sent], std::min<std::size_t>(bytes.size() - sent, 8192));
      const std::size_t size = client.socket.write_some(remaining, error);
      if (error && error != boost::asio::error::would_block) break;
      refusals = size == 0 ? refusals + 1 : 0;
      sent += size;
      if (size == 0) ::poll(nullptr, 0, 1);
      Settle();
    }
    return sent;
  }

  enum class Way { kClose, kReset };
  // The client leaves, and the listener's system knows.
  void Leave(Client& client, Way way) {
    if (way == Way::kReset) client.socket.set_option(boost::asio::socket_base::linger(true, 0));
    client.socket.close();
    EXPECT_TRUE(Until(
        [&] {
          pollfd server{client.server, POLLRDHUP, 0};
          return ::poll(&server, 1, 0) == 1;
        },
        false));
  }

  // What has come to the client by now.
  const std::string& Receive(Client& client) {
    char bytes[4096];
    while (!client.end) {
      error_code error;
      const std::size_t size = client.socket.read_some(boost::asio::buffer(bytes), error);
      if (error == boost::asio::error::would_block) break;
      client.received.append(bytes, size);
      client.end = error;
    }
    return client.received;
  }
  bool Receives(Client& client, const std::string& part) {
    return Until([&] { return Receive(client).find(part) != std::string::npos; });
  }
  // Nothing more comes, by a clean end: not by a reset, which could take an answer's last bytes along.
  bool Ends(Client& client) {
    return Until([&] { return Receive(client), client.end.failed(); }) &&
           client.end == boost::asio::error::eof;
  }
  bool AllClosed() {
    return Until([&] { return descriptors->used() == 0; });
  }

  bool answers = true;  // at once
  bool takes = true;    // of bodies that still come
  std::size_t more_of_answer = 0;
  runtime::Logger log{"t"};
  boost::asio::io_context own;  // of the clients: never run
  boost::asio::io_context io{1};
  std::optional<runtime::Descriptors> descriptors;
  std::optional<runtime::ByteBudget> budget;
  std::deque<Handed> handed;
  std::optional<http::Listener> listener;
  std::deque<Client> clients;
  int ended = 0;  // drains
};

// ---- Requests in parts ----

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

// ---- Ends between requests ----

class ConnectionEnd : public ListenerTest, public ::testing::WithParamInterface<bool> {
 protected:
  // By hand, or for good.
  void Begin() {
    if (GetParam()) {
      listener->Drain([this] { ++ended; });
    } else {
      listener->Quiesce(true);
    }
  }
  Client& Served() {
    Client& client = Connect();
    Send(client, Get("/first"));
    EXPECT_TRUE(Receives(client, "answer /first"));
    client.received.clear();
    handed.clear();
    return client;
  }
};

INSTANTIATE_TEST_SUITE_P(Listener, ConnectionEnd, ::testing::Bool(),
                         [](const auto& info) { return info.param ? "Drained" : "Rested"; });

TEST_P(ConnectionEnd, RequestsBeforeTheEndAreServedAndAnsweredWithClose) {
  Client& client = Served();
  Send(client, Get("/second"));
  Begin();
  EXPECT_TRUE(Receives(client, "answer /second"));
  EXPECT_NE(client.received.find("Connection: close"), std::string::npos);
  EXPECT_TRUE(Ends(client));
}

TEST_P(ConnectionEnd, RequestsThatCrossTheEndAreNeitherReadNorReset) {
  for (Hook System::*const moment : {&System::before_end, &System::after_end}) {
    SCOPED_TRACE(moment == &System::before_end ? "before the end" : "after it");
    Client& client = Served();
    bool crossed = false;
    system_.watched = client.server;
    system_.*moment = [&] {
      Send(client, Get("/crossing"));
      crossed = true;
    };
    Begin();
    ASSERT_TRUE(crossed);
    EXPECT_TRUE(Ends(client));
    EXPECT_EQ(client.received, "");
    // The client is the first to close, and the listener sees it behind what it left unread.
    EXPECT_EQ(descriptors->used(), 1U);
    EXPECT_EQ(Unread(client), Get("/crossing").size());
    Leave(client, Way::kClose);
    Pass(milliseconds(10));
    EXPECT_EQ(descriptors->used(), 0U);
    EXPECT_TRUE(handed.empty());
    if (GetParam()) break;  // once for good
    listener->Quiesce(false);
  }
}

TEST_P(ConnectionEnd, IdleClientsAreClosed) {
  Client& closes = Served();
  Client& stays = Served();
  Begin();
  EXPECT_TRUE(Ends(closes));
  EXPECT_TRUE(Ends(stays));
  EXPECT_EQ(descriptors->used(), 2U);
  Leave(closes, Way::kClose);
  Settle();
  EXPECT_EQ(descriptors->used(), 1U);
  Pass(milliseconds(280));
  EXPECT_EQ(descriptors->used(), 0U);
}

TEST_P(ConnectionEnd, APartialRequestIsAwaitedServedAndAnsweredWithClose) {
  const std::string request = Post("Content-Length: 5\r\n", "abcde");
  for (const std::size_t cut : {std::size_t{1}, std::size_t{20}, request.size() - 1}) {
    Client& client = Served();
    Send(client, request.substr(0, cut));
    Settle();
    Begin();
    Pass(milliseconds(2400));
    ASSERT_EQ(Receive(client), "");
    ASSERT_FALSE(client.end);
    Send(client, request.substr(cut));
    EXPECT_TRUE(Receives(client, "answer /p"));
    EXPECT_NE(client.received.find("Connection: close"), std::string::npos);
    ASSERT_EQ(handed.size(), 1U);
    EXPECT_EQ(handed[0].body, "abcde");
    EXPECT_TRUE(Ends(client));
    if (GetParam()) break;
    listener->Quiesce(false);
  }
}

TEST_P(ConnectionEnd, RequestsAfterTheLastAnswerAreNotForwarded) {
  answers = false;
  Client& ahead = Connect();
  Send(ahead, Get("/held") + Get("/ahead"));
  Client& behind = Connect();
  Send(behind, Get("/held"));
  Client& crossing = Connect();
  Send(crossing, Get("/held"));
  Settle();
  ASSERT_EQ(handed.size(), 3U);
  Begin();
  system_.watched = crossing.server;
  system_.before_end = [&] { Send(crossing, Get("/crossing")); };
  for (Handed& request : handed) Answer(request);
  Settle();
  Send(behind, Get("/behind"));
  for (Client* client : {&ahead, &behind, &crossing}) {
    EXPECT_TRUE(Receives(*client, "answer /held"));
    EXPECT_NE(client->received.find("Connection: close"), std::string::npos);
    EXPECT_TRUE(Ends(*client));
    Leave(*client, Way::kClose);
  }
  EXPECT_TRUE(AllClosed());
  EXPECT_EQ(handed.size(), 3U);
}

TEST_F(ListenerTest, ADrainEndsOnceAndOnlyWhenAllIsAnswered) {
  answers = false;
  Client& in_flight = Connect();
  Send(in_flight, Get("/held"));
  Settle();
  // One that has connected and says nothing for now, one that comes later.
  Client& recent = Connect();
  listener->Drain([this] { ++ended; });
  Pass(milliseconds(200));
  Send(recent, Get("/fresh"));
  Settle();
  Client& late = Connect();
  Send(late, Get("/late"));
  Settle();
  ASSERT_EQ(handed.size(), 3U);
  Pass(milliseconds(2800));
  EXPECT_EQ(ended, 0);
  for (Handed& request : handed) Answer(request);
  for (Client* client : {&in_flight, &recent, &late}) {
    EXPECT_TRUE(Receives(*client, "answer"));
    EXPECT_TRUE(Ends(*client));
  }
  EXPECT_EQ(ended, 0);
  Pass(milliseconds(400));
  EXPECT_EQ(ended, 1);
}

TEST_F(ListenerTest, ADrainDuringASweepEndsOnce) {
  listener->PauseAccepting();
  // The sweep is due, and the signal is handled ahead of it.
  boost::asio::steady_timer signal(io, std::chrono::steady_clock::time_point());
  signal.async_wait([this](error_code) { listener->Drain([this] { ++ended; }); });
  Leap(milliseconds(300));
  Pass(milliseconds(100));
  EXPECT_EQ(ended, 1);
}

// ---- Overdue, and yet there ----

// The sidecar had no time: what came meanwhile is read before anybody is judged by the clock.
TEST_F(ListenerTest, ARequestReceivedBeforeTheIdleTimeoutFiresIsServed) {
  const std::string request = Get("/p");
  for (const std::size_t before : {std::size_t{0}, std::size_t{1}, request.size() - 1}) {
    SCOPED_TRACE(before);
    Client& client = Connect();
    if (before > 0) Send(client, request.substr(0, before));
    Settle();
    system_.after_wake = [&] { Send(client, request.substr(before)); };
    Leap(milliseconds(3000));
    EXPECT_TRUE(Receives(client, "answer /p")) << client.received;
    EXPECT_EQ(handed.size(), 1U);
    handed.clear();
  }
}

TEST_F(ListenerTest, ATricklingClientGetsNoSecondExtension) {
  Client& client = Connect();
  Send(client, "GET /p HTTP/1.1\r\nX: ");
  Settle();
  for (int i = 0; i < 2; ++i) {
    system_.after_wake = [&] { Send(client, "a"); };
    Leap(milliseconds(2600));
  }
  EXPECT_TRUE(Receives(client, "408"));
  EXPECT_TRUE(Ends(client));
}

TEST_F(ListenerTest, ALastAnswerIsNotResetByDataAtTheEndOfTheLingeringClose) {
  more_of_answer = 200000;
  Client& client = Connect(true);
  Send(client, Get("/last", "Connection: close\r\n"));
  Settle();
  system_.after_wake = [&] { Send(client, Get("/behind")); };
  Leap(milliseconds(300));
  EXPECT_EQ(descriptors->used(), 0U);
  EXPECT_TRUE(Ends(client));
  EXPECT_GT(client.received.size(), more_of_answer);
  EXPECT_EQ(handed.size(), 1U);
}

// ---- Eviction ----

class Eviction : public ListenerTest {
 protected:
  Eviction() { Listen(kTwoClients); }
  // One of the two descriptors is in use for good.
  void Hold() {
    answers = false;
    Send(Connect(), Get("/held"));
    Settle();
    answers = true;
  }
};

TEST_F(Eviction, ARequestWithUnreadDataIsNotEvicted) {
  Hold();
  const std::string request = Post("Content-Length: 5\r\n", "abcde");
  Client& half = Connect();
  Send(half, request.substr(0, request.size() - 1));
  Settle();
  Leap(milliseconds(1500));  // slow by now
  Client& next = Dial();     // the event loop hears of it first
  Send(half, request.substr(request.size() - 1));
  EXPECT_TRUE(Receives(half, "answer /p"));
  Leap(milliseconds(25));
  EXPECT_TRUE(Ends(half));  // idle by now
  next.server = system_.accepted.back();
  Send(next, Get("/next"));
  EXPECT_TRUE(Receives(next, "answer /next"));
}

TEST_F(Eviction, ALastAnswerIsNotResetByPipelinedData) {
  Hold();
  more_of_answer = 200000;
  Client& last = Connect(true);
  Send(last, Get("/last", "Connection: close\r\n"));
  Settle();
  ASSERT_EQ(handed.size(), 2U);
  Client& next = Dial();
  Send(last, Get("/behind"));
  Settle();
  next.server = system_.accepted.back();
  Send(next, Get("/next"));
  EXPECT_TRUE(Receives(next, "answer /next"));
  EXPECT_TRUE(Ends(last));
  EXPECT_GT(last.received.size(), more_of_answer);
  EXPECT_EQ(handed.size(), 3U);
}

// All are busy when the listener would close: whoever waits in its queue is let in as soon as there is room.
TEST_F(Eviction, ADrainAwaitsQueuedClients) {
  Hold();
  Hold();
  Client& waits = Dial();
  Settle();
  listener->Drain([this] { ++ended; });
  Pass(milliseconds(900), milliseconds(10));
  EXPECT_FALSE((Receive(waits), waits.end));
  const std::size_t accepted = system_.accepted.size();
  Answer(handed[0]);
  EXPECT_TRUE(Ends(clients[0]));
  Leave(clients[0], Way::kClose);
  Pass(milliseconds(30));
  ASSERT_EQ(system_.accepted.size(), accepted + 1);
  waits.server = system_.accepted.back();
  Send(waits, Get("/waits"));
  EXPECT_TRUE(Receives(waits, "answer /waits"));
  Answer(handed[1]);
  Pass(milliseconds(400));
  EXPECT_EQ(ended, 1);
}

TEST_F(Eviction, ADrainAbandonsQueuedClientsWhereNoConnectionEnds) {
  Hold();
  Hold();
  Client& waits = Dial();
  listener->Drain([this] { ++ended; });
  Pass(milliseconds(3200), milliseconds(10));
  EXPECT_FALSE((Receive(waits), waits.end));
  Pass(milliseconds(200), milliseconds(10));
  EXPECT_TRUE(Until([&] { return Receive(waits), waits.end.failed(); }));
}

// ---- A client that has gone ----

struct Departure {
  const char* name;
  std::string sent;
  bool comes;  // handed on before its end
};

std::string Followers(std::size_t size) {
  std::string bytes;
  while (bytes.size() < size) bytes += Get("/follower");
  return bytes;
}

std::vector<Departure> Departures() {
  return {
      {"nothing behind the request", Get("/p"), false},
      {"some behind it", Get("/p") + Followers(20000), false},
      {"more than is kept behind it", Get("/p") + Followers(100000), false},
      // 256 KiB are read, and up to two reads more; the system has the rest, and the end behind it.
      {"more than is read behind it", Get("/p") + Followers(280000), false},
      // As much as is kept whole, the least window, what is read ahead; and some that waits in the system.
      {"an upload that nobody takes", PostOfLength(1 << 20, (64 + 16 + 32 + 8) * 1024), true},
  };
}

TEST_F(ListenerTest, ADisconnectIsDetectedWithin100MsDespitePipelinedData) {
  answers = takes = false;
  for (const Departure& departure : Departures()) {
    for (const Way way : {Way::kClose, Way::kReset}) {
      SCOPED_TRACE(departure.name + std::string(way == Way::kReset ? ", reset" : ", closed"));
      Listen(kRoomy, runtime::ByteBudget::kMinWindow);
      Client& client = Connect();
      ASSERT_EQ(SendAll(client, departure.sent), departure.sent.size());
      Settle();
      ASSERT_EQ(handed.size(), 1U);
      ASSERT_FALSE(handed[0].disconnected);
      Leave(client, way);
      Pass(milliseconds(100));
      EXPECT_TRUE(handed[0].disconnected);
      EXPECT_EQ(descriptors->used(), 0U);
      EXPECT_EQ(handed.size(), 1U);
      EXPECT_EQ(departure.comes, static_cast<bool>(handed[0].coming));
      if (departure.comes) {
        EXPECT_EQ(handed[0].coming.stream->state(), runtime::Stream::State::kBroken);
      }
      handed.clear();
      clients.clear();
    }
  }
}

// The sidecar had no time for either: what it reads first is the request.
TEST_F(ListenerTest, AQueuedRequestOfADisconnectedClientIsNotForwarded) {
  for (const std::string& sent : {Get("/p"), Get("/p") + Followers(5000), PostOfLength(5, 5)}) {
    for (const Way way : {Way::kClose, Way::kReset}) {
      Client& client = Connect();
      Send(client, sent);
      Leave(client, way);
      EXPECT_TRUE(AllClosed());
      EXPECT_TRUE(handed.empty());
    }
  }
}

// Else a client that has left would get them sent on, one after the other. Its own answer arrives whole.
TEST_F(ListenerTest, RequestsAfterAFloodAreNotForwarded) {
  more_of_answer = 200000;
  for (const std::size_t size : {100000, 280000}) {
    answers = false;
    Client& client = Connect(true);
    const std::string sent = Get("/p") + Followers(size);
    ASSERT_EQ(SendAll(client, sent), sent.size());
    Settle();
    ASSERT_EQ(handed.size(), 1U);
    answers = true;
    Answer(handed[0]);
    EXPECT_TRUE(Ends(client));
    EXPECT_NE(client.received.find("Connection: close"), std::string::npos);
    EXPECT_GT(client.received.size(), more_of_answer);
    EXPECT_EQ(handed.size(), 1U);
    handed.clear();
  }
}

// ---- Bounds ----

TEST_F(ListenerTest, APipelinedFloodIsReadToABoundWithoutBusyLoopOrStarvation) {
  answers = false;
  Client& client = Connect();
  const std::string sent = Get("/p") + Followers(64 << 20);
  const std::size_t sent_bytes = SendAll(client, sent);
  EXPECT_LT(sent_bytes, sent.size());
  // Nothing is read any more, and nothing asks whether it should be.
  Settle();
  const std::size_t waiting = Unread(client);
  const auto waits = system_.waits;
  Settle();
  EXPECT_LE(system_.waits - waits, 2U);
  EXPECT_EQ(Unread(client), waiting);
  EXPECT_FALSE(handed[0].disconnected);
  // Others are served meanwhile, and its own request is answered.
  answers = true;
  Client& other = Connect();
  Send(other, Get("/other"));
  EXPECT_TRUE(Receives(other, "answer /other"));
  Answer(handed[0]);
  EXPECT_TRUE(Receives(client, "answer /p"));
}

// After a last answer so much is dropped at most. Others get their turn between any two reads.
TEST_F(ListenerTest, AFloodBehindALastAnswerIsResetWhileOthersAreServed) {
  Client& client = Connect();
  Client& other = Connect();
  Send(client, Get("/p", "Connection: close\r\n"));
  EXPECT_TRUE(Receives(client, "answer /p"));
  Send(client, std::string(60000, 'x'));
  Send(other, Get("/other"));
  const std::size_t waiting = Unread(client);
  io.restart();
  for (int turns = 0; turns < 6 && handed.size() < 2; ++turns) io.poll_one();
  EXPECT_EQ(handed.size(), 2U);
  EXPECT_GE(Unread(client) + 4 * 8192, waiting);
  const std::string sent(8 << 20, 'x');
  EXPECT_LT(SendAll(client, sent), sent.size());
  EXPECT_TRUE(Until([&] { return descriptors->used() == 1; }));
  EXPECT_EQ(handed.size(), 2U);
}

TEST_F(ListenerTest, AnUnconsumedUploadIsReadToItsWindowWithoutBusyLoop) {
  takes = false;
  Client& client = Connect();
  const std::string sent = PostOfLength(8 << 20, 8 << 20);
  EXPECT_LT(SendAll(client, sent), sent.size());
  Settle();
  EXPECT_LE(budget->held(), http::kBufferLimit + runtime::ByteBudget::kMaxWindow);
  const auto waits = system_.waits;
  Settle();
  EXPECT_LE(system_.waits - waits, 2U);
  Leave(client, Way::kReset);
  Pass(milliseconds(100));
  EXPECT_TRUE(handed[0].disconnected);
}

}  // namespace
}  // namespace mothrack
