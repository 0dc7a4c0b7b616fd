// The listener on a loopback socket, between scripted clients and a scripted application. Time stands still
// unless a test advances it. The system calls are those of listener_fixture.cpp, which pass on to the real
// ones: a client can act between any two of them.
#pragma once

#include <poll.h>
#include <sys/ioctl.h>
#include <time.h>

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "gtest/gtest.h"
#include "http/listener.h"

namespace mothrack {

namespace beast_http = boost::beast::http;
using boost::asio::ip::tcp;
using boost::system::error_code;
using std::chrono::milliseconds;

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
};
extern System system_;

inline constexpr std::size_t kRoomy = 256;
inline constexpr std::size_t kTwoClients = runtime::Descriptors::kFixed + 4;  // each side has half

inline std::string Get(const std::string& target, const std::string& headers = "") {
  return "GET " + target + " HTTP/1.1\r\nHost: h\r\n" + headers + "\r\n";
}

inline std::string Post(const std::string& headers, const std::string& body) {
  return "POST /p HTTP/1.1\r\nHost: h\r\n" + headers + "\r\n" + body;
}

inline std::string PostOfLength(std::size_t length, std::size_t sent) {
  return Post("Content-Length: " + std::to_string(length) + "\r\n", std::string(sent, 'x'));
}

inline std::string Followers(std::size_t size) {
  std::string bytes;
  while (bytes.size() < size) bytes += Get("/follower");
  return bytes;
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

}  // namespace mothrack
