#include "http/load_report.h"

#include <charconv>
#include <optional>
#include <system_error>

namespace mothrack::http {
namespace {

using balancer::LoadReport;
using boost::beast::string_view;

// Maximum of a plausible load value, whatever its unit.
constexpr double kMaxLoad = 1e6;

std::optional<double> ParseLoad(string_view text) {
  double value = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc() || end != text.data() + text.size()) return std::nullopt;
  if (!(value >= 0 && value <= kMaxLoad)) return std::nullopt;  // from_chars also accepts "nan" and "inf"
  return value;
}

string_view Trim(string_view text) {
  while (!text.empty() && text.front() == ' ') text.remove_prefix(1);
  while (!text.empty() && (text.back() == ' ' || text.back() == '\n' || text.back() == '\r')) {
    text.remove_suffix(1);
  }
  return text;
}

void SetLoad(LoadReport& load, string_view name, double value) {
  if (name == "inflight" || name == "rif") load.in_flight = value;
  if (name == "queue" || name == "q") load.queued = value;
  if (name == "util" || name == "busy") load.utilization = value;
  if (name == "qps" || name == "rate") load.rate = value;
}

}  // namespace

LoadReport ParseLoadReport(string_view text) {
  LoadReport load;
  while (!text.empty()) {
    const auto comma = text.find(',');
    const string_view field = Trim(text.substr(0, comma));
    text = comma == string_view::npos ? string_view() : text.substr(comma + 1);
    const auto equals = field.find('=');
    if (equals == string_view::npos) continue;
    const auto value = ParseLoad(field.substr(equals + 1));
    if (!value) return {};
    SetLoad(load, field.substr(0, equals), *value);
  }
  return load;
}

}  // namespace mothrack::http
