#include "http/response_reader.h"

#include <algorithm>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/system/error_code.hpp>
#include <utility>

namespace mothrack::http {

using boost::system::error_code;

ResponseReader::ResponseReader() {
  buffer_.max_size(kMaxUpstreamReadAhead);
  BeginNextResponse();
}

void ResponseReader::BeginNextResponse() {
  parser_.emplace();
  parser_->body_limit(kMaxBodySize);
  parser_->header_limit(kMaxHeaderSize);
  set_body_capacity(runtime::MemoryBudget::kMinWindow);
}

ResponseReader::Step ResponseReader::Advance() {
  while (!complete()) {
    if (buffer_.size() == 0) return Step::kNeedsBytes;
    const bool in_body = head_complete();
    // The head is parsed on its own: if head and body are parsed in one call, Beast 1.74 loses the error that
    // the body exceeds its limit.
    parser_->eager(in_body);
    error_code error;
    const std::size_t used = parser_->put(buffer_.data(), error);
    buffer_.consume(used);
    if (error == beast_http::error::need_buffer) return Step::kBodyFull;
    if (error == beast_http::error::need_more || (!error && used == 0)) {
      if (buffer_.size() < buffer_.max_size()) return Step::kNeedsBytes;
      return Invalid(MessageDefect::kMalformedHead);
    }
    if (error == beast_http::error::body_limit) return Invalid(MessageDefect::kBodyTooLarge);
    if (error) return Invalid(in_body ? MessageDefect::kMalformedBody : MessageDefect::kMalformedHead);
    if (!in_body && head_complete()) {
      if (const auto defect = FindDefect(head())) return Invalid(*defect);
      return Step::kHead;
    }
  }
  return Step::kComplete;
}

ResponseReader::Step ResponseReader::AdvanceAtEnd() {
  error_code error;
  parser_->put_eof(error);
  return !error && complete() ? Step::kComplete : Invalid(MessageDefect::kTruncated);
}

ResponseReader::Step ResponseReader::Invalid(MessageDefect defect) {
  defect_ = defect;
  return Step::kInvalid;
}

boost::asio::mutable_buffer ResponseReader::Prepare(std::size_t size) {
  return buffer_.prepare(std::min(size, buffer_.max_size() - buffer_.size()));
}

std::optional<std::uint64_t> ResponseReader::content_length() const {
  if (const auto length = parser_->content_length()) return *length;
  return std::nullopt;
}

bool ResponseReader::has_defined_end() const {
  return parser_->chunked() || content_length().has_value() || !parser_->get().keep_alive();
}

bool ResponseReader::BytesBehindAreUnsound(boost::beast::string_view unread) const {
  std::string bytes(static_cast<const char*>(buffer_.data().data()), buffer_.size());
  bytes.append(unread.data(), unread.size());
  return AreBytesBehindResponseUnsound(bytes);
}

HttpResponse ResponseReader::Release() {
  auto message = parser_->release();
  HttpResponse response;
  response.base() = std::move(message.base());
  response.body() = std::move(message.body().bytes);
  return response;
}

}  // namespace mothrack::http
