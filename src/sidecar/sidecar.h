// One HTTP sidecar: wires together front end, dispatcher, transport and discovery.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "discovery/discovery.h"
#include "dispatch/dispatcher.h"
#include "dispatch/start_times.h"
#include "http/frontend.h"
#include "http/transport.h"
#include "runtime/clock.h"
#include "runtime/descriptors.h"
#include "runtime/log.h"
#include "sidecar/config.h"

namespace mothrack::sidecar {

// Not thread-safe: constructed, called and destroyed on the thread of its event loop.
class Sidecar {
 public:
  // Initial state, inherited from a former process if there was one.
  struct Inheritance {
    int listening = -1;          // an inherited listening socket; -1: bind a new one
    bool share_port = false;     // another process may listen as well (SO_REUSEPORT)
    bool wait_for_list = false;  // accept clients only once discovery sent its list, or after kListTimeout
    bool quiescing = false;
    bool share_memory = false;  // the former process uses half of the memory for messages
    std::set<std::string> bans{};
    std::vector<std::string> ids{};  // recent request ids, for duplicate detection
    // Start times of upstreams' processes as the former process determined them, and when it got its last
    // list.
    std::vector<dispatch::ProcessStart> starts{};
    std::optional<runtime::TimePoint> last_list{};
  };

  // Binds, passes the known list to the module and calls discovery. `descriptors` and `log` must outlive it.
  // Throws ConfigError for the known list, boost::system::system_error if it can't listen. `on_ready` is
  // called later, once it accepts clients.
  Sidecar(boost::asio::io_context& io, const Config& config, const Inheritance& inheritance,
          runtime::Descriptors& descriptors, runtime::Logger& log, std::function<void()> on_ready);

  // Whether it accepts clients, or did.
  bool ready() const { return ready_; }
  runtime::Endpoint local() const { return front_.local(); }
  // The listening socket, which remains owned by this object.
  int listening() { return front_.native_handle(); }

  // Stops accepting, because a successor now accepts clients from the same socket.
  void StopAccepting() { front_.PauseAccepting(); }
  // Accepts clients again, because the successor exited.
  void ResumeAccepting() { front_.ResumeAccepting(); }
  // `on`: another process of this sidecar uses half of the memory for messages.
  void ShareMemory(bool on) { on ? budget_.Halve() : budget_.Restore(); }
  // State for a successor.
  std::vector<std::string> RecentIds() const { return dispatcher_.RecentKeys(); }
  std::vector<dispatch::ProcessStart> ProcessStarts() const { return start_times_.Export(); }
  std::optional<runtime::TimePoint> LastListTime() const { return start_times_.last_list(); }
  // Adds the id of a request that another process of this sidecar accepted.
  void ImportId(const std::string& id) { dispatcher_.ImportKey(id); }
  // `on_id` is called with the id of each accepted request that must not be repeated.
  void SetIdObserver(std::function<void(const std::string&)> on_id) {
    dispatcher_.SetKeyObserver(std::move(on_id));
  }

  // These call the functions of Dispatcher with the same names.
  bool Ban(const std::string& uid) { return dispatcher_.Ban(uid); }
  bool Unban(const std::string& uid) { return dispatcher_.Unban(uid); }
  void RestoreBans(const std::set<std::string>& bans) { dispatcher_.RestoreBans(bans); }

  // Stops accepting clients while the open requests finish, or accepts clients again.
  void Quiesce(bool on) { front_.Quiesce(on); }
  bool quiescing() const { return front_.quiescing(); }
  // A planned stop; `done` is called once all accepted requests are answered.
  void Drain(std::function<void()> done) { front_.Drain(std::move(done)); }
  // Applies the `discovery` of a new configuration; other changes take effect at the next start. Throws
  // ConfigError, without effect.
  void Reconfigure(const Config& config);

  // State that the admin API and the logs report.
  const dispatch::Dispatcher& dispatcher() const { return dispatcher_; }
  const http::HttpTransport& transport() const { return transport_; }
  const http::ClientLog::Counts& client_counts() const { return front_.client_counts(); }
  const discovery::Discovery& discovery() const { return discovery_; }
  const runtime::MemoryBudget& memory() const { return budget_; }
  // How often a waiting client was found by polling only (docs/design/wakeups.md).
  std::uint64_t missed_wakeups() const { return front_.missed_wakeups(); }

 private:
  void StartServing();

  dispatch::StartTimes start_times_;
  runtime::Logger& log_;
  runtime::MemoryBudget budget_;
  http::HttpTransport transport_;
  dispatch::Dispatcher dispatcher_;
  discovery::Discovery discovery_;
  const std::function<void()> on_ready_;
  bool ready_ = false;
  boost::asio::steady_timer list_timeout_;
  http::HttpFrontend front_;  // last, so that it is destroyed first: it submits requests to the others
};

}  // namespace mothrack::sidecar
