// One process of the sidecar following another under load: what this one inherits, what it tells the other
// while both run, and how the two share their limits (docs/design/service.md, section 2). Without a directory
// to share it does nothing, and bans hold as long as the process.
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

class HotRestartCoordinator : private hot_restart::Handover::Owner {
 public:
  // `path` begins the names of the files; empty: no process follows another. Asks the one that serves, if
  // any.
  HotRestartCoordinator(boost::asio::io_context& io, const std::string& path,
                        runtime::Descriptors& descriptors, runtime::Logger& log);
  ~HotRestartCoordinator();

  // What the sidecar of this process begins with.
  Sidecar::Inheritance Inherit();
  // The sidecar takes clients from now on.
  void Serve(Sidecar& sidecar);

  // Taken out by hand, or put back, here and at the other process; false where it was never listed.
  bool Ban(Sidecar& sidecar, const std::string& uid, bool banned);
  void Rest(Sidecar& sidecar, bool on);
  // Why the bans are not on disk as they are held; absent while they are. They are written again until then.
  const std::optional<std::string>& bans_fault() const { return bans_fault_; }

 private:
  hot_restart::State GiveState() override;
  int Listening() override { return sidecar_->listening(); }
  void Succeeded() override;
  void SuccessorGone() override;
  void PredecessorGone() override;
  void Heard(const nlohmann::json& line) override;
  // Gives back what was closed meanwhile, and says so.
  void GiveBack();
  void KeepBans();
  // What is left for this one.
  void PredecessorKeeps(std::size_t sockets);

  boost::asio::io_context& io_;
  std::string path_;
  int directory_ = -1;  // open where the path is too long for a socket's name
  runtime::Descriptors& descriptors_;
  runtime::Logger& log_;
  std::optional<hot_restart::Taken> taken_;
  std::set<std::string> bans_;  // held by this process
  Sidecar* sidecar_ = nullptr;  // once it takes clients
  boost::asio::steady_timer give_back_;
  boost::asio::steady_timer write_again_;
  std::optional<std::string> bans_fault_;
  std::size_t kept_ = 0;  // descriptors, while a successor may use the rest
  std::unique_ptr<hot_restart::Handover> handover_;
};

}  // namespace mothrack::sidecar
