// What the program is told, at its start and on each SIGHUP: by the platform, by the operator's file, by
// both.
#pragma once

#include <cstddef>
#include <functional>
#include <optional>
#include <string>

#include "sidecar/config.h"
#include "sidecar/operator_file.h"

namespace mothrack::sidecar {

// At least one of `platform` and `file` is there.
struct ProgramSettings {
  std::optional<Config> platform;
  std::optional<OperatorFile> file;
  // Begins the names of the files by which two processes of this sidecar find each other; empty: they don't.
  std::string shared_path;

  // Before each log line.
  std::string name() const { return platform ? platform->name : file->name; }
  // Descriptors that the process may hold: the least of what the settings and the system allow.
  std::size_t sockets() const;
  // Open all the time, of what only some installations have.
  std::size_t fixed_descriptors() const;
};

// Reads the operator's file at `path`, if any, the variables by `variable` (std::getenv's form) and the file
// that they name. Throws ConfigError, also where nothing names anything to start.
ProgramSettings ReadProgramSettings(const std::optional<std::string>& path,
                                    const std::function<const char*(const char*)>& variable);

}  // namespace mothrack::sidecar
