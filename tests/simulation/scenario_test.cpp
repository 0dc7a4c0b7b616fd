// Scenario files: an error names its place and remedy, and a written scenario reads back as the same
// scenario.
#include <filesystem>
#include <map>

#include "gtest/gtest.h"
#include "simulation/simulation_support.h"

namespace mothrack::simulation {
namespace {

namespace fs = std::filesystem;

TEST(Scenario, AnErrorOfAFileNamesPlaceAndRemedy) {
  const std::string head = "name = \"x\"\n";
  const std::string cls = "[[class]]\nname = \"p\"\neffect = \"safe\"\n";
  // Maps the text of a scenario file to a part of the error that it must cause.
  const std::map<std::string, std::string> expected_errors = {
      {head, "[[class]]"},
      {cls, "[top] name: give a name"},
      {head + "speed = 3\n" + cls, "[top] speed: there is no such key"},
      {head + "[fleet]\nsidecars = 0\n" + cls, "[fleet] sidecars: give a number from 1 to"},
      {head + "[fleet]\nsidecars = 1.5\n" + cls, "give a whole number"},
      {head + "[load]\nuse = \"much\"\n" + cls, "[load] use: give a number"},
      {head + cls + "[[fault]]\nkind = \"rain\"\n", "'rain' is unknown; give one of cut-zone"},
      {head + cls + "[[fault]]\nkind = \"cut-zone\"\nzone = \"moon\"\n",
       "'moon' is not one of [servers] zones"},
      {head + "[[class]]\nname = \"p\"\neffect = \"safe\"\naim_ms = 900\ndeadline_ms = 800\n",
       "no less than aim_ms"},
      {head + "x = \n", "x.toml:2"},
  };
  for (const auto& [text, expected] : expected_errors) {
    try {
      ParseScenario(text, "x.toml");
      ADD_FAILURE() << "accepted: " << text;
    } catch (const ScenarioError& e) {
      EXPECT_NE(std::string(e.what()).find(expected), std::string::npos) << e.what();
      EXPECT_NE(std::string(e.what()).find("x.toml"), std::string::npos) << e.what();
    }
  }
  EXPECT_THROW(ParseScenario(head + cls, "x.toml", {"load.use"}), ScenarioError);
  EXPECT_THROW(ParseScenario(head + cls, "x.toml", {"load.use=["}), ScenarioError);
  EXPECT_EQ(ParseScenario(head + cls, "x.toml", {"load.use=0.25"}).use, 0.25);
}

TEST(Scenario, IsTheSameWrittenAndReadAgain) {
  for (const auto& entry : fs::directory_iterator(MOTHRACK_SCENARIOS)) {
    const Scenario scenario = LoadScenario(entry.path());
    const std::string text = ToToml(scenario);
    EXPECT_EQ(ToToml(ParseScenario(text, "again")), text) << scenario.name;
  }
}

}  // namespace
}  // namespace mothrack::simulation
