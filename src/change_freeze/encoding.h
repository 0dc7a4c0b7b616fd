// The replicated state as bytes: numbers and strings, each ended by a colon or led by its length, so that a
// reader that is handed anything else says so.
#pragma once

#include <charconv>
#include <cstdint>
#include <set>
#include <string>
#include <string_view>

namespace mothrack::change_freeze {

class Encoder {
 public:
  void Number(std::uint64_t number) { bytes_ += std::to_string(number) + ':'; }
  void Text(const std::string& text) {
    Number(text.size());
    bytes_ += text;
  }
  void Names(const std::set<std::string>& names) {
    Number(names.size());
    for (const std::string& name : names) Text(name);
  }
  const std::string& bytes() const { return bytes_; }

 private:
  std::string bytes_;
};

// After a fault everything reads as empty, and ok() is false.
class Decoder {
 public:
  explicit Decoder(std::string_view bytes) : remaining_(bytes) {}
  std::uint64_t Number() {
    std::uint64_t number = 0;
    const char* end = remaining_.data() + remaining_.size();
    const auto read = std::from_chars(remaining_.data(), end, number);
    if (!ok_ || read.ec != std::errc() || read.ptr == end || *read.ptr != ':') return Fail();
    remaining_.remove_prefix(read.ptr + 1 - remaining_.data());
    return number;
  }
  // Of an enumeration, or of how many follow: at most `most`.
  std::uint64_t Number(std::uint64_t maximum) {
    const std::uint64_t number = Number();
    return number > maximum ? Fail() : number;
  }
  std::string Text() {
    const std::uint64_t size = Number(remaining_.size());
    if (!ok_ || size > remaining_.size()) return Fail(), std::string();
    std::string text(remaining_.substr(0, size));
    remaining_.remove_prefix(size);
    return text;
  }
  std::set<std::string> Names() {
    std::set<std::string> names;
    for (std::uint64_t left = Number(remaining_.size()); left > 0 && ok_; --left) names.insert(Text());
    return names;
  }
  bool ok() const { return ok_; }
  bool done() const { return ok_ && remaining_.empty(); }

 private:
  std::uint64_t Fail() {
    ok_ = false;
    return 0;
  }
  std::string_view remaining_;
  bool ok_ = true;
};

}  // namespace mothrack::change_freeze
