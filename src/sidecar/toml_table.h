// Reads one table of a TOML file key by key, and turns every fault into a ConfigError that names file, line,
// column and key and says how to mend it. Used by the readers of the operator file's sections, at start-up
// and on each reload, by one thread.
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

// The text between double quotes, for error messages.
std::string Quoted(std::string_view text);

// A table whose keys are read one by one. A key that none of the readers asked for is an error, see
// RejectUnknownKeys(). `file` and `table` must outlive it. All members that read throw ConfigError.
class TomlTable {
 public:
  // `path`: of the table within the file, as "dns.resolver[0]"; empty for the file's root.
  TomlTable(const std::string& file, std::string path, const toml::table& table);

  // Throws ConfigError for a key, or an element of its list, that stands at `at`.
  [[noreturn]] void Fail(const toml::source_region& at, const std::string& key,
                         const std::string& what) const;
  // The same where the key stands, or at the table's head where it is missing.
  [[noreturn]] void Fail(const std::string& key, const std::string& what) const;

  // The value of a key; null where it is missing.
  const toml::node* Find(const char* key);
  std::optional<std::string> Text(const char* key);
  // A text that must be there and not be empty; `example` is shown where it is not.
  std::string RequiredText(const char* key, const char* example);
  std::optional<std::int64_t> Integer(const char* key, std::int64_t least, std::int64_t most);

  // These leave `target` as it is where the key is missing.
  void ReadInteger(const char* key, std::int64_t least, std::int64_t most, std::size_t& target);
  // Whole milliseconds, from 1 to an hour.
  void ReadMilliseconds(const char* key, runtime::Duration& target);
  void ReadNumber(const char* key, double least, double most, double& target);

  // Calls `read(element, "key[i]")` for each element of a list; false where the key is missing.
  bool ForEach(const char* key, const std::function<void(const toml::node&, const std::string&)>& read);
  // The same for a list of tables, `[[path.key]]`, each of which must hold only what `read` asks for.
  void ForEachTable(const char* key, const std::function<void(TomlTable&)>& read);
  // A table within this one; nothing where it is missing.
  std::optional<TomlTable> Subtable(const char* key);

  // Where a required key is missing: fails at an unknown key that is spelt nearly as `missing`, if any.
  void FailIfMisspelt(const std::string& missing) const;
  // To be called once all known keys were read: any other is an error.
  void RejectUnknownKeys() const;

 private:
  std::string FullPath(const std::string& key) const;

  const std::string& file_;
  const std::string path_;
  const toml::table& table_;
  std::set<std::string> known_;  // keys that were asked for
};

// An address and port that is one address (not 0.0.0.0 or ::). Port 0 only where it is `for_listening`: the
// system picks one.
runtime::Endpoint ReadEndpoint(const TomlTable& table, const toml::node& node, const std::string& key,
                               bool for_listening);

// "127.0.0.1:5300", "[::1]:5300".
std::string ToText(const runtime::Endpoint& endpoint);

}  // namespace mothrack::sidecar
