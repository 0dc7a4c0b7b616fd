#include "runtime/stream.h"

#include <algorithm>

namespace mothrack::runtime {

std::size_t ByteBudget::Window() const {
  return std::clamp(bytes_ / std::max<std::size_t>(open_, 1), kMinWindow, kMaxWindow);
}

Stream::Stream(ByteBudget& budget, std::size_t keep) : budget_(budget), keep_(keep) { ++budget_.open_; }

Stream::~Stream() {
  --budget_.open_;
  budget_.held_ -= bytes_.size() - head_;
}

std::size_t Stream::Capacity() const {
  if (abandoned_) return ByteBudget::kMinWindow;
  // Bytes that are only retained do not count: they are bounded by `keep`.
  const auto waiting = static_cast<std::size_t>(size() - next_);
  const std::size_t window = budget_.Window();
  return window > waiting ? window - waiting : 0;
}

void Stream::Append(std::string_view bytes) {
  if (abandoned_ || state_ != State::kComing || bytes.empty()) return;
  bytes_.append(bytes);
  budget_.held_ += bytes.size();
  DropConsumed();
  if (const auto notify = on_bytes) notify();
}

void Stream::End(State state) {
  if (state_ != State::kComing) return;
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
  const bool keeps = size() <= keep_ && budget_.held_ <= budget_.bytes_ / 2;
  if (!keeps && next_ > base_) Drop(static_cast<std::size_t>(next_ - base_));
}

void Stream::Drop(std::size_t size) {
  head_ += size;
  base_ += size;
  budget_.held_ -= size;
  // Moving the rest forward costs no more than its bytes did, once each.
  if (head_ * 2 < bytes_.size()) return;
  bytes_.erase(0, head_);
  head_ = 0;
}

}  // namespace mothrack::runtime
