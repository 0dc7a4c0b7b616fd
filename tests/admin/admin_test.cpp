// The admin API of the sidecar: its reports and commands, whom it rejects, and that nobody can block it or be
// blocked by it.

#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/un.h>
#include <unistd.h>

#include <atomic>
#include <filesystem>
#include <fstream>
#include <set>
#include <string>

#include "gtest/gtest.h"
#include "standins/admin_client.h"
#include "standins/dns_client.h"
#include "standins/dns_wire.h"
#include "standins/peers.h"
#include "standins/resolver.h"

namespace mothrack::testing {
namespace {

namespace fs = std::filesystem;

// A directory of the test's own, gone with it.
class Place {
 public:
  Place() {
    static std::atomic<int> count{0};
    path_ = fs::temp_directory_path() /
            ("mothrack-admin-" + std::to_string(::getpid()) + "-" + std::to_string(count++));
    fs::create_directory(path_);
  }
  ~Place() { fs::remove_all(path_); }
  std::string File(const std::string& name) const { return path_ / name; }
  std::string socket() const { return File("admin.sock"); }
  std::string address() const { return "unix:" + socket(); }
  std::string Token(const std::string& token, mode_t mode = 0600) const {
    std::ofstream(File("token")) << token << '\n';
    ::chmod(File("token").c_str(), mode);
    return File("token");
  }

 private:
  fs::path path_;
};

std::string At(const std::string& listen, const std::string& more = "") {
  return "[admin]\nlisten = \"" + listen + "\"\n" + more;
}

std::string Resolvers(int count, const std::string& endpoint = "") {
  std::string text = "[dns]\nlisten = [\"127.0.0.1:0\"]\n";
  for (int i = 0; i < count; ++i) {
    const std::string place = endpoint.empty() ? "127.0.0.1:" + std::to_string(1000 + i) : endpoint;
    text += "[[dns.resolver]]\nuid = \"r " + std::to_string(i) + "\"\nendpoint = \"" + place + "\"\n";
  }
  return text;
}

Node::Options Http(const std::string& file, const json& known) {
  Node::Options options;
  options.known = known;
  options.operator_file = file;
  return options;
}

Node::Options Dns(const std::string& file) {
  Node::Options options;
  options.platform = false;
  options.operator_file = file;
  return options;
}

// Where the program says that its admin API listens; empty where it says nothing.
std::string AdminAddressOf(Node& node) {
  const std::string mark = "admin on ";
  std::string place;
  Eventually([&] {
    const std::string log = node.log();
    const auto at = log.find(mark);
    const auto end = at == std::string::npos ? at : log.find('\n', at);
    if (end == std::string::npos) return false;
    place = log.substr(at + mark.size(), end - at - mark.size());
    return true;
  });
  return place;
}

bool Logs(Node& node, const std::string& text) {
  return Eventually([&] { return node.log().find(text) != std::string::npos; });
}

TEST(AdminApi, ReportsTheProcessTheConfigurationAndTheUpstreams) {
  const Place place;
  Upstream upstream(Upstream::Echo("u"));
  Node node(Http(At(place.address()),
                 List({Target("u1", upstream.address()), Target("u2", "127.0.0.1:9", "leaving")})));
  ASSERT_TRUE(node.Listening());
  ASSERT_EQ(AdminAddressOf(node), place.address());
  struct stat info {};
  ASSERT_EQ(::stat(place.socket().c_str(), &info), 0);
  EXPECT_EQ(info.st_mode & 0777, 0600U);

  Client client(node.port());
  for (int i = 0; i < 3; ++i) ASSERT_TRUE(client.Get("/page/k", "v" + std::to_string(i)));
  const auto answer = AdminClient(place.address()).Get("/v1/status");
  ASSERT_TRUE(answer);
  EXPECT_EQ(answer->status, 200);
  const json& body = answer->body;
  EXPECT_EQ(body["name"], "t1");
  EXPECT_EQ(body["state"], "ready");
  EXPECT_LE(body["since_ms"], body["now_ms"]);
  EXPECT_EQ(body["configuration"]["generation"], 1);
  EXPECT_EQ(body["configuration"]["hash"].get<std::string>().size(), 16U);
  EXPECT_EQ(body["process"]["pid"], node.pid());
  EXPECT_EQ(body["missed_wakeups"], 0);
  EXPECT_GT(body["process"]["memory_bytes"], 1 << 20);
  EXPECT_GE(body["process"]["descriptors"], 8);
  EXPECT_LE(body["process"]["descriptors"], node.descriptors() + 1) << "with the connection that asked";

  ASSERT_EQ(body["pools"].size(), 1U);
  const json& pool = body["pools"][0];
  EXPECT_EQ(pool["open"], 0);
  ASSERT_EQ(pool["counters"].size(), 1U) << pool;
  EXPECT_EQ(pool["counters"][0]["class"], "page");
  EXPECT_EQ(pool["counters"][0]["taken"], 3);
  EXPECT_EQ(pool["counters"][0]["served"], 3);
  EXPECT_EQ(pool["counters"][0]["failed"], 0);
  ASSERT_EQ(pool["upstreams"].size(), 2U);
  EXPECT_EQ(pool["upstreams"][0]["id"], "u1");
  EXPECT_EQ(pool["upstreams"][0]["state"], "serving");
  EXPECT_EQ(pool["upstreams"][0]["in_flight"], 0);
  EXPECT_EQ(pool["upstreams"][1]["state"], "draining");
  EXPECT_FALSE(pool["more"]);
}

TEST(AdminApi, IsOffUnlessTheFileAsks) {
  Node node(Dns(Resolvers(1)));
  ASSERT_TRUE(node.DnsListening());
  const int without = node.descriptors();
  const Place place;
  Node with(Dns(Resolvers(1) + At(place.address())));
  ASSERT_EQ(AdminAddressOf(with), place.address());
  EXPECT_EQ(with.descriptors(), without + 1);
  EXPECT_EQ(node.log().find("admin"), std::string::npos);
}

TEST(AdminApi, CountsRequestsInFlightRejectedFailedAndDisconnected) {
  const Place place;
  std::atomic<bool> answers{false};
  Upstream upstream([&](Wire& wire, const Request&, int) {
    Eventually([&] { return answers.load(); });
    wire.Answer(200, "late");
  });
  Node node(Http(At(place.address()), List({Target("u1", upstream.address())})));
  ASSERT_TRUE(node.Listening());
  const AdminClient admin(place.address());
  Client client(node.port());
  ASSERT_TRUE(client.Send(PostText("/submit/k", "a1", "x", 10000)));
  EXPECT_TRUE(Eventually([&] {
    const auto answer = admin.Get("/v1/status");
    return answer && answer->status == 200 && answer->body["pools"][0]["open"] == 1 &&
           answer->body["pools"][0]["upstreams"][0]["in_flight"] == 1;
  }));
  {
    Client leaving(node.port());
    ASSERT_TRUE(leaving.Send(PostText("/submit/k", "a2", "x", 10000)));
    EXPECT_TRUE(Eventually([&] {
      const auto answer = admin.Get("/v1/status");
      return answer && answer->status == 200 && answer->body["pools"][0]["open"] == 2;
    }));
  }
  EXPECT_TRUE(Eventually([&] {
    const auto answer = admin.Get("/v1/status");
    return answer && answer->status == 200 && answer->body["pools"][0]["counters"][0]["left"] == 1;
  }));
  answers = true;
  EXPECT_TRUE(Eventually([&] {
    const auto answer = admin.Get("/v1/status");
    return answer && answer->status == 200 && answer->body["pools"][0]["counters"][0]["served"] == 1 &&
           answer->body["pools"][0]["upstreams"][0]["in_flight"] == 0;
  }));
}

TEST(AdminApi, ReportsWhichUpstreamIsEjectedUntilWhenAndWhy) {
  const Place place;
  StandinResolver dead([](StandinResolver::Turn& turn) {
    AnswerSpec spec;
    spec.rcode = 2;
    turn.Answer(spec);
  });
  StandinResolver good(StandinResolver::Echo());
  Node node(Dns("[dns]\nlisten = [\"127.0.0.1:0\"]\n[[dns.resolver]]\nuid = \"dead\"\nendpoint = \"" +
                dead.address() + "\"\n[[dns.resolver]]\nuid = \"good\"\nendpoint = \"" + good.address() +
                "\"\n" + At(place.address())));
  ASSERT_TRUE(node.DnsListening());
  DnsUdpClient client(node.dns_port());
  const AdminClient admin(place.address());
  json ejected;
  std::uint16_t id = 0;
  EXPECT_TRUE(Eventually([&] {
    for (int i = 0; i < 20; ++i) {
      QuerySpec spec;
      spec.name = "a.org";
      spec.id = id++;
      if (!client.Ask(MakeQuery(spec))) return false;
    }
    const auto answer = admin.Get("/v1/status");
    if (!answer || answer->status != 200) return false;
    ejected = answer->body["pools"][0]["upstreams"][0];
    return ejected["id"] == "dead" && ejected.contains("ejected") &&
           ejected["ejected"]["until_ms"] > answer->body["now_ms"];
  }));
  EXPECT_NE(ejected["ejected"]["why"].get<std::string>().find("failures in a row"), std::string::npos)
      << ejected;
}

TEST(AdminApi, PagesThroughManyUpstreams) {
  const Place place;
  Node node(Dns(Resolvers(250) + At(place.address())));
  ASSERT_EQ(AdminAddressOf(node), place.address());
  const AdminClient admin(place.address());
  std::set<std::string> seen;
  std::string after;
  for (int page = 0; page < 3; ++page) {
    std::string escaped;
    for (const char c : after) escaped += c == ' ' ? std::string("%20") : std::string(1, c);
    const auto answer = admin.Get("/v1/status?after=" + escaped);
    ASSERT_TRUE(answer);
    const json& pool = answer->body["pools"][0];
    EXPECT_EQ(pool["upstreams"].size(), page < 2 ? 100U : 50U);
    EXPECT_EQ(pool["more"], page < 2);
    for (const json& upstream : pool["upstreams"])
      EXPECT_TRUE(seen.insert(upstream["id"]).second) << upstream;
    after = pool["upstreams"].back()["id"];
  }
  EXPECT_EQ(seen.size(), 250U);
}

TEST(AdminApi, ReloadAppliesAGoodFileAndNamesTheFaultOfABadOne) {
  const Place place;
  const std::string admin_section = At(place.address());
  Node node(Dns(Resolvers(1) + admin_section));
  ASSERT_EQ(AdminAddressOf(node), place.address());  // opens behind DNS
  const AdminClient admin(place.address());
  const auto before = admin.Get("/v1/status");
  ASSERT_TRUE(before);

  node.WriteOperatorFile(Resolvers(1) + "sorckets = 1\n" + admin_section);
  const auto refused = admin.Post("/v1/reload");
  ASSERT_TRUE(refused);
  EXPECT_EQ(refused->status, 409);
  EXPECT_NE(refused->body["error"].get<std::string>().find("sorckets"), std::string::npos) << refused->body;
  const auto unchanged = admin.Get("/v1/status");
  ASSERT_TRUE(unchanged);
  EXPECT_EQ(unchanged->body["configuration"]["generation"], 1);
  EXPECT_EQ(unchanged->body["configuration"]["hash"], before->body["configuration"]["hash"]);
  EXPECT_EQ(unchanged->body["configuration"]["refused"]["error"], refused->body["error"]);

  node.WriteOperatorFile(Resolvers(2) + admin_section);
  const auto accepted = admin.Post("/v1/reload");
  ASSERT_TRUE(accepted);
  EXPECT_EQ(accepted->status, 200);
  const auto after = admin.Get("/v1/status");
  ASSERT_TRUE(after);
  EXPECT_EQ(after->body["configuration"]["generation"], 2);
  EXPECT_NE(after->body["configuration"]["hash"], before->body["configuration"]["hash"]);
  EXPECT_FALSE(after->body["configuration"].contains("refused"));
  EXPECT_EQ(after->body["pools"][0]["upstreams"].size(), 2U);
}

TEST(AdminApi, DrainIsThePlannedStopAndIsReportedMeanwhile) {
  const Place place;
  Node node(Dns(Resolvers(1) + At(place.address())));
  ASSERT_EQ(AdminAddressOf(node), place.address());  // opens behind DNS
  const AdminClient admin(place.address());
  const auto answer = admin.Post("/v1/drain");
  ASSERT_TRUE(answer);
  EXPECT_EQ(answer->status, 202);
  // It takes queries for some tenths of a second more, so the API is still there.
  const auto draining = admin.Get("/v1/status");
  ASSERT_TRUE(draining);
  EXPECT_EQ(draining->body["state"], "draining");
  EXPECT_EQ(node.Wait(), 0);
  EXPECT_FALSE(fs::exists(place.socket()));
}

TEST(AdminApi, AddressNeedsTheTokenAndNeverShowsIt) {
  const Place place;
  const std::string token = "5f1c0a7e9b3d48265f1c0a7e9b3d4826";
  Node node(Dns(Resolvers(1) + At("127.0.0.1:0", "token_file = \"" + place.Token(token) + "\"\n")));
  const std::string address = AdminAddressOf(node);
  ASSERT_TRUE(address.starts_with("127.0.0.1:")) << node.log();
  std::string wrong = token;
  wrong.back() = '7';
  for (const std::string& given : {std::string(), wrong, token + "0", token.substr(1), std::string("x")}) {
    const auto refused = AdminClient(address, given).Post("/v1/drain");
    ASSERT_TRUE(refused) << given;
    EXPECT_EQ(refused->status, 401) << given;
    EXPECT_NE(refused->head.find("WWW-Authenticate: Bearer"), std::string::npos);
  }
  EXPECT_TRUE(Logs(node, "admin: refused POST /v1/drain: no valid token"));
  const auto let_in = AdminClient(address, token).Get("/v1/status");
  ASSERT_TRUE(let_in);
  EXPECT_EQ(let_in->status, 200);
  EXPECT_EQ(let_in->body["state"], "ready");
  EXPECT_EQ(let_in->body.dump().find(token), std::string::npos);
  EXPECT_EQ(node.log().find(token), std::string::npos);
}

TEST(AdminApi, UnknownCommandsAreRejectedAndLogged) {
  const Place place;
  Node node(Dns(Resolvers(1) + At(place.address())));
  ASSERT_EQ(AdminAddressOf(node), place.address());
  const AdminClient admin(place.address());
  const auto status = [](const std::optional<AdminAnswer>& answer) { return answer ? answer->status : 0; };
  EXPECT_EQ(status(admin.Get("/v1/drain")), 405);
  EXPECT_EQ(status(admin.Post("/v1/status")), 405);
  EXPECT_EQ(status(admin.Get("/v2/status")), 404);
  EXPECT_TRUE(Logs(node, "admin: refused GET /v1/drain: wrong method"));
  EXPECT_TRUE(Logs(node, "admin: refused GET /v2/status: unknown command"));
  EXPECT_EQ(status(admin.Raw("POST /v1/reload HTTP/1.1\r\nContent-Length: 9\r\n\r\n123456789")), 413);
  EXPECT_EQ(status(admin.Raw("GET /v1/status HTTP/1.1\r\nX: " + std::string(5000, 'x') + "\r\n\r\n")), 413);
  EXPECT_EQ(status(admin.Raw("\x16\x03\x01 garbage\r\n\r\n")), 0);
  EXPECT_EQ(status(admin.Get("/v1/status")), 200);
}

TEST(AdminApi, IdleConnectionsDoNotBlockIt) {
  const Place place;
  Node node(Dns(Resolvers(1) + At(place.address())));
  ASSERT_EQ(AdminAddressOf(node), place.address());
  const AdminClient admin(place.address());
  const int idle = admin.Connect();
  ASSERT_GE(idle, 0);
  const int half = admin.Connect();
  ASSERT_EQ(::send(half, "GET /v1/st", 10, MSG_NOSIGNAL), 10);
  const auto answer = admin.Get("/v1/status");
  ASSERT_TRUE(answer);
  EXPECT_EQ(answer->status, 200);
  ::close(idle);
  ::close(half);
}

TEST(AdminApi, PollingTooOftenIsRejectedUnlookedAt) {
  const Place place;
  Node node(Dns(Resolvers(1) + At(place.address())));
  ASSERT_EQ(AdminAddressOf(node), place.address());
  const AdminClient admin(place.address());
  int refused = 0;
  // More than are allowed in a burst; how many more pass depends on the time that they take.
  for (int i = 0; i < 200; ++i) {
    const auto answer = admin.Get("/v1/status");
    ASSERT_TRUE(answer) << i;
    ASSERT_TRUE(answer->status == 200 || answer->status == 429) << answer->status;
    if (answer->status == 429) ++refused;
    if (i == 0) {
      EXPECT_EQ(answer->status, 200);
    }
  }
  EXPECT_GT(refused, 0);
}

TEST(AdminApi, ReplacesAStaleSocketButNothingElse) {
  const Place place;
  const std::string file = Resolvers(1) + At(place.address());
  {
    Node killed(Dns(file));
    ASSERT_EQ(AdminAddressOf(killed), place.address());
    killed.Signal(SIGKILL);
    killed.Wait();
  }
  ASSERT_TRUE(fs::exists(place.socket())) << "left behind";
  Node node(Dns(file));
  ASSERT_EQ(AdminAddressOf(node), place.address());
  EXPECT_TRUE(AdminClient(place.address()).Get("/v1/status"));

  Node second(Dns(file));
  EXPECT_EQ(second.Wait(), 1);
  EXPECT_NE(second.log().find("is served by another process"), std::string::npos) << second.log();
  EXPECT_TRUE(AdminClient(place.address()).Get("/v1/status")) << "the first one's socket is still there";

  std::ofstream(place.File("plain")) << "kept";
  Node third(Dns(Resolvers(1) + At("unix:" + place.File("plain"))));
  EXPECT_EQ(third.Wait(), 1);
  EXPECT_NE(third.log().find("is no socket"), std::string::npos) << third.log();
  EXPECT_EQ(fs::file_size(place.File("plain")), 4U);
}

TEST(AdminSettings, TokenFileMustBeGoodAndPrivate) {
  const Place place;
  const auto error_of = [&](const std::string& token_file) {
    Node node(Dns(Resolvers(1) + At("127.0.0.1:0", "token_file = \"" + token_file + "\"\n")));
    EXPECT_EQ(node.Wait(), 1);
    return node.log();
  };
  EXPECT_NE(error_of(place.File("none")).find("cannot be read"), std::string::npos);
  EXPECT_NE(error_of(place.Token("5f1c0a7e9b3d48265f1c", 0644)).find("open to others; chmod 600"),
            std::string::npos);
  EXPECT_NE(error_of(place.Token("short")).find("is no token"), std::string::npos);
}

}  // namespace
}  // namespace mothrack::testing
