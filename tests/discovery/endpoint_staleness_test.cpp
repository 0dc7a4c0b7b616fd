// The bound on the staleness of the endpoint list in each case, and the load on a service that recovers. Both
// are computed from the pure functions, without sockets or a clock.
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

discovery::StalenessRules MakeRules(bool on_request, runtime::Duration drain,
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
        all.push_back(MakeRules(on_request, milliseconds(drain), seconds(poll_within)));
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
      // The operators' limit at any settings: 6 s, and for a watch at a service 2 s after the end of its
      // wait.
      const bool waits = rules.on_request && staleness_case == discovery::StalenessCase::kWatchTimeout;
      EXPECT_LE(discovery::StalenessBound(rules, staleness_case),
                (waits ? policy.watch_wait + seconds(2) : runtime::Duration(seconds(6))) +
                    std::min<runtime::Duration>(rules.drain_within, seconds(2)));
      // A watch that timed out counts as a failed call: if the service answers the next call within 1 s, the
      // sidecar is notified within 6 s.
      EXPECT_LE(policy.watch_wait + policy.watch_timeout + seconds(1),
                seconds(6) + std::min<runtime::Duration>(rules.drain_within, seconds(2)));
    }
    // The service can handle one call in 5 s from each sidecar.
    EXPECT_GE(policy.watch_wait, rules.on_request ? seconds(5) : seconds(0));
    EXPECT_GE(discovery::SchedulingMargin(rules),
              std::min<runtime::Duration>(rules.drain_within, seconds(2)) / 4);
  }
}

// The staleness is counted from the moment after which the failed call can't deliver the change any more,
// although the source has it and is reachable.
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
            // A watch delivers changes until it breaks.
            const runtime::Duration stale_before_failure = watch ? runtime::Duration::zero() : elapsed;
            EXPECT_LE(stale_before_failure + backoff(Kind::kFault, elapsed) + policy.answer_time, bound)
                << Describe(rules) << consecutive_failures;
            EXPECT_LE(backoff(Kind::kOutdated, elapsed), policy.fault_backoff)
                << Describe(rules) << consecutive_failures;
            // The source isn't polled in a busy loop.
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

// The balancer polls on its own if it is embedded without the discovery loop. The failed call and the next
// one take up to the service's timeout of 2 s each.
TEST(StalenessBoundTest, HoldsInTheModuleAtAnySetting) {
  for (const int poll_within : {1, 5, 10, 30, 600}) {
    for (int seed = 1; seed <= 20; ++seed) {
      balancer::Settings settings = balancer::testing::DefaultSettings();
      settings.membership_on_request = true;
      settings.rules.poll_within = seconds(poll_within);
      balancer::testing::TestSidecar sidecar(settings, seed);
      sidecar.ListUpstreams(1);
      sidecar.Handle(MembershipUpdate{MembershipUpdate::Kind::kFailed, {}});
      const auto failed = sidecar.now;
      while (sidecar.subscribed == 1 && sidecar.now - failed < seconds(5)) sidecar.Advance(milliseconds(10));
      EXPECT_LE(sidecar.now - failed, seconds(2)) << poll_within << " s, seed " << seed;
      EXPECT_GE(sidecar.now - failed, milliseconds(100)) << poll_within << " s, seed " << seed;
    }
  }
}

TEST(StalenessBoundTest, WatchesAfterACommonChangeEndAtDifferentTimes) {
  const discovery::PollPolicy on_request = discovery::PollPolicy::For(MakeRules(true, milliseconds(500)));
  EXPECT_EQ(on_request.WatchWaitAfter(true, 0), milliseconds(2500));
  EXPECT_EQ(on_request.WatchWaitAfter(true, 0.5), milliseconds(3750));
  EXPECT_EQ(on_request.WatchWaitAfter(false, 0), on_request.watch_wait);
  const discovery::PollPolicy pushed = discovery::PollPolicy::For(MakeRules(false, milliseconds(500)));
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
    const discovery::StalenessRules rules = MakeRules(row.on_request, milliseconds(500));
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
    EXPECT_EQ(discovery::PollPolicy::For(MakeRules(false, milliseconds(drain))).watch_wait, milliseconds(40));
  }
  EXPECT_EQ(discovery::PollPolicy::For(MakeRules(false, milliseconds(150))).watch_wait, milliseconds(60));
  EXPECT_EQ(discovery::PollPolicy::For(MakeRules(false, std::chrono::hours(1))).watch_wait,
            milliseconds(800));
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

// ---- The load on a service that recovers ----

// The calls of 300 sidecars to a service in simulated time. From time 0 the service has an outage of length
// `outage`, in which calls fail with `fault`.
class Fleet {
 public:
  // The state of the sidecars when the outage begins. In step: their watches end at about the same time.
  enum class InitialState { kWatching, kWatchingInStep, kJustStarted };
  static constexpr int kSidecars = 300;

  // `capacity_per_second`: the maximum number of calls that the recovered service answers in a second; it
  // rejects the others.
  Fleet(discovery::FailedCall::Kind fault, InitialState initial_state, runtime::Duration outage,
        int capacity_per_second = kSidecars * 1000)
      : policy_(discovery::PollPolicy::For(MakeRules(true, milliseconds(500)))),
        fault_(fault),
        initial_state_(initial_state),
        outage_(outage) {
    std::vector<std::pair<runtime::Duration, int>> due;  // heap of: start of the next call, sidecar
    for (int i = 0; i < kSidecars; ++i) due.emplace_back(FirstCall(i), i);
    failures_.assign(kSidecars, initial_state == InitialState::kJustStarted ? 0 : 1);
    const auto later = std::greater<>();
    std::make_heap(due.begin(), due.end(), later);
    std::vector<runtime::Duration> accepted;
    while (!due.empty()) {
      std::pop_heap(due.begin(), due.end(), later);
      const auto [at, sidecar] = due.back();
      due.pop_back();
      starts_.push_back(at);
      const bool recovered = at >= outage_;
      if (recovered) all_called_ = std::max(all_called_, at - outage_);
      const auto in_last_second = [from = at - seconds(1)](runtime::Duration time) { return time > from; };
      if (recovered &&
          std::count_if(accepted.rbegin(),
                        accepted.rbegin() + std::min<std::size_t>(accepted.size(), capacity_per_second),
                        in_last_second) < capacity_per_second) {
        accepted.push_back(at);
        all_answered_ = at - outage_;
        continue;
      }
      const bool timed_out = !recovered && fault_ == discovery::FailedCall::Kind::kTimeout;
      const runtime::Duration elapsed = timed_out ? policy_.retry_timeout : runtime::Duration::zero();
      const auto kind =
          timed_out ? discovery::FailedCall::Kind::kTimeout : discovery::FailedCall::Kind::kFault;
      due.emplace_back(
          at + elapsed + policy_.BackoffAfter({kind, false, ++failures_[sidecar], elapsed}, Draw()), sidecar);
      std::push_heap(due.begin(), due.end(), later);
    }
  }

  // The time from the recovery until each sidecar had called.
  runtime::Duration all_called() const { return all_called_; }
  // The time from the recovery until each sidecar was answered.
  runtime::Duration all_answered() const { return all_answered_; }
  // The maximum number of calls in any second that begins at `from` or later.
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
    if (initial_state_ == InitialState::kJustStarted) return runtime::Duration::zero();
    if (fault_ == discovery::FailedCall::Kind::kFault)
      return policy_.BackoffAfter({fault_, true, 1, seconds(1)}, Draw());
    if (initial_state_ == InitialState::kWatchingInStep)
      return policy_.WatchWaitAfter(true, Draw()) + policy_.watch_timeout;
    // The watches were begun at different moments.
    return (policy_.watch_wait * (sidecar + 1)) / kSidecars + policy_.watch_timeout;
  }

  const discovery::PollPolicy policy_;
  const discovery::FailedCall::Kind fault_;
  const InitialState initial_state_;
  const runtime::Duration outage_;
  std::mt19937_64 random_{7};
  std::vector<int> failures_;
  std::vector<runtime::Duration> starts_;
  runtime::Duration all_called_{};
  runtime::Duration all_answered_{};
};

TEST(ServiceRecovery, CausesNoStormAndReachesEachSidecarInTime) {
  using InitialState = Fleet::InitialState;
  struct Row {
    discovery::FailedCall::Kind fault;
    InitialState initial_state;
    int busiest;  // maximum calls in a second after the recovery
  };
  // If each of 300 sidecars calls within 4 s, at least 75 call in some second; twice that is allowed.
  // Sidecars whose calls timed out together spread over 1.5 s, which is 200 in a second, plus random
  // variation.
  const Row rows[] = {{discovery::FailedCall::Kind::kFault, InitialState::kWatching, 150},
                      {discovery::FailedCall::Kind::kTimeout, InitialState::kWatching, 150},
                      {discovery::FailedCall::Kind::kTimeout, InitialState::kWatchingInStep, 225},
                      {discovery::FailedCall::Kind::kFault, InitialState::kJustStarted, 150},
                      {discovery::FailedCall::Kind::kTimeout, InitialState::kJustStarted, 225}};
  for (const Row& row : rows) {
    for (const int outage_ms : {100, 700, 1500, 3000, 8000, 30000, 300000}) {
      const Fleet fleet(row.fault, row.initial_state, milliseconds(outage_ms));
      const std::string text = std::to_string(static_cast<int>(row.fault)) +
                               std::to_string(static_cast<int>(row.initial_state)) + ", outage of " +
                               std::to_string(outage_ms) +
                               " ms: " + std::to_string(fleet.BusiestSecond(milliseconds(outage_ms)));
      EXPECT_LE(fleet.BusiestSecond(milliseconds(outage_ms)), row.busiest) << text;
      // An unanswered watch is pending for its whole wait and timeout.
      const bool watches = row.fault == discovery::FailedCall::Kind::kTimeout &&
                           row.initial_state != InitialState::kJustStarted;
      EXPECT_LE(fleet.all_called(), watches ? milliseconds(5375) : milliseconds(4000)) << text;
    }
  }
}

// The service has the smallest allowed capacity, a call from each sidecar in 8 s, and rejects other calls at
// once.
TEST(ServiceRecovery, OfAnOverloadedServiceCausesNoStorm) {
  for (const auto fault : {discovery::FailedCall::Kind::kFault, discovery::FailedCall::Kind::kTimeout}) {
    for (const int outage_ms : {700, 8000, 30000}) {
      const Fleet fleet(fault, Fleet::InitialState::kWatching, milliseconds(outage_ms), Fleet::kSidecars / 8);
      EXPECT_LE(fleet.BusiestSecond(milliseconds(outage_ms)), 150) << outage_ms;
      EXPECT_LE(fleet.all_answered(), seconds(15)) << outage_ms;
    }
  }
}

}  // namespace
}  // namespace mothrack
