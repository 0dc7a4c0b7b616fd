// A strict parser of single HTTP/1.1 messages for tests and fuzz targets, written from the grammar of RFC
// 9110 and RFC 9112 without the program's code. It accepts less than the RFCs allow a recipient to accept:
// what the program takes for a sound message, this must take for one as well, with the same end.
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace mothrack::testing {

class StrictHttp {
 public:
  explicit StrictHttp(std::string_view bytes) : bytes_(bytes) {}

  // Returns the size of the message at the start of the bytes, or nothing if there is no complete sound one.
  std::optional<std::size_t> RequestSize() {
    if (!ReadRequestLine() || !ReadFields() || !ReadBody(true)) return std::nullopt;
    return at_;
  }
  // The same for a response that doesn't end with its connection.
  std::optional<std::size_t> ResponseSize() {
    if (!ReadStatusLine() || !ReadFields() || !ReadBody(false)) return std::nullopt;
    return at_;
  }

 private:
  static bool IsDigit(char c) { return c >= '0' && c <= '9'; }
  static bool IsAlpha(char c) { return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z'); }
  static bool IsTokenByte(char c) {
    return IsDigit(c) || IsAlpha(c) || std::string_view("!#$%&'*+-.^_`|~").find(c) != std::string_view::npos;
  }
  // field-vchar and blanks; obs-text is allowed.
  static bool IsValueByte(char c) { return c == '\t' || (static_cast<unsigned char>(c) >= 32 && c != 127); }
  static bool IsSame(std::string_view a, std::string_view lower) {
    return std::equal(a.begin(), a.end(), lower.begin(), lower.end(),
                      [](char x, char y) { return (x >= 'A' && x <= 'Z' ? x + 32 : x) == y; });
  }
  static std::string_view Trimmed(std::string_view text) {
    while (!text.empty() && IsBlank(text.front())) text.remove_prefix(1);
    while (!text.empty() && IsBlank(text.back())) text.remove_suffix(1);
    return text;
  }

  // The next line without its CRLF; nothing if there is no CRLF, or a CR or LF before it.
  std::optional<std::string_view> ReadLine() {
    const auto end = bytes_.find_first_of("\r\n", at_);
    if (end == std::string_view::npos || bytes_.substr(end, 2) != "\r\n") return std::nullopt;
    const std::string_view line = bytes_.substr(at_, end - at_);
    at_ = end + 2;
    return line;
  }

  bool ReadVersion(std::string_view text) {
    version_ = text == "HTTP/1.1" ? 11 : text == "HTTP/1.0" ? 10 : 0;
    return version_ != 0;
  }

  bool ReadRequestLine() {
    const auto line = ReadLine();
    if (!line) return false;
    const auto first = line->find(' ');
    const auto last = line->rfind(' ');
    if (first == std::string_view::npos || first == last) return false;
    const std::string_view method = line->substr(0, first);
    const std::string_view target = line->substr(first + 1, last - first - 1);
    const auto visible = [](char c) { return c > ' ' && c < 127 && c != '#'; };
    if (target.empty() || !std::all_of(target.begin(), target.end(), visible)) return false;
    health_check_ = method == "GET" && target == "/up";
    return !method.empty() && std::all_of(method.begin(), method.end(), IsTokenByte) &&
           ReadVersion(line->substr(last + 1));
  }

  bool ReadStatusLine() {
    const auto line = ReadLine();
    if (!line || line->size() < 12 || !ReadVersion(line->substr(0, 8))) return false;
    const std::string_view code = line->substr(9, 3);
    if ((*line)[8] != ' ' || !std::all_of(code.begin(), code.end(), IsDigit)) return false;
    if (line->size() > 12 && (*line)[12] != ' ') return false;
    status_ = (code[0] - '0') * 100 + (code[1] - '0') * 10 + (code[2] - '0');
    return true;
  }

  static bool IsBlank(char c) { return c == ' ' || c == '\t'; }

  bool ReadFields() {
    std::string_view name;
    std::string value;
    while (true) {
      const auto line = ReadLine();
      if (!line) return false;
      // A folded line of a response is read as a blank (RFC 9112 section 5.2).
      if (!line->empty() && IsBlank(line->front())) {
        if (status_ == 0 || name.empty()) return false;
        if (!std::all_of(line->begin(), line->end(), IsValueByte)) return false;
        value += *line;
        continue;
      }
      if (!name.empty() && !ReadField(name, Trimmed(value))) return false;
      if (line->empty()) return true;
      const auto colon = line->find(':');
      if (colon == std::string_view::npos || colon == 0) return false;
      name = line->substr(0, colon);
      value = line->substr(colon + 1);
      if (!std::all_of(name.begin(), name.end(), IsTokenByte)) return false;
      if (!std::all_of(value.begin(), value.end(), IsValueByte)) return false;
    }
  }

  bool ReadField(std::string_view name, std::string_view value) {
    if (IsSame(name, "host")) ++hosts_;
    if (IsSame(name, "transfer-encoding")) {
      ++codings_;
      return IsSame(value, "chunked");
    }
    if (!IsSame(name, "content-length")) return true;
    ++lengths_;
    if (value.empty() || !std::all_of(value.begin(), value.end(), IsDigit)) return false;
    for (const char c : value) {
      if (length_ > (SIZE_MAX - 9) / 10) return false;
      length_ = length_ * 10 + static_cast<std::size_t>(c - '0');
    }
    return true;
  }

  bool ReadBody(bool request) {
    if (codings_ + lengths_ > 1 || (codings_ > 0 && version_ == 10)) return false;
    if (request && (hosts_ > 1 || (hosts_ == 0 && version_ == 11 && !health_check_))) return false;
    const bool without_body = !request && (status_ / 100 == 1 || status_ == 204 || status_ == 304);
    if (without_body) return true;
    if (codings_ > 0) return ReadChunks(request);
    if (!request && lengths_ == 0) return false;
    if (length_ > bytes_.size() - at_) return false;
    at_ += length_;
    return true;
  }

  bool ReadChunks(bool request) {
    while (true) {
      const auto line = ReadLine();
      if (!line) return false;
      const auto end = std::min(line->find_first_of("; \t"), line->size());
      const auto size = HexadecimalValue(line->substr(0, end));
      const std::string_view extension = Trimmed(line->substr(end));
      if (!size || (!extension.empty() && extension.front() != ';')) return false;
      if (*size == 0) break;
      if (*size > bytes_.size() - at_ || bytes_.substr(at_ + *size, 2) != "\r\n") return false;
      at_ += *size + 2;
    }
    const int hosts = hosts_;
    const int framings = codings_ + lengths_;
    return ReadFields() && framings == codings_ + lengths_ && (!request || hosts == hosts_);
  }

  static std::optional<std::size_t> HexadecimalValue(std::string_view text) {
    if (text.empty()) return std::nullopt;
    std::size_t value = 0;
    for (const char c : text) {
      const auto digit =
          std::string_view("0123456789abcdef").find(static_cast<char>(IsAlpha(c) ? c | 32 : c));
      if (digit == std::string_view::npos || value > SIZE_MAX / 16) return std::nullopt;
      value = value * 16 + digit;
    }
    return value;
  }

  std::string_view bytes_;
  std::size_t at_ = 0;
  int version_ = 0;
  int status_ = 0;
  int hosts_ = 0;
  int codings_ = 0;
  int lengths_ = 0;
  std::size_t length_ = 0;
  bool health_check_ = false;
};

}  // namespace mothrack::testing
