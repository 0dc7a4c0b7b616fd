// The acceptor on a loopback socket of its own, with a system that errs on demand: wake-ups that get lost,
// clients that left ahead of their turn, no descriptor left. The system's calls are the test's own here, and
// pass on to the real ones.
#include "runtime/acceptor.h"

#include <dlfcn.h>
#include <poll.h>
#include <sys/epoll.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/timerfd.h>
#include <unistd.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cerrno>
#include <chrono>
#include <functional>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "gtest/gtest.h"

namespace {

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
} system_;

template <typename F>
F* Next(const char* name) {
  return reinterpret_cast<F*>(::dlsym(RTLD_NEXT, name));
}

}  // namespace

extern "C" int accept(int fd, sockaddr* from, socklen_t* size) {
  static const auto next = Next<int(int, sockaddr*, socklen_t*)>("accept");
  if (fd == system_.listening && system_.fails > 0) {
    --system_.fails;
    if (system_.takes) ::close(next(fd, from, size));
    errno = system_.error;
    return -1;
  }
  rlimit usual{};
  const bool limited = fd == system_.listening && system_.descriptors != RLIM_INFINITY;
  if (limited) {
    ::getrlimit(RLIMIT_NOFILE, &usual);
    const rlimit few{system_.descriptors, usual.rlim_max};
    ::setrlimit(RLIMIT_NOFILE, &few);
  }
  const int accepted = next(fd, from, size);
  if (limited) {
    const int error = errno;
    ::setrlimit(RLIMIT_NOFILE, &usual);
    errno = error;
  }
  if (fd == system_.listening && accepted < 0 && system_.after_refusal) {
    const int error = errno;
    std::exchange(system_.after_refusal, nullptr)();
    errno = error;
  }
  return accepted;
}

extern "C" int poll(pollfd* fds, nfds_t count, int timeout) {
  static const auto next = Next<int(pollfd*, nfds_t, int)>("poll");
  if (timeout < 0 && count == 1 && fds->fd == system_.listening) {
    ++system_.blocked;
    errno = EINTR;
    return -1;
  }
  if (system_.interrupts > 0 && count == 1 && fds->fd == system_.listening) {
    --system_.interrupts;
    errno = EINTR;
    return -1;
  }
  return next(fds, count, timeout);
}

extern "C" int timerfd_settime(int fd, int flags, const itimerspec* value, itimerspec* old) noexcept {
  static const auto next = Next<int(int, int, const itimerspec*, itimerspec*)>("timerfd_settime");
  ++system_.timers;
  return next(fd, flags, value, old);
}

extern "C" int epoll_ctl(int epoll, int what, int fd, epoll_event* event) {
  static const auto next = Next<int(int, int, int, epoll_event*)>("epoll_ctl");
  if (event != nullptr) system_.registered[fd] = event->data.ptr;
  return next(epoll, what, fd, event);
}

extern "C" int epoll_wait(int epoll, epoll_event* events, int most, int timeout) {
  static const auto next = Next<int(int, epoll_event*, int, int)>("epoll_wait");
  const int notified = next(epoll, events, most, timeout);
  int retained = 0;
  for (int i = 0; i < notified; ++i) {
    const auto listening = system_.registered.find(system_.listening);
    if (system_.lost_wakes > 0 && listening != system_.registered.end() &&
        events[i].data.ptr == listening->second && (events[i].events & EPOLLIN) != 0) {
      --system_.lost_wakes;
      continue;
    }
    events[retained++] = events[i];
  }
  return retained;
}

namespace mothrack {
namespace {

using boost::asio::ip::tcp;
using std::chrono::milliseconds;

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

TEST_F(AcceptorTest, AdmitsAClientThatConnectsBetweenTheLastEagainAndTheWait) {
  Settle();
  system_.after_refusal = [this] { Connect(); };
  Connect();
  EXPECT_TRUE(Admits(2));
  EXPECT_EQ(acceptor->missed_wakeups(), 0U);
}

TEST_F(AcceptorTest, APollFindsAClientThatTheEventLoopDidNotReport) {
  Settle();
  system_.lost_wakes = 1;
  Connect();
  Settle();
  ASSERT_TRUE(admitted.empty());
  ASSERT_EQ(system_.lost_wakes, 0);
  acceptor->PollForMissedClients();
  Settle();
  EXPECT_EQ(admitted.size(), 1U);
  EXPECT_EQ(acceptor->missed_wakeups(), 1U);
  // And from then on as ever.
  Connect();
  EXPECT_TRUE(Admits(2));
  EXPECT_EQ(acceptor->missed_wakeups(), 1U);
}

TEST_F(AcceptorTest, APollLeavesToTheEventLoopWhatItIsAboutToReport) {
  Settle();
  Connect();
  acceptor->PollForMissedClients();
  EXPECT_TRUE(Admits(1));
  Settle();
  EXPECT_EQ(acceptor->missed_wakeups(), 0U);
}

TEST_F(AcceptorTest, APollOfAnEmptyQueueFindsNothing) {
  Settle();
  for (int i = 0; i < 10; ++i) acceptor->PollForMissedClients();
  Settle();
  EXPECT_EQ(acceptor->missed_wakeups(), 0U);
  EXPECT_TRUE(admitted.empty());
}

// With every wake-up lost, looks alone serve all, also those that found no room at first.
TEST_F(AcceptorTest, PollsServeAllClientsWhereEveryWakeUpIsLost) {
  Settle();
  system_.lost_wakes = 1 << 30;
  capacity = 0;
  Connect();
  Settle();
  acceptor->PollForMissedClients();
  Settle();
  EXPECT_TRUE(admitted.empty());
  capacity = 1 << 30;  // the pause for want of room ends by a timer
  EXPECT_TRUE(Admits(1));
  for (std::size_t i = 2; i < 6; ++i) {
    Connect();
    acceptor->PollForMissedClients();
    EXPECT_TRUE(Admits(i));
  }
}

TEST_F(AcceptorTest, AClientThatDisconnectedInTheQueueBlocksNobody) {
  Settle();
  system_.fails = 1;
  system_.error = ECONNABORTED;
  system_.takes = true;
  Connect();
  Connect();
  EXPECT_TRUE(Admits(1));
  Settle();
  EXPECT_EQ(system_.blocked, 0);
  EXPECT_EQ(admitted.size(), 1U);
}

// What befell one client, or one call, is no reason to keep the others waiting.
TEST_F(AcceptorTest, AnErrorOfOneClientOrAnInterruptionDelaysNobody) {
  for (const int error : {EINTR, ECONNABORTED, EPERM, EPROTO, ENETDOWN, ENOPROTOOPT, EHOSTDOWN, ENONET,
                          EHOSTUNREACH, EOPNOTSUPP, ENETUNREACH, ETIMEDOUT}) {
    const std::size_t before = admitted.size();
    Settle();
    system_.fails = 3;
    system_.error = error;
    system_.timers = 0;
    Connect();
    EXPECT_TRUE(Admits(before + 1)) << error;
    EXPECT_EQ(system_.timers, 0) << "a pause, with error " << error;
  }
}

// A lack that is over at the next call closes nobody's connection; one that lasts does.
TEST_F(AcceptorTest, OnlyALastingLackOfDescriptorsEvictsOthers) {
  for (const int error : {EMFILE, ENFILE, ENOMEM, ENOBUFS}) {
    const std::size_t before = admitted.size();
    Settle();
    evicted = 0;
    system_.error = error;
    system_.fails = 1;
    Connect();
    EXPECT_TRUE(Admits(before + 1)) << error;
    EXPECT_EQ(evicted, 0) << error;
    system_.fails = 3;
    Connect();
    EXPECT_TRUE(Admits(before + 2)) << error;
    EXPECT_EQ(evicted, 2) << error;
  }
}

TEST_F(AcceptorTest, AnInterruptedPollOfTheQueueIsRepeatedAheadOfTheClose) {
  Settle();
  Connect();
  system_.interrupts = 3;
  EXPECT_TRUE(acceptor->Close());
  EXPECT_EQ(admitted.size(), 1U);
  EXPECT_EQ(system_.interrupts, 0);
}

TEST_F(AcceptorTest, AcceptIsNotRetriedForeverWhereItAlwaysFails) {
  Settle();
  system_.fails = 1000;
  system_.error = ECONNABORTED;
  Connect();
  EXPECT_TRUE(Admits(1));  // after some pauses
  EXPECT_EQ(system_.fails, 0);
}

TEST_F(AcceptorTest, AdmitsOnceDescriptorsAreFreeWithoutAFurtherClient) {
  for (const int error : {EMFILE, ENFILE, ENOMEM, ENOBUFS, ENETDOWN}) {
    const std::size_t before = admitted.size();
    Settle();
    system_.fails = 3;
    system_.error = error;
    Connect();
    EXPECT_TRUE(Admits(before + 1)) << error;
    EXPECT_EQ(system_.fails, 0);
  }
}

TEST_F(AcceptorTest, ClientsQueuedDuringAPauseAreAdmittedAfterIt) {
  Settle();
  acceptor->Pause();
  Connect();
  Settle();
  acceptor->PollForMissedClients();
  Settle();
  EXPECT_TRUE(admitted.empty());
  acceptor->Resume();
  EXPECT_TRUE(Admits(1));
}

TEST_F(AcceptorTest, ResumedAtOnceRegistersOneWait) {
  for (int i = 0; i < 50; ++i) {
    acceptor->Pause();
    acceptor->Resume();
  }
  Connect();
  EXPECT_TRUE(Admits(1));
  Settle();
  // Each wait that ends asks once more whether somebody waits: one wait, one refusal.
  int refusals = 0;
  std::function<void()> count = [&] {
    ++refusals;
    system_.after_refusal = count;
  };
  system_.after_refusal = count;
  Connect();
  EXPECT_TRUE(Admits(2));
  Settle();
  system_.after_refusal = nullptr;
  EXPECT_EQ(refusals, 1);
}

TEST_F(AcceptorTest, PausedWithoutDescriptorsItAdmitsAfterBoth) {
  Settle();
  system_.fails = 1;
  system_.error = EMFILE;
  Connect();
  Settle();
  acceptor->Pause();
  acceptor->Resume();
  EXPECT_TRUE(Admits(1));
}

TEST_F(AcceptorTest, ClientsQueuedAtCloseAreAdmittedEvenBehindADisconnectedOne) {
  Settle();
  Connect();
  Connect();
  Connect();
  system_.fails = 1;
  system_.error = ECONNABORTED;
  system_.takes = true;
  EXPECT_TRUE(acceptor->Close());
  EXPECT_EQ(admitted.size(), 2U);
  EXPECT_EQ(system_.blocked, 0);
  EXPECT_FALSE(acceptor->is_open());
}

// Reads nothing, and the connection stands.
bool IsOpen(tcp::socket& client) {
  char byte = 0;
  boost::system::error_code error;
  client.non_blocking(true);
  client.read_some(boost::asio::buffer(&byte, 1), error);
  return error == boost::asio::error::would_block;
}

// The process has as many descriptors as it may: those that wait are kept waiting until others have ended.
TEST_F(AcceptorTest, ClientsQueuedAtCloseWithoutADescriptorAreNotReset) {
  Settle();
  Connect();
  ASSERT_TRUE(Admits(1));
  Connect();
  Connect();
  system_.descriptors = 3;  // the standard streams have these
  EXPECT_FALSE(acceptor->Close());
  Settle();
  EXPECT_FALSE(acceptor->Close());
  EXPECT_TRUE(acceptor->is_open());
  EXPECT_EQ(admitted.size(), 1U);
  for (tcp::socket& client : clients) EXPECT_TRUE(IsOpen(client));
  // There are some again.
  system_.descriptors = RLIM_INFINITY;
  EXPECT_TRUE(acceptor->Close());
  EXPECT_EQ(admitted.size(), 3U);
  for (tcp::socket& client : clients) EXPECT_TRUE(IsOpen(client));
}

TEST_F(AcceptorTest, ClientsQueuedAtCloseWithoutCapacityAreAdmittedOnceThereIsSome) {
  Settle();
  Connect();
  ASSERT_TRUE(Admits(1));
  Connect();
  Connect();
  capacity = 0;
  EXPECT_FALSE(acceptor->Close());
  EXPECT_EQ(admitted.size(), 1U);
  capacity = 1;
  EXPECT_FALSE(acceptor->Close());
  EXPECT_EQ(admitted.size(), 2U);
  EXPECT_TRUE(IsOpen(clients[2]));
  capacity = 1;
  EXPECT_TRUE(acceptor->Close());
  EXPECT_EQ(admitted.size(), 3U);
  EXPECT_TRUE(IsOpen(clients[2]));
}

TEST_F(AcceptorTest, DeferredHandlersDoNotTouchADestroyedAcceptor) {
  Settle();
  system_.lost_wakes = 1;
  Connect();
  Settle();
  acceptor->PollForMissedClients();
  system_.listening = -1;
  acceptor.reset();
  Settle();
  EXPECT_TRUE(admitted.empty());
}

// One client after the other, each alone with an acceptor that has nothing else to do.
TEST_F(AcceptorTest, TenThousandSingleClientsInSequence) {
  constexpr std::size_t kClients = 10000;
  for (std::size_t i = 0; i < kClients; ++i) {
    Connect();
    ASSERT_TRUE(Admits(1)) << i;
    // Reset, so that no address is held for long.
    admitted.back().set_option(boost::asio::socket_base::linger(true, 0));
    admitted.clear();
    clients.clear();
  }
  EXPECT_EQ(acceptor->missed_wakeups(), 0U);
}

}  // namespace
}  // namespace mothrack
