// Tests the estimate of a body's arrival as a plain value.
#include "http/upload_arrival.h"

#include <gtest/gtest.h>

#include <chrono>

namespace mothrack::http {
namespace {

using std::chrono::seconds;

constexpr runtime::TimePoint kBegin{seconds(100)};
constexpr std::uint64_t kSendBuffer = UploadArrival::kMaxSendBuffer;

class UploadArrivalTest : public ::testing::Test {
 protected:
  UploadArrivalTest() { arrival.Begin(0, kBegin); }
  UploadArrival arrival;
};

TEST_F(UploadArrivalTest, ABodyOfWhichNothingIsUnreadIsStillBeingSent) {
  arrival.Observe({5000, 0, std::nullopt}, kBegin + seconds(1));
  EXPECT_EQ(arrival.last_byte_at(), kBegin + seconds(1));
}

TEST_F(UploadArrivalTest, TheClientsTimeRunsWhileTheRestMayLieInTheBuffers) {
  arrival.Observe({5000, 1000, 1000 + kSendBuffer}, kBegin + seconds(1));
  arrival.Observe({6000, 1000, std::nullopt}, kBegin + seconds(2));
  EXPECT_EQ(arrival.last_byte_at(), kBegin);
}

// Guards against this failure: a body that was held back and then read to its end counted as arrived only
// then.
TEST_F(UploadArrivalTest, ABodyThatWasHeldBackCountsFromWhenItWasLastIncomplete) {
  arrival.OnComplete(kBegin + seconds(1));
  EXPECT_EQ(arrival.last_byte_at(), kBegin + seconds(1));
  arrival.OnHeldBack();
  arrival.OnComplete(kBegin + seconds(2));
  EXPECT_EQ(arrival.last_byte_at(), kBegin + seconds(1));
  arrival.Observe({5000, 0, std::nullopt}, kBegin + seconds(3));
  arrival.OnComplete(kBegin + seconds(4));
  EXPECT_EQ(arrival.last_byte_at(), kBegin + seconds(4));
}

TEST_F(UploadArrivalTest, ABodyThatTheBuffersCannotHoldIsStillBeingSent) {
  arrival.Observe({5000, 1000, 1001 + kSendBuffer}, kBegin + seconds(9));
  EXPECT_EQ(arrival.last_byte_at(), kBegin + seconds(9));
}

// A long body in chunks that its upstream takes fast must not be given up.
TEST_F(UploadArrivalTest, MoreBytesThanTheClientsBufferHoldsShowThatItWentOnSending) {
  arrival.Observe({kSendBuffer, 1000, std::nullopt}, kBegin + seconds(1));
  EXPECT_EQ(arrival.last_byte_at(), kBegin);
  arrival.Observe({2 * kSendBuffer - 1, 1000, std::nullopt}, kBegin + seconds(2));
  EXPECT_EQ(arrival.last_byte_at(), kBegin);
  arrival.Observe({2 * kSendBuffer, 1000, std::nullopt}, kBegin + seconds(3));
  EXPECT_EQ(arrival.last_byte_at(), kBegin + seconds(1));
}

}  // namespace
}  // namespace mothrack::http
