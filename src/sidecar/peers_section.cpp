#include "sidecar/peers_section.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace mothrack::sidecar {
namespace {

class TomlSource : public gossip::SettingsSource {
 public:
  explicit TomlSource(TomlTable& table) : table_(table) {}
  std::optional<std::string> Text(const char* key) override { return table_.Text(key); }
  std::optional<std::int64_t> Number(const char* key, std::int64_t least, std::int64_t most) override {
    return table_.Integer(key, least, most);
  }
  std::optional<std::vector<std::string>> Texts(const char* key) override {
    std::vector<std::string> texts;
    const bool given = table_.ForEach(key, [&](const toml::node& node, const std::string& where) {
      if (!node.is_string()) table_.Fail(node.source(), where, "is not a string; put it in quotes");
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
    table_.Fail(table_.Find(key.c_str())->as_array()->get(*element)->source(),
                key + '[' + std::to_string(*element) + ']', what);
  }

 private:
  TomlTable& table_;
};

}  // namespace

gossip::Settings ReadPeers(TomlTable& table) {
  TomlSource source(table);
  return gossip::ReadSettings(source, gossip::Role::kSidecar, "");
}

toml::table ToToml(const gossip::Settings& peers) {
  toml::table table{{"listen", ToText(peers.listen)}, {"zone", peers.zone}, {"key_file", peers.key_file}};
  if (peers.advertise) table.insert("advertise", ToText(*peers.advertise));
  toml::array seeds;
  for (const runtime::Endpoint& seed : peers.seeds) seeds.push_back(ToText(seed));
  table.insert("seeds", seeds);
  for (const auto& time : gossip::kDurationSettings)
    table.insert(time.key, (peers.protocol.*time.field).count());
  for (const auto& count : gossip::kCountSettings) {
    table.insert(count.key, static_cast<std::int64_t>(peers.protocol.*count.field));
  }
  return table;
}

}  // namespace mothrack::sidecar
