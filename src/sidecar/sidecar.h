// Wires the parts of one sidecar together: HTTP from the platform's front to its upstreams.
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
#include "http/front.h"
#include "http/transport.h"
#include "runtime/clock.h"
#include "runtime/descriptors.h"
#include "runtime/log.h"
#include "sidecar/config.h"

namespace mothrack::sidecar {

class Sidecar {
 public:
  // What a process brings along that did not start from nothing.
  struct Inheritance {
    int listening = -1;          // the socket where clients wait; -1: to be bound
    bool share_port = false;     // another process may listen there, too
    bool wait_for_list = false;  // clients are taken once discovery has told the list, or after a short while
    bool resting = false;
    bool share_memory = false;  // with the one that served before
    std::set<std::string> bans{};
    std::vector<std::string> ids{};
    std::vector<dispatch::ProcessStart>
        starts{};  // of upstreams' processes, as the other process placed them
    std::optional<runtime::TimePoint> last_list{};  // when it read its last list
  };

  // Starts at once: binds, hands the module the known list and asks discovery. Throws where it cannot.
  // `on_ready` is called later, once it takes clients.
  Sidecar(boost::asio::io_context& io, const Config& config, const Inheritance& inheritance,
          runtime::Descriptors& descriptors, runtime::Logger& log, std::function<void()> on_ready);

  bool ready() const { return ready_; }  // takes clients, or did
  int listening() { return front_.native_handle(); }
  // A successor takes clients from the same socket; it is gone again.
  void HandOver() { front_.HandOver(); }
  void TakeBack() { front_.TakeBack(); }
  // Another process of this sidecar has half of the memory for bodies.
  void ShareMemory(bool on) { on ? budget_.Halve() : budget_.Restore(); }
  std::vector<std::string> RecentIds() const { return dispatcher_.RecentKeys(); }
  std::vector<dispatch::ProcessStart> ProcessStarts() const { return start_times_.Export(); }
  std::optional<runtime::TimePoint> LastList() const { return start_times_.last_list(); }
  void KnowId(const std::string& id) { dispatcher_.KnowKey(id); }
  void ObserveIds(std::function<void(const std::string&)> on_id) {
    dispatcher_.ObserveKeys(std::move(on_id));
  }

  runtime::Endpoint local() const { return front_.local(); }
  // For people who look.
  const dispatch::Dispatcher& dispatcher() const { return dispatcher_; }
  const http::HttpTransport& transport() const { return transport_; }
  const discovery::Discovery& discovery() const { return discovery_; }
  bool Ban(const std::string& uid) { return dispatcher_.Ban(uid); }
  void RestoreBans(const std::set<std::string>& bans) { dispatcher_.RestoreBans(bans); }
  bool Unban(const std::string& uid) { return dispatcher_.Unban(uid); }
  // Times that clients waited and the system did not tell.
  std::uint64_t missed() const { return front_.missed(); }
  // Empties it; takes clients again.
  void Rest(bool on) { front_.Rest(on); }
  bool resting() const { return front_.resting(); }
  // A planned stop; `done` is called when all that was taken is answered.
  void Drain(std::function<void()> done) { front_.Drain(std::move(done)); }
  // The configuration was replaced: follows its `discovery`. The rest counts from the next start on.
  // Throws ConfigError, and changes nothing then.
  void Reconfigure(const Config& config);

 private:
  dispatch::StartTimes start_times_;
  runtime::Logger& log_;
  runtime::ByteBudget budget_;
  http::HttpTransport transport_;
  dispatch::Dispatcher dispatcher_;
  discovery::Discovery discovery_;
  void TakeClients();

  const std::function<void()> on_ready_;
  bool ready_ = false;
  boost::asio::steady_timer list_awaited_;
  http::HttpFront front_;  // last: it takes requests from here on, and goes first
};

}  // namespace mothrack::sidecar
