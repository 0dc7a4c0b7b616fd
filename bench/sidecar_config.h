// The sidecar's configuration for a single upstream on a loopback port.
#pragma once

#include <cstdint>
#include <string>

namespace mothrack::bench {

// Text of the operator's file (TOML) with DNS on a free port.
std::string DnsOperatorFile(std::uint16_t resolver_port);

// Text of the file that LB_CONFIG names (JSON). Discovery is unreachable, so the upstream comes from here.
std::string HttpConfig(std::uint16_t upstream_port);

}  // namespace mothrack::bench
