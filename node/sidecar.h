// Drives the Balancer: the clock, the timers and the table of requests; turns what happens into events and
// carries out the actions, in their order.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "clock.h"
#include "config.h"
#include "descriptors.h"
#include "discovery.h"
#include "kestrellb/balancer.h"
#include "listener.h"
#include "log.h"
#include "upstreams.h"

namespace mothrack {

class Sidecar {
 public:
  // Starts at once: binds, hands the module the known list and asks discovery. Throws where it cannot.
  Sidecar(boost::asio::io_context& io, const Config& config);

  Endpoint local() const { return listener_.local(); }
  // A planned stop; `done` is called when all that was taken is answered.
  void Drain(std::function<void()> done) { listener_.Drain(std::move(done)); }
  // The configuration was replaced: follows its `discovery`. The rest counts from the next start on.
  // Throws ConfigError, and changes nothing then.
  void Reconfigure(const Config& config);
  Logger& log() { return log_; }

 private:
  struct Pending {
    std::string wire_id;
    std::shared_ptr<const HttpRequest> message;
    TimePoint deadline;
    Listener::Reply reply;  // empty once the request has its answer or its client is gone
    std::vector<Upstreams::ExchangeId> attempts;
    std::size_t out = 0;  // attempts that have not ended
  };

  void Deliver(kestrellb::Event event);
  void Pump();
  void Apply(MembershipList list);
  Listener::OnGone Take(HttpRequest request, Listener::Reply reply);
  void Gone(kestrellb::RequestId id);
  void Ended(kestrellb::RequestId id, kestrellb::AttemptId attempt, ExchangeResult result);
  void Answer(Pending& pending, HttpResponse response);
  void ForgetOldIds(TimePoint now);
  void ForgetIfDone(kestrellb::RequestId id);
  void ArmTimer();

  void CarryOut(const kestrellb::SendAttempt& action);
  void CarryOut(const kestrellb::CancelAttempt& action);
  void CarryOut(const kestrellb::Refuse& action);
  void CarryOut(const kestrellb::Fail& action);
  void CarryOut(const kestrellb::SetTimer& action);
  void CarryOut(const kestrellb::SendProbe& action);
  void CarryOut(const kestrellb::CloseIdle& action);
  void CarryOut(const kestrellb::Subscribe& action);
  void CarryOut(const kestrellb::Log& action);

  using Timer = std::pair<TimePoint, std::uint64_t>;

  const kestrellb::Settings settings_;
  std::map<std::string, kestrellb::ClassId, std::less<>> classes_;
  std::map<std::string, kestrellb::TenantId, std::less<>> tenants_;
  const UnixClock unix_clock_;
  Logger log_;
  Descriptors descriptors_;
  kestrellb::Balancer balancer_;
  Upstreams upstreams_;
  Discovery discovery_;
  std::deque<kestrellb::Event> events_;
  bool delivering_ = false;
  std::unordered_map<kestrellb::RequestId, Pending> requests_;
  // Ids as the clients gave them, of requests that are open or have ended a short while ago.
  std::set<std::string, std::less<>> taken_ids_;
  std::deque<std::pair<TimePoint, std::string>> ended_ids_;
  std::uint64_t last_request_ = 0;
  std::uint64_t last_exchange_ = 0;
  std::priority_queue<Timer, std::vector<Timer>, std::greater<>> timers_;
  boost::asio::steady_timer timer_;
  TimePoint armed_for_ = TimePoint::max();
  Listener listener_;  // last: it takes requests from here on, and goes first
};

}  // namespace mothrack
