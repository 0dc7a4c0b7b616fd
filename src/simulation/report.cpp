#include "simulation/report.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <map>
#include <sstream>

namespace mothrack::simulation {
namespace {

using nlohmann::json;

// Colours that people who see few can tell apart, by Okabe and Ito.
constexpr const char* kGreen = "#009e73";
constexpr const char* kYellow = "#e69f00";
constexpr const char* kRed = "#d55e00";
constexpr const char* kPurple = "#cc79a7";
constexpr const char* kBlue = "#0072b2";
constexpr const char* kSky = "#56b4e9";

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
      if (picture.stacked) {
        chart.Stack(std::move(series));
      } else {
        chart.Line(std::move(series));
      }
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
         << R"()</td><td><svg style="width:200px" viewBox="0 0 200 16">)"
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
