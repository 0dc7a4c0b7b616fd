// Tests a body stream: its window, consuming it again from the first byte, and abandoning it.
#include "runtime/stream.h"

#include <algorithm>
#include <cstddef>
#include <memory>
#include <string>
#include <vector>

#include "gtest/gtest.h"

namespace mothrack {
namespace {

TEST(Stream, BuffersNoMoreThanItsWindowAndNotifiesBothSides) {
  // Two thirds of it are for streams.
  runtime::MemoryBudget budget(96 * 1024);
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
  EXPECT_EQ(stream.Ready().size(), 24U * 1024);
  EXPECT_EQ(budget.used(), 64U * 1024);  // the whole storage, not only the bytes in it
  {
    // The budget is shared evenly among open streams, with a minimum window for each.
    std::vector<std::unique_ptr<runtime::Stream>> others;
    for (int i = 0; i < 9; ++i) others.push_back(std::make_unique<runtime::Stream>(budget, 0));
    EXPECT_EQ(others[0]->Capacity(), runtime::MemoryBudget::kMinWindow);
  }
  stream.Append("end");
  stream.End(runtime::Stream::State::kComplete);
  EXPECT_FALSE(stream.done());
  stream.Consume(24 * 1024);
  EXPECT_EQ(stream.Ready(), "end");
  stream.Consume(3);
  EXPECT_TRUE(stream.done());
  EXPECT_EQ(budget.used(), runtime::MemoryBudget::kMinWindow);
}

TEST(Stream, CanBeConsumedAgainOnlyWhileAllIsBuffered) {
  runtime::MemoryBudget budget(1024 * 1024);
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
  runtime::MemoryBudget budget(1024 * 1024);
  runtime::Stream stream(budget, 1000);
  ASSERT_TRUE(stream.BeginConsuming());
  stream.Append("some");
  stream.Abandon();
  for (int i = 0; i < 100; ++i) {
    ASSERT_GT(stream.Capacity(), 0U);
    stream.Append(std::string(10000, 'x'));
  }
  EXPECT_EQ(stream.Ready(), "");
  EXPECT_EQ(budget.used(), runtime::MemoryBudget::kMinWindow);
}

// Guards against this failure: the budget counted the bytes in a buffer, not the storage that the buffer had
// allocated for them.
TEST(Stream, TheBudgetCountsTheStorage) {
  runtime::MemoryBudget budget(1024 * 1024);
  runtime::Stream stream(budget, 0);
  ASSERT_TRUE(stream.BeginConsuming());
  std::string taken_over(64 * 1024, 'a');
  stream.AppendAndFree(taken_over);
  EXPECT_EQ(budget.used(), 64U * 1024);
  stream.Append("b");
  EXPECT_EQ(budget.used(), 128U * 1024);
  EXPECT_EQ(stream.Ready(), std::string(64 * 1024, 'a') + 'b');
  stream.Consume(64 * 1024 + 1);
  stream.End(runtime::Stream::State::kComplete);
}

// The windows of streams that were opened earlier shrink as they are consumed.
TEST(Stream, AllStreamsTogetherStayWithinTheBudget) {
  constexpr std::size_t kStreams = 60;
  runtime::MemoryBudget budget(1024 * 1024);
  std::vector<std::unique_ptr<runtime::Stream>> streams;
  for (std::size_t i = 0; i < kStreams; ++i) {
    // As whoever creates a stream must do.
    runtime::MemoryBudget::Charge reservation(budget);
    if (!reservation.Reserve(runtime::MemoryBudget::kMinWindow)) break;
    reservation.Set(0);
    streams.push_back(std::make_unique<runtime::Stream>(budget, 512 * 1024));
    runtime::Stream& stream = *streams.back();
    ASSERT_TRUE(stream.BeginConsuming());
    EXPECT_GE(stream.Capacity(), runtime::MemoryBudget::kMinWindow);
    for (int part = 0; part < 8 && stream.Capacity() > 0; ++part) {
      stream.Append(std::string(std::min<std::size_t>(stream.Capacity(), 40000), 'x'));
      if (part % 2 == 0) stream.Consume(stream.Ready().size() / 2);
    }
    ASSERT_LE(budget.used(), budget.limit()) << i;
  }
  EXPECT_GT(streams.size(), 20U);
  // Each still makes progress.
  for (const auto& stream : streams) {
    stream->Consume(stream->Ready().size());
    EXPECT_GE(stream->Capacity(), runtime::MemoryBudget::kMinWindow);
    stream->Append(std::string(stream->Capacity(), 'y'));
    ASSERT_LE(budget.used(), budget.limit());
  }
}

TEST(Stream, RetainedBytesAreGivenUpIfMemoryIsShort) {
  runtime::MemoryBudget budget(128 * 1024);
  runtime::Stream stream(budget, 512 * 1024);
  ASSERT_TRUE(stream.BeginConsuming());
  stream.Append(std::string(40 * 1024, 'a'));
  stream.Consume(40 * 1024);
  runtime::MemoryBudget::Charge other(budget);
  ASSERT_TRUE(other.Reserve(88 * 1024));
  EXPECT_GE(stream.Capacity(), runtime::MemoryBudget::kMinWindow);
  stream.Append(std::string(runtime::MemoryBudget::kMinWindow, 'b'));
  EXPECT_EQ(stream.Ready(), std::string(runtime::MemoryBudget::kMinWindow, 'b'));
  EXPECT_LE(budget.used(), budget.limit());
  stream.StopConsuming();
  EXPECT_FALSE(stream.BeginConsuming());
}

}  // namespace
}  // namespace mothrack
