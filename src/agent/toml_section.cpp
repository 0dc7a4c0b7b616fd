#include "agent/toml_section.h"

#include <sys/stat.h>

#include <fstream>
#include <sstream>

namespace mothrack::agent {

toml::table ParseToml(const std::string& path) {
  std::ifstream file(path);
  if (!file) throw FileError(path + ": can't be read");
  std::ostringstream text;
  text << file.rdbuf();
  try {
    return toml::parse(text.str(), path);
  } catch (const toml::parse_error& e) {
    throw FileError(path + ':' + std::to_string(e.source().begin.line) + ": " + std::string(e.description()));
  }
}

void RequirePrivateFile(const TomlSection& section, const std::string& key, const std::string& path) {
  struct stat info {};
  if (::stat(path.c_str(), &info) != 0) section.Fail(key, path + " can't be read");
  if ((info.st_mode & 077) != 0)
    section.Fail(key, path + " is accessible to other users; set its mode to 600");
}

}  // namespace mothrack::agent
