// The soak: a sidecar process under traffic and faults that a seed draws, judged by the soak's own books.
//
//   soak [--seconds N] [--stalled N] FIRST_SEED [LAST_SEED]
//
// For each seed it starts a sidecar, upstreams, discovery and clients, lets faults happen, ends the sidecar
// by SIGTERM while clients go on using their connections, and kills it at the earliest moment that the
// deployment allows. With --stalled there are N more clients whose answers stall in their middle for 6.8 to
// 21 s; a run with them should last a minute (--seconds 60), and is started by hand. Prints one line a seed
// and one for each violation; exits with 1 if there was any.
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "soak/books.h"
#include "soak/clients.h"
#include "soak/processor_time.h"
#include "soak/upstream.h"
#include "standins/peers.h"

namespace mothrack::soak {
namespace {

using std::chrono::seconds;
using testing::json;
using testing::Node;

constexpr int kUpstreams = 6;
// With clients whose answers stall, the other upstreams are not disturbed: a reset ends each stall.
constexpr std::size_t kDisturbedBesideStalled = 3;
// SIGKILL comes no sooner after SIGTERM than the longest deadline and this.
constexpr Milliseconds kLongestDeadline{3000};
constexpr Milliseconds kKillAfter{700};
constexpr int kUsualClients = 16;
constexpr int kLeavingClients = 2;
constexpr int kCrowd = 150;
// Clients whose request is half written when the sidecar is told to end.
constexpr int kSlowWriters = 12;

// Measures how long this process is held up, because that delays clients and upstreams as well.
class StallMeter {
 public:
  explicit StallMeter(Books& books) : books_(books), thread_([this] { Run(); }) {}
  ~StallMeter() {
    stopping_ = true;
    thread_.join();
  }

 private:
  void Run() {
    constexpr Milliseconds kStep{10};
    while (!stopping_) {
      const TimePoint before = Clock::now();
      std::this_thread::sleep_for(kStep);
      books_.OnHeldUp(std::chrono::duration_cast<Milliseconds>(Clock::now() - before - kStep));
    }
  }

  Books& books_;
  std::atomic<bool> stopping_{false};
  std::thread thread_;
};

class Run {
 public:
  Run(std::uint64_t seed, seconds duration, int stalled)
      : seed_(seed), duration_(duration), stalled_(stalled), random_(seed) {
    for (int i = 0; i < kUpstreams; ++i) {
      upstreams_.push_back(std::make_unique<Upstream>(books_, "u" + std::to_string(next_uid_++)));
    }
    discovery_ = std::make_unique<testing::Discovery>(List());
  }

  // Returns whether no rule was broken.
  bool Play() {
    crowded_ = Below(3) == 0;
    flooded_ = Below(3) == 0;
    Node node(OptionsOf());
    if (!node.Listening()) {
      std::printf("seed %llu: the sidecar does not listen\n", static_cast<unsigned long long>(seed_));
      return false;
    }
    const StallMeter stalls(books_);
    const ProcessorTime processor_time(node.pid());
    Clients clients(books_, node.port(), seed_);
    clients.Start(kUsualClients, kLeavingClients);
    clients.StartStalled(stalled_);
    if (crowded_) clients.StartCrowd(kCrowd);
    if (flooded_) clients.StartFlood();
    const TimePoint end = Clock::now() + duration_;
    while (Clock::now() < end && IsAlive(node)) {
      std::this_thread::sleep_for(Milliseconds(100 + Below(400)));
      Disturb(node);
    }
    const std::size_t resident = ResidentKilobytes(node);
    if (!IsAlive(node)) books_.AddViolation(Rule::kProcess, "ended by itself: " + node.log());
    if (IsAlive(node)) clients.StartSlowWriters(kSlowWriters);
    End(node);
    clients.Stop();
    return Report(resident, processor_time.BySecond(), node);
  }

 private:
  Node::Options OptionsOf() {
    Node::Options options;
    options.discovery = discovery_->address();
    options.known = List();
    options.sockets = 1024;
    options.memory_mb = Below(2) == 0 ? 32 : 64;
    memory_mb_ = options.memory_mb;
    options.settings["Limits"]["SecondCopies"] = Below(2) == 0;
    for (json& request_class : options.settings["Classes"]) request_class["HardLimit"] = 3'000'000;
    return options;
  }

  json List() const {
    std::vector<json> targets;
    for (const auto& upstream : upstreams_) {
      const bool drains = draining_ == upstream->uid();
      targets.push_back(testing::Target(upstream->uid(), upstream->address(), drains ? "leaving" : "active"));
    }
    return testing::List(targets);
  }

  void Disturb(Node& node) {
    Upstream& upstream = *upstreams_[Below(stalled_ > 0 ? kDisturbedBesideStalled : upstreams_.size())];
    switch (Below(6)) {
      case 0:
        upstream.ResetConnections();
        break;
      case 1:  // a new process at the address of one that has gone
        upstream.ReplaceBy("u" + std::to_string(next_uid_++));
        discovery_->Publish(List());
        break;
      case 2:
        if (draining_.empty()) {
          draining_ = upstream.uid();
          discovery_->Publish(List());
          books_.OnDrain(draining_);
        }
        break;
      case 3:  // signals in series
        for (std::uint64_t i = Below(3); i > 0; --i) node.Signal(SIGHUP);
        break;
      default:
        break;
    }
  }

  // Ends the sidecar as the platform does, and judges how it ended.
  void End(Node& node) {
    if (!IsAlive(node)) return;
    const TimePoint kill_at = Clock::now() + kLongestDeadline + kKillAfter;
    books_.OnTermination(kill_at);
    node.Signal(SIGTERM);
    if (Below(2) == 0) node.Signal(SIGTERM);
    while (Clock::now() < kill_at && IsAlive(node)) std::this_thread::sleep_for(Milliseconds(5));
    if (IsAlive(node)) {
      node.Signal(SIGKILL);
      killed_ = true;
    }
    const int status = node.Wait();
    if (!killed_ && status != 0) {
      books_.AddViolation(Rule::kProcess, "ended with " + std::to_string(status) + ": " + node.log());
    }
  }

  bool Report(std::size_t resident, const std::string& processor_time, const Node& node) {
#ifndef __SANITIZE_ADDRESS__
    if (resident > static_cast<std::size_t>(memory_mb_) * 1024) {
      books_.AddViolation(Rule::kProcess,
                          "over its memory limit: " + std::to_string(resident) + " kB resident");
    }
#endif
    const auto violations = books_.Violations();
    std::string outcomes;
    for (const auto& [outcome, count] : books_.outcomes())
      outcomes += ' ' + outcome + '=' + std::to_string(count);
    std::printf("seed %llu: %zu requests,%s, %zu kB of %d MB%s%s%s, %zu violations\n",
                static_cast<unsigned long long>(seed_), books_.requests(), outcomes.c_str(), resident,
                memory_mb_, crowded_ ? ", crowd" : "", flooded_ ? ", flood" : "", killed_ ? ", killed" : "",
                violations.size());
    for (const Violation& violation : violations) {
      std::printf("  %s: %s\n", NameOf(violation.rule), violation.trace.c_str());
    }
    if (!violations.empty()) std::printf("  the sidecar waited/ran (s)%s\n", processor_time.c_str());
    if (!violations.empty() && std::getenv("SOAK_LOG") != nullptr) std::printf("%s\n", node.log().c_str());
    std::fflush(stdout);
    return violations.empty();
  }

  static bool IsAlive(const Node& node) {
    std::ifstream stat("/proc/" + std::to_string(node.pid()) + "/stat");
    std::string pid;
    std::string name;
    std::string state;
    stat >> pid >> name >> state;
    return stat && state != "Z" && state != "X";
  }

  static std::size_t ResidentKilobytes(const Node& node) {
    std::ifstream status("/proc/" + std::to_string(node.pid()) + "/status");
    for (std::string line; std::getline(status, line);) {
      if (line.starts_with("VmHWM:")) return std::stoul(line.substr(6));
    }
    return 0;
  }

  std::uint64_t Below(std::uint64_t bound) { return random_() % bound; }

  const std::uint64_t seed_;
  const seconds duration_;
  const int stalled_;
  std::mt19937_64 random_;
  Books books_;
  std::vector<std::unique_ptr<Upstream>> upstreams_;
  std::unique_ptr<testing::Discovery> discovery_;
  int next_uid_ = 0;
  std::string draining_;
  int memory_mb_ = 0;
  bool crowded_ = false;
  bool flooded_ = false;
  bool killed_ = false;
};

}  // namespace
}  // namespace mothrack::soak

int main(int argc, char** argv) {
  std::vector<std::string> arguments(argv + 1, argv + argc);
  std::chrono::seconds duration(6);
  int stalled = 0;
  while (arguments.size() > 2 && (arguments[0] == "--seconds" || arguments[0] == "--stalled")) {
    const int value = std::stoi(arguments[1]);
    if (arguments[0] == "--seconds") duration = std::chrono::seconds(value);
    if (arguments[0] == "--stalled") stalled = value;
    arguments.erase(arguments.begin(), arguments.begin() + 2);
  }
  if (arguments.empty() || arguments.size() > 2) {
    std::fprintf(stderr, "usage: soak [--seconds N] [--stalled N] FIRST_SEED [LAST_SEED]\n");
    return 2;
  }
  const std::uint64_t first = std::stoull(arguments.front());
  const std::uint64_t last = std::stoull(arguments.back());
  bool all_kept = true;
  for (std::uint64_t seed = first; seed <= last; ++seed)
    all_kept = mothrack::soak::Run(seed, duration, stalled).Play() && all_kept;
  return all_kept ? 0 : 1;
}
