#include "agent/rendered_files.h"

#include <cerrno>
#include <filesystem>

#include "agent/directory_files.h"
#include "agent/posix_io.h"

namespace mothrack::agent {

namespace fs = std::filesystem;

std::string RenderError::Message() const { return "can't render the files of " + generation; }

std::optional<RenderError> RenderFiles(const std::string& generation, const std::string& from,
                                       const std::string& to,
                                       const std::map<std::string, std::string>& placeholders) {
  using Cause = RenderError::Cause;
  std::error_code ignored;
  fs::create_directories(to, ignored);  // if this fails, writing the first file fails as well
  // If the directory can't be read completely, the files that were read are still rendered.
  const DirectoryFiles read = ReadDirectory(from, DirectoryEntries::kAll);
  for (const auto& [name, text] : read.files) {
    const std::string path = (fs::path(to) / name).string();
    if (!WriteFileDurably(path, Substitute(text, placeholders))) {
      const std::error_code write_error(errno, std::generic_category());
      return RenderError{Cause::kWriteFailed, generation, path, write_error};
    }
  }
  if (read.error) return RenderError{Cause::kUnreadable, generation, from, read.error};
  return std::nullopt;
}

}  // namespace mothrack::agent
