// Tests that the acceptor admits all clients even if wake-ups of the event loop are lost.
#include <cstddef>

#include "runtime/acceptor_fixture.h"

namespace mothrack {
namespace {

TEST_F(AcceptorTest, AdmitsAClientThatConnectsBetweenTheLastEagainAndTheWait) {
  RunUntilIdle();
  faults.after_failed_accept = [this] { Connect(); };
  Connect();
  EXPECT_TRUE(Admits(2));
  EXPECT_EQ(acceptor->missed_wakeups(), 0U);
}

TEST_F(AcceptorTest, APollFindsAClientThatTheEventLoopDidNotReport) {
  RunUntilIdle();
  faults.suppressed_wakeups = 1;
  Connect();
  RunUntilIdle();
  ASSERT_TRUE(admitted.empty());
  ASSERT_EQ(faults.suppressed_wakeups, 0);
  acceptor->PollForMissedClients();
  RunUntilIdle();
  EXPECT_EQ(admitted.size(), 1U);
  EXPECT_EQ(acceptor->missed_wakeups(), 1U);
  // Later clients are reported by the event loop as usual.
  Connect();
  EXPECT_TRUE(Admits(2));
  EXPECT_EQ(acceptor->missed_wakeups(), 1U);
}

TEST_F(AcceptorTest, AClientThatTheEventLoopIsAboutToReportIsNoMissedWakeUp) {
  RunUntilIdle();
  Connect();
  acceptor->PollForMissedClients();
  EXPECT_TRUE(Admits(1));
  RunUntilIdle();
  EXPECT_EQ(acceptor->missed_wakeups(), 0U);
}

TEST_F(AcceptorTest, APollOfAnEmptyBacklogFindsNothing) {
  RunUntilIdle();
  for (int i = 0; i < 10; ++i) acceptor->PollForMissedClients();
  RunUntilIdle();
  EXPECT_EQ(acceptor->missed_wakeups(), 0U);
  EXPECT_TRUE(admitted.empty());
}

// If every wake-up is lost, polls suffice to admit all clients, also one that had to wait for capacity.
TEST_F(AcceptorTest, PollsAdmitAllClientsIfEveryWakeUpIsLost) {
  RunUntilIdle();
  faults.suppressed_wakeups = 1 << 30;
  capacity = 0;
  Connect();
  RunUntilIdle();
  acceptor->PollForMissedClients();
  RunUntilIdle();
  EXPECT_TRUE(admitted.empty());
  capacity = 1 << 30;  // the retry timer is running because of the lack of capacity
  EXPECT_TRUE(Admits(1));
  for (std::size_t i = 2; i < 6; ++i) {
    Connect();
    acceptor->PollForMissedClients();
    EXPECT_TRUE(Admits(i));
  }
}

TEST_F(AcceptorTest, DeferredHandlersDoNotTouchADestroyedAcceptor) {
  RunUntilIdle();
  faults.suppressed_wakeups = 1;
  Connect();
  RunUntilIdle();
  acceptor->PollForMissedClients();
  faults.listening = -1;
  acceptor.reset();
  RunUntilIdle();
  EXPECT_TRUE(admitted.empty());
}

// Clients connect one after the other while the acceptor has nothing else to do.
TEST_F(AcceptorTest, TenThousandClientsInSequenceCauseNoMissedWakeUp) {
  constexpr std::size_t kClients = 10000;
  for (std::size_t i = 0; i < kClients; ++i) {
    Connect();
    ASSERT_TRUE(Admits(1)) << i;
    // Closes with a reset, so that no address stays in TIME_WAIT.
    admitted.back().set_option(boost::asio::socket_base::linger(true, 0));
    admitted.clear();
    clients.clear();
  }
  EXPECT_EQ(acceptor->missed_wakeups(), 0U);
}

}  // namespace
}  // namespace mothrack
