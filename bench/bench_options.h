// Command line of mothrack_bench.
#pragma once

#include <optional>
#include <string>

namespace mothrack::bench {

inline constexpr const char* kUsage =
    "usage: mothrack_bench PROGRAM FLOOR [--requests N] [--rounds N] [--check]\n";

// The options of one run of mothrack_bench.
struct BenchOptions {
  std::string program;   // path of the sidecar
  std::string floor;     // path of bench_floor
  int requests = 50000;  // per program and round
  int rounds = 5;        // of each comparison
  bool check = false;    // exit with 1 if a target is missed
};

// Returns nothing if PROGRAM or FLOOR is missing. Unknown options are ignored.
std::optional<BenchOptions> ParseOptions(int argc, char** argv);

}  // namespace mothrack::bench
