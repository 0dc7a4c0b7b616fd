#include "simulation/report.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <map>
#include <sstream>

namespace mothrack::simulation {
namespace {

using nlohmann::json;

// The palette of Okabe and Ito, which people with colour vision deficiency can tell apart.
constexpr const char* kGreen = "#009e73";
constexpr const char* kYellow = "#e69f00";
constexpr const char* kRed = "#d55e00";
constexpr const char* kPurple = "#cc79a7";
constexpr const char* kBlue = "#0072b2";
constexpr const char* kSky = "#56b4e9";

std::string HtmlPage(const std::string& title, const std::string& body) {
  return "<!doctype html>\n<html lang=en><head><meta charset=utf-8>"
         "<meta name=viewport content=\"width=device-width, initial-scale=1\"><title>" +
         EscapeHtml(title) +
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

// One chart of a run's page. SeriesSpec::key is a key of the JSON object of a second
// (src/simulation/results.cpp).
struct ChartSpec {
  struct SeriesSpec {
    const char* name = nullptr;
    const char* colour = nullptr;
    const char* key = nullptr;
  };
  const char* title;
  const char* unit;
  bool stacked;  // draws stacked areas instead of lines
  std::array<SeriesSpec, 4> series;
};
constexpr std::array<ChartSpec, 6> kCharts = {{
    {"Client requests by result",
     "per second, by start time",
     true,
     {{{"served within the latency objective", kGreen, "good"},
       {"served late", kYellow, "late"},
       {"rejected", kSky, "refused"},
       {"failed", kRed, "failed"}}}},
    {"Capacity and demand",
     "share of the capacity of all servers without slow start",
     false,
     {{{"available capacity", kGreen, "able"},
       {"demand", kBlue, "demand"},
       {"share shed as overload", kRed, "shed"}}}},
    {"Latency of served requests",
     "ms",
     false,
     {{{"median", kGreen, "p50"}, {"95%", kYellow, "p95"}, {"99%", kRed, "p99"}}}},
    {"Requests not served by the sidecars, by reason",
     "requests per second",
     true,
     {{{"overload", kSky, "overload"},
       {"no upstream available", kPurple, "nobody"},
       {"given up after attempts", kYellow, "given_up"}}}},
    {"Servers",
     "number of servers; number of calls at all servers",
     false,
     {{{"in slow start", kBlue, "cold"},
       {"down or unresponsive", kRed, "down"},
       {"calls in flight", kGreen, "held"}}}},
    {"Additional work of the sidecars",
     "per second",
     false,
     {{{"new connections", kBlue, "connects"},
       {"hedged requests", kYellow, "copies"},
       {"half-open probes", kPurple, "trials"},
       {"ejections", kRed, "ejected"}}}},
}};

// The rows of the table at the top of a run's page: a key of the run's JSON object
// (src/simulation/results.cpp) and what it means.
struct SummaryRow {
  const char* key;
  const char* label;
};
constexpr std::array<SummaryRow, 14> kSummaryRows = {{
    {"asked", "client requests"},
    {"good", "served within the latency objective"},
    {"late", "served late"},
    {"refused", "rejected"},
    {"failed", "failed"},
    {"gained", "share of the priority weight served within the latency objective"},
    {"p50_ms", "median latency, ms"},
    {"p99_ms", "99th percentile of the latency, ms"},
    {"attempts_a_try", "attempts per request to a sidecar"},
    {"connects_a_try", "new connections per request to a sidecar"},
    {"covered_s", "time from which the capacity covered the demand, s"},
    {"took_s", "time from then until service recovered, s"},
    {"needless", "share of client requests not served despite spare capacity"},
    {"digest", "digest"},
}};

std::vector<double> SeriesValues(const json& seconds, const char* key) {
  std::vector<double> values;
  for (const json& second : seconds) values.push_back(second.value(key, 0.0));
  return values;
}

}  // namespace

std::string RunPage(const json& run, const std::string& about, const std::vector<FaultBand>& faults,
                    const std::vector<std::string>& verdicts) {
  const json& seconds = run.at("seconds");
  std::ostringstream body;
  body << "<h1>" << EscapeHtml(run.value("scenario", "")) << ", seed " << run.value("seed", std::uint64_t{0})
       << "</h1>\n<p>" << EscapeHtml(about) << "</p>\n<table>";
  for (const SummaryRow& row : kSummaryRows) {
    if (!run.contains(row.key)) continue;
    const json& value = run[row.key];
    body << "<tr><td>" << row.label << "</td><td>"
         << (value.is_string() ? EscapeHtml(value) : FormatNumber(value.get<double>())) << "</td></tr>";
  }
  body << "</table>\n<ul>";
  for (const std::string& verdict : verdicts) {
    body << "<li class=" << (verdict.starts_with("held") ? "good" : "bad") << '>' << EscapeHtml(verdict)
         << "</li>";
  }
  body << "</ul>\n";

  for (const ChartSpec& spec : kCharts) {
    Chart chart(spec.title, spec.unit, seconds.size(), faults);
    for (const ChartSpec::SeriesSpec& series_spec : spec.series) {
      if (series_spec.key == nullptr) break;
      Series series{series_spec.name, series_spec.colour, SeriesValues(seconds, series_spec.key)};
      if (spec.stacked) {
        chart.AddStacked(std::move(series));
      } else {
        chart.AddLine(std::move(series));
      }
    }
    body << chart.Html();
  }
  return HtmlPage(run.value("scenario", "") + " " + std::to_string(run.value("seed", std::uint64_t{0})),
                  body.str());
}

std::string ComparisonPage(const std::string& a, const std::string& b,
                           const std::vector<ComparisonRow>& rows) {
  std::ostringstream body;
  body << "<h1>" << EscapeHtml(a) << " and " << EscapeHtml(b)
       << "</h1>\n<p>Runs of both labels with the same scenario, settings and seed; the difference is "
       << EscapeHtml(b) << " minus " << EscapeHtml(a)
       << ", with its 95% confidence interval. A coloured difference is statistically significant.</p>\n<div "
          "class=wide><table><tr><th>scenario</th><th>figure</th><th>pairs</th><th>"
       << EscapeHtml(a) << "</th><th>" << EscapeHtml(b)
       << "</th><th>difference</th><th>95% interval</th></tr>\n";
  double min_scale = 1e-12;
  std::map<std::string, double> max_difference;
  for (const ComparisonRow& row : rows) {
    double& figure_max = max_difference[row.figure];
    figure_max =
        std::max({figure_max, std::abs(row.difference.low), std::abs(row.difference.high), min_scale});
  }
  for (const ComparisonRow& row : rows) {
    const Difference& difference = row.difference;
    const bool better = row.higher_is_better == (difference.mean > 0);
    const char* style = !difference.significant() ? "" : better ? "good" : "bad";
    // Maps a difference to the x coordinate of the drawing; zero is at 100.
    const auto x = [&](double value) { return 100 + 95 * value / max_difference[row.figure]; };
    body << "<tr><td>" << EscapeHtml(row.scenario) << "</td><td>" << EscapeHtml(row.figure) << "</td><td>"
         << difference.pairs << "</td><td>" << FormatNumber(row.mean_a) << "</td><td>"
         << FormatNumber(row.mean_b) << "</td><td class=\"" << style << "\">" << FormatNumber(difference.mean)
         << " (" << FormatNumber(difference.low) << " to " << FormatNumber(difference.high)
         << R"()</td><td><svg style="width:200px" viewBox="0 0 200 16">)"
         << "<line class=grid x1=100 x2=100 y1=0 y2=16 /><line stroke=\""
         << (!difference.significant() ? "#888"
             : better                  ? kGreen
                                       : kRed)
         << "\" stroke-width=3 x1=" << x(difference.low) << " x2=" << x(difference.high)
         << " y1=8 y2=8 /><circle cx=" << x(difference.mean) << " cy=8 r=3 /></svg></td></tr>\n";
  }
  body << "</table></div>\n";
  return HtmlPage(a + " and " + b, body.str());
}

}  // namespace mothrack::simulation
