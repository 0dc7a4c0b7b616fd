// lab_calibrate: compares the simulator with real processes. It runs two real sidecars over loopback sockets
// in front of six servers of three cores each, and the same scenario in simulated time, at three loads.
// Printed for each load: share of requests served, attempts a request, median and 99th percentile of the
// response time (ms). Exit code 1 where the two differ by more than the bounds in main(). Takes about 20 s of
// wall time a load.
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
constexpr double kWorkMs = 30;
constexpr double kCv = 0.5;
constexpr double kSeconds = 20;
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

struct Measurement {
  double served = 0;
  double attempts = 0;
  double median = 0;
  double p99 = 0;
};

Scenario CalibrationScenario(double use) {
  Scenario s;
  s.name = "calibration";
  s.length_s = kSeconds;
  s.sidecars = kSidecars;
  s.skew = 0;
  s.servers = kServers;
  s.zones = {"one"};
  s.slowest = kSlowest;
  s.fastest = kFastest;
  s.thrash = 0;
  s.pause_ms = 0;
  s.error_rate = 0;
  s.same_ms = 0.05;
  s.handshake_ms = 0.1;
  s.use = use;
  s.retries = 0;
  s.max_attempts = 3;
  s.hedging = false;
  s.classes = {{"page", 1, kWorkMs, kCv, 400, 2000, 1, mothrack::balancer::Effect::kSafe}};
  return s;
}

Measurement Simulate(double use) {
  const Scenario s = CalibrationScenario(use);
  SimulationRun world(s, 11);
  world.Run();
  const Second sum = world.figures().Sum();
  return {world.figures().served_share(),
          static_cast<double>(sum.attempts) / static_cast<double>(sum.client_attempts),
          world.figures().LatencyQuantile(0.5), world.figures().LatencyQuantile(0.99)};
}

Measurement MeasureReal(double use) {
  std::atomic<std::uint64_t> ran{0};
  std::vector<std::unique_ptr<Cores>> cores;
  std::vector<std::unique_ptr<testing::Upstream>> servers;
  std::vector<testing::json> targets;
  double can = 0;  // requests a second
  for (int i = 0; i < kServers; ++i) {
    const double speed = kSlowest + (kFastest - kSlowest) * i / (kServers - 1);
    can += 3 * speed * 1000 / kWorkMs;
    cores.push_back(std::make_unique<Cores>(3));
    servers.push_back(std::make_unique<testing::Upstream>(
        [&, speed, own = cores.back().get()](testing::Wire& wire, const testing::Request&, int) {
          thread_local Random random(std::hash<std::thread::id>()(std::this_thread::get_id()));
          ++ran;
          own->Work(kWorkMs * random.LogNormal(kCv) / speed);
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
      config.rate = use * can / kSidecars;
      config.length_s = kSeconds;
      config.timeout_ms = 2000;
      config.poisson_seed = static_cast<std::uint64_t>(i + 1);
      results[static_cast<std::size_t>(i)] = Load(config);
    });
  }
  for (std::thread& thread : threads) thread.join();
  Measurement measured;
  double due = 0;
  LatencyHistogram times = NewLatencyHistogram();
  for (const LoadResult& r : results) {
    measured.served += static_cast<double>(r.served);
    due += static_cast<double>(r.due);
    times += r.from_due;
  }
  measured.served /= due;
  measured.attempts = static_cast<double>(ran) / due;
  measured.median = Quantile(times, 0.5);
  measured.p99 = Quantile(times, 0.99);
  return measured;
}

}  // namespace

int main() {
  // The bound for times: the bins are 5% wide, and a sleep on a real machine ends a tenth of a millisecond or
  // more late.
  constexpr double kServedOff = 0.01;
  constexpr double kAttemptsOff = 0.03;
  constexpr double kMedianOff = 1.15;
  constexpr double kP99Off = 1.3;
  bool well = true;
  for (const double use : {0.3, 0.6, 0.8}) {
    const Measurement simulated = Simulate(use);
    const Measurement real = MeasureReal(use);
    const auto within = [](double a, double b, double times) {
      return a > 0 && b > 0 && std::max(a / b, b / a) <= times;
    };
    const bool agree = std::abs(simulated.served - real.served) <= kServedOff &&
                       std::abs(simulated.attempts - real.attempts) <= kAttemptsOff &&
                       within(simulated.median, real.median, kMedianOff) &&
                       within(simulated.p99, real.p99, kP99Off);
    std::printf(
        "use %.1f: served %.4f simulated, %.4f real; attempts a request %.3f, %.3f; median %.1f, %.1f ms; "
        "99%% "
        "%.1f, %.1f ms%s\n",
        use, simulated.served, real.served, simulated.attempts, real.attempts, simulated.median, real.median,
        simulated.p99, real.p99, agree ? "" : "  APART");
    well = well && agree;
  }
  return well ? 0 : 1;
}
