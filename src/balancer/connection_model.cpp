#include "balancer/connection_model.h"

#include <algorithm>

#include "balancer/tick.h"

namespace mothrack::balancer {

bool ConnectionModel::DropStale(ConnectionRecord& record, TimePoint now) const {
  if (record.idle == 0 || now - record.idle_since <= trusted_idle_) return false;
  record.idle = 0;
  return true;
}

ConnectionUse ConnectionModel::Use(ConnectionRecord& record, int in_flight, TimePoint now) const {
  const ConnectionUse use{!HasConnection(record, in_flight, now), now - record.idle_since};
  if (record.idle > 0) --record.idle;
  return use;
}

void ConnectionModel::RecordOutcome(ConnectionRecord& record, const ConnectionUse& use, Outcome outcome,
                                    Duration elapsed, Duration usual_time, TimePoint now) {
  if (IsAnswer(outcome)) {
    ++record.idle;
    record.idle_since = now;
  }
  if (outcome == Outcome::kConnectFailed || outcome == Outcome::kReset) record.idle = 0;
  const bool immediate = elapsed < Scaled(limits_.connect_timeout, kImmediateShare);
  if (outcome == Outcome::kReset && !use.connects && immediate)
    trusted_idle_ = std::max(kMinTrustedIdle, std::min(trusted_idle_, use.idle_for / 2));
  if (!use.connects || (outcome != Outcome::kServed && outcome != Outcome::kConnectFailed)) return;
  const double excess = Seconds(elapsed) / Seconds(usual_time) - 1;
  difficulty_.Add(outcome == Outcome::kServed ? std::clamp(excess, 0.0, 1.0) : 1, kConnectingMemory);
}

void ConnectionModel::RecordTick() {
  difficulty_.value *= 1 - Seconds(kTickInterval) / Seconds(kConnectingDecayTime);
  trusted_idle_ = std::min(Scaled(trusted_idle_, kTrustedIdleGrowth), limits_.idle_close);
}

}  // namespace mothrack::balancer
