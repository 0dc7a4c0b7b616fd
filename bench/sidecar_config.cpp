#include "sidecar_config.h"

namespace mothrack::bench {

std::string DnsOperatorFile(std::uint16_t resolver_port) {
  return "[dns]\nlisten = [\"127.0.0.1:0\"]\n[[dns.resolver]]\nuid = \"r1\"\nendpoint = \"127.0.0.1:" +
         std::to_string(resolver_port) + "\"\n";
}

std::string HttpConfig(std::uint16_t upstream_port) {
  return R"({"name":"bench","listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"1",
"limits":{"cores":1.0,"memory_mb":192,"sockets":1024},
"known":{"rev":0,"all":true,"targets":[{"uid":"u1","endpoint":"127.0.0.1:)" +
         std::to_string(upstream_port) +
         R"(","az":"a","model":"m","pod_group":0,"state":"active","capacity_hint":1.0,
"boot_ms":0}]},
"settings":{"Classes":[{"Name":"page","Effect":"read_like","Aim":400000,"HardLimit":20000000}],
"MembershipMode":"pushed","Limits":{"MaxAttempts":3,"SecondCopies":false,"Cancelling":true,
"ConnectTimeout":200000,"IdleClose":15000000}}})";
}

}  // namespace mothrack::bench
