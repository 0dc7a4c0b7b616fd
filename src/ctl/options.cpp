#include "ctl/options.h"

#include <CLI/CLI.hpp>
#include <utility>

#include "ctl/exit_code.h"

namespace mothrack::ctl {
namespace {

void AddChangeOptions(CLI::App* command, Options& options) {
  command->add_option("--why", options.why, "for the others to read")->required();
  command->add_option("--who", options.who, "in whose name; else the user's");
  command->add_option("--only", options.only, "these AGENT/INSTANCE instead of all");
  command->add_option("--max-unavailable", options.max_unavailable, "down at once, in one hall")
      ->check(CLI::Range(std::size_t{1}, std::size_t{1000}));
  command->add_flag("--no-canary", options.no_canary, "the first one does not go alone");
  command->add_flag("--roll-back", options.roll_back, "undo where a gate fails, instead of holding");
  command->add_option("--watch-ms", options.watch_ms, "for which a batch must look well")
      ->check(CLI::Range(0, 600'000));
  command->add_option("--step-limit-ms", options.step_limit_ms, "for a batch's steps")
      ->check(CLI::Range(1000, 3'600'000));
  command->add_flag("--dry-run", options.dry_run, "only show what would be done");
}

// The subcommands, in the order in which --help lists them.
using Subcommands = std::vector<std::pair<Command, CLI::App*>>;

Subcommands AddSubcommands(CLI::App& app, Options& options) {
  CLI::App* status = app.add_subcommand("status", "every instance of every hall");
  status->add_flag("--json", options.json, "for scripts");
  status->add_flag("--watch", options.watch, "again every second");
  CLI::App* plan = app.add_subcommand("plan", "what an apply would change, batch by batch and line by line");
  CLI::App* apply = app.add_subcommand("apply", "a configuration generation to all, in batches");
  for (CLI::App* command : {plan, apply}) {
    command->add_option("GENERATION", options.generation, "its name")->required();
    command->add_option("--dir", options.directory, "its files; else it is there already")->type_name("DIR");
  }
  CLI::App* restart = app.add_subcommand("restart", "all, in batches");
  CLI::App* drain =
      app.add_subcommand("drain", "planned stop of some of one hall; they stay down until restarted");
  for (CLI::App* command : {plan, apply, restart, drain}) AddChangeOptions(command, options);
  drain->get_option("--only")->required();
  plan->get_option("--why")->required(false);
  CLI::App* resume = app.add_subcommand("resume", "carry the open change on");
  CLI::App* undo = app.add_subcommand("undo", "undo the open change");
  CLI::App* abort = app.add_subcommand("abort", "close the open change as it stands");
  for (CLI::App* command : {resume, undo, abort})
    command->add_option("--who", options.who, "in whose name; else the user's");
  CLI::App* history = app.add_subcommand("history", "what the agents did, by time");
  history->add_option("--most", options.max_events, "of each agent")->check(CLI::Range(1, 500));
  CLI::App* explain = app.add_subcommand("explain", "one instance: why it is as it is");
  explain->add_option("INSTANCE", options.instance, "AGENT/INSTANCE")->required();
  return {{Command::kStatus, status},   {Command::kPlan, plan},   {Command::kApply, apply},
          {Command::kRestart, restart}, {Command::kDrain, drain}, {Command::kResume, resume},
          {Command::kUndo, undo},       {Command::kAbort, abort}, {Command::kHistory, history},
          {Command::kExplain, explain}};
}

}  // namespace

std::variant<Options, int> ParseCommandLine(int argc, char** argv) {
  CLI::App app{
      "mothrackctl: sees, changes and restarts many sidecars together. Nothing is ever asked of a person; "
      "exit\n"
      "codes: 0 done, 1 usage, 2 refused, 3 held, 4 rolled back, 5 aborted, 6 not all agents reached."};
  app.set_version_flag("--version", "mothrackctl " MOTHRACK_VERSION);
  app.require_subcommand(1);
  Options options;
  app.add_option("--agents", options.agents_file, "the list of agents (TOML), as deploy/agents.toml")
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
