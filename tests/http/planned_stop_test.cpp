// Plays the table of docs/design/planned_stop.md in memory: what a planned stop does with a connection in
// each state, just before and at each of its moments.
#include "http/planned_stop.h"

#include <algorithm>
#include <chrono>
#include <map>
#include <string>

#include "gtest/gtest.h"
#include "support/tables.h"

namespace mothrack {
namespace {

using http::ConnectionState;
using http::PlannedStop;
using http::StopStep;
using std::chrono::milliseconds;

const std::map<std::string, ConnectionState> kStates = {
    {"new", ConnectionState::kNew},
    {"idle", ConnectionState::kIdle},
    {"arriving", ConnectionState::kArriving},
    {"served", ConnectionState::kServing},
    {"answered", ConnectionState::kResponding},
    {"answered, until the close", ConnectionState::kRespondingUntilClose},
    {"awaits close", ConnectionState::kAwaitingClose},
};

const std::map<std::string, StopStep> kSteps = {
    {"wait", StopStep::kNone}, {"half-close", StopStep::kHalfClose}, {"503", StopStep::kRefuse},
    {"504", StopStep::kFail},  {"close", StopStep::kClose},          {"break off", StopStep::kBreakOff},
};

// SIGKILL follows SIGTERM after this at the earliest.
milliseconds KillAfter(milliseconds longest_deadline) {
  return std::min(longest_deadline, milliseconds(3000)) + milliseconds(700);
}

TEST(PlannedStopTable, DecidesAsThePageSays) {
  const auto rows = testing::TableOf(MOTHRACK_PLANNED_STOP_PAGE, "What the stop does with a connection");
  EXPECT_EQ(rows.size(), kStates.size());
  const runtime::TimePoint begin(std::chrono::hours(1));
  for (const int deadline_ms : {100, 400, 1000, 3000, 4000, 60000}) {
    const milliseconds longest_deadline(deadline_ms);
    const PlannedStop stop(begin, longest_deadline);
    for (const auto& row : rows) {
      SCOPED_TRACE(row.at("connection") + ", " + std::to_string(deadline_ms));
      const ConnectionState state = kStates.at(row.at("connection"));
      EXPECT_EQ(stop.StepFor(state, begin), kSteps.at(row.at("at first")));
      if (row.at("changes (ms before SIGKILL)") == "never") continue;
      const milliseconds before_kill(std::stoi(row.at("changes (ms before SIGKILL)")));
      const runtime::TimePoint change = begin + KillAfter(longest_deadline) - before_kill;
      EXPECT_EQ(stop.StepFor(state, change - runtime::Duration(1)), kSteps.at(row.at("at first")));
      EXPECT_EQ(stop.StepFor(state, change), kSteps.at(row.at("to")));
      EXPECT_EQ(stop.StepFor(state, change + std::chrono::hours(1)), kSteps.at(row.at("to")));
    }
  }
}

// No client is accepted so late that its request could not be answered any more.
TEST(PlannedStopTable, AcceptsClientsForAWhile) {
  const runtime::TimePoint begin(std::chrono::hours(1));
  for (const int deadline_ms : {100, 400, 1000, 3000, 4000}) {
    const PlannedStop stop(begin, milliseconds(deadline_ms));
    const auto accepts_for =
        std::min(milliseconds(800), KillAfter(milliseconds(deadline_ms)) - milliseconds(300));
    EXPECT_TRUE(stop.AcceptsClients(begin + accepts_for)) << deadline_ms;
    EXPECT_FALSE(stop.AcceptsClients(begin + accepts_for + runtime::Duration(1))) << deadline_ms;
    EXPECT_FALSE(stop.GivesUpBacklog(begin + milliseconds(3300)));
    EXPECT_TRUE(stop.GivesUpBacklog(begin + milliseconds(3300) + runtime::Duration(1)));
  }
}

}  // namespace
}  // namespace mothrack
