#include "http/framing.h"

#include <algorithm>
#include <boost/beast/http/rfc7230.hpp>
#include <string>
#include <vector>

#include "http/head_memory.h"

namespace mothrack::http {

namespace {

// Whether `bytes` start with `method`, or are too few to tell and agree with its start.
bool IsCompatiblePrefix(boost::beast::string_view bytes, boost::beast::string_view method) {
  const auto size = std::min(bytes.size(), method.size());
  return bytes.substr(0, size) == method.substr(0, size);
}

}  // namespace

HeadStatus InspectHead(boost::beast::string_view bytes, std::size_t& scanned) {
  if (!IsCompatiblePrefix(bytes, "GET ") && !IsCompatiblePrefix(bytes, "POST ")) return HeadStatus::kInvalid;
  // Each byte is checked together with the one after it, so the last byte is left for the next call.
  for (; scanned + 1 < bytes.size(); ++scanned) {
    const char c = bytes[scanned];
    const char next = bytes[scanned + 1];
    if (c == '\0' || (c == '\r') != (next == '\n')) return HeadStatus::kInvalid;
    if (c != '\n') continue;
    if (next == ' ' || next == '\t') return HeadStatus::kInvalid;  // a folded header
    if (next == '\r' && scanned + 2 < bytes.size())
      return bytes[scanned + 2] == '\n' ? HeadStatus::kComplete : HeadStatus::kInvalid;
    if (next == '\r') return HeadStatus::kPartial;
  }
  return bytes.size() < kMaxHeaderSize ? HeadStatus::kPartial : HeadStatus::kInvalid;
}

const char* FindFramingError(const beast_http::request_header<>& header) {
  if (header.version() != 10 && header.version() != 11) return "unknown version";
  if (HasTooManyFields(header)) return "too many header fields";
  const auto codings = header.count(beast_http::field::transfer_encoding);
  const auto lengths = header.count(beast_http::field::content_length);
  if (codings > 0 && lengths > 0) return "both Content-Length and Transfer-Encoding";
  if (codings > 1 || lengths > 1) return "body framed more than once";
  if (codings > 0 && header.version() == 10) return "Transfer-Encoding in HTTP/1.0";
  if (codings > 0 && !boost::beast::iequals(header[beast_http::field::transfer_encoding], "chunked")) {
    return "unknown Transfer-Encoding";
  }
  const auto length = header[beast_http::field::content_length];
  const auto digit = [](char c) { return c >= '0' && c <= '9'; };
  if (lengths > 0 && (length.empty() || !std::all_of(length.begin(), length.end(), digit))) {
    return "bad Content-Length";
  }
  return nullptr;
}

void RemoveHopByHop(beast_http::fields& fields) {
  std::vector<std::string> connection_options;
  const auto range = fields.equal_range(beast_http::field::connection);
  for (auto it = range.first; it != range.second; ++it) {
    for (const auto& token : beast_http::token_list(it->value())) connection_options.emplace_back(token);
  }
  for (const auto& name : connection_options) fields.erase(name);
  for (const auto field :
       {beast_http::field::connection, beast_http::field::keep_alive, beast_http::field::proxy_connection,
        beast_http::field::te, beast_http::field::trailer, beast_http::field::transfer_encoding,
        beast_http::field::upgrade, beast_http::field::content_length, beast_http::field::expect}) {
    fields.erase(field);
  }
}

}  // namespace mothrack::http
