// The results of runs, stored in one SQLite file. Each is identified by scenario, settings, seed and a label
// for the build or the settings that are compared. A sweep skips stored runs, so an interrupted one continues
// where it stopped.
#pragma once

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "simulation/simulation_run.h"
#include "storage/sqlite.h"

namespace mothrack::simulation {

// What identifies a stored run.
struct RunKey {
  std::string label;
  std::string scenario;
  std::string settings;  // hash of the scenario as it was run
  std::uint64_t seed = 0;
  // NOLINTNEXTLINE(modernize-use-nullptr): false finding in the comparison that the compiler writes.
  auto operator<=>(const RunKey&) const = default;
};

// A figure by which runs are compared.
struct Figure {
  const char* name;
  bool higher_is_better;
};
const std::vector<Figure>& ComparedFigures();

// Returns a run as JSON, as it is stored and shown.
nlohmann::json ToJson(const Scenario& scenario, std::uint64_t seed, const RunOutcome& outcome,
                      const Figures& figures, bool with_seconds);
// Returns a hash of the scenario's TOML text as 16 hexadecimal digits.
std::string HashOf(const Scenario& scenario);

// The result database. For one thread. Other processes may use the file; a lock that they hold is waited for,
// up to 5 s.
class Results {
 public:
  // Throws std::runtime_error if the file cannot be used.
  explicit Results(const std::string& path);

  bool Has(const RunKey& key) const;
  void Store(const RunKey& key, const std::string& build, const std::string& machine,
             const nlohmann::json& run);
  std::map<RunKey, nlohmann::json> RunsWithLabel(const std::string& label) const;
  std::vector<std::string> Labels() const;

 private:
  storage::Database db_;
};

}  // namespace mothrack::simulation
