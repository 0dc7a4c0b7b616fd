// The HTML pages of the simulator. Each is one file with its charts as inline SVG and a table below each
// chart; it loads nothing from elsewhere.
#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "simulation/chart.h"
#include "simulation/statistics.h"

namespace mothrack::simulation {

// Returns the page of one run. `run` is the result of ToJson (results.h) with its seconds. `faults` are drawn
// behind the curves. `verdicts` are lines that begin with "held" or "not held".
std::string RunPage(const nlohmann::json& run, const std::string& about, const std::vector<FaultBand>& faults,
                    const std::vector<std::string>& verdicts);

// One figure of one scenario, compared between two labels.
struct ComparisonRow {
  std::string scenario;
  std::string figure;
  bool higher_is_better = true;
  double mean_a = 0;
  double mean_b = 0;
  Difference difference;  // label b minus label a
};
// Returns the page that compares two labels over the same scenarios and seeds.
std::string ComparisonPage(const std::string& a, const std::string& b,
                           const std::vector<ComparisonRow>& rows);

}  // namespace mothrack::simulation
