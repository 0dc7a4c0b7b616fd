// A result database that version 0.2.0 wrote: this version reads all of it, and stores runs of the same
// scenario and seeds as the same rows.
#include <gtest/gtest.h>

#include "simulation/results.h"
#include "simulation/scenario.h"
#include "support/fixtures.h"
#include "support/sqlite_dump.h"

namespace mothrack::simulation {
namespace {

const std::string kFixture = MOTHRACK_FIXTURES "/results.sqlite";
const std::vector<std::string> kLabels = {"after", "before"};
constexpr std::uint64_t kSeeds = 2;

// Loads the copy of the scenario as it was when the database was recorded; stored rows include the hash of
// its settings.
Scenario RecordedScenario() {
  return LoadScenario(MOTHRACK_FIXTURES "/calm.toml", {"length_s=2", "fleet.sidecars=4"});
}

// Runs the scenario. The result has the figures of each second for the last seed only, as in the recorded
// database.
nlohmann::json RunScenario(const Scenario& scenario, std::uint64_t seed) {
  SimulationRun run(scenario, seed);
  const RunOutcome outcome = run.Run();
  return ToJson(scenario, seed, outcome, run.figures(), seed == kSeeds);
}

TEST(StoredFixture, ReadsAllResultsOfTheEarlierVersion) {
  const testing::FixtureDirectory folder;
  const Results results(folder.CopyOf(kFixture));
  EXPECT_EQ(results.Labels(), kLabels);
  const Scenario scenario = RecordedScenario();
  for (const std::string& label : kLabels) {
    const auto runs = results.RunsWithLabel(label);
    ASSERT_EQ(runs.size(), kSeeds);
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
      const RunKey key{label, "calm", HashOf(scenario), seed};
      ASSERT_TRUE(results.Has(key)) << label << ' ' << seed;
      const nlohmann::json& stored = runs.at(key);
      const nlohmann::json replayed = RunScenario(scenario, seed);
      EXPECT_EQ(stored.size(), replayed.size());
      for (const auto& [name, figure] : replayed.items()) EXPECT_EQ(stored.at(name), figure) << name;
    }
  }
}

TEST(StoredFixture, StoresResultsWithTheSchemaAndRowsOfTheEarlierVersion) {
  const testing::FixtureDirectory folder;
  const std::string path = folder.File("new.sqlite");
  const Scenario scenario = RecordedScenario();
  {
    Results results(path);
    for (const std::string& label : kLabels) {
      for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
        results.Store({label, "calm", HashOf(scenario), seed}, "0.2.0", "a machine",
                      RunScenario(scenario, seed));
      }
    }
  }
  EXPECT_EQ(testing::DumpSqlite(path), testing::DumpSqlite(folder.CopyOf(kFixture)));
}

}  // namespace
}  // namespace mothrack::simulation
