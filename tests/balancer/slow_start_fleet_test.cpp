// Checks the aggregate load that a fleet of sidecars sends to upstreams in slow start. Each sidecar knows
// only its own traffic. Decision modules and simple upstreams run in simulated time.
// docs/design/slow_start.md states the bound and the reason for it.
#include <algorithm>
#include <cmath>
#include <cstdio>
#include <cstdlib>
#include <deque>
#include <memory>
#include <ostream>
#include <random>
#include <vector>

#include "balancer/helpers.h"

namespace mothrack::balancer::testing {
namespace {

constexpr Duration kTimeStep = 5ms;
constexpr Duration kAnswerTime = 20ms;
constexpr double kRetryProbability = 0.6;  // of a client whose request was rejected or failed, after kBackOff
constexpr Duration kBackOff = 200ms;

// A fault injected while upstreams are in slow start, `fault_at` after their start.
enum class Fault {
  kNone,
  kOtherUpstreamsFull,   // upstreams past slow start answer that they are full
  kOtherUpstreamsFail,   // upstreams past slow start answer half of their requests with an error, at once
  kDoubleLoad,           // twice the requests
  kOverload,             // five times the requests
  kAllSidecarsReplaced,  // all sidecars restart at once and their clients send their backlog
};

struct Case {
  const char* name;
  int sidecars;
  int upstreams;
  int in_slow_start;   // of these upstreams, restarted at once
  double utilization;  // of upstreams past slow start
  Fault fault;
  Duration fault_at;
  Duration duration_after;  // of the simulation after the fault
  double min_share = 0;     // of their fair share, for the upstreams in slow start
  double multiple = 4;      // Rules::overload_multiple; the members that follow are further Rules
  double slow_start_initial_share = 0.13;
  Duration slow_start_duration = 24s;
  Duration window = 1s;

  // A large fleet takes many seconds, so it runs with one seed only.
  std::vector<std::uint64_t> Seeds() const {
    return sidecars < 900 ? std::vector<std::uint64_t>{1, 2} : std::vector<std::uint64_t>{1};
  }
};
std::ostream& operator<<(std::ostream& out, const Case& test_case) { return out << test_case.name; }

double InSeconds(Duration duration) { return std::chrono::duration<double>(duration).count(); }

class SimulatedFleet {
 public:
  SimulatedFleet(const Case& test_case, std::uint64_t seed)
      : case_(test_case), settings_(DefaultSettings()), random_(seed) {
    settings_.rules.overload_multiple = test_case.multiple;
    settings_.rules.slow_start_initial_share = test_case.slow_start_initial_share;
    settings_.rules.slow_start_duration = test_case.slow_start_duration;
    settings_.rules.overload_window = test_case.window;
    settings_.sidecar_count = static_cast<std::size_t>(test_case.sidecars);
    for (int i = 0; i < test_case.upstreams; ++i) {
      list_.push_back(MakeUpstream("u" + std::to_string(i)));
      list_.back().started = TimePoint(1s);
    }
    sidecars_.resize(static_cast<std::size_t>(test_case.sidecars));
    for (std::size_t i = 0; i < sidecars_.size(); ++i) {
      sidecars_[i].rate = i % 10 == 0 ? 20 : 2;  // requests per second
      all_rate_ += sidecars_[i].rate;
      Start(i);
    }
  }

  void Simulate() {
    Run(10s);  // until the request rates are known
    const std::size_t first = list_.size() - static_cast<std::size_t>(case_.in_slow_start);
    for (std::size_t i = first; i < list_.size(); ++i) {
      list_[i].id.value += "n";
      list_[i].started = started_ = now_;
      in_slow_start_[list_[i].id.value];
    }
    for (SimulatedSidecar& simulated : sidecars_) {
      simulated.sidecar->ReplaceList(list_);
      ApplyActions(simulated);
    }
    Run(case_.fault_at);
    fault_ = case_.fault;
    if (fault_ == Fault::kAllSidecarsReplaced) {
      for (std::size_t i = 0; i < sidecars_.size(); ++i) {
        Start(i);
        sidecars_[i].retries.assign(static_cast<std::size_t>(1.5 * sidecars_[i].rate), now_ + kBackOff);
      }
    }
    Run(case_.duration_after);
  }

  // The window with the highest ratio of requests to the bound and its margin for chance.
  struct {
    double ratio = 0;
    std::size_t requests = 0;
    double allowed = 0;  // the bound without the margin for chance
    Duration at{};       // since the upstreams in slow start started
  } worst;
  // Requests to the upstreams in slow start, divided by their fair share, which is summed over time at the
  // slow start factor of each moment.
  double SentShare() const { return sent_ / fair_share_; }

 private:
  struct Answer {
    TimePoint at;
    SentAttempt sent;
    Outcome outcome;
  };
  struct SimulatedSidecar {
    double rate = 0;
    std::unique_ptr<TestSidecar> sidecar;
    // The numbers of the sidecar's actions that ApplyActions() has already delivered.
    std::size_t sent = 0, rejected = 0, failed = 0, cancelled = 0;
    std::vector<Answer> answers;
    std::vector<TimePoint> retries;
  };

  double Uniform() { return static_cast<double>(random_() >> 11) * 0x1p-53; }

  void Start(std::size_t i) {
    SimulatedSidecar& simulated = sidecars_[i];
    Settings settings = settings_;
    settings.sidecar_index = i;
    simulated = SimulatedSidecar{
        simulated.rate, std::make_unique<TestSidecar>(settings, random_()), 0, 0, 0, 0, {}, {}};
    simulated.sidecar->now = now_;
    simulated.sidecar->ReplaceList(list_);
  }

  void Run(Duration time) {
    for (const TimePoint end = now_ + time; now_ < end;) {
      now_ += kTimeStep;
      if (!in_slow_start_.empty())
        fair_share_ += case_.in_slow_start * UsualRate() * SlowStartFactorAt(now_) * InSeconds(kTimeStep);
      for (SimulatedSidecar& simulated : sidecars_) RunStep(simulated);
    }
  }

  void RunStep(SimulatedSidecar& simulated) {
    simulated.sidecar->Advance(now_ - simulated.sidecar->now);
    ApplyActions(simulated);
    for (std::size_t i = 0; i < simulated.answers.size();) {
      if (simulated.answers[i].at > now_) {
        ++i;
        continue;
      }
      const Answer answer = simulated.answers[i];
      simulated.answers.erase(simulated.answers.begin() + static_cast<std::ptrdiff_t>(i));
      simulated.sidecar->EndAttempt(answer.sent, answer.outcome);
      ApplyActions(simulated);
    }
    const int load_factor = fault_ == Fault::kDoubleLoad ? 2 : fault_ == Fault::kOverload ? 5 : 1;
    int arrivals = Uniform() < load_factor * simulated.rate * InSeconds(kTimeStep) ? 1 : 0;
    arrivals +=
        static_cast<int>(std::erase_if(simulated.retries, [this](TimePoint at) { return at <= now_; }));
    for (; arrivals > 0; --arrivals) {
      simulated.sidecar->Arrive(Uniform() < 0.5 ? kSafe : kUnsafe);
      ApplyActions(simulated);
    }
  }

  // Delivers the actions that the decision module has produced since the last call.
  void ApplyActions(SimulatedSidecar& simulated) {
    TestSidecar& sidecar = *simulated.sidecar;
    for (; simulated.cancelled < sidecar.cancelled.size(); ++simulated.cancelled) {
      const auto [request, attempt] = sidecar.cancelled[simulated.cancelled];
      for (Answer& answer : simulated.answers) {
        if (answer.sent.request != request || answer.sent.attempt != attempt) continue;
        answer.at = now_;
        answer.outcome = Outcome::kCancelled;
      }
    }
    for (; simulated.sent < sidecar.sent.size(); ++simulated.sent)
      simulated.answers.push_back(AnswerOf(sidecar.sent[simulated.sent]));
    const std::size_t ended =
        sidecar.rejected.size() - simulated.rejected + sidecar.failed.size() - simulated.failed;
    for (std::size_t i = 0; i < ended; ++i) {
      if (Uniform() < kRetryProbability) simulated.retries.push_back(now_ + kBackOff);
    }
    simulated.rejected = sidecar.rejected.size();
    simulated.failed = sidecar.failed.size();
  }

  Answer AnswerOf(const SentAttempt& sent) {
    const auto in_slow_start = in_slow_start_.find(sent.upstream);
    if (in_slow_start != in_slow_start_.end()) RecordArrival(in_slow_start->second);
    // An upstream never serves above its capacity.
    std::deque<TimePoint>& served = served_[sent.upstream];
    while (!served.empty() && served.front() <= now_ - 1s) served.pop_front();
    const double capacity = UsualRate() / case_.utilization *
                            (in_slow_start != in_slow_start_.end() ? SlowStartFactorAt(now_) : 1);
    if (static_cast<double>(served.size()) >= std::max(1.0, capacity))
      return {now_ + kTimeStep, sent, Outcome::kFull};
    served.push_back(now_);
    if (in_slow_start != in_slow_start_.end()) return {now_ + kAnswerTime, sent, Outcome::kServed};
    if (fault_ == Fault::kOtherUpstreamsFull) return {now_ + kTimeStep, sent, Outcome::kFull};
    if (fault_ == Fault::kOtherUpstreamsFail && Uniform() < 0.5)
      return {now_ + kTimeStep, sent, Outcome::kError};
    return {now_ + kAnswerTime, sent, Outcome::kServed};
  }

  // Usual rate of an upstream past slow start, in requests per second.
  double UsualRate() const { return all_rate_ / case_.upstreams; }

  double SlowStartFactorAt(TimePoint at) const {
    const double age = InSeconds(at - started_) / InSeconds(case_.slow_start_duration);
    return std::clamp(case_.slow_start_initial_share + (1 - case_.slow_start_initial_share) * age,
                      case_.slow_start_initial_share, 1.0);
  }

  void RecordArrival(std::deque<TimePoint>& arrived) {
    ++sent_;
    arrived.push_back(now_);
    while (arrived.front() <= now_ - case_.window) arrived.pop_front();
    // The factor at the start of the window gives the lowest bound.
    const double allowed = case_.multiple * SlowStartFactorAt(now_ - case_.window) * UsualRate() /
                           case_.utilization * InSeconds(case_.window);
    const double ratio = static_cast<double>(arrived.size()) / (allowed + 2 * std::sqrt(allowed) + 2);
    if (ratio > worst.ratio) worst = {ratio, arrived.size(), allowed, now_ - started_};
  }

  const Case case_;
  Settings settings_;
  std::mt19937_64 random_;
  std::vector<UpstreamInfo> list_;
  std::vector<SimulatedSidecar> sidecars_;
  // By upstream id, for upstreams in slow start only: the times of the arrivals within the last case_.window.
  std::map<std::string, std::deque<TimePoint>> in_slow_start_;
  // By upstream id: the times of the requests served within the last second.
  std::map<std::string, std::deque<TimePoint>> served_;
  double all_rate_ = 0;
  double sent_ = 0, fair_share_ = 0;
  TimePoint now_{1000s};
  TimePoint started_{};
  Fault fault_ = Fault::kNone;
};

class SlowStartFleet : public ::testing::TestWithParam<Case> {};

TEST_P(SlowStartFleet, GetsNoMoreInAWindowThanTheSettingsAndChanceAllow) {
  for (const std::uint64_t seed : GetParam().Seeds()) {
    SimulatedFleet fleet(GetParam(), seed);
    fleet.Simulate();
    EXPECT_LE(fleet.worst.ratio, 1) << fleet.worst.requests << " requests where the bound is "
                                    << fleet.worst.allowed << ", " << InSeconds(fleet.worst.at)
                                    << " s after the start, seed " << seed;
    EXPECT_GE(fleet.SentShare(), GetParam().min_share)
        << "upstreams in slow start must be used, seed " << seed;
    const std::string tag = "seed_" + std::to_string(seed);
    RecordProperty(tag + "_of_bound", std::to_string(fleet.worst.ratio));
    RecordProperty(tag + "_sent", std::to_string(fleet.SentShare()));
    // Prints the figures if the environment variable COLD_FIGURES is set.
    if (std::getenv("COLD_FIGURES") != nullptr) {
      std::printf("%s seed %d: %.2f of the bound, %.2f sent\n", GetParam().name, static_cast<int>(seed),
                  fleet.worst.ratio, fleet.SentShare());
    }
  }
}

INSTANTIATE_TEST_SUITE_P(
    Cases, SlowStartFleet,
    ::testing::Values(
        // All sidecars and all upstreams are new.
        Case{"AllNew20", 20, 8, 8, 0.75, Fault::kAllSidecarsReplaced, 5ms, 5s, 1},
        Case{"AllNew30", 30, 10, 10, 0.75, Fault::kAllSidecarsReplaced, 5ms, 5s, 1},
        Case{"AllNew300", 300, 40, 40, 0.75, Fault::kAllSidecarsReplaced, 5ms, 5s, 1},
        Case{"AllNew300Over100", 300, 100, 100, 0.75, Fault::kAllSidecarsReplaced, 5ms, 5s, 1},
        Case{"AllNewLongWindow", 300, 40, 40, 0.75, Fault::kAllSidecarsReplaced, 5ms, 6s, 0.5, 2, 0.1, 20s,
             3s},
        Case{"AllNewHalfInSlowStart", 300, 40, 20, 0.75, Fault::kAllSidecarsReplaced, 5ms, 5s, 0.5},
        // No fault.
        Case{"OneJoins", 300, 40, 1, 0.75, Fault::kNone, 1s, 10s, 0.6},
        Case{"HalfReplaced", 300, 40, 20, 0.75, Fault::kNone, 1s, 10s, 1},
        Case{"HalfReplaced30", 30, 10, 5, 0.5, Fault::kNone, 1s, 10s, 1},
        // Small fleets, where each sidecar sees most of the traffic, and large ones, where each uses a
        // subset.
        Case{"AllNew1", 1, 4, 4, 0.75, Fault::kAllSidecarsReplaced, 5ms, 5s, 1},
        Case{"AllNew2", 2, 6, 6, 0.75, Fault::kAllSidecarsReplaced, 5ms, 5s, 1},
        Case{"AllNew5", 5, 8, 8, 0.75, Fault::kAllSidecarsReplaced, 5ms, 5s, 1},
        Case{"AllNew900Over400", 900, 400, 400, 0.75, Fault::kAllSidecarsReplaced, 5ms, 5s, 0.8},
        Case{"OneJoins1", 1, 4, 1, 0.75, Fault::kNone, 1s, 10s, 0.6},
        Case{"OneJoins3", 3, 6, 1, 0.75, Fault::kNone, 1s, 10s, 0.6},
        Case{"OneJoins8", 8, 8, 1, 0.75, Fault::kNone, 1s, 10s, 0.6},
        Case{"OneJoins900Over400", 900, 400, 1, 0.75, Fault::kNone, 1s, 10s, 0.6},
        Case{"HalfReplaced900Over400", 900, 400, 200, 0.75, Fault::kNone, 1s, 5s, 0.6},
        Case{"HalfReplacedDoubleLoad900Over400", 900, 400, 200, 0.75, Fault::kDoubleLoad, 4s, 3s},
        // Load shifts to the upstreams in slow start, or rises, after each sidecar has accumulated some
        // budget.
        Case{"OthersFullShortWindow", 30, 10, 1, 0.75, Fault::kOtherUpstreamsFull, 8s, 3s, 0, 4, 0.13, 24s,
             200ms},
        Case{"HalfReplacedOthersFail", 300, 40, 20, 0.75, Fault::kOtherUpstreamsFail, 6s, 4s},
        Case{"HalfReplacedDoubleLoad", 300, 40, 20, 0.75, Fault::kDoubleLoad, 8s, 6s},
        Case{"HalfReplacedOverloadUntilTheEnd", 300, 40, 20, 0.75, Fault::kOverload, 2s, 22s},
        Case{"HalfReplacedOverloadUntilTheEnd30", 30, 10, 5, 0.75, Fault::kOverload, 2s, 22s}),
    [](const auto& row) { return std::string(row.param.name); });

}  // namespace
}  // namespace mothrack::balancer::testing
