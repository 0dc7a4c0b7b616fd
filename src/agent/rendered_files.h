// A generation's files as one instance gets them: copies in a directory of the instance, with the
// placeholders replaced by the instance's values. Writing blocks until the files are durable.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <system_error>

namespace mothrack::agent {

// Why a generation's files were not rendered.
struct RenderError {
  enum class Cause {
    kUnreadable,   // the directory with the generation's files
    kWriteFailed,  // of one rendered file
  };
  Cause cause = Cause::kUnreadable;
  std::string generation;
  std::string path;       // the directory or the file
  std::error_code error;  // of the system

  // For the log: the generation alone, whichever the cause.
  std::string Message() const;
};

// Renders the files in `from` into `to`, which it makes; files that are there already are replaced.
// `placeholders`: name to value. After an error, `to` may hold some of the files.
std::optional<RenderError> RenderFiles(const std::string& generation, const std::string& from,
                                       const std::string& to,
                                       const std::map<std::string, std::string>& placeholders);

}  // namespace mothrack::agent
