#include "simulation/report.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <functional>
#include <map>
#include <sstream>

namespace mothrack::simulation {
namespace {

using nlohmann::json;

constexpr double kWidth = 900;
constexpr double kHeight = 220;
constexpr double kLeft = 56;
constexpr double kBottom = 28;
constexpr double kTop = 10;
constexpr double kRight = 8;

// Colours that people who see few can tell apart, by Okabe and Ito.
constexpr const char* kGreen = "#009e73";
constexpr const char* kYellow = "#e69f00";
constexpr const char* kRed = "#d55e00";
constexpr const char* kPurple = "#cc79a7";
constexpr const char* kBlue = "#0072b2";
constexpr const char* kSky = "#56b4e9";

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

struct Series {
  std::string name;
  const char* colour;
  std::vector<double> values;  // one a second
};

class Chart {
 public:
  Chart(std::string title, std::string unit, std::size_t seconds, std::vector<Band> bands)
      : title_(std::move(title)), unit_(std::move(unit)), seconds_(seconds), bands_(std::move(bands)) {}

  void Line(Series series) { lines_.push_back(std::move(series)); }
  // One upon another, in the order of their adding.
  void Stack(Series series) { stack_.push_back(std::move(series)); }

  std::string Html() const {
    std::ostringstream out;
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
    const auto x = [&](double second) {
      return kLeft +
             (kWidth - kLeft - kRight) * second / static_cast<double>(std::max<std::size_t>(1, seconds_));
    };
    const auto y = [&](double value) { return kTop + (kHeight - kTop - kBottom) * (1 - value / most); };
    out << "<figure><figcaption>" << Escaped(title_) << " <span class=unit>" << Escaped(unit_)
        << "</span></figcaption>\n<div class=wide>"
        << "<svg viewBox=\"0 0 " << kWidth << ' ' << kHeight << "\" role=img aria-label=\"" << Escaped(title_)
        << "\">\n";
    for (const Band& band : bands_) {
      out << "<rect class=band x=" << x(band.from_s) << " y=" << kTop
          << " width=" << std::max(2.0, x(band.to_s) - x(band.from_s))
          << " height=" << kHeight - kTop - kBottom << "><title>" << Escaped(band.name)
          << "</title></rect>\n";
    }
    for (double v = 0; v <= most + step / 2; v += step) {
      out << "<line class=grid x1=" << kLeft << " x2=" << kWidth - kRight << " y1=" << y(v) << " y2=" << y(v)
          << " />"
          << "<text x=" << kLeft - 6 << " y=" << y(v) + 4 << " text-anchor=end>" << Short(v) << "</text>\n";
    }
    const double tick = std::max(1.0, Step(static_cast<double>(seconds_)));
    for (double s = 0; s <= static_cast<double>(seconds_); s += tick) {
      out << "<text x=" << x(s) << " y=" << kHeight - 8 << " text-anchor=middle>" << Short(s) << "</text>\n";
    }
    std::vector<double> below(seconds_, 0);
    for (const Series& s : stack_) {
      out << "<path fill=\"" << s.colour << "\" d=\"M";
      for (std::size_t i = 0; i < seconds_; ++i) {
        const double top = y(below[i] + s.values[i]);
        out << x(static_cast<double>(i)) << ',' << top << ' ' << x(static_cast<double>(i + 1)) << ',' << top
            << ' ';
      }
      for (std::size_t i = seconds_; i-- > 0;) {
        out << x(static_cast<double>(i + 1)) << ',' << y(below[i]) << ' ' << x(static_cast<double>(i)) << ','
            << y(below[i]) << ' ';
        below[i] += s.values[i];
      }
      out << "Z\" />\n";
    }
    for (const Series& s : lines_) {
      out << "<polyline fill=none stroke=\"" << s.colour << "\" points=\"";
      for (std::size_t i = 0; i < seconds_; ++i)
        out << x(static_cast<double>(i) + 0.5) << ',' << y(s.values[i]) << ' ';
      out << "\" />\n";
    }
    out << "</svg></div>\n<p class=legend>";
    for (const auto* all : {&stack_, &lines_}) {
      for (const Series& s : *all)
        out << "<span><i style=\"background:" << s.colour << "\"></i>" << Escaped(s.name) << "</span> ";
    }
    if (!bands_.empty()) out << "<span><i class=bandkey></i>trouble</span>";
    out << "</p>\n<details><summary>the same as a table</summary><div class=wide><table><tr><th>s</th>";
    for (const auto* all : {&stack_, &lines_}) {
      for (const Series& s : *all) out << "<th>" << Escaped(s.name) << "</th>";
    }
    out << "</tr>\n";
    for (std::size_t i = 0; i < seconds_; ++i) {
      out << "<tr><td>" << i << "</td>";
      for (const auto* all : {&stack_, &lines_}) {
        for (const Series& s : *all) out << "<td>" << Short(s.values[i]) << "</td>";
      }
      out << "</tr>\n";
    }
    out << "</table></div></details></figure>\n";
    return out.str();
  }

 private:
  static double Step(double most) {
    const double raw = most / 5;
    const double ten = std::pow(10, std::floor(std::log10(raw)));
    for (const double times : {1.0, 2.0, 5.0}) {
      if (raw <= times * ten) return times * ten;
    }
    return 10 * ten;
  }

  const std::string title_;
  const std::string unit_;
  const std::size_t seconds_;
  const std::vector<Band> bands_;
  std::vector<Series> lines_;
  std::vector<Series> stack_;
};

std::string Page(const std::string& title, const std::string& body) {
  return "<!doctype html>\n<html lang=en><head><meta charset=utf-8>"
         "<meta name=viewport content=\"width=device-width, initial-scale=1\"><title>" +
         Escaped(title) +
         "</title>\n<style>body{font:16px/1.5 system-ui,sans-serif;max-width:60rem;margin:1rem "
         "auto;padding:0 1rem;"
         "color:#222}h1{font-size:1.4rem}figure{margin:1.5rem "
         "0}figcaption{font-weight:600}svg{width:100%;height:auto}figure svg{min-width:34rem}"
         "svg "
         "text{font-size:12px;fill:#555}.unit{font-weight:400;color:#555}.grid{stroke:#ddd}.band{fill:#999;"
         "opacity:.18}"
         "polyline{stroke-width:2}.legend span{margin-right:1rem;white-space:nowrap}.legend "
         "i{display:inline-block;"
         "width:.9em;height:.9em;margin-right:.35em;vertical-align:-.1em}.bandkey{background:#ddd}table{"
         "border-collapse:"
         "collapse;font-variant-numeric:tabular-nums}td,th{padding:.15rem "
         ".6rem;text-align:right;border-bottom:1px solid "
         "#eee}td:first-child,th:first-child{text-align:left}.wide{overflow-x:auto}.good{color:#00694d}.bad{"
         "color:#a33c00}"
         "</style></head><body>\n" +
         body + "</body></html>\n";
}

// What a run's page shows, by the members of a second (src/simulation/results.cpp).
struct Picture {
  struct Part {
    const char* name = nullptr;
    const char* colour = nullptr;
    const char* key = nullptr;
  };
  const char* title;
  const char* unit;
  bool stacked;  // one upon another, else lines
  std::array<Part, 4> parts;
};
constexpr std::array<Picture, 6> kPictures = {{
    {"What became of what was asked",
     "a second, by when it was asked",
     true,
     {{{"served in time", kGreen, "good"},
       {"served late", kYellow, "late"},
       {"refused", kSky, "refused"},
       {"failed", kRed, "failed"}}}},
    {"Room",
     "share of what all can do when warm",
     false,
     {{{"able to serve", kGreen, "able"},
       {"asked for", kBlue, "demand"},
       {"share refused as overload", kRed, "shed"}}}},
    {"Time to the answer, of what was served",
     "ms",
     false,
     {{{"median", kGreen, "p50"}, {"95%", kYellow, "p95"}, {"99%", kRed, "p99"}}}},
    {"Refused or given up by the sidecars, by reason",
     "tries a second",
     true,
     {{{"overload", kSky, "overload"},
       {"nobody to send to", kPurple, "nobody"},
       {"given up after attempts", kYellow, "given_up"}}}},
    {"Servers",
     "cold, down; calls held by all",
     false,
     {{{"cold", kBlue, "cold"}, {"down or silent", kRed, "down"}, {"calls held", kGreen, "held"}}}},
    {"What it costs",
     "a second",
     false,
     {{{"new connections", kBlue, "connects"},
       {"second copies", kYellow, "copies"},
       {"trials", kPurple, "trials"},
       {"ejections", kRed, "ejected"}}}},
}};

std::vector<double> Of(const json& seconds, const char* name) {
  std::vector<double> values;
  for (const json& s : seconds) values.push_back(s.value(name, 0.0));
  return values;
}

}  // namespace

std::string RunPage(const json& run, const std::string& about, const std::vector<Band>& faults,
                    const std::vector<std::string>& verdicts) {
  const json& seconds = run.at("seconds");
  const std::size_t n = seconds.size();
  std::ostringstream body;
  body << "<h1>" << Escaped(run.value("scenario", "")) << ", seed " << run.value("seed", std::uint64_t{0})
       << "</h1>\n<p>" << Escaped(about) << "</p>\n<table>";
  for (const char* name : {"asked", "good", "late", "refused", "failed", "gained", "p50_ms", "p99_ms",
                           "attempts_a_try", "connects_a_try", "covered_s", "took_s", "needless", "digest"}) {
    if (!run.contains(name)) continue;
    const json& value = run[name];
    body << "<tr><td>" << name << "</td><td>"
         << (value.is_string() ? Escaped(value) : Short(value.get<double>())) << "</td></tr>";
  }
  body << "</table>\n<ul>";
  for (const std::string& verdict : verdicts) {
    body << "<li class=" << (verdict.starts_with("held") ? "good" : "bad") << '>' << Escaped(verdict)
         << "</li>";
  }
  body << "</ul>\n";

  for (const Picture& picture : kPictures) {
    Chart chart(picture.title, picture.unit, n, faults);
    for (const Picture::Part& part : picture.parts) {
      if (part.key == nullptr) break;
      Series series{part.name, part.colour, Of(seconds, part.key)};
      picture.stacked ? chart.Stack(std::move(series)) : chart.Line(std::move(series));
    }
    body << chart.Html();
  }
  return Page(run.value("scenario", "") + " " + std::to_string(run.value("seed", std::uint64_t{0})),
              body.str());
}

std::string ComparisonPage(const std::string& a, const std::string& b, const std::vector<Row>& rows) {
  std::ostringstream body;
  body << "<h1>" << Escaped(a) << " and " << Escaped(b)
       << "</h1>\n<p>The same seeds under both; the difference is " << Escaped(b) << " less " << Escaped(a)
       << ", with the interval that holds the true mean in 95 of 100 such comparisons. What is in "
          "colour tells.</p>\n<div class=wide><table><tr><th>scenario</th><th>figure</th><th>pairs</th><th>"
       << Escaped(a) << "</th><th>" << Escaped(b) << "</th><th>difference</th><th></th></tr>\n";
  double widest = 1e-12;
  std::map<std::string, double> most;
  for (const Row& row : rows) {
    double& m = most[row.figure];
    m = std::max({m, std::abs(row.difference.low), std::abs(row.difference.high), widest});
  }
  for (const Row& row : rows) {
    const Difference& d = row.difference;
    const bool better = row.up == (d.mean > 0);
    const char* style = !d.tells() ? "" : better ? "good" : "bad";
    const auto x = [&](double v) { return 100 + 95 * v / most[row.figure]; };
    body << "<tr><td>" << Escaped(row.scenario) << "</td><td>" << Escaped(row.figure) << "</td><td>"
         << d.pairs << "</td><td>" << Short(row.a) << "</td><td>" << Short(row.b) << "</td><td class=\""
         << style << "\">" << Short(d.mean) << " (" << Short(d.low) << " to " << Short(d.high)
         << ")</td><td><svg style=\"width:200px\" viewBox=\"0 0 200 16\">"
         << "<line class=grid x1=100 x2=100 y1=0 y2=16 /><line stroke=\""
         << (!d.tells() ? "#888"
             : better   ? kGreen
                        : kRed)
         << "\" stroke-width=3 x1=" << x(d.low) << " x2=" << x(d.high)
         << " y1=8 y2=8 /><circle cx=" << x(d.mean) << " cy=8 r=3 /></svg></td></tr>\n";
  }
  body << "</table></div>\n";
  return Page(a + " and " + b, body.str());
}

}  // namespace mothrack::simulation
