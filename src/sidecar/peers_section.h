// Section [peers] of the operator's file, if the program is built with MOTHRACK_PEERS. gossip::ReadSettings()
// has the rules of the section; this file only converts it from and to TOML.
#pragma once

#include <toml++/toml.h>

#include "gossip/settings.h"
#include "sidecar/toml_table.h"

namespace mothrack::sidecar {

// Reads the section. Throws ConfigError. Rejecting unknown keys is left to the caller.
gossip::Settings ReadPeers(TomlTable& table);

// The inverse of ReadPeers(), without the keys themselves.
toml::table ToToml(const gossip::Settings& peers);

}  // namespace mothrack::sidecar
