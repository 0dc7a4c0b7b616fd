// The results of runs, stored in one SQLite file: by scenario, its settings, seed and the label of the build
// or settings that are compared. A run that is stored is not made again, so that a sweep which was cut short
// continues where it was.
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

// The figures by which runs are compared; higher is better where `up`.
struct Figure {
  const char* name;
  bool up;
};
const std::vector<Figure>& ComparedFigures();

// One run as it is stored and shown.
nlohmann::json ToJson(const Scenario& scenario, std::uint64_t seed, const Outcome& outcome,
                      const Figures& figures, bool with_seconds);
// Of the scenario as a file, 16 hexadecimal digits.
std::string HashOf(const Scenario& scenario);

// The result database. One thread; other processes may use the file, and are waited for up to 5 s.
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
