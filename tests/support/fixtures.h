// Fixtures: files with the data that version 0.2.0 of the programs (commit de65f91) wrote or sent. They are
// in the folders of the tests that compare the present version with them. They were recorded once; no test
// regenerates them.
#pragma once

#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>
#include <map>
#include <sstream>
#include <stdexcept>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "support/temporary_directory.h"

namespace mothrack::testing {

// The contents of a file. Throws std::runtime_error if it can't be read.
inline std::string ReadFixture(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  if (!file) throw std::runtime_error(path + " can't be read");
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

// Encodes bytes as lower-case hex digits.
inline std::string ToHex(std::string_view bytes) {
  constexpr std::string_view kDigits = "0123456789abcdef";
  std::string hex;
  for (const char c : bytes) {
    const auto byte = static_cast<unsigned char>(c);
    hex += kDigits[byte >> 4U];
    hex += kDigits[byte & 15U];
  }
  return hex;
}

// Decodes pairs of hex digits. Throws std::invalid_argument for a pair that is not hexadecimal.
inline std::string FromHex(const std::string& hex) {
  std::string bytes;
  for (std::size_t at = 0; at + 1 < hex.size(); at += 2) {
    bytes += static_cast<char>(std::stoi(hex.substr(at, 2), nullptr, 16));
  }
  return bytes;
}

// Reads lines of the form "name hex", in the order of the file. Returns the names and the decoded bytes.
inline std::vector<std::pair<std::string, std::string>> ReadHexLines(const std::string& path) {
  std::vector<std::pair<std::string, std::string>> lines;
  std::istringstream text(ReadFixture(path));
  for (std::string name, hex; text >> name >> hex;) lines.emplace_back(name, FromHex(hex));
  return lines;
}

// Converts bytes to printable text: a line end is written as an escape followed by a line break; other bytes
// that are not printable are written as \xNN.
inline std::string Escaped(std::string_view bytes) {
  std::string text;
  for (const char c : bytes) {
    const auto byte = static_cast<unsigned char>(c);
    if (c == '\r') {
      text += "\\r";
    } else if (c == '\n') {
      text += "\\n\n";
    } else if (c == '\\') {
      text += "\\\\";
    } else if (byte < ' ' || byte > '~') {
      text += "\\x" + ToHex({&c, 1});
    } else {
      text += c;
    }
  }
  return text;
}

// A fixture of many sections, each "=== NAME" and the lines below it. Every section has to be compared with
// once, and no other section may be: the destructor reports sections that were not compared.
class RecordedSections {
 public:
  explicit RecordedSections(const std::string& path) {
    std::istringstream text(ReadFixture(path));
    std::string name;
    for (std::string line; std::getline(text, line);) {
      if (line.starts_with(kMark)) {
        name = line.substr(kMark.size());
        sections_[name];
      } else {
        sections_[name] += line + '\n';
      }
    }
  }
  ~RecordedSections() {
    for (const auto& [name, text] : sections_) ADD_FAILURE() << "not compared: " << name;
  }
  RecordedSections(const RecordedSections&) = delete;
  RecordedSections& operator=(const RecordedSections&) = delete;

  // Compares `text` with the section `name`. A line end is added to `text` if it does not end with one,
  // because each section of the file does.
  void Expect(const std::string& name, std::string text) {
    if (!text.ends_with('\n')) text += '\n';
    const auto section = sections_.extract(name);
    ASSERT_FALSE(section.empty()) << "not recorded: " << name << '\n' << text;
    EXPECT_EQ(text, section.mapped()) << name;
  }

 private:
  static constexpr std::string_view kMark = "=== ";
  std::map<std::string, std::string> sections_;
};

// The working directory of a test that compares with fixtures.
class FixtureDirectory : public TemporaryDirectory {
 public:
  FixtureDirectory() : TemporaryDirectory("fixture") {}

  // A copy with mode 0600, as the fixture itself must not be written to.
  std::string CopyOf(const std::string& fixture) const {
    const std::string copy = File(std::filesystem::path(fixture).filename());
    std::filesystem::copy_file(fixture, copy);
    std::filesystem::permissions(copy,
                                 std::filesystem::perms::owner_read | std::filesystem::perms::owner_write);
    return copy;
  }
};

}  // namespace mothrack::testing
