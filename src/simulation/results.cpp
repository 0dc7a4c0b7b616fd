#include "simulation/results.h"

#include <xxhash.h>

#include <cstdio>
#include <memory>
#include <stdexcept>

namespace mothrack::simulation {
namespace {

using nlohmann::json;

storage::Statement& Bind(storage::Statement& statement, const RunKey& key) {
  return statement.Text(1, key.label)
      .Text(2, key.scenario)
      .Text(3, key.settings)
      .Number(4, static_cast<std::int64_t>(key.seed));
}

json ToJson(const Second& second) {
  return {{"asked", second.requested},
          {"good", second.good},
          {"late", second.late},
          {"refused", second.refused},
          {"failed", second.failed},
          {"tries", second.client_attempts},
          {"attempts", second.attempts},
          {"connects", second.connects},
          {"overload", second.overload},
          {"nobody", second.no_upstream},
          {"given_up", second.given_up},
          {"copies", second.hedges},
          {"trials", second.half_open_probes},
          {"shed", second.shed},
          {"ejected", second.ejected},
          {"returned", second.returned},
          {"able", second.available_capacity},
          {"demand", second.demand},
          {"held", second.in_flight},
          {"cold", second.warming_up},
          {"down", second.down},
          {"p50", second.p50},
          {"p95", second.p95},
          {"p99", second.p99}};
}

}  // namespace

const std::vector<Figure>& ComparedFigures() {
  static const std::vector<Figure> kFigures = {
      {"gained", true},  {"served", true},    {"p50_ms", false},         {"p99_ms", false},
      {"took_s", false}, {"needless", false}, {"attempts_a_try", false}, {"connects_a_try", false}};
  return kFigures;
}

std::string HashOf(const Scenario& scenario) {
  const std::string text = ToToml(scenario);
  char hash[17];
  std::snprintf(hash, sizeof hash, "%016llx",
                static_cast<unsigned long long>(XXH64(text.data(), text.size(), 0)));
  return hash;
}

json ToJson(const Scenario& scenario, std::uint64_t seed, const RunOutcome& outcome, const Figures& figures,
            bool with_seconds) {
  const Second sum = figures.Sum();
  const double client_attempts = static_cast<double>(std::max<std::uint64_t>(1, sum.client_attempts));
  char digest[17];
  std::snprintf(digest, sizeof digest, "%016llx", static_cast<unsigned long long>(outcome.digest));
  json run = {{"scenario", scenario.name},
              {"seed", seed},
              {"digest", digest},
              {"events", outcome.events},
              {"requests", outcome.requests},
              {"broken", outcome.broken},
              {"asked", sum.requested},
              {"good", sum.good},
              {"late", sum.late},
              {"refused", sum.refused},
              {"failed", sum.failed},
              {"gained", figures.gained_share()},
              {"served", figures.served_share()},
              {"p50_ms", figures.LatencyQuantile(0.5)},
              {"p99_ms", figures.LatencyQuantile(0.99)},
              {"attempts_a_try", static_cast<double>(sum.attempts) / client_attempts},
              {"connects_a_try", static_cast<double>(sum.connects) / client_attempts},
              {"ejected", sum.ejected}};
  json breaches = json::array();
  for (const Breach& breach : outcome.breaches)
    breaches.push_back({{"rule", NameOf(breach.rule)}, {"at_s", breach.at_s}, {"what", breach.what}});
  run["breaks"] = std::move(breaches);
  if (const auto recovery = figures.recovery()) {
    run["covered_s"] = recovery->covered_s;
    run["recovered"] = recovery->recovered;
    run["took_s"] = recovery->took_s;
    run["needless"] = recovery->needless;
  }
  if (with_seconds) {
    json seconds = json::array();
    for (const Second& second : figures.seconds()) seconds.push_back(ToJson(second));
    run["seconds"] = std::move(seconds);
  }
  return run;
}

Results::Results(const std::string& path) try : db_(path) {
  constexpr int kBusyTimeoutMs = 5000;
  db_.SetBusyTimeout(kBusyTimeoutMs);
  db_.Run(
      "CREATE TABLE IF NOT EXISTS run (label TEXT, scenario TEXT, settings TEXT, seed INTEGER, build TEXT, "
      "machine TEXT, "
      "json TEXT NOT NULL, PRIMARY KEY (label, scenario, settings, seed))");
} catch (const std::runtime_error& e) {
  throw std::runtime_error(path + ": " + e.what());
}

bool Results::Has(const RunKey& key) const {
  storage::Statement find(db_,
                          "SELECT 1 FROM run WHERE label = ? AND scenario = ? AND settings = ? AND seed = ?");
  return Bind(find, key).Step();
}

void Results::Store(const RunKey& key, const std::string& build, const std::string& machine,
                    const json& run) {
  storage::Statement insert(db_, "INSERT OR REPLACE INTO run VALUES (?, ?, ?, ?, ?, ?, ?)");
  Bind(insert, key).Text(5, build).Text(6, machine).Text(7, run.dump()).Step();
}

std::map<RunKey, json> Results::RunsWithLabel(const std::string& label) const {
  std::map<RunKey, json> runs;
  storage::Statement find(db_, "SELECT scenario, settings, seed, json FROM run WHERE label = ?");
  find.Text(1, label);
  while (find.Step()) {
    runs[{label, find.Text(0), find.Text(1), static_cast<std::uint64_t>(find.Number(2))}] =
        json::parse(find.Text(3));
  }
  return runs;
}

std::vector<std::string> Results::Labels() const {
  std::vector<std::string> labels;
  storage::Statement find(db_, "SELECT DISTINCT label FROM run ORDER BY label");
  while (find.Step()) labels.push_back(find.Text(0));
  return labels;
}

}  // namespace mothrack::simulation
