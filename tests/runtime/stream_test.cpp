// Tests a body stream: its window, consuming it again from the first byte, and abandoning it.
#include "runtime/stream.h"

#include <memory>
#include <string>
#include <vector>

#include "gtest/gtest.h"

namespace mothrack {
namespace {

TEST(Stream, BuffersNoMoreThanItsWindowAndNotifiesBothSides) {
  runtime::ByteBudget budget(64 * 1024);
  runtime::Stream stream(budget, 0);
  int capacity_events = 0;
  int bytes_events = 0;
  stream.on_capacity = [&] { ++capacity_events; };
  stream.on_bytes = [&] { ++bytes_events; };
  ASSERT_TRUE(stream.BeginConsuming());
  EXPECT_EQ(stream.Capacity(), 64U * 1024);
  stream.Append(std::string(64 * 1024, 'a'));
  EXPECT_EQ(stream.Capacity(), 0U);
  EXPECT_EQ(bytes_events, 1);
  stream.Consume(40 * 1024);
  EXPECT_EQ(capacity_events, 1);
  EXPECT_EQ(stream.Capacity(), 40U * 1024);
  EXPECT_EQ(budget.buffered(), 24U * 1024);
  {
    // The budget is shared evenly among open streams, with a minimum window for each.
    std::vector<std::unique_ptr<runtime::Stream>> others;
    for (int i = 0; i < 9; ++i) others.push_back(std::make_unique<runtime::Stream>(budget, 0));
    EXPECT_EQ(others[0]->Capacity(), runtime::ByteBudget::kMinWindow);
  }
  stream.Append("end");
  stream.End(runtime::Stream::State::kComplete);
  EXPECT_FALSE(stream.done());
  stream.Consume(24 * 1024);
  EXPECT_EQ(stream.Ready(), "end");
  stream.Consume(3);
  EXPECT_TRUE(stream.done());
  EXPECT_EQ(budget.buffered(), 0U);
}

TEST(Stream, CanBeConsumedAgainOnlyWhileAllIsBuffered) {
  runtime::ByteBudget budget(1024 * 1024);
  runtime::Stream stream(budget, 100);
  ASSERT_TRUE(stream.BeginConsuming());
  stream.Append(std::string(60, 'a'));
  stream.Consume(60);
  EXPECT_FALSE(stream.BeginConsuming());  // there is a consumer already
  stream.StopConsuming();
  ASSERT_TRUE(stream.BeginConsuming());
  EXPECT_EQ(stream.Ready(), std::string(60, 'a'));
  stream.Consume(60);
  stream.Append(std::string(60, 'b'));
  EXPECT_EQ(stream.Ready(), std::string(60, 'b'));
  stream.StopConsuming();
  EXPECT_FALSE(stream.BeginConsuming());
}

TEST(Stream, BytesThatArriveAfterAnAbandonAreDropped) {
  runtime::ByteBudget budget(1024 * 1024);
  runtime::Stream stream(budget, 1000);
  ASSERT_TRUE(stream.BeginConsuming());
  stream.Append("some");
  stream.Abandon();
  for (int i = 0; i < 100; ++i) {
    ASSERT_GT(stream.Capacity(), 0U);
    stream.Append(std::string(10000, 'x'));
  }
  EXPECT_EQ(budget.buffered(), 0U);
}

}  // namespace
}  // namespace mothrack
