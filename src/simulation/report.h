// Pages that people look at: one HTML file each, with its pictures drawn in it and a table beside each;
// nothing is fetched.
#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "simulation/chart.h"
#include "simulation/statistics.h"

namespace mothrack::simulation {

// Of one run, as results.h keeps it with its seconds. `faults`: as text, for the bands and the list.
std::string RunPage(const nlohmann::json& run, const std::string& about, const std::vector<Band>& faults,
                    const std::vector<std::string>& verdicts);

// Of two labels over the same scenarios and seeds.
struct Row {
  std::string scenario;
  std::string figure;
  bool up = true;  // more is better
  double a = 0;    // means
  double b = 0;
  Difference difference;  // of b less a
};
std::string ComparisonPage(const std::string& a, const std::string& b, const std::vector<Row>& rows);

}  // namespace mothrack::simulation
