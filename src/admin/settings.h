// The listening address of the admin API, from the operator's file.
#pragma once

#include <optional>
#include <string>

#include "runtime/address.h"

namespace mothrack::admin {

// Either a Unix socket, protected by its file mode (0600), or a loopback address, protected by `token`.
struct Settings {
  std::string unix_path;                      // if empty, `endpoint` is used
  std::optional<runtime::Endpoint> endpoint;  // TCP
  std::string token_file;                     // for `endpoint`: the first line of this file is the token
  std::string token;                          // never printed or logged
};

}  // namespace mothrack::admin
