// The operator's file (TOML): all settings that the platform's LB_* variables and their JSON do not have.
// Read and checked as a whole: the first error names file, line, column and the remedy, and nothing is used
// then. Its sections are read by *_section.h, with toml_table.h.
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

// Its sections; absent where the file has none.
struct OperatorFile {
  std::string path;
  std::string name = "mothrack";       // before each log line, where LB_NAME is not set
  std::optional<std::size_t> sockets;  // descriptors that the process may hold
  std::optional<dns::Settings> dns;
  std::optional<admin::Settings> admin;
#ifdef MOTHRACK_WITH_PEERS
  std::optional<gossip::Settings> peers;
#endif
  std::string hash;  // of the file's bytes, as HashOf() gives it
};

// Throws ConfigError.
OperatorFile LoadOperatorFile(const std::string& path);

// Names a content, in 16 hex digits; does not guard it (FNV-1a,
// https://datatracker.ietf.org/doc/html/draft-eastlake-fnv).
std::string HashOf(const std::string& bytes);

// All settings in effect, defaults filled in, in the file's own form; LoadOperatorFile() reads it as the
// same.
std::string Effective(const OperatorFile& file);

}  // namespace mothrack::sidecar
