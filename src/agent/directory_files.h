// Reads the files of a directory. The agent and mothrackctl read configuration generations with it.
#pragma once

#include <map>
#include <string>
#include <system_error>

namespace mothrack::agent {

// Which entries of a directory count as files.
enum class DirectoryEntries {
  kAll,          // every entry; one that can't be read as a file, such as a subdirectory, has an empty text
  kRegularFiles  // regular files and symbolic links to them; others are skipped
};

struct DirectoryFiles {
  std::map<std::string, std::string> files;  // name to text, sorted by name
  // Why the directory could not be read completely; `files` has what was read before the error. No error if
  // it was read completely.
  std::error_code error;
};

// Reads the files of a directory, without those of its subdirectories. A file that can't be read has an empty
// text and is no error. With kRegularFiles, throws std::filesystem::filesystem_error if an entry's type can't
// be determined. Blocks the caller.
DirectoryFiles ReadDirectory(const std::string& directory, DirectoryEntries entries);

}  // namespace mothrack::agent
