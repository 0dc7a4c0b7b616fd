// mothrack: the sidecar's process. Start, signals and exit code.
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/system/system_error.hpp>
#include <csignal>
#include <cstdlib>
#include <exception>
#include <iostream>
#include <string>

#include "config.h"
#include "core/descriptors.h"
#include "core/log.h"
#include "sidecar.h"

namespace {

mothrack::Config LoadConfig() {
  return mothrack::LoadConfig([](const char* name) { return std::getenv(name); });
}

// SIGHUP: a configuration with a fault is logged, and the old one stays.
void ReloadOnSignal(boost::asio::signal_set& signals, mothrack::Sidecar& sidecar, mothrack::Logger& log) {
  signals.async_wait([&](const boost::system::error_code& error, int) {
    if (error) return;
    ReloadOnSignal(signals, sidecar, log);
    try {
      sidecar.Reconfigure(LoadConfig());
    } catch (const mothrack::ConfigError& e) {
      log.Line(std::string("configuration not taken: ") + e.what());
    }
  });
}

}  // namespace

int main() {
  std::signal(SIGPIPE, SIG_IGN);
  try {
    boost::asio::io_context io(1);
    boost::asio::signal_set reload(io, SIGHUP);
    const mothrack::Config config = LoadConfig();
    mothrack::Logger log(config.name);
    mothrack::Descriptors descriptors(config.sockets);
    mothrack::Sidecar sidecar(io, config, descriptors, log);
    ReloadOnSignal(reload, sidecar, log);
    std::cerr << config.name << ": listening on " << sidecar.local() << std::endl;
    boost::asio::signal_set signals(io, SIGTERM, SIGINT);
    signals.async_wait([&](const boost::system::error_code& error, int) {
      if (!error) sidecar.Drain([&io] { io.stop(); });
    });
    while (!io.stopped()) {
      try {
        io.run();
      } catch (const std::exception& e) {
        // One connection's trouble must not end the others.
        std::cerr << config.name << ": " << e.what() << std::endl;
      }
    }
    return 0;
  } catch (const boost::system::system_error& e) {
    std::cerr << "mothrack: LB_LISTEN " << std::getenv("LB_LISTEN") << ": " << e.what() << std::endl;
    return 1;
  } catch (const std::exception& e) {
    std::cerr << "mothrack: " << e.what() << std::endl;
    return 1;
  }
}
