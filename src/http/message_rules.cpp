#include "http/message_rules.h"

#include <algorithm>

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

bool IsTargetByte(char c) { return c > ' ' && c < 127; }

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
  if (head.version() != 10 && head.version() != 11) return MessageDefect::kUnknownVersion;
  if (HasTooManyFields(head)) return MessageDefect::kTooManyFields;
  if (const auto defect = FindFramingDefect(head, head.version())) return defect;
  const string_view target = head.target();
  if (!std::all_of(target.begin(), target.end(), IsTargetByte)) return MessageDefect::kMalformedTarget;
  return std::nullopt;
}

std::optional<MessageDefect> FindTrailerDefect(const beast_http::fields& trailers) {
  if (HasTooManyFields(trailers)) return MessageDefect::kTooManyFields;
  for (const auto field :
       {beast_http::field::content_length, beast_http::field::transfer_encoding, beast_http::field::host}) {
    if (trailers.count(field) > 0) return MessageDefect::kForbiddenTrailer;
  }
  return std::nullopt;
}

bool IsHealthCheck(const beast_http::request_header<>& head) {
  return head.target() == "/up" && head.method() == beast_http::verb::get;
}

}  // namespace mothrack::http
