#include "balancer/latency_model.h"

#include <algorithm>

namespace mothrack::balancer {

void LatencyModel::GetUsualTimes(std::vector<Duration>& times) const {
  times.clear();
  for (std::size_t class_index = 0; class_index < usual_time_.size(); ++class_index)
    times.push_back(UsualTime(class_index));
}

void LatencyModel::RecordAnswer(LatencyRecord& record, const std::string& kind, const TimedAnswer& answer) {
  const Outcome outcome = answer.outcome;
  if (ProvesNotRun(outcome) || outcome == Outcome::kError || outcome == Outcome::kReset) return;
  const auto elapsed_us = static_cast<double>(answer.elapsed.count());
  // The time expected after slow start, which is temporary and must not count as slowness of the upstream.
  const double time_after_slow_start = elapsed_us * answer.slow_start_factor;
  const double usual_us = static_cast<double>(UsualTime(answer.class_index).count());
  const double ratio = std::min(time_after_slow_start / usual_us, 2 * kMaxSlowness);
  const double slowness = Slowness(record, kind);
  // The time of an unanswered attempt is a lower bound, unless the upstream answers others fast.
  if (outcome != Outcome::kServed && (ratio < slowness || !IsLoaded(record))) return;
  if (answer.slow_start_factor < 1)
    slow_start_times_.Add(std::max(ratio / slowness, 1 / kMaxSlowness), kSlowStartTimesMemory);
  record.slowness.Add(ratio, kSlownessMemory);
  kind_slowness_[kind].Add(ratio, kUsualTimeMemory);
  if (outcome != Outcome::kServed) return;
  record.objective_share.Add(elapsed_us / static_cast<double>(answer.latency_objective.count()),
                             kSlownessMemory);
  usual_time_[answer.class_index].Add(elapsed_us, kUsualTimeMemory);
  usual_time_of_all_.Add(elapsed_us, kUsualTimeMemory);
}

}  // namespace mothrack::balancer
