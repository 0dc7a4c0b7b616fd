// Section [admin] of the operator's file: the admin API's listening address and its access token.
#pragma once

#include <toml++/toml.h>

#include "admin/settings.h"
#include "sidecar/toml_table.h"

namespace mothrack::sidecar {

// Reads the section and the token's file. Throws ConfigError. Rejecting unknown keys is left to the caller.
admin::Settings ReadAdmin(TomlTable& table);

// The inverse of ReadAdmin(), without the token itself.
toml::table ToToml(const admin::Settings& admin);

}  // namespace mothrack::sidecar
