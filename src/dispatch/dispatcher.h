// Drives one Balancer, the decision module ("the module" below), for one pool of upstreams: owns its clock,
// timers and request table, passes it events and executes its actions in order. The dispatcher does not
// depend on a protocol: exchange.h describes the front ends and transports, request_state.h the states of a
// request. No other class calls the module, sends an attempt or ends a request.
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
#include "dispatch/request_log.h"
#include "dispatch/request_state.h"
#include "dispatch/upstream_overrides.h"
#include "runtime/clock.h"
#include "runtime/log.h"
#include "runtime/timer_queue.h"

namespace mothrack::dispatch {

// Not thread-safe: constructed, called and destroyed on the thread of its event loop. Its callbacks (OnFinal,
// ExchangeHooks, Transport) may call it again; the module is never re-entered.
class Dispatcher {
 public:
  // Called when the module subscribes to the endpoint list, which it does if the settings have
  // `membership_on_request`.
  using OnSubscribe = std::function<void()>;

  // `transport` and `log` must outlive this object. `seed`: for the module's random number generator. The
  // list of a previous process must be applied first, by Apply() with kRestored.
  Dispatcher(boost::asio::io_context& io, const balancer::Settings& settings, std::uint64_t seed,
             Transport& transport, runtime::Logger& log, OnSubscribe on_subscribe = nullptr)
      : Dispatcher(std::make_unique<runtime::EventLoopTimer>(io), settings, seed, transport, log,
                   std::move(on_subscribe)) {}
  // Uses another clock and timer, for example those of a simulation. The timer must not fire once this object
  // is destroyed.
  Dispatcher(std::unique_ptr<runtime::Timer> timer, const balancer::Settings& settings, std::uint64_t seed,
             Transport& transport, runtime::Logger& log, OnSubscribe on_subscribe = nullptr);

  // Accepts a request and returns its id. If its key is among RecentKeys(), returns nothing and gives no
  // final answer.
  std::optional<balancer::RequestId> Submit(NewRequest request);
  // The body of a request that was submitted with `arriving` is complete; its deadline counts from now on.
  // Ids that are unknown, or not arriving, are ignored.
  void OnRequestComplete(balancer::RequestId id, runtime::TimePoint deadline);
  // The client disconnected: the request gets no final answer any more. Ids that are unknown, or were
  // answered completely, are ignored.
  void OnClientDisconnected(balancer::RequestId id);

  // The endpoint list from discovery, or changes to it.
  void Apply(MembershipList list);
  // A call to discovery failed.
  void MembershipFailed();
  // Bans an upstream for an operator, or lifts its ban. A ban holds whatever the list says. Returns false if
  // the upstream was never listed.
  bool Ban(const std::string& uid);
  bool Unban(const std::string& uid);
  // Restores the bans of a previous process.
  void RestoreBans(const std::set<std::string>& bans);

  // How long the key of an ended request is remembered.
  static runtime::Duration KeyRetention(const balancer::Settings& settings);
  // Keys of requests that are open, or ended less than KeyRetention() ago; sorted.
  std::vector<std::string> RecentKeys() const { return keys_.All(); }
  // Adds the key of a request that another process of this sidecar accepted.
  void ImportKey(const std::string& key) { keys_.Import(key, Now()); }
  // `on_key` is called with the key of each accepted request whose class is not kSafe.
  void SetKeyObserver(std::function<void(const std::string&)> on_key) { on_key_ = std::move(on_key); }

  const balancer::Settings& settings() const { return settings_; }
  // Number of requests that wait for their final answer or have attempts that have not ended.
  std::size_t open() const { return requests_.size(); }
  // Number of requests with a complete body and no outcome yet.
  std::size_t in_flight() const { return in_flight_; }

  // Views and counters for the admin API and logs.
  std::vector<balancer::UpstreamView> upstreams() const { return balancer_.upstreams(Now()); }
  balancer::Counts counts() const { return balancer_.counts(); }
  const RequestCounters& request_counters() const { return request_counters_; }
  const UpstreamOverrides& upstream_overrides() const { return upstream_overrides_; }

 private:
  struct SentAttempt {
    ExchangeId exchange{};
    std::string upstream;  // for the log
  };
  struct PendingRequest {
    std::string key;
    balancer::ClassId request_class{};
    std::optional<balancer::TenantId> tenant;
    std::shared_ptr<const Message> message;
    runtime::TimePoint deadline;
    RequestState state = RequestState::kArriving;
    balancer::AttemptId winner{};        // the attempt whose answer is being streamed, if any
    OnFinal on_final;                    // called at most once, while AwaitsFinal(state)
    std::vector<SentAttempt> attempts;   // indexed by AttemptId
    std::size_t attempts_in_flight = 0;  // number of attempts that have not ended
    std::optional<balancer::Outcome> last_outcome;
    std::unique_ptr<Reply> last_reply;
  };

  // Queues an event if the module or a front end is on the stack, so that Balancer::handle() is never
  // re-entered. Otherwise processes it now.
  template <typename Event>
  void Deliver(Event&& event) {
    events_.emplace_back(std::forward<Event>(event));
    if (!delivering_) ProcessEvents();
  }
  runtime::TimePoint Now() const { return timers_.Now(); }
  void ProcessEvents();
  void UpdateMembership(MembershipList list);
  void OnAnswerStarted(balancer::RequestId id, balancer::AttemptId attempt, std::unique_ptr<Reply> reply,
                       runtime::Duration answer_time);
  void OnAttemptEnded(balancer::RequestId id, balancer::AttemptId attempt, ExchangeResult result);
  void LogFailedAttempt(const PendingRequest& pending, balancer::AttemptId attempt,
                        const ExchangeResult& result);
  void GiveFinal(balancer::RequestId id, FinalAnswer final);
  // Stops the attempts whose message is not yet completely written. Called when the request needs no answer
  // any more.
  void AbandonUnsentAttempts(balancer::RequestId id);
  void EraseIfDone(balancer::RequestId id);
  // Moves the request to its next state and updates in_flight_; false, without effect, if the event does not
  // apply.
  bool Advance(PendingRequest& pending, RequestEvent event);
  // Like Advance(), for an event that ends the request. Also counts the outcome.
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
  std::vector<balancer::RequestId> possibly_done_;  // to be passed to EraseIfDone() once the queue is empty
  std::unordered_map<balancer::RequestId, PendingRequest> requests_;
  RequestCounters request_counters_;
  std::size_t in_flight_ = 0;
  UpstreamOverrides upstream_overrides_;
  RecentRequestIds keys_;
  std::function<void(const std::string&)> on_key_;
  std::uint64_t last_request_ = 0;
  std::uint64_t last_exchange_ = 0;
  runtime::TimerQueue timers_;
  RequestLog request_log_;
};

}  // namespace mothrack::dispatch
