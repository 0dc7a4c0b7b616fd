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

json ToJson(const Second& s) {
  return {{"asked", s.requested},
          {"good", s.good},
          {"late", s.late},
          {"refused", s.refused},
          {"failed", s.failed},
          {"tries", s.client_attempts},
          {"attempts", s.attempts},
          {"connects", s.connects},
          {"overload", s.overload},
          {"nobody", s.no_upstream},
          {"given_up", s.given_up},
          {"copies", s.hedges},
          {"trials", s.half_open_probes},
          {"shed", s.shed},
          {"ejected", s.ejected},
          {"returned", s.returned},
          {"able", s.available_capacity},
          {"demand", s.demand},
          {"held", s.in_flight},
          {"cold", s.warming_up},
          {"down", s.down},
          {"p50", s.p50},
          {"p95", s.p95},
          {"p99", s.p99}};
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
  for (const Breach& b : outcome.breaches)
    breaches.push_back({{"rule", NameOf(b.rule)}, {"at_s", b.at_s}, {"what", b.what}});
  run["breaks"] = std::move(breaches);
  if (const auto recovery = figures.recovery()) {
    run["covered_s"] = recovery->covered_s;
    run["recovered"] = recovery->recovered;
    run["took_s"] = recovery->took_s;
    run["needless"] = recovery->needless;
  }
  if (with_seconds) {
    json seconds = json::array();
    for (const Second& s : figures.seconds()) seconds.push_back(ToJson(s));
    run["seconds"] = std::move(seconds);
  }
  return run;
}

Results::Results(const std::string& path) try : db_(path) {
  constexpr int kBusyMs = 5000;
  db_.SetBusyTimeout(kBusyMs);
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
  storage::Statement keep(db_, "INSERT OR REPLACE INTO run VALUES (?, ?, ?, ?, ?, ?, ?)");
  Bind(keep, key).Text(5, build).Text(6, machine).Text(7, run.dump()).Step();
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
