#include "http/message_rules.h"

#include <algorithm>
#include <boost/asio/ip/address_v6.hpp>
#include <boost/system/error_code.hpp>
#include <string>

#include "http/head_memory.h"

namespace mothrack::http {

namespace {

using boost::beast::string_view;

// Whether `bytes` start with `method`, or are too few to tell and agree with its start.
bool IsCompatiblePrefix(string_view bytes, string_view method) {
  const auto size = std::min(bytes.size(), method.size());
  return bytes.substr(0, size) == method.substr(0, size);
}

bool IsDigit(char c) { return c >= '0' && c <= '9'; }

bool IsTargetByte(char c) { return c > ' ' && c < 127 && c != '#'; }

// reg-name of RFC 3986, which includes IPv4 addresses: unreserved, percent-encoded and sub-delims.
bool IsHostByte(char c) {
  constexpr std::string_view kPunctuation = "-._~%!$&'()*+,;=";
  const bool letter = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z');
  return letter || IsDigit(c) || kPunctuation.find(c) != std::string_view::npos;
}

// Whether the value is `host [":" port]`, each possibly empty.
bool IsHost(string_view value) {
  string_view port;
  if (!value.empty() && value.front() == '[') {
    const auto end = value.find(']');
    if (end == string_view::npos) return false;
    boost::system::error_code error;
    boost::asio::ip::make_address_v6(std::string(value.substr(1, end - 1)), error);
    if (error) return false;
    port = value.substr(end + 1);
  } else {
    const auto end = std::min(value.find(':'), value.size());
    const string_view name = value.substr(0, end);
    if (!std::all_of(name.begin(), name.end(), IsHostByte)) return false;
    port = value.substr(end);
  }
  if (port.empty()) return true;
  return port.front() == ':' && std::all_of(port.begin() + 1, port.end(), IsDigit);
}

std::optional<MessageDefect> FindHostDefect(const beast_http::request_header<>& head) {
  const auto hosts = head.count(beast_http::field::host);
  if (hosts > 1) return MessageDefect::kRepeatedHost;
  if (hosts == 1 && !IsHost(head[beast_http::field::host])) return MessageDefect::kMalformedHost;
  const bool required = head.version() == 11 && !IsHealthCheck(head);
  if (hosts == 0 && required) return MessageDefect::kMissingHost;
  return std::nullopt;
}

// How the body is framed (RFC 9112 section 6).
std::optional<MessageDefect> FindFramingDefect(const beast_http::fields& fields, unsigned version) {
  const auto codings = fields.count(beast_http::field::transfer_encoding);
  const auto lengths = fields.count(beast_http::field::content_length);
  if (codings > 0 && lengths > 0) return MessageDefect::kLengthAndCoding;
  if (codings > 1 || lengths > 1) return MessageDefect::kRepeatedFraming;
  if (codings > 0 && version == 10) return MessageDefect::kCodingInHttp10;
  if (codings > 0 && !boost::beast::iequals(fields[beast_http::field::transfer_encoding], "chunked")) {
    return MessageDefect::kUnknownCoding;
  }
  const string_view length = fields[beast_http::field::content_length];
  if (lengths > 0 && (length.empty() || !std::all_of(length.begin(), length.end(), IsDigit))) {
    return MessageDefect::kMalformedLength;
  }
  return std::nullopt;
}

std::optional<MessageDefect> FindDefectOfAnyHead(const beast_http::fields& fields, unsigned version) {
  if (version != 10 && version != 11) return MessageDefect::kUnknownVersion;
  if (HasTooManyFields(fields)) return MessageDefect::kTooManyFields;
  return FindFramingDefect(fields, version);
}

}  // namespace

std::string_view LogNameOf(MessageDefect defect) {
  switch (defect) {
    case MessageDefect::kMalformedHead:
      return "malformed_head";
    case MessageDefect::kUnknownVersion:
      return "unknown_version";
    case MessageDefect::kTooManyFields:
      return "too_many_fields";
    case MessageDefect::kLengthAndCoding:
      return "length_and_coding";
    case MessageDefect::kRepeatedFraming:
      return "repeated_framing";
    case MessageDefect::kCodingInHttp10:
      return "coding_in_http10";
    case MessageDefect::kUnknownCoding:
      return "unknown_coding";
    case MessageDefect::kMalformedLength:
      return "malformed_length";
    case MessageDefect::kMissingHost:
      return "missing_host";
    case MessageDefect::kRepeatedHost:
      return "repeated_host";
    case MessageDefect::kMalformedHost:
      return "malformed_host";
    case MessageDefect::kMalformedTarget:
      return "malformed_target";
    case MessageDefect::kForbiddenTrailer:
      return "forbidden_trailer";
    case MessageDefect::kMalformedBody:
      return "malformed_body";
    case MessageDefect::kBodyTooLarge:
      return "body_too_large";
    case MessageDefect::kBytesBehind:
      return "bytes_behind";
    case MessageDefect::kUndefinedEnd:
      return "undefined_end";
    case MessageDefect::kTruncated:
      return "truncated";
    case MessageDefect::kUnexpectedStatus:
      return "unexpected_status";
  }
  return "unknown";
}

const char* TextOf(MessageDefect defect) {
  switch (defect) {
    case MessageDefect::kMalformedHead:
      return "bad request head";
    case MessageDefect::kUnknownVersion:
      return "unknown version";
    case MessageDefect::kTooManyFields:
      return "too many header fields";
    case MessageDefect::kLengthAndCoding:
      return "both Content-Length and Transfer-Encoding";
    case MessageDefect::kRepeatedFraming:
      return "body framed more than once";
    case MessageDefect::kCodingInHttp10:
      return "Transfer-Encoding in HTTP/1.0";
    case MessageDefect::kUnknownCoding:
      return "unknown Transfer-Encoding";
    case MessageDefect::kMalformedLength:
      return "bad Content-Length";
    case MessageDefect::kMissingHost:
      return "no Host";
    case MessageDefect::kRepeatedHost:
      return "more than one Host";
    case MessageDefect::kMalformedHost:
      return "bad Host";
    case MessageDefect::kMalformedTarget:
      return "bad target";
    case MessageDefect::kForbiddenTrailer:
      return "a field that must not be a trailer";
    case MessageDefect::kMalformedBody:
      return "bad body";
    case MessageDefect::kBodyTooLarge:
      return "body too large";
    case MessageDefect::kBytesBehind:
      return "no request behind the body";
    case MessageDefect::kUndefinedEnd:
    case MessageDefect::kTruncated:
    case MessageDefect::kUnexpectedStatus:
      break;  // of responses only
  }
  return "bad message";
}

HeadStatus InspectHead(string_view bytes, std::size_t& scanned) {
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

std::optional<MessageDefect> FindDefect(const beast_http::request_header<>& head) {
  if (const auto defect = FindDefectOfAnyHead(head, head.version())) return defect;
  const string_view target = head.target();
  if (!std::all_of(target.begin(), target.end(), IsTargetByte)) return MessageDefect::kMalformedTarget;
  return FindHostDefect(head);
}

std::optional<MessageDefect> FindTrailerDefect(const beast_http::fields& trailers) {
  if (HasTooManyFields(trailers)) return MessageDefect::kTooManyFields;
  for (const auto field :
       {beast_http::field::content_length, beast_http::field::transfer_encoding, beast_http::field::host}) {
    if (trailers.count(field) > 0) return MessageDefect::kForbiddenTrailer;
  }
  return std::nullopt;
}

std::optional<MessageDefect> FindDefect(const beast_http::response_header<>& head) {
  return FindDefectOfAnyHead(head, head.version());
}

bool AreBytesBehindResponseUnsound(string_view bytes) {
  return !bytes.empty() && !bytes.starts_with("HTTP/1.");
}

bool IsHealthCheck(const beast_http::request_header<>& head) {
  return head.target() == "/up" && head.method() == beast_http::verb::get;
}

}  // namespace mothrack::http
