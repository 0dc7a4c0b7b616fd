// Tests pausing and resuming the acceptor.
#include <cerrno>
#include <functional>

#include "runtime/acceptor_fixture.h"

namespace mothrack {
namespace {

TEST_F(AcceptorTest, ClientsThatConnectDuringAPauseAreAdmittedAfterIt) {
  RunUntilIdle();
  acceptor->Pause();
  Connect();
  RunUntilIdle();
  acceptor->PollForMissedClients();
  RunUntilIdle();
  EXPECT_TRUE(admitted.empty());
  acceptor->Resume();
  EXPECT_TRUE(Admits(1));
}

TEST_F(AcceptorTest, RepeatedPauseAndResumeLeaveOneWait) {
  for (int i = 0; i < 50; ++i) {
    acceptor->Pause();
    acceptor->Resume();
  }
  Connect();
  EXPECT_TRUE(Admits(1));
  RunUntilIdle();
  // Each wait that ends calls accept() until the backlog is empty, so one wait causes exactly one failed
  // accept().
  int failed_accepts = 0;
  std::function<void()> count = [&] {
    ++failed_accepts;
    faults.after_failed_accept = count;
  };
  faults.after_failed_accept = count;
  Connect();
  EXPECT_TRUE(Admits(2));
  RunUntilIdle();
  faults.after_failed_accept = nullptr;
  EXPECT_EQ(failed_accepts, 1);
}

TEST_F(AcceptorTest, PausedAndResumedDuringALackOfDescriptorsItAdmitsTheClient) {
  RunUntilIdle();
  faults.accept_failures = 1;
  faults.accept_errno = EMFILE;
  Connect();
  RunUntilIdle();
  acceptor->Pause();
  acceptor->Resume();
  EXPECT_TRUE(Admits(1));
}

}  // namespace
}  // namespace mothrack
