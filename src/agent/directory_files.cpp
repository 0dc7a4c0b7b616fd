#include "agent/directory_files.h"

#include <filesystem>

#include "agent/posix_io.h"

namespace mothrack::agent {

DirectoryFiles ReadDirectory(const std::string& directory, DirectoryEntries entries) {
  namespace fs = std::filesystem;
  DirectoryFiles result;
  std::error_code& error = result.error;
  for (fs::directory_iterator it(directory, error), end; !error && it != end; it.increment(error)) {
    if (entries == DirectoryEntries::kRegularFiles && !it->is_regular_file()) continue;
    result.files[it->path().filename().string()] = ReadFile(it->path().string());
  }
  return result;
}

}  // namespace mothrack::agent
