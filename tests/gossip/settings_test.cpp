// The section [peers] of the operator file and of the agent file.
#include <chrono>
#include <string>

#include "agent/agent_file.h"
#include "gossip/task_fixture.h"
#include "gtest/gtest.h"
#include "sidecar/operator_file.h"

namespace mothrack::gossip {
namespace {

// Both files follow the same rules.
TEST(Settings, ErrorsNamePlaceAndRemedy) {
  const TaskDirectory place;
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
    // The agent file: its line differs, and its hall is the default of the zone.
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
  const TaskDirectory place;
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
  EXPECT_EQ(ToText(*again.peers->advertise), "127.0.0.1:7700");
  EXPECT_EQ(ToText(again.peers->seeds.at(0)), "[::1]:7601");
}

}  // namespace
}  // namespace mothrack::gossip
