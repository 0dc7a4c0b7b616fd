// A file in the directory for temporary files, removed by the destructor.
#pragma once

#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <string>

namespace mothrack::bench {

class TemporaryFile {
 public:
  // Writes `content` to the file. `suffix` is the end of its name and distinguishes the files of one process.
  TemporaryFile(const std::string& suffix, const std::string& content)
      : path_(std::filesystem::temp_directory_path() /
              ("mothrack-bench-" + std::to_string(::getpid()) + suffix)) {
    std::ofstream(path_) << content;
  }
  ~TemporaryFile() { std::filesystem::remove(path_); }
  TemporaryFile(const TemporaryFile&) = delete;
  TemporaryFile& operator=(const TemporaryFile&) = delete;

  std::string path() const { return path_; }

 private:
  std::string path_;
};

}  // namespace mothrack::bench
