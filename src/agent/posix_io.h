// Small helpers over POSIX files: descriptors with an owner, durable writes, locks. Errors are left in errno,
// so that the caller can report ENOSPC, EDQUOT and EIO by their names. They block.
#pragma once

#include <sys/types.h>

#include <map>
#include <string>
#include <utility>

namespace mothrack::agent {

// Mode of all files that the agent makes.
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

// Closes all descriptors from `first` on.
void CloseFdsFrom(int first);

// Writes a file so that after a crash it is complete under its name, or as it was before. False: errno is
// set.
bool WriteFileDurably(const std::string& path, const std::string& text);

// Makes what was created or renamed in a directory durable. False: errno is set, and that may be lost in a
// crash of the machine.
bool SyncDirectory(const std::string& path);

// Empty where the file can't be read.
std::string ReadFile(const std::string& path);

// Does another open file description hold the lock (flock) of this file? Makes the file where it is absent.
bool IsLockedByAnother(const std::string& path);

// The text with each {name} replaced by its value.
std::string Substitute(std::string text, const std::map<std::string, std::string>& values);

}  // namespace mothrack::agent
