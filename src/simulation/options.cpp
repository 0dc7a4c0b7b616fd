#include "simulation/options.h"

#include <CLI/CLI.hpp>
#include <algorithm>
#include <map>
#include <thread>
#include <utility>

namespace mothrack::simulation {
namespace {

using Subcommands = std::vector<std::pair<Command, CLI::App*>>;

// The names by which --plant is given.
const std::map<std::string, InjectedFault>& InjectedFaults() {
  static const std::map<std::string, InjectedFault> kNames = {
      {"none", InjectedFault::kNone},
      {"resend", InjectedFault::kResend},
      {"after-drain", InjectedFault::kAfterDrain},
      {"dropped-answer", InjectedFault::kDroppedAnswer},
      {"cold-flood", InjectedFault::kOverloadWarmingUp}};
  return kNames;
}

void AddScenarioOptions(CLI::App* command, Options& options) {
  command->add_option("scenario", options.scenarios, "scenario files (TOML)")
      ->required()
      ->check(CLI::ExistingFile);
  command->add_option("--set", options.changes, "table.key=value, laid over the file");
}

void AddInjectedFaultOption(CLI::App* command, std::string& name) {
  command->add_option("--plant", name, "a fault put in on purpose")
      ->check(CLI::IsMember({"none", "resend", "after-drain", "dropped-answer", "cold-flood"}));
}

CLI::App* AddRun(CLI::App& app, Options& options, std::string& injected_fault) {
  CLI::App* run = app.add_subcommand("run", "one run, with its verdicts");
  AddScenarioOptions(run, options);
  run->add_option("--seed", options.seed, "of everything that is drawn");
  run->add_flag("--seconds", options.seconds, "a row a second");
  run->add_option("--report", options.report, "an HTML page, written here");
  AddInjectedFaultOption(run, injected_fault);
  run->add_option("--expect", options.expected_digest, "the digest that it must have: a replay");
  return run;
}

CLI::App* AddSweep(CLI::App& app, Options& options) {
  CLI::App* sweep =
      app.add_subcommand("sweep", "many seeds and settings, side by side; goes on where it was cut short");
  AddScenarioOptions(sweep, options);
  sweep->add_option("--seeds", options.seeds, "1..8");
  sweep->add_option("--vary", options.vary, "table.key=value,value: each of them");
  sweep->add_option("--jobs", options.jobs, "at once")->check(CLI::Range(1, 1024));
  sweep->add_option("--db", options.db, "where results are kept");
  sweep->add_option("--label", options.label, "of this build or these settings");
  return sweep;
}

CLI::App* AddCompare(CLI::App& app, Options& options) {
  CLI::App* compare = app.add_subcommand("compare", "two labels on the same scenarios and seeds");
  compare->add_option("a", options.first_label)->required();
  compare->add_option("b", options.second_label)->required();
  compare->add_option("--db", options.db, "where results are kept")->check(CLI::ExistingFile);
  compare->add_option("--report", options.report, "an HTML page, written here");
  return compare;
}

CLI::App* AddSearch(CLI::App& app, Options& options) {
  CLI::App* search = app.add_subcommand(
      "search", "scenarios changed at random, for broken rules and trouble that outlives its cause");
  AddScenarioOptions(search, options);
  search->add_option("--seed", options.seed, "of the changes");
  search->add_option("--budget", options.budget, "runs")->check(CLI::Range(1, 1'000'000));
  search->add_option("--jobs", options.jobs, "at once")->check(CLI::Range(1, 1024));
  search->add_option("--into", options.found_directory, "a folder for what is found")
      ->check(CLI::ExistingDirectory);
  return search;
}

CLI::App* AddShrink(CLI::App& app, Options& options, std::string& injected_fault) {
  CLI::App* shrink = app.add_subcommand("shrink", "the smallest scenario that shows the same trouble");
  AddScenarioOptions(shrink, options);
  shrink->add_option("--seed", options.seed, "that shows it");
  shrink->add_option("--budget", options.budget, "runs")->check(CLI::Range(1, 1'000'000));
  AddInjectedFaultOption(shrink, injected_fault);
  return shrink;
}

CLI::App* AddLoad(CLI::App& app, LoadConfig& config) {
  CLI::App* load = app.add_subcommand("load", "open-loop HTTP load on a real sidecar on this machine");
  load->add_option("--port", config.port, "where it listens")->required();
  load->add_option("--target", config.target, "path");
  load->add_option("--rate", config.rate, "a second")->check(CLI::Range(0.1, 1e6));
  load->add_option("--seconds", config.length_s, "how long")->check(CLI::Range(0.1, 3600.0));
  load->add_option("--poisson", config.poisson_seed,
                   "a seed: requests come as independent clients', not evenly");
  load->add_option("--timeout-ms", config.timeout_ms, "a request's time")->check(CLI::Range(1, 600'000));
  load->add_option("--connections", config.connections, "at most")->check(CLI::Range(1, 20'000));
  return load;
}

}  // namespace

std::variant<Options, int> ParseCommandLine(int argc, char** argv) {
  CLI::App app{"Plays fleets in made-up time around the sidecar's own decisions, and loads real ones."};
  app.set_version_flag("--version", MOTHRACK_VERSION);
  app.require_subcommand(1);
  app.footer("Exit codes: 0 all held; 1 usage or a fault in a file; 2 something did not hold.");
  Options options;
  options.jobs = std::max(1U, std::thread::hardware_concurrency());
  std::string injected_fault = "none";
  // In the order in which --help lists them.
  const Subcommands subcommands = {{Command::kRun, AddRun(app, options, injected_fault)},
                                   {Command::kSweep, AddSweep(app, options)},
                                   {Command::kCompare, AddCompare(app, options)},
                                   {Command::kSearch, AddSearch(app, options)},
                                   {Command::kShrink, AddShrink(app, options, injected_fault)},
                                   {Command::kLoad, AddLoad(app, options.load)}};
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& e) {
    return app.exit(e);
  }
  for (const auto& [command, subcommand] : subcommands) {
    if (subcommand->parsed()) options.command = command;
  }
  options.injected_fault = InjectedFaults().at(injected_fault);
  return options;
}

}  // namespace mothrack::simulation
