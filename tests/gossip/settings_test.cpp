// Tests of the section [peers] of the operator file and of the agent file.
#include <chrono>
#include <string>

#include "agent/agent_file.h"
#include "gossip/task_fixture.h"
#include "gtest/gtest.h"
#include "sidecar/operator_file.h"

namespace mothrack::gossip {
namespace {

// The section [peers] follows the same rules in the operator file and in the agent file.
TEST(Settings, ErrorsNameLocationAndRemedy) {
  const TaskDirectory directory;
  const std::string listen = "listen = \"127.0.0.1:7600\"\n", zone = "zone = \"hall\"\n";
  const std::string keys = "key_file = \"" + directory.File("keys") + "\"\n";
  const std::string good = listen + zone + keys;  // lines 2 to 4
  const struct {
    std::string text, location, expected;
  } cases[] = {
      {zone + keys, "1:1: peers.listen: ", "is missing; add it, for example listen = \"127.0.0.1:7600\""},
      {"listen = \"127.0.0.1\"\n", "2:10: peers.listen: ", "is not an address and port"},
      {"listen = \"0.0.0.0:7600\"\n", "2:10: peers.listen: ", "is not a single address"},
      {"listen = \"10.0.0.1:7600\"\n", "2:10: peers.listen: ", "is not a loopback address"},
      {"listen = \"127.0.0.1:53\"\n", "2:10: peers.listen: ", "port of 1024 or above"},
      {"lissten = \"127.0.0.1:7600\"\n" + zone + keys, "2:1: peers.lissten: ", "did you mean \"listen\"?"},
      {good + "advertise = \"0.0.0.0:7600\"\n",
       "5:13: peers.advertise: ", "give the one that other members send to"},
      {good + "advertise = \"127.0.0.1:0\"\n", "5:13: peers.advertise: ", "port of 1024 or above"},
      {listen + keys, "1:1: peers.zone: ", "must name the zone of this machine"},
      {listen + "zone = \"a hall\"\n" + keys, "3:8: peers.zone: ", "letters, digits"},
      {listen + zone, "1:1: peers.key_file: ", "is missing"},
      {listen + zone + "key_file = \"/nowhere\"\n", "4:12: peers.key_file: ", "/nowhere"},
      {good + "seeds = \"127.0.0.1:7601\"\n", "5:9: peers.seeds: ", "put it in [ ]"},
      {good + "seeds = [\"127.0.0.1:7601\", \"x\"]\n",
       "5:28: peers.seeds[1]: ", "is not an address and port"},
      {good + "seeds = [\"127.0.0.1:7601\", \"127.0.0.1:7601\"]\n",
       "5:28: peers.seeds[1]: ", "is listed twice; remove one of them"},
      {good + "probe_ms = 1\n", "5:12: peers.probe_ms: ", "from 50 to 60000"},
      {good + "probe_patience_ms = 500\n", "5:21: peers.probe_patience_ms: ", "set it below probe_ms"},
      {good + "fanout = 1.5\n", "5:10: peers.fanout: ", "is not an integer"},
      {good + "datagrams_per_s = 5000\n", "5:19: peers.datagrams_per_s: ", "out of range"},
      {good + "gosip_ms = 100\n", "5:1: peers.gosip_ms: ", "did you mean \"gossip_ms\"?"},
  };
  for (const auto& test_case : cases) {
    const std::string path = directory.Write("file.toml", "[peers]\n" + test_case.text);
    try {
      sidecar::LoadOperatorFile(path);
      ADD_FAILURE() << "accepted: " << test_case.text;
    } catch (const sidecar::ConfigError& e) {
      const std::string what = std::string(e.what()).substr(path.size() + 1);
      EXPECT_TRUE(what.starts_with(test_case.location)) << what << "\n" << test_case.text;
      EXPECT_NE(what.find(test_case.expected), std::string::npos) << what << "\n" << test_case.text;
    }
    // In the agent file the line differs, and its hall is the default of the zone.
    const std::string agent =
        directory.Write("agent.toml",
                        "[agent]\nname = \"n\"\nhall = \"h\"\nlisten = \"unix:/tmp/a\"\n"
                        "directory = \"/tmp\"\n[[instance]]\nname = \"i\"\ncommand = [\"/bin/true\"]\n"
                        "generation = \"g\"\n[peers]\n" +
                            test_case.text);
    if (test_case.location.find("zone") != std::string::npos && test_case.text == listen + keys) {
      EXPECT_EQ(agent::LoadAgentFile(agent).peers->zone, "h");
    } else {
      EXPECT_THROW(agent::LoadAgentFile(agent), agent::FileError) << test_case.text;
    }
  }
}

TEST(Settings, EffectiveSettingsRoundTrip) {
  const TaskDirectory directory;
  const auto file = sidecar::LoadOperatorFile(directory.Write(
      "file.toml",
      "[peers]\nlisten = \"127.0.0.1:7600\"\nadvertise = \"127.0.0.1:7700\"\nzone = \"hall\"\nkey_file = \"" +
          directory.File("keys") + "\"\nseeds = [\"[::1]:7601\"]\nprobe_ms = 300\n"));
  const std::string effective = sidecar::EffectiveSettings(file);
  const auto again = sidecar::LoadOperatorFile(directory.Write("again.toml", effective));
  EXPECT_EQ(sidecar::EffectiveSettings(again), effective);
  ASSERT_TRUE(again.peers);
  EXPECT_EQ(again.peers->protocol.probe_interval, Duration(300));
  EXPECT_EQ(again.peers->protocol.gossip_interval, ProtocolConfig().gossip_interval);
  EXPECT_EQ(ToText(*again.peers->advertise), "127.0.0.1:7700");
  EXPECT_EQ(ToText(again.peers->seeds.at(0)), "[::1]:7601");
}

}  // namespace
}  // namespace mothrack::gossip
