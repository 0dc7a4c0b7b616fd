// A line of counts in the log, once in a while: what this sidecar did since the last one, and what it goes
// by. Off unless asked for (`--counts`); tools/fleet_counts.py adds up those of a fleet.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <map>
#include <string>
#include <utility>

#include "runtime/clock.h"
#include "runtime/log.h"
#include "sidecar/sidecar.h"

namespace mothrack::sidecar {

class CounterLogger {
 public:
  // `sidecar` and `log` must outlive it.
  CounterLogger(boost::asio::io_context& io, runtime::Duration every, const Sidecar& sidecar,
                runtime::Logger& log);

 private:
  void Schedule();
  void Write();

  const runtime::Duration every_;
  const Sidecar& sidecar_;
  runtime::Logger& log_;
  boost::asio::steady_timer timer_;
  balancer::Counts decided_;
  http::HttpTransport::Counts connections_;
  discovery::Discovery::Counts discovery_;
  std::map<std::string, std::pair<std::uint64_t, std::uint64_t>> sent_;  // by upstream; of these unanswered
};

}  // namespace mothrack::sidecar
