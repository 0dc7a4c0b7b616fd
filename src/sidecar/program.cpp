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

// Wires together the parts of this process: HTTP sidecar, DNS service, gossip, admin API and operator API,
// each only if configured. Used on the thread of the event loop only.
class Program {
 public:
  using ReadSettings = std::function<ProgramSettings()>;

  Program(boost::asio::io_context& io, ReadSettings read, const Options& options)
      : io_(io),
        read_settings_(std::move(read)),
        settings_(read_settings_()),
        log_(settings_.name()),
        descriptors_(settings_.sockets(), settings_.fixed_descriptors()),
        hot_restart_(io, settings_.shared_path, descriptors_, log_) {
    RecordConfiguration(settings_);
    if (settings_.platform) StartSidecar(options);
    if (settings_.platform && settings_.platform->ops) StartOperatorApi();
    if (settings_.file && settings_.file->dns) StartDns();
    if (settings_.file) peers_ = PeersLink::Create(io, *settings_.file, settings_.name(), log_);
    if (settings_.file && settings_.file->admin) StartAdminApi();
  }

  // Reloads the configuration. If it is invalid, the error is logged and returned, and the old one stays in
  // effect; an empty string on success.
  std::string Reload() {
    try {
      const ProgramSettings settings = read_settings_();
      Apply(settings);
      RecordConfiguration(settings);
      return {};
    } catch (const ConfigError& e) {
      log_.Error("configuration_not_taken", {{"cause", e.what()}});
      rejected_configuration_ = {{"error", e.what()}, {"at_ms", admin::UnixMilliseconds()}};
      return e.what();
    }
  }

  // Stops accepting clients while the open requests finish, or accepts clients again; false, without effect,
  // during a planned stop.
  bool Quiesce(bool on) {
    if (parts_draining_ > 0) return false;
    hot_restart_.Quiesce(*sidecar_, on);
    return true;
  }

  // The planned stop: ends the event loop once all accepted requests are answered. May be called again.
  void Drain() {
    if (!draining_since_) draining_since_ = admin::UnixMilliseconds();
    const auto on_part_drained = [this] {
      if (--parts_draining_ > 0) return;
      if (dns_) dns_->LogCounts(log_);
      io_.stop();
    };
    if (parts_draining_ > 0) return;
    if (peers_) peers_->Leave();
    parts_draining_ = (sidecar_ ? 1 : 0) + (dns_ ? 1 : 0);
    if (sidecar_) sidecar_->Drain(on_part_drained);
    if (dns_) dns_->Drain(on_part_drained);
  }

  runtime::Logger& log() { return log_; }

 private:
  void StartSidecar(const Options& options) {
    try {
      sidecar_ = std::make_unique<Sidecar>(io_, *settings_.platform, hot_restart_.Inherit(), descriptors_,
                                           log_, [this] { hot_restart_.Serve(*sidecar_); });
    } catch (const boost::system::system_error& e) {
      throw ConfigError("LB_LISTEN " + AddressText(settings_.platform->listen) + ": " + e.what());
    }
    std::cerr << settings_.name() << ": listening on " << sidecar_->local() << std::endl;
    if (!options.counts_s) return;
    const auto interval =
        std::chrono::duration_cast<runtime::Duration>(std::chrono::duration<double>(*options.counts_s));
    counter_logger_ = std::make_unique<CounterLogger>(io_, interval, *sidecar_, log_);
  }

  void StartOperatorApi() {
    admin::OperatorApiSource source;
    source.ready = [this] { return parts_draining_ == 0 && sidecar_->ready() && !sidecar_->quiescing(); };
    source.stats = [this] { return admin::OperatorStats(sidecar_->dispatcher()); };
    source.ban = [this](const std::string& uid) { return hot_restart_.Ban(*sidecar_, uid, true); };
    source.unban = [this](const std::string& uid) { return hot_restart_.Ban(*sidecar_, uid, false); };
    source.drain = [this](bool on) { return Quiesce(on); };
    operator_api_ =
        std::make_unique<admin::OperatorApi>(io_, *settings_.platform->ops, std::move(source), log_);
    std::cerr << settings_.name() << ": ops on " << operator_api_->local() << std::endl;
  }

  void StartDns() {
    const dns::Settings& dns = *settings_.file->dns;
    try {
      dns_ = std::make_unique<dns::Service>(io_, dns, RandomSeed(), descriptors_, log_);
    } catch (const boost::system::system_error& e) {
      std::string addresses;
      for (const runtime::Endpoint& endpoint : dns.listen) addresses += ' ' + AddressText(endpoint);
      throw ConfigError(settings_.file->path + ": dns.listen:" + addresses + ": " + e.what() +
                        "; free the address, or name another");
    }
    for (const runtime::Endpoint& endpoint : dns_->local()) {
      std::cerr << settings_.name() << ": dns on " << endpoint << std::endl;
    }
  }

  void StartAdminApi() {
    admin::Source source;
    source.status = [this](const std::string& after) { return Status(after); };
    source.reload = [this] { return Reload(); };
    source.drain = [this] { Drain(); };
    admin_api_ = std::make_unique<admin::AdminApi>(io_, *settings_.file->admin, std::move(source), log_);
    std::cerr << settings_.name() << ": admin on " << admin_api_->local() << std::endl;
  }

  // Applies the settings that may change at runtime; others take effect at the next start.
  void Apply(const ProgramSettings& settings) {
    if (sidecar_ && settings.platform) sidecar_->Reconfigure(*settings.platform);
    if (peers_) peers_->Apply(*settings.file, log_);
    if (!dns_) {
      if (settings.file && settings.file->dns) {
        log_.Warn("changes_await_restart", {{"file", settings.file->path}, {"part", "dns"}});
      }
      return;
    }
    dns_->LogCounts(log_);
    if (!settings.file->dns) return log_.Warn("dns_end_needs_stop");
    dns_->Follow(*settings.file->dns);
    log_.Info("resolvers_reloaded",
              {{"file", settings.file->path}, {"resolvers", settings.file->dns->resolvers.size()}});
    OperatorFile others = *settings.file;
    others.dns->resolvers = settings_.file->dns->resolvers;
    if (EffectiveSettings(others) != EffectiveSettings(*settings_.file)) {
      log_.Warn("changes_await_restart", {{"file", settings.file->path}, {"part", "all but resolvers"}});
    }
  }

  void RecordConfiguration(const ProgramSettings& settings) {
    ++generation_;
    configuration_ = {{"generation", generation_}, {"taken_ms", admin::UnixMilliseconds()}};
    if (settings.file) configuration_["file"] = settings.file->path;
    if (settings.file) configuration_["hash"] = settings.file->hash;
    rejected_configuration_ = nullptr;
  }

  nlohmann::json Status(const std::string& after) const {
    nlohmann::json pools = nlohmann::json::array();
    if (sidecar_) pools.push_back(admin::PoolReport("http", sidecar_->dispatcher(), after));
    if (dns_) pools.push_back(admin::PoolReport("dns", dns_->dispatcher(), after));
    nlohmann::json configuration = configuration_;
    if (!rejected_configuration_.is_null()) configuration["refused"] = rejected_configuration_;
    nlohmann::json status = {{"name", settings_.name()},
                             {"version", MOTHRACK_VERSION},
                             {"state", draining_since_ ? "draining" : "ready"},
                             {"since_ms", draining_since_.value_or(started_)},
                             {"now_ms", admin::UnixMilliseconds()},
                             {"configuration", std::move(configuration)},
                             {"process", admin::ProcessReport(settings_.sockets())},
                             {"missed_wakeups", sidecar_ ? sidecar_->missed_wakeups() : 0},
                             {"pools", std::move(pools)}};
    if (const auto& fault = hot_restart_.ban_storage_error()) status["bans_not_kept"] = *fault;
    if (peers_) status["peers"] = peers_->Report();
    return status;
  }

  static std::string AddressText(const runtime::Endpoint& endpoint) {
    return endpoint.address().to_string() + ':' + std::to_string(endpoint.port());
  }
  // The seed of the DNS pool. It is random, so that sidecars do not act in step. The seed of the HTTP pool
  // comes from the platform.
  static std::uint64_t RandomSeed() {
    std::random_device random;
    return std::uint64_t{random()} << 32 | random();
  }

  boost::asio::io_context& io_;
  const ReadSettings read_settings_;
  const ProgramSettings settings_;  // the settings at the start
  runtime::Logger log_;
  runtime::Descriptors descriptors_;
  HotRestartCoordinator hot_restart_;
  std::unique_ptr<Sidecar> sidecar_;
  std::unique_ptr<CounterLogger> counter_logger_;
  std::unique_ptr<dns::Service> dns_;
  std::unique_ptr<PeersLink> peers_;  // null if the file has no [peers]
  int parts_draining_ = 0;
  // Reported by the admin API.
  const std::int64_t started_ = admin::UnixMilliseconds();
  std::optional<std::int64_t> draining_since_;
  std::uint64_t generation_ = 0;  // number of configurations so far: the first one and each reload
  nlohmann::json configuration_;
  nlohmann::json rejected_configuration_;  // the last invalid one, until a valid one follows
  std::unique_ptr<admin::AdminApi> admin_api_;
  std::unique_ptr<admin::OperatorApi> operator_api_;
};

}  // namespace

int Run(const Options& options, const std::function<const char*(const char*)>& variable) {
  std::signal(SIGPIPE, SIG_IGN);
  try {
    boost::asio::io_context io(1);
    // The signals are caught before the listening socket exists: a signal during the start must not kill the
    // process while clients wait in the backlog. It is handled once the event loop runs.
    boost::asio::signal_set reload(io, SIGHUP);
    boost::asio::signal_set stop(io, SIGTERM, SIGINT);
    Program program(
        io, [&] { return ReadProgramSettings(options.path, variable); }, options);
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
        // An error at one connection must not end the others.
        program.log().Error("unexpected_exception", {{"cause", e.what()}});
      }
    }
    return 0;
  } catch (const std::exception& e) {
    std::cerr << "mothrack: " << e.what() << std::endl;
    return 1;
  }
}

}  // namespace mothrack::sidecar
