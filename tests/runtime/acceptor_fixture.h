// A fixture with an acceptor on a loopback socket. It injects faults into system calls: lost wake-ups,
// clients that disconnect in the backlog, and a lack of descriptors. acceptor_fixture.cpp replaces the system
// calls by wrappers, which inject the faults and otherwise call the real functions.
#pragma once

#include <sys/resource.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "gtest/gtest.h"
#include "runtime/acceptor.h"

namespace mothrack {

using boost::asio::ip::tcp;
using std::chrono::milliseconds;

// Faults to inject into the system calls on the listening socket, and observations of these calls.
struct SystemCallFaults {
  int listening = -1;                 // descriptor of the listening socket under test; -1 for none
  int accept_failures = 0;            // number of next accept() calls that fail with `accept_errno`
  int accept_errno = 0;               // errno of the calls that fail
  bool failure_drops_client = false;  // a failing accept() also removes the first client from the backlog
  rlim_t descriptor_limit = RLIM_INFINITY;    // during accept() only, because sanitizers need descriptors
  std::function<void()> after_failed_accept;  // called once, after the next accept() that fails in the kernel
  int suppressed_wakeups = 0;                 // number of next EPOLLIN events to suppress
  int blocking_polls = 0;           // number of poll() calls without a timeout, which fail with EINTR
  int poll_interrupts = 0;          // number of next poll() calls that fail with EINTR
  int timer_sets = 0;               // number of timerfd_settime() calls
  std::map<int, void*> epoll_data;  // epoll user data by descriptor
};
extern SystemCallFaults faults;

class AcceptorTest : public ::testing::Test, protected runtime::Acceptor::Owner {
 protected:
  AcceptorTest() { Start(false); }
  ~AcceptorTest() override { faults.listening = -1; }

  void Start(bool paused) {
    faults.listening = -1;
    faults.accept_failures = faults.suppressed_wakeups = 0;
    faults.failure_drops_client = false;
    faults.descriptor_limit = RLIM_INFINITY;
    faults.after_failed_accept = nullptr;
    faults.blocking_polls = faults.poll_interrupts = faults.timer_sets = 0;
    runtime::ListenOptions options(runtime::Endpoint(boost::asio::ip::make_address("127.0.0.1"), 0));
    options.paused = paused;
    acceptor.emplace(io, options, "", static_cast<runtime::Acceptor::Owner&>(*this), log);
    faults.listening = acceptor->native_handle();
  }

  bool HasCapacity() const override { return capacity > 0; }
  bool EvictOne() override {
    ++evicted;
    return false;
  }
  void Admit(tcp::socket socket) override {
    --capacity;
    admitted.push_back(std::move(socket));
  }

  // Connects a client, which then waits in the backlog.
  void Connect() {
    clients.emplace_back(clients_io);
    clients.back().connect(acceptor->local());
  }

  // Runs the event loop until `count` clients are admitted, for two seconds at most. Returns whether that
  // many are admitted.
  bool Admits(std::size_t count) {
    const auto give_up_at = std::chrono::steady_clock::now() + std::chrono::seconds(2);
    io.restart();
    while (admitted.size() < count && std::chrono::steady_clock::now() < give_up_at)
      io.run_one_for(milliseconds(20));
    return admitted.size() >= count;
  }
  // Runs the event loop until it has had nothing to do for 5 ms.
  void RunUntilIdle() {
    io.restart();
    while (io.run_one_for(milliseconds(5)) > 0) {
    }
  }

  int capacity = 1 << 30;
  int evicted = 0;  // number of EvictOne() calls
  runtime::Logger log{"t"};
  boost::asio::io_context clients_io;  // of the clients' sockets; never run
  boost::asio::io_context io{1};
  std::optional<runtime::Acceptor> acceptor;
  std::vector<tcp::socket> admitted;
  std::vector<tcp::socket> clients;
};

}  // namespace mothrack
