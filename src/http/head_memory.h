// How much memory a parsed message head takes. Pure functions.
#pragma once

#include <boost/beast/http/fields.hpp>
#include <cstddef>
#include <iterator>

#include "http/messages.h"

namespace mothrack::http {

// Beast's list and set nodes of one field, its line's separators, and the allocator's overhead.
inline constexpr std::size_t kFieldOverhead = 96;

// Returns the number of bytes that the fields of a head occupy.
inline std::size_t HeadMemory(const beast_http::fields& fields) {
  std::size_t bytes = 0;
  for (const auto& field : fields)
    bytes += kFieldOverhead + field.name_string().size() + field.value().size();
  return bytes;
}

// The same, with the target of a request.
inline std::size_t HeadMemory(const beast_http::request_header<>& head) {
  return HeadMemory(static_cast<const beast_http::fields&>(head)) + head.target().size();
}

// Whether there are more fields than a message may have.
inline bool HasTooManyFields(const beast_http::fields& fields) {
  return static_cast<std::size_t>(std::distance(fields.begin(), fields.end())) > kMaxHeaderFields;
}

}  // namespace mothrack::http
