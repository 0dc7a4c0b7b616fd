#include "standins/relay_stream.h"

#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <utility>

namespace mothrack::testing::relay {
namespace {

constexpr std::chrono::microseconds kNoExtraDelay(0);
// A link of limited bandwidth forwards small pieces, so that the rate is even.
constexpr std::size_t kPiecesPerSecond = 50;
constexpr std::size_t kMinPieceBytes = 256;

}  // namespace

Clock::time_point Stream::NextDue() const {
  if (chunks_.empty() || blocked_ || link_.IsCut()) return Clock::time_point::max();
  return chunks_.front().due;
}

std::size_t Stream::ReadSize(std::size_t buffer_size) const {
  const std::size_t rate = link_.faults.bytes_per_s;
  const std::size_t piece =
      rate == 0 ? buffer_size : std::clamp(rate / kPiecesPerSecond, kMinPieceBytes, buffer_size);
  return std::min(piece, link_.faults.queue_bytes - queued_bytes_);
}

Stream::IoResult Stream::Receive(int from, std::vector<char>& buffer, Clock::time_point now) {
  while (!ended_ && HasRoom()) {
    const ssize_t got = ::recv(from, buffer.data(), ReadSize(buffer.size()), 0);
    if (got < 0) return errno == EAGAIN || errno == EINTR ? IoResult::kContinue : IoResult::kFailed;
    Enqueue({now, {}, std::string(buffer.data(), static_cast<std::size_t>(got)), got == 0});
  }
  return IoResult::kContinue;
}

void Stream::Enqueue(Chunk chunk) {
  chunk.due = link_.Schedule(chunk.arrived_at, chunk.bytes.size(), kNoExtraDelay, true);
  queued_bytes_ += chunk.bytes.size();
  link_.queued_bytes += chunk.bytes.size();
  ended_ = chunk.end;
  chunks_.push_back(std::move(chunk));
}

Stream::IoResult Stream::Deliver(int to, Clock::time_point now) {
  while (!chunks_.empty() && chunks_.front().due <= now && !blocked_) {
    const Chunk& chunk = chunks_.front();
    if (chunk.end) {
      ::shutdown(to, SHUT_WR);
      done_ = true;
      chunks_.pop_front();
      continue;
    }
    const ssize_t sent = ::send(to, chunk.bytes.data(), chunk.bytes.size(), MSG_NOSIGNAL);
    if (sent >= 0) {
      RemoveDelivered(static_cast<std::size_t>(sent));
    } else if (errno == EAGAIN) {
      blocked_ = true;
    } else if (errno != EINTR) {
      return IoResult::kFailed;
    }
  }
  return IoResult::kContinue;
}

void Stream::RemoveDelivered(std::size_t size) {
  queued_bytes_ -= size;
  link_.queued_bytes -= size;
  link_.counts.tcp_bytes += size;
  Chunk& chunk = chunks_.front();
  chunk.bytes.erase(0, size);
  if (chunk.bytes.empty()) chunks_.pop_front();
}

void Stream::Abandon() {
  Discard();
  done_ = true;
}

void Stream::Discard() {
  link_.queued_bytes -= queued_bytes_;
  queued_bytes_ = 0;
  chunks_.clear();
}

void Stream::Reschedule() {
  for (Chunk& chunk : chunks_) {
    chunk.due = link_.Schedule(chunk.arrived_at, chunk.bytes.size(), kNoExtraDelay, true);
  }
}

}  // namespace mothrack::testing::relay
