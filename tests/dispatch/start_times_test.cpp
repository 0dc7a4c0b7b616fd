// StartTimes: the estimated start times of upstreams' processes, from lists with given boot times and stepped
// wall clocks.
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

// The Unix time at the steady clock's zero, unless the wall clock was stepped.
constexpr runtime::Duration kUnixTimeAtZero = seconds(1'790'000'000);
constexpr runtime::TimePoint kStart{seconds(1000)};  // the start of the program

// The clocks at `now` after the wall clock was stepped by `step`.
runtime::ClockReading At(runtime::TimePoint now, runtime::Duration step = runtime::Duration::zero()) {
  return {now, kUnixTimeAtZero + now.time_since_epoch() + step};
}

// The boot time that a machine whose wall clock is off by `step` reports for a process.
std::int64_t BootMs(runtime::TimePoint started, runtime::Duration step = runtime::Duration::zero()) {
  return std::chrono::duration_cast<milliseconds>(kUnixTimeAtZero + started.time_since_epoch() + step)
      .count();
}

void Add(dispatch::MembershipList& list, const std::string& uid, std::int64_t boot_ms,
         UpstreamState state = UpstreamState::kServing) {
  UpstreamInfo info;
  info.id.value = uid;
  info.state = state;
  list.update.upstreams.push_back(info);
  list.locations[uid].boot_ms = boot_ms;
}

dispatch::MembershipList ListOf(Kind kind, const std::string& uid, std::int64_t boot_ms) {
  dispatch::MembershipList list;
  list.update.kind = kind;
  Add(list, uid, boot_ms);
  return list;
}

// Passes the list and returns the start time of its first upstream.
runtime::TimePoint StartOfFirst(dispatch::StartTimes& times, dispatch::MembershipList list,
                                const runtime::ClockReading& reading) {
  times.SetStartTimes(list, reading);
  return list.update.upstreams.front().started.value();
}

// A list is received. Then the wall clock is stepped, a process starts, and 0.2 s later a list reports it.
// Its boot time refers to the clock before or after the step.
struct Step {
  const char* name;
  runtime::Duration step;
  bool stamped_after;  // the boot time refers to the clock after the step
  bool exact;          // the estimate must be exact; if not set, it may be later than the start
};
std::ostream& operator<<(std::ostream& out, const Step& step) { return out << step.name; }

class WallClockSteps : public ::testing::TestWithParam<Step> {};

TEST_P(WallClockSteps, ANewProcessIsNeverEstimatedToHaveStartedEarlier) {
  const auto [name, step, stamped_after, exact] = GetParam();
  dispatch::StartTimes times(At(kStart));
  dispatch::MembershipList first = ListOf(Kind::kFull, "old", BootMs(runtime::TimePoint(seconds(10))));
  times.SetStartTimes(first, At(kStart + seconds(1)));
  const runtime::TimePoint started = kStart + seconds(2);
  const runtime::TimePoint notified = started + milliseconds(200);
  const runtime::TimePoint estimate = StartOfFirst(
      times, ListOf(Kind::kChanges, "new", BootMs(started, stamped_after ? step : runtime::Duration::zero())),
      At(notified, step));
  EXPECT_GE(estimate, started);
  EXPECT_LE(estimate, notified);
  if (exact) {
    EXPECT_EQ(estimate, started);
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

// The process runs on a machine whose clock is an hour behind. It started after the last list that does not
// contain it.
TEST(StartTimes, NoProcessStartedBeforeTheLastListWithoutIt) {
  dispatch::StartTimes times(At(kStart));
  dispatch::MembershipList none;
  none.update.kind = Kind::kFull;
  times.SetStartTimes(none, At(kStart + seconds(1)));
  const runtime::TimePoint started = kStart + seconds(2);
  EXPECT_EQ(StartOfFirst(times, ListOf(Kind::kChanges, "new", BootMs(started, -seconds(3600))),
                         At(kStart + seconds(3))),
            kStart + seconds(1));
}

TEST(StartTimes, NoProcessStartedAfterTheFirstListWithIt) {
  dispatch::StartTimes times(At(kStart));
  const runtime::TimePoint notified = kStart + seconds(1);
  EXPECT_EQ(StartOfFirst(times, ListOf(Kind::kFull, "new", BootMs(kStart, seconds(3600))), At(notified)),
            notified);
  dispatch::StartTimes restored(At(kStart));
  EXPECT_EQ(
      StartOfFirst(restored, ListOf(Kind::kRestored, "new", BootMs(kStart, seconds(3600))), At(notified)),
      notified);
}

TEST(StartTimes, StartTimesOfTheFirstListAreTrusted) {
  for (const Kind kind : {Kind::kRestored, Kind::kFull}) {
    dispatch::StartTimes times(At(kStart));
    const runtime::TimePoint started = kStart - seconds(500);
    EXPECT_EQ(StartOfFirst(times, ListOf(kind, "u", BootMs(started)), At(kStart)), started);
  }
}

// A restored list may be hours old, so a process that is not in it may have started earlier than the program.
TEST(StartTimes, ARestoredListIsNoLowerBound) {
  dispatch::StartTimes times(At(kStart));
  dispatch::MembershipList known;
  known.update.kind = Kind::kRestored;
  times.SetStartTimes(known, At(kStart));
  const runtime::TimePoint started = kStart - seconds(500);
  EXPECT_EQ(StartOfFirst(times, ListOf(Kind::kFull, "u", BootMs(started)), At(kStart + seconds(1))), started);
}

TEST(StartTimes, AnEstimateHoldsWhateverTheWallClockDoes) {
  dispatch::StartTimes times(At(kStart));
  const std::int64_t boot_ms = BootMs(kStart - seconds(5));
  const runtime::TimePoint estimate = StartOfFirst(times, ListOf(Kind::kFull, "u", boot_ms), At(kStart));
  for (const runtime::Duration step : {-seconds(3600), seconds(3600), seconds(5), -seconds(5)}) {
    EXPECT_EQ(StartOfFirst(times, ListOf(Kind::kChanges, "u", boot_ms), At(kStart + seconds(1), step)),
              estimate);
    EXPECT_EQ(StartOfFirst(times, ListOf(Kind::kFull, "u", boot_ms), At(kStart + seconds(2), step)),
              estimate);
  }
}

TEST(StartTimes, ARemovedProcessThatIsListedAgainKeepsItsTime) {
  for (const bool by_full_list : {false, true}) {
    dispatch::StartTimes times(At(kStart));
    const std::int64_t boot_ms = BootMs(kStart - seconds(5));
    const runtime::TimePoint estimate = StartOfFirst(times, ListOf(Kind::kFull, "u", boot_ms), At(kStart));
    dispatch::MembershipList without;
    without.update.kind = by_full_list ? Kind::kFull : Kind::kChanges;
    if (!by_full_list) Add(without, "u", boot_ms, UpstreamState::kGone);
    times.SetStartTimes(without, At(kStart + seconds(1)));
    EXPECT_EQ(StartOfFirst(times, ListOf(Kind::kChanges, "u", boot_ms), At(kStart + seconds(2))), estimate)
        << by_full_list;
  }
}

TEST(StartTimes, AnotherBootTimeIsAnotherProcess) {
  dispatch::StartTimes times(At(kStart));
  StartOfFirst(times, ListOf(Kind::kFull, "u", BootMs(kStart - seconds(500))), At(kStart));
  const runtime::TimePoint restarted = kStart + seconds(1);
  EXPECT_EQ(StartOfFirst(times, ListOf(Kind::kChanges, "u", BootMs(restarted)), At(kStart + seconds(2))),
            restarted);
}

TEST(StartTimes, RemovedProcessesAreRememberedInBoundedSpace) {
  dispatch::StartTimes times(At(kStart));
  const std::int64_t boot_ms = BootMs(kStart - seconds(5));
  for (std::size_t i = 0; i <= dispatch::StartTimes::kMaxRemoved; ++i) {
    dispatch::MembershipList list = ListOf(Kind::kFull, "u" + std::to_string(i), boot_ms);
    times.SetStartTimes(list, At(kStart));
  }
  dispatch::MembershipList none;
  none.update.kind = Kind::kFull;
  times.SetStartTimes(none, At(kStart + seconds(1)));
  // Each process was new in a list received at kStart. The first one was dropped, so it counts as new again,
  // and as started no earlier than the last list, one second later.
  EXPECT_EQ(StartOfFirst(times, ListOf(Kind::kChanges, "u0", boot_ms), At(kStart + seconds(2))),
            kStart + seconds(1));
  EXPECT_EQ(
      StartOfFirst(times,
                   ListOf(Kind::kChanges, "u" + std::to_string(dispatch::StartTimes::kMaxRemoved), boot_ms),
                   At(kStart + seconds(2))),
      kStart);
}

TEST(StartTimes, ASuccessorKeepsEstimatesWhateverItsWallClock) {
  dispatch::StartTimes times(At(kStart));
  const std::int64_t boot_ms = BootMs(kStart - seconds(5));
  StartOfFirst(times, ListOf(Kind::kFull, "u", boot_ms), At(kStart));
  const runtime::Duration step = -seconds(3600);
  dispatch::StartTimes successor(At(kStart + seconds(1), step));
  successor.Import(times.Export(), times.last_list());
  EXPECT_EQ(StartOfFirst(successor, ListOf(Kind::kFull, "u", boot_ms), At(kStart + seconds(2), step)),
            kStart - seconds(5));
  // It also knows when the last list was received, which does not contain this process.
  EXPECT_GE(StartOfFirst(successor, ListOf(Kind::kChanges, "new", BootMs(kStart - seconds(500))),
                         At(kStart + seconds(3), step)),
            kStart);
}

}  // namespace
}  // namespace mothrack
