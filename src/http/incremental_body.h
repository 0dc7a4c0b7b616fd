// A Body type for Beast's parsers. The parser delivers the body in chunks of bounded size and never holds
// more than one chunk.
//
// The owner of the parser reads BodyChunk::bytes from the parser's message, clears it, and continues parsing.
#pragma once

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/beast/core/buffers_range.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/optional/optional.hpp>
#include <boost/system/error_code.hpp>
#include <cstddef>
#include <cstdint>
#include <string>

#include "http/messages.h"
#include "runtime/exact_string.h"

namespace mothrack::http {

// Body bytes that were parsed and that the owner has not read yet.
struct BodyChunk {
  std::string bytes;
  std::size_t capacity = 0;  // bytes at which the parser stops with http::error::need_buffer
};

// The Body argument of beast_http::request_parser and response_parser.
struct IncrementalBody {
  using value_type = BodyChunk;
  class reader {  // NOLINT(readability-identifier-naming): the name that Beast requires
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
        MakeRoom(size);
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
    // Doubles the storage, but never beyond the chunk's capacity.
    void MakeRoom(std::size_t size) {
      const std::size_t needed = chunk_.bytes.size() + size;
      if (needed <= chunk_.bytes.capacity()) return;
      runtime::ReallocateExactly(chunk_.bytes,
                                 std::max(needed, std::min(2 * chunk_.bytes.size(), chunk_.capacity)));
    }

    value_type& chunk_;
  };
};

}  // namespace mothrack::http
