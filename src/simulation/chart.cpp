#include "simulation/chart.h"

#include <algorithm>
#include <cmath>
#include <sstream>
#include <utility>

namespace mothrack::simulation {
namespace {

// Of the drawing, in its own units.
constexpr double kWidth = 900;
constexpr double kHeight = 220;
constexpr double kLeft = 56;
constexpr double kBottom = 28;
constexpr double kTop = 10;
constexpr double kRight = 8;

// A round distance between grid lines: some five of them up to `most`.
double Step(double most) {
  const double raw = most / 5;
  const double ten = std::pow(10, std::floor(std::log10(raw)));
  for (const double times : {1.0, 2.0, 5.0}) {
    if (raw <= times * ten) return times * ten;
  }
  return 10 * ten;
}

}  // namespace

std::string Escaped(const std::string& text) {
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

std::string Short(double value) {
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

// From seconds and values to places in the drawing.
struct Chart::Scale {
  double seconds = 1;
  double most = 1;  // the highest grid line
  double step = 1;  // between grid lines

  double X(double second) const { return kLeft + (kWidth - kLeft - kRight) * second / seconds; }
  double Y(double value) const { return kTop + (kHeight - kTop - kBottom) * (1 - value / most); }
};

Chart::Chart(std::string title, std::string unit, std::size_t seconds, std::vector<Band> bands)
    : title_(std::move(title)), unit_(std::move(unit)), seconds_(seconds), bands_(std::move(bands)) {}

Chart::Scale Chart::MakeScale() const {
  double most = 0;
  for (const Series& s : lines_) {
    for (const double v : s.values) most = std::max(most, v);
  }
  for (std::size_t i = 0; i < seconds_; ++i) {
    double sum = 0;
    for (const Series& s : stack_) sum += s.values[i];
    most = std::max(most, sum);
  }
  if (most <= 0) most = 1;
  const double step = Step(most);
  most = std::ceil(most / step) * step;
  return {static_cast<double>(std::max<std::size_t>(1, seconds_)), most, step};
}

std::vector<const Series*> Chart::AllSeries() const {
  std::vector<const Series*> all;
  for (const Series& s : stack_) all.push_back(&s);
  for (const Series& s : lines_) all.push_back(&s);
  return all;
}

std::string Chart::BandsSvg(const Scale& scale) const {
  std::ostringstream out;
  for (const Band& band : bands_) {
    out << "<rect class=band x=" << scale.X(band.from_s) << " y=" << kTop
        << " width=" << std::max(2.0, scale.X(band.to_s) - scale.X(band.from_s))
        << " height=" << kHeight - kTop - kBottom << "><title>" << Escaped(band.name) << "</title></rect>\n";
  }
  return out.str();
}

std::string Chart::GridSvg(const Scale& scale) const {
  std::ostringstream out;
  const long lines = std::lround(scale.most / scale.step);
  for (long i = 0; i <= lines; ++i) {
    const double v = static_cast<double>(i) * scale.step;
    out << "<line class=grid x1=" << kLeft << " x2=" << kWidth - kRight << " y1=" << scale.Y(v)
        << " y2=" << scale.Y(v) << " />"
        << "<text x=" << kLeft - 6 << " y=" << scale.Y(v) + 4 << " text-anchor=end>" << Short(v)
        << "</text>\n";
  }
  const double tick = std::max(1.0, Step(static_cast<double>(seconds_)));
  const auto ticks = static_cast<long>(static_cast<double>(seconds_) / tick);
  for (long i = 0; i <= ticks; ++i) {
    const double s = static_cast<double>(i) * tick;
    out << "<text x=" << scale.X(s) << " y=" << kHeight - 8 << " text-anchor=middle>" << Short(s)
        << "</text>\n";
  }
  return out.str();
}

std::string Chart::StackSvg(const Scale& scale) const {
  std::ostringstream out;
  std::vector<double> below(seconds_, 0);
  for (const Series& s : stack_) {
    out << "<path fill=\"" << s.colour << "\" d=\"M";
    for (std::size_t i = 0; i < seconds_; ++i) {
      const double top = scale.Y(below[i] + s.values[i]);
      out << scale.X(static_cast<double>(i)) << ',' << top << ' ' << scale.X(static_cast<double>(i + 1))
          << ',' << top << ' ';
    }
    for (std::size_t i = seconds_; i-- > 0;) {
      out << scale.X(static_cast<double>(i + 1)) << ',' << scale.Y(below[i]) << ' '
          << scale.X(static_cast<double>(i)) << ',' << scale.Y(below[i]) << ' ';
      below[i] += s.values[i];
    }
    out << "Z\" />\n";
  }
  return out.str();
}

std::string Chart::LinesSvg(const Scale& scale) const {
  std::ostringstream out;
  for (const Series& s : lines_) {
    out << "<polyline fill=none stroke=\"" << s.colour << "\" points=\"";
    for (std::size_t i = 0; i < seconds_; ++i)
      out << scale.X(static_cast<double>(i) + 0.5) << ',' << scale.Y(s.values[i]) << ' ';
    out << "\" />\n";
  }
  return out.str();
}

std::string Chart::LegendHtml() const {
  std::ostringstream out;
  out << "<p class=legend>";
  for (const Series* s : AllSeries())
    out << "<span><i style=\"background:" << s->colour << "\"></i>" << Escaped(s->name) << "</span> ";
  if (!bands_.empty()) out << "<span><i class=bandkey></i>trouble</span>";
  out << "</p>\n";
  return out.str();
}

std::string Chart::TableHtml() const {
  std::ostringstream out;
  out << "<details><summary>the same as a table</summary><div class=wide><table><tr><th>s</th>";
  for (const Series* s : AllSeries()) out << "<th>" << Escaped(s->name) << "</th>";
  out << "</tr>\n";
  for (std::size_t i = 0; i < seconds_; ++i) {
    out << "<tr><td>" << i << "</td>";
    for (const Series* s : AllSeries()) out << "<td>" << Short(s->values[i]) << "</td>";
    out << "</tr>\n";
  }
  out << "</table></div></details>";
  return out.str();
}

std::string Chart::Html() const {
  const Scale scale = MakeScale();
  std::ostringstream out;
  out << "<figure><figcaption>" << Escaped(title_) << " <span class=unit>" << Escaped(unit_)
      << "</span></figcaption>\n<div class=wide>"
      << "<svg viewBox=\"0 0 " << kWidth << ' ' << kHeight << "\" role=img aria-label=\"" << Escaped(title_)
      << "\">\n";
  out << BandsSvg(scale) << GridSvg(scale) << StackSvg(scale) << LinesSvg(scale) << "</svg></div>\n"
      << LegendHtml() << TableHtml() << "</figure>\n";
  return out.str();
}

}  // namespace mothrack::simulation
