// Fixture with an acceptor on a loopback socket and injected faults of system calls: lost wake-ups, clients
// that disconnect in the backlog, and exhausted descriptors. acceptor_fixture.cpp replaces the system calls
// by wrappers that inject the faults and otherwise call the real ones.
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

// Faults to inject for the listening socket under test, and observations of its system calls.
struct System {
  int listening = -1;
  int fails = 0;                        // number of next accept() calls that fail with `error`
  int error = 0;                        // errno of the calls that fail
  bool takes = false;                   // a failing accept() also removes the first client from the backlog
  rlim_t descriptors = RLIM_INFINITY;   // limit during accept() only, because sanitizers need descriptors
  std::function<void()> after_refusal;  // called once, after the next accept() that fails in the kernel
  int lost_wakes = 0;                   // number of next EPOLLIN events to suppress
  int blocked = 0;                      // number of poll() calls without a timeout, which fail with EINTR
  int interrupts = 0;                   // number of next poll() calls that fail with EINTR
  int timers = 0;                       // number of timerfd_settime() calls
  std::map<int, void*> registered;      // epoll user data by descriptor
};
extern System system_;

class AcceptorTest : public ::testing::Test, protected runtime::Acceptor::Owner {
 protected:
  AcceptorTest() { Start(false); }
  ~AcceptorTest() override { system_.listening = -1; }

  void Start(bool paused) {
    system_.listening = -1;
    system_.fails = system_.lost_wakes = 0;
    system_.takes = false;
    system_.descriptors = RLIM_INFINITY;
    system_.after_refusal = nullptr;
    system_.blocked = system_.interrupts = system_.timers = 0;
    runtime::ListenOptions options(runtime::Endpoint(boost::asio::ip::make_address("127.0.0.1"), 0));
    options.paused = paused;
    acceptor.emplace(io, options, "", static_cast<runtime::Acceptor::Owner&>(*this), log);
    system_.listening = acceptor->native_handle();
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
    clients.emplace_back(own);
    clients.back().connect(acceptor->local());
  }

  // Runs the event loop until `count` clients are admitted, for two seconds at most. Returns whether they
  // are.
  bool Admits(std::size_t count) {
    const auto until = std::chrono::steady_clock::now() + std::chrono::seconds(2);
    io.restart();
    while (admitted.size() < count && std::chrono::steady_clock::now() < until)
      io.run_one_for(milliseconds(20));
    return admitted.size() >= count;
  }
  // Runs the event loop until it has had nothing to do for 5 ms.
  void Settle() {
    io.restart();
    while (io.run_one_for(milliseconds(5)) > 0) {
    }
  }

  int capacity = 1 << 30;
  int evicted = 0;  // number of EvictOne() calls
  runtime::Logger log{"t"};
  boost::asio::io_context own;  // for the client sockets; never run
  boost::asio::io_context io{1};
  std::optional<runtime::Acceptor> acceptor;
  std::vector<tcp::socket> admitted;
  std::vector<tcp::socket> clients;
};

}  // namespace mothrack
