// One body on its way through the process: its window, its beginning again, its being dropped.
#include "runtime/stream.h"

#include <memory>
#include <string>
#include <vector>

#include "gtest/gtest.h"

namespace mothrack {
namespace {

TEST(Stream, HoldsNoMoreThanItsWindowAndTellsBothSides) {
  runtime::ByteBudget budget(64 * 1024);
  runtime::Stream stream(budget, 0);
  int room = 0;
  int bytes = 0;
  stream.on_room = [&] { ++room; };
  stream.on_bytes = [&] { ++bytes; };
  ASSERT_TRUE(stream.Begin());
  EXPECT_EQ(stream.Room(), 64U * 1024);
  stream.Append(std::string(64 * 1024, 'a'));
  EXPECT_EQ(stream.Room(), 0U);
  EXPECT_EQ(bytes, 1);
  stream.Take(40 * 1024);
  EXPECT_EQ(room, 1);
  EXPECT_EQ(stream.Room(), 40U * 1024);
  EXPECT_EQ(budget.held(), 24U * 1024);
  {
    // Shared evenly among those that are open, and never less than the least.
    std::vector<std::unique_ptr<runtime::Stream>> others;
    for (int i = 0; i < 9; ++i) others.push_back(std::make_unique<runtime::Stream>(budget, 0));
    EXPECT_EQ(others[0]->Room(), runtime::ByteBudget::kLeastWindow);
  }
  stream.Append("end");
  stream.End(runtime::Stream::State::kWhole);
  EXPECT_FALSE(stream.done());
  stream.Take(24 * 1024);
  EXPECT_EQ(stream.Ready(), "end");
  stream.Take(3);
  EXPECT_TRUE(stream.done());
  EXPECT_EQ(budget.held(), 0U);
}

TEST(Stream, BeginsAgainOnlyWhileAllIsHeld) {
  runtime::ByteBudget budget(1024 * 1024);
  runtime::Stream stream(budget, 100);
  ASSERT_TRUE(stream.Begin());
  stream.Append(std::string(60, 'a'));
  stream.Take(60);
  EXPECT_FALSE(stream.Begin());  // somebody takes
  stream.Leave();
  ASSERT_TRUE(stream.Begin());
  EXPECT_EQ(stream.Ready(), std::string(60, 'a'));
  stream.Take(60);
  stream.Append(std::string(60, 'b'));
  EXPECT_EQ(stream.Ready(), std::string(60, 'b'));
  stream.Leave();
  EXPECT_FALSE(stream.Begin());
}

TEST(Stream, WhatNobodyWantsIsDroppedAsItComes) {
  runtime::ByteBudget budget(1024 * 1024);
  runtime::Stream stream(budget, 1000);
  ASSERT_TRUE(stream.Begin());
  stream.Append("some");
  stream.Abandon();
  for (int i = 0; i < 100; ++i) {
    ASSERT_GT(stream.Room(), 0U);
    stream.Append(std::string(10000, 'x'));
  }
  EXPECT_EQ(budget.held(), 0U);
}

}  // namespace
}  // namespace mothrack
