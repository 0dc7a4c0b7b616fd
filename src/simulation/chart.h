// A chart over the seconds of a run, as SVG within an HTML figure, with the same figures as a table below it.
#pragma once

#include <cstddef>
#include <string>
#include <utility>
#include <vector>

namespace mothrack::simulation {

// A fault's time, drawn behind the curves.
struct Band {
  std::string name;
  double from_s = 0;
  double to_s = 0;
};

struct Series {
  std::string name;
  const char* colour;          // as CSS has it
  std::vector<double> values;  // one a second, as many as the chart has
};

// The text with what HTML takes for markup escaped.
std::string Escaped(const std::string& text);
// The number with as many digits as a reader needs.
std::string Short(double value);

// Not thread-safe; keeps copies of all that it is given.
class Chart {
 public:
  Chart(std::string title, std::string unit, std::size_t seconds, std::vector<Band> bands);

  // Adds a curve.
  void Line(Series series) { lines_.push_back(std::move(series)); }
  // Adds an area upon those added before.
  void Stack(Series series) { stack_.push_back(std::move(series)); }

  std::string Html() const;

 private:
  struct Scale;

  Scale MakeScale() const;
  // Those of the stack, then the lines.
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
  const std::vector<Band> bands_;
  std::vector<Series> lines_;
  std::vector<Series> stack_;
};

}  // namespace mothrack::simulation
