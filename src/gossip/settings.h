// The section [peers] of a sidecar's operator file and of an agent's fleet file. Both are read by the same
// rules, through a Source each.
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

struct Settings {
  runtime::Endpoint listen;                    // UDP; port 0: the system picks one
  std::optional<runtime::Endpoint> advertise;  // where the others send to; absent: `listen`
  std::string zone;                            // the datacenter zone that it stands in
  Role role = Role::kSidecar;
  std::string key_file;
  std::vector<runtime::Endpoint> seeds;
  ProtocolConfig protocol;
};

// One section of a file. Fail names the place of the key (or of the element of its list), and throws.
class Source {
 public:
  virtual ~Source() = default;
  virtual std::optional<std::string> Text(const char* key) = 0;
  virtual std::optional<std::int64_t> Number(const char* key, std::int64_t least, std::int64_t most) = 0;
  virtual std::optional<std::vector<std::string>> Texts(const char* key) = 0;
  [[noreturn]] virtual void Fail(const std::string& key, std::optional<std::size_t> element,
                                 const std::string& what) = 0;
};

// `zone`: where the section names none; empty: it must. Reads the key file as well, for its faults.
Settings ReadSettings(Source& source, Role role, const std::string& zone);

// The settings that have a number, as the file names them; for printing them all.
struct DurationSetting {
  const char* key;
  Duration ProtocolConfig::*at;
  std::int64_t least, most;
};
struct CountSetting {
  const char* key;
  std::size_t ProtocolConfig::*at;
  std::int64_t least, most;
};
extern const std::vector<DurationSetting> kDurationSettings;
extern const std::vector<CountSetting> kCountSettings;

// "ip:port", as members disseminate it.
std::string Text(const runtime::Endpoint& endpoint);

}  // namespace mothrack::gossip
