#include "bench_options.h"

#include <cstdlib>

namespace mothrack::bench {

std::optional<BenchOptions> ParseOptions(int argc, char** argv) {
  constexpr int kFirstOption = 3;
  if (argc < kFirstOption) return std::nullopt;
  BenchOptions options;
  options.program = argv[1];
  options.floor = argv[2];
  for (int i = kFirstOption; i < argc; ++i) {
    const std::string option = argv[i];
    if (option == "--check") options.check = true;
    if (option == "--requests" && i + 1 < argc) options.requests = std::atoi(argv[++i]);
    if (option == "--rounds" && i + 1 < argc) options.rounds = std::atoi(argv[++i]);
  }
  return options;
}

}  // namespace mothrack::bench
