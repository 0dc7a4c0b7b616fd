#include "runtime/memory_budget.h"

#include <algorithm>
#include <utility>

namespace mothrack::runtime {
namespace {

// Shares of the limit, in twelfths. What growth leaves free is for reservations.
constexpr std::size_t kShareUnits = 12;
constexpr std::size_t kGrowthShare = 9;
constexpr std::size_t kStreamShare = 8;

}  // namespace

std::size_t MemoryBudget::Totals::GrowthAvailable() const {
  const std::size_t growth_limit = limit / kShareUnits * kGrowthShare;
  return growth_limit > used ? growth_limit - used : 0;
}

std::size_t MemoryBudget::GrowthAvailable() const { return totals_->GrowthAvailable(); }

std::size_t MemoryBudget::StreamWindow() const {
  const std::size_t streams = std::max<std::size_t>(totals_->open_streams, 1);
  return std::clamp(totals_->limit / kShareUnits * kStreamShare / streams, kMinWindow, kMaxWindow);
}

MemoryBudget::Charge::Charge(Charge&& other) noexcept
    : totals_(std::move(other.totals_)), bytes_(std::exchange(other.bytes_, 0)) {}

MemoryBudget::Charge& MemoryBudget::Charge::operator=(Charge&& other) noexcept {
  if (this == &other) return *this;
  Set(0);
  totals_ = std::move(other.totals_);
  bytes_ = std::exchange(other.bytes_, 0);
  return *this;
}

bool MemoryBudget::Charge::Reserve(std::size_t bytes) {
  if (totals_ == nullptr) return bytes == 0;
  const bool fits = bytes <= bytes_ || totals_->used + (bytes - bytes_) <= totals_->limit;
  fits ? Set(bytes) : void(++totals_->denied);
  return fits;
}

bool MemoryBudget::Charge::Grow(std::size_t bytes) {
  if (totals_ == nullptr) return bytes == 0;
  const bool fits = bytes <= bytes_ || bytes - bytes_ <= totals_->GrowthAvailable();
  if (fits) Set(bytes);
  return fits;
}

void MemoryBudget::Charge::Set(std::size_t bytes) {
  if (totals_ == nullptr || bytes == bytes_) return;
  totals_->used = totals_->used - bytes_ + bytes;
  totals_->peak = std::max(totals_->peak, totals_->used);
  bytes_ = bytes;
}

}  // namespace mothrack::runtime
