// [peers] of the operator's file, where the program is built with peers. The rules of the section are those
// of gossip::ReadSettings(); here is only how it is read from and written as TOML.
#pragma once

#include <toml++/toml.h>

#include "gossip/settings.h"
#include "sidecar/toml_table.h"

namespace mothrack::sidecar {

// What the section says. Throws ConfigError. Unknown keys are left to the caller.
gossip::Settings ReadPeers(TomlTable& table);

// The section that ReadPeers() would read the same settings from; the keys themselves are not in it.
toml::table ToToml(const gossip::Settings& peers);

}  // namespace mothrack::sidecar
