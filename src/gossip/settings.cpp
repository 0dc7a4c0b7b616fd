#include "gossip/settings.h"

#include <exception>
#include <set>
#include <sstream>

#include "gossip/keys.h"
#include "gossip/wire.h"

namespace mothrack::gossip {
namespace {

constexpr std::uint16_t kMinPort = 1024;  // lower ports need a privilege that a sidecar should not have
constexpr std::size_t kMaxSeeds = 64;     // enough for any fleet, since one seed that answers suffices

std::string Quoted(const std::string& text) { return '"' + text + '"'; }

// Parses an address that other members send to, or that this member listens on. `any_port`: port 0 is
// allowed.
runtime::Endpoint ReadAddress(SettingsSource& source, const std::string& key,
                              std::optional<std::size_t> element, const std::string& text, bool any_port) {
  const auto endpoint = runtime::ParseEndpoint(text);
  if (!endpoint) {
    source.Fail(key, element, Quoted(text) + " is not an address and port; write it as \"127.0.0.1:7600\"");
  }
  if (endpoint->address().is_unspecified()) {
    source.Fail(key, element,
                Quoted(text) + " is not a single address; give the one that other members send to");
  }
  // Datagrams are authenticated but not encrypted, so they must not cross a network that others can read.
  if (!endpoint->address().is_loopback()) {
    source.Fail(key, element,
                Quoted(text) + " is not a loopback address; give one, because peers support no other so far");
  }
  if (endpoint->port() == 0 && any_port) return *endpoint;
  if (endpoint->port() < kMinPort) {
    source.Fail(key, element,
                Quoted(text) + " has no port of 1024 or above; give one, for example \"127.0.0.1:7600\"");
  }
  return *endpoint;
}

}  // namespace

// The bounds prevent probes that are so frequent that they load the fleet, or so rare that they detect
// nothing in time.
const std::vector<DurationSetting> kDurationSettings = {
    {"probe_ms", &ProtocolConfig::probe_interval, 50, 60'000},
    {"probe_patience_ms", &ProtocolConfig::probe_timeout, 10, 30'000},
    {"gossip_ms", &ProtocolConfig::gossip_interval, 20, 10'000},
    {"digest_ms", &ProtocolConfig::digest_interval, 100, 600'000},
    {"remember_dead_ms", &ProtocolConfig::dead_retention, 10'000, 3'600'000}};
const std::vector<CountSetting> kCountSettings = {
    {"indirect", &ProtocolConfig::indirect_probes, 0, 16},
    {"fanout", &ProtocolConfig::fanout, 1, 16},
    {"datagrams_per_s", &ProtocolConfig::datagrams_per_s, 10, 1000}};

Settings ReadSettings(SettingsSource& source, Role role, const std::string& default_zone) {
  Settings settings;
  settings.role = role;
  const auto require_text = [&](const char* key, const char* example) {
    const auto text = source.Text(key);
    if (!text || text->empty()) {
      source.Fail(key, std::nullopt,
                  std::string("is missing; add it, for example ") + key + " = " + Quoted(example));
    }
    return *text;
  };
  settings.listen =
      ReadAddress(source, "listen", std::nullopt, require_text("listen", "127.0.0.1:7600"), true);
  if (const auto advertise = source.Text("advertise")) {
    settings.advertise = ReadAddress(source, "advertise", std::nullopt, *advertise, false);
  }
  settings.zone = source.Text("zone").value_or(default_zone);
  if (!IsValidName(settings.zone)) {
    source.Fail("zone", std::nullopt,
                "must name the zone of this machine: letters, digits, '-', '_' and '.', at most " +
                    std::to_string(kMaxNameSize) + ", not starting with a dot");
  }
  settings.key_file = require_text("key_file", "/etc/mothrack/peers.keys");
  try {
    LoadKeys(settings.key_file);
  } catch (const std::exception& e) {
    source.Fail("key_file", std::nullopt, e.what());
  }
  const auto seeds = source.Texts("seeds").value_or(std::vector<std::string>());
  if (seeds.size() > kMaxSeeds) {
    source.Fail("seeds", std::nullopt,
                "are more than " + std::to_string(kMaxSeeds) + "; one that answers is enough");
  }
  std::set<runtime::Endpoint> seen;
  for (std::size_t i = 0; i < seeds.size(); ++i) {
    settings.seeds.push_back(ReadAddress(source, "seeds", i, seeds[i], false));
    if (!seen.insert(settings.seeds.back()).second) {
      source.Fail("seeds", i, Quoted(seeds[i]) + " is listed twice; remove one of them");
    }
  }
  for (const DurationSetting& setting : kDurationSettings) {
    if (const auto value = source.Number(setting.key, setting.least, setting.most))
      settings.protocol.*setting.field = Duration(*value);
  }
  for (const CountSetting& setting : kCountSettings) {
    if (const auto value = source.Number(setting.key, setting.least, setting.most)) {
      settings.protocol.*setting.field = static_cast<std::size_t>(*value);
    }
  }
  if (settings.protocol.probe_timeout >= settings.protocol.probe_interval) {
    source.Fail("probe_patience_ms", std::nullopt,
                "leaves no time within probe_ms to probe through other members; set it below probe_ms");
  }
  return settings;
}

std::string ToText(const runtime::Endpoint& endpoint) {
  std::ostringstream text;
  text << endpoint;
  return text.str();
}

}  // namespace mothrack::gossip
