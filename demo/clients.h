// The demo's clients: each sends one request after another through the sidecar and counts the outcomes.
#pragma once

#include <atomic>
#include <chrono>
#include <cstdint>

namespace mothrack::demo {

// The outcomes of the requests of one client.
struct RequestCounters {
  int sent = 0;
  int served = 0;
  int refused = 0;  // rejected by the sidecar
  int failed = 0;
  int unanswered = 0;
  double slowest_ms = 0;

  void RecordLatency(std::chrono::steady_clock::time_point began);
};

enum class HttpRequestKind {
  kPage,    // GET, safe
  kSubmit,  // POST, unsafe: it must run once at most
};

enum class DnsProtocol { kUdp, kTcp };

// Both functions send to `port` until `stop` is set, and then return within the deadline of the request in
// flight.
RequestCounters SendHttp(std::uint16_t port, const std::atomic<bool>& stop, HttpRequestKind kind);
RequestCounters SendDns(std::uint16_t port, const std::atomic<bool>& stop, DnsProtocol protocol);

}  // namespace mothrack::demo
