// A chart over the seconds of a run: an SVG drawing in an HTML <figure> element, with the same values as a
// table below it.
#pragma once

#include <cstddef>
#include <string>
#include <utility>
#include <vector>

namespace mothrack::simulation {

// The time span of a fault, drawn behind the curves.
struct FaultBand {
  std::string name;
  double from_s = 0;
  double to_s = 0;
};

// One curve or one stacked area of a chart.
struct Series {
  std::string name;
  const char* colour;          // a CSS colour
  std::vector<double> values;  // one for each second of the chart
};

// Returns the text with the characters <, >, & and " escaped for HTML.
std::string EscapeHtml(const std::string& text);
// Formats a number with up to three decimal places, fewer for larger numbers, and without trailing zeros.
std::string FormatNumber(double value);

// Holds copies of the series and bands. Not thread-safe.
class Chart {
 public:
  Chart(std::string title, std::string unit, std::size_t seconds, std::vector<FaultBand> bands);

  // Adds a curve.
  void AddLine(Series series) { lines_.push_back(std::move(series)); }
  // Adds an area on top of the areas added before.
  void AddStacked(Series series) { stack_.push_back(std::move(series)); }

  std::string Html() const;

 private:
  struct Scale;

  Scale ComputeScale() const;
  // Returns the stacked areas in order, then the lines.
  std::vector<const Series*> AllSeries() const;
  std::string BandsSvg(const Scale& scale) const;
  std::string GridSvg(const Scale& scale) const;
  std::string StackSvg(const Scale& scale) const;
  std::string LinesSvg(const Scale& scale) const;
  std::string LegendHtml() const;
  std::string TableHtml() const;

  const std::string title_;
  const std::string unit_;
  const std::size_t seconds_;
  const std::vector<FaultBand> bands_;
  std::vector<Series> lines_;
  std::vector<Series> stack_;
};

}  // namespace mothrack::simulation
