// Runs the listener on a loopback socket with scripted clients and a scripted request handler. The clock
// stands still unless a test advances it. listener_fixture.cpp wraps system calls, so that a test can let a
// client act between two of them.
#pragma once

#include <linux/sockios.h>
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

// Hooks into the wrapped system calls, and what these observed.
struct InterceptedCalls {
  std::optional<timespec> now;  // time of the steady clock
  int listening = -1;           // descriptor of the listening socket; -1 for none
  std::vector<int> accepted;    // descriptors that the listener accepted, in order
  int watched = -1;             // descriptor whose next shutdown() or close() calls the two hooks below
  Hook before_end;              // called once, then cleared
  Hook after_end;               // called once, then cleared
  Hook after_wake;          // called once, after epoll_wait() reports events and before their handlers run
  std::uint64_t waits = 0;  // number of epoll_wait() calls
};
extern InterceptedCalls intercepted_calls;

inline constexpr std::size_t kManyDescriptors = 256;
// Of the 4 descriptors, half are for client connections and half for upstream connections.
inline constexpr std::size_t kDescriptorsForTwoClients = runtime::Descriptors::kFixed + 4;

inline std::string Get(const std::string& target, const std::string& headers = "") {
  return "GET " + target + " HTTP/1.1\r\nHost: h\r\n" + headers + "\r\n";
}

inline std::string Post(const std::string& headers, const std::string& body) {
  return "POST /p HTTP/1.1\r\nHost: h\r\n" + headers + "\r\n" + body;
}

inline std::string PostOfLength(std::size_t length, std::size_t sent) {
  return Post("Content-Length: " + std::to_string(length) + "\r\n", std::string(sent, 'x'));
}

inline std::string PipelinedRequests(std::size_t size) {
  std::string bytes;
  while (bytes.size() < size) bytes += Get("/follower");
  return bytes;
}

class ListenerTest : public ::testing::Test {
 protected:
  ListenerTest() { Listen(kManyDescriptors); }
  ~ListenerTest() override {
    intercepted_calls.listening = intercepted_calls.watched = -1;
    intercepted_calls.before_end = intercepted_calls.after_end = intercepted_calls.after_wake = nullptr;
  }

  // One request passed to the handler, and the notifications about it since.
  struct ForwardedRequest {
    std::string target;
    std::string body;
    http::ReplyCallback reply;
    http::StreamedBody streamed_body;
    http::RequestMemory memory;
    bool disconnected = false;
    bool complete = false;
  };

  struct Client {
    explicit Client(boost::asio::io_context& io) : socket(io) {}
    tcp::socket socket;
    int server = -1;  // the listener's descriptor for this client
    std::string received;
    error_code end;
  };

  void Listen(std::size_t sockets, std::size_t budget_bytes = 1 << 20) {
    listener.reset();
    forwarded.clear();
    descriptors.emplace(sockets);
    budget.emplace(budget_bytes);
    const runtime::ListenOptions options(runtime::Endpoint(boost::asio::ip::make_address("127.0.0.1"), 0));
    listener.emplace(io, options, *descriptors, *budget, log,
                     http::DeadlineRange{std::chrono::seconds(5), longest_deadline},
                     [this](http::HttpRequest request, http::StreamedBody streamed_body,
                            http::RequestMemory memory, http::ReplyCallback reply) {
                       return HandleRequest(std::move(request), std::move(streamed_body), std::move(memory),
                                            std::move(reply));
                     });
    intercepted_calls.listening = listener->native_handle();
  }

  http::RequestObserver HandleRequest(http::HttpRequest request, http::StreamedBody streamed_body,
                                      http::RequestMemory memory, http::ReplyCallback reply) {
    ForwardedRequest& forwarded_request = forwarded.emplace_back();
    forwarded_request.target = std::string(request.target());
    forwarded_request.body = request.body();
    forwarded_request.streamed_body = streamed_body;
    forwarded_request.memory = std::move(memory);
    forwarded_request.reply = std::move(reply);
    if (streamed_body && consumes_bodies) {
      streamed_body.stream->BeginConsuming();
      const auto consume = [&forwarded_request, stream = streamed_body.stream.get()] {
        forwarded_request.body += stream->Ready();
        stream->Consume(stream->Ready().size());
      };
      streamed_body.stream->on_bytes = consume;
    }
    if (replies_at_once && !streamed_body) Reply(forwarded_request);
    return {[&forwarded_request] { forwarded_request.disconnected = true; },
            [this, &forwarded_request](runtime::TimePoint) {
              forwarded_request.complete = true;
              if (replies_at_once) Reply(forwarded_request);
            }};
  }

  void Reply(ForwardedRequest& forwarded_request) {
    http::HttpResponse response(beast_http::status::ok, 11);
    response.body() = "answer " + forwarded_request.target + std::string(extra_response_bytes, '.');
    std::exchange(forwarded_request.reply, nullptr)(std::move(response), {});
  }

  // Runs the event loop until no handler is ready.
  void RunUntilIdle() {
    io.restart();
    while (io.poll() > 0) {
    }
  }

  // Waits until the condition holds, at most 20 s of real time. Runs the event loop meanwhile if `running`.
  bool WaitUntil(const std::function<bool()>& condition, bool running = true) {
    const auto give_up_at = std::chrono::system_clock::now() + std::chrono::seconds(20);
    while (true) {
      if (running) RunUntilIdle();
      if (condition()) return true;
      if (std::chrono::system_clock::now() > give_up_at) return false;
      ::poll(nullptr, 0, 1);
    }
  }

  // Advances the clock in steps and runs the event loop after each.
  void AdvanceTime(runtime::Duration by, runtime::Duration step = milliseconds(5)) {
    for (; by > runtime::Duration::zero(); by -= step) JumpTime(std::min(by, step));
  }
  // Advances the clock at once and runs the event loop.
  void JumpTime(runtime::Duration by) {
    const long nanoseconds = intercepted_calls.now->tv_nsec + std::chrono::nanoseconds(by).count();
    intercepted_calls.now->tv_sec += nanoseconds / 1000000000;
    intercepted_calls.now->tv_nsec = nanoseconds % 1000000000;
    // The event loop reads the clock again when a timer is set that is earlier than all others.
    bool woken = false;
    boost::asio::steady_timer waker(io, std::chrono::steady_clock::time_point());
    waker.async_wait([&](error_code) { woken = true; });
    ASSERT_TRUE(WaitUntil([&] { return woken; }));
    RunUntilIdle();
  }

  // Connects a client and waits until the listener has accepted it.
  Client& Connect(bool small_receive_buffer = false) {
    Client& client = ConnectToBacklog(small_receive_buffer);
    const std::size_t before = intercepted_calls.accepted.size();
    EXPECT_TRUE(WaitUntil([&] { return intercepted_calls.accepted.size() > before; }));
    client.server = intercepted_calls.accepted.back();
    return client;
  }
  // Connects the client only as far as the listen backlog. With `small_receive_buffer`, its receive buffer is
  // small, so that little of a response reaches it before it reads.
  Client& ConnectToBacklog(bool small_receive_buffer = false) {
    Client& client = clients.emplace_back(clients_io);
    client.socket.open(tcp::v4());
    if (small_receive_buffer) client.socket.set_option(boost::asio::socket_base::receive_buffer_size(4096));
    client.socket.connect(listener->local());
    pollfd listening{intercepted_calls.listening, POLLIN, 0};
    EXPECT_EQ(::poll(&listening, 1, 20000), 1);
    client.socket.non_blocking(true);
    return client;
  }

  // Returns the number of bytes from the client that the listener has not read.
  static std::size_t Unread(const Client& client) {
    int size = 0;
    return ::ioctl(client.server, FIONREAD, &size) == 0 ? static_cast<std::size_t>(size) : 0;
  }

  // Sends as much as the socket accepts and returns its size. The bytes are then in the receive buffer of the
  // listener's socket, and the listener has not read them.
  std::size_t Send(Client& client, const std::string& bytes) {
    const std::size_t before = Unread(client);
    error_code error;
    const std::size_t size = client.socket.write_some(boost::asio::buffer(bytes), error);
    EXPECT_TRUE(WaitUntil([&] { return Unread(client) >= before + size; }, false));
    return size;
  }

  // Sends while the listener reads. Returns the number of bytes sent: fewer than given if the listener stops
  // reading.
  std::size_t SendAll(Client& client, const std::string& bytes) {
    std::size_t sent = 0;
    for (int blocked_writes = 0; sent < bytes.size() && blocked_writes < 200;) {
      error_code error;
      // Written in small parts, because the kernel accounts a large one as buffered until all of it is read.
      const auto remaining =
          boost::asio::buffer(&bytes[sent], std::min<std::size_t>(bytes.size() - sent, 8192));
      const std::size_t size = client.socket.write_some(remaining, error);
      if (error && error != boost::asio::error::would_block) break;
      blocked_writes = size == 0 ? blocked_writes + 1 : 0;
      sent += size;
      if (size == 0) ::poll(nullptr, 0, 1);
      RunUntilIdle();
    }
    AwaitDelivery(client);
    return sent;
  }

  // Waits until the other side's kernel has what was written, if it takes that at all: the tests' clock moves
  // on faster than the network.
  void AwaitDelivery(Client& client) {
    int undelivered = 1;
    for (int i = 0; i < 200 && undelivered > 0; ++i) {
      if (::ioctl(client.socket.native_handle(), SIOCOUTQ, &undelivered) != 0) return;
      if (undelivered > 0) ::poll(nullptr, 0, 1);
      RunUntilIdle();
    }
  }

  enum class DisconnectKind { kClose, kReset };
  // Disconnects the client and waits until the listener's kernel socket has seen it.
  void Disconnect(Client& client, DisconnectKind disconnect_kind) {
    if (disconnect_kind == DisconnectKind::kReset)
      client.socket.set_option(boost::asio::socket_base::linger(true, 0));
    client.socket.close();
    EXPECT_TRUE(WaitUntil(
        [&] {
          pollfd server{client.server, POLLRDHUP, 0};
          return ::poll(&server, 1, 0) == 1;
        },
        false));
  }

  // Returns all bytes that the client has received so far.
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
  // Whether the client receives bytes that contain `part`.
  bool Receives(Client& client, const std::string& part) {
    return WaitUntil([&] { return Receive(client).find(part) != std::string::npos; });
  }
  // Whether the connection ends with a FIN. A reset could destroy the last bytes of a response.
  bool Ends(Client& client) {
    return WaitUntil([&] { return Receive(client), client.end.failed(); }) &&
           client.end == boost::asio::error::eof;
  }
  bool AllClosed() {
    return WaitUntil([&] { return descriptors->used() == 0; });
  }

  bool replies_at_once = true;  // the handler replies as soon as the request is complete
  bool consumes_bodies = true;  // the handler consumes bodies that are still arriving
  std::size_t extra_response_bytes = 0;
  runtime::Duration longest_deadline = std::chrono::seconds(5);  // takes effect in Listen()
  runtime::Logger log{"t"};
  boost::asio::io_context clients_io;  // of the clients' sockets; never run
  boost::asio::io_context io{1};
  std::optional<runtime::Descriptors> descriptors;
  std::optional<runtime::MemoryBudget> budget;
  std::deque<ForwardedRequest> forwarded;
  std::optional<http::Listener> listener;
  std::deque<Client> clients;
  int drains_ended = 0;  // number of calls of Drain()'s callback
};

}  // namespace mothrack
