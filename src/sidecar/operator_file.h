// The operator's file (TOML): all settings that are not in the platform's LB_* variables and JSON file. It is
// validated completely before any of it is used; an error names file, line, column and remedy. The
// *_section.h files read its sections, with toml_table.h.
#pragma once

#include <cstddef>
#include <optional>
#include <string>

#include "admin/settings.h"
#include "dns/settings.h"
#include "sidecar/config.h"
#ifdef MOTHRACK_WITH_PEERS
#include "gossip/settings.h"
#endif

namespace mothrack::sidecar {

// The file's contents. Sections are absent if the file does not have them.
struct OperatorFile {
  std::string path;
  std::string name = "mothrack";       // prefix of each log line if LB_NAME is not set
  std::optional<std::size_t> sockets;  // limit of open descriptors
  std::optional<dns::Settings> dns;
  std::optional<admin::Settings> admin;
#ifdef MOTHRACK_WITH_PEERS
  std::optional<gossip::Settings> peers;
#endif
  std::string hash;  // HashOf() the file's bytes
};

// Reads and validates the file at `path`. Throws ConfigError.
OperatorFile LoadOperatorFile(const std::string& path);

// A hash to tell contents apart, in 16 hex digits; not cryptographic (FNV-1a,
// https://datatracker.ietf.org/doc/html/draft-eastlake-fnv).
std::string HashOf(const std::string& bytes);

// Returns all settings in effect, including defaults, in the file's format; the inverse of
// LoadOperatorFile().
std::string EffectiveSettings(const OperatorFile& file);

}  // namespace mothrack::sidecar
