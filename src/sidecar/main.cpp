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
    std::cout << mothrack::sidecar::Effective(mothrack::sidecar::LoadOperatorFile(path));
    return 0;
  } catch (const mothrack::sidecar::ConfigError& e) {
    std::cerr << e.what() << std::endl;
    return 1;
  }
}

}  // namespace

// NOLINTNEXTLINE(bugprone-exception-escape): what is thrown out of here ends the program, as it should
int main(int argc, char** argv) {
  CLI::App app{
      "mothrack: a sidecar that passes requests on to one of many upstreams.\n"
      "Without a command it runs in the foreground: what the LB_* variables tell, what the operator's file\n"
      "names, or both. SIGTERM begins a planned stop, SIGHUP reads the configuration again."};
  app.set_version_flag("--version", "mothrack " MOTHRACK_VERSION);
  mothrack::sidecar::Options options;
  app.add_option("--config", options.path, "the operator's file (TOML), as deploy/mothrack.toml")
      ->type_name("FILE");
  app.add_option("--counts", options.counts_s, "log a line of counts every so many seconds (0.1 to 3600)")
      ->type_name("SECONDS")
      ->check(CLI::Range(0.1, 3600.0));
  CLI::App* check =
      app.add_subcommand("check", "validate an operator's file and print the settings that count");
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
