#include "rollout/lease.h"

namespace mothrack::rollout {

Lessor::Verdict Lessor::Acquire(Epoch epoch, const Holder& holder, TimePoint now) {
  // A repeated or duplicated request.
  if (epoch == state_.highest && state_.holder == holder && now < expires_at_) return Verdict::kGranted;
  if (epoch <= state_.highest) return Verdict::kFenced;
  const auto current = this->holder(now);
  if (current && (current->change != holder.change || current->who != holder.who)) return Verdict::kHeld;
  if (state_.open && state_.open->change != holder.change) return Verdict::kOpen;
  state_.highest = epoch;
  state_.holder = holder;
  expires_at_ = now + duration_;
  return Verdict::kGranted;
}

Lessor::Verdict Lessor::Renew(Epoch epoch, const std::string& claim_id, TimePoint now) {
  if (epoch != state_.highest || !state_.holder || state_.holder->claim_id != claim_id)
    return Verdict::kFenced;
  if (now >= expires_at_) return Verdict::kLapsed;
  expires_at_ = now + duration_;
  return Verdict::kGranted;
}

Lessor::Verdict Lessor::Open(Epoch epoch, const Holder& holder, TimePoint now) {
  if (state_.holder != holder) return Verdict::kFenced;
  const Verdict verdict = Renew(epoch, holder.claim_id, now);
  if (verdict == Verdict::kGranted && !state_.open) state_.open = state_.holder;
  return verdict;
}

void Lessor::Release(Epoch epoch, const std::string& claim_id, bool close) {
  if (epoch != state_.highest || !state_.holder || state_.holder->claim_id != claim_id) return;
  if (close) state_.open.reset();
  state_.holder.reset();
}

std::optional<Holder> Lessor::holder(TimePoint now) const {
  return now < expires_at_ ? state_.holder : std::nullopt;
}

}  // namespace mothrack::rollout
