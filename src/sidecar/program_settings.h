// The settings of the program, read at its start and on each SIGHUP, from the platform, the operator's file
// or both.
#pragma once

#include <cstddef>
#include <functional>
#include <optional>
#include <string>

#include "sidecar/config.h"
#include "sidecar/operator_file.h"

namespace mothrack::sidecar {

// At least one of `platform` and `file` is set.
struct ProgramSettings {
  std::optional<Config> platform;
  std::optional<OperatorFile> file;
  // Prefix of the names of the files shared for hot restart; empty: disabled.
  std::string shared_path;

  // Prefix of each log line.
  std::string name() const { return platform ? platform->name : file->name; }
  // Limit of open descriptors: the lower one of the settings' and the system's.
  std::size_t sockets() const;
  // The number of descriptors that optional parts (DNS, admin API, peers, operator API) keep open.
  std::size_t fixed_descriptors() const;
};

// Reads the operator's file at `path`, if any, the variables with `variable`, which has std::getenv's
// signature, and the file that they name. Throws ConfigError, also if nothing is configured.
ProgramSettings ReadProgramSettings(const std::optional<std::string>& path,
                                    const std::function<const char*(const char*)>& variable);

}  // namespace mothrack::sidecar
