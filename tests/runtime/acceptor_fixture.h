// An acceptor on a loopback socket of its own, with a system that errs on demand: lost wake-ups, clients that
// disconnect in the queue, no descriptor left. The system calls are those of acceptor_fixture.cpp, which pass
// on to the real ones.
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

// What the system does to the one listening socket under test.
struct System {
  int listening = -1;
  int fails = 0;                        // of the next calls of accept
  int error = 0;                        // with this
  bool takes = false;                   // and the client at the head of the queue is gone then
  rlim_t descriptors = RLIM_INFINITY;   // the limit while it accepts: the sanitizers need some at other times
  std::function<void()> after_refusal;  // once, when accept has found nobody
  int lost_wakes = 0;                   // of the next that tell of a client
  int blocked = 0;                      // calls that would have waited without an end
  int interrupts = 0;                   // of the next looks at its queue
  int timers = 0;                       // set by the event loop
  std::map<int, void*> registered;      // with epoll, by descriptor
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
    runtime::ListenOn where(runtime::Endpoint(boost::asio::ip::make_address("127.0.0.1"), 0));
    where.paused = paused;
    acceptor.emplace(io, where, "", static_cast<runtime::Acceptor::Owner&>(*this), log);
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

  // A client that connects, and waits.
  void Connect() {
    clients.emplace_back(own);
    clients.back().connect(acceptor->local());
  }

  // Runs the event loop, as long as it takes for so many clients to be admitted, two seconds at most.
  bool Admits(std::size_t count) {
    const auto until = std::chrono::steady_clock::now() + std::chrono::seconds(2);
    io.restart();
    while (admitted.size() < count && std::chrono::steady_clock::now() < until)
      io.run_one_for(milliseconds(20));
    return admitted.size() >= count;
  }
  // Lets the event loop do what is to be done by now.
  void Settle() {
    io.restart();
    while (io.run_one_for(milliseconds(5)) > 0) {
    }
  }

  int capacity = 1 << 30;
  int evicted = 0;  // calls
  runtime::Logger log{"t"};
  boost::asio::io_context own;  // of the clients: never run
  boost::asio::io_context io{1};
  std::optional<runtime::Acceptor> acceptor;
  std::vector<tcp::socket> admitted;
  std::vector<tcp::socket> clients;
};

}  // namespace mothrack
