// When upstreams' processes started, by lists of made-up times and wall clocks that step.
#include "dispatch/start_times.h"

#include <chrono>
#include <cstdint>
#include <ostream>
#include <string>

#include "gtest/gtest.h"

namespace mothrack {
namespace {

using balancer::MembershipUpdate;
using balancer::UpstreamInfo;
using balancer::UpstreamState;
using std::chrono::milliseconds;
using std::chrono::seconds;
using Kind = MembershipUpdate::Kind;

constexpr runtime::Duration kUnixTime =
    seconds(1'790'000'000);                          // of the steady clock's zero, while nothing has stepped
constexpr runtime::TimePoint kStart{seconds(1000)};  // of the program

runtime::ClockReading At(runtime::TimePoint now, runtime::Duration step = runtime::Duration::zero()) {
  return {now, kUnixTime + now.time_since_epoch() + step};
}

// As a machine stamps it whose wall clock is off by `step`.
std::int64_t BootMs(runtime::TimePoint started, runtime::Duration step = runtime::Duration::zero()) {
  return std::chrono::duration_cast<milliseconds>(kUnixTime + started.time_since_epoch() + step).count();
}

void Add(dispatch::MembershipList& list, const std::string& uid, std::int64_t boot_ms,
         UpstreamState state = UpstreamState::kServing) {
  UpstreamInfo info;
  info.id.value = uid;
  info.state = state;
  list.update.upstreams.push_back(info);
  list.locations[uid].boot_ms = boot_ms;
}

dispatch::MembershipList One(Kind kind, const std::string& uid, std::int64_t boot_ms) {
  dispatch::MembershipList list;
  list.update.kind = kind;
  Add(list, uid, boot_ms);
  return list;
}

runtime::TimePoint Placed(dispatch::StartTimes& times, dispatch::MembershipList list,
                          const runtime::ClockReading& reading) {
  times.SetStartTimes(list, reading);
  return list.update.upstreams.front().started.value();
}

// A list is held; then the clock steps; then a process starts and is told 0.2 s later. Whoever stamped it had
// the stepped clock or the one before.
struct Step {
  const char* name;
  runtime::Duration step;
  bool stamped_after;  // by the clock as it is after the step
  bool exact;          // else it may be taken for younger, and never for older
};
std::ostream& operator<<(std::ostream& out, const Step& step) { return out << step.name; }

class WallClockSteps : public ::testing::TestWithParam<Step> {};

TEST_P(WallClockSteps, ANewProcessIsNeverPlacedEarlierThanItStarted) {
  const auto [name, step, stamped_after, exact] = GetParam();
  dispatch::StartTimes times(At(kStart));
  dispatch::MembershipList first = One(Kind::kFull, "old", BootMs(runtime::TimePoint(seconds(10))));
  times.SetStartTimes(first, At(kStart + seconds(1)));
  const runtime::TimePoint started = kStart + seconds(2);
  const runtime::TimePoint notified = started + milliseconds(200);
  const runtime::TimePoint placed = Placed(
      times, One(Kind::kChanges, "new", BootMs(started, stamped_after ? step : runtime::Duration::zero())),
      At(notified, step));
  EXPECT_GE(placed, started);
  EXPECT_LE(placed, notified);
  if (exact) {
    EXPECT_EQ(placed, started);
  }
}

INSTANTIATE_TEST_SUITE_P(Steps, WallClockSteps,
                         ::testing::Values(Step{"None", runtime::Duration::zero(), true, true},
                                           Step{"BackAnHour", -seconds(3600), true, true},
                                           Step{"BackAnHourStampedBefore", -seconds(3600), false, false},
                                           Step{"BackFiveSeconds", -seconds(5), true, true},
                                           Step{"BackFiveSecondsStampedBefore", -seconds(5), false, false},
                                           Step{"OnFiveSeconds", seconds(5), true, false},
                                           Step{"OnFiveSecondsStampedBefore", seconds(5), false, true},
                                           Step{"OnAnHour", seconds(3600), true, false},
                                           Step{"OnAnHourStampedBefore", seconds(3600), false, true}),
                         [](const auto& row) { return std::string(row.param.name); });

// A machine whose clock is an hour behind stamps what it starts: the list before did not have it.
TEST(StartTimes, NoProcessStartedBeforeTheListThatDidNotHaveIt) {
  dispatch::StartTimes times(At(kStart));
  dispatch::MembershipList none;
  none.update.kind = Kind::kFull;
  times.SetStartTimes(none, At(kStart + seconds(1)));
  const runtime::TimePoint started = kStart + seconds(2);
  EXPECT_EQ(
      Placed(times, One(Kind::kChanges, "new", BootMs(started, -seconds(3600))), At(kStart + seconds(3))),
      kStart + seconds(1));
}

TEST(StartTimes, NoProcessStartedAfterTheListThatHasIt) {
  dispatch::StartTimes times(At(kStart));
  const runtime::TimePoint notified = kStart + seconds(1);
  EXPECT_EQ(Placed(times, One(Kind::kFull, "new", BootMs(kStart, seconds(3600))), At(notified)), notified);
  dispatch::StartTimes restored(At(kStart));
  EXPECT_EQ(Placed(restored, One(Kind::kRestored, "new", BootMs(kStart, seconds(3600))), At(notified)),
            notified);
}

TEST(StartTimes, StartTimesOfTheFirstListAreTrusted) {
  for (const Kind kind : {Kind::kRestored, Kind::kFull}) {
    dispatch::StartTimes times(At(kStart));
    const runtime::TimePoint started = kStart - seconds(500);
    EXPECT_EQ(Placed(times, One(kind, "u", BootMs(started)), At(kStart)), started);
  }
}

// A restored list may be hours old: that a process is not in it says nothing.
TEST(StartTimes, ARestoredListBoundsNothing) {
  dispatch::StartTimes times(At(kStart));
  dispatch::MembershipList known;
  known.update.kind = Kind::kRestored;
  times.SetStartTimes(known, At(kStart));
  const runtime::TimePoint started = kStart - seconds(500);
  EXPECT_EQ(Placed(times, One(Kind::kFull, "u", BootMs(started)), At(kStart + seconds(1))), started);
}

TEST(StartTimes, APlacedTimeHoldsWhateverTheWallClockDoes) {
  dispatch::StartTimes times(At(kStart));
  const std::int64_t boot_ms = BootMs(kStart - seconds(5));
  const runtime::TimePoint placed = Placed(times, One(Kind::kFull, "u", boot_ms), At(kStart));
  for (const runtime::Duration step : {-seconds(3600), seconds(3600), seconds(5), -seconds(5)}) {
    EXPECT_EQ(Placed(times, One(Kind::kChanges, "u", boot_ms), At(kStart + seconds(1), step)), placed);
    EXPECT_EQ(Placed(times, One(Kind::kFull, "u", boot_ms), At(kStart + seconds(2), step)), placed);
  }
}

TEST(StartTimes, AProcessThatLeftTheListAndComesBackKeepsItsTime) {
  for (const bool by_whole_list : {false, true}) {
    dispatch::StartTimes times(At(kStart));
    const std::int64_t boot_ms = BootMs(kStart - seconds(5));
    const runtime::TimePoint placed = Placed(times, One(Kind::kFull, "u", boot_ms), At(kStart));
    dispatch::MembershipList without;
    without.update.kind = by_whole_list ? Kind::kFull : Kind::kChanges;
    if (!by_whole_list) Add(without, "u", boot_ms, UpstreamState::kGone);
    times.SetStartTimes(without, At(kStart + seconds(1)));
    EXPECT_EQ(Placed(times, One(Kind::kChanges, "u", boot_ms), At(kStart + seconds(2))), placed)
        << by_whole_list;
  }
}

TEST(StartTimes, AnotherBootTimeIsAnotherProcess) {
  dispatch::StartTimes times(At(kStart));
  Placed(times, One(Kind::kFull, "u", BootMs(kStart - seconds(500))), At(kStart));
  const runtime::TimePoint again = kStart + seconds(1);
  EXPECT_EQ(Placed(times, One(Kind::kChanges, "u", BootMs(again)), At(kStart + seconds(2))), again);
}

TEST(StartTimes, RemovedProcessesAreRememberedInBoundedSpace) {
  dispatch::StartTimes times(At(kStart));
  const std::int64_t boot_ms = BootMs(kStart - seconds(5));
  for (std::size_t i = 0; i <= dispatch::StartTimes::kMaxRemoved; ++i) {
    dispatch::MembershipList list = One(Kind::kFull, "u" + std::to_string(i), boot_ms);
    times.SetStartTimes(list, At(kStart));
  }
  dispatch::MembershipList none;
  none.update.kind = Kind::kFull;
  times.SetStartTimes(none, At(kStart + seconds(1)));
  // Each was new to a list of kStart. The first one is forgotten, and new once more, to the list of a second
  // later.
  EXPECT_EQ(Placed(times, One(Kind::kChanges, "u0", boot_ms), At(kStart + seconds(2))), kStart + seconds(1));
  EXPECT_EQ(
      Placed(times, One(Kind::kChanges, "u" + std::to_string(dispatch::StartTimes::kMaxRemoved), boot_ms),
             At(kStart + seconds(2))),
      kStart);
}

TEST(StartTimes, ASuccessorKeepsPlacedTimesWhateverItsWallClock) {
  dispatch::StartTimes times(At(kStart));
  const std::int64_t boot_ms = BootMs(kStart - seconds(5));
  Placed(times, One(Kind::kFull, "u", boot_ms), At(kStart));
  const runtime::Duration step = -seconds(3600);
  dispatch::StartTimes successor(At(kStart + seconds(1), step));
  successor.Import(times.Export(), times.last_list());
  EXPECT_EQ(Placed(successor, One(Kind::kFull, "u", boot_ms), At(kStart + seconds(2), step)),
            kStart - seconds(5));
  // And knows when the list was read that did not have this one.
  EXPECT_GE(Placed(successor, One(Kind::kChanges, "new", BootMs(kStart - seconds(500))),
                   At(kStart + seconds(3), step)),
            kStart);
}

}  // namespace
}  // namespace mothrack
