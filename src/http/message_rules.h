// The rules by which a message of HTTP/1.1 is sound: its boundaries and its meaning are the same for every
// parser (RFC 9110, RFC 9112). Bytes that one parser reads as a body may be a message to the next one
// (request smuggling, RFC 9112 section 11.2). docs/design/message_rules.md has them as a table.
//
// Pure functions without state, which may be called on any thread and throw nothing. RequestReader and
// ResponseReader apply them before and after Beast's parser, which is more lenient.
#pragma once

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>
#include <cstddef>
#include <optional>
#include <string_view>

#include "http/messages.h"

namespace mothrack::http {

// Why a message is not sound.
enum class MessageDefect {
  kMalformedHead,     // a line of the head that another parser might read differently, or a head too long
  kUnknownVersion,    // neither HTTP/1.0 nor HTTP/1.1
  kTooManyFields,     // more than kMaxHeaderFields
  kLengthAndCoding,   // both Content-Length and Transfer-Encoding
  kRepeatedFraming,   // one of these twice
  kCodingInHttp10,    // Transfer-Encoding in HTTP/1.0
  kUnknownCoding,     // a Transfer-Encoding other than chunked
  kMalformedLength,   // a Content-Length that is not a decimal number
  kMissingHost,       // no Host in a request of HTTP/1.1 (RFC 9112 section 3.2)
  kRepeatedHost,      // more than one
  kMalformedHost,     // a Host that is no host with an optional port (RFC 3986 section 3.2.2)
  kMalformedTarget,   // a request target with a fragment or with bytes that are not visible ASCII
  kForbiddenTrailer,  // a trailer that would frame or route the request (RFC 9110 section 6.5.1)
  kMalformedBody,     // a chunk, a trailer or a length that the parser can't read
  kBodyTooLarge,      // more than kMaxBodySize
  kBytesBehind,       // what follows the message can't begin another one, so its length is wrong
  kUndefinedEnd,      // a response whose head doesn't say where it ends
  kTruncated,         // a response that ended before its end
  kUnexpectedStatus   // an interim response that the request didn't ask for, or too many
};

// The name of a defect in the log: a snake_case word.
std::string_view LogNameOf(MessageDefect defect);
// The same for the client whose request has it.
const char* TextOf(MessageDefect defect);

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

// Returns the first defect of a complete request head. Also called with the trailers of a chunked body merged
// into the head. A health check needs no Host, because it is never forwarded.
std::optional<MessageDefect> FindDefect(const beast_http::request_header<>& head);
// Returns the first defect of the trailers of a chunked body whose head is checked already.
std::optional<MessageDefect> FindTrailerDefect(const beast_http::fields& trailers);

// The same of a complete response head. Whether its end is defined depends on its status, see ResponseReader.
std::optional<MessageDefect> FindDefect(const beast_http::response_header<>& head);

// Whether what follows a complete response shows that its length was wrong. A status line does not: it begins
// a message of its own. Anything else may be the rest of the body.
bool AreBytesBehindResponseUnsound(boost::beast::string_view bytes);

// Whether the request asks if the sidecar is up.
bool IsHealthCheck(const beast_http::request_header<>& head);

}  // namespace mothrack::http
