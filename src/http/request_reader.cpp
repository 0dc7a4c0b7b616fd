#include "http/request_reader.h"

#include <algorithm>
#include <boost/beast/http/error.hpp>
#include <boost/system/error_code.hpp>
#include <utility>

namespace mothrack::http {
namespace {

using boost::system::error_code;

RequestReader::Step Invalid(MessageDefect defect, std::string text) {
  return {RequestReader::Step::Result::kInvalid, 0, defect, std::move(text)};
}

RequestReader::Step Invalid(MessageDefect defect) { return Invalid(defect, TextOf(defect)); }

}  // namespace

RequestReader::RequestReader() { buffer_.max_size(kMaxReadAhead); }

void RequestReader::BeginNextRequest() {
  parser_.emplace();
  parser_->body_limit(kMaxBodySize);
  parser_->header_limit(kMaxHeaderSize);
  set_chunk_capacity(runtime::MemoryBudget::kMinWindow);
  started_ = false;
  head_checked_ = false;
  head_taken_ = false;
  head_reported_ = false;
  head_scanned_ = 0;
  behind_scanned_ = 0;
}

// As flat_buffer::prepare() allocates.
std::size_t RequestReader::BufferMemory(std::size_t size) const {
  const std::size_t needed = buffer_.size() + size;
  if (needed <= buffer_.capacity()) return buffer_.capacity();
  return std::min(buffer_.max_size(), std::max(2 * buffer_.size(), needed));
}

void RequestReader::FreeEmptyBuffer() {
  if (buffer_.size() == 0) buffer_.shrink_to_fit();
}

bool RequestReader::has_body() const { return parser_->chunked() || content_length().value_or(0) > 0; }

RequestReader::Step RequestReader::Advance() {
  if (!parser_->is_header_done()) {
    const HeadStatus head = InspectHead(Unparsed(), head_scanned_);
    if (head == HeadStatus::kPartial) return {};
    if (head == HeadStatus::kInvalid) return Invalid(MessageDefect::kMalformedHead);
  }
  Step step = Parse();
  if (step.result == Step::Result::kInvalid) return step;
  if (const auto defect = FindDefect()) return Invalid(*defect);
  return step;
}

std::optional<MessageDefect> RequestReader::FindDefect() {
  if (parser_->is_header_done() && !std::exchange(head_checked_, true)) {
    if (const auto defect = http::FindDefect(parser_->get().base())) return defect;
  } else if (complete()) {
    if (const auto defect = FindDefectOfTrailers()) return defect;
  }
  if (complete() && BytesBehindAreUnsound()) return MessageDefect::kBytesBehind;
  return std::nullopt;
}

// The trailers of a chunked body are merged into its head, which was sound, unless that was taken.
std::optional<MessageDefect> RequestReader::FindDefectOfTrailers() const {
  const auto& head = parser_->get().base();
  if (head_taken_) return FindTrailerDefect(head);
  const auto defect = http::FindDefect(head);
  if (!defect || *defect == MessageDefect::kTooManyFields) return defect;
  return MessageDefect::kForbiddenTrailer;
}

RequestReader::Step RequestReader::Parse() {
  // The head is parsed on its own: if head and body are parsed in one call, Beast 1.74 loses the error that
  // the body exceeds its limit.
  parser_->eager(parser_->is_header_done());
  error_code error;
  const std::size_t used = parser_->put(buffer_.data(), error);
  buffer_.consume(used);
  if (error == beast_http::error::need_buffer) return {Step::Result::kBodyBlocked, used, {}, {}};
  if (error == beast_http::error::body_limit) return Invalid(MessageDefect::kBodyTooLarge);
  if (error && error != beast_http::error::need_more) {
    const bool in_body = parser_->is_header_done();
    return Invalid(in_body ? MessageDefect::kMalformedBody : MessageDefect::kMalformedHead, error.message());
  }
  return {Step::Result::kParsed, used, {}, {}};
}

bool RequestReader::TakeHeadCompleted() {
  return parser_->is_header_done() && !std::exchange(head_reported_, true);
}

std::optional<std::uint64_t> RequestReader::content_length() const {
  if (const auto length = parser_->content_length()) return *length;
  return std::nullopt;
}

std::optional<std::uint64_t> RequestReader::missing_body() const {
  if (const auto missing = parser_->content_length_remaining()) return *missing;
  return std::nullopt;
}

HttpRequest RequestReader::Release() {
  auto message = parser_->release();
  HttpRequest request;
  request.base() = std::move(message.base());
  request.body() = std::move(message.body().bytes);
  return request;
}

bool RequestReader::BytesBehindAreUnsound(boost::beast::string_view unread) {
  const bool buffered = buffer_.size() > 0;
  const HeadStatus status = buffered ? InspectHead(Unparsed(), behind_scanned_) : HeadStatus::kPartial;
  if (status != HeadStatus::kPartial || unread.empty()) return status == HeadStatus::kInvalid;
  std::size_t scanned = 0;
  if (!buffered) return InspectHead(unread, scanned) == HeadStatus::kInvalid;
  const std::string bytes = std::string(Unparsed()) + std::string(unread);
  return InspectHead(bytes, scanned) == HeadStatus::kInvalid;
}

boost::beast::string_view RequestReader::Unparsed() const {
  return {static_cast<const char*>(buffer_.data().data()), buffer_.data().size()};
}

}  // namespace mothrack::http
