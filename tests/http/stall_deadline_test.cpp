// Plays the table of docs/design/connection_limits.md on the limit of a silence, as a plain value.
#include "http/stall_deadline.h"

#include <gtest/gtest.h>

#include <chrono>
#include <string>

#include "support/tables.h"

namespace mothrack::http {
namespace {

using std::chrono::seconds;

runtime::TimePoint At(int time_s) { return runtime::TimePoint(seconds(1000 + time_s)); }

StallDeadline DeadlineOf(const testing::Row& row) {
  const std::string& earliest = row.at("not before (s)");
  const std::string& latest = row.at("at the latest (s)");
  return StallDeadline(earliest == "-" ? runtime::TimePoint::min() : At(std::stoi(earliest)),
                       latest == "-" ? runtime::TimePoint::max() : At(std::stoi(latest)));
}

TEST(StallDeadline, EndsASilenceAsThePageSays) {
  for (const auto& row : testing::TableOf(MOTHRACK_CONNECTION_LIMITS_PAGE, "The limit of a silence")) {
    SCOPED_TRACE(row.at("last moved (s)") + ", " + row.at("not before (s)"));
    StallDeadline deadline = DeadlineOf(row);
    EXPECT_FALSE(deadline.due());
    deadline.Restart(At(std::stoi(row.at("last moved (s)"))));
    const auto due = At(std::stoi(row.at("ended (s)")));
    EXPECT_EQ(deadline.due(), due);
    EXPECT_FALSE(deadline.Overdue(due));
    EXPECT_TRUE(deadline.Overdue(due + runtime::Duration(1)));
  }
}

// The longest pause after which the deployment's servers resume.
TEST(StallDeadline, CoversTheLongestPause) { EXPECT_GT(StallDeadline::kMaxPause, seconds(27)); }

TEST(StallDeadline, CountsFromTheBeginningOfASilenceAndOnlyWhileTheOtherSideIsAwaited) {
  StallDeadline deadline;
  deadline.Await(At(0));
  deadline.Await(At(20));
  EXPECT_EQ(deadline.due(), At(0) + StallDeadline::kMaxPause);
  deadline.Suspend();
  EXPECT_FALSE(deadline.Overdue(At(1000)));
  deadline.Await(At(1000));
  EXPECT_EQ(deadline.due(), At(1000) + StallDeadline::kMaxPause);
}

}  // namespace
}  // namespace mothrack::http
