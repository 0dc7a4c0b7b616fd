// The HTTP messages that front and transport hand each other through the dispatcher, and the bounds on them.
#pragma once

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/beast/core/buffers_range.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/span_body.hpp>
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

struct HttpMessage : dispatch::Message {
  explicit HttpMessage(HttpRequest request, ComingBody coming = {})
      : request(std::move(request)), coming(std::move(coming)) {}
  HttpRequest request;
  ComingBody coming;
};

struct HttpReply : dispatch::Reply {
  explicit HttpReply(HttpResponse response, ComingBody coming = {})
      : response(std::move(response)), coming(std::move(coming)) {}
  HttpResponse response;
  ComingBody coming;
};

// What a parser has read of a body and nobody has taken yet; it stops with http::error::need_buffer at
// `room`.
struct BodyChunk {
  std::string bytes;
  std::size_t capacity = 0;
};

// A Beast Body of which a parser holds one piece at a time.
struct IncrementalBody {
  using value_type = BodyChunk;
  class reader {
   public:
    template <bool isRequest, class Fields>
    reader(beast_http::header<isRequest, Fields>&, value_type& chunk) : chunk_(chunk) {}
    void init(const boost::optional<std::uint64_t>&, boost::system::error_code& error) { error = {}; }
    template <class Buffers>
    std::size_t put(const Buffers& buffers, boost::system::error_code& error) {
      error = {};
      std::size_t used = 0;
      for (const boost::asio::const_buffer part : boost::beast::buffers_range_ref(buffers)) {
        const std::size_t capacity =
            chunk_.capacity > chunk_.bytes.size() ? chunk_.capacity - chunk_.bytes.size() : 0;
        const std::size_t size = std::min(capacity, part.size());
        chunk_.bytes.append(static_cast<const char*>(part.data()), size);
        used += size;
        if (size < part.size()) {
          error = beast_http::error::need_buffer;
          break;
        }
      }
      return used;
    }
    void finish(boost::system::error_code& error) { error = {}; }

   private:
    value_type& chunk_;
  };
};

// Bodies up to this are kept whole on their way: what is sent again is all there, and an answer that breaks
// is never begun. Longer ones pass through in pieces.
constexpr std::size_t kBufferLimit = 64 * 1024;
// An answer that does not tell its length may begin its way from this on: it may take long to grow further.
constexpr std::size_t kMinStreamedSize = 16 * 1024;
// No longer body is passed on at all.
constexpr std::uint64_t kMaxBodySize = 64 * 1024 * 1024;
// A request's body that was passed on is kept until it is longer than this, to be sent again where nothing
// ran.
constexpr std::size_t kMaxReplaySize = 512 * 1024;
constexpr std::uint32_t kMaxHeaderSize = 16 * 1024;
// What a connection reads ahead of its parser.
constexpr std::size_t kMaxReadAhead = 32 * 1024;

// What has come of a request's head. `scanned` is where the last look at the same bytes ended.
enum class HeadStatus { kPartial, kWhole, kInvalid };
// Bad is what other readers may take for something else than the parser does: lines that end or go on oddly,
// and all that begins with no method that is served here.
HeadStatus InspectHead(boost::beast::string_view bytes, std::size_t& scanned);

// Where a request's body ends must be beyond doubt: what one reader takes for a body may hold a request for
// the next. Names what is wrong with it; null where nothing is.
const char* FindFramingError(const beast_http::request_header<>& header);

// A head as it goes over the wire, with its empty line.
template <bool isRequest>
std::string ToText(const beast_http::header<isRequest>& header) {
  std::ostringstream text;
  text << header;
  return text.str();
}

// Takes away what speaks of one connection only and must not be passed on.
void RemoveHopByHop(beast_http::fields& fields);

}  // namespace mothrack::http
