// Failures of accept(): errors of one client, exhausted descriptors, and lasting errors.
#include <cerrno>
#include <cstddef>

#include "runtime/acceptor_fixture.h"

namespace mothrack {
namespace {

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

// An error that concerns one client or one call must not delay other clients by a pause.
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

// If the next accept() after a failure succeeds, no connection is evicted. Each repeated failure evicts one.
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

TEST_F(AcceptorTest, AcceptIsNotRetriedForeverWhereItAlwaysFails) {
  Settle();
  system_.fails = 1000;
  system_.error = ECONNABORTED;
  Connect();
  EXPECT_TRUE(Admits(1));  // after several pauses
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

}  // namespace
}  // namespace mothrack
