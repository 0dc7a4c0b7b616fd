// Checks of message framing. The start and the end of a message must be unambiguous: bytes that one parser
// reads as a body may be a request to the next one (request smuggling, RFC 9112 section 11.2). These pure
// functions run before and after Beast's parser, which is more lenient, and remove header fields that a proxy
// must not forward.
#pragma once

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>
#include <cstddef>

#include "http/messages.h"

namespace mothrack::http {

// How much of a request's head has arrived, and whether it is acceptable.
enum class HeadStatus {
  kPartial,
  kComplete,
  kInvalid,  // another parser might read it differently from this one
};
// Rejects bare CR or LF, NUL bytes, folded headers, heads longer than kMaxHeaderSize, and methods other than
// GET and POST. `scanned` is the position where the previous call on the same bytes stopped, 0 at first, so
// that each byte is examined once.
HeadStatus InspectHead(boost::beast::string_view bytes, std::size_t& scanned);

// Returns what is wrong with the framing of a request's body (RFC 9112 section 6) or the number of its
// fields, or null if nothing is.
const char* FindFramingError(const beast_http::request_header<>& header);

// Removes hop-by-hop header fields, which a proxy must not forward (RFC 9110 section 7.6.1).
void RemoveHopByHop(beast_http::fields& fields);

}  // namespace mothrack::http
