// Drives one Balancer for one pool of upstreams: its clock, timers and table of requests; turns what happens
// into events and carries out the actions, in their order. Knows no protocol: see src/dispatch/exchange.h.
// Nobody else calls the module, sends an attempt or ends a request.
#pragma once

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "balancer/balancer.h"
#include "dispatch/exchange.h"
#include "dispatch/membership.h"
#include "dispatch/recent_request_ids.h"
#include "dispatch/request_counters.h"
#include "dispatch/request_state.h"
#include "dispatch/upstream_overrides.h"
#include "runtime/clock.h"
#include "runtime/log.h"
#include "runtime/timer_queue.h"

namespace mothrack::dispatch {

class Dispatcher {
 public:
  // Asks the source of membership for news, where the settings say that it is asked.
  using OnSubscribe = std::function<void()>;

  // `transport` and `log` must outlive it. The membership held comes first, by Apply() with kRestored.
  Dispatcher(boost::asio::io_context& io, const balancer::Settings& settings, std::uint64_t seed,
             Transport& transport, runtime::Logger& log, OnSubscribe on_subscribe = nullptr)
      : Dispatcher(std::make_unique<runtime::EventLoopTimer>(io), settings, seed, transport, log,
                   std::move(on_subscribe)) {}
  // With a clock of its own, which must not call it once it is destroyed.
  Dispatcher(std::unique_ptr<runtime::Timer> alarm, const balancer::Settings& settings, std::uint64_t seed,
             Transport& transport, runtime::Logger& log, OnSubscribe on_subscribe = nullptr);

  // Takes a request in; nothing, and no Final, where its key is taken.
  std::optional<balancer::RequestId> Submit(NewRequest request);
  // The last byte of a request has come that was taken while its body still came: its time counts from now
  // on.
  void OnRequestComplete(balancer::RequestId id, runtime::TimePoint deadline);
  // The client left: no Final is owed any more.
  void OnClientDisconnected(balancer::RequestId id);

  void Apply(MembershipList list);
  void MembershipFailed();
  // Takes an upstream out by hand, whatever the list says, and puts it back; false where it was never listed.
  bool Ban(const std::string& uid);
  bool Unban(const std::string& uid);
  // How long the key of a request that has ended is known.
  static runtime::Duration KeyMemory(const balancer::Settings& settings);
  // Keys of requests that are open or ended a short while ago; and of those that another process of this
  // sidecar took. `on_key` hears of each that is taken and must not be repeated.
  std::vector<std::string> RecentKeys() const { return keys_.All(); }
  void KnowKey(const std::string& key) { keys_.Know(key, Now()); }
  void ObserveKeys(std::function<void(const std::string&)> on_key) { on_key_ = std::move(on_key); }
  // Bans that a former process held.
  void RestoreBans(const std::set<std::string>& bans);

  const balancer::Settings& settings() const { return settings_; }
  // Requests that wait for their Final, or have attempts out.
  std::size_t open() const { return requests_.size(); }

  // For people who look.
  std::vector<balancer::UpstreamView> upstreams() const { return balancer_.upstreams(Now()); }
  balancer::Counts counts() const { return balancer_.counts(); }
  const RequestCounters& request_counters() const { return request_counters_; }
  const UpstreamOverrides& upstream_overrides() const { return upstream_overrides_; }
  // Requests taken whose Final is still owed.
  std::size_t in_flight() const { return in_flight_; }

 private:
  struct PendingRequest {
    std::string key;
    balancer::ClassId request_class{};
    std::optional<balancer::TenantId> tenant;
    std::shared_ptr<const Message> message;
    runtime::TimePoint deadline;
    RequestState state = RequestState::kArriving;
    balancer::AttemptId winner{};  // whose answer is streaming, once one is
    OnFinal on_final;              // called at most once, while the state awaits the Final
    std::vector<ExchangeId> attempts;
    std::size_t out = 0;  // attempts that have not ended
    std::optional<balancer::Outcome> last;
    std::unique_ptr<Reply> last_reply;
  };

  // handle() is never re-entered: an action that ends something at once queues its event here.
  template <typename E>
  void Deliver(E&& event) {
    events_.emplace_back(std::forward<E>(event));
    if (!delivering_) Pump();
  }
  runtime::TimePoint Now() const { return timers_.Now(); }
  void Pump();
  void Tell(MembershipList list);
  void Started(balancer::RequestId id, balancer::AttemptId attempt, std::unique_ptr<Reply> reply);
  void Ended(balancer::RequestId id, balancer::AttemptId attempt, ExchangeResult result);
  void End(balancer::RequestId id, Final final);
  // Nobody waits for its answer any more: what has not begun upstream must not begin.
  void AbandonUnsent(balancer::RequestId id);
  void ForgetIfDone(balancer::RequestId id);
  // Takes the request to the state that `event` leads to and keeps in_flight_; false, and nothing changes,
  // where the event does not apply.
  bool Advance(PendingRequest& pending, RequestEvent event);
  // An event that ends the request: its outcome is counted, once.
  bool Finish(PendingRequest& pending, RequestEvent event, RequestCounters::Outcome outcome);

  void CarryOut(const balancer::SendAttempt& action);
  void CarryOut(const balancer::CancelAttempt& action);
  void CarryOut(const balancer::Reject& action);
  void CarryOut(const balancer::Fail& action);
  void CarryOut(const balancer::SetTimer& action);
  void CarryOut(const balancer::SendProbe& action);
  void CarryOut(const balancer::CloseIdle& action);
  void CarryOut(const balancer::Subscribe& action);
  void CarryOut(const balancer::Log& action);

  const balancer::Settings settings_;
  balancer::Balancer balancer_;
  Transport& transport_;
  runtime::Logger& log_;
  const OnSubscribe on_subscribe_;
  std::deque<balancer::Event> events_;
  std::vector<balancer::Action> actions_;
  bool delivering_ = false;
  std::vector<balancer::RequestId> done_;  // to be forgotten behind this turn
  std::unordered_map<balancer::RequestId, PendingRequest> requests_;
  RequestCounters request_counters_;
  std::size_t in_flight_ = 0;
  UpstreamOverrides upstream_overrides_;
  RecentRequestIds keys_;
  std::function<void(const std::string&)> on_key_;
  std::uint64_t last_request_ = 0;
  std::uint64_t last_exchange_ = 0;
  runtime::TimerQueue timers_;
};

}  // namespace mothrack::dispatch
