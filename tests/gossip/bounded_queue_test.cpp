// Tests of the bounded queues between the gossip task and the event loop.
#include <poll.h>
#include <unistd.h>

#include <chrono>
#include <cstdint>
#include <thread>

#include "gossip/link.h"
#include "gtest/gtest.h"

namespace mothrack::gossip {
namespace {

using namespace std::chrono_literals;

TEST(BoundedQueue, DropsTheOldestAndCountsIt) {
  BoundedQueue<int> queue(3);
  for (int i = 0; i < 10; ++i) queue.Push(i);
  EXPECT_EQ(queue.dropped(), 7U);
  for (const int retained : {7, 8, 9}) EXPECT_EQ(queue.TryPop(), retained);
  EXPECT_FALSE(queue.TryPop());
}

TEST(BoundedQueue, SignalsOnceUntilTheReceiverWakes) {
  BoundedQueue<int> queue(8);
  const auto readable = [&] {
    pollfd awaited{queue.descriptor(), POLLIN, 0};
    return ::poll(&awaited, 1, 0) == 1;
  };
  EXPECT_FALSE(readable());
  for (int i = 0; i < 5; ++i) queue.Push(i);
  std::uint64_t writes = 0;
  ASSERT_EQ(::read(queue.descriptor(), &writes, sizeof writes), static_cast<ssize_t>(sizeof writes));
  EXPECT_EQ(writes, 1U);
  queue.ClearSignal();
  EXPECT_FALSE(readable());
  queue.Push(5);
  EXPECT_TRUE(readable());
}

// The receiver sleeps whenever the queue is empty. Every message must wake it, or be popped before it sleeps.
TEST(BoundedQueue, LosesNoWakeUpBetweenTwoThreads) {
  constexpr int kMessages = 200'000;
  BoundedQueue<int> queue(64);
  int received = 0, last = -1;
  bool is_ordered = true, missed_wake_up = false;
  std::thread receiver([&] {
    while (last != kMessages - 1) {
      pollfd awaited{queue.descriptor(), POLLIN, 0};
      if (::poll(&awaited, 1, 5000) == 0) {
        missed_wake_up = true;
        return;
      }
      queue.ClearSignal();
      while (const auto message = queue.TryPop()) {
        is_ordered = is_ordered && *message > last;
        last = *message;
        ++received;
      }
    }
  });
  for (int i = 0; i < kMessages; ++i) {
    queue.Push(i);
    if (i % 1000 == 0) std::this_thread::sleep_for(50us);  // so that the receiver falls asleep
  }
  receiver.join();
  EXPECT_FALSE(missed_wake_up);
  EXPECT_TRUE(is_ordered);
  EXPECT_EQ(received + static_cast<int>(queue.dropped()), kMessages);
}

}  // namespace
}  // namespace mothrack::gossip
