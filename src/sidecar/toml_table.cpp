#include "sidecar/toml_table.h"

#include <algorithm>
#include <chrono>
#include <sstream>
#include <utility>
#include <vector>

#include "sidecar/config.h"

namespace mothrack::sidecar {
namespace {

// Edit distance up to which an unknown key counts as a misspelling of a known one.
constexpr std::size_t kMaxMisspeltDistance = 2;
// An hour in milliseconds: a longer timeout indicates a wrong unit.
constexpr std::int64_t kMaxMilliseconds = 3'600'000;

// Levenshtein distance of two words.
std::size_t EditDistance(std::string_view a, std::string_view b) {
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

}  // namespace

std::string Quoted(std::string_view text) { return '"' + std::string(text) + '"'; }

TomlTable::TomlTable(const std::string& file, std::string path, const toml::table& table)
    : file_(file), path_(std::move(path)), table_(table) {}

void TomlTable::Fail(const toml::source_region& at, const std::string& key, const std::string& what) const {
  throw ConfigError(file_ + ':' + std::to_string(at.begin.line) + ':' + std::to_string(at.begin.column) +
                    ": " + FullPath(key) + ": " + what);
}

void TomlTable::Fail(const std::string& key, const std::string& what) const {
  const toml::node* node = table_.get(key);
  Fail(node != nullptr ? node->source() : table_.source(), key, what);
}

const toml::node* TomlTable::Find(const char* key) {
  known_.insert(key);
  return table_.get(key);
}

std::optional<std::string> TomlTable::Text(const char* key) {
  const toml::node* node = Find(key);
  if (node == nullptr) return std::nullopt;
  if (!node->is_string()) Fail(key, "is not a string; put it in quotes");
  return *node->value<std::string>();
}

std::string TomlTable::RequiredText(const char* key, const char* example) {
  const auto text = Text(key);
  if (!text) {
    FailIfMisspelt(key);
    Fail(table_.source(), key, std::string("is missing; add it, as ") + key + " = " + Quoted(example));
  }
  if (text->empty()) Fail(key, std::string("is empty; write it as ") + Quoted(example));
  return *text;
}

std::optional<std::int64_t> TomlTable::Integer(const char* key, std::int64_t least, std::int64_t most) {
  const toml::node* node = Find(key);
  if (node == nullptr) return std::nullopt;
  const std::string range = "give an integer from " + std::to_string(least) + " to " + std::to_string(most);
  if (!node->is_integer()) Fail(key, "is not an integer; " + range);
  const auto value = *node->value<std::int64_t>();
  if (value < least || value > most) Fail(key, std::to_string(value) + " is out of range; " + range);
  return value;
}

void TomlTable::ReadInteger(const char* key, std::int64_t least, std::int64_t most, std::size_t& target) {
  if (const auto value = Integer(key, least, most)) target = static_cast<std::size_t>(*value);
}

void TomlTable::ReadMilliseconds(const char* key, runtime::Duration& target) {
  if (const auto value = Integer(key, 1, kMaxMilliseconds)) target = std::chrono::milliseconds(*value);
}

void TomlTable::ReadNumber(const char* key, double least, double most, double& target) {
  const toml::node* node = Find(key);
  if (node == nullptr) return;
  std::ostringstream range;
  range << "give a number from " << least << " to " << most;
  if (!node->is_number()) Fail(key, "is not a number; " + range.str());
  const auto value = *node->value<double>();
  if (!(value >= least && value <= most)) Fail(key, "is out of range; " + range.str());
  target = value;
}

bool TomlTable::ForEach(const char* key,
                        const std::function<void(const toml::node&, const std::string&)>& read) {
  const toml::node* node = Find(key);
  if (node == nullptr) return false;
  const toml::array* array = node->as_array();
  if (array == nullptr) Fail(key, "is not a list; put it in [ ]");
  for (std::size_t i = 0; i < array->size(); ++i) {
    read(*array->get(i), std::string(key) + '[' + std::to_string(i) + ']');
  }
  return true;
}

void TomlTable::ForEachTable(const char* key, const std::function<void(TomlTable&)>& read) {
  ForEach(key, [&](const toml::node& node, const std::string& where) {
    const toml::table* table = node.as_table();
    if (table == nullptr) {
      Fail(node.source(), where, "is not a table; begin it with [[" + FullPath(key) + "]]");
    }
    TomlTable inner(file_, FullPath(where), *table);
    read(inner);
    inner.RejectUnknownKeys();
  });
}

std::optional<TomlTable> TomlTable::Subtable(const char* key) {
  const toml::node* node = Find(key);
  if (node == nullptr) return std::nullopt;
  const toml::table* table = node->as_table();
  if (table == nullptr) Fail(key, "is not a table; begin it with [" + FullPath(key) + ']');
  return TomlTable(file_, FullPath(key), *table);
}

void TomlTable::FailIfMisspelt(const std::string& missing) const {
  for (const auto& [key, node] : table_) {
    const std::string name(key.str());
    if (known_.contains(name) || EditDistance(name, missing) > kMaxMisspeltDistance) continue;
    Fail(key.source(), name, "unknown key; did you mean " + Quoted(missing) + '?');
  }
}

void TomlTable::RejectUnknownKeys() const {
  for (const auto& [key, node] : table_) {
    const std::string name(key.str());
    if (known_.contains(name)) continue;
    std::string remedy = "remove it";
    std::size_t nearest = kMaxMisspeltDistance + 1;
    for (const std::string& known : known_) {
      const std::size_t distance = EditDistance(name, known);
      if (distance >= nearest) continue;
      nearest = distance;
      remedy = "did you mean " + Quoted(known) + '?';
    }
    Fail(key.source(), name, "unknown key; " + remedy);
  }
}

std::string TomlTable::FullPath(const std::string& key) const {
  return path_.empty() ? key : path_ + '.' + key;
}

runtime::Endpoint ReadEndpoint(const TomlTable& table, const toml::node& node, const std::string& key,
                               bool for_listening) {
  if (!node.is_string()) table.Fail(node.source(), key, "is not a string; write it as \"127.0.0.1:5300\"");
  const std::string text = *node.value<std::string>();
  const auto endpoint = runtime::ParseEndpoint(text);
  if (!endpoint) {
    table.Fail(node.source(), key,
               Quoted(text) + " is not an address and port; write it as \"127.0.0.1:5300\"");
  }
  // Not a wildcard: answers to datagrams must come from the address that was queried.
  if (endpoint->address().is_unspecified()) {
    table.Fail(node.source(), key, Quoted(text) + " is not a single address; list each address");
  }
  if (!for_listening && endpoint->port() == 0) {
    table.Fail(node.source(), key, Quoted(text) + " has no port; add the resolver's port, usually :53");
  }
  return *endpoint;
}

std::string ToText(const runtime::Endpoint& endpoint) {
  std::ostringstream text;
  text << endpoint;
  return text.str();
}

}  // namespace mothrack::sidecar
