// [dns] of the operator's file: addresses to listen on, bounds, classes of queries, resolvers.
#pragma once

#include <toml++/toml.h>

#include "dns/settings.h"
#include "sidecar/toml_table.h"

namespace mothrack::sidecar {

// What the section says, defaults filled in. Throws ConfigError. Unknown keys are left to the caller.
dns::Settings ReadDns(TomlTable& table);

// The section that ReadDns() would read the same settings from.
toml::table ToToml(const dns::Settings& dns);

}  // namespace mothrack::sidecar
