// Drives one Balancer for one pool of upstreams: its clock, timers and table of requests. Turns what happens
// into the module's events and executes its actions, in their order. Knows no protocol: see exchange.h for
// the front ends and transports on either side, request_state.h for the life of a request. Nobody else calls
// the module, sends an attempt or ends a request.
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

// Not thread-safe: constructed, called and destroyed by the one thread of its event loop. Calls that it makes
// (Final, hooks, Transport) may call it again; the module is never re-entered.
class Dispatcher {
 public:
  // Asks the source of membership for its list, where the settings say that it is asked on request.
  using OnSubscribe = std::function<void()>;

  // `transport` and `log` must outlive it. `seed`: of the module's random choices. The list that a former
  // process held comes first, by Apply() with kRestored.
  Dispatcher(boost::asio::io_context& io, const balancer::Settings& settings, std::uint64_t seed,
             Transport& transport, runtime::Logger& log, OnSubscribe on_subscribe = nullptr)
      : Dispatcher(std::make_unique<runtime::EventLoopTimer>(io), settings, seed, transport, log,
                   std::move(on_subscribe)) {}
  // With a clock and timer of its own, which must not call it once it is destroyed; as a simulation has them.
  Dispatcher(std::unique_ptr<runtime::Timer> timer, const balancer::Settings& settings, std::uint64_t seed,
             Transport& transport, runtime::Logger& log, OnSubscribe on_subscribe = nullptr);

  // Accepts a request; nothing, and no Final, where its key is one that RecentKeys() has.
  std::optional<balancer::RequestId> Submit(NewRequest request);
  // The last byte of a request has come that was accepted while its body still came: its time counts from now
  // on. Ids that are not known, or not arriving, are ignored.
  void OnRequestComplete(balancer::RequestId id, runtime::TimePoint deadline);
  // The client disconnected: it gets no Final any more. Ids that are not known, or that had their whole
  // answer, are ignored.
  void OnClientDisconnected(balancer::RequestId id);

  // What discovery says: the list, or changes to it.
  void Apply(MembershipList list);
  // Discovery could not be asked.
  void MembershipFailed();
  // Takes an upstream out by hand, whatever the list says, and puts it back; false where it was never listed.
  bool Ban(const std::string& uid);
  bool Unban(const std::string& uid);
  // Bans that a former process held.
  void RestoreBans(const std::set<std::string>& bans);

  // How long the key of a request that has ended is known.
  static runtime::Duration KeyRetention(const balancer::Settings& settings);
  // Keys of requests that are open or ended less than KeyRetention() ago, sorted.
  std::vector<std::string> RecentKeys() const { return keys_.All(); }
  // A key of a request that another process of this sidecar accepted.
  void ImportKey(const std::string& key) { keys_.Import(key, Now()); }
  // `on_key` is called with the key of each accepted request that must not be repeated.
  void SetKeyObserver(std::function<void(const std::string&)> on_key) { on_key_ = std::move(on_key); }

  const balancer::Settings& settings() const { return settings_; }
  // Requests that wait for their Final, or have attempts that have not ended.
  std::size_t open() const { return requests_.size(); }
  // Requests whose body is complete and whose outcome is open.
  std::size_t in_flight() const { return in_flight_; }

  // For reports.
  std::vector<balancer::UpstreamView> upstreams() const { return balancer_.upstreams(Now()); }
  balancer::Counts counts() const { return balancer_.counts(); }
  const RequestCounters& request_counters() const { return request_counters_; }
  const UpstreamOverrides& upstream_overrides() const { return upstream_overrides_; }

 private:
  struct PendingRequest {
    std::string key;
    balancer::ClassId request_class{};
    std::optional<balancer::TenantId> tenant;
    std::shared_ptr<const Message> message;
    runtime::TimePoint deadline;
    RequestState state = RequestState::kArriving;
    balancer::AttemptId winner{};        // whose answer is streaming, once one is
    OnFinal on_final;                    // called at most once, while the state awaits the Final
    std::vector<ExchangeId> attempts;    // by AttemptId
    std::size_t attempts_in_flight = 0;  // that have not ended
    std::optional<balancer::Outcome> last_outcome;
    std::unique_ptr<Reply> last_reply;
  };

  // handle() is never re-entered: an action that ends something at once queues its event here.
  template <typename E>
  void Deliver(E&& event) {
    events_.emplace_back(std::forward<E>(event));
    if (!delivering_) ProcessEvents();
  }
  runtime::TimePoint Now() const { return timers_.Now(); }
  void ProcessEvents();
  void UpdateMembership(MembershipList list);
  void OnAnswerStarted(balancer::RequestId id, balancer::AttemptId attempt, std::unique_ptr<Reply> reply);
  void OnAttemptEnded(balancer::RequestId id, balancer::AttemptId attempt, ExchangeResult result);
  void GiveFinal(balancer::RequestId id, Final final);
  // Nobody waits for its answer any more: what has not begun upstream must not begin.
  void AbandonUnsentAttempts(balancer::RequestId id);
  void EraseIfDone(balancer::RequestId id);
  // Takes the request to the state that `event` leads to and keeps in_flight_; false, and nothing changes,
  // where the event does not apply.
  bool Advance(PendingRequest& pending, RequestEvent event);
  // An event that ends the request: its outcome is counted, once.
  bool Finish(PendingRequest& pending, RequestEvent event, RequestCounters::Outcome outcome);

  void Execute(const balancer::SendAttempt& action);
  void Execute(const balancer::CancelAttempt& action);
  void Execute(const balancer::Reject& action);
  void Execute(const balancer::Fail& action);
  void Execute(const balancer::SetTimer& action);
  void Execute(const balancer::SendProbe& action);
  void Execute(const balancer::CloseIdle& action);
  void Execute(const balancer::Subscribe& action);
  void Execute(const balancer::Log& action);

  const balancer::Settings settings_;
  balancer::Balancer balancer_;
  Transport& transport_;
  runtime::Logger& log_;
  const OnSubscribe on_subscribe_;
  std::deque<balancer::Event> events_;
  std::vector<balancer::Action> actions_;
  bool delivering_ = false;  // events are queued, not processed: the module or a front end is on the stack
  std::vector<balancer::RequestId> possibly_done_;  // to be looked at by EraseIfDone() after this turn
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
