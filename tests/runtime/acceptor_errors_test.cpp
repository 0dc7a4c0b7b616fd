// Tests failures of accept(): errors of one client, a lack of descriptors, and lasting errors.
#include <cerrno>
#include <cstddef>

#include "runtime/acceptor_fixture.h"

namespace mothrack {
namespace {

TEST_F(AcceptorTest, AClientThatDisconnectedInTheBacklogBlocksNoOtherClient) {
  RunUntilIdle();
  faults.accept_failures = 1;
  faults.accept_errno = ECONNABORTED;
  faults.failure_drops_client = true;
  Connect();
  Connect();
  EXPECT_TRUE(Admits(1));
  RunUntilIdle();
  EXPECT_EQ(faults.blocking_polls, 0);
  EXPECT_EQ(admitted.size(), 1U);
}

// After an error that concerns one client or one call, accept() must be called again without a delay.
TEST_F(AcceptorTest, AnErrorOfOneClientOrAnInterruptionDelaysNoOtherClient) {
  for (const int error : {EINTR, ECONNABORTED, EPERM, EPROTO, ENETDOWN, ENOPROTOOPT, EHOSTDOWN, ENONET,
                          EHOSTUNREACH, EOPNOTSUPP, ENETUNREACH, ETIMEDOUT}) {
    const std::size_t admitted_before = admitted.size();
    RunUntilIdle();
    faults.accept_failures = 3;
    faults.accept_errno = error;
    faults.timer_sets = 0;
    Connect();
    EXPECT_TRUE(Admits(admitted_before + 1)) << error;
    EXPECT_EQ(faults.timer_sets, 0) << "accept() was delayed after error " << error;
  }
}

// If the next accept() after a failure succeeds, no connection is evicted. Each repeated failure evicts one.
TEST_F(AcceptorTest, OnlyALastingLackOfDescriptorsEvictsConnections) {
  for (const int error : {EMFILE, ENFILE, ENOMEM, ENOBUFS}) {
    const std::size_t admitted_before = admitted.size();
    RunUntilIdle();
    evicted = 0;
    faults.accept_errno = error;
    faults.accept_failures = 1;
    Connect();
    EXPECT_TRUE(Admits(admitted_before + 1)) << error;
    EXPECT_EQ(evicted, 0) << error;
    faults.accept_failures = 3;
    Connect();
    EXPECT_TRUE(Admits(admitted_before + 2)) << error;
    EXPECT_EQ(evicted, 2) << error;
  }
}

TEST_F(AcceptorTest, AcceptIsNotRetriedWithoutDelayForeverIfItAlwaysFails) {
  RunUntilIdle();
  faults.accept_failures = 1000;
  faults.accept_errno = ECONNABORTED;
  Connect();
  EXPECT_TRUE(Admits(1));  // after several delays
  EXPECT_EQ(faults.accept_failures, 0);
}

TEST_F(AcceptorTest, AWaitingClientIsAdmittedOnceDescriptorsAreFree) {
  for (const int error : {EMFILE, ENFILE, ENOMEM, ENOBUFS, ENETDOWN}) {
    const std::size_t admitted_before = admitted.size();
    RunUntilIdle();
    faults.accept_failures = 3;
    faults.accept_errno = error;
    Connect();
    EXPECT_TRUE(Admits(admitted_before + 1)) << error;
    EXPECT_EQ(faults.accept_failures, 0);
  }
}

}  // namespace
}  // namespace mothrack
