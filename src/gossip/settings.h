// The section [peers] of a sidecar's or an agent's settings file. Both files follow the same rules and are
// read through different implementations of SettingsSource.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "gossip/core.h"
#include "gossip/types.h"
#include "runtime/address.h"

namespace mothrack::gossip {

// The settings of one member.
struct Settings {
  runtime::Endpoint listen;                    // UDP; port 0: the kernel chooses one
  std::optional<runtime::Endpoint> advertise;  // the address that other members send to; default: `listen`
  std::string zone;                            // the zone that the machine is in
  Role role = Role::kSidecar;
  std::string key_file;
  std::vector<runtime::Endpoint> seeds;
  ProtocolConfig protocol;
};

// One section of a file. The readers return nothing if the key is absent and throw on an invalid value.
// Fail() throws an error that names the location of the key or of the element of its list.
class SettingsSource {
 public:
  virtual ~SettingsSource() = default;
  virtual std::optional<std::string> Text(const char* key) = 0;
  virtual std::optional<std::int64_t> Number(const char* key, std::int64_t least, std::int64_t most) = 0;
  virtual std::optional<std::vector<std::string>> Texts(const char* key) = 0;
  [[noreturn]] virtual void Fail(const std::string& key, std::optional<std::size_t> element,
                                 const std::string& what) = 0;
};

// Reads and validates all settings. `default_zone` is used if the section has no zone; if it is empty, the
// section must have one. Also reads the key file, in order to report its errors.
Settings ReadSettings(SettingsSource& source, Role role, const std::string& default_zone);

// The numeric settings by their names in the file, with their bounds; also used to print them all.
struct DurationSetting {
  const char* key;
  Duration ProtocolConfig::*field;
  std::int64_t least, most;
};
struct CountSetting {
  const char* key;
  std::size_t ProtocolConfig::*field;
  std::int64_t least, most;
};
extern const std::vector<DurationSetting> kDurationSettings;
extern const std::vector<CountSetting> kCountSettings;

// "ip:port", in the form that members disseminate.
std::string ToText(const runtime::Endpoint& endpoint);

}  // namespace mothrack::gossip
