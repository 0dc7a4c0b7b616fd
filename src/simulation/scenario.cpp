#include "simulation/scenario.h"

#include <toml++/toml.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <fstream>
#include <set>
#include <sstream>

#include "simulation/simulator.h"

namespace mothrack::simulation {
namespace {

constexpr std::array<const char*, 13> kFaultKindNames = {
    "cut-zone", "lose-zone", "silent", "slow",  "errors", "flap",     "replace",
    "kill",     "restart",   "burst",  "crowd", "stale",  "impatient"};
constexpr std::array<const char*, 3> kEffectNames = {"safe", "keyed", "unsafe"};

// Reads the keys of one TOML table. Every error throws ScenarioError with table, key and remedy. A key that
// nothing has read is an error in RejectUnknownKeys.
class TableReader {
 public:
  TableReader(const toml::table* table, std::string name) : table_(table), name_(std::move(name)) {}

  [[noreturn]] void Fail(const std::string& key, const std::string& what) const {
    throw ScenarioError("[" + name_ + "] " + key + ": " + what);
  }
  void Number(const char* key, double& value, double min, double max) {
    const toml::node* node = FindNode(key);
    if (node == nullptr) return;
    const auto found = node->value<double>();
    if (!found || !(*found >= min && *found <= max)) {
      std::ostringstream range;
      range << "give a number from " << min << " to " << max;
      Fail(key, range.str());
    }
    value = *found;
  }
  void Count(const char* key, std::size_t& value, std::size_t max) {
    auto number = static_cast<double>(value);
    Number(key, number, 1, static_cast<double>(max));
    if (number != std::floor(number)) Fail(key, "give a whole number");
    value = static_cast<std::size_t>(number);
  }
  void Text(const char* key, std::string& value) {
    const toml::node* node = FindNode(key);
    if (node == nullptr) return;
    const auto found = node->value<std::string>();
    if (!found) Fail(key, "give a string in quotes");
    value = *found;
  }
  void Flag(const char* key, bool& value) {
    const toml::node* node = FindNode(key);
    if (node == nullptr) return;
    const auto found = node->value<bool>();
    if (!found) Fail(key, "give true or false");
    value = *found;
  }
  template <std::size_t N>
  std::size_t OneOf(const char* key, const std::array<const char*, N>& names) {
    std::string name;
    Text(key, name);
    const auto it = std::find(names.begin(), names.end(), name);
    std::string all;
    for (const char* n : names) all += (all.empty() ? "" : ", ") + std::string(n);
    if (it == names.end()) Fail(key, "'" + name + "' is unknown; give one of " + all);
    return static_cast<std::size_t>(it - names.begin());
  }
  const toml::node* FindNode(const char* key) {
    known_.insert(key);
    return table_ == nullptr ? nullptr : table_->get(key);
  }
  void RejectUnknownKeys() const {
    if (table_ == nullptr) return;
    for (const auto& [key, node] : *table_) {
      if (!known_.contains(std::string(key.str()))) Fail(std::string(key.str()), "there is no such key");
    }
  }

 private:
  const toml::table* table_;
  const std::string name_;
  std::set<std::string> known_;
};

// Applies a change of the form "table.key=value", or "key=value" for a key outside tables.
void ApplyChange(toml::table& root, const std::string& change) {
  const auto dot = change.find('.');
  const auto equals = change.find('=');
  if (equals == std::string::npos) {
    throw ScenarioError("--set " + change + ": give table.key=value");
  }
  const bool in_table = dot != std::string::npos && dot < equals;
  const std::string table = in_table ? change.substr(0, dot) : "";
  const std::string key = in_table ? change.substr(dot + 1, equals - dot - 1) : change.substr(0, equals);
  try {
    toml::table value = toml::parse("v = " + change.substr(equals + 1));
    toml::table* into = &root;
    if (in_table) {
      if (!root.contains(table)) root.insert(table, toml::table{});
      into = root.get(table)->as_table();
      if (into == nullptr) throw ScenarioError("--set " + change + ": '" + table + "' is not a table");
    }
    value.get("v")->visit([&](auto&& v) { into->insert_or_assign(key, v); });
  } catch (const toml::parse_error& e) {
    throw ScenarioError("--set " + change + ": " + std::string(e.description()));
  }
}

ClassLoad ReadClass(const toml::table& table) {
  ClassLoad c;
  TableReader reader(&table, "class");
  reader.Text("name", c.name);
  if (c.name.empty()) reader.Fail("name", "give a name");
  reader.Number("share", c.share, 0, 1e6);
  reader.Number("work_ms", c.work_ms, 0.01, 1e5);
  reader.Number("work_cv", c.work_cv, 0, 10);
  reader.Number("aim_ms", c.latency_objective_ms, 1, 1e6);
  reader.Number("deadline_ms", c.deadline_ms, 1, 1e6);
  reader.Number("worth", c.priority_weight, 0, 1e6);
  c.effect = static_cast<balancer::Effect>(reader.OneOf("effect", kEffectNames));
  if (c.deadline_ms < c.latency_objective_ms) reader.Fail("deadline_ms", "give no less than aim_ms");
  reader.RejectUnknownKeys();
  return c;
}

Fault ReadFault(const toml::table& table, const Scenario& s) {
  Fault f;
  TableReader reader(&table, "fault");
  f.kind = static_cast<FaultKind>(reader.OneOf("kind", kFaultKindNames));
  reader.Number("at_s", f.at_s, 0, s.length_s);
  reader.Number("len_s", f.len_s, 0, s.length_s);
  reader.Number("part", f.part, 0, 1);
  reader.Number("size", f.size, 0, 1000);
  reader.Text("zone", f.zone);
  const bool zoned = f.kind == FaultKind::kCutZone || f.kind == FaultKind::kLoseZone;
  if (zoned && std::find(s.zones.begin(), s.zones.end(), f.zone) == s.zones.end()) {
    reader.Fail("zone", "'" + f.zone + "' is not one of [servers] zones");
  }
  if (f.kind == FaultKind::kFlap && f.size < 0.1)
    reader.Fail("size", "give the time that a server stays down, at least 0.1 s");
  reader.RejectUnknownKeys();
  return f;
}

// Returns a reader for the table `name` of the file. An absent table reads as an empty one.
TableReader ReadSubtable(TableReader& top, const char* name) {
  const toml::node* node = top.FindNode(name);
  if (node != nullptr && !node->is_table()) top.Fail(name, "give a table");
  return {node == nullptr ? nullptr : node->as_table(), name};
}

std::vector<std::string> ReadZones(const TableReader& servers, const toml::node& node) {
  if (!node.is_array()) servers.Fail("zones", "give a list of names");
  std::vector<std::string> zones;
  for (const toml::node& zone : *node.as_array()) {
    if (!zone.is_string()) servers.Fail("zones", "give a list of names");
    zones.emplace_back(zone.value_or(""));
  }
  if (zones.empty()) servers.Fail("zones", "give at least one zone");
  return zones;
}

void ReadFleet(TableReader& top, Scenario& s) {
  TableReader fleet = ReadSubtable(top, "fleet");
  fleet.Count("sidecars", s.sidecars, 100'000);
  fleet.Number("skew", s.skew, 0, 10);
  fleet.Number("start_ms", s.start_ms, 0, 60'000);
  fleet.RejectUnknownKeys();
}

void ReadServers(TableReader& top, Scenario& s) {
  TableReader servers = ReadSubtable(top, "servers");
  servers.Count("count", s.servers, 100'000);
  if (const toml::node* zones = servers.FindNode("zones")) s.zones = ReadZones(servers, *zones);
  servers.Number("cores", s.cores, 1, 1024);
  servers.Number("slowest", s.slowest, 0.01, 100);
  servers.Number("fastest", s.fastest, 0.01, 100);
  servers.Number("queue_per_core", s.queue_per_core, 0, 1e6);
  servers.Number("thrash", s.thrash, 0, 10);
  servers.Number("thrash_at", s.thrash_at, 0, 1e6);
  servers.Number("cold_from", s.slow_start_initial_share, 0.01, 1);
  servers.Number("cold_s", s.slow_start_s, 0, 600);
  servers.Number("pause_every_s", s.pause_every_s, 0.1, 1e6);
  servers.Number("pause_ms", s.pause_ms, 0, 60'000);
  servers.Number("error_rate", s.error_rate, 0, 1);
  servers.Number("drain_s", s.drain_s, 0, 600);
  servers.RejectUnknownKeys();
}

void ReadNet(TableReader& top, Scenario& s) {
  TableReader net = ReadSubtable(top, "net");
  net.Number("same_ms", s.same_ms, 0, 10'000);
  net.Number("cross_ms", s.cross_ms, 0, 10'000);
  net.Number("jitter", s.jitter, 0, 5);
  net.Number("handshake_ms", s.handshake_ms, 0, 10'000);
  net.Number("notice_from_s", s.notice_from_s, 0, 600);
  net.Number("notice_to_s", s.notice_to_s, 0, 600);
  if (s.notice_to_s < s.notice_from_s) net.Fail("notice_to_s", "give no less than notice_from_s");
  net.RejectUnknownKeys();
}

void ReadLoad(TableReader& top, Scenario& s) {
  TableReader load = ReadSubtable(top, "load");
  load.Number("use", s.use, 0, 100);
  load.Number("wave", s.wave, 0, 1);
  load.Number("wave_s", s.wave_s, 1, 36'000);
  load.Number("retries", s.retries, 0, 100);
  load.Number("backoff_ms", s.backoff_ms, 1, 60'000);
  load.RejectUnknownKeys();
}

void ReadAllowedActions(TableReader& top, Scenario& s) {
  TableReader allow = ReadSubtable(top, "allow");
  allow.Count("max_attempts", s.max_attempts, 100);
  allow.Flag("second_copies", s.hedging);
  allow.RejectUnknownKeys();
}

void ReadExpectations(TableReader& top, Scenario& s) {
  TableReader must = ReadSubtable(top, "must");
  double served = -1;
  double recovers = -1;
  must.Number("served_at_least", served, 0, 1);
  must.Number("recovers_within_s", recovers, 0, 36'000);
  must.RejectUnknownKeys();
  if (served >= 0) s.served_at_least = served;
  if (recovers >= 0) s.recovers_within_s = recovers;
}

// Calls `read` with each [[name]] table of the file.
template <typename Read>
void ReadTables(TableReader& top, const char* name, Read read) {
  const toml::node* node = top.FindNode(name);
  if (node == nullptr) return;
  const std::string remedy = "write [[" + std::string(name) + "]]";
  if (!node->is_array()) top.Fail(name, remedy);
  for (const toml::node& entry : *node->as_array()) {
    if (!entry.is_table()) top.Fail(name, remedy);
    read(*entry.as_table());
  }
}

toml::table ParseToml(const std::string& text, const std::string& path) {
  try {
    return toml::parse(text, path);
  } catch (const toml::parse_error& e) {
    std::ostringstream where;
    where << path << ":" << e.source().begin.line << ": " << e.description();
    throw ScenarioError(where.str());
  }
}

// Throws ScenarioError with a text that does not include the path of the file.
Scenario ReadScenario(const toml::table& root) {
  Scenario s;
  TableReader top(&root, "top");
  top.Text("name", s.name);
  top.Text("about", s.about);
  top.Number("length_s", s.length_s, 1, 36'000);
  ReadFleet(top, s);
  ReadServers(top, s);
  ReadNet(top, s);
  ReadLoad(top, s);
  ReadAllowedActions(top, s);
  ReadExpectations(top, s);
  ReadTables(top, "class", [&](const toml::table& t) { s.classes.push_back(ReadClass(t)); });
  ReadTables(top, "fault", [&](const toml::table& t) { s.faults.push_back(ReadFault(t, s)); });
  top.RejectUnknownKeys();
  if (s.name.empty()) top.Fail("name", "give a name");
  if (s.classes.empty()) top.Fail("class", "give at least one [[class]]");
  double share = 0;
  for (const ClassLoad& c : s.classes) share += c.share;
  if (share <= 0) top.Fail("class", "give at least one class a share above 0");
  return s;
}

toml::table ServersToToml(const Scenario& s) {
  toml::array zones;
  for (const std::string& zone : s.zones) zones.push_back(zone);
  return toml::table{{"count", static_cast<std::int64_t>(s.servers)},
                     {"zones", zones},
                     {"cores", s.cores},
                     {"slowest", s.slowest},
                     {"fastest", s.fastest},
                     {"queue_per_core", s.queue_per_core},
                     {"thrash", s.thrash},
                     {"thrash_at", s.thrash_at},
                     {"cold_from", s.slow_start_initial_share},
                     {"cold_s", s.slow_start_s},
                     {"pause_every_s", s.pause_every_s},
                     {"pause_ms", s.pause_ms},
                     {"error_rate", s.error_rate},
                     {"drain_s", s.drain_s}};
}

toml::table ExpectationsToToml(const Scenario& s) {
  toml::table must;
  if (s.served_at_least) must.insert("served_at_least", *s.served_at_least);
  if (s.recovers_within_s) must.insert("recovers_within_s", *s.recovers_within_s);
  return must;
}

toml::array ClassesToToml(const Scenario& s) {
  toml::array classes;
  for (const ClassLoad& c : s.classes) {
    classes.push_back(toml::table{{"name", c.name},
                                  {"share", c.share},
                                  {"work_ms", c.work_ms},
                                  {"work_cv", c.work_cv},
                                  {"aim_ms", c.latency_objective_ms},
                                  {"deadline_ms", c.deadline_ms},
                                  {"worth", c.priority_weight},
                                  {"effect", kEffectNames.at(static_cast<std::size_t>(c.effect))}});
  }
  return classes;
}

toml::array FaultsToToml(const Scenario& s) {
  toml::array faults;
  for (const Fault& f : s.faults) {
    toml::table fault{
        {"kind", NameOf(f.kind)}, {"at_s", f.at_s}, {"len_s", f.len_s}, {"part", f.part}, {"size", f.size}};
    if (!f.zone.empty()) fault.insert("zone", f.zone);
    faults.push_back(fault);
  }
  return faults;
}

}  // namespace

const char* NameOf(FaultKind kind) { return kFaultKindNames.at(static_cast<std::size_t>(kind)); }

Scenario ParseScenario(const std::string& text, const std::string& path,
                       const std::vector<std::string>& changes) {
  toml::table root = ParseToml(text, path);
  try {
    for (const std::string& change : changes) ApplyChange(root, change);
    return ReadScenario(root);
  } catch (const ScenarioError& e) {
    throw ScenarioError(path + ": " + e.what());
  }
}

Scenario LoadScenario(const std::string& path, const std::vector<std::string>& changes) {
  std::ifstream file(path);
  if (!file) throw ScenarioError(path + ": cannot be read");
  std::ostringstream text;
  text << file.rdbuf();
  return ParseScenario(text.str(), path, changes);
}

std::string ToToml(const Scenario& s) {
  toml::table root{{"name", s.name},
                   {"about", s.about},
                   {"length_s", s.length_s},
                   {"fleet", toml::table{{"sidecars", static_cast<std::int64_t>(s.sidecars)},
                                         {"skew", s.skew},
                                         {"start_ms", s.start_ms}}},
                   {"servers", ServersToToml(s)},
                   {"net", toml::table{{"same_ms", s.same_ms},
                                       {"cross_ms", s.cross_ms},
                                       {"jitter", s.jitter},
                                       {"handshake_ms", s.handshake_ms},
                                       {"notice_from_s", s.notice_from_s},
                                       {"notice_to_s", s.notice_to_s}}},
                   {"load", toml::table{{"use", s.use},
                                        {"wave", s.wave},
                                        {"wave_s", s.wave_s},
                                        {"retries", s.retries},
                                        {"backoff_ms", s.backoff_ms}}},
                   {"allow", toml::table{{"max_attempts", static_cast<std::int64_t>(s.max_attempts)},
                                         {"second_copies", s.hedging}}}};
  toml::table must = ExpectationsToToml(s);
  if (!must.empty()) root.insert("must", must);
  root.insert("class", ClassesToToml(s));
  toml::array faults = FaultsToToml(s);
  if (!faults.empty()) root.insert("fault", faults);
  std::ostringstream text;
  text << root << '\n';
  return text.str();
}

double Scenario::FaultsEnd() const {
  double end = 0;
  for (const Fault& f : faults) end = std::max(end, f.at_s + f.len_s);
  return end;
}

balancer::Settings Scenario::SettingsOf(std::size_t self) const {
  balancer::Settings settings;
  for (const ClassLoad& c : classes) {
    balancer::RequestClass cls;
    cls.name = c.name;
    cls.latency_objective = Milliseconds(c.latency_objective_ms);
    cls.deadline = Milliseconds(c.deadline_ms);
    cls.effect = c.effect;
    cls.priority_weight = c.priority_weight;
    cls.key_window = Milliseconds(2 * c.deadline_ms);
    settings.classes.push_back(cls);
  }
  settings.zone = zones[self % zones.size()];
  settings.sidecar_count = sidecars;
  settings.sidecar_index = self;
  settings.limits.max_attempts = max_attempts;
  settings.limits.hedging = hedging;
  settings.limits.connect_timeout = std::chrono::milliseconds(200);
  settings.rules.slow_start_initial_share = slow_start_initial_share;
  settings.rules.slow_start_duration = SecondsOf(std::max(slow_start_s, 0.001));
  settings.rules.overload_multiple = 4;
  settings.rules.overload_window = std::chrono::seconds(1);
  return settings;
}

}  // namespace mothrack::simulation
