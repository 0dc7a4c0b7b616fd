// Pages that people look at: one HTML file each, with its pictures drawn in it and a table beside each;
// nothing is fetched.
#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "simulation/chart.h"
#include "simulation/statistics.h"

namespace mothrack::simulation {

// Of one run, as ToJson of results.h gives it with its seconds; `faults` are drawn behind the curves.
std::string RunPage(const nlohmann::json& run, const std::string& about, const std::vector<Band>& faults,
                    const std::vector<std::string>& verdicts);

// One figure of one scenario, compared.
struct Row {
  std::string scenario;
  std::string figure;
  bool up = true;  // more is better
  double a = 0;    // means
  double b = 0;
  Difference difference;  // of b less a
};
// Of two labels over the same scenarios and seeds.
std::string ComparisonPage(const std::string& a, const std::string& b, const std::vector<Row>& rows);

}  // namespace mothrack::simulation
