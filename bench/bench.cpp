// mothrack_bench PROGRAM FLOOR [--requests N] [--rounds N] [--check]: measures the CPU time of a request
// through the sidecar as a ratio to that through the bare relay of bench/floor.cpp. Both carry the same
// messages between the same client and the same stand-ins, alternately in one run. The CPU times are read
// from the CPU clock of each process. The program also measures the latency that each adds with one request
// at a time, and the sidecar's memory with 10,000 open DNS queries. With --check the exit code is 1 if a
// target is missed.
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <csignal>
#include <cstdint>
#include <cstdio>
#include <exception>
#include <memory>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "bench_options.h"
#include "bench_protocols.h"
#include "child_process.h"
#include "closed_loop.h"
#include "comparison.h"
#include "http_standin.h"
#include "sidecar_config.h"
#include "standins/resolver.h"
#include "temporary_file.h"

namespace mothrack::bench {
namespace {

using std::chrono::milliseconds;
using testing::StandinResolver;

// The targets. The HTTP ratio must not exceed what it was before DNS support was added.
constexpr double kMaxHttpRatio = 2.6;
constexpr double kMaxUdpRatio = 2.5;
constexpr long kMaxMemoryKb = 32 * 1024;

constexpr Load kHttpLoad{16, 1};
constexpr Load kDnsLoad{4, 16};

// The parameters of the memory measurement. Queries are sent in bursts with pauses, so that no socket buffer
// overflows.
constexpr int kOpenQueries = 10000;
constexpr int kBurst = 100;
constexpr milliseconds kBurstPause{5};
constexpr milliseconds kSettleTime{200};  // for the last query to arrive at the resolver

// The text that precedes each port number in the sidecar's log on standard error.
constexpr const char* kHttpPortMark = "listening on 127.0.0.1:";
constexpr const char* kDnsPortMark = "dns on 127.0.0.1:";

MeasuredProgram Direct(std::uint16_t standin_port) { return {"direct", nullptr, standin_port, {}, 0, 0, 0}; }

// Starts the relay in `mode`, "stream" or "udp". It prints nothing but its port.
MeasuredProgram StartFloor(const BenchOptions& options, const std::string& mode, std::uint16_t standin_port) {
  MeasuredProgram floor;
  floor.name = "floor";
  floor.process = std::make_unique<ChildProcess>(
      std::vector<std::string>{options.floor, mode, std::to_string(standin_port)}, std::vector<std::string>{},
      STDOUT_FILENO);
  floor.port = floor.process->ReadPortAfter("");
  return floor;
}

MeasuredProgram StartSidecar(const std::vector<std::string>& command,
                             const std::vector<std::string>& environment, const char* port_mark) {
  MeasuredProgram sidecar;
  sidecar.name = "sidecar";
  sidecar.process = std::make_unique<ChildProcess>(command, environment, STDERR_FILENO);
  sidecar.port = sidecar.process->ReadPortAfter(port_mark);
  return sidecar;
}

// Returns the ratio of the sidecar's CPU time to the floor's.
double CompareHttp(const BenchOptions& options) {
  const HttpStandin upstream;
  const TemporaryFile config(".json", HttpConfig(upstream.port()));
  MeasuredPrograms programs;
  programs.direct = Direct(upstream.port());
  programs.floor = StartFloor(options, "stream", upstream.port());
  programs.sidecar = StartSidecar(
      {options.program},
      {"LB_NAME=bench", "LB_LISTEN=127.0.0.1:0", "LB_DISCOVERY=127.0.0.1:1", "LB_CONFIG=" + config.path()},
      kHttpPortMark);
  int run = 0;
  const LoadDriver drive = [&run](std::uint16_t port, const Load& load, int requests) {
    return RunClosedLoop(HttpProtocol(++run), port, load, requests);
  };
  return Compare({"HTTP/1.1, kept connections", kHttpLoad, options.requests, options.rounds}, programs,
                 drive);
}

// Returns the ratio of the CPU times. Clients use TCP if `tcp`, else UDP. Resolvers are queried over UDP in
// both cases.
double CompareDns(const BenchOptions& options, std::uint16_t resolver_port, const std::string& operator_file,
                  bool tcp) {
  MeasuredPrograms programs;
  programs.direct = Direct(resolver_port);
  programs.floor = StartFloor(options, tcp ? "stream" : "udp", resolver_port);
  programs.sidecar = StartSidecar({options.program, "--config", operator_file}, {}, kDnsPortMark);
  const LoadDriver drive = [tcp](std::uint16_t port, const Load& load, int requests) {
    return RunClosedLoop(DnsProtocol(tcp), port, load, requests);
  };
  const char* title = tcp ? "DNS over TCP, pipelined (to resolvers over UDP)" : "DNS over UDP";
  return Compare({title, kDnsLoad, options.requests, options.rounds}, programs, drive);
}

// Opens kOpenQueries queries that the resolver never answers, prints the sidecar's memory and returns its
// peak.
long MeasureMemory(const BenchOptions& options, StandinResolver& resolver, const std::string& operator_file) {
  resolver.SetScript(StandinResolver::Unresponsive());
  const MeasuredProgram sidecar =
      StartSidecar({options.program, "--config", operator_file}, {}, kDnsPortMark);
  const long before = sidecar.process->PeakMemoryKb();
  const int fd = ConnectToPort(SOCK_DGRAM, sidecar.port);
  const int already_seen = resolver.queries();
  for (int i = 0; i < kOpenQueries; ++i) {
    const std::string query = DnsQuery(i, false);
    ::send(fd, query.data(), query.size(), 0);
    if ((i + 1) % kBurst == 0) std::this_thread::sleep_for(kBurstPause);
  }
  std::this_thread::sleep_for(kSettleTime);
  const long peak = sidecar.process->PeakMemoryKb();
  std::printf("memory: %ld KB at the start, %ld KB with %d queries open\n", before, peak,
              std::min(kOpenQueries, resolver.queries() - already_seen));
  ::close(fd);
  return peak;
}

// Returns the exit code.
int Run(const BenchOptions& options) {
  bool missed = CompareHttp(options) > kMaxHttpRatio;

  StandinResolver resolver(StandinResolver::Echo());
  resolver.StopRecording();
  const TemporaryFile operator_file(".toml", DnsOperatorFile(resolver.port()));
  missed = CompareDns(options, resolver.port(), operator_file.path(), false) > kMaxUdpRatio || missed;
  CompareDns(options, resolver.port(), operator_file.path(), true);  // has no target
  missed = MeasureMemory(options, resolver, operator_file.path()) > kMaxMemoryKb || missed;

  if (missed) {
    std::printf("a target is missed: HTTP %.1f, DNS over UDP %.1f, memory %ld KB\n", kMaxHttpRatio,
                kMaxUdpRatio, kMaxMemoryKb);
  }
  return options.check && missed ? 1 : 0;
}

}  // namespace
}  // namespace mothrack::bench

int main(int argc, char** argv) {
  const auto options = mothrack::bench::ParseOptions(argc, argv);
  if (!options) {
    std::fputs(mothrack::bench::kUsage, stderr);
    return 2;
  }
  std::signal(SIGPIPE, SIG_IGN);
  try {
    return mothrack::bench::Run(*options);
  } catch (const std::exception& e) {
    std::fprintf(stderr, "mothrack_bench: %s\n", e.what());
    return 1;
  }
}
