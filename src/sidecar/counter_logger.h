// Logs a line of counters periodically: the increments since the previous line and the present state. Off by
// default (option `--counts`); tools/fleet_counts.py sums the lines of a fleet.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <string>

#include "runtime/clock.h"
#include "runtime/log.h"
#include "sidecar/sidecar.h"

namespace mothrack::sidecar {

// Used on the thread of the event loop only.
class CounterLogger {
 public:
  // `sidecar` and `log` must outlive it.
  CounterLogger(boost::asio::io_context& io, runtime::Duration interval, const Sidecar& sidecar,
                runtime::Logger& log);

 private:
  // Attempts sent to one upstream since the start of its process.
  struct Attempts {
    std::uint64_t sent = 0;
    std::uint64_t unanswered = 0;  // those of `sent` that ended without an answer
  };

  void Schedule();
  void Write();
  void PutDecisions(nlohmann::json& line);
  void PutConnections(nlohmann::json& line);
  void PutMemory(nlohmann::json& line);
  void PutUpstreams(nlohmann::json& line);

  const runtime::Duration interval_;
  const Sidecar& sidecar_;
  runtime::Logger& log_;
  boost::asio::steady_timer timer_;
  // The counters as of the previous line.
  balancer::Counts decisions_;
  http::HttpTransport::Counts connections_;
  http::ClientLog::Counts clients_;
  discovery::Discovery::Counts discovery_;
  std::uint64_t memory_denied_ = 0;
  std::map<std::string, Attempts> attempts_;  // by upstream id
};

}  // namespace mothrack::sidecar
