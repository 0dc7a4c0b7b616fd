// Reads the TOML files that operators write for agents and mothrackctl.
#pragma once

#include <toml++/toml.h>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

#include "admin_client/admin_client.h"
#include "agent/file_error.h"
#include "rollout/types.h"
#include "rollout/wire.h"

namespace mothrack::agent {

// A table of a file, read key by key. It refers to the table that it was made with. Each reader throws
// FileError if the key's value is of another type or out of bounds, or if the key is missing and there is no
// fallback. The error names the file, the line and the key, and how to fix it.
class TomlSection {
 public:
  // `path` and `key` name the file and the table in error messages. An empty `key` stands for the file's root
  // table.
  TomlSection(std::string path, std::string key, const toml::table& table)
      : path_(std::move(path)), key_(std::move(key)), table_(table) {}

  // Throws FileError with the message "FILE:LINE: KEY: what".
  [[noreturn]] void Fail(const std::string& key, const std::string& what) const {
    const toml::node* node = key.empty() ? nullptr : table_.get(key);
    const auto line = (node != nullptr ? node->source() : table_.source()).begin.line;
    const std::string name = key_.empty() ? key : key.empty() ? key_ : key_ + '.' + key;
    throw FileError(path_ + ':' + std::to_string(line) + ": " + name + ": " + what);
  }

  bool Has(const std::string& key) { return Get(key) != nullptr; }
  std::string Text(const std::string& key, const std::optional<std::string>& fallback = std::nullopt) {
    const toml::node* node = Get(key);
    if (node == nullptr && fallback) return *fallback;
    if (node == nullptr) Fail(key, "is missing; give a string");
    if (!node->is_string()) Fail(key, "is not a string; put it in quotes");
    return *node->value<std::string>();
  }
  // Reads a name that is safe to use as part of a path.
  std::string Name(const std::string& key) {
    std::string name = Text(key);
    if (!rollout::IsValidName(name))
      Fail(key, "must have at most 64 letters, digits, '-', '_' or '.', and must not begin with a dot");
    return name;
  }
  rollout::Duration Milliseconds(const std::string& key, rollout::Duration fallback, rollout::Duration min,
                                 rollout::Duration max) {
    return rollout::Duration(Number(key, fallback.count(), min.count(), max.count()));
  }
  // Reads an integer from `min` to `max`, both included.
  std::int64_t Number(const std::string& key, std::int64_t fallback, std::int64_t min, std::int64_t max) {
    const toml::node* node = Get(key);
    if (node == nullptr) return fallback;
    const auto value = node->value_exact<std::int64_t>();
    if (!value || *value < min || *value > max) {
      Fail(key, "must be an integer from " + std::to_string(min) + " to " + std::to_string(max));
    }
    return *value;
  }
  // Strings() and StringMap() return an empty container if the key is missing.
  std::vector<std::string> Strings(const std::string& key) {
    std::vector<std::string> texts;
    const toml::node* node = Get(key);
    if (node == nullptr) return texts;
    if (!node->is_array()) Fail(key, "is not a list; write [\"...\"]");
    for (const toml::node& item : *node->as_array()) {
      if (!item.is_string()) Fail(key, "has an element that is not a string");
      texts.push_back(*item.value<std::string>());
    }
    return texts;
  }
  std::map<std::string, std::string> StringMap(const std::string& key) {
    std::map<std::string, std::string> pairs;
    const toml::node* node = Get(key);
    if (node == nullptr) return pairs;
    if (!node->is_table()) Fail(key, "is not a table; write { NAME = \"...\" }");
    for (const auto& [name, item] : *node->as_table()) {
      if (!item.is_string()) Fail(key, std::string(name.str()) + " is not a string");
      pairs[std::string(name.str())] = *item.value<std::string>();
    }
    return pairs;
  }
  std::optional<TomlSection> Table(const std::string& key) {
    const toml::node* node = Get(key);
    if (node == nullptr) return std::nullopt;
    if (!node->is_table()) Fail(key, "is not a table");
    return TomlSection(path_, key_.empty() ? key : key_ + '.' + key, *node->as_table());
  }
  std::vector<TomlSection> Tables(const std::string& key) {
    std::vector<TomlSection> tables;
    const toml::node* node = Get(key);
    if (node == nullptr) return tables;
    if (!node->is_array()) Fail(key, "is not a list of tables; write [[" + key + "]]");
    for (const toml::node& item : *node->as_array()) {
      if (!item.is_table()) Fail(key, "has an element that is not a table; write [[" + key + "]]");
      tables.emplace_back(path_, key + '[' + std::to_string(tables.size()) + ']', *item.as_table());
    }
    return tables;
  }
  // Reads the address of an admin API: "unix:/path" or a loopback address with its port.
  std::string Address(const std::string& key) {
    std::string address = Text(key);
    if (const std::string fault = admin_client::AddressError(address); !fault.empty()) Fail(key, fault);
    return address;
  }
  // Throws FileError if the table has a key that no reader was called with. Call it last.
  void RejectUnknownKeys() const {
    for (const auto& [key, value] : table_) {
      if (!known_keys_.contains(std::string(key.str()))) {
        Fail(std::string(key.str()), "is unknown; the known keys are " + KnownKeyList());
      }
    }
  }

 private:
  const toml::node* Get(const std::string& key) {
    known_keys_.insert(key);
    return table_.get(key);
  }
  std::string KnownKeyList() const {
    std::string names;
    for (const std::string& key : known_keys_) names += (names.empty() ? "" : ", ") + key;
    return names;
  }

  const std::string path_;
  const std::string key_;
  const toml::table& table_;
  std::set<std::string> known_keys_;
};

// Throws FileError if the file can't be read or is not valid TOML.
toml::table ParseToml(const std::string& path);

// Throws FileError if a file with secrets is accessible to others than its owner. `key` of the section names
// the file.
void RequirePrivateFile(const TomlSection& section, const std::string& key, const std::string& path);

}  // namespace mothrack::agent
