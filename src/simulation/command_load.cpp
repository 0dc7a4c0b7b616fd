// The command load: sends open-loop HTTP load to a real sidecar on this machine and prints the latencies.
#include <cstdio>

#include "simulation/commands.h"
#include "simulation/exit_code.h"
#include "simulation/load_generator.h"

namespace mothrack::simulation {

int ApplyLoad(const Options& options) {
  const LoadResult result = Load(options.load);
  std::printf("%llu requests in %.1f s: %llu served, %llu rejected, %llu failed\n",
              static_cast<unsigned long long>(result.due), result.seconds,
              static_cast<unsigned long long>(result.served), static_cast<unsigned long long>(result.refused),
              static_cast<unsigned long long>(result.failed));
  std::printf("%-26s %9s %9s %9s %9s\n", "ms", "median", "95%", "99%", "99.9%");
  const auto row = [](const char* name, const LatencyHistogram& times) {
    std::printf("%-26s %9.2f %9.2f %9.2f %9.2f\n", name, Quantile(times, 0.5), Quantile(times, 0.95),
                Quantile(times, 0.99), Quantile(times, 0.999));
  };
  row("latency from due time", result.from_due);
  row("latency from send time", result.from_sent);
  return kExpectationsMet;
}

}  // namespace mothrack::simulation
