// The aggregate load that a fleet of sidecars sends upstreams in slow start while each sidecar knows only its
// own traffic: decision modules over simple upstreams in simulated time. docs/design/cold.md states the bound
// and why.
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

constexpr Duration kStep = 5ms;
constexpr Duration kAnswer = 20ms;
constexpr double kRetryProbability = 0.6;  // of the clients that are refused, after kBackOff
constexpr Duration kBackOff = 200ms;

// A fault injected while upstreams are in slow start, `fault_at` after their start.
enum class Fault {
  kNone,
  kWarmUpstreamsFull,    // warm upstreams answer that they are full
  kWarmUpstreamsFail,    // warm upstreams answer half of their requests with an error, at once
  kDoubleLoad,           // twice the requests
  kOverload,             // five times the requests
  kAllSidecarsReplaced,  // all sidecars restart at once and their clients send their backlog
};

struct Case {
  const char* name;
  int sidecars;
  int upstreams;
  int warming_up;  // of these upstreams, restarted at once
  double use;      // utilisation of warm upstreams
  Fault fault;
  Duration fault_at;
  Duration duration_after;  // of the simulation after the fault
  double min_share = 0;     // least part of their fair share that warming upstreams get
  double multiple = 4;      // from here on: rules of the settings
  double slow_start_initial_share = 0.13;
  Duration slow_start_duration = 24s;
  Duration window = 1s;

  // A large fleet takes many seconds: one seed suffices there.
  std::vector<std::uint64_t> Seeds() const {
    return sidecars < 900 ? std::vector<std::uint64_t>{1, 2} : std::vector<std::uint64_t>{1};
  }
};
std::ostream& operator<<(std::ostream& out, const Case& c) { return out << c.name; }

double InSeconds(Duration d) { return std::chrono::duration<double>(d).count(); }

class SimulatedFleet {
 public:
  SimulatedFleet(const Case& c, std::uint64_t seed) : case_(c), settings_(DefaultSettings()), random_(seed) {
    settings_.rules.overload_multiple = c.multiple;
    settings_.rules.slow_start_initial_share = c.slow_start_initial_share;
    settings_.rules.slow_start_duration = c.slow_start_duration;
    settings_.rules.overload_window = c.window;
    settings_.sidecar_count = static_cast<std::size_t>(c.sidecars);
    for (int i = 0; i < c.upstreams; ++i) {
      list_.push_back(MakeUpstream("u" + std::to_string(i)));
      list_.back().started = TimePoint(1s);
    }
    sidecars_.resize(static_cast<std::size_t>(c.sidecars));
    for (std::size_t i = 0; i < sidecars_.size(); ++i) {
      sidecars_[i].rate = i % 10 == 0 ? 20 : 2;  // a second
      all_rate_ += sidecars_[i].rate;
      Start(i);
    }
  }

  void Play() {
    Run(10s);  // until the request rates are known
    const std::size_t first = list_.size() - static_cast<std::size_t>(case_.warming_up);
    for (std::size_t i = first; i < list_.size(); ++i) {
      list_[i].id.value += "n";
      list_[i].started = started_ = now_;
      warming_up_[list_[i].id.value];
    }
    for (Sidecar& s : sidecars_) {
      s.world->ReplaceList(list_);
      ApplyActions(s);
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
    double over = 0;
    std::size_t calls = 0;
    double allowed = 0;  // N
    Duration at{};       // after the start
  } worst;
  // Requests to warming upstreams over their fair share at the minimum slow start factor.
  double SentShare() const { return sent_ / fair_; }

 private:
  struct Answer {
    TimePoint at;
    SentAttempt sent;
    Outcome outcome;
  };
  struct Sidecar {
    double rate = 0;
    std::unique_ptr<TestSidecar> world;
    std::size_t seen = 0, rejected = 0, failed = 0, cancelled = 0;
    std::vector<Answer> answers;
    std::vector<TimePoint> retries;
  };

  double Uniform() { return static_cast<double>(random_() >> 11) * 0x1p-53; }

  void Start(std::size_t i) {
    Sidecar& s = sidecars_[i];
    Settings settings = settings_;
    settings.sidecar_index = i;
    s = Sidecar{s.rate, std::make_unique<TestSidecar>(settings, random_()), 0, 0, 0, 0, {}, {}};
    s.world->now = now_;
    s.world->ReplaceList(list_);
  }

  void Run(Duration time) {
    for (const TimePoint end = now_ + time; now_ < end;) {
      now_ += kStep;
      if (!warming_up_.empty())
        fair_ += case_.warming_up * Share() * SlowStartFactorAt(now_) * InSeconds(kStep);
      for (Sidecar& s : sidecars_) Step(s);
    }
  }

  void Step(Sidecar& s) {
    s.world->Advance(now_ - s.world->now);
    ApplyActions(s);
    for (std::size_t i = 0; i < s.answers.size();) {
      if (s.answers[i].at > now_) {
        ++i;
        continue;
      }
      const Answer answer = s.answers[i];
      s.answers.erase(s.answers.begin() + static_cast<std::ptrdiff_t>(i));
      s.world->EndAttempt(answer.sent, answer.outcome);
      ApplyActions(s);
    }
    const int times = fault_ == Fault::kDoubleLoad ? 2 : fault_ == Fault::kOverload ? 5 : 1;
    int arrivals = Uniform() < times * s.rate * InSeconds(kStep) ? 1 : 0;
    arrivals += static_cast<int>(std::erase_if(s.retries, [this](TimePoint at) { return at <= now_; }));
    for (; arrivals > 0; --arrivals) {
      s.world->Arrive(Uniform() < 0.5 ? kSafe : kUnsafe);
      ApplyActions(s);
    }
  }

  // Delivers the actions of the module since the last call to the upstreams.
  void ApplyActions(Sidecar& s) {
    TestSidecar& w = *s.world;
    for (; s.cancelled < w.cancelled.size(); ++s.cancelled) {
      const auto [request, attempt] = w.cancelled[s.cancelled];
      for (Answer& a : s.answers) {
        if (a.sent.request != request || a.sent.attempt != attempt) continue;
        a.at = now_;
        a.outcome = Outcome::kCancelled;
      }
    }
    for (; s.seen < w.sent.size(); ++s.seen) s.answers.push_back(Reach(w.sent[s.seen]));
    const std::size_t back = w.rejected.size() - s.rejected + w.failed.size() - s.failed;
    for (std::size_t i = 0; i < back; ++i) {
      if (Uniform() < kRetryProbability) s.retries.push_back(now_ + kBackOff);
    }
    s.rejected = w.rejected.size();
    s.failed = w.failed.size();
  }

  Answer Reach(const SentAttempt& sent) {
    const auto warming_up = warming_up_.find(sent.upstream);
    if (warming_up != warming_up_.end()) Count(warming_up->second);
    // An upstream never serves above its capacity.
    std::deque<TimePoint>& served = served_[sent.upstream];
    while (!served.empty() && served.front() <= now_ - 1s) served.pop_front();
    const double can = Share() / case_.use * (warming_up != warming_up_.end() ? SlowStartFactorAt(now_) : 1);
    if (static_cast<double>(served.size()) >= std::max(1.0, can)) return {now_ + kStep, sent, Outcome::kFull};
    served.push_back(now_);
    if (warming_up != warming_up_.end()) return {now_ + kAnswer, sent, Outcome::kServed};
    if (fault_ == Fault::kWarmUpstreamsFull) return {now_ + kStep, sent, Outcome::kFull};
    if (fault_ == Fault::kWarmUpstreamsFail && Uniform() < 0.5) return {now_ + kStep, sent, Outcome::kError};
    return {now_ + kAnswer, sent, Outcome::kServed};
  }

  // Usual rate of a warm upstream, in requests per second.
  double Share() const { return all_rate_ / case_.upstreams; }

  double SlowStartFactorAt(TimePoint at) const {
    const double age = InSeconds(at - started_) / InSeconds(case_.slow_start_duration);
    return std::clamp(case_.slow_start_initial_share + (1 - case_.slow_start_initial_share) * age,
                      case_.slow_start_initial_share, 1.0);
  }

  void Count(std::deque<TimePoint>& arrived) {
    ++sent_;
    arrived.push_back(now_);
    while (arrived.front() <= now_ - case_.window) arrived.pop_front();
    // The factor at the start of the window: the strictest reading.
    const double n = case_.multiple * SlowStartFactorAt(now_ - case_.window) * Share() / case_.use *
                     InSeconds(case_.window);
    const double over = static_cast<double>(arrived.size()) / (n + 2 * std::sqrt(n) + 2);
    if (over > worst.over) worst = {over, arrived.size(), n, now_ - started_};
  }

  const Case case_;
  Settings settings_;
  std::mt19937_64 random_;
  std::vector<UpstreamInfo> list_;
  std::vector<Sidecar> sidecars_;
  std::map<std::string, std::deque<TimePoint>> warming_up_;  // arrivals at each within the window
  std::map<std::string, std::deque<TimePoint>> served_;      // served by each within the last second
  double all_rate_ = 0;
  double sent_ = 0, fair_ = 0;
  TimePoint now_{1000s};
  TimePoint started_{};
  Fault fault_ = Fault::kNone;
};

class SlowStartFleet : public ::testing::TestWithParam<Case> {};

TEST_P(SlowStartFleet, GetsNoMoreInAWindowThanTheSettingsAndChanceAllow) {
  for (const std::uint64_t seed : GetParam().Seeds()) {
    SimulatedFleet fleet(GetParam(), seed);
    fleet.Play();
    EXPECT_LE(fleet.worst.over, 1) << fleet.worst.calls << " calls where N is " << fleet.worst.allowed << ", "
                                   << InSeconds(fleet.worst.at) << " s after the start, seed " << seed;
    EXPECT_GE(fleet.SentShare(), GetParam().min_share) << "cold upstreams are to be used, seed " << seed;
    const std::string tag = "seed_" + std::to_string(seed);
    RecordProperty(tag + "_of_bound", std::to_string(fleet.worst.over));
    RecordProperty(tag + "_sent", std::to_string(fleet.SentShare()));
    if (std::getenv("COLD_FIGURES") != nullptr) {
      std::printf("%s seed %d: %.2f of the bound, %.2f sent\n", GetParam().name, static_cast<int>(seed),
                  fleet.worst.over, fleet.SentShare());
    }
  }
}

INSTANTIATE_TEST_SUITE_P(
    Days, SlowStartFleet,
    ::testing::Values(
        // All sidecars and all upstreams are new.
        Case{"AllNew20", 20, 8, 8, 0.75, Fault::kAllSidecarsReplaced, 5ms, 5s, 1},
        Case{"AllNew30", 30, 10, 10, 0.75, Fault::kAllSidecarsReplaced, 5ms, 5s, 1},
        Case{"AllNew300", 300, 40, 40, 0.75, Fault::kAllSidecarsReplaced, 5ms, 5s, 1},
        Case{"AllNew300Over100", 300, 100, 100, 0.75, Fault::kAllSidecarsReplaced, 5ms, 5s, 1},
        Case{"AllNewLongWindow", 300, 40, 40, 0.75, Fault::kAllSidecarsReplaced, 5ms, 6s, 0.5, 2, 0.1, 20s,
             3s},
        Case{"AllNewHalfOfTheListCold", 300, 40, 20, 0.75, Fault::kAllSidecarsReplaced, 5ms, 5s, 0.5},
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
        Case{"HalfAndASurge900Over400", 900, 400, 200, 0.75, Fault::kDoubleLoad, 4s, 3s},
        // Load shifts to the warming upstreams after each sidecar has accumulated some budget.
        Case{"FullAndAShortWindow", 30, 10, 1, 0.75, Fault::kWarmUpstreamsFull, 8s, 3s, 0, 4, 0.13, 24s,
             200ms},
        Case{"HalfAndTheWarmFail", 300, 40, 20, 0.75, Fault::kWarmUpstreamsFail, 6s, 4s},
        Case{"HalfAndASurge", 300, 40, 20, 0.75, Fault::kDoubleLoad, 8s, 6s},
        Case{"HalfAndACrowdToTheEnd", 300, 40, 20, 0.75, Fault::kOverload, 2s, 22s},
        Case{"HalfAndACrowdToTheEnd30", 30, 10, 5, 0.75, Fault::kOverload, 2s, 22s}),
    [](const auto& row) { return std::string(row.param.name); });

}  // namespace
}  // namespace mothrack::balancer::testing
