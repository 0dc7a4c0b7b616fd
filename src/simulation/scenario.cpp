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

// Reads the keys of one TOML table. Throws ScenarioError with table, key and remedy on any error.
// RejectUnknownKeys() throws for a key that no reading function was called for.
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
    for (const char* known : names) all += (all.empty() ? "" : ", ") + std::string(known);
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
    value.get("v")->visit([&](auto&& new_value) { into->insert_or_assign(key, new_value); });
  } catch (const toml::parse_error& e) {
    throw ScenarioError("--set " + change + ": " + std::string(e.description()));
  }
}

ClassLoad ReadClass(const toml::table& table) {
  ClassLoad class_load;
  TableReader reader(&table, "class");
  reader.Text("name", class_load.name);
  if (class_load.name.empty()) reader.Fail("name", "give a name");
  reader.Number("share", class_load.share, 0, 1e6);
  reader.Number("work_ms", class_load.work_ms, 0.01, 1e5);
  reader.Number("work_cv", class_load.work_cv, 0, 10);
  reader.Number("aim_ms", class_load.latency_objective_ms, 1, 1e6);
  reader.Number("deadline_ms", class_load.deadline_ms, 1, 1e6);
  reader.Number("worth", class_load.priority_weight, 0, 1e6);
  class_load.effect = static_cast<balancer::Effect>(reader.OneOf("effect", kEffectNames));
  if (class_load.deadline_ms < class_load.latency_objective_ms)
    reader.Fail("deadline_ms", "give no less than aim_ms");
  reader.RejectUnknownKeys();
  return class_load;
}

Fault ReadFault(const toml::table& table, const Scenario& scenario) {
  Fault fault;
  TableReader reader(&table, "fault");
  fault.kind = static_cast<FaultKind>(reader.OneOf("kind", kFaultKindNames));
  reader.Number("at_s", fault.at_s, 0, scenario.length_s);
  reader.Number("len_s", fault.len_s, 0, scenario.length_s);
  reader.Number("part", fault.part, 0, 1);
  reader.Number("size", fault.size, 0, 1000);
  reader.Text("zone", fault.zone);
  const bool zoned = fault.kind == FaultKind::kCutZone || fault.kind == FaultKind::kLoseZone;
  if (zoned && std::find(scenario.zones.begin(), scenario.zones.end(), fault.zone) == scenario.zones.end()) {
    reader.Fail("zone", "'" + fault.zone + "' is not one of [servers] zones");
  }
  if (fault.kind == FaultKind::kFlap && fault.size < 0.1)
    reader.Fail("size", "give the time that a server stays down, at least 0.1 s");
  reader.RejectUnknownKeys();
  return fault;
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

void ReadFleet(TableReader& top, Scenario& scenario) {
  TableReader fleet = ReadSubtable(top, "fleet");
  fleet.Count("sidecars", scenario.sidecars, 100'000);
  fleet.Number("skew", scenario.skew, 0, 10);
  fleet.Number("start_ms", scenario.start_ms, 0, 60'000);
  fleet.RejectUnknownKeys();
}

void ReadServers(TableReader& top, Scenario& scenario) {
  TableReader servers = ReadSubtable(top, "servers");
  servers.Count("count", scenario.servers, 100'000);
  if (const toml::node* zones = servers.FindNode("zones")) scenario.zones = ReadZones(servers, *zones);
  servers.Number("cores", scenario.cores, 1, 1024);
  servers.Number("slowest", scenario.slowest, 0.01, 100);
  servers.Number("fastest", scenario.fastest, 0.01, 100);
  servers.Number("queue_per_core", scenario.queue_per_core, 0, 1e6);
  servers.Number("thrash", scenario.thrash, 0, 10);
  servers.Number("thrash_at", scenario.thrash_at, 0, 1e6);
  servers.Number("cold_from", scenario.slow_start_initial_share, 0.01, 1);
  servers.Number("cold_s", scenario.slow_start_s, 0, 600);
  servers.Number("pause_every_s", scenario.pause_every_s, 0.1, 1e6);
  servers.Number("pause_ms", scenario.pause_ms, 0, 60'000);
  servers.Number("error_rate", scenario.error_rate, 0, 1);
  servers.Number("drain_s", scenario.drain_s, 0, 600);
  servers.RejectUnknownKeys();
}

void ReadNet(TableReader& top, Scenario& scenario) {
  TableReader net = ReadSubtable(top, "net");
  net.Number("same_ms", scenario.same_ms, 0, 10'000);
  net.Number("cross_ms", scenario.cross_ms, 0, 10'000);
  net.Number("jitter", scenario.jitter, 0, 5);
  net.Number("handshake_ms", scenario.handshake_ms, 0, 10'000);
  net.Number("notice_from_s", scenario.notice_from_s, 0, 600);
  net.Number("notice_to_s", scenario.notice_to_s, 0, 600);
  if (scenario.notice_to_s < scenario.notice_from_s)
    net.Fail("notice_to_s", "give no less than notice_from_s");
  net.RejectUnknownKeys();
}

void ReadLoad(TableReader& top, Scenario& scenario) {
  TableReader load = ReadSubtable(top, "load");
  load.Number("use", scenario.use, 0, 100);
  load.Number("wave", scenario.wave, 0, 1);
  load.Number("wave_s", scenario.wave_s, 1, 36'000);
  load.Number("retries", scenario.retries, 0, 100);
  load.Number("backoff_ms", scenario.backoff_ms, 1, 60'000);
  load.RejectUnknownKeys();
}

void ReadAllowedActions(TableReader& top, Scenario& scenario) {
  TableReader allow = ReadSubtable(top, "allow");
  allow.Count("max_attempts", scenario.max_attempts, 100);
  allow.Flag("second_copies", scenario.hedging);
  allow.RejectUnknownKeys();
}

void ReadExpectations(TableReader& top, Scenario& scenario) {
  TableReader must = ReadSubtable(top, "must");
  // -1: the key is not in the file.
  double served_at_least = -1;
  double recovers_within_s = -1;
  must.Number("served_at_least", served_at_least, 0, 1);
  must.Number("recovers_within_s", recovers_within_s, 0, 36'000);
  must.RejectUnknownKeys();
  if (served_at_least >= 0) scenario.served_at_least = served_at_least;
  if (recovers_within_s >= 0) scenario.recovers_within_s = recovers_within_s;
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
  Scenario scenario;
  TableReader top(&root, "top");
  top.Text("name", scenario.name);
  top.Text("about", scenario.about);
  top.Number("length_s", scenario.length_s, 1, 36'000);
  ReadFleet(top, scenario);
  ReadServers(top, scenario);
  ReadNet(top, scenario);
  ReadLoad(top, scenario);
  ReadAllowedActions(top, scenario);
  ReadExpectations(top, scenario);
  ReadTables(top, "class", [&](const toml::table& table) { scenario.classes.push_back(ReadClass(table)); });
  ReadTables(top, "fault",
             [&](const toml::table& table) { scenario.faults.push_back(ReadFault(table, scenario)); });
  top.RejectUnknownKeys();
  if (scenario.name.empty()) top.Fail("name", "give a name");
  if (scenario.classes.empty()) top.Fail("class", "give at least one [[class]]");
  double share = 0;
  for (const ClassLoad& class_load : scenario.classes) share += class_load.share;
  if (share <= 0) top.Fail("class", "give at least one class a share above 0");
  return scenario;
}

toml::table ServersToToml(const Scenario& scenario) {
  toml::array zones;
  for (const std::string& zone : scenario.zones) zones.push_back(zone);
  return toml::table{{"count", static_cast<std::int64_t>(scenario.servers)},
                     {"zones", zones},
                     {"cores", scenario.cores},
                     {"slowest", scenario.slowest},
                     {"fastest", scenario.fastest},
                     {"queue_per_core", scenario.queue_per_core},
                     {"thrash", scenario.thrash},
                     {"thrash_at", scenario.thrash_at},
                     {"cold_from", scenario.slow_start_initial_share},
                     {"cold_s", scenario.slow_start_s},
                     {"pause_every_s", scenario.pause_every_s},
                     {"pause_ms", scenario.pause_ms},
                     {"error_rate", scenario.error_rate},
                     {"drain_s", scenario.drain_s}};
}

toml::table ExpectationsToToml(const Scenario& scenario) {
  toml::table must;
  if (scenario.served_at_least) must.insert("served_at_least", *scenario.served_at_least);
  if (scenario.recovers_within_s) must.insert("recovers_within_s", *scenario.recovers_within_s);
  return must;
}

toml::array ClassesToToml(const Scenario& scenario) {
  toml::array classes;
  for (const ClassLoad& class_load : scenario.classes) {
    classes.push_back(toml::table{{"name", class_load.name},
                                  {"share", class_load.share},
                                  {"work_ms", class_load.work_ms},
                                  {"work_cv", class_load.work_cv},
                                  {"aim_ms", class_load.latency_objective_ms},
                                  {"deadline_ms", class_load.deadline_ms},
                                  {"worth", class_load.priority_weight},
                                  {"effect", kEffectNames.at(static_cast<std::size_t>(class_load.effect))}});
  }
  return classes;
}

toml::array FaultsToToml(const Scenario& scenario) {
  toml::array faults;
  for (const Fault& fault : scenario.faults) {
    toml::table table{{"kind", NameOf(fault.kind)},
                      {"at_s", fault.at_s},
                      {"len_s", fault.len_s},
                      {"part", fault.part},
                      {"size", fault.size}};
    if (!fault.zone.empty()) table.insert("zone", fault.zone);
    faults.push_back(table);
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

std::string ToToml(const Scenario& scenario) {
  toml::table root{{"name", scenario.name},
                   {"about", scenario.about},
                   {"length_s", scenario.length_s},
                   {"fleet", toml::table{{"sidecars", static_cast<std::int64_t>(scenario.sidecars)},
                                         {"skew", scenario.skew},
                                         {"start_ms", scenario.start_ms}}},
                   {"servers", ServersToToml(scenario)},
                   {"net", toml::table{{"same_ms", scenario.same_ms},
                                       {"cross_ms", scenario.cross_ms},
                                       {"jitter", scenario.jitter},
                                       {"handshake_ms", scenario.handshake_ms},
                                       {"notice_from_s", scenario.notice_from_s},
                                       {"notice_to_s", scenario.notice_to_s}}},
                   {"load", toml::table{{"use", scenario.use},
                                        {"wave", scenario.wave},
                                        {"wave_s", scenario.wave_s},
                                        {"retries", scenario.retries},
                                        {"backoff_ms", scenario.backoff_ms}}},
                   {"allow", toml::table{{"max_attempts", static_cast<std::int64_t>(scenario.max_attempts)},
                                         {"second_copies", scenario.hedging}}}};
  toml::table must = ExpectationsToToml(scenario);
  if (!must.empty()) root.insert("must", must);
  root.insert("class", ClassesToToml(scenario));
  toml::array faults = FaultsToToml(scenario);
  if (!faults.empty()) root.insert("fault", faults);
  std::ostringstream text;
  text << root << '\n';
  return text.str();
}

double Scenario::FaultsEnd() const {
  double end = 0;
  for (const Fault& fault : faults) end = std::max(end, fault.at_s + fault.len_s);
  return end;
}

balancer::Settings Scenario::SettingsOf(std::size_t self) const {
  balancer::Settings settings;
  for (const ClassLoad& class_load : classes) {
    balancer::RequestClass request_class;
    request_class.name = class_load.name;
    request_class.latency_objective = Milliseconds(class_load.latency_objective_ms);
    request_class.deadline = Milliseconds(class_load.deadline_ms);
    request_class.effect = class_load.effect;
    request_class.priority_weight = class_load.priority_weight;
    request_class.key_window = Milliseconds(2 * class_load.deadline_ms);
    settings.classes.push_back(request_class);
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
