#include "zones_simulation.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <cstdlib>
#include <utility>

#include "zone_failover/evidence_codec.h"

namespace mothrack::zone_failover::bench {
namespace {

constexpr int kTickMs = 10;
constexpr int kMeasureEveryMs = 100, kTraceEveryMs = 500;
constexpr int kUpstreams = 20;  // of a zone
constexpr double kRate = 15;    // calls a second and member, on average
// Latency objective, mean service time, time-out of a connect.
constexpr int kObjectiveMs = 400, kServiceMs = 60, kConnectMs = 250;
// A zone that has returned: its initial capacity, the time until its full capacity, and the load that
// overloads it.
constexpr double kInitialShare = 0.1, kSlowStartMs = 20'000, kOverloadMultiple = 2;
// Unanswered attempts in a row after which a member avoids a zone by its own decision.
constexpr int kUnresponsiveRun = 3;

// Attempts and messages wait in a ring of slots, one for each tick. The ring is longer than any of them
// takes.
constexpr int kSlots = 1024;
std::size_t Slot(int ms) { return static_cast<std::size_t>(ms / kTickMs % kSlots); }

}  // namespace

ZoneSimulation::ZoneSimulation(const Scenario& scenario, std::uint64_t seed)
    : scenario_(scenario), random_(seed) {
  for (int z = 0; z < kZones; ++z) zones_.push_back("hall-" + std::to_string(z));
  double sum = 0;
  members_.resize(scenario_.members);
  for (int i = 0; i < scenario_.members; ++i) {
    Member& m = members_[i];
    m.zone = i % kZones;
    m.id = {"s" + std::to_string(i), zones_[m.zone]};
    m.rate = std::exp(std::normal_distribution(0.0, 0.6)(random_));
    sum += m.rate;
  }
  for (Member& m : members_) {
    m.rate *= kRate * scenario_.members / sum;
    m.observer = std::make_unique<Observer>(m.id.zone);
    m.reports.resize(scenario_.members);
    m.sent_at.assign(scenario_.members, 0);
    m.latest_sequence.assign(scenario_.members, 0);
    for (int z = 0; z < kZones; ++z) {
      m.observer->SetUpstreams(zones_[z], kUpstreams, At(0));
      m.slow_start_budget[z] = Uniform() - 1;
    }
  }
  if (scenario_.false_reporters > 0) members_[0].rate *= scenario_.false_reporter_rate;
  capacity_ = kRate * scenario_.members / kZones / scenario_.utilization;
  pending_ends_.resize(kSlots);
  messages_.resize(kSlots);
}

Result ZoneSimulation::Run() {
  for (now_ = 0; now_ < scenario_.length_ms; now_ += kTickMs) Step();
  result_.last_sent_ms = scenario_.lost_at < 0 ? -1 : result_.last_sent_ms;
  if (scenario_.lost_at >= 0) {
    std::vector<double> last;
    for (const Member& m : members_) {
      if (IsDead(m) || (scenario_.partitioned && m.zone == 0)) continue;
      last.push_back(m.last_sent < 0 ? 0 : m.last_sent - scenario_.lost_at);
    }
    std::sort(last.begin(), last.end());
    result_.last_sent_ms = last.back();
    result_.median_last_sent_ms = last[last.size() / 2];
  }
  return result_;
}

bool ZoneSimulation::IsLost(int zone) const {
  if (zone == 1) return scenario_.second_at >= 0 && now_ >= scenario_.second_at;
  if (zone != 0 || scenario_.lost_at < 0) return false;
  return (now_ >= scenario_.lost_at && (scenario_.back_at < 0 || now_ < scenario_.back_at)) ||
         (scenario_.lost_again >= 0 && now_ >= scenario_.lost_again && now_ < scenario_.back_again);
}

double ZoneSimulation::SlowStartFactor(int zone) const {
  if (zone != 0 || scenario_.partitioned || scenario_.back_at < 0 || now_ < scenario_.back_at) return 1;
  const int since =
      scenario_.lost_again >= 0 && now_ >= scenario_.back_again ? scenario_.back_again : scenario_.back_at;
  return std::min(1.0, kInitialShare + (1 - kInitialShare) * (now_ - since) / kSlowStartMs);
}

void ZoneSimulation::Step() {
  DrainQueues();
  for (const PendingEnd& end : std::exchange(pending_ends_[Slot(now_)], {})) EndAttempt(end);
  for (Message& message : std::exchange(messages_[Slot(now_)], {})) Deliver(std::move(message));
  for (int i = 0; i < scenario_.members; ++i) {
    if (!IsDead(members_[i])) RunMember(i);
  }
  if (now_ % kMeasureEveryMs == 0) Measure();
  if (std::getenv("TRACE") != nullptr && now_ % kTraceEveryMs == 0) Trace();
}

void ZoneSimulation::DrainQueues() {
  for (int z = 0; z < kZones; ++z) {
    queue_[z] = IsLost(z) && scenario_.lost_share >= 1 && !scenario_.partitioned
                    ? 0
                    : std::max(0.0, queue_[z] - capacity_ * SlowStartFactor(z) * kTickMs / 1000);
  }
}

void ZoneSimulation::EndAttempt(const PendingEnd& e) {
  Member& m = members_[e.member];
  m.observer->OnAttemptEnd({zones_[e.zone], zones_[e.zone] + std::to_string(e.upstream), 0, e.outcome,
                            Duration(now_ - e.sent), e.in_time, false, true},
                           At(now_));
  // Sheds load as the balancer does, so that a tenth of the answers is late; the share crosses its range in
  // about two seconds. A zone that is considered lost does not count.
  const bool late = e.outcome != Outcome::kAnswered || !e.in_time;
  const double step = 1 / std::max(12.0, m.rate * 2);
  if (m.unanswered_run[e.zone] < kUnresponsiveRun)
    m.shed = std::clamp(m.shed + (late ? step : -step / 9), 0.0, 0.9);
  if (e.outcome == Outcome::kNoResponse)
    ++m.unanswered_run[e.zone];
  else
    m.unanswered_run[e.zone] = 0;
  if (e.outcome == Outcome::kAnswered)
    ++result_.answered;
  else
    ++result_.failed;
}

void ZoneSimulation::Deliver(Message message) {
  Member& to = members_[message.to];
  const Member& from = members_[message.from];
  const bool overtaken = to.latest_sequence[message.from] >= message.sequence;
  if (IsDead(to) || IsPartitioned(to.zone, from.zone) || overtaken) return;
  to.latest_sequence[message.from] = message.sequence;
  to.sent_at[message.from] = message.sent_at;
  to.reports[message.from] = {from.id, Duration(0), std::move(message.evidence)};
}

void ZoneSimulation::RunMember(int i) {
  Member& m = members_[i];
  if ((now_ / kTickMs + i) % (kDecisionInterval.count() / kTickMs) == 0) DecideAt(i);
  for (double calls = m.rate * kTickMs / 1000; calls > 0; calls -= 1) {
    if (Uniform() < calls) Call(i);
  }
  for (int z = 0; z < kZones; ++z) {
    const double allowance = SlowStartBudget(m, z);
    m.slow_start_budget[z] =
        std::min(m.slow_start_budget[z] + allowance * kTickMs / 1000, std::max(1.0, allowance / 2));
    m.probe_budget[z] = std::min(1.0, m.probe_budget[z] + ProbeRate(m, z) * kTickMs / 1000);
  }
}

const ZoneShare* ZoneSimulation::ShareOf(const Member& m, int zone) const {
  for (const ZoneShare& s : m.plan.zones) {
    if (s.zone == zones_[zone]) return &s;
  }
  return nullptr;
}

double ZoneSimulation::SlowStartBudget(const Member& m, int z) const {
  const double w = SlowStartFactor(z) / kInitialShare;
  const ZoneShare* s = ShareOf(m, z);
  if (!scenario_.fleet_decides || s == nullptr)
    return kOverloadMultiple * 0.75 * SlowStartFactor(z) * m.rate / kZones;
  return s->slow_start_per_1000s / 1000.0 * w;
}

double ZoneSimulation::ProbeRate(const Member& m, int z) const {
  const ZoneShare* s = ShareOf(m, z);
  if (!scenario_.fleet_decides) return m.unanswered_run[z] >= kUnresponsiveRun ? 1 : 0;
  return s == nullptr ? 0 : s->probes_per_1000s / 1000.0;
}

void ZoneSimulation::Call(int i) {
  Member& m = members_[i];
  ++result_.calls;
  // The share that the plan sheds is a minimum for the balancer's own.
  if (Uniform() < std::max(m.shed, scenario_.fleet_decides ? m.plan.shed / 1000.0 : 0)) {
    ++result_.shed_calls;
    return;
  }
  // A probe goes first: the balancer sends a copy.
  for (int z = 0; z < kZones; ++z) {
    if (m.probe_budget[z] >= 1) {
      m.probe_budget[z] -= 1;
      Send(i, z);
    }
  }
  double weight[kZones], sum = 0;
  for (int z = 0; z < kZones; ++z) {
    const ZoneShare* s = ShareOf(m, z);
    weight[z] = scenario_.fleet_decides && s != nullptr ? s->share / 1000.0 : 1;
    if (m.unanswered_run[z] >= kUnresponsiveRun) weight[z] = 0;
    if (SlowStartFactor(z) < 1 && m.slow_start_budget[z] < 1) weight[z] = 0;
    sum += weight[z];
  }
  if (sum <= 0) {
    ++result_.shed_calls;
    return;
  }
  double at = Uniform() * sum;
  int zone = 0;
  while (zone < kZones - 1 && at >= weight[zone]) at -= weight[zone++];
  if (SlowStartFactor(zone) < 1) m.slow_start_budget[zone] -= 1;
  if (zone == 0 && IsLost(0) && scenario_.lost_share >= 1 && !IsPartitioned(m.zone, 1) &&
      (scenario_.lost_again < 0 || now_ < scenario_.back_at))
    m.last_sent = now_;
  Send(i, zone);
}

void ZoneSimulation::Send(int i, int zone) {
  Member& m = members_[i];
  m.observer->OnSent(zones_[zone], At(now_));
  PendingEnd e{i, zone, static_cast<int>(Uniform() * kUpstreams), now_, Outcome::kAnswered, true};
  int after = kServiceMs / 2 + static_cast<int>(-std::log(1 - Uniform()) * kServiceMs / 2);
  const bool gone = IsLost(zone) && e.upstream < scenario_.lost_share * kUpstreams;
  if (scenario_.partitioned ? IsPartitioned(m.zone, zone) : gone) {
    if (zone == 0 && scenario_.lost_share >= 1) ++result_.sent_to_lost;
    e.outcome = Outcome::kNoResponse;
    after = Uniform() < 0.3 ? kConnectMs : kObjectiveMs;
  } else {
    if (zone == 0 && SlowStartFactor(0) < 1) ++slow_start_sent_;
    const double wait = queue_[zone] / (capacity_ * SlowStartFactor(zone)) * 1000;
    if (wait > kObjectiveMs * (1 + Uniform())) {
      e.outcome = Outcome::kRejected;
      after = 2;
    } else {
      queue_[zone] += 1;
      after +=
          static_cast<int>(wait * (0.5 + Uniform()));  // servers of a zone have longer and shorter queues
      if (after > kObjectiveMs) e.outcome = Outcome::kNoResponse, after = kObjectiveMs;
    }
  }
  pending_ends_[Slot(now_ + std::min(after, 10'000) + kTickMs)].push_back(e);
}

void ZoneSimulation::DecideAt(int i) {
  Member& m = members_[i];
  const TimePoint now = At(now_);
  if (auto value = m.observer->NextReport(now)) {
    ++result_.reported;
    result_.bytes += static_cast<long>(value->size());
    auto evidence = std::make_shared<Evidence>(*Decode(*value));
    if (i < scenario_.false_reporters) {
      for (ZoneEvidence& z : evidence->zones) {
        if (z.zone == IdOf(zones_[2]))
          z.unanswered_run = 50, z.run_upstreams = 16, z.answered = z.in_time = z.rejected = 0,
          z.unanswered = z.sent;
      }
    }
    ++m.sequence;
    for (int to = 0; to < scenario_.members; ++to) {
      const int delay = to == i ? 0 : 200 + static_cast<int>(Uniform() * 1300);
      messages_[Slot(now_ + delay + kTickMs)].push_back({to, i, now_, m.sequence, evidence});
    }
  }
  for (int from = 0; from < scenario_.members; ++from) m.reports[from].age = Duration(now_ - m.sent_at[from]);
  std::vector<EvidenceReport> reports;
  for (const EvidenceReport& h : m.reports) {
    if (h.evidence) reports.push_back(h);
  }
  const MemberList& members = MemberListOf(m);
  m.state = Decide(m.state, zones_, reports, {}, members, config_, now);
  const TrafficPlan before = std::exchange(m.plan, TrafficPlanFor(m.state, reports, members, config_, now));
  // The member's own finding that a zone is unresponsive is out of date once the fleet returns to it.
  for (std::size_t z = 0; z < before.zones.size(); ++z) {
    if (scenario_.fleet_decides && before.zones[z].share == 0 && m.plan.zones[z].share > 0)
      m.unanswered_run[z] = 0;
  }
  for (int z = 0; z < kZones; ++z) {
    const ZoneState& zone = m.state.at(zones_[z]);
    m.observer->SetReportedState(zones_[z], ReportedStateOf(zone, now), zone.peak_per_1000s / 1000);
  }
}

const MemberList& ZoneSimulation::MemberListOf(const Member& member) {
  // Gossip detects dead members after about four seconds.
  const bool found = IsLost(0) && now_ >= scenario_.lost_at + 4000;
  const bool inside = member.zone == 0;
  MemberList& members = member_lists_[found ? 1 + inside : 0];
  members.local = member.id;
  if (!members.live.empty()) return members;
  members.zones = {zones_.begin(), zones_.end()};
  members.known_members = members_.size();
  for (const Member& m : members_) {
    if (found &&
        ((scenario_.members_fail && m.zone == 0) || (scenario_.partitioned && (m.zone == 0) != inside)))
      continue;
    members.live.push_back(m.id);
  }
  return members;
}

void ZoneSimulation::Trace() const {
  std::printf("%6d", now_);
  for (int z = 0; z < kZones; ++z) {
    int of[5] = {}, share = 0;
    std::uint32_t low = UINT32_MAX, high = 0;
    for (const Member& m : members_) {
      if (m.state.empty()) continue;
      const ZoneState& s = m.state.at(zones_[z]);
      ++of[static_cast<int>(s.phase)];
      share += s.share;
      low = std::min(low, s.generation), high = std::max(high, s.generation);
    }
    std::printf("  | in %2d sus %2d lvg %2d left %2d ret %2d gen %u-%u share %4d", of[0], of[1], of[2], of[3],
                of[4], low, high, share / scenario_.members);
  }
  std::printf(" queue %.0f %.0f %.0f\n", queue_[0], queue_[1], queue_[2]);
}

void ZoneSimulation::Measure() {
  std::vector<int> out(kZones);
  bool agree = true, all_full = true;
  const Member* first = nullptr;
  for (const Member& m : members_) {
    if (IsDead(m) || m.state.empty() || (scenario_.partitioned && m.zone == 0 && IsLost(0))) continue;
    for (int z = 0; z < kZones; ++z) {
      const ZoneState& s = m.state.at(zones_[z]);
      if (s.phase == Phase::kDraining || s.phase == Phase::kDrained) ++out[z];
      const auto phase_and_step = [](const ZoneState& of) {
        return std::pair(of.phase == Phase::kSuspect ? Phase::kActive : of.phase, of.step);
      };
      if (first != nullptr && phase_and_step(s) != phase_and_step(first->state.at(zones_[z]))) agree = false;
    }
    if (m.state.at(zones_[0]).share < 1000) all_full = false;
    if (first == nullptr) first = &m;
  }
  if (!agree) result_.disagreed_ms += 100;
  for (int z = 0; z < kZones; ++z) {
    const bool should = IsLost(z) && scenario_.lost_share >= 1;
    const bool lately =
        z == 0 && scenario_.lost_at >= 0 && scenario_.lost_share >= 1 && now_ >= scenario_.lost_at;
    if (out[z] > 0 && !was_out_[z]) {
      ++result_.drains;
      if (!should && !lately) ++result_.false_drains;
    }
    was_out_[z] = out[z] > 0;
  }
  // The load on the zone within a second, relative to the load that overloads it.
  window_.push_back(slow_start_sent_);
  slow_start_sent_ = 0;
  if (window_.size() > 10) window_.pop_front();
  long in_second = 0;
  for (const long c : window_) in_second += c;
  if (scenario_.back_at >= 0 && now_ >= scenario_.back_at + 1000 && SlowStartFactor(0) < 1) {
    result_.max_slow_start_load = std::max(result_.max_slow_start_load,
                                           in_second / (kOverloadMultiple * SlowStartFactor(0) * capacity_));
    double allowed = 0;
    for (const Member& m : members_) allowed += SlowStartBudget(m, 0);
    if (allowed > 0) result_.max_allowance_used = std::max(result_.max_allowance_used, in_second / allowed);
  }
  const int back = scenario_.back_again >= 0 ? scenario_.back_again : scenario_.back_at;
  if (back >= 0 && now_ > back && result_.fully_back_ms < 0 && all_full && now_ > back + 1000)
    result_.fully_back_ms = now_ - back;
}

}  // namespace mothrack::zone_failover::bench
