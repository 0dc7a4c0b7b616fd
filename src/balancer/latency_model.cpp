#include "balancer/latency_model.h"

#include <algorithm>

namespace mothrack::balancer {

void LatencyModel::GetUsualTimes(std::vector<Duration>& times) const {
  times.clear();
  for (std::size_t c = 0; c < usual_time_.size(); ++c) times.push_back(UsualTime(c));
}

void LatencyModel::RecordAnswer(LatencyRecord& record, const std::string& kind, const TimedAnswer& answer) {
  const Outcome outcome = answer.outcome;
  if (ProvesNotRun(outcome) || outcome == Outcome::kError || outcome == Outcome::kReset) return;
  const auto time = static_cast<double>(answer.elapsed.count());
  // Slow start is temporary and must not count as slowness of the upstream.
  const double warm = time * answer.slow_start_factor;
  const double usual = static_cast<double>(UsualTime(answer.class_index).count());
  const double ratio = std::min(warm / usual, 2 * kMaxSlowness);
  const double slowness = Slowness(record, kind);
  // An unanswered attempt is a lower bound on the time, unless the upstream answers others fast.
  if (outcome != Outcome::kServed && (ratio < slowness || !IsLoaded(record))) return;
  if (answer.slow_start_factor < 1)
    slow_start_times_.Add(std::max(ratio / slowness, 1 / kMaxSlowness), kSlowStartTimesMemory);
  record.slowness.Add(ratio, kSlownessMemory);
  kind_slowness_[kind].Add(ratio, kUsualTimeMemory);
  if (outcome != Outcome::kServed) return;
  record.objective_share.Add(time / static_cast<double>(answer.latency_objective.count()), kSlownessMemory);
  usual_time_[answer.class_index].Add(time, kUsualTimeMemory);
  usual_time_of_all_.Add(time, kUsualTimeMemory);
}

}  // namespace mothrack::balancer
