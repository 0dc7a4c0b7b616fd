// Tests closing the acceptor while clients wait in its backlog.
#include <boost/asio/ip/tcp.hpp>
#include <cerrno>

#include "runtime/acceptor_fixture.h"

namespace mothrack {
namespace {

TEST_F(AcceptorTest, AnInterruptedPollOfTheBacklogIsRepeatedBeforeTheClose) {
  RunUntilIdle();
  Connect();
  faults.poll_interrupts = 3;
  EXPECT_TRUE(acceptor->Close());
  EXPECT_EQ(admitted.size(), 1U);
  EXPECT_EQ(faults.poll_interrupts, 0);
}

// Whether the connection is open and has no data to read.
bool IsOpen(tcp::socket& client) {
  char byte = 0;
  boost::system::error_code error;
  client.non_blocking(true);
  client.read_some(boost::asio::buffer(&byte, 1), error);
  return error == boost::asio::error::would_block;
}

TEST_F(AcceptorTest, ClientsInTheBacklogAtCloseAreAdmittedEvenBehindADisconnectedOne) {
  RunUntilIdle();
  Connect();
  Connect();
  Connect();
  faults.accept_failures = 1;
  faults.accept_errno = ECONNABORTED;
  faults.failure_drops_client = true;
  EXPECT_TRUE(acceptor->Close());
  EXPECT_EQ(admitted.size(), 2U);
  EXPECT_EQ(faults.blocking_polls, 0);
  EXPECT_FALSE(acceptor->is_open());
}

// The process has used up its descriptors: clients in the backlog stay there until descriptors are free.
TEST_F(AcceptorTest, ClientsInTheBacklogAtCloseWithoutADescriptorAreNotReset) {
  RunUntilIdle();
  Connect();
  ASSERT_TRUE(Admits(1));
  Connect();
  Connect();
  faults.descriptor_limit = 3;  // all of them are used by the standard streams
  EXPECT_FALSE(acceptor->Close());
  RunUntilIdle();
  EXPECT_FALSE(acceptor->Close());
  EXPECT_TRUE(acceptor->is_open());
  EXPECT_EQ(admitted.size(), 1U);
  for (tcp::socket& client : clients) EXPECT_TRUE(IsOpen(client));
  // Descriptors are available again.
  faults.descriptor_limit = RLIM_INFINITY;
  EXPECT_TRUE(acceptor->Close());
  EXPECT_EQ(admitted.size(), 3U);
  for (tcp::socket& client : clients) EXPECT_TRUE(IsOpen(client));
}

TEST_F(AcceptorTest, ClientsInTheBacklogAtCloseWithoutCapacityAreAdmittedOnceThereIsSome) {
  RunUntilIdle();
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

}  // namespace
}  // namespace mothrack
