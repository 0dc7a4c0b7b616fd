// A line of counts in the log at an interval: what this sidecar did since the line before, and the state that
// it decides by. Off unless asked for (`--counts`); tools/fleet_counts.py adds up those of a fleet.
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

// Used by the one thread of the event loop.
class CounterLogger {
 public:
  // `sidecar` and `log` must outlive it.
  CounterLogger(boost::asio::io_context& io, runtime::Duration interval, const Sidecar& sidecar,
                runtime::Logger& log);

 private:
  // Of one upstream, since its process began.
  struct Attempts {
    std::uint64_t sent = 0;
    std::uint64_t unanswered = 0;  // of these
  };

  void Schedule();
  void Write();
  void PutDecisions(nlohmann::json& line);
  void PutConnections(nlohmann::json& line);
  void PutUpstreams(nlohmann::json& line);

  const runtime::Duration interval_;
  const Sidecar& sidecar_;
  runtime::Logger& log_;
  boost::asio::steady_timer timer_;
  // As in the line before.
  balancer::Counts decisions_;
  http::HttpTransport::Counts connections_;
  discovery::Discovery::Counts discovery_;
  std::map<std::string, Attempts> attempts_;  // by upstream
};

}  // namespace mothrack::sidecar
