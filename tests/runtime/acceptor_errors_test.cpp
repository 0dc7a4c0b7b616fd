// The acceptor where accept fails: by a client, by lack of descriptors, for long.
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

}  // namespace
}  // namespace mothrack
