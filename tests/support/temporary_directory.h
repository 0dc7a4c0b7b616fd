// A directory for the files of one test: below the system's directory for temporary files, accessible
// to its user only, and removed with the object. Any thread may read it.
#pragma once

#include <stdlib.h>  // mkdtemp

#include <cerrno>
#include <filesystem>
#include <string>
#include <system_error>

namespace mothrack::testing {

class TemporaryDirectory {
 public:
  // Its name is `prefix`, a dot and six characters that make it unique. Throws std::system_error if it can't
  // be created.
  explicit TemporaryDirectory(const std::string& prefix = "mothrack")
      : path_(std::filesystem::temp_directory_path() / (prefix + ".XXXXXX")) {
    if (::mkdtemp(path_.data()) == nullptr) {
      throw std::system_error(errno, std::generic_category(), "mkdtemp " + path_);
    }
  }
  // Ignores files that can't be removed: a process that the test started may still write there.
  ~TemporaryDirectory() {
    std::error_code ignored;
    std::filesystem::remove_all(path_, ignored);
  }
  TemporaryDirectory(const TemporaryDirectory&) = delete;
  TemporaryDirectory& operator=(const TemporaryDirectory&) = delete;

  const std::string& path() const { return path_; }
  // The path of a file in it, which need not exist.
  std::string File(const std::string& name) const { return path_ + '/' + name; }

 private:
  std::string path_;
};

}  // namespace mothrack::testing
