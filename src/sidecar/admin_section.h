// [admin] of the operator's file: where the admin API listens, and the token that guards an address.
#pragma once

#include <toml++/toml.h>

#include "admin/settings.h"
#include "sidecar/toml_table.h"

namespace mothrack::sidecar {

// What the section says, and the token that its file holds. Throws ConfigError. Unknown keys are left to the
// caller.
admin::Settings ReadAdmin(TomlTable& table);

// The section that ReadAdmin() would read the same settings from; the token itself is not in it.
toml::table ToToml(const admin::Settings& admin);

}  // namespace mothrack::sidecar
