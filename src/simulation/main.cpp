// mothrack-lab: from a question to a table or a picture. docs/operators/simulator.md.
#include <sys/utsname.h>
#include <unistd.h>

#include <CLI/CLI.hpp>
#include <chrono>
#include <cstdio>
#include <fstream>
#include <iostream>
#include <thread>

#include "simulation/load_generator.h"
#include "simulation/report.h"
#include "simulation/results.h"
#include "simulation/search.h"
#include "simulation/simulation_run.h"
#include "simulation/statistics.h"
#include "simulation/sweep.h"

namespace mothrack::simulation {
namespace {

using nlohmann::json;

// Exit codes: scripts rest on them.
constexpr int kExpectationsMet = 0;
constexpr int kUsage = 1;
constexpr int kExpectationsMissed = 2;  // a rule is broken, or what must hold did not

std::string MachineName() {
  utsname name{};
  ::uname(&name);
  return std::string(name.nodename) + ' ' + name.machine + ", " +
         std::to_string(std::thread::hardware_concurrency()) + " cores";
}

// "held: ..." or "not held: ..."
std::vector<std::string> Verdicts(const Scenario& scenario, const json& run) {
  std::vector<std::string> verdicts;
  const auto say = [&](bool expectations_met, const std::string& what) {
    verdicts.push_back((expectations_met ? "held: " : "not held: ") + what);
  };
  say(run.value("broken", 0) == 0, "the four rules");
  for (const json& b : run["breaks"]) {
    say(false, "rule " + b.value("rule", "") + " at " + std::to_string(b.value("at_s", 0.0)) +
                   " s: " + b.value("what", ""));
  }
  char text[96];
  if (scenario.served_at_least) {
    std::snprintf(text, sizeof text, "served %.4f, at least %.4f", run.value("served", 0.0),
                  *scenario.served_at_least);
    say(run.value("served", 0.0) >= *scenario.served_at_least, text);
  }
  if (scenario.recovers_within_s) {
    const bool recovered = run.value("recovered", true);
    std::snprintf(text, sizeof text, "back %.0f s behind the room, at most %.0f", run.value("took_s", 0.0),
                  *scenario.recovers_within_s);
    say(recovered && run.value("took_s", 0.0) <= *scenario.recovers_within_s, text);
  }
  return verdicts;
}

bool AllHeld(const std::vector<std::string>& verdicts) {
  return std::all_of(verdicts.begin(), verdicts.end(),
                     [](const std::string& v) { return v.starts_with("held"); });
}

void Print(const json& run) {
  std::printf("%-16s seed %-6llu digest %s  %llu requests\n", run.value("scenario", "").c_str(),
              static_cast<unsigned long long>(run.value("seed", std::uint64_t{0})),
              run.value("digest", "").c_str(),
              static_cast<unsigned long long>(run.value("requests", std::uint64_t{0})));
  std::printf("  asked %llu, in time %llu, late %llu, refused %llu, failed %llu; worth gained %.4f\n",
              static_cast<unsigned long long>(run.value("asked", 0ULL)),
              static_cast<unsigned long long>(run.value("good", 0ULL)),
              static_cast<unsigned long long>(run.value("late", 0ULL)),
              static_cast<unsigned long long>(run.value("refused", 0ULL)),
              static_cast<unsigned long long>(run.value("failed", 0ULL)), run.value("gained", 0.0));
  std::printf("  median %.1f ms, 99%% %.1f ms; %.3f attempts and %.3f connections a try\n",
              run.value("p50_ms", 0.0), run.value("p99_ms", 0.0), run.value("attempts_a_try", 0.0),
              run.value("connects_a_try", 0.0));
  if (run.contains("took_s")) {
    std::printf("  room from %.0f s on; back %s%.0f s behind it; %.4f came to nothing while there was room\n",
                run.value("covered_s", 0.0), run.value("recovered", false) ? "" : "NOT within ",
                run.value("took_s", 0.0), run.value("needless", 0.0));
  }
}

void PrintSeconds(const json& run) {
  const char* const names[] = {"asked",    "good",   "late",   "refused",  "failed",  "overload", "nobody",
                               "given_up", "copies", "trials", "connects", "ejected", "shed",     "able",
                               "demand",   "held",   "cold",   "down",     "p50",     "p95"};
  std::printf("%4s", "s");
  for (const char* name : names) std::printf(" %8s", name);
  std::printf("\n");
  int i = 0;
  for (const json& s : run["seconds"]) {
    std::printf("%4d", i++);
    for (const char* name : names)
      std::printf(s[name].is_number_float() ? " %8.2f" : " %8.0f", s[name].get<double>());
    std::printf("\n");
  }
}

std::vector<Band> Bands(const Scenario& scenario) {
  std::vector<Band> bands;
  for (const Fault& f : scenario.faults)
    bands.push_back({NameOf(f.kind), f.at_s, std::max(f.at_s + 0.2, f.at_s + f.len_s)});
  return bands;
}

void WriteFile(const std::string& path, const std::string& text) {
  std::ofstream file(path, std::ios::binary | std::ios::trunc);
  file << text;
  file.close();
  if (!file) throw std::runtime_error(path + ": can't be written");
}

struct CommandLine {
  std::vector<std::string> scenarios;
  std::vector<std::string> changes;
  std::uint64_t seed = 1;
  std::string report;
  std::string db = "lab.sqlite";
  std::string label = "now";
  bool seconds = false;
  std::string plant = "none";
  std::string expect;
};

InjectedFault InjectedFaultOf(const std::string& name) {
  const std::map<std::string, InjectedFault> names = {{"none", InjectedFault::kNone},
                                                      {"resend", InjectedFault::kResend},
                                                      {"after-drain", InjectedFault::kAfterDrain},
                                                      {"dropped-answer", InjectedFault::kDroppedAnswer},
                                                      {"cold-flood", InjectedFault::kOverloadWarmingUp}};
  return names.at(name);
}

int Run(const CommandLine& options) {
  bool expectations_met = true;
  for (const std::string& path : options.scenarios) {
    const Scenario scenario = LoadScenario(path, options.changes);
    SimulationRun world(scenario, options.seed, InjectedFaultOf(options.plant));
    const auto begin = std::chrono::steady_clock::now();
    const Outcome outcome = world.Run();
    const double took = std::chrono::duration<double>(std::chrono::steady_clock::now() - begin).count();
    const json run = ToJson(scenario, options.seed, outcome, world.figures(), true);
    Print(run);
    std::printf("  %.2f s, %.0f requests a minute\n", took,
                static_cast<double>(outcome.requests) / took * 60);
    const auto verdicts = Verdicts(scenario, run);
    for (const std::string& verdict : verdicts) std::printf("  %s\n", verdict.c_str());
    expectations_met = AllHeld(verdicts) && expectations_met;
    if (options.seconds) PrintSeconds(run);
    if (!options.report.empty())
      WriteFile(options.report, RunPage(run, scenario.about, Bands(scenario), verdicts));
    if (!options.expect.empty() && run["digest"] != options.expect) {
      std::printf("  another history than %s\n", options.expect.c_str());
      expectations_met = false;
    }
  }
  return expectations_met ? kExpectationsMet : kExpectationsMissed;
}

// "1..20" or "7".
std::pair<std::uint64_t, std::uint64_t> SeedsOf(const std::string& text) {
  const auto dots = text.find("..");
  try {
    const std::uint64_t from = std::stoull(text.substr(0, dots));
    const std::uint64_t to = dots == std::string::npos ? from : std::stoull(text.substr(dots + 2));
    if (to < from || to - from > 1'000'000) throw std::invalid_argument(text);
    return {from, to};
  } catch (const std::exception&) {
    throw std::runtime_error("--seeds " + text + ": give a number, or two as 1..20");
  }
}

// "key=a,b,c": a list of changes, one for each value.
std::vector<std::string> Variants(const std::string& text) {
  const auto equals = text.find('=');
  if (equals == std::string::npos)
    throw std::runtime_error("--vary " + text + ": give table.key=value,value");
  std::vector<std::string> changes;
  std::istringstream values(text.substr(equals + 1));
  for (std::string value; std::getline(values, value, ',');)
    changes.push_back(text.substr(0, equals + 1) + value);
  return changes;
}

int Sweep(const CommandLine& options, const std::string& seeds, const std::vector<std::string>& vary,
          std::size_t at_once) {
  const auto [from, to] = SeedsOf(seeds);
  std::vector<std::vector<std::string>> settings = {options.changes};
  for (const std::string& v : vary) {
    std::vector<std::vector<std::string>> more;
    for (const auto& base : settings) {
      for (const std::string& change : Variants(v)) {
        more.push_back(base);
        more.back().push_back(change);
      }
    }
    settings = std::move(more);
  }
  Results results(options.db);
  std::vector<Job> jobs;
  std::vector<RunKey> keys;
  std::size_t there = 0;
  for (const std::string& path : options.scenarios) {
    for (const auto& changes : settings) {
      Scenario scenario = LoadScenario(path, changes);
      for (std::size_t i = options.changes.size(); i < changes.size(); ++i) scenario.name += ' ' + changes[i];
      const std::string hash = HashOf(scenario);
      for (std::uint64_t seed = from; seed <= to; ++seed) {
        const RunKey key{options.label, scenario.name, hash, seed};
        if (results.Has(key)) {
          ++there;
          continue;
        }
        jobs.push_back({scenario, seed});
        keys.push_back(key);
      }
    }
  }
  if (there > 0) std::printf("%zu runs are there already\n", there);
  const auto begin = std::chrono::steady_clock::now();
  const std::string machine = MachineName();
  std::size_t done = 0;
  std::size_t bad = 0;
  PlayAll(jobs, at_once, [&](std::size_t job, const json& run) {
    ++done;
    if (run.is_null()) {
      std::printf("%s seed %llu: its process died\n", keys[job].scenario.c_str(),
                  static_cast<unsigned long long>(keys[job].seed));
      ++bad;
      return true;
    }
    results.Keep(keys[job], MOTHRACK_VERSION, machine, run);
    if (run.value("broken", 0) > 0) {
      ++bad;
      std::printf("%s seed %llu: rule %s\n", keys[job].scenario.c_str(),
                  static_cast<unsigned long long>(keys[job].seed),
                  run["breaks"][0].value("rule", "").c_str());
    }
    const double passed = std::chrono::duration<double>(std::chrono::steady_clock::now() - begin).count();
    if (::isatty(1)) {
      std::printf("\r%zu of %zu, %.0f s left ", done, jobs.size(),
                  passed / static_cast<double>(done) * static_cast<double>(jobs.size() - done));
      std::fflush(stdout);
    }
    return true;
  });
  if (::isatty(1)) std::printf("\n");
  // A row a scenario.
  std::map<std::string, std::vector<json>> by;
  for (const auto& [key, run] : results.Of(options.label)) by[key.scenario].push_back(run);
  std::printf("%-34s %5s %8s %8s %8s %8s %8s %8s\n", "scenario", "runs", "gained", "worst", "took_s", "worst",
              "needless", "p99_ms");
  for (const auto& [name, runs] : by) {
    double gained = 0, least = 1, took = 0, longest = 0, needless = 0, p99 = 0;
    for (const json& run : runs) {
      const auto n = static_cast<double>(runs.size());
      gained += run.value("gained", 0.0) / n;
      least = std::min(least, run.value("gained", 0.0));
      took += run.value("took_s", 0.0) / n;
      longest = std::max(longest, run.value("took_s", 0.0));
      needless += run.value("needless", 0.0) / n;
      p99 += run.value("p99_ms", 0.0) / n;
    }
    std::printf("%-34s %5zu %8.4f %8.4f %8.2f %8.1f %8.4f %8.1f\n", name.c_str(), runs.size(), gained, least,
                took, longest, needless, p99);
  }
  return bad == 0 ? kExpectationsMet : kExpectationsMissed;
}

int CompareLabels(const CommandLine& options, const std::string& a, const std::string& b) {
  const Results results(options.db);
  const auto of_a = results.Of(a);
  const auto of_b = results.Of(b);
  std::map<std::string, std::vector<std::pair<json, json>>> pairs;
  for (const auto& [key, run] : of_a) {
    RunKey other = key;
    other.label = b;
    const auto it = of_b.find(other);
    if (it != of_b.end()) pairs[key.scenario].emplace_back(run, it->second);
  }
  if (pairs.empty())
    throw std::runtime_error("no run of '" + a + "' has one of '" + b + "' with the same scenario and seed");
  std::vector<Row> rows;
  for (const auto& [scenario, runs] : pairs) {
    for (const Figure& figure : ComparedFigures()) {
      Row row{scenario, figure.name, figure.up, 0, 0, {}};
      std::vector<double> differences;
      for (const auto& [first, second] : runs) {
        if (!first.contains(figure.name)) continue;
        const double x = first.value(figure.name, 0.0);
        const double y = second.value(figure.name, 0.0);
        row.a += x / static_cast<double>(runs.size());
        row.b += y / static_cast<double>(runs.size());
        differences.push_back(y - x);
      }
      if (differences.empty()) continue;
      row.difference = Compare(differences);
      rows.push_back(row);
    }
  }
  std::printf("%-22s %-15s %5s %9s %9s %9s  95%% of such\n", "scenario", "figure", "pairs", a.c_str(),
              b.c_str(), "less");
  for (const Row& row : rows) {
    const Difference& d = row.difference;
    const char* mark = !d.tells() ? "" : row.up == (d.mean > 0) ? "better" : "WORSE";
    std::printf("%-22s %-15s %5zu %9.4f %9.4f %9.4f  %.4f to %.4f  %s\n", row.scenario.c_str(),
                row.figure.c_str(), d.pairs, row.a, row.b, d.mean, d.low, d.high, mark);
  }
  if (!options.report.empty()) WriteFile(options.report, ComparisonPage(a, b, rows));
  return kExpectationsMet;
}

int Search(const CommandLine& options, int budget, std::size_t at_once, const std::string& into) {
  std::vector<Scenario> library;
  for (const std::string& path : options.scenarios) library.push_back(LoadScenario(path, options.changes));
  Random random(options.seed);
  std::vector<Job> jobs;
  for (int i = 0; i < budget; ++i) {
    Scenario scenario = Mutated(library[random.Below(library.size())], random);
    scenario.name = "found-" + std::to_string(options.seed) + '-' + std::to_string(i);
    jobs.push_back({scenario, random.Next() >> 12});
  }
  std::size_t found = 0;
  PlayAll(jobs, at_once, [&](std::size_t job, const json& run) {
    const Scenario& scenario = jobs[job].scenario;
    std::string fault = run.is_null() ? "its process died" : "";
    if (!run.is_null() && run.value("broken", 0) > 0) fault = "rule " + run["breaks"][0].value("rule", "");
    if (fault.empty() && run.contains("took_s")) {
      const double from = std::max(run.value("covered_s", 0.0), scenario.FaultsEnd());
      const double back = run.value("recovered", false)
                              ? run.value("covered_s", 0.0) + run.value("took_s", 0.0)
                              : scenario.length_s;
      if (scenario.length_s - from >= 17 && back - from > 12)
        fault = "trouble outlives its cause by " + std::to_string(static_cast<int>(back - from)) + " s";
    }
    if (fault.empty()) return true;
    ++found;
    std::printf("%s seed %llu: %s\n", scenario.name.c_str(), static_cast<unsigned long long>(jobs[job].seed),
                fault.c_str());
    if (!into.empty()) {
      Scenario found = scenario;
      found.about = fault + ", seed " + std::to_string(jobs[job].seed);
      WriteFile(into + '/' + found.name + ".toml", ToToml(found));
    }
    return true;
  });
  std::printf("%zu of %d show trouble\n", found, budget);
  return found == 0 ? kExpectationsMet : kExpectationsMissed;
}

int Shrink(const CommandLine& options, int budget) {
  const Scenario scenario = LoadScenario(options.scenarios.at(0), options.changes);
  const auto fault = [&](const Scenario& s) {
    SimulationRun world(s, options.seed, InjectedFaultOf(options.plant));
    const Outcome outcome = world.Run();
    return FindFault(s, outcome, world.figures());
  };
  const std::string whole = fault(scenario);
  if (whole.empty()) {
    std::fprintf(stderr, "nothing is wrong with seed %llu\n", static_cast<unsigned long long>(options.seed));
    return kUsage;
  }
  // The same kind of trouble: its first words.
  const std::string kind = whole.substr(0, 12);
  const Scenario small = Shrunk(
      scenario, [&](const Scenario& s) { return fault(s).starts_with(kind); }, budget);
  SimulationRun world(small, options.seed, InjectedFaultOf(options.plant));
  const Outcome outcome = world.Run();
  std::printf("# %s; seed %llu\n", FindFault(small, outcome, world.figures()).c_str(),
              static_cast<unsigned long long>(options.seed));
  for (const Breach& b : outcome.breaches) std::printf("# %.3f s: %s\n", b.at_s, b.what.c_str());
  std::printf("%s", ToToml(small).c_str());
  return kExpectationsMissed;
}

int PlayLoad(const LoadConfig& config) {
  const LoadResult result = Load(config);
  std::printf("%llu due in %.1f s: %llu served, %llu refused, %llu failed\n",
              static_cast<unsigned long long>(result.due), result.seconds,
              static_cast<unsigned long long>(result.served), static_cast<unsigned long long>(result.refused),
              static_cast<unsigned long long>(result.failed));
  std::printf("%-26s %9s %9s %9s %9s\n", "ms", "median", "95%", "99%", "99.9%");
  const auto row = [](const char* name, const Times& times) {
    std::printf("%-26s %9.2f %9.2f %9.2f %9.2f\n", name, Quantile(times, 0.5), Quantile(times, 0.95),
                Quantile(times, 0.99), Quantile(times, 0.999));
  };
  row("from when it was due", result.from_due);
  row("from when it was sent", result.from_sent);
  return kExpectationsMet;
}

}  // namespace
}  // namespace mothrack::simulation

int main(int argc, char** argv) {
  using namespace mothrack::simulation;
  CLI::App app{"Plays fleets in made-up time around the sidecar's own decisions, and loads real ones."};
  app.set_version_flag("--version", MOTHRACK_VERSION);
  app.require_subcommand(1);
  app.footer("Exit codes: 0 all held; 1 usage or a fault in a file; 2 something did not hold.");
  CommandLine options;
  std::string seeds = "1..8";
  std::vector<std::string> vary;
  std::size_t jobs = std::max(1U, std::thread::hardware_concurrency());
  std::string a;
  std::string b;
  std::string into;
  int budget = 200;
  LoadConfig load;
  const auto common = [&](CLI::App* sub) {
    sub->add_option("scenario", options.scenarios, "scenario files (TOML)")
        ->required()
        ->check(CLI::ExistingFile);
    sub->add_option("--set", options.changes, "table.key=value, laid over the file");
  };
  auto* run = app.add_subcommand("run", "one run, with its verdicts");
  common(run);
  run->add_option("--seed", options.seed, "of everything that is drawn");
  run->add_flag("--seconds", options.seconds, "a row a second");
  run->add_option("--report", options.report, "an HTML page, written here");
  run->add_option("--plant", options.plant, "a fault put in on purpose")
      ->check(CLI::IsMember({"none", "resend", "after-drain", "dropped-answer", "cold-flood"}));
  run->add_option("--expect", options.expect, "the digest that it must have: a replay");
  auto* sweep =
      app.add_subcommand("sweep", "many seeds and settings, side by side; goes on where it was cut short");
  common(sweep);
  sweep->add_option("--seeds", seeds, "1..8");
  sweep->add_option("--vary", vary, "table.key=value,value: each of them");
  sweep->add_option("--jobs", jobs, "at once")->check(CLI::Range(1, 1024));
  sweep->add_option("--db", options.db, "where results are kept");
  sweep->add_option("--label", options.label, "of this build or these settings");
  auto* compare = app.add_subcommand("compare", "two labels on the same scenarios and seeds");
  compare->add_option("a", a)->required();
  compare->add_option("b", b)->required();
  compare->add_option("--db", options.db, "where results are kept")->check(CLI::ExistingFile);
  compare->add_option("--report", options.report, "an HTML page, written here");
  auto* search = app.add_subcommand(
      "search", "scenarios changed at random, for broken rules and trouble that outlives its cause");
  common(search);
  search->add_option("--seed", options.seed, "of the changes");
  search->add_option("--budget", budget, "runs")->check(CLI::Range(1, 1'000'000));
  search->add_option("--jobs", jobs, "at once")->check(CLI::Range(1, 1024));
  search->add_option("--into", into, "a folder for what is found")->check(CLI::ExistingDirectory);
  auto* shrink = app.add_subcommand("shrink", "the smallest scenario that shows the same trouble");
  common(shrink);
  shrink->add_option("--seed", options.seed, "that shows it");
  shrink->add_option("--budget", budget, "runs")->check(CLI::Range(1, 1'000'000));
  shrink->add_option("--plant", options.plant, "a fault put in on purpose")
      ->check(CLI::IsMember({"none", "resend", "after-drain", "dropped-answer", "cold-flood"}));
  auto* real = app.add_subcommand("load", "open-loop HTTP load on a real sidecar on this machine");
  real->add_option("--port", load.port, "where it listens")->required();
  real->add_option("--target", load.target, "path");
  real->add_option("--rate", load.rate, "a second")->check(CLI::Range(0.1, 1e6));
  real->add_option("--seconds", load.length_s, "how long")->check(CLI::Range(0.1, 3600.0));
  real->add_option("--poisson", load.poisson_seed,
                   "a seed: requests come as independent clients', not evenly");
  real->add_option("--timeout-ms", load.timeout_ms, "a request's time")->check(CLI::Range(1, 600'000));
  real->add_option("--connections", load.connections, "at most")->check(CLI::Range(1, 20'000));
  CLI11_PARSE(app, argc, argv);
  try {
    if (*run) return Run(options);
    if (*sweep) return Sweep(options, seeds, vary, jobs);
    if (*compare) return CompareLabels(options, a, b);
    if (*search) return Search(options, budget, jobs, into);
    if (*shrink) return Shrink(options, budget);
    return PlayLoad(load);
  } catch (const std::exception& e) {
    std::cerr << "mothrack-lab: " << e.what() << '\n';
    return kUsage;
  }
}
