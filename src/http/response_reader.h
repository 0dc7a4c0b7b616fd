// Parses the responses to one request: interim ones, then the final one (RFC 9112), and applies the rules of
// message_rules.h to them. Does no I/O: the exchange reads bytes into Prepare() and calls Advance() until it
// needs more.
//
// Owned by an UpstreamExchange, used on its thread. No pending operation refers to its storage, so it may be
// grown or freed at any time (docs/design/pending_operations.md). Holds at most kMaxUpstreamReadAhead bytes
// ahead of the parser, a head of kMaxHeaderSize, and a body chunk of the size set by set_body_capacity().
// Nothing throws.
#pragma once

#include <boost/asio/buffer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

#include "http/incremental_body.h"
#include "http/message_rules.h"
#include "http/messages.h"

namespace mothrack::http {

class ResponseReader {
 public:
  ResponseReader();

  enum class Step {
    kNeedsBytes,  // all buffered bytes are parsed, and the response goes on
    kHead,        // the head is complete
    kBodyFull,    // the body chunk has reached its capacity and must be emptied, or the capacity raised
    kComplete,    // the whole response is parsed
    kInvalid,     // the bytes are no sound response, see defect()
  };
  // Parses buffered bytes up to the next point at which the caller has to act.
  Step Advance();
  // The upstream has closed its side, and all bytes before that are parsed: kComplete or kInvalid.
  Step AdvanceAtEnd();

  // With kInvalid: why.
  MessageDefect defect() const { return defect_; }

  // Begins the response after an interim one, keeping the buffered bytes.
  void BeginNextResponse();

  // Storage for at most `size` more bytes from the socket; not empty, because Advance() leaves room.
  boost::asio::mutable_buffer Prepare(std::size_t size);
  // `size` bytes were written to the storage of the last Prepare().
  void Commit(std::size_t size) {
    buffer_.commit(size);
    started_ = true;
  }
  // Whether any byte has arrived since the reader was made.
  bool started() const { return started_; }
  // Whether bytes have arrived that belong to no response.
  bool has_unparsed_bytes() const { return unparsed_bytes() > 0; }
  std::size_t unparsed_bytes() const { return buffer_.size(); }
  // Whether the bytes behind the complete response show that its length was wrong. `unread` are those that
  // are not read yet.
  bool BytesBehindAreUnsound(boost::beast::string_view unread) const;

  const beast_http::response_header<>& head() const { return parser_->get(); }
  bool head_complete() const { return parser_->is_header_done(); }
  bool complete() const { return parser_->is_done(); }
  // From Content-Length; absent if the body is chunked or ends with the connection.
  std::optional<std::uint64_t> content_length() const;
  // Whether the head determines where the response ends. A response may end with its connection (RFC 9112
  // section 6.3) only if the head says that the connection ends. Otherwise a complete response could not be
  // distinguished from a truncated one.
  bool has_defined_end() const;
  // Whether the connection can carry another request after this response.
  bool keep_alive() const { return parser_->get().keep_alive() && !parser_->need_eof(); }

  // Body bytes that were parsed. The caller reads them and clears the string.
  std::string& body() { return parser_->get().body().bytes; }
  const std::string& body() const { return parser_->get().body().bytes; }
  std::size_t body_capacity() const { return parser_->get().body().capacity; }
  void set_body_capacity(std::size_t bytes) { parser_->get().body().capacity = bytes; }

  // Moves the response out, with the body bytes that were not taken.
  HttpResponse Release();

 private:
  Step Invalid(MessageDefect defect);

  boost::beast::flat_buffer buffer_;
  std::optional<beast_http::response_parser<IncrementalBody>> parser_;
  MessageDefect defect_{};
  bool started_ = false;
};

}  // namespace mothrack::http
