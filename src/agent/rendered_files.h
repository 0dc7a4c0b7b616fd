// Renders a generation's files for one instance: copies them to a directory of the instance and replaces
// placeholders with the instance's values. Blocks until the files are durable.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <system_error>

namespace mothrack::agent {

// Why a generation's files were not rendered.
struct RenderError {
  enum class Cause {
    kUnreadable,   // the directory with the generation's files can't be read
    kWriteFailed,  // a rendered file can't be written
  };
  Cause cause = Cause::kUnreadable;
  std::string generation;
  std::string path;       // of the directory or the file
  std::error_code error;  // the system's error

  // A text for the log, which names only the generation.
  std::string Message() const;
};

// Renders the files in `from` into `to`, which is created if it does not exist. Replaces existing files.
// `placeholders`: name to value. After an error, `to` may have some of the files.
std::optional<RenderError> RenderFiles(const std::string& generation, const std::string& from,
                                       const std::string& to,
                                       const std::map<std::string, std::string>& placeholders);

}  // namespace mothrack::agent
