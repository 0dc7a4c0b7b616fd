// What a fleet of sidecars sends a cold upstream in sum, while each knows its own traffic only: modules over
// simple upstreams in made-up time. docs/design/slow_start.md says what holds and why.
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
constexpr double kComesAgain = 0.6;  // of the clients that are refused, after kBackOff
constexpr Duration kBackOff = 200ms;

// What goes wrong while upstreams are cold, `trouble_at` after their start.
enum class Trouble {
  kNone,
  kWarmFull,     // warm ones say that they are full
  kWarmErrors,   // warm ones answer half of their calls with an error, at once
  kSurge,        // twice the calls
  kCrowd,        // five times the calls
  kAllReplaced,  // all sidecars are replaced at once, and their clients come with what they had kept back
};

struct Case {
  const char* name;
  int sidecars;
  int upstreams;
  int cold;    // of these, replaced at once
  double use;  // the load that warm upstreams bear, of what they can
  Trouble trouble;
  Duration trouble_at;
  Duration rest;        // of the play, after that
  double least = 0;     // of their fair part by the list, that the cold ones are to be sent
  double multiple = 4;  // the settings' rules from here on
  double slow_start_initial_share = 0.13;
  Duration slow_start_duration = 24s;
  Duration window = 1s;

  // A big fleet's play takes many seconds: one is enough there.
  std::vector<std::uint64_t> Seeds() const {
    return sidecars < 900 ? std::vector<std::uint64_t>{1, 2} : std::vector<std::uint64_t>{1};
  }
};
std::ostream& operator<<(std::ostream& out, const Case& c) { return out << c.name; }

double InSeconds(Duration d) { return std::chrono::duration<double>(d).count(); }

class Fleet {
 public:
  Fleet(const Case& c, std::uint64_t seed) : case_(c), settings_(DefaultSettings()), random_(seed) {
    settings_.rules.overload_multiple = c.multiple;
    settings_.rules.slow_start_initial_share = c.slow_start_initial_share;
    settings_.rules.slow_start_duration = c.slow_start_duration;
    settings_.rules.overload_window = c.window;
    settings_.sidecar_count = static_cast<std::size_t>(c.sidecars);
    for (int i = 0; i < c.upstreams; ++i) {
      list_.push_back(Up("u" + std::to_string(i)));
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
    Run(10s);  // the rates are known
    const std::size_t first = list_.size() - static_cast<std::size_t>(case_.cold);
    for (std::size_t i = first; i < list_.size(); ++i) {
      list_[i].id.value += "n";
      list_[i].started = started_ = now_;
      cold_[list_[i].id.value];
    }
    for (Sidecar& s : sidecars_) {
      s.world->Full(list_);
      Look(s);
    }
    Run(case_.trouble_at);
    trouble_ = case_.trouble;
    if (trouble_ == Trouble::kAllReplaced) {
      for (std::size_t i = 0; i < sidecars_.size(); ++i) {
        Start(i);
        sidecars_[i].again.assign(static_cast<std::size_t>(1.5 * sidecars_[i].rate), now_ + kBackOff);
      }
    }
    Run(case_.rest);
  }

  // The window that held the most against what is allowed and what is put down to chance.
  struct {
    double over = 0;
    std::size_t calls = 0;
    double allowed = 0;  // N
    Duration at{};       // after the start
  } worst;
  // The calls to cold upstreams, over what they would get if they took part by their least warmth.
  double PartSent() const { return sent_ / fair_; }

 private:
  struct Answer {
    TimePoint at;
    Sent sent;
    Outcome outcome;
  };
  struct Sidecar {
    double rate = 0;
    std::unique_ptr<World> world;
    std::size_t seen = 0, refused = 0, failed = 0, cancelled = 0;
    std::vector<Answer> answers;
    std::vector<TimePoint> again;
  };

  double Uniform() { return static_cast<double>(random_() >> 11) * 0x1p-53; }

  void Start(std::size_t i) {
    Sidecar& s = sidecars_[i];
    Settings settings = settings_;
    settings.sidecar_index = i;
    s = Sidecar{s.rate, std::make_unique<World>(settings, random_()), 0, 0, 0, 0, {}, {}};
    s.world->now = now_;
    s.world->Full(list_);
  }

  void Run(Duration time) {
    for (const TimePoint end = now_ + time; now_ < end;) {
      now_ += kStep;
      if (!cold_.empty()) fair_ += case_.cold * Share() * WarmthAt(now_) * InSeconds(kStep);
      for (Sidecar& s : sidecars_) Step(s);
    }
  }

  void Step(Sidecar& s) {
    s.world->Advance(now_ - s.world->now);
    Look(s);
    for (std::size_t i = 0; i < s.answers.size();) {
      if (s.answers[i].at > now_) {
        ++i;
        continue;
      }
      const Answer answer = s.answers[i];
      s.answers.erase(s.answers.begin() + static_cast<std::ptrdiff_t>(i));
      s.world->Finish(answer.sent, answer.outcome);
      Look(s);
    }
    const int times = trouble_ == Trouble::kSurge ? 2 : trouble_ == Trouble::kCrowd ? 5 : 1;
    int arrivals = Uniform() < times * s.rate * InSeconds(kStep) ? 1 : 0;
    arrivals += static_cast<int>(std::erase_if(s.again, [this](TimePoint at) { return at <= now_; }));
    for (; arrivals > 0; --arrivals) {
      s.world->Arrive(Uniform() < 0.5 ? kSafe : kUnsafe);
      Look(s);
    }
  }

  // What the module did since the last look reaches the upstreams.
  void Look(Sidecar& s) {
    World& w = *s.world;
    for (; s.cancelled < w.cancelled.size(); ++s.cancelled) {
      const auto [request, attempt] = w.cancelled[s.cancelled];
      for (Answer& a : s.answers) {
        if (a.sent.request != request || a.sent.attempt != attempt) continue;
        a.at = now_;
        a.outcome = Outcome::kCancelled;
      }
    }
    for (; s.seen < w.sent.size(); ++s.seen) s.answers.push_back(Reach(w.sent[s.seen]));
    const std::size_t back = w.refused.size() - s.refused + w.failed.size() - s.failed;
    for (std::size_t i = 0; i < back; ++i) {
      if (Uniform() < kComesAgain) s.again.push_back(now_ + kBackOff);
    }
    s.refused = w.refused.size();
    s.failed = w.failed.size();
  }

  Answer Reach(const Sent& sent) {
    const auto cold = cold_.find(sent.upstream);
    if (cold != cold_.end()) Count(cold->second);
    // Nobody serves more than he can, whatever comes.
    std::deque<TimePoint>& served = served_[sent.upstream];
    while (!served.empty() && served.front() <= now_ - 1s) served.pop_front();
    const double can = Share() / case_.use * (cold != cold_.end() ? WarmthAt(now_) : 1);
    if (static_cast<double>(served.size()) >= std::max(1.0, can)) return {now_ + kStep, sent, Outcome::kFull};
    served.push_back(now_);
    if (cold != cold_.end()) return {now_ + kAnswer, sent, Outcome::kServed};
    if (trouble_ == Trouble::kWarmFull) return {now_ + kStep, sent, Outcome::kFull};
    if (trouble_ == Trouble::kWarmErrors && Uniform() < 0.5) return {now_ + kStep, sent, Outcome::kError};
    return {now_ + kAnswer, sent, Outcome::kServed};
  }

  // What a warm upstream usually bears, a second.
  double Share() const { return all_rate_ / case_.upstreams; }

  double WarmthAt(TimePoint at) const {
    const double age = InSeconds(at - started_) / InSeconds(case_.slow_start_duration);
    return std::clamp(case_.slow_start_initial_share + (1 - case_.slow_start_initial_share) * age,
                      case_.slow_start_initial_share, 1.0);
  }

  void Count(std::deque<TimePoint>& arrived) {
    ++sent_;
    arrived.push_back(now_);
    while (arrived.front() <= now_ - case_.window) arrived.pop_front();
    // Present is what it could at the window's start: the strictest reading.
    const double n =
        case_.multiple * WarmthAt(now_ - case_.window) * Share() / case_.use * InSeconds(case_.window);
    const double over = static_cast<double>(arrived.size()) / (n + 2 * std::sqrt(n) + 2);
    if (over > worst.over) worst = {over, arrived.size(), n, now_ - started_};
  }

  const Case case_;
  Settings settings_;
  std::mt19937_64 random_;
  std::vector<UpstreamInfo> list_;
  std::vector<Sidecar> sidecars_;
  std::map<std::string, std::deque<TimePoint>> cold_;    // what came to each within the window
  std::map<std::string, std::deque<TimePoint>> served_;  // by each within a second
  double all_rate_ = 0;
  double sent_ = 0, fair_ = 0;
  TimePoint now_{1000s};
  TimePoint started_{};
  Trouble trouble_ = Trouble::kNone;
};

class ColdFleet : public ::testing::TestWithParam<Case> {};

TEST_P(ColdFleet, IsSentNoMoreInAWindowThanTheSettingsAllowAndChance) {
  for (const std::uint64_t seed : GetParam().Seeds()) {
    Fleet fleet(GetParam(), seed);
    fleet.Play();
    EXPECT_LE(fleet.worst.over, 1) << fleet.worst.calls << " calls where N is " << fleet.worst.allowed << ", "
                                   << InSeconds(fleet.worst.at) << " s after the start, seed " << seed;
    EXPECT_GE(fleet.PartSent(), GetParam().least) << "cold upstreams are to be used, seed " << seed;
    const std::string tag = "seed_" + std::to_string(seed);
    RecordProperty(tag + "_of_bound", std::to_string(fleet.worst.over));
    RecordProperty(tag + "_sent", std::to_string(fleet.PartSent()));
    if (std::getenv("COLD_FIGURES") != nullptr) {
      std::printf("%s seed %d: %.2f of the bound, %.2f sent\n", GetParam().name, static_cast<int>(seed),
                  fleet.worst.over, fleet.PartSent());
    }
  }
}

INSTANTIATE_TEST_SUITE_P(
    Days, ColdFleet,
    ::testing::Values(
        // With 20, 30 and 300 sidecars, all of them know nothing and neither do the upstreams.
        Case{"AllNew20", 20, 8, 8, 0.75, Trouble::kAllReplaced, 5ms, 5s, 1},
        Case{"AllNew30", 30, 10, 10, 0.75, Trouble::kAllReplaced, 5ms, 5s, 1},
        Case{"AllNew300", 300, 40, 40, 0.75, Trouble::kAllReplaced, 5ms, 5s, 1},
        Case{"AllNew300Over100", 300, 100, 100, 0.75, Trouble::kAllReplaced, 5ms, 5s, 1},
        Case{"AllNewLongWindow", 300, 40, 40, 0.75, Trouble::kAllReplaced, 5ms, 6s, 0.5, 2, 0.1, 20s, 3s},
        Case{"AllNewHalfOfTheListCold", 300, 40, 20, 0.75, Trouble::kAllReplaced, 5ms, 5s, 0.5},
        // Nothing else happens.
        Case{"OneJoins", 300, 40, 1, 0.75, Trouble::kNone, 1s, 10s, 0.6},
        Case{"HalfReplaced", 300, 40, 20, 0.75, Trouble::kNone, 1s, 10s, 1},
        Case{"HalfReplaced30", 30, 10, 5, 0.5, Trouble::kNone, 1s, 10s, 1},
        // The same in small fleets, whose sidecars each know most of the traffic, and in big ones, whose
        // sidecars each call a few of a long list.
        Case{"AllNew1", 1, 4, 4, 0.75, Trouble::kAllReplaced, 5ms, 5s, 1},
        Case{"AllNew2", 2, 6, 6, 0.75, Trouble::kAllReplaced, 5ms, 5s, 1},
        Case{"AllNew5", 5, 8, 8, 0.75, Trouble::kAllReplaced, 5ms, 5s, 1},
        Case{"AllNew900Over400", 900, 400, 400, 0.75, Trouble::kAllReplaced, 5ms, 5s, 0.8},
        Case{"OneJoins1", 1, 4, 1, 0.75, Trouble::kNone, 1s, 10s, 0.6},
        Case{"OneJoins3", 3, 6, 1, 0.75, Trouble::kNone, 1s, 10s, 0.6},
        Case{"OneJoins8", 8, 8, 1, 0.75, Trouble::kNone, 1s, 10s, 0.6},
        Case{"OneJoins900Over400", 900, 400, 1, 0.75, Trouble::kNone, 1s, 10s, 0.6},
        Case{"HalfReplaced900Over400", 900, 400, 200, 0.75, Trouble::kNone, 1s, 5s, 0.6},
        Case{"HalfAndASurge900Over400", 900, 400, 200, 0.75, Trouble::kSurge, 4s, 3s},
        // Calls are pushed onto the cold ones after each sidecar could save some of its budget.
        Case{"FullAndAShortWindow", 30, 10, 1, 0.75, Trouble::kWarmFull, 8s, 3s, 0, 4, 0.13, 24s, 200ms},
        Case{"HalfAndTheWarmFail", 300, 40, 20, 0.75, Trouble::kWarmErrors, 6s, 4s},
        Case{"HalfAndASurge", 300, 40, 20, 0.75, Trouble::kSurge, 8s, 6s},
        Case{"HalfAndACrowdToTheEnd", 300, 40, 20, 0.75, Trouble::kCrowd, 2s, 22s},
        Case{"HalfAndACrowdToTheEnd30", 30, 10, 5, 0.75, Trouble::kCrowd, 2s, 22s}),
    [](const auto& row) { return std::string(row.param.name); });

}  // namespace
}  // namespace mothrack::balancer::testing
