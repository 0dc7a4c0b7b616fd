// Reads requests out of the bytes of one client connection (RFC 9112), one behind the other. Does no I/O: the
// connection puts bytes into buffer() and calls Advance() until nothing moves any more.
//
// Owned by a ClientConnection, on its thread. Holds at most kMaxReadAhead bytes ahead of the parser, a head
// of kMaxHeaderSize and a chunk of a body as large as set_chunk_capacity() says. What is wrong with a request
// is told as a Step with a status to answer it with; nothing throws.
#pragma once

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

#include "http/incremental_body.h"
#include "http/messages.h"

namespace mothrack::http {

class RequestReader {
 public:
  RequestReader();

  // What one call of Advance() did.
  struct Step {
    enum class Result {
      kParsed,       // look at complete(); where nothing was consumed, more bytes must come first
      kBodyBlocked,  // as kParsed, and the body's chunk is full: it is to be taken before the next step
      kInvalid,      // nothing from here on can be read as a request
    };
    Result result = Result::kParsed;
    std::size_t consumed = 0;     // bytes taken out of buffer()
    beast_http::status status{};  // with kInvalid: what to answer
    std::string reason;           // with kInvalid
  };
  Step Advance();

  // The next request's bytes are read from here on; to be called before the first Advance(), too.
  void BeginNextRequest();

  // What was read from the socket, and not parsed yet.
  boost::beast::flat_buffer& buffer() { return buffer_; }
  const boost::beast::flat_buffer& buffer() const { return buffer_; }

  // Some of the present request has come.
  bool started() const { return started_; }
  void set_started() { started_ = true; }
  // True once for each request: after the step that completed its head.
  bool TakeHeadCompleted();
  // The request is there, its body included.
  bool complete() const { return parser_->is_done(); }
  // Bytes of the request's body that have come.
  std::uint64_t body_bytes() const { return body_bytes_; }
  // From the Content-Length; absent where the body is sent in chunks.
  std::optional<std::uint64_t> content_length() const;
  const beast_http::request_header<>& head() const { return parser_->get(); }

  // What has been read of the body and not been taken.
  std::string& chunk() { return parser_->get().body().bytes; }
  void set_chunk_capacity(std::size_t bytes) { parser_->get().body().capacity = bytes; }

  // A complete request.
  HttpRequest Release();

  // What follows the body begins like no request: the body's length was wrong.
  bool NextRequestIsInvalid() const;

 private:
  boost::beast::string_view Unparsed() const;
  Step Parse();

  boost::beast::flat_buffer buffer_;
  std::optional<beast_http::request_parser<IncrementalBody>> parser_;
  bool started_ = false;
  bool head_reported_ = false;
  std::size_t head_scanned_ = 0;  // bytes of a head that is still to come whole
  std::uint64_t body_bytes_ = 0;
};

}  // namespace mothrack::http
