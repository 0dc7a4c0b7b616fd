// The command compare: paired differences between the runs of two labels that have the same scenario,
// settings and seed.
#include <cstdio>
#include <stdexcept>

#include "simulation/commands.h"
#include "simulation/exit_code.h"
#include "simulation/report.h"
#include "simulation/results.h"
#include "simulation/statistics.h"
#include "simulation/text_file.h"

namespace mothrack::simulation {
namespace {

using nlohmann::json;
using Pairs = std::vector<std::pair<json, json>>;

// Returns the pairs of runs by scenario. Throws if the labels have no run in common.
std::map<std::string, Pairs> PairedRuns(const Results& results, const std::string& a, const std::string& b) {
  const auto runs_a = results.RunsWithLabel(a);
  const auto runs_b = results.RunsWithLabel(b);
  std::map<std::string, Pairs> pairs;
  for (const auto& [key, run] : runs_a) {
    RunKey key_b = key;
    key_b.label = b;
    const auto it = runs_b.find(key_b);
    if (it != runs_b.end()) pairs[key.scenario].emplace_back(run, it->second);
  }
  if (pairs.empty())
    throw std::runtime_error("no run of label '" + a +
                             "' has the scenario, settings and seed of a run of label '" + b + "'");
  return pairs;
}

// Compares one figure over all pairs of a scenario. Returns nothing if no run has the figure.
std::optional<ComparisonRow> CompareFigure(const std::string& scenario, const Figure& figure,
                                           const Pairs& runs) {
  ComparisonRow row{scenario, figure.name, figure.higher_is_better, 0, 0, {}};
  std::vector<double> differences;
  for (const auto& [first, second] : runs) {
    if (!first.contains(figure.name)) continue;
    const double value_a = first.value(figure.name, 0.0);
    const double value_b = second.value(figure.name, 0.0);
    row.mean_a += value_a / static_cast<double>(runs.size());
    row.mean_b += value_b / static_cast<double>(runs.size());
    differences.push_back(value_b - value_a);
  }
  if (differences.empty()) return std::nullopt;
  row.difference = Compare(differences);
  return row;
}

void PrintRows(const std::string& a, const std::string& b, const std::vector<ComparisonRow>& rows) {
  std::printf("%-22s %-15s %5s %9s %9s %9s  95%% confidence\n", "scenario", "figure", "pairs", a.c_str(),
              b.c_str(), "less");  // label b less label a
  for (const ComparisonRow& row : rows) {
    const Difference& difference = row.difference;
    const char* mark = !difference.significant()                       ? ""
                       : row.higher_is_better == (difference.mean > 0) ? "better"
                                                                       : "WORSE";
    std::printf("%-22s %-15s %5zu %9.4f %9.4f %9.4f  %.4f to %.4f  %s\n", row.scenario.c_str(),
                row.figure.c_str(), difference.pairs, row.mean_a, row.mean_b, difference.mean, difference.low,
                difference.high, mark);
  }
}

}  // namespace

int CompareLabels(const Options& options) {
  const std::string& a = options.first_label;
  const std::string& b = options.second_label;
  const Results results(options.db);
  std::vector<ComparisonRow> rows;
  for (const auto& [scenario, runs] : PairedRuns(results, a, b)) {
    for (const Figure& figure : ComparedFigures()) {
      if (auto row = CompareFigure(scenario, figure, runs)) rows.push_back(std::move(*row));
    }
  }
  PrintRows(a, b, rows);
  if (!options.report.empty()) WriteFile(options.report, ComparisonPage(a, b, rows));
  return kExpectationsMet;
}

}  // namespace mothrack::simulation
