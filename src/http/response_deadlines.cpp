#include "http/response_deadlines.h"

#include <algorithm>
#include <chrono>

#include "http/messages.h"

namespace mothrack::http {
namespace {

// A response of unknown length is buffered like one of known length. Once it is no longer small, it is
// buffered only for this long: the part of a long response that has arrived must not be withheld from its
// client for 2 s.
constexpr runtime::Duration kBufferingTimeout = std::chrono::seconds(1);
// A response that is still buffered this long before its client's deadline is streamed or given up, so that
// the client gets its head in time.
constexpr runtime::Duration kForwardMargin = std::chrono::milliseconds(50);
// A request whose answer is complete later than this after its deadline counts as lost.
constexpr runtime::Duration kMaxLateness = std::chrono::milliseconds(500);

}  // namespace

void ResponseDeadlines::Begin(const dispatch::AttemptTimeouts& timeouts, runtime::TimePoint now) {
  started_at_ = now;
  begin_by_ = now + timeouts.until_begun;
  client_deadline_ = now + timeouts.until_deadline;
  const runtime::Duration margin = std::min(kForwardMargin, timeouts.until_deadline / 4);
  forward_at_ = client_deadline_ - margin;
  give_up_at_ = forward_at_ + margin / 2;
}

void ResponseDeadlines::BeginBuffering(bool length_known, runtime::TimePoint now) {
  runtime::TimePoint until = forward_at_;
  if (!length_known) until = std::min({until, begin_by_, now + kBufferingTimeout});
  buffering_ = Buffering{now, until, length_known, 0, now};
}

void ResponseDeadlines::OnBuffered(std::size_t size, runtime::TimePoint now) {
  if (size <= buffering_->size) return;
  buffering_->size = size;
  buffering_->grown_at = now;
}

bool ResponseDeadlines::ShouldStream(std::size_t size, runtime::TimePoint now) const {
  if (now < buffering_->until || size == 0) return false;
  if (buffering_->length_known && now - buffering_->grown_at > kMaxLateness) return false;
  if (size >= kMinStreamedSize) return true;
  const double elapsed_seconds = std::chrono::duration<double>(now - buffering_->head_at).count();
  return now >= forward_at_ && static_cast<double>(size) >= elapsed_seconds * kMinBodyRate;
}

StallDeadline ResponseDeadlines::WhileStreaming(std::optional<std::uint64_t> length) const {
  const bool is_short = length && *length <= kBufferLimit;
  if (!is_short) return StallDeadline(client_deadline_);
  return StallDeadline(client_deadline_, client_deadline_ + kMaxLateness - kForwardMargin);
}

std::optional<runtime::TimePoint> ResponseDeadlines::NextCheck(runtime::TimePoint now) const {
  if (now >= give_up_at_) return std::nullopt;
  return now < forward_at_ ? forward_at_ : give_up_at_;
}

}  // namespace mothrack::http
