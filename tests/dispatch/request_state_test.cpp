// Checks the next state for each state of a request and each event against a table.
#include "dispatch/request_state.h"

#include "gtest/gtest.h"

namespace mothrack::dispatch {
namespace {

using enum RequestState;
using enum RequestEvent;

constexpr RequestEvent kEvents[] = {kBodyComplete, kAnswerStarted, kStreamEnded, kFinalGiven,
                                    kClientDisconnected};

struct Row {
  RequestState state;
  std::optional<RequestState> next[std::size(kEvents)];  // by event, as in kEvents
  bool awaits_final, arriving, streaming, in_flight;
};

constexpr auto kIgnored = std::nullopt;
constexpr Row kRows[] = {
    {kArriving,
     {kInFlight, kStreamingWhileArriving, kIgnored, kEndedWhileArriving, kEndedWhileArriving},
     true,
     true,
     false,
     false},
    {kInFlight, {kIgnored, kStreaming, kIgnored, kEnded, kEnded}, true, false, false, true},
    {kStreamingWhileArriving,
     {kStreaming, kIgnored, kEndedWhileArriving, kIgnored, kEndedWhileArriving},
     false,
     true,
     true,
     false},
    {kStreaming, {kIgnored, kIgnored, kEnded, kIgnored, kEnded}, false, false, true, true},
    {kEndedWhileArriving, {kEnded, kIgnored, kIgnored, kIgnored, kIgnored}, false, true, false, false},
    {kEnded, {kIgnored, kIgnored, kIgnored, kIgnored, kIgnored}, false, false, false, false},
};

TEST(RequestState, EachEventLeadsToTheExpectedState) {
  for (const Row& row : kRows) {
    for (std::size_t i = 0; i < std::size(kEvents); ++i) {
      EXPECT_EQ(NextState(row.state, kEvents[i]), row.next[i])
          << "state " << static_cast<int>(row.state) << ", event " << i;
    }
  }
}

TEST(RequestState, PredicatesFollowTheState) {
  for (const Row& row : kRows) {
    EXPECT_EQ(AwaitsFinal(row.state), row.awaits_final) << static_cast<int>(row.state);
    EXPECT_EQ(IsArriving(row.state), row.arriving) << static_cast<int>(row.state);
    EXPECT_EQ(IsStreaming(row.state), row.streaming) << static_cast<int>(row.state);
    EXPECT_EQ(IsInFlight(row.state), row.in_flight) << static_cast<int>(row.state);
  }
}

}  // namespace
}  // namespace mothrack::dispatch
