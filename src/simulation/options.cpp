#include "simulation/options.h"

#include <CLI/CLI.hpp>
#include <algorithm>
#include <map>
#include <thread>
#include <utility>

namespace mothrack::simulation {
namespace {

using Subcommands = std::vector<std::pair<Command, CLI::App*>>;

// The values of --plant.
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
  command->add_option("--set", options.changes, "table.key=value: overrides a value of the file");
}

void AddInjectedFaultOption(CLI::App* command, std::string& name) {
  command->add_option("--plant", name, "a fault to inject")
      ->check(CLI::IsMember({"none", "resend", "after-drain", "dropped-answer", "cold-flood"}));
}

CLI::App* AddRunCommand(CLI::App& app, Options& options, std::string& injected_fault) {
  CLI::App* run = app.add_subcommand("run", "run each scenario once and check its expectations");
  AddScenarioOptions(run, options);
  run->add_option("--seed", options.seed, "seed of the random numbers");
  run->add_flag("--seconds", options.seconds, "print one row for each second");
  run->add_option("--report", options.report, "write an HTML page to this path");
  AddInjectedFaultOption(run, injected_fault);
  run->add_option("--expect", options.expected_digest, "digest that the run must have, to verify a replay");
  return run;
}

CLI::App* AddSweepCommand(CLI::App& app, Options& options) {
  CLI::App* sweep =
      app.add_subcommand("sweep", "run many seeds and settings in parallel; an interrupted sweep continues");
  AddScenarioOptions(sweep, options);
  sweep->add_option("--seeds", options.seeds, "one seed, or a range such as 1..8");
  sweep->add_option("--vary", options.vary, "table.key=value,value: run with each of these values");
  sweep->add_option("--jobs", options.jobs, "number of parallel processes")->check(CLI::Range(1, 1024));
  sweep->add_option("--db", options.db, "path of the result database");
  sweep->add_option("--label", options.label, "label of this build or these settings");
  return sweep;
}

CLI::App* AddCompareCommand(CLI::App& app, Options& options) {
  CLI::App* compare = app.add_subcommand("compare", "compare two labels on the same scenarios and seeds");
  compare->add_option("a", options.first_label)->required();
  compare->add_option("b", options.second_label)->required();
  compare->add_option("--db", options.db, "path of the result database")->check(CLI::ExistingFile);
  compare->add_option("--report", options.report, "write an HTML page to this path");
  return compare;
}

CLI::App* AddSearchCommand(CLI::App& app, Options& options) {
  CLI::App* search = app.add_subcommand(
      "search",
      "run randomly mutated scenarios to find broken rules and degraded service that outlasts its cause");
  AddScenarioOptions(search, options);
  search->add_option("--seed", options.seed, "seed of the mutations");
  search->add_option("--budget", options.budget, "number of runs")->check(CLI::Range(1, 1'000'000));
  search->add_option("--jobs", options.jobs, "number of parallel processes")->check(CLI::Range(1, 1024));
  search->add_option("--into", options.found_directory, "directory for the scenario files found")
      ->check(CLI::ExistingDirectory);
  return search;
}

CLI::App* AddShrinkCommand(CLI::App& app, Options& options, std::string& injected_fault) {
  CLI::App* shrink = app.add_subcommand("shrink", "reduce a scenario while it shows the same fault");
  AddScenarioOptions(shrink, options);
  shrink->add_option("--seed", options.seed, "seed that shows the fault");
  shrink->add_option("--budget", options.budget, "number of runs")->check(CLI::Range(1, 1'000'000));
  AddInjectedFaultOption(shrink, injected_fault);
  return shrink;
}

CLI::App* AddLoadCommand(CLI::App& app, LoadConfig& config) {
  CLI::App* load = app.add_subcommand("load", "send open-loop HTTP load to a real sidecar on this machine");
  load->add_option("--port", config.port, "port of the sidecar")->required();
  load->add_option("--target", config.target, "path to request");
  load->add_option("--rate", config.rate, "requests per second")->check(CLI::Range(0.1, 1e6));
  load->add_option("--seconds", config.length_s, "duration of the load")->check(CLI::Range(0.1, 3600.0));
  load->add_option("--poisson", config.poisson_seed,
                   "seed for Poisson arrivals; without it arrivals are evenly spaced");
  load->add_option("--timeout-ms", config.timeout_ms, "deadline of a request")->check(CLI::Range(1, 600'000));
  load->add_option("--connections", config.connections, "maximum number of connections")
      ->check(CLI::Range(1, 20'000));
  return load;
}

}  // namespace

std::variant<Options, int> ParseCommandLine(int argc, char** argv) {
  CLI::App app{"Simulates fleets of sidecars with their own decision code, and sends load to real sidecars."};
  app.set_version_flag("--version", MOTHRACK_VERSION);
  app.require_subcommand(1);
  app.footer(
      "Exit codes: 0 all expectations met; 1 wrong usage or an error in a file; 2 an expectation not met.");
  Options options;
  options.jobs = std::max(1U, std::thread::hardware_concurrency());
  std::string injected_fault = "none";
  // --help lists the commands in this order.
  const Subcommands subcommands = {{Command::kRun, AddRunCommand(app, options, injected_fault)},
                                   {Command::kSweep, AddSweepCommand(app, options)},
                                   {Command::kCompare, AddCompareCommand(app, options)},
                                   {Command::kSearch, AddSearchCommand(app, options)},
                                   {Command::kShrink, AddShrinkCommand(app, options, injected_fault)},
                                   {Command::kLoad, AddLoadCommand(app, options.load)}};
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
