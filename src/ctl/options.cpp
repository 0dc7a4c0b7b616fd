#include "ctl/options.h"

#include <CLI/CLI.hpp>
#include <utility>

#include "ctl/exit_code.h"

namespace mothrack::ctl {
namespace {

void AddChangeOptions(CLI::App* command, Options& options) {
  command->add_option("--why", options.why, "reason for the change, shown to other operators")->required();
  command->add_option("--who", options.who, "name of the operator (default: the user's name)");
  command->add_option("--only", options.only, "change only these AGENT/INSTANCE");
  command
      ->add_option("--max-unavailable", options.max_unavailable,
                   "maximum number of instances of one hall that are down at once")
      ->check(CLI::Range(std::size_t{1}, std::size_t{1000}));
  command->add_flag("--no-canary", options.no_canary,
                    "do not change one instance first, as a batch of its own");
  command->add_flag("--roll-back", options.roll_back,
                    "undo the change if a gate fails, instead of holding it");
  command->add_option("--watch-ms", options.watch_ms, "how long a batch must stay healthy, in milliseconds")
      ->check(CLI::Range(0, 600'000));
  command->add_option("--step-limit-ms", options.step_limit_ms, "timeout of a batch's steps, in milliseconds")
      ->check(CLI::Range(1000, 3'600'000));
  command->add_flag("--dry-run", options.dry_run, "only show what the command would do");
}

// The subcommands, in the order in which --help lists them.
using Subcommands = std::vector<std::pair<Command, CLI::App*>>;

Subcommands AddSubcommands(CLI::App& app, Options& options) {
  CLI::App* status = app.add_subcommand("status", "show every instance of every hall");
  status->add_flag("--json", options.json, "print JSON, for scripts");
  status->add_flag("--watch", options.watch, "repeat every second");
  CLI::App* plan =
      app.add_subcommand("plan", "show what apply would change, batch by batch and line by line");
  CLI::App* apply =
      app.add_subcommand("apply", "apply a configuration generation to all instances, in batches");
  for (CLI::App* command : {plan, apply}) {
    command->add_option("GENERATION", options.generation, "name of the generation")->required();
    command
        ->add_option("--dir", options.directory,
                     "directory with its files (default: the agents have them already)")
        ->type_name("DIR");
  }
  CLI::App* restart = app.add_subcommand("restart", "restart all instances, in batches");
  CLI::App* drain =
      app.add_subcommand("drain", "stop some instances of one hall; they stay down until they are restarted");
  for (CLI::App* command : {plan, apply, restart, drain}) AddChangeOptions(command, options);
  drain->get_option("--only")->required();
  plan->get_option("--why")->required(false);
  CLI::App* resume = app.add_subcommand("resume", "continue the open change");
  CLI::App* undo = app.add_subcommand("undo", "undo the open change");
  CLI::App* abort = app.add_subcommand("abort", "close the open change without undoing its steps");
  for (CLI::App* command : {resume, undo, abort})
    command->add_option("--who", options.who, "name of the operator (default: the user's name)");
  CLI::App* history = app.add_subcommand("history", "show what the agents did, by time");
  history->add_option("--most", options.max_events, "maximum number of events from each agent")
      ->check(CLI::Range(1, 500));
  CLI::App* explain =
      app.add_subcommand("explain", "show one instance: its state, its last step and the end of its log");
  explain->add_option("INSTANCE", options.instance, "AGENT/INSTANCE")->required();
  return {{Command::kStatus, status},   {Command::kPlan, plan},   {Command::kApply, apply},
          {Command::kRestart, restart}, {Command::kDrain, drain}, {Command::kResume, resume},
          {Command::kUndo, undo},       {Command::kAbort, abort}, {Command::kHistory, history},
          {Command::kExplain, explain}};
}

}  // namespace

std::variant<Options, int> ParseCommandLine(int argc, char** argv) {
  CLI::App app{
      "mothrackctl: shows, changes and restarts many sidecars together. It never prompts for input.\n"
      "Exit codes: 0 done, 1 usage, 2 refused, 3 held, 4 rolled back, 5 aborted, 6 not all agents reached."};
  app.set_version_flag("--version", "mothrackctl " MOTHRACK_VERSION);
  app.require_subcommand(1);
  Options options;
  app.add_option("--agents", options.agents_file, "the list of agents (TOML), such as deploy/agents.toml")
      ->type_name("FILE");
  const Subcommands subcommands = AddSubcommands(app, options);
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& e) {
    return app.exit(e) == 0 ? kDone : kUsage;
  }
  for (const auto& [command, subcommand] : subcommands) {
    if (subcommand->parsed()) options.command = command;
  }
  return options;
}

}  // namespace mothrack::ctl
