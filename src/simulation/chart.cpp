#include "simulation/chart.h"

#include <algorithm>
#include <cmath>
#include <sstream>
#include <utility>

namespace mothrack::simulation {
namespace {

// Size and margins of the drawing, in SVG user units.
constexpr double kWidth = 900;
constexpr double kHeight = 220;
constexpr double kLeft = 56;
constexpr double kBottom = 28;
constexpr double kTop = 10;
constexpr double kRight = 8;

// Returns the distance between grid lines: 1, 2 or 5 times a power of ten, for at most five lines up to
// `max_value`.
double GridStep(double max_value) {
  const double raw = max_value / 5;
  const double power_of_ten = std::pow(10, std::floor(std::log10(raw)));
  for (const double times : {1.0, 2.0, 5.0}) {
    if (raw <= times * power_of_ten) return times * power_of_ten;
  }
  return 10 * power_of_ten;
}

}  // namespace

std::string EscapeHtml(const std::string& text) {
  std::string out;
  for (const char c : text) {
    if (c == '<')
      out += "&lt;";
    else if (c == '>')
      out += "&gt;";
    else if (c == '&')
      out += "&amp;";
    else if (c == '"')
      out += "&quot;";
    else
      out += c;
  }
  return out;
}

std::string FormatNumber(double value) {
  std::ostringstream out;
  out.precision(std::abs(value) >= 100 ? 0 : std::abs(value) >= 10 ? 1 : 3);
  out << std::fixed << value;
  std::string text = out.str();
  if (text.find('.') != std::string::npos) {
    while (text.back() == '0') text.pop_back();
    if (text.back() == '.') text.pop_back();
  }
  return text;
}

// Maps seconds and values to coordinates of the drawing.
struct Chart::Scale {
  double seconds = 1;
  double max_value = 1;  // the highest grid line
  double step = 1;       // distance between grid lines

  double X(double second) const { return kLeft + (kWidth - kLeft - kRight) * second / seconds; }
  double Y(double value) const { return kTop + (kHeight - kTop - kBottom) * (1 - value / max_value); }
};

Chart::Chart(std::string title, std::string unit, std::size_t seconds, std::vector<FaultBand> bands)
    : title_(std::move(title)), unit_(std::move(unit)), seconds_(seconds), bands_(std::move(bands)) {}

Chart::Scale Chart::ComputeScale() const {
  double max_value = 0;
  for (const Series& series : lines_) {
    for (const double value : series.values) max_value = std::max(max_value, value);
  }
  for (std::size_t i = 0; i < seconds_; ++i) {
    double sum = 0;
    for (const Series& series : stack_) sum += series.values[i];
    max_value = std::max(max_value, sum);
  }
  if (max_value <= 0) max_value = 1;
  const double step = GridStep(max_value);
  max_value = std::ceil(max_value / step) * step;
  return {static_cast<double>(std::max<std::size_t>(1, seconds_)), max_value, step};
}

std::vector<const Series*> Chart::AllSeries() const {
  std::vector<const Series*> all;
  for (const Series& series : stack_) all.push_back(&series);
  for (const Series& series : lines_) all.push_back(&series);
  return all;
}

std::string Chart::BandsSvg(const Scale& scale) const {
  std::ostringstream out;
  for (const FaultBand& band : bands_) {
    out << "<rect class=band x=" << scale.X(band.from_s) << " y=" << kTop
        << " width=" << std::max(2.0, scale.X(band.to_s) - scale.X(band.from_s))
        << " height=" << kHeight - kTop - kBottom << "><title>" << EscapeHtml(band.name)
        << "</title></rect>\n";
  }
  return out.str();
}

std::string Chart::GridSvg(const Scale& scale) const {
  std::ostringstream out;
  const long lines = std::lround(scale.max_value / scale.step);
  for (long i = 0; i <= lines; ++i) {
    const double value = static_cast<double>(i) * scale.step;
    out << "<line class=grid x1=" << kLeft << " x2=" << kWidth - kRight << " y1=" << scale.Y(value)
        << " y2=" << scale.Y(value) << " />"
        << "<text x=" << kLeft - 6 << " y=" << scale.Y(value) + 4 << " text-anchor=end>"
        << FormatNumber(value) << "</text>\n";
  }
  const double tick = std::max(1.0, GridStep(static_cast<double>(seconds_)));
  const auto ticks = static_cast<long>(static_cast<double>(seconds_) / tick);
  for (long i = 0; i <= ticks; ++i) {
    const double second = static_cast<double>(i) * tick;
    out << "<text x=" << scale.X(second) << " y=" << kHeight - 8 << " text-anchor=middle>"
        << FormatNumber(second) << "</text>\n";
  }
  return out.str();
}

std::string Chart::StackSvg(const Scale& scale) const {
  std::ostringstream out;
  std::vector<double> below(seconds_, 0);
  for (const Series& series : stack_) {
    out << "<path fill=\"" << series.colour << "\" d=\"M";
    for (std::size_t i = 0; i < seconds_; ++i) {
      const double top = scale.Y(below[i] + series.values[i]);
      out << scale.X(static_cast<double>(i)) << ',' << top << ' ' << scale.X(static_cast<double>(i + 1))
          << ',' << top << ' ';
    }
    for (std::size_t i = seconds_; i-- > 0;) {
      out << scale.X(static_cast<double>(i + 1)) << ',' << scale.Y(below[i]) << ' '
          << scale.X(static_cast<double>(i)) << ',' << scale.Y(below[i]) << ' ';
      below[i] += series.values[i];
    }
    out << "Z\" />\n";
  }
  return out.str();
}

std::string Chart::LinesSvg(const Scale& scale) const {
  std::ostringstream out;
  for (const Series& series : lines_) {
    out << "<polyline fill=none stroke=\"" << series.colour << "\" points=\"";
    for (std::size_t i = 0; i < seconds_; ++i)
      out << scale.X(static_cast<double>(i) + 0.5) << ',' << scale.Y(series.values[i]) << ' ';
    out << "\" />\n";
  }
  return out.str();
}

std::string Chart::LegendHtml() const {
  std::ostringstream out;
  out << "<p class=legend>";
  for (const Series* series : AllSeries())
    out << "<span><i style=\"background:" << series->colour << "\"></i>" << EscapeHtml(series->name)
        << "</span> ";
  if (!bands_.empty()) out << "<span><i class=bandkey></i>injected fault</span>";
  out << "</p>\n";
  return out.str();
}

std::string Chart::TableHtml() const {
  std::ostringstream out;
  out << "<details><summary>show as a table</summary><div class=wide><table><tr><th>s</th>";
  for (const Series* series : AllSeries()) out << "<th>" << EscapeHtml(series->name) << "</th>";
  out << "</tr>\n";
  for (std::size_t i = 0; i < seconds_; ++i) {
    out << "<tr><td>" << i << "</td>";
    for (const Series* series : AllSeries()) out << "<td>" << FormatNumber(series->values[i]) << "</td>";
    out << "</tr>\n";
  }
  out << "</table></div></details>";
  return out.str();
}

std::string Chart::Html() const {
  const Scale scale = ComputeScale();
  std::ostringstream out;
  out << "<figure><figcaption>" << EscapeHtml(title_) << " <span class=unit>" << EscapeHtml(unit_)
      << "</span></figcaption>\n<div class=wide>"
      << "<svg viewBox=\"0 0 " << kWidth << ' ' << kHeight << "\" role=img aria-label=\""
      << EscapeHtml(title_) << "\">\n";
  out << BandsSvg(scale) << GridSvg(scale) << StackSvg(scale) << LinesSvg(scale) << "</svg></div>\n"
      << LegendHtml() << TableHtml() << "</figure>\n";
  return out.str();
}

}  // namespace mothrack::simulation
