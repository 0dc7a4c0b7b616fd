// The operator's file: valid contents, and the error for each kind of invalid ones.
#include "sidecar/operator_file.h"

#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <string>

#include "gtest/gtest.h"

namespace mothrack {
namespace {

class TemporaryFile {
 public:
  explicit TemporaryFile(const std::string& text)
      : path_(std::filesystem::temp_directory_path() / ("operator-" + std::to_string(::getpid()) + ".toml")) {
    std::ofstream(path_) << text;
  }
  ~TemporaryFile() { std::filesystem::remove(path_); }
  std::string path() const { return path_; }

 private:
  std::string path_;
};

sidecar::OperatorFile Load(const std::string& text) {
  const TemporaryFile file(text);
  return sidecar::LoadOperatorFile(file.path());
}

// The error for a file with this text, without its path, as `line:column: what`; "accepted" if there is none.
std::string LoadError(const std::string& text) {
  const TemporaryFile file(text);
  try {
    sidecar::LoadOperatorFile(file.path());
  } catch (const sidecar::ConfigError& e) {
    const std::string what = e.what();
    EXPECT_TRUE(what.starts_with(file.path() + ":")) << what;
    EXPECT_EQ(what.find('\n'), std::string::npos) << what;
    return what.substr(file.path().size() + 1);
  }
  return "accepted";
}

const std::string kDns = "[dns]\nlisten = [\"127.0.0.1:5300\"]\n";
const std::string kResolver = "[[dns.resolver]]\nuid = \"r1\"\nendpoint = \"127.0.0.1:5301\"\n";

TEST(OperatorFile, OfTheRepositoryIsValid) {
  const auto file = sidecar::LoadOperatorFile(MOTHRACK_DEPLOY_FILE);
  ASSERT_TRUE(file.dns);
  EXPECT_EQ(file.dns->listen.size(), 1U);
  EXPECT_EQ(file.dns->resolvers.size(), 2U);
}

TEST(OperatorFile, EffectiveSettingsLoadAsTheSame) {
  const auto file = Load(
      "name = \"n\"\n[limits]\nsockets = 100\n" + kDns + "edns_size = 1400\n" +
      "[[dns.class]]\nname = \"big\"\nopcode = \"QUERY\"\nqtypes = [\"TXT\", \"TYPE999\"]\naim_ms = 5\n" +
      kResolver + "state = \"leaving\"\nzone = \"bole-hall\"\nweight = 2.5\n");
  const std::string effective = sidecar::EffectiveSettings(file);
  const auto again = Load(effective);
  EXPECT_EQ(sidecar::EffectiveSettings(again), effective);
  ASSERT_TRUE(again.dns);
  EXPECT_EQ(again.sockets, 100U);
  EXPECT_EQ(again.dns->edns_size, 1400);
  EXPECT_EQ(again.dns->classes[0].qtypes, (std::vector<std::uint16_t>{16, 999}));
  EXPECT_EQ(again.dns->classes.size(), 4U) << "the default classes follow that of the file";
  EXPECT_TRUE(again.dns->resolvers[0].leaving);
  EXPECT_EQ(again.dns->resolvers[0].zone, "bole-hall");
}

TEST(OperatorFile, ErrorsNameThePositionAndTheRemedy) {
  const struct {
    std::string text;
    std::string position;
    std::string part;  // of the error message
  } cases[] = {
      {"[dns\n", "1:5: ", "not TOML"},
      {"a = 1\na = 2\n", "2:", "not TOML"},
      {"nam = \"x\"\n", "1:1: ", "did you mean \"name\"?"},
      {"name = 7\n", "1:8: ", "put it in quotes"},
      {"surprise = 1\n", "1:1: ", "remove it"},
      {"[limits]\nsockets = 3\n", "2:11: ", "from 64 to"},
      {"[limits]\nsockets = \"many\"\n", "2:11: ", "is not an integer"},
      {"dns = 3\n", "1:7: ", "begin it with [dns]"},
      {"[dns]\n" + kResolver, "1:1: ", "listen"},
      {"[dns]\nlisten = \"127.0.0.1:5300\"\n" + kResolver, "2:10: ", "put it in [ ]"},
      {"[dns]\nlisten = [\"127.0.0.1\"]\n" + kResolver, "2:11: ", "write it as \"127.0.0.1:5300\""},
      {"[dns]\nlisten = [\"0.0.0.0:53\"]\n" + kResolver, "2:11: ", "list each address"},
      {"[dns]\nlisten = [\"127.0.0.1:53\", \"127.0.0.1:53\"]\n" + kResolver, "2:27: ", "remove one of them"},
      {kDns, "1:1: ", "[[dns.resolver]]"},
      {kDns + "udp_prots = 4\n" + kResolver, "3:1: ", "did you mean \"udp_ports\"?"},
      {kDns + "edns_size = 100\n" + kResolver, "3:13: ", "from 512 to 4096"},
      {kDns + "tcp_idle_ms = -1\n" + kResolver, "3:15: ", "out of range"},
      {kDns + "tcp_idle_ms = 1.5\n" + kResolver, "3:15: ", "is not an integer"},
      {kDns + "resolver = 3\n", "3:12: ", "put it in [ ]"},
      {kDns + "[[dns.resolver]]\nendpoint = \"127.0.0.1:5301\"\n", "3:1: ", "uid"},
      {kDns + "[[dns.resolver]]\nuid = \"r\"\nendpont = \"127.0.0.1:5301\"\n",
       "5:1: ", "did you mean \"endpoint\"?"},
      {kDns + "[[dns.resolver]]\nuid = \"r\"\nendpoint = \"127.0.0.1:0\"\n", "5:12: ", "has no port"},
      {kDns + kResolver + "state = \"gone\"\n", "6:9: ", "\"active\" or \"leaving\""},
      {kDns + kResolver + "weight = 0\n", "6:10: ", "from 0.001"},
      {kDns + kResolver + "[[dns.resolver]]\nuid = \"r1\"\nendpoint = \"127.0.0.1:5302\"\n",
       "7:7: ", "its own uid"},
      {kDns + kResolver + "[[dns.resolver]]\nuid = \"r2\"\nendpoint = \"127.0.0.1:5301\"\n",
       "8:12: ", "also the endpoint of resolver \"r1\""},
      {kDns + "[[dns.resolver]]\nuid = \"r\"\nendpoint = \"127.0.0.1:5300\"\n", "5:12: ", "loop back"},
      {kDns + "[[dns.class]]\nname = \"c\"\nopcode = \"IQUERY\"\n" + kResolver, "5:10: ", "\"QUERY\""},
      {kDns + "[[dns.class]]\nname = \"c\"\nopcode = \"QUERY\"\nqtypes = [\"B\"]\n" + kResolver,
       "6:11: ", "not a record type"},
      {kDns + "[[dns.class]]\nname = \"c\"\nopcode = \"UPDATE\"\neffect = \"safe\"\n" + kResolver,
       "6:10: ", "must not be repeated"},
      {kDns + "[[dns.class]]\nname = \"c\"\nopcode = \"QUERY\"\neffect = \"keyed\"\n" + kResolver,
       "6:10: ", "\"safe\" or \"unsafe\""},
      {kDns + "[[dns.class]]\nname = \"c\"\nopcode = \"QUERY\"\naim_ms = 9000\n" + kResolver,
       "6:10: ", "beyond the deadline"},
      {kDns +
           "[[dns.class]]\nname = \"c\"\nopcode = \"QUERY\"\n[[dns.class]]\nname = \"c\"\nopcode = "
           "\"QUERY\"\n" +
           kResolver,
       "7:8: ", "its own name"},
  };
  for (const auto& row : cases) {
    const std::string error = LoadError(row.text);
    EXPECT_TRUE(error.starts_with(row.position)) << error << "\n" << row.text;
    EXPECT_NE(error.find(row.part), std::string::npos) << error << "\n" << row.text;
  }
}

TEST(OperatorFile, ThatCannotBeReadIsNamed) {
  try {
    sidecar::LoadOperatorFile("/nowhere/at/all.toml");
    FAIL();
  } catch (const sidecar::ConfigError& e) {
    EXPECT_NE(std::string(e.what()).find("/nowhere/at/all.toml: cannot be read"), std::string::npos);
  }
  EXPECT_NE(LoadError(std::string(2 << 20, '#')).find("1 MiB"), std::string::npos);
  EXPECT_THROW(sidecar::LoadOperatorFile("/tmp"), sidecar::ConfigError);
}

TEST(OperatorFile, AdminIsLocalOnly) {
  const std::string dns = kDns + kResolver;
  EXPECT_EQ(Load(dns + "[admin]\nlisten = \"unix:/run/a.sock\"\n").admin->unix_path, "/run/a.sock");
  EXPECT_FALSE(Load(dns).admin);
  const auto error = [](const std::string& admin) {
    return LoadError("[admin]\n" + admin + kDns + kResolver);
  };
  EXPECT_EQ(error(""),
            "1:1: admin.listen: is missing; add it, as listen = \"unix:/run/mothrack/admin.sock\"");
  EXPECT_EQ(
      error("listen = \"unix:a.sock\"\n"),
      "2:10: admin.listen: is not a valid path of a Unix socket; give an absolute path of at most 107 bytes");
  EXPECT_EQ(
      error("listen = \"unix:/" + std::string(107, 'a') + "\"\n"),
      "2:10: admin.listen: is not a valid path of a Unix socket; give an absolute path of at most 107 bytes");
  EXPECT_EQ(
      error("listen = \"10.0.0.1:7080\"\ntoken_file = \"/t\"\n"),
      "2:10: admin.listen: \"10.0.0.1:7080\" is neither a Unix socket nor a loopback address; write it as "
      "\"unix:/run/mothrack/admin.sock\" or \"127.0.0.1:7080\"");
  EXPECT_EQ(
      error("listen = \"127.0.0.1:7080\"\n"),
      "2:10: admin.listen: every user of this machine can connect to an address; add token_file, or use a "
      "Unix socket");
  EXPECT_EQ(
      error("listen = \"unix:/a\"\ntoken_file = \"/t\"\n"),
      "3:14: admin.token_file: is not valid with a Unix socket, which its file mode protects; remove it");
  EXPECT_EQ(error("lissten = \"unix:/a\"\n"), "2:1: admin.lissten: unknown key; did you mean \"listen\"?");
}

TEST(OperatorFile, HashIsFnv1aOfTheContents) {
  // The published values of FNV-1a, 64 bits.
  EXPECT_EQ(sidecar::HashOf(""), "cbf29ce484222325");
  EXPECT_EQ(sidecar::HashOf("foobar"), "85944171f73967e8");
  EXPECT_EQ(Load(kDns + kResolver).hash, sidecar::HashOf(kDns + kResolver));
}

}  // namespace
}  // namespace mothrack
