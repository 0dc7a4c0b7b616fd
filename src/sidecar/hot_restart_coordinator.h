// Hot restart: a new process of the sidecar takes over from a running one. Decides what this process
// inherits, what it sends to the other while both run, and how the two share their limits
// (docs/design/production.md, section 2). Without a directory shared by both it does nothing, and bans last
// as long as the process.
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

// Not thread-safe; used on the thread of the event loop only.
class HotRestartCoordinator : private hot_restart::HotRestartServer::Handler {
 public:
  // `path`: prefix of the names of the shared files; empty: no hot restart. Takes over from the serving
  // process, if any, and blocks for at most kTakeOverTimeout. `descriptors` and `log` must outlive it.
  HotRestartCoordinator(boost::asio::io_context& io, std::string path, runtime::Descriptors& descriptors,
                        runtime::Logger& log);
  ~HotRestartCoordinator();

  // The state that the sidecar of this process starts with. To be called once, before Serve().
  Sidecar::Inheritance Inherit();
  // The sidecar accepts clients from now on. It must live as long as the event loop runs.
  void Serve(Sidecar& sidecar);

  // Bans an upstream or lifts the ban, in this process, on disk and in the other process; false if it was
  // never listed.
  bool Ban(Sidecar& sidecar, const std::string& uid, bool banned);
  // Calls Sidecar::Quiesce() in this process and the other one; not stored on disk.
  void Quiesce(Sidecar& sidecar, bool on);
  // Why the present bans are not on disk; absent while they are. Writing is retried until it succeeds.
  const std::optional<std::string>& ban_storage_error() const { return ban_storage_error_; }

 private:
  hot_restart::State ExportState() override;
  int ListeningSocket() override { return sidecar_->listening(); }
  void OnSuccessorReady() override;
  void OnSuccessorExited() override;
  void OnPredecessorExited() override;
  void OnUpdate(const hot_restart::Update& update) override;
  // Periodically lets the successor use the descriptors closed here, until it exits.
  void ReleaseDescriptors();
  void PersistBans();
  // Limits this process to the descriptors that the predecessor, with `sockets` open ones, leaves.
  void ReserveForPredecessor(std::size_t sockets);

  boost::asio::io_context& io_;
  std::string path_;
  int directory_ = -1;  // open if the path is too long for the name of a Unix socket
  runtime::Descriptors& descriptors_;
  runtime::Logger& log_;
  std::optional<hot_restart::InheritedState> inherited_;
  std::set<std::string> bans_;  // in effect
  Sidecar* sidecar_ = nullptr;  // set once it accepts clients
  boost::asio::steady_timer release_timer_;
  boost::asio::steady_timer ban_write_timer_;
  std::optional<std::string> ban_storage_error_;
  std::size_t reserved_descriptors_ = 0;  // for this process while a successor uses the others
  std::unique_ptr<hot_restart::HotRestartServer> server_;
};

}  // namespace mothrack::sidecar
