// lab_calibrate: compares the simulator with real processes. It runs two real sidecars over loopback sockets
// in front of six servers of three cores each, and the same scenario in simulated time, at three loads.
// It prints for each load the share of requests served, the attempts per request, and the median and 99th
// percentile of the response time (ms). The exit code is 1 if the two differ by more than the bounds in
// main(). Takes about 20 s of wall time for each load.
#include <algorithm>
#include <chrono>
#include <cmath>
#include <condition_variable>
#include <cstdio>
#include <memory>
#include <mutex>
#include <thread>
#include <vector>

#include "simulation/load_generator.h"
#include "simulation/simulation_run.h"
#include "standins/peers.h"

namespace {

using namespace mothrack::simulation;
namespace testing = mothrack::testing;

constexpr int kSidecars = 2;
constexpr int kServers = 6;
constexpr double kWorkMs = 30;          // mean work of a request on a core of speed 1
constexpr double kWorkVariation = 0.5;  // its coefficient of variation
constexpr double kSeconds = 20;
// Speeds of the slowest and the fastest server.
constexpr double kSlowest = 1;
constexpr double kFastest = 1.6;

// The cores of a server, and the requests that wait for one.
class Cores {
 public:
  explicit Cores(int cores) : free_(cores) {}
  void Work(double ms) {
    std::unique_lock lock(mutex_);
    changed_.wait(lock, [this] { return free_ > 0; });
    --free_;
    lock.unlock();
    std::this_thread::sleep_for(std::chrono::duration<double, std::milli>(ms));
    lock.lock();
    ++free_;
    changed_.notify_one();
  }

 private:
  std::mutex mutex_;
  std::condition_variable changed_;
  int free_;
};

// The results at one load.
struct Measurement {
  double served = 0;    // share of the requests
  double attempts = 0;  // per request
  // Response time in milliseconds.
  double median = 0;
  double p99 = 0;
};

Scenario CalibrationScenario(double utilization) {
  Scenario scenario;
  scenario.name = "calibration";
  scenario.length_s = kSeconds;
  scenario.sidecars = kSidecars;
  scenario.skew = 0;
  scenario.servers = kServers;
  scenario.zones = {"one"};
  scenario.slowest = kSlowest;
  scenario.fastest = kFastest;
  scenario.thrash = 0;
  scenario.pause_ms = 0;
  scenario.error_rate = 0;
  scenario.same_ms = 0.05;
  scenario.handshake_ms = 0.1;
  scenario.use = utilization;
  scenario.retries = 0;
  scenario.max_attempts = 3;
  scenario.hedging = false;
  scenario.classes = {{"page", 1, kWorkMs, kWorkVariation, 400, 2000, 1, mothrack::balancer::Effect::kSafe}};
  return scenario;
}

Measurement Simulate(double utilization) {
  const Scenario scenario = CalibrationScenario(utilization);
  SimulationRun simulated(scenario, 11);
  simulated.Run();
  const Second sum = simulated.figures().Sum();
  return {simulated.figures().served_share(),
          static_cast<double>(sum.attempts) / static_cast<double>(sum.client_attempts),
          simulated.figures().LatencyQuantile(0.5), simulated.figures().LatencyQuantile(0.99)};
}

Measurement MeasureReal(double utilization) {
  std::atomic<std::uint64_t> attempts{0};
  std::vector<std::unique_ptr<Cores>> cores;
  std::vector<std::unique_ptr<testing::Upstream>> servers;
  std::vector<testing::json> targets;
  double capacity = 0;  // requests per second
  for (int i = 0; i < kServers; ++i) {
    const double speed = kSlowest + (kFastest - kSlowest) * i / (kServers - 1);
    capacity += 3 * speed * 1000 / kWorkMs;
    cores.push_back(std::make_unique<Cores>(3));
    servers.push_back(std::make_unique<testing::Upstream>(
        [&, speed, server_cores = cores.back().get()](testing::Wire& wire, const testing::Request&, int) {
          thread_local Random random(std::hash<std::thread::id>()(std::this_thread::get_id()));
          ++attempts;
          server_cores->Work(kWorkMs * random.LogNormal(kWorkVariation) / speed);
          wire.Answer(200, "fine");
        }));
    targets.push_back(testing::Target("s" + std::to_string(i), servers.back()->address()));
  }
  std::vector<std::unique_ptr<testing::Node>> nodes;
  for (int i = 0; i < kSidecars; ++i) {
    testing::Node::Options options;
    options.known = testing::List(targets);
    nodes.push_back(std::make_unique<testing::Node>(options));
    if (!nodes.back()->Listening()) return {};
  }
  std::vector<LoadResult> results(kSidecars);
  std::vector<std::thread> threads;
  for (int i = 0; i < kSidecars; ++i) {
    threads.emplace_back([&, i] {
      LoadConfig config;
      config.port = nodes[static_cast<std::size_t>(i)]->port();
      config.rate = utilization * capacity / kSidecars;
      config.length_s = kSeconds;
      config.timeout_ms = 2000;
      config.poisson_seed = static_cast<std::uint64_t>(i + 1);
      results[static_cast<std::size_t>(i)] = Load(config);
    });
  }
  for (std::thread& thread : threads) thread.join();
  Measurement measured;
  double due = 0;
  LatencyHistogram latencies = NewLatencyHistogram();
  for (const LoadResult& result : results) {
    measured.served += static_cast<double>(result.served);
    due += static_cast<double>(result.due);
    latencies += result.from_due;
  }
  measured.served /= due;
  measured.attempts = static_cast<double>(attempts) / due;
  measured.median = Quantile(latencies, 0.5);
  measured.p99 = Quantile(latencies, 0.99);
  return measured;
}

}  // namespace

int main() {
  // The bounds on the difference: absolute for the share served and the attempts, a ratio for the response
  // times. The latter allow for the bins, which are 5% wide, and for sleeps on a real machine, which end a
  // tenth of a millisecond or more late.
  constexpr double kMaxServedDifference = 0.01;
  constexpr double kMaxAttemptsDifference = 0.03;
  constexpr double kMaxMedianRatio = 1.15;
  constexpr double kMaxP99Ratio = 1.3;
  bool all_agree = true;
  for (const double utilization : {0.3, 0.6, 0.8}) {
    const Measurement simulated = Simulate(utilization);
    const Measurement real = MeasureReal(utilization);
    const auto within = [](double a, double b, double max_ratio) {
      return a > 0 && b > 0 && std::max(a / b, b / a) <= max_ratio;
    };
    const bool agree = std::abs(simulated.served - real.served) <= kMaxServedDifference &&
                       std::abs(simulated.attempts - real.attempts) <= kMaxAttemptsDifference &&
                       within(simulated.median, real.median, kMaxMedianRatio) &&
                       within(simulated.p99, real.p99, kMaxP99Ratio);
    std::printf(
        "utilization %.1f: served %.4f simulated, %.4f real; attempts per request %.3f, %.3f; "
        "median %.1f, %.1f ms; 99%% %.1f, %.1f ms%s\n",
        utilization, simulated.served, real.served, simulated.attempts, real.attempts, simulated.median,
        real.median, simulated.p99, real.p99, agree ? "" : "  DIFFERENT");
    all_agree = all_agree && agree;
  }
  return all_agree ? 0 : 1;
}
