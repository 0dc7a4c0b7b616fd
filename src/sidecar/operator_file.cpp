#include "sidecar/operator_file.h"

#include <toml++/toml.h>

#include <cstdint>
#include <fstream>
#include <sstream>
#include <vector>

#include "sidecar/admin_section.h"
#include "sidecar/dns_section.h"
#include "sidecar/toml_table.h"
#ifdef MOTHRACK_WITH_PEERS
#include "sidecar/peers_section.h"
#endif

namespace mothrack::sidecar {
namespace {

// The maximum size of the file in bytes. A larger one means a wrong path, for example that of a log or a
// device.
constexpr std::size_t kMaxFileSize = std::size_t{1} << 20;
constexpr std::size_t kReadSize = 65536;
// Limits of open descriptors. The lower one covers those that are always open and a few for clients and
// upstreams.
constexpr std::int64_t kMinSockets = 64;
constexpr std::int64_t kMaxSockets = 1'000'000;

std::string ReadAll(const std::string& path) {
  std::ifstream stream(path, std::ios::binary);
  if (!stream) throw ConfigError(path + ": cannot be read; check the path and its permissions");
  std::string text;
  std::vector<char> bytes(kReadSize);
  while (stream.read(bytes.data(), kReadSize), stream.gcount() > 0) {
    text.append(bytes.data(), static_cast<std::size_t>(stream.gcount()));
    if (text.size() > kMaxFileSize) throw ConfigError(path + ": is larger than 1 MiB; check the path");
  }
  if (stream.bad()) throw ConfigError(path + ": cannot be read; it must be a file");
  return text;
}

toml::table Parse(const std::string& path, const std::string& text) {
  try {
    return toml::parse(text, path);
  } catch (const toml::parse_error& e) {
    const auto& at = e.source().begin;
    throw ConfigError(path + ':' + std::to_string(at.line) + ':' + std::to_string(at.column) +
                      ": not TOML: " + std::string(e.description()) + "; correct the line");
  }
}

void ReadPeersInto(TomlTable& root, OperatorFile& file) {
#ifdef MOTHRACK_WITH_PEERS
  if (auto peers = root.Subtable("peers")) {
    file.peers = ReadPeers(*peers);
    peers->RejectUnknownKeys();
  }
#else
  static_cast<void>(file);
  if (root.Find("peers") != nullptr) {
    root.Fail("peers", "this program was built without peers; build it with -DMOTHRACK_PEERS=ON");
  }
#endif
}

}  // namespace

std::string HashOf(const std::string& bytes) {
  constexpr std::uint64_t kOffsetBasis = 0xcbf29ce484222325;
  constexpr std::uint64_t kPrime = 0x100000001b3;
  constexpr std::size_t kHexDigits = 16;
  std::uint64_t hash = kOffsetBasis;
  for (const char c : bytes) hash = (hash ^ static_cast<unsigned char>(c)) * kPrime;
  std::string text(kHexDigits, '0');
  for (std::size_t i = kHexDigits; i-- > 0; hash >>= 4) text[i] = "0123456789abcdef"[hash & 15];
  return text;
}

OperatorFile LoadOperatorFile(const std::string& path) {
  const std::string text = ReadAll(path);
  const toml::table parsed = Parse(path, text);
  OperatorFile file;
  file.path = path;
  file.hash = HashOf(text);
  TomlTable root(path, "", parsed);
  if (const auto name = root.Text("name")) file.name = *name;
  if (file.name.empty()) root.Fail("name", "is empty; give a name, or remove the line");
  if (auto limits = root.Subtable("limits")) {
    if (const auto sockets = limits->Integer("sockets", kMinSockets, kMaxSockets)) {
      file.sockets = static_cast<std::size_t>(*sockets);
    }
    limits->RejectUnknownKeys();
  }
  if (auto dns = root.Subtable("dns")) {
    file.dns = ReadDns(*dns);
    dns->RejectUnknownKeys();
  }
  if (auto admin = root.Subtable("admin")) {
    file.admin = ReadAdmin(*admin);
    admin->RejectUnknownKeys();
  }
  ReadPeersInto(root, file);
  root.RejectUnknownKeys();
  return file;
}

std::string EffectiveSettings(const OperatorFile& file) {
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
