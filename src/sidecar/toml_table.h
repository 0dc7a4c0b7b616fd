// Reads one table of a TOML file key by key. Every error is a ConfigError that names file, line, column and
// key and says how to fix it. Used by the readers of the operator file's sections, at the start and on each
// reload, on one thread.
#pragma once

#include <toml++/toml.h>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <string_view>

#include "runtime/address.h"
#include "runtime/clock.h"

namespace mothrack::sidecar {

// The text in double quotes, for error messages.
std::string Quoted(std::string_view text);

// A table whose keys are read one by one. A key that was not read is an error, see RejectUnknownKeys().
// `file` and `table` must outlive it. All members that read throw ConfigError.
class TomlTable {
 public:
  // `path`: the path of the table within the file, for example "dns.resolver[0]"; empty for the root.
  TomlTable(const std::string& file, std::string path, const toml::table& table);

  // Throws ConfigError for a key, or for an element of its list, at the position `at`; `what` says what is
  // wrong and how to fix it.
  [[noreturn]] void Fail(const toml::source_region& at, const std::string& key,
                         const std::string& what) const;
  // Likewise at the position of the key, or of the table if the key is missing.
  [[noreturn]] void Fail(const std::string& key, const std::string& what) const;

  // The value of a key; null if it is missing.
  const toml::node* Find(const char* key);
  std::optional<std::string> Text(const char* key);
  // A required, non-empty text; `example` is part of the error message.
  std::string RequiredText(const char* key, const char* example);
  std::optional<std::int64_t> Integer(const char* key, std::int64_t least, std::int64_t most);

  // These leave `target` unchanged if the key is missing.
  void ReadInteger(const char* key, std::int64_t least, std::int64_t most, std::size_t& target);
  // An integer duration in milliseconds, from 1 ms to an hour.
  void ReadMilliseconds(const char* key, runtime::Duration& target);
  void ReadNumber(const char* key, double least, double most, double& target);

  // Calls `read(element, "key[i]")` for each element of a list; false if the key is missing.
  bool ForEach(const char* key, const std::function<void(const toml::node&, const std::string&)>& read);
  // Likewise for a list of tables, `[[path.key]]`; keys that `read` does not read are errors.
  void ForEachTable(const char* key, const std::function<void(TomlTable&)>& read);
  // A table within this one; std::nullopt if it is missing.
  std::optional<TomlTable> Subtable(const char* key);

  // If a required key is missing: throws for an unknown key with a similar spelling, if there is one.
  void FailIfMisspelt(const std::string& missing) const;
  // To be called after all known keys were read; throws for any other key.
  void RejectUnknownKeys() const;

 private:
  std::string FullPath(const std::string& key) const;

  const std::string& file_;
  const std::string path_;
  const toml::table& table_;
  std::set<std::string> known_;  // keys that were read
};

// Reads an address and port. A wildcard address (0.0.0.0, ::) is an error; port 0, for which the kernel picks
// a free one, is valid only if `for_listening`.
runtime::Endpoint ReadEndpoint(const TomlTable& table, const toml::node& node, const std::string& key,
                               bool for_listening);

// The endpoint as text: "127.0.0.1:5300", "[::1]:5300".
std::string ToText(const runtime::Endpoint& endpoint);

}  // namespace mothrack::sidecar
