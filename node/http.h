// The HTTP messages that the parts of the node hand each other, and the bounds on them.
#pragma once

#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/span_body.hpp>
#include <boost/beast/http/string_body.hpp>
#include <cstddef>
#include <cstdint>

namespace mothrack {

namespace http = boost::beast::http;

using HttpRequest = http::request<http::string_body>;
using HttpResponse = http::response<http::string_body>;

constexpr std::uint64_t kMostBody = 64 * 1024;
constexpr std::uint32_t kMostHeader = 16 * 1024;
// What a connection reads ahead of its parser.
constexpr std::size_t kMostRead = 32 * 1024;

// Takes away what speaks of one connection only and must not be passed on.
void RemoveHopByHop(http::fields& fields);

}  // namespace mothrack
