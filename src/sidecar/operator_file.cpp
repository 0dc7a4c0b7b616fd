#include "sidecar/operator_file.h"

#include <sys/stat.h>
#include <sys/un.h>
#include <toml++/toml.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <fstream>
#include <functional>
#include <map>
#include <set>
#include <sstream>
#include <string_view>
#include <utility>
#include <vector>

namespace mothrack::sidecar {
namespace {

using std::chrono::milliseconds;

constexpr std::size_t kMostFile = 1 << 20;
constexpr std::size_t kNearlyTheSame = 2;  // letters that a misspelt key differs by
constexpr std::string_view kUnix = "unix:";
constexpr std::size_t kLeastToken = 16;
constexpr std::size_t kMostToken = 256;
constexpr std::int64_t kLeastSockets = 64;
constexpr std::int64_t kMostMilliseconds = 3'600'000;

// The types that a class may name; others as "TYPE123" (RFC 3597).
constexpr std::array<std::pair<std::string_view, std::uint16_t>, 20> kTypes = {{
    {"A", 1},       {"NS", 2},    {"CNAME", 5},  {"SOA", 6},    {"PTR", 12},   {"MX", 15},    {"TXT", 16},
    {"AAAA", 28},   {"SRV", 33},  {"NAPTR", 35}, {"DS", 43},    {"SSHFP", 44}, {"RRSIG", 46}, {"NSEC", 47},
    {"DNSKEY", 48}, {"TLSA", 52}, {"SVCB", 64},  {"HTTPS", 65}, {"ANY", 255},  {"CAA", 257},
}};
constexpr std::array<std::pair<std::string_view, std::uint8_t>, 3> kOpcodes = {
    {{"QUERY", dns::kQuery}, {"NOTIFY", dns::kNotify}, {"UPDATE", dns::kUpdate}}};

std::string Quoted(std::string_view text) { return '"' + std::string(text) + '"'; }

// How many letters two words differ by; for telling which key was meant.
std::size_t Distance(std::string_view a, std::string_view b) {
  std::vector<std::size_t> row(b.size() + 1);
  for (std::size_t j = 0; j <= b.size(); ++j) row[j] = j;
  for (std::size_t i = 1; i <= a.size(); ++i) {
    std::size_t diagonal = std::exchange(row[0], i);
    for (std::size_t j = 1; j <= b.size(); ++j) {
      const std::size_t changed = diagonal + (a[i - 1] != b[j - 1]);
      diagonal = std::exchange(row[j], std::min({row[j] + 1, row[j - 1] + 1, changed}));
    }
  }
  return row[b.size()];
}

// A table of the file, whose keys are read one by one; those that nobody asked for are errors.
class Table {
 public:
  Table(const std::string& file, std::string path, const toml::table& table)
      : file_(file), path_(std::move(path)), table_(table) {}

  [[noreturn]] void Fail(const toml::source_region& at, const std::string& key,
                         const std::string& what) const {
    throw ConfigError(file_ + ':' + std::to_string(at.begin.line) + ':' + std::to_string(at.begin.column) +
                      ": " + Path(key) + ": " + what);
  }
  [[noreturn]] void Fail(const std::string& key, const std::string& what) const {
    const toml::node* node = table_.get(key);
    Fail(node != nullptr ? node->source() : table_.source(), key, what);
  }

  const toml::node* Get(const char* key) {
    known_.insert(key);
    return table_.get(key);
  }

  std::optional<std::string> Text(const char* key) {
    const toml::node* node = Get(key);
    if (node == nullptr) return std::nullopt;
    if (!node->is_string()) Fail(key, "is no text; put it in quotes");
    return *node->value<std::string>();
  }
  std::string NeededText(const char* key, const char* example) {
    const auto text = Text(key);
    if (!text) FailIfMisspelt(key);
    if (!text)
      Fail(table_.source(), key, std::string("is missing; add it, as ") + key + " = " + Quoted(example));
    if (text->empty()) Fail(key, std::string("is empty; write it as ") + Quoted(example));
    return *text;
  }

  // A needed key that is missing stands there under a name that is nearly its own.
  void FailIfMisspelt(const std::string& missing) const {
    for (const auto& [key, node] : table_) {
      const std::string name(key.str());
      if (known_.contains(name) || Distance(name, missing) > kNearlyTheSame) continue;
      Fail(key.source(), name, "unknown key; did you mean " + Quoted(missing) + '?');
    }
  }

  void Whole(const char* key, std::int64_t least, std::int64_t most, std::size_t& target) {
    if (const auto value = WholeOf(key, least, most)) target = static_cast<std::size_t>(*value);
  }
  std::optional<std::int64_t> WholeOf(const char* key, std::int64_t least, std::int64_t most) {
    const toml::node* node = Get(key);
    if (node == nullptr) return std::nullopt;
    const std::string range =
        "give a whole number from " + std::to_string(least) + " to " + std::to_string(most);
    if (!node->is_integer()) Fail(key, "is no whole number; " + range);
    const auto value = *node->value<std::int64_t>();
    if (value < least || value > most) Fail(key, std::to_string(value) + " is out of range; " + range);
    return value;
  }
  void Time(const char* key, runtime::Duration& target) {
    if (const auto value = WholeOf(key, 1, kMostMilliseconds)) target = milliseconds(*value);
  }
  void Number(const char* key, double least, double most, double& target) {
    const toml::node* node = Get(key);
    if (node == nullptr) return;
    std::ostringstream range;
    range << "give a number from " << least << " to " << most;
    if (!node->is_number()) Fail(key, "is no number; " + range.str());
    const auto value = *node->value<double>();
    if (!(value >= least && value <= most)) Fail(key, "is out of range; " + range.str());
    target = value;
  }

  // Calls `read(element, "key[i]")` for each element of a list; false where the key is missing.
  bool Each(const char* key, const std::function<void(const toml::node&, const std::string&)>& read) {
    const toml::node* node = Get(key);
    if (node == nullptr) return false;
    const toml::array* array = node->as_array();
    if (array == nullptr) Fail(key, "is no list; put it in [ ]");
    for (std::size_t i = 0; i < array->size(); ++i) {
      read(*array->get(i), std::string(key) + '[' + std::to_string(i) + ']');
    }
    return true;
  }
  // The same for a list of tables, `[[path.key]]`.
  void EachTable(const char* key, const std::function<void(Table&)>& read) {
    Each(key, [&](const toml::node& node, const std::string& where) {
      const toml::table* table = node.as_table();
      if (table == nullptr) Fail(node.source(), where, "is no table; begin it with [[" + Path(key) + "]]");
      Table inner(file_, Path(where), *table);
      read(inner);
      inner.Finish();
    });
  }
  std::optional<Table> Inner(const char* key) {
    const toml::node* node = Get(key);
    if (node == nullptr) return std::nullopt;
    const toml::table* table = node->as_table();
    if (table == nullptr) Fail(key, "is no table; begin it with [" + Path(key) + ']');
    return Table(file_, Path(key), *table);
  }

  // All that is known has been read: what is left, nobody knows.
  void Finish() const {
    for (const auto& [key, node] : table_) {
      const std::string name(key.str());
      if (known_.contains(name)) continue;
      std::string mend = "take it out";
      std::size_t nearest = kNearlyTheSame + 1;
      for (const std::string& known : known_) {
        const std::size_t distance = Distance(name, known);
        if (distance < nearest) nearest = distance, mend = "did you mean " + Quoted(known) + '?';
      }
      Fail(key.source(), name, "unknown key; " + mend);
    }
  }

 private:
  std::string Path(const std::string& key) const { return path_.empty() ? key : path_ + '.' + key; }

  const std::string& file_;
  const std::string path_;
  const toml::table& table_;
  std::set<std::string> known_;
};

runtime::Endpoint Address(const Table& table, const toml::node& node, const std::string& key,
                          bool for_listening) {
  if (!node.is_string()) table.Fail(node.source(), key, "is no text; write it as \"127.0.0.1:5300\"");
  const std::string text = *node.value<std::string>();
  const auto endpoint = runtime::ParseEndpoint(text);
  if (!endpoint) {
    table.Fail(node.source(), key, Quoted(text) + " is no address and port; write it as \"127.0.0.1:5300\"");
  }
  // Answers to datagrams must leave from the address that was asked.
  if (endpoint->address().is_unspecified()) {
    table.Fail(node.source(), key, Quoted(text) + " names no one address; name each address on its own");
  }
  if (!for_listening && endpoint->port() == 0) {
    table.Fail(node.source(), key, Quoted(text) + " has no port; add the resolver's, often :53");
  }
  return *endpoint;
}

std::uint16_t ReadType(const Table& table, const toml::node& node, const std::string& key) {
  const auto text = node.value<std::string>().value_or("");
  for (const auto& [name, number] : kTypes) {
    if (text == name) return number;
  }
  if (text.starts_with("TYPE") && text.size() <= 9) {
    std::uint32_t number = 0;
    const auto [end, error] = std::from_chars(text.data() + 4, text.data() + text.size(), number);
    if (error == std::errc() && end == text.data() + text.size() && number <= 0xffff) {
      return static_cast<std::uint16_t>(number);
    }
  }
  table.Fail(node.source(), key, Quoted(text) + " is no type; write it as \"AAAA\" or \"TYPE28\"");
}

dns::ClassSettings ReadClass(Table& table) {
  dns::ClassSettings c;
  c.name = table.NeededText("name", "lookup");
  const std::string opcode = table.NeededText("opcode", "QUERY");
  const auto known =
      std::find_if(kOpcodes.begin(), kOpcodes.end(), [&](const auto& o) { return o.first == opcode; });
  if (known == kOpcodes.end()) {
    table.Fail("opcode", Quoted(opcode) + R"( is not served; give "QUERY", "NOTIFY" or "UPDATE")");
  }
  c.opcode = known->second;
  table.Each("qtypes", [&](const toml::node& node, const std::string& key) {
    c.qtypes.push_back(ReadType(table, node, key));
  });
  // What is not said is as in the default class of the opcode.
  for (const dns::ClassSettings& usual : dns::DefaultClasses()) {
    if (usual.opcode != c.opcode) continue;
    c.latency_objective = usual.latency_objective;
    c.deadline = usual.deadline;
    c.effect = usual.effect;
    c.priority_weight = usual.priority_weight;
    c.late_priority_weight = usual.late_priority_weight;
  }
  table.Time("aim_ms", c.latency_objective);
  table.Time("deadline_ms", c.deadline);
  if (c.latency_objective > c.deadline)
    table.Fail("aim_ms", "is beyond the deadline; lower it, or raise deadline_ms");
  if (const auto effect = table.Text("effect")) {
    if (*effect != "safe" && *effect != "unsafe") {
      table.Fail("effect", Quoted(*effect) + R"( is none; give "safe" or "unsafe" (DNS has no keys))");
    }
    c.effect = *effect == "safe" ? balancer::Effect::kSafe : balancer::Effect::kUnsafe;
    if (c.opcode == dns::kUpdate && c.effect == balancer::Effect::kSafe) {
      table.Fail("effect", R"(an UPDATE must not be repeated; give "unsafe" or leave it out)");
    }
  }
  table.Number("worth", 0, 1e6, c.priority_weight);
  table.Number("late_worth", 0, 1, c.late_priority_weight);
  return c;
}

dns::ResolverSettings ReadResolver(Table& table) {
  dns::ResolverSettings r;
  r.uid = table.NeededText("uid", "r1");
  const toml::node* endpoint = table.Get("endpoint");
  if (endpoint == nullptr) table.NeededText("endpoint", "127.0.0.1:5301");
  r.endpoint = Address(table, *endpoint, "endpoint", false);
  if (const auto state = table.Text("state")) {
    if (*state != "active" && *state != "leaving") {
      table.Fail("state", Quoted(*state) + R"( is none; give "active" or "leaving")");
    }
    r.leaving = *state == "leaving";
  }
  if (const auto zone = table.Text("zone")) r.zone = *zone;
  table.Number("weight", 0.001, 1000, r.weight);
  return r;
}

dns::Settings ReadDns(Table& table) {
  dns::Settings dns;
  std::set<runtime::Endpoint> listen;
  const bool given = table.Each("listen", [&](const toml::node& node, const std::string& key) {
    const runtime::Endpoint endpoint = Address(table, node, key, true);
    if (endpoint.port() != 0 && !listen.insert(endpoint).second) {
      table.Fail(node.source(), key, "the same address is given before; take one of them out");
    }
    dns.listen.push_back(endpoint);
  });
  if (!given || dns.listen.empty()) {
    table.Fail("listen", "names no address; add one, as listen = [\"127.0.0.1:5300\"]");
  }
  std::size_t edns = dns.edns_size;
  table.Whole("edns_size", 512, 4096, edns);
  dns.edns_size = static_cast<std::uint16_t>(edns);
  table.Whole("max_open_queries", 1, 1'000'000, dns.max_open_queries);
  table.Whole("max_open_per_client", 1, 1'000'000, dns.max_open_per_client);
  table.Whole("max_open_per_connection", 1, 10'000, dns.max_open_per_connection);
  table.Whole("max_tcp_clients", 1, 100'000, dns.max_tcp_clients);
  table.Time("tcp_first_byte_ms", dns.tcp_first_byte);
  table.Time("tcp_idle_ms", dns.tcp_idle);
  table.Time("update_memory_ms", dns.update_memory);
  table.Whole("max_attempts", 1, 16, dns.max_attempts);
  table.Time("connect_timeout_ms", dns.connect_timeout);
  table.Whole("udp_ports", 1, 1024, dns.udp_ports);
  table.Whole("tcp_connections", 1, 64, dns.tcp_connections);
  table.Time("resolver_idle_ms", dns.resolver_idle);

  std::set<std::string> names;
  std::vector<dns::ClassSettings> classes;
  table.EachTable("class", [&](Table& inner) {
    classes.push_back(ReadClass(inner));
    if (!names.insert(classes.back().name).second) {
      inner.Fail("name", Quoted(classes.back().name) + " is given before; give each class a name of its own");
    }
  });
  // The file's classes come first; what fits none of them falls to the defaults.
  for (const dns::ClassSettings& usual : dns::DefaultClasses()) {
    if (names.insert(usual.name).second) classes.push_back(usual);
  }
  dns.classes = std::move(classes);

  std::set<std::string> uids;
  std::map<runtime::Endpoint, std::string> places;
  table.EachTable("resolver", [&](Table& inner) {
    dns::ResolverSettings r = ReadResolver(inner);
    if (!uids.insert(r.uid).second) {
      inner.Fail("uid", Quoted(r.uid) + " is given before; give each resolver a uid of its own");
    }
    const auto [place, is_new] = places.emplace(r.endpoint, r.uid);
    if (!is_new) {
      inner.Fail("endpoint", "is that of resolver " + Quoted(place->second) + ", too; take one of them out");
    }
    if (listen.contains(r.endpoint)) {
      inner.Fail("endpoint", "is an address of dns.listen: queries would go round; name the resolver's own");
    }
    dns.resolvers.push_back(std::move(r));
  });
  if (dns.resolvers.empty()) table.Fail("resolver", "there is none; add one with [[dns.resolver]]");
  return dns;
}

// The token that the file holds. It lets in whoever can read it, so nobody else may.
std::string ReadToken(const Table& table, const std::string& path) {
  struct stat info {};
  std::ifstream stream(path);
  std::string token;
  if (::stat(path.c_str(), &info) != 0 || !stream || !std::getline(stream, token)) {
    table.Fail("token_file", path + " cannot be read; put a token into it, as from openssl rand -hex 16");
  }
  if ((info.st_mode & (S_IRWXG | S_IRWXO)) != 0) {
    table.Fail("token_file", path + " is open to others; chmod 600 it");
  }
  const bool visible = std::all_of(token.begin(), token.end(), [](char c) { return c > ' ' && c < 127; });
  if (token.size() < kLeastToken || token.size() > kMostToken || !visible) {
    table.Fail("token_file", path + ": its first line is no token; make it 16 to 256 visible characters");
  }
  return token;
}

admin::Settings ReadAdmin(Table& table) {
  admin::Settings admin;
  const std::string listen = table.NeededText("listen", "unix:/run/mothrack/admin.sock");
  const auto token_file = table.Text("token_file");
  if (listen.starts_with(kUnix)) {
    admin.unix_path = listen.substr(kUnix.size());
    if (!admin.unix_path.starts_with('/') || admin.unix_path.size() >= sizeof(sockaddr_un::sun_path)) {
      table.Fail("listen", "is no path of a Unix socket; give a full path of at most " +
                               std::to_string(sizeof(sockaddr_un::sun_path) - 1) + " bytes");
    }
    if (token_file) table.Fail("token_file", "a Unix socket takes none: its mode guards it; take it out");
    return admin;
  }
  admin.endpoint = runtime::ParseEndpoint(listen);
  if (!admin.endpoint || !admin.endpoint->address().is_loopback()) {
    table.Fail("listen", Quoted(listen) +
                             " is neither a Unix socket nor a loopback address; write it as "
                             "\"unix:/run/mothrack/admin.sock\" or \"127.0.0.1:7080\"");
  }
  if (!token_file) {
    table.Fail("listen", "an address lets anyone on the machine in; add token_file, or use a Unix socket");
  }
  admin.token_file = *token_file;
  admin.token = ReadToken(table, admin.token_file);
  return admin;
}

#ifdef MOTHRACK_WITH_PEERS
class PeersSection : public gossip::Source {
 public:
  explicit PeersSection(Table& table) : table_(table) {}
  std::optional<std::string> Text(const char* key) override { return table_.Text(key); }
  std::optional<std::int64_t> Number(const char* key, std::int64_t least, std::int64_t most) override {
    return table_.WholeOf(key, least, most);
  }
  std::optional<std::vector<std::string>> Texts(const char* key) override {
    std::vector<std::string> texts;
    const bool given = table_.Each(key, [&](const toml::node& node, const std::string& where) {
      if (!node.is_string()) table_.Fail(node.source(), where, "is no text; put it in quotes");
      texts.push_back(*node.value<std::string>());
    });
    return given ? std::optional(std::move(texts)) : std::nullopt;
  }
  [[noreturn]] void Fail(const std::string& key, std::optional<std::size_t> element,
                         const std::string& what) override {
    if (!element) {
      table_.FailIfMisspelt(key);
      table_.Fail(key, what);
    }
    table_.Fail(table_.Get(key.c_str())->as_array()->get(*element)->source(),
                key + '[' + std::to_string(*element) + ']', what);
  }

 private:
  Table& table_;
};
#endif

std::string ReadAll(const std::string& path) {
  std::ifstream stream(path, std::ios::binary);
  if (!stream) throw ConfigError(path + ": cannot be read; check the path and its permissions");
  std::string text;
  char bytes[65536];
  while (stream.read(bytes, sizeof bytes), stream.gcount() > 0) {
    text.append(bytes, static_cast<std::size_t>(stream.gcount()));
    if (text.size() > kMostFile) throw ConfigError(path + ": is larger than 1 MiB; it can't be meant");
  }
  if (stream.bad()) throw ConfigError(path + ": cannot be read; it must be a file");
  return text;
}

std::string TypeName(std::uint16_t type) {
  for (const auto& [name, number] : kTypes) {
    if (number == type) return std::string(name);
  }
  return "TYPE" + std::to_string(type);
}

std::string OpcodeName(std::uint8_t opcode) {
  for (const auto& [name, number] : kOpcodes) {
    if (number == opcode) return std::string(name);
  }
  return {};
}

std::int64_t Milliseconds(runtime::Duration time) {
  return std::chrono::duration_cast<milliseconds>(time).count();
}

std::string ToText(const runtime::Endpoint& endpoint) {
  std::ostringstream text;
  text << endpoint;
  return text.str();
}

toml::table ToToml(const dns::Settings& dns) {
  toml::array listen;
  for (const runtime::Endpoint& endpoint : dns.listen) listen.push_back(ToText(endpoint));
  toml::array classes;
  for (const dns::ClassSettings& c : dns.classes) {
    toml::array qtypes;
    for (const std::uint16_t type : c.qtypes) qtypes.push_back(TypeName(type));
    classes.push_back(toml::table{{"name", c.name},
                                  {"opcode", OpcodeName(c.opcode)},
                                  {"qtypes", qtypes},
                                  {"aim_ms", Milliseconds(c.latency_objective)},
                                  {"deadline_ms", Milliseconds(c.deadline)},
                                  {"effect", c.effect == balancer::Effect::kSafe ? "safe" : "unsafe"},
                                  {"worth", c.priority_weight},
                                  {"late_worth", c.late_priority_weight}});
  }
  toml::array resolvers;
  for (const dns::ResolverSettings& r : dns.resolvers) {
    resolvers.push_back(toml::table{{"uid", r.uid},
                                    {"endpoint", ToText(r.endpoint)},
                                    {"state", r.leaving ? "leaving" : "active"},
                                    {"zone", r.zone},
                                    {"weight", r.weight}});
  }
  const auto whole = [](std::size_t value) { return static_cast<std::int64_t>(value); };
  return toml::table{{"listen", listen},
                     {"edns_size", whole(dns.edns_size)},
                     {"max_open_queries", whole(dns.max_open_queries)},
                     {"max_open_per_client", whole(dns.max_open_per_client)},
                     {"max_open_per_connection", whole(dns.max_open_per_connection)},
                     {"max_tcp_clients", whole(dns.max_tcp_clients)},
                     {"tcp_first_byte_ms", Milliseconds(dns.tcp_first_byte)},
                     {"tcp_idle_ms", Milliseconds(dns.tcp_idle)},
                     {"update_memory_ms", Milliseconds(dns.update_memory)},
                     {"max_attempts", whole(dns.max_attempts)},
                     {"connect_timeout_ms", Milliseconds(dns.connect_timeout)},
                     {"udp_ports", whole(dns.udp_ports)},
                     {"tcp_connections", whole(dns.tcp_connections)},
                     {"resolver_idle_ms", Milliseconds(dns.resolver_idle)},
                     {"class", classes},
                     {"resolver", resolvers}};
}

toml::table ToToml(const admin::Settings& admin) {
  if (!admin.endpoint) return toml::table{{"listen", std::string(kUnix) + admin.unix_path}};
  return toml::table{{"listen", ToText(*admin.endpoint)}, {"token_file", admin.token_file}};
}

#ifdef MOTHRACK_WITH_PEERS
toml::table ToToml(const gossip::Settings& peers) {
  toml::table table{{"listen", ToText(peers.listen)}, {"zone", peers.zone}, {"key_file", peers.key_file}};
  if (peers.advertise) table.insert("advertise", ToText(*peers.advertise));
  toml::array seeds;
  for (const runtime::Endpoint& seed : peers.seeds) seeds.push_back(ToText(seed));
  table.insert("seeds", seeds);
  for (const auto& time : gossip::kTimes) table.insert(time.key, (peers.terms.*time.at).count());
  for (const auto& count : gossip::kCounts) {
    table.insert(count.key, static_cast<std::int64_t>(peers.terms.*count.at));
  }
  return table;
}
#endif

}  // namespace

std::string HashOf(const std::string& bytes) {
  std::uint64_t hash = 0xcbf29ce484222325;
  for (const char c : bytes) hash = (hash ^ static_cast<unsigned char>(c)) * 0x100000001b3;
  std::string text(16, '0');
  for (std::size_t i = 16; i-- > 0; hash >>= 4) text[i] = "0123456789abcdef"[hash & 15];
  return text;
}

OperatorFile LoadOperatorFile(const std::string& path) {
  const std::string text = ReadAll(path);
  toml::table root;
  try {
    root = toml::parse(text, path);
  } catch (const toml::parse_error& e) {
    const auto& at = e.source().begin;
    throw ConfigError(path + ':' + std::to_string(at.line) + ':' + std::to_string(at.column) +
                      ": not TOML: " + std::string(e.description()) + "; mend the line");
  }
  OperatorFile file;
  file.path = path;
  file.hash = HashOf(text);
  Table table(path, "", root);
  if (const auto name = table.Text("name")) file.name = *name;
  if (file.name.empty()) table.Fail("name", "is empty; give a name, or take the line out");
  if (auto limits = table.Inner("limits")) {
    if (const auto sockets = limits->WholeOf("sockets", kLeastSockets, 1'000'000)) {
      file.sockets = static_cast<std::size_t>(*sockets);
    }
    limits->Finish();
  }
  if (auto dns = table.Inner("dns")) {
    file.dns = ReadDns(*dns);
    dns->Finish();
  }
  if (auto admin = table.Inner("admin")) {
    file.admin = ReadAdmin(*admin);
    admin->Finish();
  }
#ifdef MOTHRACK_WITH_PEERS
  if (auto peers = table.Inner("peers")) {
    PeersSection section(*peers);
    file.peers = gossip::ReadSettings(section, gossip::Role::kSidecar, "");
    peers->Finish();
  }
#else
  if (table.Get("peers") != nullptr) {
    table.Fail("peers", "this program was built without peers; build it with -DMOTHRACK_PEERS=ON");
  }
#endif
  table.Finish();
  return file;
}

std::string Effective(const OperatorFile& file) {
  toml::table root{{"name", file.name}};
  if (file.sockets) root.insert("limits", toml::table{{"sockets", static_cast<std::int64_t>(*file.sockets)}});
  if (file.dns) root.insert("dns", ToToml(*file.dns));
  if (file.admin) root.insert("admin", ToToml(*file.admin));
#ifdef MOTHRACK_WITH_PEERS
  if (file.peers) root.insert("peers", ToToml(*file.peers));
#endif
  std::ostringstream text;
  text << root << '\n';
  return text.str();
}

}  // namespace mothrack::sidecar
