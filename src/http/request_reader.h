// Parses the successive requests of one client connection (RFC 9112) and applies the rules of
// message_rules.h to them. Does no I/O: the connection puts bytes into buffer() and calls Advance() until it
// makes no more progress.
//
// Owned by a ClientConnection, used on its thread. Holds at most kMaxReadAhead bytes ahead of the parser, a
// head of kMaxHeaderSize, and a body chunk of the size set by set_chunk_capacity(). An invalid request is
// reported as a Step with the response status; nothing throws.
#pragma once

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <utility>

#include "http/incremental_body.h"
#include "http/message_rules.h"
#include "http/messages.h"

namespace mothrack::http {

class RequestReader {
 public:
  RequestReader();

  // The result of one call of Advance().
  struct Step {
    enum class Result {
      kParsed,       // check complete(); if nothing was consumed, more bytes are needed
      kBodyBlocked,  // like kParsed, but the body chunk is full and must be emptied before the next step
      kInvalid,      // no further bytes can be parsed as a request
    };
    Result result = Result::kParsed;
    std::size_t consumed = 0;  // bytes removed from buffer()
    MessageDefect defect{};    // with kInvalid
    std::string text;          // with kInvalid: the text of the response
  };
  // Parses as much of buffer() as possible in one step.
  Step Advance();

  // Resets the parser for the next request. Must also be called before the first Advance().
  void BeginNextRequest();

  // Bytes that were read from the socket and not parsed yet.
  boost::beast::flat_buffer& buffer() { return buffer_; }
  const boost::beast::flat_buffer& buffer() const { return buffer_; }
  // The memory that the buffer takes once `size` more bytes are prepared in it.
  std::size_t BufferMemory(std::size_t size) const;
  // Frees the buffer's memory if it holds no bytes.
  void FreeEmptyBuffer();

  // Whether any byte of the current request has arrived.
  bool started() const { return started_; }
  void set_started() { started_ = true; }
  // Returns true once per request: after the step that completed its head.
  bool TakeHeadCompleted();
  // Whether the current request has been parsed completely, including its body.
  bool complete() const { return parser_->is_done(); }
  // Whether the head of the current request is parsed, so that what follows is its body.
  bool in_body() const { return parser_->is_header_done(); }
  // From Content-Length; absent if the body is chunked.
  std::optional<std::uint64_t> content_length() const;
  // How much of the body is not parsed yet; absent if the body is chunked, or not begun.
  std::optional<std::uint64_t> missing_body() const;
  // Whether the head announces a body.
  bool has_body() const;
  const beast_http::request_header<>& head() const { return parser_->get(); }
  // Moves the head out, whose body is still arriving.
  beast_http::request_header<> TakeHead() {
    head_taken_ = true;
    return std::move(parser_->get().base());
  }
  // Body bytes that were parsed. The caller reads them and clears the string.
  std::string& chunk() { return parser_->get().body().bytes; }
  // The number of body bytes at which the parser stops until they are taken or the capacity is increased.
  std::size_t chunk_capacity() const { return parser_->get().body().capacity; }
  void set_chunk_capacity(std::size_t bytes) { parser_->get().body().capacity = bytes; }

  // Moves the complete request out.
  HttpRequest Release();

  // Whether the bytes behind the complete request cannot begin another one, which means that its length was
  // wrong. `unread` are those behind buffer(), which are not read yet.
  bool BytesBehindAreUnsound(boost::beast::string_view unread = {});

 private:
  boost::beast::string_view Unparsed() const;
  Step Parse();
  // Checks the rules that apply to a complete head and to a complete request.
  std::optional<MessageDefect> FindDefect();
  std::optional<MessageDefect> FindDefectOfTrailers() const;

  boost::beast::flat_buffer buffer_;
  std::optional<beast_http::request_parser<IncrementalBody>> parser_;
  bool started_ = false;
  bool head_checked_ = false;
  bool head_taken_ = false;
  bool head_reported_ = false;
  std::size_t head_scanned_ = 0;    // number of bytes of an incomplete head that were already inspected
  std::size_t behind_scanned_ = 0;  // the same for the bytes behind the complete request
};

}  // namespace mothrack::http
