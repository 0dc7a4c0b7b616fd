#include "agent/rendered_files.h"

#include <cerrno>
#include <filesystem>

#include "agent/posix_io.h"

namespace mothrack::agent {

namespace fs = std::filesystem;

std::string RenderError::Message() const { return "no files of " + generation; }

std::optional<RenderError> RenderFiles(const std::string& generation, const std::string& from,
                                       const std::string& to,
                                       const std::map<std::string, std::string>& placeholders) {
  using Cause = RenderError::Cause;
  std::error_code error;
  fs::create_directories(to, error);  // where that fails, so does writing the first file
  for (fs::directory_iterator it(from, error), end; !error && it != end; it.increment(error)) {
    const std::string path = (fs::path(to) / it->path().filename()).string();
    if (!WriteFileDurably(path, Substitute(ReadFile(it->path()), placeholders))) {
      const std::error_code write_error(errno, std::generic_category());
      return RenderError{Cause::kWriteFailed, generation, path, write_error};
    }
  }
  if (error) return RenderError{Cause::kUnreadable, generation, from, error};
  return std::nullopt;
}

}  // namespace mothrack::agent
