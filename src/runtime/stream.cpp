#include "runtime/stream.h"

#include <algorithm>
#include <utility>

#include "runtime/exact_string.h"

namespace mothrack::runtime {
namespace {

// The part of a buffer's capacity that is charged. A stream holds kMinWindow in any case.
std::size_t ChargeOf(std::size_t capacity) { return std::max(capacity, MemoryBudget::kMinWindow); }

}  // namespace

Stream::Stream(const MemoryBudget& budget, std::size_t max_retained)
    : budget_(budget), open_stream_(budget), charge_(budget), max_retained_(max_retained) {
  SetCharge();
}

void Stream::SetCharge() { charge_.Set(ChargeOf(bytes_.capacity())); }

std::size_t Stream::Capacity() const {
  if (abandoned_) return MemoryBudget::kMinWindow;
  // Bytes that are only retained for a retry do not count: they are bounded by `max_retained`, and dropped if
  // memory is short.
  const auto unconsumed = static_cast<std::size_t>(size() - next_);
  const std::size_t window = budget_.StreamWindow();
  if (unconsumed >= window) return 0;
  const std::size_t free = bytes_.capacity() - buffered();
  const std::size_t guaranteed =
      MemoryBudget::kMinWindow > unconsumed ? MemoryBudget::kMinWindow - unconsumed : 0;
  return std::min(window - unconsumed, std::max(guaranteed, free + budget_.GrowthAvailable()));
}

void Stream::Append(std::string_view bytes) {
  if (IsClosed() || bytes.empty()) return;
  MakeRoom(bytes.size());
  bytes_.append(bytes);
  OnAppended();
}

void Stream::AppendAndFree(std::string& bytes) {
  const bool takes_over =
      buffered() == 0 && bytes.size() > bytes_.capacity() && bytes.capacity() <= 2 * bytes.size();
  if (!takes_over) {
    Append(bytes);
  } else if (!IsClosed()) {
    bytes_ = std::move(bytes);
    head_ = 0;
    SetCharge();
    OnAppended();
  }
  FreeStorage(bytes);
}

void Stream::OnAppended() {
  DropConsumed();
  if (const auto notify = on_bytes) notify();
}

// Makes the buffer large enough for `size` more bytes. It grows in large steps if memory allows, because each
// step copies the buffer.
void Stream::MakeRoom(std::size_t size) {
  const auto fits = [&] { return bytes_.size() + size <= bytes_.capacity(); };
  if (fits()) return;
  bytes_.erase(0, std::exchange(head_, 0));
  if (fits()) return;
  const std::size_t needed = buffered() + size;
  const std::size_t generous = std::min(2 * bytes_.capacity(), budget_.StreamWindow());
  if (Reallocate(std::max(needed, generous)) || Reallocate(needed)) return;
  // Memory is short: bytes that are only retained are given up.
  Drop(static_cast<std::size_t>(next_ - base_));
  bytes_.erase(0, std::exchange(head_, 0));
  if (fits()) return;
  ReallocateExactly(bytes_, buffered() + size);
  SetCharge();
}

// Returns false, without effect, if the budget denies the growth.
bool Stream::Reallocate(std::size_t capacity) {
  if (!charge_.Grow(ChargeOf(capacity))) return false;
  bytes_.erase(0, std::exchange(head_, 0));
  ReallocateExactly(bytes_, capacity);
  return true;
}

void Stream::End(State state) {
  if (state_ != State::kArriving) return;
  state_ = state;
  ReleaseSpareMemory();
  if (const auto notify = on_bytes) notify();
}

bool Stream::BeginConsuming() {
  if (base_ != 0 || abandoned_ || has_consumer_) return false;
  has_consumer_ = true;
  next_ = 0;
  return true;
}

void Stream::StopConsuming() {
  has_consumer_ = false;
  on_bytes = nullptr;
}

void Stream::Consume(std::size_t size) {
  next_ += size;
  DropConsumed();
  if (const auto notify = on_capacity) notify();
}

void Stream::Abandon() {
  abandoned_ = true;
  on_bytes = nullptr;
  next_ = size();
  Drop(buffered());
  if (const auto notify = on_capacity) notify();
}

void Stream::DropConsumed() {
  const bool retains = size() <= max_retained_ && budget_.used() <= budget_.limit() / 2;
  if (!retains && next_ > base_) Drop(static_cast<std::size_t>(next_ - base_));
}

void Stream::Drop(std::size_t size) {
  head_ += size;
  base_ += size;
  // The dropped bytes are erased only once they are at least half of the buffer. So moving the remaining
  // bytes copies no more bytes than were dropped since the last move.
  if (head_ * 2 < bytes_.size()) return;
  bytes_.erase(0, std::exchange(head_, 0));
  ReleaseSpareMemory();
}

// Keeps at most twice what may be needed: a window, or only the smallest one if memory is short or the body
// has ended.
void Stream::ReleaseSpareMemory() {
  const bool keeps_window = !IsClosed() && budget_.GrowthAvailable() > 0;
  const std::size_t window = keeps_window ? budget_.StreamWindow() : MemoryBudget::kMinWindow;
  const std::size_t keep = std::max(bytes_.size(), window);
  if (bytes_.capacity() > 2 * keep) Reallocate(keep);
}

}  // namespace mothrack::runtime
