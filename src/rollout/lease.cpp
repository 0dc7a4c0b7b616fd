#include "rollout/lease.h"

namespace mothrack::rollout {

LeaseBook::Verdict LeaseBook::Acquire(Epoch epoch, const Holder& holder, TimePoint now) {
  // Its answer was lost, or the question came twice.
  if (epoch == state_.highest && state_.holder == holder && now < until_) return Verdict::kGranted;
  if (epoch <= state_.highest) return Verdict::kFenced;
  const auto other = this->holder(now);
  if (other && (other->change != holder.change || other->who != holder.who)) return Verdict::kHeld;
  if (state_.open && state_.open->change != holder.change) return Verdict::kOpen;
  state_.highest = epoch;
  state_.holder = holder;
  until_ = now + time_;
  return Verdict::kGranted;
}

LeaseBook::Verdict LeaseBook::Use(Epoch epoch, const std::string& tool, TimePoint now) {
  if (epoch != state_.highest || !state_.holder || state_.holder->tool != tool) return Verdict::kFenced;
  if (now >= until_) return Verdict::kLapsed;
  until_ = now + time_;
  return Verdict::kGranted;
}

LeaseBook::Verdict LeaseBook::Open(Epoch epoch, const Holder& holder, TimePoint now) {
  if (state_.holder != holder) return Verdict::kFenced;
  const Verdict verdict = Use(epoch, holder.tool, now);
  if (verdict == Verdict::kGranted && !state_.open) state_.open = state_.holder;
  return verdict;
}

void LeaseBook::Release(Epoch epoch, const std::string& tool, bool close) {
  if (epoch != state_.highest || !state_.holder || state_.holder->tool != tool) return;
  if (close) state_.open.reset();
  state_.holder.reset();
}

std::optional<Holder> LeaseBook::holder(TimePoint now) const {
  return now < until_ ? state_.holder : std::nullopt;
}

}  // namespace mothrack::rollout
