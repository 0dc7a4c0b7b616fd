// Encoding of the replicated state: numbers are decimal and end with a colon; texts are preceded by their
// length in bytes. The decoder rejects any other input.
//
// Values; not thread-safe. The bytes are stored on the voters' disks and exchanged between agents of
// different releases, so the format must not change without a new kEncodingVersion
// (freeze_state_encoding.cpp).
#pragma once

#include <charconv>
#include <cstdint>
#include <set>
#include <string>
#include <string_view>

namespace mothrack::change_freeze {

// Appends values; cannot fail.
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
  template <typename Enumeration>
  void Enum(Enumeration value) {
    Number(static_cast<std::uint64_t>(value));
  }
  const std::string& bytes() const { return bytes_; }

 private:
  std::string bytes_;
};

// Reads what an Encoder wrote. After the first error ok() stays false and everything reads as empty. The
// bytes must outlive the decoder.
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
  // A number of at most `maximum`: an enumerator, or the number of elements that follow.
  std::uint64_t Number(std::uint64_t maximum) {
    const std::uint64_t number = Number();
    return number > maximum ? Fail() : number;
  }
  // An enumerator, where `last` is the last one.
  template <typename Enumeration>
  Enumeration Enum(Enumeration last) {
    return static_cast<Enumeration>(Number(static_cast<std::uint64_t>(last)));
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
  // Whether all bytes were read without an error.
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
