// Where a message begins and ends must be beyond doubt: what one reader takes for a body may hold a request
// for the next (request smuggling, RFC 9112 section 11.2). Pure checks ahead of and behind Beast's parser,
// which is more lenient, and what a proxy must not pass on.
#pragma once

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>
#include <cstddef>

#include "http/messages.h"

namespace mothrack::http {

// What has come of a request's head.
enum class HeadStatus {
  kPartial,
  kWhole,
  kInvalid,  // other readers may take it for something else than the parser does
};
// Invalid are lines that end or go on oddly, heads longer than kMaxHeaderSize, and all that begins with no
// method that is served here. `scanned` is where the last call on the same bytes ended, 0 at first; each byte
// is looked at once.
HeadStatus InspectHead(boost::beast::string_view bytes, std::size_t& scanned);

// Names what is wrong with the framing of a request's body (RFC 9112 section 6); null where nothing is.
const char* FindFramingError(const beast_http::request_header<>& header);

// Removes what speaks of one connection only and must not be passed on (RFC 9110 section 7.6.1).
void RemoveHopByHop(beast_http::fields& fields);

}  // namespace mothrack::http
