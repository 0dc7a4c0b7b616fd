// One process of the sidecar following another under load: what this one inherits, of what it notifies the
// other while both run, and how the two share their limits (docs/design/production.md, section 2). Without a
// directory to share it does nothing, and bans hold as long as the process.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "hot_restart/client.h"
#include "hot_restart/server.h"
#include "runtime/descriptors.h"
#include "runtime/log.h"
#include "sidecar/sidecar.h"

namespace mothrack::sidecar {

// Not thread-safe; used by the one thread of the event loop.
class HotRestartCoordinator : private hot_restart::HotRestartServer::Handler {
 public:
  // `path` begins the names of the files; empty: no process follows another. Blocks for kTakeOverTimeout at
  // most, to take over from the process that serves, if any. `descriptors` and `log` must outlive it.
  HotRestartCoordinator(boost::asio::io_context& io, std::string path, runtime::Descriptors& descriptors,
                        runtime::Logger& log);
  ~HotRestartCoordinator();

  // What the sidecar of this process starts with. To be called once, before Serve().
  Sidecar::Inheritance Inherit();
  // The sidecar accepts clients from now on. It must live for as long as the event loop runs.
  void Serve(Sidecar& sidecar);

  // Bans an upstream, or lifts the ban, here, on disk and at the other process; false where it was never
  // listed.
  bool Ban(Sidecar& sidecar, const std::string& uid, bool banned);
  // The same of Sidecar::Quiesce(); not on disk.
  void Quiesce(Sidecar& sidecar, bool on);
  // Why the bans are not on disk as they are held; absent while they are. They are written again until then.
  const std::optional<std::string>& ban_storage_error() const { return ban_storage_error_; }

 private:
  hot_restart::State ExportState() override;
  int ListeningSocket() override { return sidecar_->listening(); }
  void OnSuccessorReady() override;
  void OnSuccessorExited() override;
  void OnPredecessorExited() override;
  void OnUpdate(const hot_restart::Update& update) override;
  // Lets the successor use the descriptors that were closed here, again and again until it exits.
  void ReleaseDescriptors();
  void PersistBans();
  // Limits this process to what the predecessor, which holds `sockets`, leaves.
  void ReserveForPredecessor(std::size_t sockets);

  boost::asio::io_context& io_;
  std::string path_;
  int directory_ = -1;  // open where the path is too long for a socket's name
  runtime::Descriptors& descriptors_;
  runtime::Logger& log_;
  std::optional<hot_restart::InheritedState> inherited_;
  std::set<std::string> bans_;  // in effect
  Sidecar* sidecar_ = nullptr;  // once it accepts clients
  boost::asio::steady_timer release_timer_;
  boost::asio::steady_timer ban_write_timer_;
  std::optional<std::string> ban_storage_error_;
  std::size_t reserved_descriptors_ = 0;  // for this process, while a successor may use the rest
  std::unique_ptr<hot_restart::HotRestartServer> server_;
};

}  // namespace mothrack::sidecar
