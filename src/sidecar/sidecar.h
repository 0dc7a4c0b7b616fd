// Wires the parts of one HTTP sidecar together: front end, dispatcher, transport and discovery.
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

// Not thread-safe: constructed, called and destroyed by the one thread of its event loop.
class Sidecar {
 public:
  // What a process starts with that takes over from another one, or that another one will take over from.
  struct Inheritance {
    int listening = -1;          // the socket where clients wait; -1: to be bound
    bool share_port = false;     // another process may listen there, too
    bool wait_for_list = false;  // clients are accepted once discovery gave its list, or after kListTimeout
    bool quiescing = false;
    bool share_memory = false;  // with the process that served before
    std::set<std::string> bans{};
    std::vector<std::string> ids{};  // of requests that must not be accepted again
    // Of upstreams' processes, as the other process placed them, and when it read its last list.
    std::vector<dispatch::ProcessStart> starts{};
    std::optional<runtime::TimePoint> last_list{};
  };

  // Starts at once: binds, hands the module the known list and asks discovery. `descriptors` and `log` must
  // outlive it. Throws ConfigError for the known list, boost::system::system_error where it can't listen.
  // `on_ready` is called later, once it accepts clients.
  Sidecar(boost::asio::io_context& io, const Config& config, const Inheritance& inheritance,
          runtime::Descriptors& descriptors, runtime::Logger& log, std::function<void()> on_ready);

  // Accepts clients, or did.
  bool ready() const { return ready_; }
  runtime::Endpoint local() const { return front_.local(); }
  // The listening socket; it stays this object's.
  int listening() { return front_.native_handle(); }

  // A successor accepts clients from the same socket.
  void StopAccepting() { front_.PauseAccepting(); }
  // The successor exited: accepts them again.
  void ResumeAccepting() { front_.ResumeAccepting(); }
  // Whether another process of this sidecar has half of the memory for bodies.
  void ShareMemory(bool on) { on ? budget_.Halve() : budget_.Restore(); }
  // For a successor.
  std::vector<std::string> RecentIds() const { return dispatcher_.RecentKeys(); }
  std::vector<dispatch::ProcessStart> ProcessStarts() const { return start_times_.Export(); }
  std::optional<runtime::TimePoint> LastListTime() const { return start_times_.last_list(); }
  // The id of a request that another process of this sidecar accepted.
  void ImportId(const std::string& id) { dispatcher_.ImportKey(id); }
  // `on_id` is called with the id of each accepted request that must not be repeated.
  void SetIdObserver(std::function<void(const std::string&)> on_id) {
    dispatcher_.SetKeyObserver(std::move(on_id));
  }

  // As Dispatcher has them.
  bool Ban(const std::string& uid) { return dispatcher_.Ban(uid); }
  bool Unban(const std::string& uid) { return dispatcher_.Unban(uid); }
  void RestoreBans(const std::set<std::string>& bans) { dispatcher_.RestoreBans(bans); }

  // Accepts no new clients and lets the old ones finish; or accepts clients again.
  void Quiesce(bool on) { front_.Quiesce(on); }
  bool quiescing() const { return front_.quiescing(); }
  // A planned stop; `done` is called when all that was accepted is answered.
  void Drain(std::function<void()> done) { front_.Drain(std::move(done)); }
  // The configuration was replaced: follows its `discovery`. The rest counts from the next start on.
  // Throws ConfigError, and changes nothing then.
  void Reconfigure(const Config& config);

  // For reports.
  const dispatch::Dispatcher& dispatcher() const { return dispatcher_; }
  const http::HttpTransport& transport() const { return transport_; }
  const discovery::Discovery& discovery() const { return discovery_; }
  // Times that clients waited to be accepted and the system did not say so (docs/design/wakeups.md).
  std::uint64_t missed_wakeups() const { return front_.missed_wakeups(); }

 private:
  void StartServing();

  dispatch::StartTimes start_times_;
  runtime::Logger& log_;
  runtime::ByteBudget budget_;
  http::HttpTransport transport_;
  dispatch::Dispatcher dispatcher_;
  discovery::Discovery discovery_;
  const std::function<void()> on_ready_;
  bool ready_ = false;
  boost::asio::steady_timer list_timeout_;
  http::HttpFrontend front_;  // last: it accepts requests from here on, and is destroyed first
};

}  // namespace mothrack::sidecar
