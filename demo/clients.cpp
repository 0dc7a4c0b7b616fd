#include "clients.h"

#include <algorithm>
#include <memory>
#include <string>
#include <thread>

#include "standins/dns_client.h"
#include "standins/peers.h"

namespace mothrack::demo {
namespace {

using Clock = std::chrono::steady_clock;

constexpr std::chrono::milliseconds kPause{8};  // between two requests of a client
constexpr int kNames = 50;                      // number of different stations or host names
constexpr int kHttpTimeoutMs = 1500;

constexpr unsigned kHttpOk = 200;
constexpr unsigned kHttpUnavailable = 503;  // no upstream could take the request
constexpr int kDnsNoError = 0;
constexpr int kDnsRefused = 5;

}  // namespace

void RequestCounters::RecordLatency(Clock::time_point began) {
  slowest_ms = std::max(slowest_ms, std::chrono::duration<double, std::milli>(Clock::now() - began).count());
}

RequestCounters SendHttp(std::uint16_t port, const std::atomic<bool>& stop, HttpRequestKind kind) {
  const bool submit = kind == HttpRequestKind::kSubmit;
  RequestCounters counters;
  auto client = std::make_unique<testing::Client>(port);
  for (int i = 0; !stop; ++i) {
    const std::string id = (submit ? "s" : "p") + std::to_string(i);
    const std::string station = "station-" + std::to_string(i % kNames);
    const auto began = Clock::now();
    ++counters.sent;
    const auto response = submit ? client->Post("/submit/" + station, id, "tally", kHttpTimeoutMs)
                                 : client->Get("/page/" + station, id, kHttpTimeoutMs);
    counters.RecordLatency(began);
    if (!response) {
      ++counters.unanswered;
      client = std::make_unique<testing::Client>(port);
    } else {
      ++(response->result_int() == kHttpOk            ? counters.served
         : response->result_int() == kHttpUnavailable ? counters.refused
                                                      : counters.failed);
    }
    std::this_thread::sleep_for(kPause);
  }
  return counters;
}

RequestCounters SendDns(std::uint16_t port, const std::atomic<bool>& stop, DnsProtocol protocol) {
  const bool over_tcp = protocol == DnsProtocol::kTcp;
  RequestCounters counters;
  testing::DnsUdpClient udp(port);
  auto tcp = std::make_unique<testing::DnsTcpClient>(port);
  for (std::uint16_t i = 0; !stop; ++i) {
    testing::QuerySpec spec;
    spec.name = "tally-intake-" + std::to_string(i % kNames) + ".example.org";
    spec.id = i;
    const auto began = Clock::now();
    ++counters.sent;
    const auto answer = over_tcp ? tcp->Query(testing::MakeQuery(spec)) : udp.Query(testing::MakeQuery(spec));
    counters.RecordLatency(began);
    if (!answer) {
      ++counters.unanswered;
      tcp = std::make_unique<testing::DnsTcpClient>(port);
    } else {
      ++(testing::RcodeOf(*answer) == kDnsNoError   ? counters.served
         : testing::RcodeOf(*answer) == kDnsRefused ? counters.refused
                                                    : counters.failed);
    }
    std::this_thread::sleep_for(kPause);
  }
  return counters;
}

}  // namespace mothrack::demo
