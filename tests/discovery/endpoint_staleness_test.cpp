// The bound on the list's staleness as a table of cases, and the load of a service that comes back, both of
// the pure rule: no sockets, no clock.
#include "discovery/endpoint_staleness.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <chrono>
#include <functional>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "balancer/helpers.h"
#include "runtime/clock.h"
#include "simulator_adapter/wire.h"
#include "standins/peers.h"

namespace mothrack {
namespace {

using balancer::MembershipUpdate;
using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::seconds;

// ---- The bound ----

discovery::StalenessRules Rules(bool on_request, runtime::Duration drain,
                                runtime::Duration poll_within = seconds(10)) {
  return {on_request, drain, poll_within};
}

constexpr discovery::StalenessCase kAllCases[] = {
    discovery::StalenessCase::kWatchTimeout, discovery::StalenessCase::kListTimeout,
    discovery::StalenessCase::kAfterOutage, discovery::StalenessCase::kAddressChanged,
    discovery::StalenessCase::kNewProcess};

std::vector<discovery::StalenessRules> AllRules() {
  std::vector<discovery::StalenessRules> all;
  for (const bool on_request : {false, true}) {
    for (const int drain : {100, 150, 250, 400, 500, 750, 1000, 2000, 60000}) {
      for (const int poll_within : {1, 2, 5, 10, 30, 600}) {
        all.push_back(Rules(on_request, milliseconds(drain), seconds(poll_within)));
      }
    }
  }
  return all;
}

std::string Describe(const discovery::StalenessRules& rules) {
  return (rules.on_request ? "on request, " : "push, ") +
         std::to_string(rules.drain_within / milliseconds(1)) + " ms, MustAskIn " +
         std::to_string(rules.poll_within / seconds(1)) + " s";
}

TEST(StalenessBoundTest, HoldsWithItsMarginInEachCase) {
  for (const discovery::StalenessRules& rules : AllRules()) {
    const discovery::PollPolicy policy = discovery::PollPolicy::For(rules);
    for (const discovery::StalenessCase staleness_case : kAllCases) {
      EXPECT_LE(discovery::WorstCaseStaleness(policy, staleness_case),
                discovery::StalenessBound(rules, staleness_case) - discovery::SchedulingMargin(rules))
          << Describe(rules) << ", case " << static_cast<int>(staleness_case);
      // The operators' terms, whatever the settings: 6 s, and for a call that may wait 2 s after that wait.
      const bool waits = rules.on_request && staleness_case == discovery::StalenessCase::kWatchTimeout;
      EXPECT_LE(discovery::StalenessBound(rules, staleness_case),
                (waits ? policy.watch_wait + seconds(2) : runtime::Duration(seconds(6))) +
                    std::min<runtime::Duration>(rules.drain_within, seconds(2)));
      // A watch that timed out is a failed call like others: notified within 6 s wherever the service takes 1
      // s for the next one.
      EXPECT_LE(policy.watch_wait + policy.watch_timeout + seconds(1),
                seconds(6) + std::min<runtime::Duration>(rules.drain_within, seconds(2)));
    }
    // What the service bears: a call in 5 s from each sidecar.
    EXPECT_GE(policy.watch_wait, rules.on_request ? seconds(5) : seconds(0));
    EXPECT_GE(discovery::SchedulingMargin(rules),
              std::min<runtime::Duration>(rules.drain_within, seconds(2)) / 4);
  }
}

// Counted from the moment from which on the failed call can't bring the change any more, although the source
// has it and is reachable.
TEST(StalenessBoundTest, HoldsAfterAnyFailedCall) {
  using Kind = discovery::FailedCall::Kind;
  for (const discovery::StalenessRules& rules : AllRules()) {
    const discovery::PollPolicy policy = discovery::PollPolicy::For(rules);
    const runtime::Duration bound = discovery::StalenessBound(rules, discovery::StalenessCase::kAfterOutage) -
                                    discovery::SchedulingMargin(rules);
    for (const bool watch : {false, true}) {
      for (int consecutive_failures = 1; consecutive_failures <= (watch ? 1 : 4); ++consecutive_failures) {
        const runtime::Duration timeout = watch ? policy.watch_wait + policy.watch_timeout
                                          : consecutive_failures > 1 ? policy.retry_timeout
                                                                     : policy.list_timeout;
        for (const double jitter : {0.0, 0.3, 0.999}) {
          const auto backoff = [&](Kind kind, runtime::Duration elapsed) {
            return policy.BackoffAfter({kind, watch, consecutive_failures, elapsed}, jitter);
          };
          const runtime::Duration timeout_bound =
              discovery::StalenessBound(rules, watch ? discovery::StalenessCase::kWatchTimeout
                                                     : discovery::StalenessCase::kAfterOutage) -
              discovery::SchedulingMargin(rules);
          EXPECT_LE(timeout + backoff(Kind::kTimeout, timeout) + policy.answer_time, timeout_bound)
              << Describe(rules) << consecutive_failures;
          for (int tenth = 0; tenth <= 10; ++tenth) {
            const runtime::Duration elapsed = timeout * tenth / 10;
            const runtime::Duration since =
                watch ? runtime::Duration::zero() : elapsed;  // a watch brings changes until it breaks
            EXPECT_LE(since + backoff(Kind::kFault, elapsed) + policy.answer_time, bound)
                << Describe(rules) << consecutive_failures;
            EXPECT_LE(backoff(Kind::kOutdated, elapsed), policy.fault_backoff)
                << Describe(rules) << consecutive_failures;
            // The source isn't hammered.
            EXPECT_GE(backoff(Kind::kFault, elapsed),
                      std::min<runtime::Duration>(policy.fault_backoff, milliseconds(25)));
            const runtime::Duration min_interval =
                consecutive_failures > 1 && rules.on_request
                    ? std::min<runtime::Duration>(seconds(3), policy.max_retry_interval)
                    : runtime::Duration::zero();
            EXPECT_GE(elapsed + backoff(Kind::kFault, elapsed), min_interval);
          }
        }
      }
    }
  }
}

// The module's own polls, where it is embedded without the discovery loop: the failed call and the next one
// take up to the service's 2 s each.
TEST(StalenessBoundTest, HoldsInTheModuleAtAnySetting) {
  for (const int poll_within : {1, 5, 10, 30, 600}) {
    for (int seed = 1; seed <= 20; ++seed) {
      balancer::Settings settings = balancer::testing::DefaultSettings();
      settings.membership_on_request = true;
      settings.rules.poll_within = seconds(poll_within);
      balancer::testing::World world(settings, seed);
      world.List(1);
      world.Do(MembershipUpdate{MembershipUpdate::Kind::kFailed, {}});
      const auto failed = world.now;
      while (world.subscribed == 1 && world.now - failed < seconds(5)) world.Advance(milliseconds(10));
      EXPECT_LE(world.now - failed, seconds(2)) << poll_within << " s, seed " << seed;
      EXPECT_GE(world.now - failed, milliseconds(100)) << poll_within << " s, seed " << seed;
    }
  }
}

TEST(StalenessBoundTest, WatchesAfterACommonChangeEndAtDifferentTimes) {
  const discovery::PollPolicy on_request = discovery::PollPolicy::For(Rules(true, milliseconds(500)));
  EXPECT_EQ(on_request.WatchWaitAfter(true, 0), milliseconds(2500));
  EXPECT_EQ(on_request.WatchWaitAfter(true, 0.5), milliseconds(3750));
  EXPECT_EQ(on_request.WatchWaitAfter(false, 0), on_request.watch_wait);
  const discovery::PollPolicy pushed = discovery::PollPolicy::For(Rules(false, milliseconds(500)));
  EXPECT_EQ(pushed.WatchWaitAfter(true, 0), pushed.watch_wait);
}

TEST(StalenessBoundTest, FiguresOfTheDefaultDrain) {
  struct Row {
    bool on_request;
    discovery::StalenessCase staleness_case;
    int allowed_ms, worst_ms;
  };
  const Row rows[] = {{false, discovery::StalenessCase::kWatchTimeout, 500, 375},
                      {false, discovery::StalenessCase::kListTimeout, 500, 175},
                      {false, discovery::StalenessCase::kAfterOutage, 500, 375},
                      {false, discovery::StalenessCase::kAddressChanged, 4500, 175},
                      {false, discovery::StalenessCase::kNewProcess, 500, 175},
                      {true, discovery::StalenessCase::kWatchTimeout, 7500, 7375},
                      {true, discovery::StalenessCase::kListTimeout, 6500, 6000},
                      {true, discovery::StalenessCase::kAfterOutage, 6500, 6000},
                      {true, discovery::StalenessCase::kAddressChanged, 6500, 6000},
                      {true, discovery::StalenessCase::kNewProcess, 6500, 6000}};
  for (const Row& row : rows) {
    const discovery::StalenessRules rules = Rules(row.on_request, milliseconds(500));
    const int number = static_cast<int>(row.staleness_case);
    EXPECT_EQ(discovery::StalenessBound(rules, row.staleness_case), milliseconds(row.allowed_ms))
        << row.on_request << number;
    EXPECT_EQ(discovery::WorstCaseStaleness(discovery::PollPolicy::For(rules), row.staleness_case),
              milliseconds(row.worst_ms))
        << row.on_request << number;
  }
}

TEST(StalenessBoundTest, DrainIsClampedToItsRange) {
  for (const int drain : {0, 1, 50, 100}) {
    EXPECT_EQ(discovery::PollPolicy::For(Rules(false, milliseconds(drain))).watch_wait, milliseconds(40));
  }
  EXPECT_EQ(discovery::PollPolicy::For(Rules(false, milliseconds(150))).watch_wait, milliseconds(60));
  EXPECT_EQ(discovery::PollPolicy::For(Rules(false, std::chrono::hours(1))).watch_wait, milliseconds(800));
}

TEST(StalenessBoundTest, RulesComeFromTheSettings) {
  json text = testing::Settings();
  EXPECT_EQ(simulator_adapter::ParseSettings(text).rules.drain_within, milliseconds(500));  // not set
  text["Rules"]["StopSendingWithin"] = 800000;
  text["Rules"]["MustAskIn"] = 7000000;
  text["MembershipMode"] = "on_request";
  const discovery::StalenessRules rules =
      discovery::StalenessRules::FromSettings(simulator_adapter::ParseSettings(text));
  EXPECT_TRUE(rules.on_request);
  EXPECT_EQ(rules.drain_within, milliseconds(800));
  EXPECT_EQ(rules.poll_within, seconds(7));
}

// ---- The service's load when it comes back ----

// The calls of 300 sidecars to the service in simulated time: it is away from 0 on for `away`, failing calls
// as `fault` says.
class Fleet {
 public:
  enum class Before { kWatching, kWatchingInStep, kJustStarted };
  static constexpr int kSidecars = 300;

  // `capacity_per_second`: calls that it answers once it is back; it rejects the others.
  Fleet(discovery::FailedCall::Kind fault, Before before, runtime::Duration away,
        int capacity_per_second = kSidecars * 1000)
      : policy_(discovery::PollPolicy::For(Rules(true, milliseconds(500)))),
        fault_(fault),
        before_(before),
        away_(away) {
    std::vector<std::pair<runtime::Duration, int>> due;  // start of the next call, sidecar
    for (int i = 0; i < kSidecars; ++i) due.emplace_back(FirstCall(i), i);
    failures_.assign(kSidecars, before == Before::kJustStarted ? 0 : 1);
    const auto later = std::greater<>();
    std::make_heap(due.begin(), due.end(), later);
    std::vector<runtime::Duration> accepted;
    while (!due.empty()) {
      std::pop_heap(due.begin(), due.end(), later);
      const auto [at, sidecar] = due.back();
      due.pop_back();
      starts_.push_back(at);
      const bool back = at >= away_;
      if (back) all_called_ = std::max(all_called_, at - away_);
      const auto same_second = [from = at - seconds(1)](runtime::Duration time) { return time > from; };
      if (back &&
          std::count_if(accepted.rbegin(),
                        accepted.rbegin() + std::min<std::size_t>(accepted.size(), capacity_per_second),
                        same_second) < capacity_per_second) {
        accepted.push_back(at);
        all_answered_ = at - away_;
        continue;
      }
      const bool timed_out = !back && fault_ == discovery::FailedCall::Kind::kTimeout;
      const runtime::Duration elapsed = timed_out ? policy_.retry_timeout : runtime::Duration::zero();
      const auto kind =
          timed_out ? discovery::FailedCall::Kind::kTimeout : discovery::FailedCall::Kind::kFault;
      due.emplace_back(
          at + elapsed + policy_.BackoffAfter({kind, false, ++failures_[sidecar], elapsed}, Draw()), sidecar);
      std::push_heap(due.begin(), due.end(), later);
    }
  }

  runtime::Duration all_called() const { return all_called_; }      // from the return until each had called
  runtime::Duration all_answered() const { return all_answered_; }  // and until each was answered
  // The most calls in any second, from this time on.
  int BusiestSecond(runtime::Duration from) const {
    int busiest = 0;
    auto begin = std::lower_bound(starts_.begin(), starts_.end(), from);
    for (auto end = begin; end != starts_.end(); ++end) {
      while (*begin <= *end - seconds(1)) ++begin;
      busiest = std::max(busiest, static_cast<int>(end - begin) + 1);
    }
    return busiest;
  }

 private:
  double Draw() { return std::uniform_real_distribution<>()(random_); }

  runtime::Duration FirstCall(int sidecar) {
    if (before_ == Before::kJustStarted) return runtime::Duration::zero();
    if (fault_ == discovery::FailedCall::Kind::kFault)
      return policy_.BackoffAfter({fault_, true, 1, seconds(1)}, Draw());
    if (before_ == Before::kWatchingInStep)
      return policy_.WatchWaitAfter(true, Draw()) + policy_.watch_timeout;
    // Watches were begun at different moments.
    return (policy_.watch_wait * (sidecar + 1)) / kSidecars + policy_.watch_timeout;
  }

  const discovery::PollPolicy policy_;
  const discovery::FailedCall::Kind fault_;
  const Before before_;
  const runtime::Duration away_;
  std::mt19937_64 random_{7};
  std::vector<int> failures_;
  std::vector<runtime::Duration> starts_;
  runtime::Duration all_called_{};
  runtime::Duration all_answered_{};
};

TEST(ServiceRecovery, CausesNoStormAndReachesEachSidecarInTime) {
  using Before = Fleet::Before;
  struct Row {
    discovery::FailedCall::Kind fault;
    Before before;
    int busiest;  // calls in the worst second from the return on
  };
  // 75 are the least where each calls within 4 s: twice that. Those that timed out together have 1.5 s to
  // spread over, which is 200 and what chance adds.
  const Row rows[] = {{discovery::FailedCall::Kind::kFault, Before::kWatching, 150},
                      {discovery::FailedCall::Kind::kTimeout, Before::kWatching, 150},
                      {discovery::FailedCall::Kind::kTimeout, Before::kWatchingInStep, 225},
                      {discovery::FailedCall::Kind::kFault, Before::kJustStarted, 150},
                      {discovery::FailedCall::Kind::kTimeout, Before::kJustStarted, 225}};
  for (const Row& row : rows) {
    for (const int away_ms : {100, 700, 1500, 3000, 8000, 30000, 300000}) {
      const Fleet fleet(row.fault, row.before, milliseconds(away_ms));
      const std::string text = std::to_string(static_cast<int>(row.fault)) +
                               std::to_string(static_cast<int>(row.before)) + ", away " +
                               std::to_string(away_ms) +
                               " ms: " + std::to_string(fleet.BusiestSecond(milliseconds(away_ms)));
      EXPECT_LE(fleet.BusiestSecond(milliseconds(away_ms)), row.busiest) << text;
      // A watch without an answer is out for all of its wait and its timeout.
      const bool watches =
          row.fault == discovery::FailedCall::Kind::kTimeout && row.before != Before::kJustStarted;
      EXPECT_LE(fleet.all_called(), watches ? milliseconds(5375) : milliseconds(4000)) << text;
    }
  }
}

// The least that a service takes is a call from each in 8 s; it rejects the others at once.
TEST(ServiceRecovery, OfAnOverbookedServiceCausesNoStorm) {
  for (const auto fault : {discovery::FailedCall::Kind::kFault, discovery::FailedCall::Kind::kTimeout}) {
    for (const int away_ms : {700, 8000, 30000}) {
      const Fleet fleet(fault, Fleet::Before::kWatching, milliseconds(away_ms), Fleet::kSidecars / 8);
      EXPECT_LE(fleet.BusiestSecond(milliseconds(away_ms)), 150) << away_ms;
      EXPECT_LE(fleet.all_answered(), seconds(15)) << away_ms;
    }
  }
}

}  // namespace
}  // namespace mothrack
