#include "sidecar/admin_section.h"

#include <sys/stat.h>
#include <sys/un.h>

#include <algorithm>
#include <fstream>
#include <string>
#include <string_view>

namespace mothrack::sidecar {
namespace {

constexpr std::string_view kUnixPrefix = "unix:";
// Length of a token in characters. The lower bound makes guessing infeasible: 16 hexadecimal digits are 64
// bits.
constexpr std::size_t kMinTokenLength = 16;
constexpr std::size_t kMaxTokenLength = 256;
// Longest path of a Unix socket in bytes, without the terminating zero.
constexpr std::size_t kMaxUnixPathLength = sizeof(sockaddr_un::sun_path) - 1;

// Returns the token, which is the first line of the file at `path`. Whoever can read the file has access to
// the admin API, so a file that other users may access is rejected.
std::string ReadToken(const TomlTable& table, const std::string& path) {
  struct stat info {};
  std::ifstream stream(path);
  std::string token;
  if (::stat(path.c_str(), &info) != 0 || !stream || !std::getline(stream, token)) {
    table.Fail("token_file",
               path + " cannot be read; create it with a token, for example from openssl rand -hex 16");
  }
  if ((info.st_mode & (S_IRWXG | S_IRWXO)) != 0) {
    table.Fail("token_file", path + " is accessible to other users; set its mode with chmod 600");
  }
  const bool visible = std::all_of(token.begin(), token.end(), [](char c) { return c > ' ' && c < 127; });
  if (token.size() < kMinTokenLength || token.size() > kMaxTokenLength || !visible) {
    table.Fail(
        "token_file",
        path + ": its first line is not a valid token; give 16 to 256 printable characters without spaces");
  }
  return token;
}

std::string ReadUnixPath(const TomlTable& table, const std::string& listen) {
  std::string path = listen.substr(kUnixPrefix.size());
  if (!path.starts_with('/') || path.size() > kMaxUnixPathLength) {
    table.Fail("listen", "is not a valid path of a Unix socket; give an absolute path of at most " +
                             std::to_string(kMaxUnixPathLength) + " bytes");
  }
  return path;
}

}  // namespace

admin::Settings ReadAdmin(TomlTable& table) {
  admin::Settings admin;
  const std::string listen = table.RequiredText("listen", "unix:/run/mothrack/admin.sock");
  const auto token_file = table.Text("token_file");
  if (listen.starts_with(kUnixPrefix)) {
    admin.unix_path = ReadUnixPath(table, listen);
    if (token_file)
      table.Fail("token_file", "is not valid with a Unix socket, which its file mode protects; remove it");
    return admin;
  }
  admin.endpoint = runtime::ParseEndpoint(listen);
  if (!admin.endpoint || !admin.endpoint->address().is_loopback()) {
    table.Fail("listen", Quoted(listen) +
                             " is neither a Unix socket nor a loopback address; write it as "
                             R"("unix:/run/mothrack/admin.sock" or "127.0.0.1:7080")");
  }
  if (!token_file) {
    table.Fail("listen",
               "every user of this machine can connect to an address; add token_file, or use a Unix socket");
  }
  admin.token_file = *token_file;
  admin.token = ReadToken(table, admin.token_file);
  return admin;
}

toml::table ToToml(const admin::Settings& admin) {
  if (!admin.endpoint) return toml::table{{"listen", std::string(kUnixPrefix) + admin.unix_path}};
  return toml::table{{"listen", ToText(*admin.endpoint)}, {"token_file", admin.token_file}};
}

}  // namespace mothrack::sidecar
