// Many members over three zones in made-up time: how soon nothing is sent to a lost zone by anybody, for how
// long the members disagree, what the cold zone is sent when it is back, and whether a zone is ever left that
// should not be.
//   zones_bench [NIGHTS [MEMBERS [NAME]]]      the figures of docs/design/zones.md; NIGHTS calm and
//   overloaded ones (NAME nights), 20 and 5 of the others at most
// Links, servers and the module are models: servers of a zone are one queue; a member spreads its calls by
// the shares it is given, passes over a zone of which it found three upstreams silent itself (as the module
// does), and sends to cold upstreams by its allowance alone.
#include <algorithm>
#include <cmath>
#include <cstdio>
#include <cstdlib>
#include <deque>
#include <memory>
#include <random>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "zone_failover/decision.h"
#include "zone_failover/evidence_codec.h"
#include "zone_failover/observer.h"
#include "zone_failover/traffic_plan.h"

namespace {

using namespace mothrack::zone_failover;
using std::chrono::milliseconds;

constexpr int kTick = 10;  // ms
constexpr int kZones = 3;
constexpr int kUpstreams = 20;  // of a zone
constexpr double kRate = 15;    // calls a second and member, on average
constexpr int kAim = 400, kWork = 60, kConnect = 250;
constexpr double kColdFrom = 0.1, kColdTime = 20'000, kFall = 2;

constexpr int kThreads = 3;

struct Night {
  const char* name = "calm";
  int members = 60;
  double use = 0.5;  // of what all zones can
  int length = 60'000;
  int lost_at = -1, back_at = -1;  // of zone 0
  int lost_again = -1, back_again = -1;
  int second_at = -1;     // zone 1 goes as well
  double lost_share = 1;  // of the zone's upstreams that go
  bool hall = false;      // its members as well
  bool cut = false;       // they and their zone live, and hear nobody outside
  int liars = 0;          // say that zone 2 is silent
  double busy = 1;        // the first liar's rate
  bool shared = true;     // else each alone
  bool again_cold = true;
};

struct Result {
  double left_by = -1;  // ms from the loss to the last first call that a member sent there
  double alone_median = 0;
  double disagreed = 0;  // ms in which not all that live and hear each other were in the same phase and step
  long into_lost = 0, answered = 0, refused = 0, failed = 0, calls = 0;
  double most_of_cold = 0;  // of what would topple it, in any second
  double used_of_allowance = 0;
  double full_at = -1;  // ms from the return to all members using all of it
  int false_leaves = 0, leaves = 0;
  bool returned_all = true;
  long reported = 0, bytes = 0;
};

struct Member {
  MemberId id;
  int zone = 0;
  double rate = 0;
  std::unique_ptr<Observer> observer;
  ZoneStates state;
  TrafficPlan plan;
  std::vector<EvidenceReport> reports;
  std::vector<int> made;  // when what is in `heard` was told
  std::vector<std::uint64_t> latest_sequence;
  double bucket[kZones] = {};
  double probe_budget[kZones] = {};
  int unanswered_run[kZones] = {};
  double shed = 0;     // of the calls, refused by its own lateness
  int last_sent = -1;  // to zone 0 while it was lost
  std::uint64_t sequence = 0;
};

struct Ending {
  int member, zone, upstream, sent;
  Outcome outcome;
  bool in_time;
};
struct Letter {
  int to, from, made;
  std::uint64_t sequence;
  std::shared_ptr<const Evidence> evidence;
};

class World {
 public:
  World(const Night& night, std::uint64_t seed) : n_(night), random_(seed) {
    for (int z = 0; z < kZones; ++z) names_.push_back("hall-" + std::to_string(z));
    double sum = 0;
    members_.resize(n_.members);
    for (int i = 0; i < n_.members; ++i) {
      Member& m = members_[i];
      m.zone = i % kZones;
      m.id = {"s" + std::to_string(i), names_[m.zone]};
      m.rate = std::exp(std::normal_distribution(0.0, 0.6)(random_));
      sum += m.rate;
    }
    for (Member& m : members_) {
      m.rate *= kRate * n_.members / sum;
      m.observer = std::make_unique<Observer>(m.id.zone);
      m.reports.resize(n_.members);
      m.made.assign(n_.members, 0);
      m.latest_sequence.assign(n_.members, 0);
      for (int z = 0; z < kZones; ++z) {
        m.observer->SetUpstreams(names_[z], kUpstreams, At(0));
        m.bucket[z] = Uniform() - 1;
      }
    }
    if (n_.liars > 0) members_[0].rate *= n_.busy;
    capacity_ = kRate * n_.members / kZones / n_.use;
    endings_.resize(1024);
    letters_.resize(1024);
  }

  Result Play() {
    for (now_ = 0; now_ < n_.length; now_ += kTick) Turn();
    r_.left_by = n_.lost_at < 0 ? -1 : r_.left_by;
    if (n_.lost_at >= 0) {
      std::vector<double> last;
      for (const Member& m : members_) {
        if (Dead(m) || (n_.cut && m.zone == 0)) continue;
        last.push_back(m.last_sent < 0 ? 0 : m.last_sent - n_.lost_at);
      }
      std::sort(last.begin(), last.end());
      r_.left_by = last.back();
      r_.alone_median = last[last.size() / 2];
    }
    return r_;
  }

 private:
  static TimePoint At(int ms) { return TimePoint(milliseconds(100'000 + ms)); }
  double Uniform() { return std::uniform_real_distribution(0.0, 1.0)(random_); }
  bool LostNow(int zone) const {
    if (zone == 1) return n_.second_at >= 0 && now_ >= n_.second_at;
    if (zone != 0 || n_.lost_at < 0) return false;
    return (now_ >= n_.lost_at && (n_.back_at < 0 || now_ < n_.back_at)) ||
           (n_.lost_again >= 0 && now_ >= n_.lost_again && now_ < n_.back_again);
  }
  bool Dead(const Member& m) const { return n_.hall && m.zone == 0 && LostNow(0); }
  bool Apart(int a, int b) const { return n_.cut && LostNow(0) && (a == 0) != (b == 0); }
  double Warmth(int zone) const {
    if (zone != 0 || n_.cut || n_.back_at < 0 || now_ < n_.back_at) return 1;
    const int since = n_.lost_again >= 0 && now_ >= n_.back_again ? n_.back_again : n_.back_at;
    return std::min(1.0, kColdFrom + (1 - kColdFrom) * (now_ - since) / kColdTime);
  }

  void Turn() {
    for (int z = 0; z < kZones; ++z) {
      queue_[z] = LostNow(z) && n_.lost_share >= 1 && !n_.cut
                      ? 0
                      : std::max(0.0, queue_[z] - capacity_ * Warmth(z) * kTick / 1000);
    }
    for (const Ending& e : std::exchange(endings_[now_ / kTick % 1024], {})) {
      Member& m = members_[e.member];
      m.observer->OnAttemptEnd({names_[e.zone], names_[e.zone] + std::to_string(e.upstream), 0, e.outcome,
                                Duration(now_ - e.sent), e.in_time, false, true},
                               At(now_));
      // As the module: it stands where a tenth is late, over its range in some two seconds; of a zone taken
      // to be lost it learns nothing.
      const bool late = e.outcome != Outcome::kAnswered || !e.in_time;
      const double step = 1 / std::max(12.0, m.rate * 2);
      if (m.unanswered_run[e.zone] < 3) m.shed = std::clamp(m.shed + (late ? step : -step / 9), 0.0, 0.9);
      if (e.outcome == Outcome::kNoResponse)
        ++m.unanswered_run[e.zone];
      else
        m.unanswered_run[e.zone] = 0;
      if (e.outcome == Outcome::kAnswered)
        ++r_.answered;
      else
        ++r_.failed;
    }
    for (Letter& l : std::exchange(letters_[now_ / kTick % 1024], {})) {
      Member& to = members_[l.to];
      if (Dead(to) || Apart(to.zone, members_[l.from].zone) || to.latest_sequence[l.from] >= l.sequence)
        continue;
      to.latest_sequence[l.from] = l.sequence;
      to.made[l.from] = l.made;
      to.reports[l.from] = {members_[l.from].id, Duration(0), std::move(l.evidence)};
    }
    for (int i = 0; i < n_.members; ++i) {
      Member& m = members_[i];
      if (Dead(m)) continue;
      if ((now_ / kTick + i) % (kDecisionInterval.count() / kTick) == 0) DecideAt(i);
      for (double t = m.rate * kTick / 1000; t > 0; t -= 1) {
        if (Uniform() < t) Call(i);
      }
      for (int z = 0; z < kZones; ++z) {
        m.bucket[z] = std::min(m.bucket[z] + Allowed(m, z) * kTick / 1000, std::max(1.0, Allowed(m, z) / 2));
        m.probe_budget[z] = std::min(1.0, m.probe_budget[z] + ProbeRate(m, z) * kTick / 1000);
      }
    }
    if (now_ % 100 == 0) Observe();
    if (std::getenv("TRACE") != nullptr && now_ % 500 == 0) Trace();
  }

  const ZoneShare* ShareOf(const Member& m, int zone) const {
    for (const ZoneShare& s : m.plan.zones) {
      if (s.zone == names_[zone]) return &s;
    }
    return nullptr;
  }
  // By its own view it has what the module gives itself: its part of the whole.
  double Allowed(const Member& m, int z) const {
    const double w = Warmth(z) / kColdFrom;
    const ZoneShare* s = ShareOf(m, z);
    if (!n_.shared || s == nullptr) return kFall * 0.75 * Warmth(z) * m.rate / kZones;
    return s->slow_start_per_1000s / 1000.0 * w;
  }
  double ProbeRate(const Member& m, int z) const {
    const ZoneShare* s = ShareOf(m, z);
    if (!n_.shared) return m.unanswered_run[z] >= 3 ? 1 : 0;
    return s == nullptr ? 0 : s->probes_per_1000s / 1000.0;
  }

  void Call(int i) {
    Member& m = members_[i];
    ++r_.calls;
    // What the fleet says is refused in any case; the module's own share is no less.
    if (Uniform() < std::max(m.shed, n_.shared ? m.plan.shed / 1000.0 : 0)) {
      ++r_.refused;
      return;
    }
    // A trial goes first: the module sends a copy.
    for (int z = 0; z < kZones; ++z) {
      if (m.probe_budget[z] >= 1) {
        m.probe_budget[z] -= 1;
        Send(i, z);
      }
    }
    double weight[kZones], sum = 0;
    for (int z = 0; z < kZones; ++z) {
      const ZoneShare* s = ShareOf(m, z);
      weight[z] = n_.shared && s != nullptr ? s->share / 1000.0 : 1;
      if (m.unanswered_run[z] >= 3) weight[z] = 0;
      if (Warmth(z) < 1 && m.bucket[z] < 1) weight[z] = 0;
      sum += weight[z];
    }
    if (sum <= 0) {
      ++r_.refused;
      return;
    }
    double at = Uniform() * sum;
    int zone = 0;
    while (zone < kZones - 1 && at >= weight[zone]) at -= weight[zone++];
    if (Warmth(zone) < 1) m.bucket[zone] -= 1;
    if (zone == 0 && LostNow(0) && n_.lost_share >= 1 && !Apart(m.zone, 1) &&
        (n_.lost_again < 0 || now_ < n_.back_at))
      m.last_sent = now_;
    Send(i, zone);
  }

  void Send(int i, int zone) {
    Member& m = members_[i];
    m.observer->OnSent(names_[zone], At(now_));
    Ending e{i, zone, static_cast<int>(Uniform() * kUpstreams), now_, Outcome::kAnswered, true};
    int after = kWork / 2 + static_cast<int>(-std::log(1 - Uniform()) * kWork / 2);
    const bool gone = LostNow(zone) && e.upstream < n_.lost_share * kUpstreams;
    if (n_.cut ? Apart(m.zone, zone) : gone) {
      if (zone == 0 && n_.lost_share >= 1) ++r_.into_lost;
      e.outcome = Outcome::kNoResponse;
      after = Uniform() < 0.3 ? kConnect : kAim;
    } else {
      if (zone == 0 && Warmth(0) < 1) ++cold_sent_;
      const double wait = queue_[zone] / (capacity_ * Warmth(zone)) * 1000;
      if (wait > kAim * (1 + Uniform())) {
        e.outcome = Outcome::kRejected;
        after = 2;
      } else {
        queue_[zone] += 1;
        after += static_cast<int>(wait * (0.5 + Uniform()));  // servers of a zone hold more or less
        if (after > kAim) e.outcome = Outcome::kNoResponse, after = kAim;
      }
    }
    endings_[(now_ + std::min(after, 10'000) + kTick) / kTick % 1024].push_back(e);
  }

  void DecideAt(int i) {
    Member& m = members_[i];
    const TimePoint now = At(now_);
    if (auto value = m.observer->NextReport(now)) {
      ++r_.reported;
      r_.bytes += static_cast<long>(value->size());
      auto evidence = std::make_shared<Evidence>(*Decode(*value));
      if (i < n_.liars) {
        for (ZoneEvidence& z : evidence->zones) {
          if (z.zone == IdOf(names_[2]))
            z.unanswered_run = 50, z.run_upstreams = 16, z.answered = z.in_time = z.rejected = 0,
            z.unanswered = z.sent;
        }
      }
      ++m.sequence;
      for (int to = 0; to < n_.members; ++to) {
        const int delay = to == i ? 0 : 200 + static_cast<int>(Uniform() * 1300);
        letters_[(now_ + delay + kTick) / kTick % 1024].push_back({to, i, now_, m.sequence, evidence});
      }
    }
    for (int from = 0; from < n_.members; ++from) m.reports[from].age = Duration(now_ - m.made[from]);
    std::vector<EvidenceReport> reports;
    for (const EvidenceReport& h : m.reports) {
      if (h.evidence) reports.push_back(h);
    }
    const MemberList& members = MemberListOf(m);
    m.state = Decide(m.state, names_, reports, {}, members, config_, now);
    const TrafficPlan before = std::exchange(m.plan, TrafficPlanFor(m.state, reports, members, config_, now));
    // What it found silent itself is no news any more once the fleet returns there.
    for (std::size_t z = 0; z < before.zones.size(); ++z) {
      if (n_.shared && before.zones[z].share == 0 && m.plan.zones[z].share > 0) m.unanswered_run[z] = 0;
    }
    for (int z = 0; z < kZones; ++z) {
      const ZoneState& zone = m.state.at(names_[z]);
      m.observer->SetReportedState(names_[z], ReportedStateOf(zone, now), zone.peak_per_1000s / 1000);
    }
  }

  const MemberList& MemberListOf(const Member& member) {
    // Silent members are found dead after some four seconds.
    const bool found = LostNow(0) && now_ >= n_.lost_at + 4000;
    const bool inside = member.zone == 0;
    MemberList& members = member_lists_[found ? 1 + inside : 0];
    members.local = member.id;
    if (!members.live.empty()) return members;
    members.zones = {names_.begin(), names_.end()};
    members.known_members = members_.size();
    for (const Member& m : members_) {
      if (found && ((n_.hall && m.zone == 0) || (n_.cut && (m.zone == 0) != inside))) continue;
      members.live.push_back(m.id);
    }
    return members;
  }

  void Trace() const {
    std::printf("%6d", now_);
    for (int z = 0; z < kZones; ++z) {
      int of[5] = {}, share = 0;
      std::uint32_t low = UINT32_MAX, high = 0;
      for (const Member& m : members_) {
        if (m.state.empty()) continue;
        const ZoneState& s = m.state.at(names_[z]);
        ++of[static_cast<int>(s.phase)];
        share += s.share;
        low = std::min(low, s.generation), high = std::max(high, s.generation);
      }
      std::printf("  | in %2d sus %2d lvg %2d left %2d ret %2d gen %u-%u share %4d", of[0], of[1], of[2],
                  of[3], of[4], low, high, share / n_.members);
    }
    std::printf(" queue %.0f %.0f %.0f\n", queue_[0], queue_[1], queue_[2]);
  }

  void Observe() {
    std::vector<int> out(kZones);
    bool agree = true, all_full = true;
    const Member* first = nullptr;
    for (const Member& m : members_) {
      if (Dead(m) || m.state.empty() || (n_.cut && m.zone == 0 && LostNow(0))) continue;
      for (int z = 0; z < kZones; ++z) {
        const ZoneState& s = m.state.at(names_[z]);
        if (s.phase == Phase::kDraining || s.phase == Phase::kDrained) ++out[z];
        const auto place = [](const ZoneState& of) {
          return std::pair(of.phase == Phase::kSuspect ? Phase::kActive : of.phase, of.step);
        };
        if (first != nullptr && place(s) != place(first->state.at(names_[z]))) agree = false;
      }
      if (m.state.at(names_[0]).share < 1000) all_full = false;
      if (first == nullptr) first = &m;
    }
    if (!agree) r_.disagreed += 100;
    for (int z = 0; z < kZones; ++z) {
      const bool should = LostNow(z) && n_.lost_share >= 1;
      const bool lately = z == 0 && n_.lost_at >= 0 && n_.lost_share >= 1 && now_ >= n_.lost_at;
      if (out[z] > 0 && !was_out_[z]) {
        ++r_.leaves;
        if (!should && !lately) ++r_.false_leaves;
      }
      was_out_[z] = out[z] > 0;
    }
    // What it got within a second against what would topple it.
    window_.push_back(cold_sent_);
    cold_sent_ = 0;
    if (window_.size() > 10) window_.pop_front();
    long in_second = 0;
    for (const long c : window_) in_second += c;
    if (n_.back_at >= 0 && now_ >= n_.back_at + 1000 && Warmth(0) < 1) {
      r_.most_of_cold = std::max(r_.most_of_cold, in_second / (kFall * Warmth(0) * capacity_));
      double allowed = 0;
      for (const Member& m : members_) allowed += Allowed(m, 0);
      if (allowed > 0) r_.used_of_allowance = std::max(r_.used_of_allowance, in_second / allowed);
    }
    const int back = n_.back_again >= 0 ? n_.back_again : n_.back_at;
    if (back >= 0 && now_ > back && r_.full_at < 0 && all_full && now_ > back + 1000)
      r_.full_at = now_ - back;
  }

  const Night n_;
  const FailoverConfig config_{};
  std::mt19937_64 random_;
  std::vector<std::string> names_;
  std::vector<Member> members_;
  double capacity_ = 0;
  double queue_[kZones] = {};
  std::vector<std::vector<Ending>> endings_;
  std::vector<std::vector<Letter>> letters_;
  MemberList member_lists_[3];
  std::deque<long> window_;
  long cold_sent_ = 0;
  bool was_out_[kZones] = {};
  int now_ = 0;
  Result r_;
};

double Of(std::vector<double> values, double at) {
  std::sort(values.begin(), values.end());
  return values[static_cast<std::size_t>(at * static_cast<double>(values.size() - 1))];
}

void Report(const Night& night, int seeds) {
  std::vector<double> left, half, apart, into, refused, cold, used, full, lost;
  int wrong = 0, leaves = 0;
  double bytes = 0;
  std::vector<Result> results(static_cast<std::size_t>(seeds));
  std::vector<std::thread> threads;
  for (int t = 0; t < kThreads; ++t) {
    threads.emplace_back([&, t] {
      for (int s = t; s < seeds; s += kThreads)
        results[static_cast<std::size_t>(s)] = World(night, s + 1).Play();
    });
  }
  for (std::thread& t : threads) t.join();
  for (const Result& r : results) {
    left.push_back(r.left_by);
    half.push_back(r.alone_median);
    apart.push_back(r.disagreed);
    into.push_back(static_cast<double>(r.into_lost));
    refused.push_back(1.0 * r.refused / r.calls);
    lost.push_back(1.0 * r.failed / r.calls);
    cold.push_back(r.most_of_cold);
    used.push_back(r.used_of_allowance);
    full.push_back(r.full_at);
    wrong += r.false_leaves;
    leaves += r.leaves;
    bytes += 1000.0 * r.bytes / night.length / night.members / seeds;
  }
  std::printf(
      "%-16s %4d %-6s last sent %5.0f/%5.0f ms (median member %5.0f)  apart %5.0f  into lost %6.0f  refused "
      "%.3f  "
      "failed %.3f  cold %.2f/%.2f (of allowance %.2f)  full %6.0f  leaves %d, false %d  %.0f B/s\n",
      night.name, night.members, night.shared ? "fleet" : "alone", Of(left, 0.5), Of(left, 1), Of(half, 0.5),
      Of(apart, 0.5), Of(into, 0.5), Of(refused, 0.5), Of(lost, 0.5), Of(cold, 0.5), Of(cold, 1), Of(used, 1),
      Of(full, 0.5), leaves, wrong, bytes);
  std::fflush(stdout);
}

}  // namespace

int main(int argc, char** argv) {
  const int nights = argc > 1 ? std::atoi(argv[1]) : 20;
  const int only = argc > 2 ? std::atoi(argv[2]) : 0;
  const std::string name = argc > 3 ? argv[3] : "";
  for (const int members : {60, 300}) {
    if (only != 0 && only != members) continue;
    const int seeds = std::min(nights, members == 60 ? 20 : 5);
    Night lost{"lost", members};
    lost.lost_at = 15'000, lost.back_at = 23'000;
    Night hall = lost;
    hall.name = "hall", hall.hall = true;
    Night tight = lost;
    tight.name = "lost, use 0.75", tight.use = 0.75;
    Night again = lost;
    again.name = "lost again", again.lost_again = 34'000, again.back_again = 40'000, again.length = 90'000;
    Night cut = lost;
    cut.name = "cut off", cut.cut = true, cut.back_at = 30'000;
    Night two = lost;
    two.name = "two in turn", two.second_at = 25'000, two.back_at = -1;
    Night third = lost;
    third.name = "a third lost", third.lost_share = 0.34;
    Night busy{"busy liar", members};
    busy.liars = 1, busy.busy = 20;
    for (const Night& night : {lost, hall, tight, again, cut, two, third, busy}) {
      for (const bool shared : {false, true}) {
        if (!name.empty() && name != night.name) continue;
        Night n = night;
        n.shared = shared;
        Report(n, seeds);
      }
    }
  }
  if ((only == 0 || only == 60) && (name.empty() || name == "nights")) {
    Night calm{"calm"}, crowd{"overloaded"}, full{"much overloaded"};
    calm.length = crowd.length = full.length = 20'000;
    crowd.use = 1.1, full.use = 1.6;
    Report(calm, nights);
    Report(crowd, nights);
    Report(full, nights);
  }
}
