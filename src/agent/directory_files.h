// Reads the files of a directory, as agent and tool do with those of a configuration generation.
#pragma once

#include <map>
#include <string>
#include <system_error>

namespace mothrack::agent {

// Which entries of a directory count as files.
enum class DirectoryEntries {
  kAll,          // every entry; one that can't be read as a file, as a subdirectory, has an empty text
  kRegularFiles  // regular files and symbolic links to them; others are skipped
};

struct DirectoryFiles {
  std::map<std::string, std::string> files;  // name to text, in the order of the names
  // Why the directory could not be read to its end; `files` has what was read before. No error: it was.
  std::error_code error;
};

// Reads the files of a directory, without those of its subdirectories. A file that can't be read has an empty
// text and is no error. Throws std::filesystem::filesystem_error where an entry's type can't be determined,
// with kRegularFiles only. Blocks the caller.
DirectoryFiles ReadDirectory(const std::string& directory, DirectoryEntries entries);

}  // namespace mothrack::agent
