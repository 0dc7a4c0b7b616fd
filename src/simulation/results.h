// The results of runs, stored in one SQLite file. A stored run is identified by its scenario, settings and
// seed, and by a label for the build or the settings that are compared. A sweep skips stored runs, so an
// interrupted sweep continues where it stopped.
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

// The key of a stored run.
struct RunKey {
  std::string label;
  std::string scenario;
  std::string settings;  // hash of the scenario as it was run
  std::uint64_t seed = 0;
  // NOLINTNEXTLINE(modernize-use-nullptr): false finding in the generated comparison.
  auto operator<=>(const RunKey&) const = default;
};

// A figure by which runs are compared.
struct Figure {
  const char* name;
  bool higher_is_better;
};
// Returns the figures that `mothrack-sim compare` compares, in the order in which it prints them.
const std::vector<Figure>& ComparedFigures();

// Returns the results of a run as JSON, as they are stored and shown; with the figures of each second if
// `with_seconds`.
nlohmann::json ToJson(const Scenario& scenario, std::uint64_t seed, const RunOutcome& outcome,
                      const Figures& figures, bool with_seconds);
// Returns a hash of the scenario's TOML text as 16 hexadecimal digits.
std::string HashOf(const Scenario& scenario);

// The result database. Not thread-safe. Other processes may use the file; an operation waits up to 5 s for a
// lock that they hold.
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
