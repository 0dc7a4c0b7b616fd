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
// The latency objective, the mean service time, and the timeout of a connect.
constexpr int kObjectiveMs = 400, kServiceMs = 60, kConnectMs = 250;
// A zone that has returned is in slow start: its initial share of the capacity, the time until it has the
// full capacity, and the load that overloads it as a multiple of its capacity.
constexpr double kInitialShare = 0.1, kSlowStartMs = 20'000, kOverloadMultiple = 2;
// The number of unanswered attempts in a row after which a member avoids a zone by its own decision.
constexpr int kUnresponsiveRun = 3;

// Attempts and messages wait in a ring of slots, one for each tick. The ring spans more time than any of them
// takes.
constexpr int kSlots = 1024;
std::size_t Slot(int ms) { return static_cast<std::size_t>(ms / kTickMs % kSlots); }

}  // namespace

ZoneSimulation::ZoneSimulation(const Scenario& scenario, std::uint64_t seed)
    : scenario_(scenario), random_(seed) {
  for (int zone = 0; zone < kZones; ++zone) zones_.push_back("hall-" + std::to_string(zone));
  double total_rate = 0;
  members_.resize(scenario_.members);
  for (int i = 0; i < scenario_.members; ++i) {
    Member& member = members_[i];
    member.zone = i % kZones;
    member.id = {"s" + std::to_string(i), zones_[member.zone]};
    member.rate = std::exp(std::normal_distribution(0.0, 0.6)(random_));
    total_rate += member.rate;
  }
  for (Member& member : members_) {
    member.rate *= kRate * scenario_.members / total_rate;
    member.observer = std::make_unique<Observer>(member.id.zone);
    member.reports.resize(scenario_.members);
    member.sent_at.assign(scenario_.members, 0);
    member.latest_sequence.assign(scenario_.members, 0);
    for (int zone = 0; zone < kZones; ++zone) {
      member.observer->SetUpstreams(zones_[zone], kUpstreams, At(0));
      member.slow_start_budget[zone] = Uniform() - 1;
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
    std::vector<double> last_sent;
    for (const Member& member : members_) {
      if (IsDead(member) || (scenario_.partitioned && member.zone == 0)) continue;
      last_sent.push_back(member.last_sent < 0 ? 0 : member.last_sent - scenario_.lost_at);
    }
    std::sort(last_sent.begin(), last_sent.end());
    result_.last_sent_ms = last_sent.back();
    result_.median_last_sent_ms = last_sent[last_sent.size() / 2];
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
  for (int zone = 0; zone < kZones; ++zone) {
    queue_[zone] = IsLost(zone) && scenario_.lost_share >= 1 && !scenario_.partitioned
                       ? 0
                       : std::max(0.0, queue_[zone] - capacity_ * SlowStartFactor(zone) * kTickMs / 1000);
  }
}

void ZoneSimulation::EndAttempt(const PendingEnd& end) {
  Member& member = members_[end.member];
  member.observer->OnAttemptEnd({zones_[end.zone], zones_[end.zone] + std::to_string(end.upstream), 0,
                                 end.outcome, Duration(now_ - end.sent_at), end.in_time, false, true},
                                At(now_));
  // Sheds load as the balancer does: adjusts the share shed so that a tenth of the answers is late. The share
  // needs about two seconds to cross its range. Answers of a zone that the member avoids do not count.
  const bool late = end.outcome != Outcome::kAnswered || !end.in_time;
  const double step = 1 / std::max(12.0, member.rate * 2);
  if (member.unanswered_run[end.zone] < kUnresponsiveRun)
    member.shed = std::clamp(member.shed + (late ? step : -step / 9), 0.0, 0.9);
  if (end.outcome == Outcome::kNoResponse)
    ++member.unanswered_run[end.zone];
  else
    member.unanswered_run[end.zone] = 0;
  if (end.outcome == Outcome::kAnswered)
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

void ZoneSimulation::RunMember(int index) {
  Member& member = members_[index];
  if ((now_ / kTickMs + index) % (kDecisionInterval.count() / kTickMs) == 0) RunDecision(index);
  for (double calls = member.rate * kTickMs / 1000; calls > 0; calls -= 1) {
    if (Uniform() < calls) Call(index);
  }
  for (int zone = 0; zone < kZones; ++zone) {
    const double allowance = SlowStartAllowance(member, zone);
    member.slow_start_budget[zone] =
        std::min(member.slow_start_budget[zone] + allowance * kTickMs / 1000, std::max(1.0, allowance / 2));
    member.probe_budget[zone] =
        std::min(1.0, member.probe_budget[zone] + ProbeRate(member, zone) * kTickMs / 1000);
  }
}

const ZoneShare* ZoneSimulation::ShareOf(const Member& member, int zone) const {
  for (const ZoneShare& share : member.plan.zones) {
    if (share.zone == zones_[zone]) return &share;
  }
  return nullptr;
}

double ZoneSimulation::SlowStartAllowance(const Member& member, int zone) const {
  const double growth = SlowStartFactor(zone) / kInitialShare;  // of the capacity since the return
  const ZoneShare* share = ShareOf(member, zone);
  if (!scenario_.fleet_decides || share == nullptr)
    return kOverloadMultiple * 0.75 * SlowStartFactor(zone) * member.rate / kZones;
  return share->slow_start_per_1000s / 1000.0 * growth;
}

double ZoneSimulation::ProbeRate(const Member& member, int zone) const {
  const ZoneShare* share = ShareOf(member, zone);
  if (!scenario_.fleet_decides) return member.unanswered_run[zone] >= kUnresponsiveRun ? 1 : 0;
  return share == nullptr ? 0 : share->probes_per_1000s / 1000.0;
}

void ZoneSimulation::Call(int index) {
  Member& member = members_[index];
  ++result_.calls;
  // The balancer sheds at least the share that the traffic plan states.
  if (Uniform() < std::max(member.shed, scenario_.fleet_decides ? member.plan.shed / 1000.0 : 0)) {
    ++result_.shed_calls;
    return;
  }
  // Sends due probes first; a probe is a copy of the call, which is sent as well.
  for (int zone = 0; zone < kZones; ++zone) {
    if (member.probe_budget[zone] >= 1) {
      member.probe_budget[zone] -= 1;
      SendAttempt(index, zone);
    }
  }
  double weight[kZones], total_weight = 0;
  for (int zone = 0; zone < kZones; ++zone) {
    const ZoneShare* share = ShareOf(member, zone);
    weight[zone] = scenario_.fleet_decides && share != nullptr ? share->share / 1000.0 : 1;
    if (member.unanswered_run[zone] >= kUnresponsiveRun) weight[zone] = 0;
    if (SlowStartFactor(zone) < 1 && member.slow_start_budget[zone] < 1) weight[zone] = 0;
    total_weight += weight[zone];
  }
  if (total_weight <= 0) {
    ++result_.shed_calls;
    return;
  }
  double draw = Uniform() * total_weight;
  int zone = 0;
  while (zone < kZones - 1 && draw >= weight[zone]) draw -= weight[zone++];
  if (SlowStartFactor(zone) < 1) member.slow_start_budget[zone] -= 1;
  if (zone == 0 && IsLost(0) && scenario_.lost_share >= 1 && !IsPartitioned(member.zone, 1) &&
      (scenario_.lost_again < 0 || now_ < scenario_.back_at))
    member.last_sent = now_;
  SendAttempt(index, zone);
}

void ZoneSimulation::SendAttempt(int index, int zone) {
  Member& member = members_[index];
  member.observer->OnSent(zones_[zone], At(now_));
  PendingEnd end{index, zone, static_cast<int>(Uniform() * kUpstreams), now_, Outcome::kAnswered, true};
  int duration_ms = kServiceMs / 2 + static_cast<int>(-std::log(1 - Uniform()) * kServiceMs / 2);
  const bool is_upstream_lost = IsLost(zone) && end.upstream < scenario_.lost_share * kUpstreams;
  if (scenario_.partitioned ? IsPartitioned(member.zone, zone) : is_upstream_lost) {
    if (zone == 0 && scenario_.lost_share >= 1) ++result_.sent_to_lost;
    end.outcome = Outcome::kNoResponse;
    duration_ms = Uniform() < 0.3 ? kConnectMs : kObjectiveMs;
  } else {
    if (zone == 0 && SlowStartFactor(0) < 1) ++slow_start_sent_;
    const double wait_ms = queue_[zone] / (capacity_ * SlowStartFactor(zone)) * 1000;
    if (wait_ms > kObjectiveMs * (1 + Uniform())) {
      end.outcome = Outcome::kRejected;
      duration_ms = 2;
    } else {
      queue_[zone] += 1;
      // The queues of the servers of a zone differ in length.
      duration_ms += static_cast<int>(wait_ms * (0.5 + Uniform()));
      if (duration_ms > kObjectiveMs) end.outcome = Outcome::kNoResponse, duration_ms = kObjectiveMs;
    }
  }
  pending_ends_[Slot(now_ + std::min(duration_ms, 10'000) + kTickMs)].push_back(end);
}

void ZoneSimulation::RunDecision(int index) {
  Member& member = members_[index];
  const TimePoint now = At(now_);
  if (auto report = member.observer->NextReport(now)) {
    ++result_.reported;
    result_.bytes += static_cast<long>(report->size());
    auto evidence = std::make_shared<Evidence>(*Decode(*report));
    if (index < scenario_.false_reporters) {
      for (ZoneEvidence& zone : evidence->zones) {
        if (zone.zone == IdOf(zones_[2]))
          zone.unanswered_run = 50, zone.run_upstreams = 16, zone.answered = zone.in_time = zone.rejected = 0,
          zone.unanswered = zone.sent;
      }
    }
    ++member.sequence;
    for (int to = 0; to < scenario_.members; ++to) {
      const int delay = to == index ? 0 : 200 + static_cast<int>(Uniform() * 1300);
      messages_[Slot(now_ + delay + kTickMs)].push_back({to, index, now_, member.sequence, evidence});
    }
  }
  for (int from = 0; from < scenario_.members; ++from)
    member.reports[from].age = Duration(now_ - member.sent_at[from]);
  std::vector<EvidenceReport> reports;
  for (const EvidenceReport& report : member.reports) {
    if (report.evidence) reports.push_back(report);
  }
  const MemberList& members = MemberListOf(member);
  member.state = Decide(member.state, zones_, reports, {}, members, config_, now);
  const TrafficPlan before =
      std::exchange(member.plan, TrafficPlanFor(member.state, reports, members, config_, now));
  // Once the fleet returns to a zone, the member no longer avoids it because of its own unanswered attempts.
  for (std::size_t zone = 0; zone < before.zones.size(); ++zone) {
    if (scenario_.fleet_decides && before.zones[zone].share == 0 && member.plan.zones[zone].share > 0)
      member.unanswered_run[zone] = 0;
  }
  for (int zone = 0; zone < kZones; ++zone) {
    const ZoneState& state = member.state.at(zones_[zone]);
    member.observer->SetReportedState(zones_[zone], ReportedStateOf(state, now), state.peak_per_1000s / 1000);
  }
}

const MemberList& ZoneSimulation::MemberListOf(const Member& member) {
  // Gossip detects dead members after about four seconds.
  const bool detected = IsLost(0) && now_ >= scenario_.lost_at + 4000;
  const bool in_zone_0 = member.zone == 0;
  MemberList& members = member_lists_[detected ? 1 + in_zone_0 : 0];
  members.local = member.id;
  if (!members.live.empty()) return members;
  members.zones = {zones_.begin(), zones_.end()};
  members.known_members = members_.size();
  for (const Member& other : members_) {
    if (detected && ((scenario_.members_fail && other.zone == 0) ||
                     (scenario_.partitioned && (other.zone == 0) != in_zone_0)))
      continue;
    members.live.push_back(other.id);
  }
  return members;
}

void ZoneSimulation::Trace() const {
  std::printf("%6d", now_);
  for (int zone = 0; zone < kZones; ++zone) {
    int members_in_phase[5] = {}, total_share = 0;
    std::uint32_t min_generation = UINT32_MAX, max_generation = 0;
    for (const Member& member : members_) {
      if (member.state.empty()) continue;
      const ZoneState& state = member.state.at(zones_[zone]);
      ++members_in_phase[static_cast<int>(state.phase)];
      total_share += state.share;
      min_generation = std::min(min_generation, state.generation),
      max_generation = std::max(max_generation, state.generation);
    }
    std::printf(
        "  | active %2d suspect %2d draining %2d drained %2d recovering %2d generation %u-%u share %4d",
        members_in_phase[0], members_in_phase[1], members_in_phase[2], members_in_phase[3],
        members_in_phase[4], min_generation, max_generation, total_share / scenario_.members);
  }
  std::printf(" queue %.0f %.0f %.0f\n", queue_[0], queue_[1], queue_[2]);
}

void ZoneSimulation::Measure() {
  std::vector<int> drained_at(kZones);  // by zone: the number of members that drain it
  bool agree = true, all_full = true;
  const Member* first = nullptr;
  for (const Member& member : members_) {
    if (IsDead(member) || member.state.empty() || (scenario_.partitioned && member.zone == 0 && IsLost(0)))
      continue;
    for (int zone = 0; zone < kZones; ++zone) {
      const ZoneState& state = member.state.at(zones_[zone]);
      if (state.phase == Phase::kDraining || state.phase == Phase::kDrained) ++drained_at[zone];
      const auto phase_and_step = [](const ZoneState& compared) {
        return std::pair(compared.phase == Phase::kSuspect ? Phase::kActive : compared.phase, compared.step);
      };
      if (first != nullptr && phase_and_step(state) != phase_and_step(first->state.at(zones_[zone])))
        agree = false;
    }
    if (member.state.at(zones_[0]).share < 1000) all_full = false;
    if (first == nullptr) first = &member;
  }
  if (!agree) result_.disagreed_ms += 100;
  for (int zone = 0; zone < kZones; ++zone) {
    const bool is_lost = IsLost(zone) && scenario_.lost_share >= 1;
    const bool was_lost_before =
        zone == 0 && scenario_.lost_at >= 0 && scenario_.lost_share >= 1 && now_ >= scenario_.lost_at;
    if (drained_at[zone] > 0 && !was_drained_[zone]) {
      ++result_.drains;
      if (!is_lost && !was_lost_before) ++result_.false_drains;
    }
    was_drained_[zone] = drained_at[zone] > 0;
  }
  // The load on the zone within a second, relative to the load that overloads it.
  slow_start_window_.push_back(slow_start_sent_);
  slow_start_sent_ = 0;
  if (slow_start_window_.size() > 10) slow_start_window_.pop_front();
  long sent_in_second = 0;
  for (const long sent : slow_start_window_) sent_in_second += sent;
  if (scenario_.back_at >= 0 && now_ >= scenario_.back_at + 1000 && SlowStartFactor(0) < 1) {
    result_.max_slow_start_load = std::max(
        result_.max_slow_start_load, sent_in_second / (kOverloadMultiple * SlowStartFactor(0) * capacity_));
    double allowed = 0;
    for (const Member& member : members_) allowed += SlowStartAllowance(member, 0);
    if (allowed > 0)
      result_.max_allowance_used = std::max(result_.max_allowance_used, sent_in_second / allowed);
  }
  const int back_at = scenario_.back_again >= 0 ? scenario_.back_again : scenario_.back_at;
  if (back_at >= 0 && now_ > back_at && result_.fully_back_ms < 0 && all_full && now_ > back_at + 1000)
    result_.fully_back_ms = now_ - back_at;
}

}  // namespace mothrack::zone_failover::bench
