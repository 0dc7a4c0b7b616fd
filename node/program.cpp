#include "program.h"

#include <sys/resource.h>

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/system/system_error.hpp>
#include <csignal>
#include <exception>
#include <iostream>
#include <memory>
#include <random>
#include <utility>

#include "config.h"
#include "core/descriptors.h"
#include "core/log.h"
#include "dns/service.h"
#include "operator_file.h"
#include "sidecar.h"

namespace mothrack {
namespace {

// As many descriptors as a process may usually hold, where nobody said.
constexpr std::size_t kUsualSockets = 1024;

// What the program is told, at its start and on each SIGHUP: by the platform, by the operator's file, by
// both.
struct Told {
  std::optional<Config> platform;
  std::optional<OperatorFile> file;

  std::string name() const { return platform ? platform->name : file->name; }
  std::size_t sockets() const {
    rlimit limit{};
    std::size_t sockets = platform ? platform->sockets : kUsualSockets;
    if (file && file->sockets) sockets = platform ? std::min(sockets, *file->sockets) : *file->sockets;
    if (::getrlimit(RLIMIT_NOFILE, &limit) == 0 && limit.rlim_cur != RLIM_INFINITY) {
      sockets = std::min<std::size_t>(sockets, limit.rlim_cur);
    }
    return sockets;
  }
};

Told Read(const std::optional<std::string>& path, const std::function<const char*(const char*)>& variable) {
  Told told;
  if (path) told.file = LoadOperatorFile(*path);
  bool platform = !path;
  for (const char* name : {"LB_NAME", "LB_LISTEN", "LB_DISCOVERY", "LB_CONFIG"}) {
    const char* value = variable(name);
    platform = platform || (value != nullptr && *value != '\0');
  }
  if (platform) told.platform = LoadConfig(variable);
  if (!platform && !told.file->dns) {
    throw ConfigError(*path + ": names nothing to start; add [dns], or set the LB_* variables");
  }
  return told;
}

class Program {
 public:
  Program(boost::asio::io_context& io, Told told)
      : io_(io),
        log_(told.name()),
        descriptors_(told.sockets(),
                     told.file && told.file->dns ? dns::Service::FixedDescriptors(*told.file->dns) : 0),
        told_(std::move(told)) {
    if (told_.platform) {
      try {
        sidecar_ = std::make_unique<Sidecar>(io, *told_.platform, descriptors_, log_);
      } catch (const boost::system::system_error& e) {
        throw ConfigError("LB_LISTEN " + Text(told_.platform->listen) + ": " + e.what());
      }
      std::cerr << told_.name() << ": listening on " << sidecar_->local() << std::endl;
    }
    if (told_.file && told_.file->dns) {
      try {
        dns_ = std::make_unique<dns::Service>(io, *told_.file->dns, Seed(), descriptors_, log_);
      } catch (const boost::system::system_error& e) {
        std::string addresses;
        for (const Endpoint& endpoint : told_.file->dns->listen) addresses += ' ' + Text(endpoint);
        throw ConfigError(told_.file->path + ": dns.listen:" + addresses + ": " + e.what() +
                          "; free the address, or name another");
      }
      for (const Endpoint& endpoint : dns_->local()) {
        std::cerr << told_.name() << ": dns on " << endpoint << std::endl;
      }
    }
  }

  // Takes over what may change while the program runs; the rest counts from the next start on.
  void Follow(const Told& told) {
    if (sidecar_ && told.platform) sidecar_->Reconfigure(*told.platform);
    if (!dns_) {
      if (told.file && told.file->dns) log_.Line("dns: [dns] counts from the next start on");
      return;
    }
    log_.Line(dns_->Account());
    if (!told.file->dns) return log_.Line("dns: to end it, stop the program; the old resolvers stay");
    dns_->Follow(*told.file->dns);
    log_.Line(told.file->path + " read again: " + std::to_string(told.file->dns->resolvers.size()) +
              " resolvers");
    OperatorFile rest = *told.file;
    rest.dns->resolvers = told_.file->dns->resolvers;
    if (Effective(rest) != Effective(*told_.file)) {
      log_.Line(told.file->path + ": other changes than of resolvers count from the next start on");
    }
  }

  void Drain() {
    const auto ended = [this] {
      if (--draining_ > 0) return;
      if (dns_) log_.Line(dns_->Account());
      io_.stop();
    };
    if (draining_ > 0) return;
    draining_ = (sidecar_ ? 1 : 0) + (dns_ ? 1 : 0);
    if (sidecar_) sidecar_->Drain(ended);
    if (dns_) dns_->Drain(ended);
  }

  Logger& log() { return log_; }

 private:
  static std::string Text(const Endpoint& endpoint) {
    return endpoint.address().to_string() + ':' + std::to_string(endpoint.port());
  }
  // Sidecars must not act in step.
  static std::uint64_t Seed() {
    std::random_device random;
    return std::uint64_t{random()} << 32 | random();
  }

  boost::asio::io_context& io_;
  Logger log_;
  Descriptors descriptors_;
  const Told told_;  // as at the start
  std::unique_ptr<Sidecar> sidecar_;
  std::unique_ptr<dns::Service> dns_;
  int draining_ = 0;
};

}  // namespace

int Run(const std::optional<std::string>& path, const std::function<const char*(const char*)>& variable) {
  std::signal(SIGPIPE, SIG_IGN);
  try {
    boost::asio::io_context io(1);
    boost::asio::signal_set reload(io, SIGHUP);
    Program program(io, Read(path, variable));
    // A configuration with a fault is logged, and the old one stays.
    const std::function<void()> reload_on_signal = [&] {
      reload.async_wait([&](const boost::system::error_code& error, int) {
        if (error) return;
        reload_on_signal();
        try {
          program.Follow(Read(path, variable));
        } catch (const ConfigError& e) {
          program.log().Line(std::string("configuration not taken: ") + e.what());
        }
      });
    };
    reload_on_signal();
    boost::asio::signal_set stop(io, SIGTERM, SIGINT);
    stop.async_wait([&](const boost::system::error_code& error, int) {
      if (!error) program.Drain();
    });
    while (!io.stopped()) {
      try {
        io.run();
      } catch (const std::exception& e) {
        // One connection's trouble must not end the others.
        program.log().Line(e.what());
      }
    }
    return 0;
  } catch (const std::exception& e) {
    std::cerr << "mothrack: " << e.what() << std::endl;
    return 1;
  }
}

}  // namespace mothrack
