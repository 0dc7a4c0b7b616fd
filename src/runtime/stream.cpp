#include "runtime/stream.h"

#include <algorithm>

namespace mothrack::runtime {

std::size_t ByteBudget::Window() const {
  return std::clamp(bytes_ / std::max<std::size_t>(open_streams_, 1), kMinWindow, kMaxWindow);
}

Stream::Stream(ByteBudget& budget, std::size_t max_retained) : budget_(budget), max_retained_(max_retained) {
  ++budget_.open_streams_;
}

Stream::~Stream() {
  --budget_.open_streams_;
  budget_.buffered_ -= bytes_.size() - head_;
}

std::size_t Stream::Capacity() const {
  if (abandoned_) return ByteBudget::kMinWindow;
  // Bytes that are only retained for a retry do not count: they are bounded by `max_retained`.
  const auto unconsumed = static_cast<std::size_t>(size() - next_);
  const std::size_t window = budget_.Window();
  return window > unconsumed ? window - unconsumed : 0;
}

void Stream::Append(std::string_view bytes) {
  if (abandoned_ || state_ != State::kArriving || bytes.empty()) return;
  bytes_.append(bytes);
  budget_.buffered_ += bytes.size();
  DropConsumed();
  if (const auto notify = on_bytes) notify();
}

void Stream::End(State state) {
  if (state_ != State::kArriving) return;
  state_ = state;
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
  Drop(bytes_.size() - head_);
  if (const auto notify = on_capacity) notify();
}

void Stream::DropConsumed() {
  const bool retains = size() <= max_retained_ && budget_.buffered_ <= budget_.bytes_ / 2;
  if (!retains && next_ > base_) Drop(static_cast<std::size_t>(next_ - base_));
}

void Stream::Drop(std::size_t size) {
  head_ += size;
  base_ += size;
  budget_.buffered_ -= size;
  // The dropped bytes are erased only once they are at least half of the buffer. So moving the remaining
  // bytes copies no more bytes than were dropped since the last move.
  if (head_ * 2 < bytes_.size()) return;
  bytes_.erase(0, head_);
  head_ = 0;
}

}  // namespace mothrack::runtime
