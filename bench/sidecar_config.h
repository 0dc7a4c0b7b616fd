// The sidecar's configuration for a single upstream on a loopback port.
#pragma once

#include <cstdint>
#include <string>

namespace mothrack::bench {

// Returns the text of an operator's file (TOML) that enables DNS on a free port.
std::string DnsOperatorFile(std::uint16_t resolver_port);

// Returns the text of the file that LB_CONFIG names (JSON). It lists the upstream, because no discovery runs.
std::string HttpConfig(std::uint16_t upstream_port);

}  // namespace mothrack::bench
