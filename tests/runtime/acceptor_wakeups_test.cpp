// The acceptor where wake-ups of the event loop are lost.
#include <cstddef>

#include "runtime/acceptor_fixture.h"

namespace mothrack {
namespace {

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
