#include "gossip/settings.h"

#include <exception>
#include <set>
#include <sstream>

#include "gossip/keys.h"
#include "gossip/wire.h"

namespace mothrack::gossip {
namespace {

constexpr std::uint16_t kMinPort = 1024;  // lower ports need a privilege that a sidecar should not have
constexpr std::size_t kMaxSeeds = 64;     // enough for any fleet, since one that answers suffices

std::string Quoted(const std::string& text) { return '"' + text + '"'; }

// Parses an address that others send to, or that this member listens on.
runtime::Endpoint ReadAddress(SettingsSource& source, const std::string& key,
                              std::optional<std::size_t> element, const std::string& text, bool any_port) {
  const auto endpoint = runtime::ParseEndpoint(text);
  if (!endpoint) {
    source.Fail(key, element, Quoted(text) + " is no address and port; write it as \"127.0.0.1:7600\"");
  }
  if (endpoint->address().is_unspecified()) {
    source.Fail(key, element, Quoted(text) + " names no one address; name the one that the others send to");
  }
  // Datagrams are authenticated but not encrypted, so they must not cross a network that others can read.
  if (!endpoint->address().is_loopback()) {
    source.Fail(key, element, Quoted(text) + " is no loopback address, which is all that peers serve so far");
  }
  if (endpoint->port() == 0 && any_port) return *endpoint;
  if (endpoint->port() < kMinPort) {
    source.Fail(key, element,
                Quoted(text) + " has no port of 1024 or above; give one, as \"127.0.0.1:7600\"");
  }
  return *endpoint;
}

}  // namespace

// The bounds prevent probes so frequent that the fleet's datagrams become its load, and so rare that they
// detect nothing.
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

Settings ReadSettings(SettingsSource& source, Role role, const std::string& zone) {
  Settings settings;
  settings.role = role;
  const auto needed = [&](const char* key, const char* example) {
    const auto text = source.Text(key);
    if (!text || text->empty()) {
      source.Fail(key, std::nullopt, std::string("is missing; add it, as ") + key + " = " + Quoted(example));
    }
    return *text;
  };
  settings.listen = ReadAddress(source, "listen", std::nullopt, needed("listen", "127.0.0.1:7600"), true);
  if (const auto advertise = source.Text("advertise")) {
    settings.advertise = ReadAddress(source, "advertise", std::nullopt, *advertise, false);
  }
  settings.zone = source.Text("zone").value_or(zone);
  if (!IsValidName(settings.zone)) {
    source.Fail("zone", std::nullopt,
                "must be the hall it stands in: letters, digits, '-', '_' and '.', at most " +
                    std::to_string(kMaxNameSize) + ", no dot first");
  }
  settings.key_file = needed("key_file", "/etc/mothrack/peers.keys");
  try {
    Load(settings.key_file);
  } catch (const std::exception& e) {
    source.Fail("key_file", std::nullopt, e.what());
  }
  const auto seeds = source.Texts("seeds").value_or(std::vector<std::string>());
  if (seeds.size() > kMaxSeeds) {
    source.Fail("seeds", std::nullopt,
                "are more than " + std::to_string(kMaxSeeds) + "; one that answers is enough");
  }
  std::set<runtime::Endpoint> known;
  for (std::size_t i = 0; i < seeds.size(); ++i) {
    settings.seeds.push_back(ReadAddress(source, "seeds", i, seeds[i], false));
    if (!known.insert(settings.seeds.back()).second) {
      source.Fail("seeds", i, Quoted(seeds[i]) + " is given before; take one of them out");
    }
  }
  for (const DurationSetting& time : kDurationSettings) {
    if (const auto value = source.Number(time.key, time.least, time.most))
      settings.protocol.*time.field = Duration(*value);
  }
  for (const CountSetting& count : kCountSettings) {
    if (const auto value = source.Number(count.key, count.least, count.most)) {
      settings.protocol.*count.field = static_cast<std::size_t>(*value);
    }
  }
  if (settings.protocol.probe_timeout >= settings.protocol.probe_interval) {
    source.Fail("probe_patience_ms", std::nullopt,
                "leaves nothing of probe_ms for the others to be asked; keep it below that");
  }
  return settings;
}

std::string ToText(const runtime::Endpoint& endpoint) {
  std::ostringstream text;
  text << endpoint;
  return text.str();
}

}  // namespace mothrack::gossip
