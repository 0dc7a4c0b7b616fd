#include "sidecar/dns_section.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <chrono>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace mothrack::sidecar {
namespace {

// Record types with a name in the file; others are written as "TYPE123" (RFC 3597).
constexpr std::array<std::pair<std::string_view, std::uint16_t>, 20> kTypes = {{
    {"A", 1},       {"NS", 2},    {"CNAME", 5},  {"SOA", 6},    {"PTR", 12},   {"MX", 15},    {"TXT", 16},
    {"AAAA", 28},   {"SRV", 33},  {"NAPTR", 35}, {"DS", 43},    {"SSHFP", 44}, {"RRSIG", 46}, {"NSEC", 47},
    {"DNSKEY", 48}, {"TLSA", 52}, {"SVCB", 64},  {"HTTPS", 65}, {"ANY", 255},  {"CAA", 257},
}};
constexpr std::array<std::pair<std::string_view, std::uint8_t>, 3> kOpcodes = {
    {{"QUERY", dns::kQuery}, {"NOTIFY", dns::kNotify}, {"UPDATE", dns::kUpdate}}};
constexpr std::string_view kUnknownTypePrefix = "TYPE";
constexpr std::size_t kMaxUnknownTypeName = 9;  // "TYPE65535"
constexpr std::uint32_t kMaxType = 0xffff;

std::uint16_t ReadType(const TomlTable& table, const toml::node& node, const std::string& key) {
  const auto text = node.value<std::string>().value_or("");
  for (const auto& [name, number] : kTypes) {
    if (text == name) return number;
  }
  if (text.starts_with(kUnknownTypePrefix) && text.size() <= kMaxUnknownTypeName) {
    std::uint32_t number = 0;
    const char* begin = text.data() + kUnknownTypePrefix.size();
    const auto [end, error] = std::from_chars(begin, text.data() + text.size(), number);
    if (error == std::errc() && end == text.data() + text.size() && number <= kMaxType) {
      return static_cast<std::uint16_t>(number);
    }
  }
  table.Fail(node.source(), key, Quoted(text) + R"( is not a record type; write it as "AAAA" or "TYPE28")");
}

std::string TypeName(std::uint16_t type) {
  for (const auto& [name, number] : kTypes) {
    if (number == type) return std::string(name);
  }
  return std::string(kUnknownTypePrefix) + std::to_string(type);
}

std::uint8_t ReadOpcode(TomlTable& table) {
  const std::string opcode = table.RequiredText("opcode", "QUERY");
  const auto* const known = std::find_if(kOpcodes.begin(), kOpcodes.end(),
                                         [&](const auto& entry) { return entry.first == opcode; });
  if (known == kOpcodes.end()) {
    table.Fail("opcode", Quoted(opcode) + R"( is not supported; give "QUERY", "NOTIFY" or "UPDATE")");
  }
  return known->second;
}

std::string OpcodeName(std::uint8_t opcode) {
  for (const auto& [name, number] : kOpcodes) {
    if (number == opcode) return std::string(name);
  }
  return {};
}

// Sets the values that the file may omit in a class to those of the default class of its opcode.
void ApplyOpcodeDefaults(dns::ClassSettings& settings) {
  for (const dns::ClassSettings& default_class : dns::DefaultClasses()) {
    if (default_class.opcode != settings.opcode) continue;
    settings.latency_objective = default_class.latency_objective;
    settings.deadline = default_class.deadline;
    settings.effect = default_class.effect;
    settings.priority_weight = default_class.priority_weight;
    settings.late_priority_weight = default_class.late_priority_weight;
  }
}

void ReadEffect(TomlTable& table, dns::ClassSettings& settings) {
  const auto effect = table.Text("effect");
  if (!effect) return;
  if (*effect != "safe" && *effect != "unsafe") {
    table.Fail(
        "effect",
        Quoted(*effect) + R"( is not a valid effect; give "safe" or "unsafe" (DNS has no idempotency keys))");
  }
  settings.effect = *effect == "safe" ? balancer::Effect::kSafe : balancer::Effect::kUnsafe;
  if (settings.opcode == dns::kUpdate && settings.effect == balancer::Effect::kSafe) {
    table.Fail("effect", R"(an UPDATE must not be repeated; give "unsafe" or remove the key)");
  }
}

dns::ClassSettings ReadClass(TomlTable& table) {
  dns::ClassSettings settings;
  settings.name = table.RequiredText("name", "lookup");
  settings.opcode = ReadOpcode(table);
  table.ForEach("qtypes", [&](const toml::node& node, const std::string& key) {
    settings.qtypes.push_back(ReadType(table, node, key));
  });
  ApplyOpcodeDefaults(settings);
  table.ReadMilliseconds("aim_ms", settings.latency_objective);
  table.ReadMilliseconds("deadline_ms", settings.deadline);
  if (settings.latency_objective > settings.deadline) {
    table.Fail("aim_ms", "is beyond the deadline; lower it, or raise deadline_ms");
  }
  ReadEffect(table, settings);
  table.ReadNumber("worth", 0, 1e6, settings.priority_weight);
  table.ReadNumber("late_worth", 0, 1, settings.late_priority_weight);
  return settings;
}

dns::ResolverSettings ReadResolver(TomlTable& table) {
  dns::ResolverSettings resolver;
  resolver.uid = table.RequiredText("uid", "r1");
  const toml::node* endpoint = table.Find("endpoint");
  if (endpoint == nullptr) table.RequiredText("endpoint", "127.0.0.1:5301");
  // NOLINTNEXTLINE(clang-analyzer-core.NonNullParamChecker): RequiredText() throws if the key is missing
  resolver.endpoint = ReadEndpoint(table, *endpoint, "endpoint", false);
  if (const auto state = table.Text("state")) {
    if (*state != "active" && *state != "leaving") {
      table.Fail("state", Quoted(*state) + R"( is not a valid state; give "active" or "leaving")");
    }
    resolver.leaving = *state == "leaving";
  }
  if (const auto zone = table.Text("zone")) resolver.zone = *zone;
  table.ReadNumber("weight", 0.001, 1000, resolver.weight);
  return resolver;
}

std::vector<runtime::Endpoint> ReadListen(TomlTable& table) {
  std::vector<runtime::Endpoint> listen;
  std::set<runtime::Endpoint> given;
  table.ForEach("listen", [&](const toml::node& node, const std::string& key) {
    const runtime::Endpoint endpoint = ReadEndpoint(table, node, key, true);
    if (endpoint.port() != 0 && !given.insert(endpoint).second) {
      table.Fail(node.source(), key, "repeats an earlier address; remove one of them");
    }
    listen.push_back(endpoint);
  });
  if (listen.empty())
    table.Fail("listen", "has no address; add one, for example listen = [\"127.0.0.1:5300\"]");
  return listen;
}

void ReadBounds(TomlTable& table, dns::Settings& dns) {
  std::size_t edns = dns.edns_size;
  table.ReadInteger("edns_size", 512, 4096, edns);
  dns.edns_size = static_cast<std::uint16_t>(edns);
  table.ReadInteger("max_open_queries", 1, 1'000'000, dns.max_open_queries);
  table.ReadInteger("max_open_per_client", 1, 1'000'000, dns.max_open_per_client);
  table.ReadInteger("max_open_per_connection", 1, 10'000, dns.max_open_per_connection);
  table.ReadInteger("max_tcp_clients", 1, 100'000, dns.max_tcp_clients);
  table.ReadMilliseconds("tcp_first_byte_ms", dns.tcp_first_byte);
  table.ReadMilliseconds("tcp_idle_ms", dns.tcp_idle);
  table.ReadMilliseconds("update_memory_ms", dns.update_memory);
  table.ReadInteger("max_attempts", 1, 16, dns.max_attempts);
  table.ReadMilliseconds("connect_timeout_ms", dns.connect_timeout);
  table.ReadInteger("udp_ports", 1, 1024, dns.udp_ports);
  table.ReadInteger("tcp_connections", 1, 64, dns.tcp_connections);
  table.ReadMilliseconds("resolver_idle_ms", dns.resolver_idle);
}

std::vector<dns::ClassSettings> ReadClasses(TomlTable& table) {
  std::set<std::string> names;
  std::vector<dns::ClassSettings> classes;
  table.ForEachTable("class", [&](TomlTable& inner) {
    classes.push_back(ReadClass(inner));
    if (!names.insert(classes.back().name).second) {
      inner.Fail("name", Quoted(classes.back().name) +
                             " is already the name of another class; give each class its own name");
    }
  });
  // The file's classes come first; a query that matches none of them gets a default class.
  for (const dns::ClassSettings& default_class : dns::DefaultClasses()) {
    if (names.insert(default_class.name).second) classes.push_back(default_class);
  }
  return classes;
}

std::vector<dns::ResolverSettings> ReadResolvers(TomlTable& table,
                                                 const std::vector<runtime::Endpoint>& listen) {
  std::vector<dns::ResolverSettings> resolvers;
  std::set<std::string> uids;
  std::map<runtime::Endpoint, std::string> uid_by_endpoint;
  table.ForEachTable("resolver", [&](TomlTable& inner) {
    dns::ResolverSettings resolver = ReadResolver(inner);
    if (!uids.insert(resolver.uid).second) {
      inner.Fail("uid", Quoted(resolver.uid) +
                            " is already the uid of another resolver; give each resolver its own uid");
    }
    const auto [other, is_new] = uid_by_endpoint.emplace(resolver.endpoint, resolver.uid);
    if (!is_new) {
      inner.Fail("endpoint",
                 "is also the endpoint of resolver " + Quoted(other->second) + "; remove one of them");
    }
    // Port 0 in `listen` is chosen later, so it can't be compared; resolvers can't have it.
    if (std::find(listen.begin(), listen.end(), resolver.endpoint) != listen.end()) {
      inner.Fail("endpoint",
                 "is an address of dns.listen, so queries would loop back; give the resolver's address");
    }
    resolvers.push_back(std::move(resolver));
  });
  if (resolvers.empty()) table.Fail("resolver", "is missing; add a resolver with [[dns.resolver]]");
  return resolvers;
}

std::int64_t Milliseconds(runtime::Duration time) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(time).count();
}

toml::table ToToml(const dns::ClassSettings& settings) {
  toml::array qtypes;
  for (const std::uint16_t type : settings.qtypes) qtypes.push_back(TypeName(type));
  return toml::table{{"name", settings.name},
                     {"opcode", OpcodeName(settings.opcode)},
                     {"qtypes", qtypes},
                     {"aim_ms", Milliseconds(settings.latency_objective)},
                     {"deadline_ms", Milliseconds(settings.deadline)},
                     {"effect", settings.effect == balancer::Effect::kSafe ? "safe" : "unsafe"},
                     {"worth", settings.priority_weight},
                     {"late_worth", settings.late_priority_weight}};
}

toml::table ToToml(const dns::ResolverSettings& resolver) {
  return toml::table{{"uid", resolver.uid},
                     {"endpoint", ToText(resolver.endpoint)},
                     {"state", resolver.leaving ? "leaving" : "active"},
                     {"zone", resolver.zone},
                     {"weight", resolver.weight}};
}

}  // namespace

dns::Settings ReadDns(TomlTable& table) {
  dns::Settings dns;
  dns.listen = ReadListen(table);
  ReadBounds(table, dns);
  dns.classes = ReadClasses(table);
  dns.resolvers = ReadResolvers(table, dns.listen);
  return dns;
}

toml::table ToToml(const dns::Settings& dns) {
  toml::array listen;
  for (const runtime::Endpoint& endpoint : dns.listen) listen.push_back(ToText(endpoint));
  toml::array classes;
  for (const dns::ClassSettings& settings : dns.classes) classes.push_back(ToToml(settings));
  toml::array resolvers;
  for (const dns::ResolverSettings& resolver : dns.resolvers) resolvers.push_back(ToToml(resolver));
  const auto integer = [](std::size_t value) { return static_cast<std::int64_t>(value); };
  return toml::table{{"listen", listen},
                     {"edns_size", integer(dns.edns_size)},
                     {"max_open_queries", integer(dns.max_open_queries)},
                     {"max_open_per_client", integer(dns.max_open_per_client)},
                     {"max_open_per_connection", integer(dns.max_open_per_connection)},
                     {"max_tcp_clients", integer(dns.max_tcp_clients)},
                     {"tcp_first_byte_ms", Milliseconds(dns.tcp_first_byte)},
                     {"tcp_idle_ms", Milliseconds(dns.tcp_idle)},
                     {"update_memory_ms", Milliseconds(dns.update_memory)},
                     {"max_attempts", integer(dns.max_attempts)},
                     {"connect_timeout_ms", Milliseconds(dns.connect_timeout)},
                     {"udp_ports", integer(dns.udp_ports)},
                     {"tcp_connections", integer(dns.tcp_connections)},
                     {"resolver_idle_ms", Milliseconds(dns.resolver_idle)},
                     {"class", classes},
                     {"resolver", resolvers}};
}

}  // namespace mothrack::sidecar
