// Small helpers over POSIX files: owned descriptors, durable writes, locks. They leave errors in errno, so
// that the caller can report ENOSPC, EDQUOT and EIO by name. They block.
#pragma once

#include <sys/types.h>

#include <map>
#include <string>
#include <utility>

namespace mothrack::agent {

// The mode of all files that the agent creates.
constexpr mode_t kPrivateMode = 0600;

// A file descriptor, closed with its object.
class UniqueFd {
 public:
  UniqueFd() = default;
  explicit UniqueFd(int fd) : fd_(fd) {}
  ~UniqueFd() { Close(); }
  UniqueFd(UniqueFd&& other) noexcept : fd_(std::exchange(other.fd_, -1)) {}
  UniqueFd& operator=(UniqueFd&& other) noexcept {
    std::swap(fd_, other.fd_);
    return *this;
  }
  UniqueFd(const UniqueFd&) = delete;
  UniqueFd& operator=(const UniqueFd&) = delete;
  int get() const { return fd_; }
  explicit operator bool() const { return fd_ >= 0; }
  void Close();

 private:
  int fd_ = -1;
};

// Closes all descriptors numbered `first` or above.
void CloseFdsFrom(int first);

// Writes a file so that after a crash it has either all of the new text or its former content. Returns false
// with errno set on failure.
bool WriteFileDurably(const std::string& path, const std::string& text);

// Makes files that were created or renamed in a directory durable. Returns false with errno set on failure;
// a crash of the machine may then undo the creation or renaming.
bool SyncDirectory(const std::string& path);

// Returns the content of a file, or an empty string if it can't be read.
std::string ReadFile(const std::string& path);

// Returns whether another open file description holds the lock (flock) of this file. Creates the file if it
// does not exist.
bool IsLockedByAnother(const std::string& path);

// Returns the text with each {name} replaced by its value.
std::string Substitute(std::string text, const std::map<std::string, std::string>& values);

}  // namespace mothrack::agent
