#include "agent/posix_io.h"

#include <fcntl.h>
#include <sys/file.h>
#include <sys/syscall.h>
#include <unistd.h>

#include <cerrno>
#include <fstream>
#include <sstream>

namespace mothrack::agent {
namespace {

bool WriteAll(int fd, const std::string& text) {
  std::size_t written = 0;
  while (written < text.size()) {
    const ssize_t result = ::write(fd, text.data() + written, text.size() - written);
    if (result < 0 && errno == EINTR) continue;
    if (result <= 0) return false;
    written += static_cast<std::size_t>(result);
  }
  return true;
}

}  // namespace

void UniqueFd::Close() {
  if (fd_ >= 0) ::close(std::exchange(fd_, -1));
}

void CloseFdsFrom(int first) {
  if (::syscall(SYS_close_range, static_cast<unsigned>(first), ~0U, 0U) == 0) return;
  // Kernels before 5.9 have no close_range(2).
  for (long fd = first; fd < ::sysconf(_SC_OPEN_MAX); ++fd) ::close(static_cast<int>(fd));
}

bool WriteFileDurably(const std::string& path, const std::string& text) {
  const std::string temporary = path + ".new";
  const UniqueFd file(::open(temporary.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, kPrivateMode));
  if (!file || !WriteAll(file.get(), text) || ::fsync(file.get()) != 0) return false;
  return ::rename(temporary.c_str(), path.c_str()) == 0;
}

bool SyncDirectory(const std::string& path) {
  const UniqueFd directory(::open(path.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC));
  return directory && ::fsync(directory.get()) == 0;
}

std::string ReadFile(const std::string& path) {
  const std::ifstream file(path, std::ios::binary);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

bool IsLockedByAnother(const std::string& path) {
  const UniqueFd lock(::open(path.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, kPrivateMode));
  return lock && ::flock(lock.get(), LOCK_EX | LOCK_NB) != 0 && errno == EWOULDBLOCK;
}

std::string Substitute(std::string text, const std::map<std::string, std::string>& values) {
  for (const auto& [name, value] : values) {
    const std::string placeholder = '{' + name + '}';
    for (auto at = text.find(placeholder); at != std::string::npos;
         at = text.find(placeholder, at + value.size())) {
      text.replace(at, placeholder.size(), value);
    }
  }
  return text;
}

}  // namespace mothrack::agent
