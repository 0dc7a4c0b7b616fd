// mothrack: the command line.
#include <CLI/CLI.hpp>
#include <cstdlib>
#include <iostream>
#include <optional>
#include <string>

#include "sidecar/operator_file.h"
#include "sidecar/program.h"

namespace {

int Check(const std::string& path) {
  try {
    std::cout << mothrack::sidecar::EffectiveSettings(mothrack::sidecar::LoadOperatorFile(path));
    return 0;
  } catch (const mothrack::sidecar::ConfigError& e) {
    std::cerr << e.what() << std::endl;
    return 1;
  }
}

}  // namespace

// NOLINTNEXTLINE(bugprone-exception-escape): an uncaught exception is meant to end the program
int main(int argc, char** argv) {
  CLI::App app{
      "mothrack: a sidecar that forwards each request to one of many upstreams.\n"
      "Without a command it runs in the foreground, configured by the LB_* variables, the operator's\n"
      "file or both. SIGTERM begins a planned stop, SIGHUP reloads the configuration."};
  app.set_version_flag("--version", "mothrack " MOTHRACK_VERSION);
  mothrack::sidecar::Options options;
  app.add_option("--config", options.path, "the operator's file (TOML), for example deploy/mothrack.toml")
      ->type_name("FILE");
  app.add_option("--counts", options.counts_s,
                 "log a line of counters at this interval, in seconds (0.1 to 3600)")
      ->type_name("SECONDS")
      ->check(CLI::Range(0.1, 3600.0));
  CLI::App* check =
      app.add_subcommand("check", "validate an operator's file and print the settings in effect");
  std::string file;
  check->add_option("FILE", file, "the operator's file")->required();
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& e) {
    return app.exit(e);
  }
  if (check->parsed()) return Check(file);
  return mothrack::sidecar::Run(options, [](const char* name) { return std::getenv(name); });
}
