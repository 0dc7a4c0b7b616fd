// The HTTP messages that front and transport hand each other through the dispatcher, and the bounds on them.
#pragma once

#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/span_body.hpp>
#include <boost/beast/http/string_body.hpp>
#include <cstddef>
#include <cstdint>
#include <utility>

#include "core/exchange.h"

namespace mothrack {

namespace http = boost::beast::http;

using HttpRequest = http::request<http::string_body>;
using HttpResponse = http::response<http::string_body>;

struct HttpMessage : Message {
  explicit HttpMessage(HttpRequest request) : request(std::move(request)) {}
  HttpRequest request;
};

struct HttpReply : Reply {
  explicit HttpReply(HttpResponse response) : response(std::move(response)) {}
  HttpResponse response;
};

constexpr std::uint64_t kMostBody = 64 * 1024;
constexpr std::uint32_t kMostHeader = 16 * 1024;
// What a connection reads ahead of its parser.
constexpr std::size_t kMostRead = 32 * 1024;

// What has come of a request's head. `scanned` is where the last look at the same bytes ended.
enum class Head { kPartial, kWhole, kBad };
// Bad is what other readers may take for something else than the parser does: lines that end or go on oddly,
// and all that begins with no method that is served here.
Head LookAtHead(boost::beast::string_view bytes, std::size_t& scanned);

// Where a request's body ends must be beyond doubt: what one reader takes for a body may hold a request for
// the next. Names what is wrong with it; null where nothing is.
const char* FramingFault(const http::request_header<>& header);

// Takes away what speaks of one connection only and must not be passed on.
void RemoveHopByHop(http::fields& fields);

}  // namespace mothrack
