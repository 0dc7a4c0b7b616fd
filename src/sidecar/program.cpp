#include "sidecar/program.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/system/system_error.hpp>
#include <csignal>
#include <exception>
#include <iostream>
#include <memory>
#include <random>
#include <utility>

#include "admin/admin_api.h"
#include "admin/operator_api.h"
#include "admin/report.h"
#include "dns/service.h"
#include "runtime/descriptors.h"
#include "runtime/log.h"
#include "sidecar/config.h"
#include "sidecar/counter_logger.h"
#include "sidecar/hot_restart_coordinator.h"
#include "sidecar/operator_file.h"
#include "sidecar/peers_link.h"
#include "sidecar/program_settings.h"
#include "sidecar/sidecar.h"

namespace mothrack::sidecar {
namespace {

class Program {
 public:
  using ReadAgain = std::function<Told()>;

  Program(boost::asio::io_context& io, ReadAgain read, const Options& options)
      : io_(io),
        read_(std::move(read)),
        told_(read_()),
        log_(told_.name()),
        descriptors_(told_.sockets(), told_.fixed_descriptors()),
        succession_(io, told_.shared_path, descriptors_, log_) {
    Took(told_);
    if (told_.platform) {
      try {
        sidecar_ = std::make_unique<Sidecar>(io, *told_.platform, succession_.Inherit(), descriptors_, log_,
                                             [this] { succession_.Serve(*sidecar_); });
      } catch (const boost::system::system_error& e) {
        throw ConfigError("LB_LISTEN " + Text(told_.platform->listen) + ": " + e.what());
      }
      std::cerr << told_.name() << ": listening on " << sidecar_->local() << std::endl;
      if (options.counts_s) {
        const auto every = std::chrono::duration<double>(*options.counts_s);
        counts_ = std::make_unique<CounterLogger>(io, std::chrono::duration_cast<runtime::Duration>(every),
                                                  *sidecar_, log_);
      }
    }
    if (told_.platform && told_.platform->ops) {
      ops_ = std::make_unique<admin::OperatorApi>(
          io, *told_.platform->ops,
          admin::OperatorApiSource{
              [this] { return draining_ == 0 && sidecar_->ready() && !sidecar_->resting(); },
              [this] { return admin::Figures(sidecar_->dispatcher()); },
              [this](const std::string& uid) { return succession_.Ban(*sidecar_, uid, true); },
              [this](const std::string& uid) { return succession_.Ban(*sidecar_, uid, false); },
              [this](bool on) { return Rest(on); }},
          log_);
      std::cerr << told_.name() << ": ops on " << ops_->local() << std::endl;
    }
    if (told_.file && told_.file->dns) {
      try {
        dns_ = std::make_unique<dns::Service>(io, *told_.file->dns, Seed(), descriptors_, log_);
      } catch (const boost::system::system_error& e) {
        std::string addresses;
        for (const runtime::Endpoint& endpoint : told_.file->dns->listen) addresses += ' ' + Text(endpoint);
        throw ConfigError(told_.file->path + ": dns.listen:" + addresses + ": " + e.what() +
                          "; free the address, or name another");
      }
      for (const runtime::Endpoint& endpoint : dns_->local()) {
        std::cerr << told_.name() << ": dns on " << endpoint << std::endl;
      }
    }
    if (told_.file) peers_ = PeersLink::Of(io, *told_.file, told_.name(), log_);
    if (told_.file && told_.file->admin) {
      door_ = std::make_unique<admin::AdminApi>(
          io, *told_.file->admin,
          admin::Source{[this](const std::string& after) { return Status(after); },
                        [this] { return Reload(); }, [this] { Drain(); }},
          log_);
      std::cerr << told_.name() << ": admin on " << door_->local() << std::endl;
    }
  }

  // Reads the configuration again. One with a fault is logged, and the old one stays; the fault, or nothing.
  std::string Reload() {
    try {
      const Told told = read_();
      Follow(told);
      Took(told);
      return {};
    } catch (const ConfigError& e) {
      log_.Line(std::string("configuration not taken: ") + e.what());
      refused_ = {{"error", e.what()}, {"at_ms", admin::UnixMilliseconds()}};
      return e.what();
    }
  }

  // Empties the sidecar, or takes clients again; false during a planned stop.
  bool Rest(bool on) {
    if (draining_ > 0) return false;
    succession_.Rest(*sidecar_, on);
    return true;
  }

  void Drain() {
    if (!draining_since_) draining_since_ = admin::UnixMilliseconds();
    const auto ended = [this] {
      if (--draining_ > 0) return;
      if (dns_) log_.Line(dns_->Account());
      io_.stop();
    };
    if (draining_ > 0) return;
    if (peers_) peers_->Leave();
    draining_ = (sidecar_ ? 1 : 0) + (dns_ ? 1 : 0);
    if (sidecar_) sidecar_->Drain(ended);
    if (dns_) dns_->Drain(ended);
  }

  runtime::Logger& log() { return log_; }

 private:
  // Takes over what may change while the program runs; the rest counts from the next start on.
  void Follow(const Told& told) {
    if (sidecar_ && told.platform) sidecar_->Reconfigure(*told.platform);
    if (peers_) peers_->Follow(*told.file, log_);
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

  void Took(const Told& told) {
    ++generation_;
    configuration_ = {{"generation", generation_}, {"taken_ms", admin::UnixMilliseconds()}};
    if (told.file) configuration_["file"] = told.file->path;
    if (told.file) configuration_["hash"] = told.file->hash;
    refused_ = nullptr;
  }

  nlohmann::json Status(const std::string& after) const {
    nlohmann::json pools = nlohmann::json::array();
    if (sidecar_) pools.push_back(admin::PoolReport("http", sidecar_->dispatcher(), after));
    if (dns_) pools.push_back(admin::PoolReport("dns", dns_->dispatcher(), after));
    nlohmann::json configuration = configuration_;
    if (!refused_.is_null()) configuration["refused"] = refused_;
    nlohmann::json told = {{"name", told_.name()},
                           {"version", MOTHRACK_VERSION},
                           {"state", draining_since_ ? "draining" : "ready"},
                           {"since_ms", draining_since_.value_or(started_)},
                           {"now_ms", admin::UnixMilliseconds()},
                           {"configuration", std::move(configuration)},
                           {"process", admin::ProcessReport(told_.sockets())},
                           {"missed_wakeups", sidecar_ ? sidecar_->missed() : 0},
                           {"pools", std::move(pools)}};
    if (const auto& fault = succession_.bans_fault()) told["bans_not_kept"] = *fault;
    if (peers_) told["peers"] = peers_->Report();
    return told;
  }

  static std::string Text(const runtime::Endpoint& endpoint) {
    return endpoint.address().to_string() + ':' + std::to_string(endpoint.port());
  }
  // Sidecars must not act in step.
  static std::uint64_t Seed() {
    std::random_device random;
    return std::uint64_t{random()} << 32 | random();
  }

  boost::asio::io_context& io_;
  const ReadAgain read_;
  const Told told_;  // as at the start
  runtime::Logger log_;
  runtime::Descriptors descriptors_;
  HotRestartCoordinator succession_;
  std::unique_ptr<Sidecar> sidecar_;
  std::unique_ptr<CounterLogger> counts_;
  std::unique_ptr<dns::Service> dns_;
  std::unique_ptr<PeersLink> peers_;  // none where the file has no [peers]
  int draining_ = 0;
  // What the door tells.
  const std::int64_t started_ = admin::UnixMilliseconds();
  std::optional<std::int64_t> draining_since_;
  std::uint64_t generation_ = 0;  // configurations taken: the one at the start, and each that was read again
  nlohmann::json configuration_;
  nlohmann::json refused_;  // the last one that was not taken, until one is
  std::unique_ptr<admin::AdminApi> door_;
  std::unique_ptr<admin::OperatorApi> ops_;
};

}  // namespace

int Run(const Options& options, const std::function<const char*(const char*)>& variable) {
  std::signal(SIGPIPE, SIG_IGN);
  try {
    boost::asio::io_context io(1);
    // Before there is a listening socket: a signal that comes while the program starts must not end it over
    // clients that wait in the backlog. It is handled once the event loop runs.
    boost::asio::signal_set reload(io, SIGHUP);
    boost::asio::signal_set stop(io, SIGTERM, SIGINT);
    Program program(
        io, [&] { return Read(options.path, variable); }, options);
    const std::function<void()> reload_on_signal = [&] {
      reload.async_wait([&](const boost::system::error_code& error, int) {
        if (error) return;
        reload_on_signal();
        program.Reload();
      });
    };
    reload_on_signal();
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

}  // namespace mothrack::sidecar
