// Tests of real sidecars and agents that are members.
#include <sys/wait.h>
#include <unistd.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <chrono>
#include <csignal>
#include <filesystem>
#include <string>

#include "gossip/task_fixture.h"
#include "gtest/gtest.h"
#include "standins/admin_client.h"
#include "standins/peers.h"

namespace mothrack::gossip {
namespace {

using nlohmann::json;

// A real sidecar. Its HTTP settings are in environment variables, those of peers and the admin API in the
// operator file.
class Sidecar {
 public:
  Sidecar(const TaskDirectory& directory, const std::string& name, const std::string& upstream, int port,
          int seed)
      : node_(Options(directory, name, upstream, port, seed)),
        admin_address_("unix:" + directory.File(name + ".sock")) {}
  json Peers() const {
    const auto answer = mothrack::testing::AdminClient(admin_address_).Get("/v1/status");
    return answer && answer->body.contains("peers") ? answer->body["peers"] : json();
  }
  std::string StateOf(const std::string& name) const {
    const json peers = Peers();
    if (!peers.contains("members")) return "";
    for (const json& member : peers["members"]) {
      if (member["name"] == name) return member["state"];
    }
    return "";
  }
  mothrack::testing::Node& node() { return node_; }

 private:
  static mothrack::testing::Node::Options Options(const TaskDirectory& directory, const std::string& name,
                                                  const std::string& upstream, int port, int seed) {
    mothrack::testing::Node::Options options;
    options.known = mothrack::testing::List({mothrack::testing::Target("u1", upstream)});
    options.environment = {"LB_NAME=" + name};
    options.operator_file = "[admin]\nlisten = \"unix:" + directory.File(name + ".sock") +
                            "\"\n[peers]\nlisten = \"127.0.0.1:" + std::to_string(port) +
                            "\"\nzone = \"hall\"\nkey_file = \"" + directory.File("keys") +
                            "\"\nseeds = [\"127.0.0.1:" + std::to_string(seed) +
                            "\"]\nprobe_ms = 100\nprobe_patience_ms = 40\ngossip_ms = 20\n";
    return options;
  }

  mothrack::testing::Node node_;
  const std::string admin_address_;
};

// Returns a port that was free when the function was called.
int FreePort() {
  boost::asio::io_context io;
  boost::asio::ip::udp::socket socket(io, {boost::asio::ip::make_address("127.0.0.1"), 0});
  return socket.local_endpoint().port();
}

TEST(Programs, ContinueWhileAPeerIsStoppedAndResumed) {
  const TaskDirectory directory;
  mothrack::testing::Upstream upstream(mothrack::testing::Upstream::Echo("u"));
  const int a_port = FreePort(), b_port = FreePort();
  Sidecar a(directory, "a", upstream.address(), a_port, b_port);
  Sidecar b(directory, "b", upstream.address(), b_port, a_port);
  ASSERT_TRUE(a.node().Listening() && b.node().Listening());
  ASSERT_TRUE(Eventually([&] { return a.StateOf("b") == "alive" && b.StateOf("a") == "alive"; }))
      << a.node().log();
  const json peers = a.Peers();
  EXPECT_EQ(peers["task"], "runs");
  EXPECT_EQ(peers["self"]["name"], "a");
  EXPECT_EQ(peers["alive"], 2);
  EXPECT_LT(peers["age_ms"], 5000);
  EXPECT_EQ(peers["more"], 0);

  ::kill(b.node().pid(), SIGSTOP);
  EXPECT_TRUE(Eventually([&] { return a.StateOf("b") == "dead"; }));
  mothrack::testing::Client client(a.node().port());
  for (int i = 0; i < 20; ++i) ASSERT_TRUE(client.Get("/page/k", "v" + std::to_string(i)));
  ::kill(b.node().pid(), SIGCONT);
  EXPECT_TRUE(Eventually([&] { return a.StateOf("b") == "alive"; }));
  // SIGHUP reloads the keys. A planned stop is announced to the other members.
  a.node().Signal(SIGHUP);
  EXPECT_TRUE(Eventually([&] { return a.node().log().find("keys read again") != std::string::npos; }))
      << a.node().log();
  b.node().Signal(SIGTERM);
  EXPECT_EQ(b.node().Wait(), 0);
  EXPECT_TRUE(Eventually([&] { return a.StateOf("b") == "left"; }));
}

TEST(Programs, HaveNoExtraThreadWithoutTheSection) {
  mothrack::testing::Upstream upstream(mothrack::testing::Upstream::Echo("u"));
  mothrack::testing::Node::Options options;
  options.known = mothrack::testing::List({mothrack::testing::Target("u1", upstream.address())});
  mothrack::testing::Node node(options);
  ASSERT_TRUE(node.Listening());
  int threads = 0;
  for (const auto& entry :
       std::filesystem::directory_iterator("/proc/" + std::to_string(node.pid()) + "/task"))
    threads += entry.exists();
  EXPECT_EQ(threads, 1);
}

TEST(Programs, AddressInUseIsLogged) {
  const TaskDirectory directory;
  TaskClient a(directory, "a");
  Sidecar b(directory, "b", "127.0.0.1:9", a.task.local().port(), 7601);
  EXPECT_EQ(b.node().Wait(), 1);
  EXPECT_NE(b.node().log().find("Address already in use; free the address"), std::string::npos)
      << b.node().log();
}

TEST(Programs, AnAgentIsAMember) {
  const TaskDirectory directory;
  TaskClient a(directory, "a");
  const std::string file = directory.Write(
      "agent.toml",
      "[agent]\nname = \"agent-1\"\nhall = \"hall\"\nlisten = \"unix:" + directory.File("agent.sock") +
          "\"\ndirectory = \"" + directory.File("state") + "\"\n[[instance]]\nname = \"i\"\n" +
          "command = [\"/bin/sleep\", \"0\"]\ngeneration = \"g\"\n[peers]\nlisten = \"127.0.0.1:0\"\n" +
          "key_file = \"" + directory.File("keys") + "\"\nseeds = [\"" + ToText(a.task.local()) + "\"]\n");
  const pid_t pid = ::fork();
  if (pid == 0) {
    ::execl(MOTHRACK_AGENT, MOTHRACK_AGENT, file.c_str(), nullptr);
    ::_exit(127);
  }
  EXPECT_TRUE(Eventually([&] { return a.HasState("agent-1", gossip::MemberState::kAlive); }));
  EXPECT_EQ(a.Latest()->members.at(0).update.role, Role::kAgent);
  const auto answer = mothrack::testing::AdminClient("unix:" + directory.File("agent.sock")).Get("/v1/agent");
  ASSERT_TRUE(answer);
  EXPECT_EQ(answer->body["peers"]["task"], "runs");
  ::kill(pid, SIGTERM);
  int status = 0;
  ::waitpid(pid, &status, 0);
  EXPECT_TRUE(Eventually([&] { return a.HasState("agent-1", gossip::MemberState::kLeft); }));
}

}  // namespace
}  // namespace mothrack::gossip
