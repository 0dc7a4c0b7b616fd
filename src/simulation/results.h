// What was played, kept in one SQLite file: by scenario, its settings, seed and the label of the build or
// settings that are compared. A run that is there is not played again, so that a sweep which was cut short
// goes on where it was.
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

struct RunKey {
  std::string label;
  std::string scenario;
  std::string settings;  // hash of the scenario as it was played
  std::uint64_t seed = 0;
  // NOLINTNEXTLINE(modernize-use-nullptr): false finding in the comparison that the compiler writes.
  auto operator<=>(const RunKey&) const = default;
};

// The figures by which runs are compared; higher is better where `up`.
struct Figure {
  const char* name;
  bool up;
};
const std::vector<Figure>& ComparedFigures();

// One run as it is kept and told.
nlohmann::json ToJson(const Scenario& scenario, std::uint64_t seed, const Outcome& outcome,
                      const Figures& figures, bool with_seconds);
std::string HashOf(const Scenario& scenario);

class Results {
 public:
  // Throws std::runtime_error where the file can't be used.
  explicit Results(const std::string& path);

  bool Has(const RunKey& key) const;
  void Keep(const RunKey& key, const std::string& build, const std::string& machine,
            const nlohmann::json& run);
  std::map<RunKey, nlohmann::json> Of(const std::string& label) const;
  std::vector<std::string> Labels() const;

 private:
  storage::Database db_;
};

}  // namespace mothrack::simulation
