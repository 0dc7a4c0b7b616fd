// Section [dns] of the operator's file: listening addresses, bounds, classes of queries, resolvers.
#pragma once

#include <toml++/toml.h>

#include "dns/settings.h"
#include "sidecar/toml_table.h"

namespace mothrack::sidecar {

// Reads the section and fills in defaults. Throws ConfigError. Rejecting unknown keys is left to the caller.
dns::Settings ReadDns(TomlTable& table);

// The inverse of ReadDns().
toml::table ToToml(const dns::Settings& dns);

}  // namespace mothrack::sidecar
