// The peers' task between threads and between processes: nothing is lost at its boxes that still counts, and
// whatever becomes of it the loop goes on.
#include "gossip/task.h"

#include <poll.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <chrono>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <string>
#include <thread>

#include "agent/agent_file.h"
#include "gossip/link.h"
#include "gtest/gtest.h"
#include "sidecar/operator_file.h"
#include "standins/admin_client.h"
#include "standins/peers.h"

namespace mothrack::gossip {
namespace {

namespace fs = std::filesystem;
using namespace std::chrono_literals;
using mothrack::testing::Eventually;
using nlohmann::json;

// Files of the test's own, gone with it.
class TemporaryDirectory {
 public:
  TemporaryDirectory() {
    static std::atomic<int> count{0};
    path_ = fs::temp_directory_path() /
            ("peers-task-" + std::to_string(::getpid()) + '-' + std::to_string(count++));
    fs::create_directory(path_);
    Keys("keys", {'a'});
  }
  ~TemporaryDirectory() { fs::remove_all(path_); }
  std::string File(const std::string& name) const { return path_ / name; }
  std::string Write(const std::string& name, const std::string& text) const {
    std::ofstream(File(name)) << text;
    ::chmod(File(name).c_str(), 0600);
    return File(name);
  }
  // A key for each letter: 64 hex digits, not all alike.
  std::string Keys(const std::string& name, const std::vector<char>& letters) const {
    std::string text;
    for (const char c : letters)
      text += "0123456789abcdef0123456789abcdef0123456789abcdef" + std::string(16, c) + '\n';
    return Write(name, text);
  }

 private:
  fs::path path_;
};

Settings FastSettings(const TemporaryDirectory& place, std::vector<runtime::Endpoint> seeds = {},
                      const std::string& keys = "keys") {
  Settings settings;
  settings.listen = *runtime::ParseEndpoint("127.0.0.1:0");
  settings.zone = "hall";
  settings.key_file = place.File(keys);
  settings.seeds = std::move(seeds);
  settings.protocol.probe_interval = Duration(100);
  settings.protocol.probe_timeout = Duration(40);
  settings.protocol.gossip_interval = Duration(20);
  settings.protocol.max_suspicion_multiplier = 1;
  return settings;
}

// A loop's side without a loop.
class TaskClient {
 public:
  TaskClient(const TemporaryDirectory& place, const std::string& name,
             std::vector<runtime::Endpoint> seeds = {}, const std::string& keys = "keys",
             Task::TurnHook turn_hook = {})
      : task(FastSettings(place, std::move(seeds), keys), name, std::move(turn_hook)) {}
  const MembershipSnapshot* Latest() {
    while (auto snapshot = task.snapshots().TryPop()) latest_ = *snapshot;
    return latest_.get();
  }
  bool HasState(const std::string& name, gossip::MemberState state) {
    const MembershipSnapshot* snapshot = Latest();
    if (snapshot == nullptr) return false;
    for (const MemberView& member : snapshot->members) {
      if (member.update.boot_id.name == name) return member.update.state == state;
    }
    return false;
  }
  Duration Age() {
    const MembershipSnapshot* snapshot = Latest();
    if (snapshot == nullptr) return Duration(-1);
    return std::chrono::time_point_cast<Duration>(std::chrono::steady_clock::now()) - snapshot->created_at;
  }
  Task task;

 private:
  MembershipSnapshotPtr latest_;
};

TEST(BoundedQueue, DropsTheOldestAndCountsIt) {
  BoundedQueue<int> queue(3);
  for (int i = 0; i < 10; ++i) queue.Push(i);
  EXPECT_EQ(queue.dropped(), 7U);
  for (const int retained : {7, 8, 9}) EXPECT_EQ(queue.TryPop(), retained);
  EXPECT_FALSE(queue.TryPop());
}

TEST(BoundedQueue, SignalsOnceUntilTheReceiverWakes) {
  BoundedQueue<int> queue(8);
  const auto readable = [&] {
    pollfd awaited{queue.descriptor(), POLLIN, 0};
    return ::poll(&awaited, 1, 0) == 1;
  };
  EXPECT_FALSE(readable());
  for (int i = 0; i < 5; ++i) queue.Push(i);
  std::uint64_t writes = 0;
  ASSERT_EQ(::read(queue.descriptor(), &writes, sizeof writes), static_cast<ssize_t>(sizeof writes));
  EXPECT_EQ(writes, 1U);
  queue.ClearSignal();
  EXPECT_FALSE(readable());
  queue.Push(5);
  EXPECT_TRUE(readable());
}

// The taker sleeps whenever it finds nothing; it is told of every last message.
TEST(BoundedQueue, LosesNoWakeUpBetweenTwoThreads) {
  constexpr int kMessages = 200'000;
  BoundedQueue<int> queue(64);
  int received = 0, last = -1;
  bool is_ordered = true, missed = false;
  std::thread receiver([&] {
    while (last != kMessages - 1) {
      pollfd awaited{queue.descriptor(), POLLIN, 0};
      if (::poll(&awaited, 1, 5000) == 0) {
        missed = true;
        return;
      }
      queue.ClearSignal();
      while (const auto message = queue.TryPop()) {
        is_ordered = is_ordered && *message > last;
        last = *message;
        ++received;
      }
    }
  });
  for (int i = 0; i < kMessages; ++i) {
    queue.Push(i);
    if (i % 1000 == 0) std::this_thread::sleep_for(50us);  // so that it falls asleep in between
  }
  receiver.join();
  EXPECT_FALSE(missed);
  EXPECT_TRUE(is_ordered);
  EXPECT_EQ(received + static_cast<int>(queue.dropped()), kMessages);
}

TEST(Task, TwoMembersDiscoverEachOtherAndExchangeValues) {
  const TemporaryDirectory place;
  TaskClient a(place, "a");
  TaskClient b(place, "b", {a.task.local()});
  EXPECT_TRUE(Eventually([&] {
    return a.HasState("b", gossip::MemberState::kAlive) && b.HasState("a", gossip::MemberState::kAlive);
  }));
  a.task.Post(PutValueCommand{"load", "7", Duration(60'000)});
  EXPECT_TRUE(Eventually([&] {
    const MembershipSnapshot* snapshot = b.Latest();
    return !snapshot->values.empty() && snapshot->values[0].owner.name == "a" &&
           snapshot->values[0].bytes == "7";
  }));
  a.task.Post(LeaveCommand{});
  EXPECT_TRUE(a.task.Stop());
  EXPECT_TRUE(Eventually([&] { return b.HasState("a", gossip::MemberState::kLeft); }))
      << "what was said before the stop is done";
}

TEST(Task, AMemberThatStopsWithoutLeavingIsDead) {
  const TemporaryDirectory place;
  TaskClient a(place, "a");
  auto b = std::make_unique<TaskClient>(place, "b", std::vector{a.task.local()});
  ASSERT_TRUE(Eventually([&] { return a.HasState("b", gossip::MemberState::kAlive); }));
  b.reset();
  EXPECT_TRUE(Eventually([&] { return a.HasState("b", gossip::MemberState::kDead); }));
}

TEST(Task, AStuckTaskNeitherBlocksTheLoopNorTheStop) {
  const TemporaryDirectory place;
  const auto stuck = std::make_shared<std::atomic<bool>>(false);
  TaskClient a(place, "a", {}, "keys", [stuck] {
    while (*stuck) std::this_thread::sleep_for(1ms);
  });
  ASSERT_TRUE(Eventually([&] { return a.Latest() != nullptr; }));
  *stuck = true;
  std::this_thread::sleep_for(1200ms);
  const Duration before = a.Age();
  const auto began = std::chrono::steady_clock::now();
  for (int i = 0; i < 1000; ++i) a.task.Post(PutValueCommand{"load", std::to_string(i), Duration(1000)});
  EXPECT_LT(std::chrono::steady_clock::now() - began, 100ms);
  EXPECT_GE(a.task.dropped(), 1000 - kMaxPendingCommands);
  std::this_thread::sleep_for(100ms);
  EXPECT_GT(a.Age(), before);
  EXPECT_FALSE(a.task.Stop());
  EXPECT_LT(std::chrono::steady_clock::now() - began, 1s);
  *stuck = false;
}

TEST(Task, AFailedTaskIsCountedAndTheLoopContinues) {
  const TemporaryDirectory place;
  std::atomic<int> turns{0};
  TaskClient a(place, "a", {}, "keys", [&] {
    if (++turns == 5) throw std::runtime_error("planted");
  });
  EXPECT_TRUE(Eventually([&] { return a.task.failures() == 1; }));
  a.task.Post(PutValueCommand{"load", "1", Duration(1000)});
  EXPECT_TRUE(a.task.Stop());
}

TEST(Task, DatagramsOfAnotherKeyAreRejectedUntilKeysAreReloaded) {
  const TemporaryDirectory place;
  place.Keys("others", {'b'});
  TaskClient a(place, "a");
  TaskClient b(place, "b", {a.task.local()}, "others");
  EXPECT_TRUE(Eventually([&] { return a.Latest() != nullptr && a.Latest()->unauthenticated > 0; }));
  EXPECT_TRUE(a.Latest()->members.empty());
  // A faulty file changes nothing.
  place.Write("others", "no key at all\n");
  b.task.ReloadKeys();
  std::this_thread::sleep_for(200ms);
  EXPECT_TRUE(a.Latest()->members.empty());
  place.Keys("others", {'a', 'b'});
  b.task.ReloadKeys();
  EXPECT_TRUE(Eventually([&] { return a.HasState("b", gossip::MemberState::kAlive); }));
}

TEST(Task, InvalidDatagramsAreCounted) {
  const TemporaryDirectory place;
  TaskClient a(place, "a");
  boost::asio::io_context io;
  boost::asio::ip::udp::socket stranger(io, boost::asio::ip::udp::v4());
  const boost::asio::ip::udp::endpoint to(a.task.local().address(), a.task.local().port());
  for (const std::size_t size : {0, 1, 40, 1200, 1201, 9000})
    stranger.send_to(boost::asio::buffer(std::string(size, 'x')), to);
  EXPECT_TRUE(Eventually([&] { return a.Latest() != nullptr && a.Latest()->unauthenticated == 6; }));
}

TEST(Task, StartErrorsNameTheCause) {
  const TemporaryDirectory place;
  TaskClient a(place, "a");
  const auto error = [](const Settings& settings, const std::string& name) {
    try {
      const Task task(settings, name);
    } catch (const TaskError& e) {
      return std::string(e.what());
    }
    return std::string("started");
  };
  Settings settings = FastSettings(place);
  EXPECT_NE(error(settings, "no good name").find("no member's name"), std::string::npos);
  settings.listen = a.task.local();
  EXPECT_NE(error(settings, "b").find("Address already in use; free the address"), std::string::npos);
  settings = FastSettings(place, {}, "none");
  EXPECT_NE(error(settings, "b").find(place.File("none")), std::string::npos);
}

// Both files say the same by the same rules.
TEST(Settings, ErrorsNamePlaceAndRemedy) {
  const TemporaryDirectory place;
  const std::string listen = "listen = \"127.0.0.1:7600\"\n", zone = "zone = \"hall\"\n";
  const std::string keys = "key_file = \"" + place.File("keys") + "\"\n";
  const std::string good = listen + zone + keys;  // lines 2 to 4
  const struct {
    std::string text, place, words;
  } cases[] = {
      {zone + keys, "1:1: peers.listen: ", "is missing; add it, as listen = \"127.0.0.1:7600\""},
      {"listen = \"127.0.0.1\"\n", "2:10: peers.listen: ", "no address and port"},
      {"listen = \"0.0.0.0:7600\"\n", "2:10: peers.listen: ", "names no one address"},
      {"listen = \"10.0.0.1:7600\"\n", "2:10: peers.listen: ", "no loopback address"},
      {"listen = \"127.0.0.1:53\"\n", "2:10: peers.listen: ", "port of 1024 or above"},
      {"lissten = \"127.0.0.1:7600\"\n" + zone + keys, "2:1: peers.lissten: ", "did you mean \"listen\"?"},
      {good + "advertise = \"0.0.0.0:7600\"\n",
       "5:13: peers.advertise: ", "name the one that the others send to"},
      {good + "advertise = \"127.0.0.1:0\"\n", "5:13: peers.advertise: ", "port of 1024 or above"},
      {listen + keys, "1:1: peers.zone: ", "must be the hall"},
      {listen + "zone = \"a hall\"\n" + keys, "3:8: peers.zone: ", "letters, digits"},
      {listen + zone, "1:1: peers.key_file: ", "is missing"},
      {listen + zone + "key_file = \"/nowhere\"\n", "4:12: peers.key_file: ", "/nowhere"},
      {good + "seeds = \"127.0.0.1:7601\"\n", "5:9: peers.seeds: ", "put it in [ ]"},
      {good + "seeds = [\"127.0.0.1:7601\", \"x\"]\n", "5:28: peers.seeds[1]: ", "no address and port"},
      {good + "seeds = [\"127.0.0.1:7601\", \"127.0.0.1:7601\"]\n",
       "5:28: peers.seeds[1]: ", "take one of them out"},
      {good + "probe_ms = 1\n", "5:12: peers.probe_ms: ", "from 50 to 60000"},
      {good + "probe_patience_ms = 500\n", "5:21: peers.probe_patience_ms: ", "keep it below that"},
      {good + "fanout = 1.5\n", "5:10: peers.fanout: ", "no whole number"},
      {good + "datagrams_per_s = 5000\n", "5:19: peers.datagrams_per_s: ", "out of range"},
      {good + "gosip_ms = 100\n", "5:1: peers.gosip_ms: ", "did you mean \"gossip_ms\"?"},
  };
  for (const auto& c : cases) {
    const std::string path = place.Write("file.toml", "[peers]\n" + c.text);
    try {
      sidecar::LoadOperatorFile(path);
      ADD_FAILURE() << "taken: " << c.text;
    } catch (const sidecar::ConfigError& e) {
      const std::string what = std::string(e.what()).substr(path.size() + 1);
      EXPECT_TRUE(what.starts_with(c.place)) << what << "\n" << c.text;
      EXPECT_NE(what.find(c.words), std::string::npos) << what << "\n" << c.text;
    }
    // The agent's: its line is another, its hall stands in for the zone.
    const std::string agent =
        place.Write("agent.toml",
                    "[agent]\nname = \"n\"\nhall = \"h\"\nlisten = \"unix:/tmp/a\"\n"
                    "directory = \"/tmp\"\n[[instance]]\nname = \"i\"\ncommand = [\"/bin/true\"]\n"
                    "generation = \"g\"\n[peers]\n" +
                        c.text);
    if (c.place.find("zone") != std::string::npos && c.text == listen + keys) {
      EXPECT_EQ(agent::LoadAgentFile(agent).peers->zone, "h");
    } else {
      EXPECT_THROW(agent::LoadAgentFile(agent), agent::FileError) << c.text;
    }
  }
}

TEST(Settings, EffectiveSettingsRoundTrip) {
  const TemporaryDirectory place;
  const auto file = sidecar::LoadOperatorFile(place.Write(
      "file.toml",
      "[peers]\nlisten = \"127.0.0.1:7600\"\nadvertise = \"127.0.0.1:7700\"\nzone = \"hall\"\nkey_file = \"" +
          place.File("keys") + "\"\nseeds = [\"[::1]:7601\"]\nprobe_ms = 300\n"));
  const std::string effective = sidecar::Effective(file);
  const auto again = sidecar::LoadOperatorFile(place.Write("again.toml", effective));
  EXPECT_EQ(sidecar::Effective(again), effective);
  ASSERT_TRUE(again.peers);
  EXPECT_EQ(again.peers->protocol.probe_interval, Duration(300));
  EXPECT_EQ(again.peers->protocol.gossip_interval, ProtocolConfig().gossip_interval);
  EXPECT_EQ(Text(*again.peers->advertise), "127.0.0.1:7700");
  EXPECT_EQ(Text(again.peers->seeds.at(0)), "[::1]:7601");
}

// A real sidecar: HTTP by the platform's variables, peers and the door by the operator's file.
class Sidecar {
 public:
  Sidecar(const TemporaryDirectory& place, const std::string& name, const std::string& upstream, int port,
          int seed)
      : node_(Options(place, name, upstream, port, seed)),
        admin_address_("unix:" + place.File(name + ".sock")) {}
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
  static mothrack::testing::Node::Options Options(const TemporaryDirectory& place, const std::string& name,
                                                  const std::string& upstream, int port, int seed) {
    mothrack::testing::Node::Options options;
    options.known = mothrack::testing::List({mothrack::testing::Target("u1", upstream)});
    options.environment = {"LB_NAME=" + name};
    options.operator_file = "[admin]\nlisten = \"unix:" + place.File(name + ".sock") +
                            "\"\n[peers]\nlisten = \"127.0.0.1:" + std::to_string(port) +
                            "\"\nzone = \"hall\"\nkey_file = \"" + place.File("keys") +
                            "\"\nseeds = [\"127.0.0.1:" + std::to_string(seed) +
                            "\"]\nprobe_ms = 100\nprobe_patience_ms = 40\ngossip_ms = 20\n";
    return options;
  }

  mothrack::testing::Node node_;
  const std::string admin_address_;
};

// Ports that were free a moment ago.
int FreePort() {
  boost::asio::io_context io;
  boost::asio::ip::udp::socket socket(io, {boost::asio::ip::make_address("127.0.0.1"), 0});
  return socket.local_endpoint().port();
}

TEST(Programs, ContinueWhileAPeerIsStoppedAndResumed) {
  const TemporaryDirectory place;
  mothrack::testing::Upstream upstream(mothrack::testing::Upstream::Echo("u"));
  const int a_port = FreePort(), b_port = FreePort();
  Sidecar a(place, "a", upstream.address(), a_port, b_port);
  Sidecar b(place, "b", upstream.address(), b_port, a_port);
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
  // A planned stop is told; the keys are read again by SIGHUP.
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
  for (const auto& entry : fs::directory_iterator("/proc/" + std::to_string(node.pid()) + "/task"))
    threads += entry.exists();
  EXPECT_EQ(threads, 1);
}

TEST(Programs, AddressInUseIsLogged) {
  const TemporaryDirectory place;
  TaskClient a(place, "a");
  Sidecar b(place, "b", "127.0.0.1:9", a.task.local().port(), 7601);
  EXPECT_EQ(b.node().Wait(), 1);
  EXPECT_NE(b.node().log().find("Address already in use; free the address"), std::string::npos)
      << b.node().log();
}

TEST(Programs, AnAgentIsAMember) {
  const TemporaryDirectory place;
  TaskClient a(place, "a");
  const std::string file = place.Write(
      "agent.toml",
      "[agent]\nname = \"agent-1\"\nhall = \"hall\"\nlisten = \"unix:" + place.File("agent.sock") +
          "\"\ndirectory = \"" + place.File("state") + "\"\n[[instance]]\nname = \"i\"\n" +
          "command = [\"/bin/sleep\", \"0\"]\ngeneration = \"g\"\n[peers]\nlisten = \"127.0.0.1:0\"\n" +
          "key_file = \"" + place.File("keys") + "\"\nseeds = [\"" + Text(a.task.local()) + "\"]\n");
  const pid_t pid = ::fork();
  if (pid == 0) {
    ::execl(MOTHRACK_AGENT, MOTHRACK_AGENT, file.c_str(), nullptr);
    ::_exit(127);
  }
  EXPECT_TRUE(Eventually([&] { return a.HasState("agent-1", gossip::MemberState::kAlive); }));
  EXPECT_EQ(a.Latest()->members.at(0).update.role, Role::kAgent);
  const auto answer = mothrack::testing::AdminClient("unix:" + place.File("agent.sock")).Get("/v1/agent");
  ASSERT_TRUE(answer);
  EXPECT_EQ(answer->body["peers"]["task"], "runs");
  ::kill(pid, SIGTERM);
  int status = 0;
  ::waitpid(pid, &status, 0);
  EXPECT_TRUE(Eventually([&] { return a.HasState("agent-1", gossip::MemberState::kLeft); }));
}

}  // namespace
}  // namespace mothrack::gossip
