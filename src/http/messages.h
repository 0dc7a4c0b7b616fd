// The HTTP messages that front and transport hand each other through the dispatcher, and the bounds on them,
// in bytes. Values without a thread of their own.
#pragma once

#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <sstream>
#include <string>
#include <utility>

#include "dispatch/exchange.h"
#include "runtime/stream.h"

namespace mothrack::http {

namespace beast_http = boost::beast::http;

using HttpRequest = beast_http::request<beast_http::string_body>;
using HttpResponse = beast_http::response<beast_http::string_body>;

// A body that still comes, while its message is on its way already. The message's own body is empty then.
struct ComingBody {
  std::shared_ptr<runtime::Stream> stream;  // null: the message is whole
  std::optional<std::uint64_t> length;      // absent: its end will tell
  explicit operator bool() const { return stream != nullptr; }
};

// A request, as attempts send it.
struct HttpMessage : dispatch::Message {
  explicit HttpMessage(HttpRequest request, ComingBody coming = {})
      : request(std::move(request)), coming(std::move(coming)) {}
  HttpRequest request;
  ComingBody coming;
};

// What an upstream answered.
struct HttpReply : dispatch::Reply {
  explicit HttpReply(HttpResponse response, ComingBody coming = {})
      : response(std::move(response)), coming(std::move(coming)) {}
  HttpResponse response;
  ComingBody coming;
};

// Bodies up to this are kept whole on their way: what is sent again is all there, and an answer that breaks
// is never begun. Longer ones pass through in pieces.
inline constexpr std::size_t kBufferLimit = std::size_t{64} * 1024;
// An answer that does not tell its length may begin its way from this on: it may take long to grow further.
inline constexpr std::size_t kMinStreamedSize = std::size_t{16} * 1024;
// No longer body is passed on at all.
inline constexpr std::uint64_t kMaxBodySize = std::uint64_t{64} * 1024 * 1024;
// A request's body that was passed on is kept until it is longer than this, to be sent again where nothing
// ran.
inline constexpr std::size_t kMaxReplaySize = std::size_t{512} * 1024;
// Of a message's head, its empty line included.
inline constexpr std::uint32_t kMaxHeaderSize = 16 * 1024;
// What a connection reads ahead of its parser.
inline constexpr std::size_t kMaxReadAhead = std::size_t{32} * 1024;

// A head as it goes over the wire, with its empty line.
template <bool isRequest>
std::string ToText(const beast_http::header<isRequest>& header) {
  std::ostringstream text;
  text << header;
  return text.str();
}

}  // namespace mothrack::http
