// Pausing and resuming the acceptor.
#include <cerrno>
#include <functional>

#include "runtime/acceptor_fixture.h"

namespace mothrack {
namespace {

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
  // Each wait that ends calls accept() until none is queued, so one wait means exactly one refusal.
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

}  // namespace
}  // namespace mothrack
