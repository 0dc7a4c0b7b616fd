// Fixture of the admin API tests: a directory for its socket and token, and operator files.
#pragma once

#include <sys/stat.h>

#include <filesystem>
#include <fstream>
#include <string>

#include "standins/peers.h"
#include "support/temporary_directory.h"

namespace mothrack::testing {

namespace fs = std::filesystem;

// A directory for the API's socket and token.
class AdminDirectory : public TemporaryDirectory {
 public:
  AdminDirectory() : TemporaryDirectory("admin") {}
  std::string socket() const { return File("admin.sock"); }
  std::string address() const { return "unix:" + socket(); }
  // Writes the token to a file with this mode and returns its path.
  std::string Token(const std::string& token, mode_t mode = 0600) const {
    std::ofstream(File("token")) << token << '\n';
    ::chmod(File("token").c_str(), mode);
    return File("token");
  }
};

// A section [admin] that listens at the address `listen`. `more`: its further lines.
inline std::string AdminSectionAt(const std::string& listen, const std::string& more = "") {
  return "[admin]\nlisten = \"" + listen + "\"\n" + more;
}

// A section [dns] with `count` resolvers, "r 0", "r 1" and so on, all at `endpoint` or each at a port of its
// own.
inline std::string DnsSection(int count, const std::string& endpoint = "") {
  std::string text = "[dns]\nlisten = [\"127.0.0.1:0\"]\n";
  for (int i = 0; i < count; ++i) {
    const std::string address = endpoint.empty() ? "127.0.0.1:" + std::to_string(1000 + i) : endpoint;
    text += "[[dns.resolver]]\nuid = \"r " + std::to_string(i) + "\"\nendpoint = \"" + address + "\"\n";
  }
  return text;
}

// The options of a node for HTTP with this operator file and known endpoint list.
inline Node::Options HttpOptions(const std::string& file, const json& known) {
  Node::Options options;
  options.known = known;
  options.operator_file = file;
  return options;
}

// The options of a node for DNS only, configured by this operator file.
inline Node::Options DnsOptions(const std::string& file) {
  Node::Options options;
  options.platform = false;
  options.operator_file = file;
  return options;
}

// The address of the admin API as the program logs it; empty if it logs none.
inline std::string AdminAddressOf(Node& node) {
  const std::string mark = "admin on ";
  std::string address;
  Eventually([&] {
    const std::string log = node.log();
    const auto at = log.find(mark);
    const auto end = at == std::string::npos ? at : log.find('\n', at);
    if (end == std::string::npos) return false;
    address = log.substr(at + mark.size(), end - at - mark.size());
    return true;
  });
  return address;
}

// Waits until the log has this text; false after a timeout.
inline bool Logs(Node& node, const std::string& text) {
  return Eventually([&] { return node.log().find(text) != std::string::npos; });
}

}  // namespace mothrack::testing
