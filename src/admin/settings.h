// Where the admin API listens, by the operator's file.
#pragma once

#include <optional>
#include <string>

#include "runtime/address.h"

namespace mothrack::admin {

// Either a Unix socket, which the file system guards (mode 0600), or a loopback address, which `token`
// guards.
struct Settings {
  std::string unix_path;                      // empty: there is an address
  std::optional<runtime::Endpoint> endpoint;  // TCP
  std::string token_file;                     // of an address; its first line is the token
  std::string token;                          // never printed or logged
};

}  // namespace mothrack::admin
