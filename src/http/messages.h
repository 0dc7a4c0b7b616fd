// The HTTP messages that the front end and the transport exchange through the dispatcher, and their size
// limits in bytes. Plain values, not bound to a thread.
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

// A body that is still arriving while its message is already being forwarded. The message's own body is empty
// then.
struct StreamedBody {
  std::shared_ptr<runtime::Stream> stream;  // null if the message is complete
  std::optional<std::uint64_t> length;      // absent if unknown until the body ends
  explicit operator bool() const { return stream != nullptr; }
};

// The memory that is reserved for one request until its message is destroyed.
struct RequestMemory {
  runtime::MemoryBudget::Charge message;   // its head, and its body unless that is streamed
  runtime::MemoryBudget::Charge exchange;  // what one attempt at a time needs, see ExchangeMemory
};

// A request in the form in which attempts send it.
struct HttpMessage : dispatch::Message {
  explicit HttpMessage(HttpRequest request, StreamedBody streamed_body = {}, RequestMemory memory = {})
      : request(std::move(request)), streamed_body(std::move(streamed_body)), memory(std::move(memory)) {}
  HttpRequest request;
  StreamedBody streamed_body;
  mutable RequestMemory memory;  // `exchange` is lent to the attempts, which share a const message
};

// An upstream's response.
struct HttpReply : dispatch::Reply {
  explicit HttpReply(HttpResponse response, StreamedBody streamed_body = {})
      : response(std::move(response)), streamed_body(std::move(streamed_body)) {}
  HttpResponse response;
  StreamedBody streamed_body;
};

// Bodies up to this size are buffered completely. A buffered request can be retried from the start, and a
// truncated response is never forwarded. Longer bodies are streamed.
inline constexpr std::size_t kBufferLimit = std::size_t{64} * 1024;
// A response of unknown length may be streamed from this size on, because it may take long to grow further.
inline constexpr std::size_t kMinStreamedSize = std::size_t{16} * 1024;
// Minimum rate of a body in bytes per second, for clients that send one and upstreams that answer with one.
// It tolerates ordinary clients on bad links.
inline constexpr std::int64_t kMinBodyRate = std::int64_t{16} * 1024;
// Longer bodies are rejected.
inline constexpr std::uint64_t kMaxBodySize = std::uint64_t{64} * 1024 * 1024;
// A streamed request body is retained until it exceeds this size, so that it can be sent again if no upstream
// has processed the request.
inline constexpr std::size_t kMaxReplaySize = std::size_t{512} * 1024;
// Maximum size of a message head, including the empty line that ends it.
inline constexpr std::uint32_t kMaxHeaderSize = 16 * 1024;
// Maximum number of fields of a message head, with the trailers of a chunked body. Each takes far more memory
// than the few bytes that it may have on the wire.
inline constexpr std::size_t kMaxHeaderFields = 256;
// Maximum size of a request's id.
inline constexpr std::size_t kMaxRequestIdSize = 128;
// Maximum number of bytes that a client connection reads ahead of its parser.
inline constexpr std::size_t kMaxReadAhead = std::size_t{32} * 1024;
// The same of an upstream connection. A whole head must fit.
inline constexpr std::size_t kMaxUpstreamReadAhead = kMaxHeaderSize;

// Serializes a head, including the empty line that ends it.
template <bool isRequest>
std::string ToText(const beast_http::header<isRequest>& header) {
  std::ostringstream text;
  text << header;
  return text.str();
}

}  // namespace mothrack::http
