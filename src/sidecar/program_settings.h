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

struct Told {
  std::optional<Config> platform;
  std::optional<OperatorFile> file;
  std::string shared_path;  // of what two processes of this sidecar find each other by; empty: they don't

  std::string name() const { return platform ? platform->name : file->name; }
  // Descriptors that the process may hold: the least of what was told and what the system allows.
  std::size_t sockets() const;
  // Open all the time, of what only some installations have.
  std::size_t fixed_descriptors() const;
};

// Reads the operator's file at `path`, if any, and what `variable` (std::getenv's form) and the file it names
// tell. Throws ConfigError, also where neither names anything to start.
Told Read(const std::optional<std::string>& path, const std::function<const char*(const char*)>& variable);

}  // namespace mothrack::sidecar
