// Follows the source of the endpoint list: polls it, watches it for changes, and polls again after failures
// as the PollPolicy says. The design and its bounds: docs/design/endpoint_staleness.md.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <string>

#include "discovery/endpoint_list.h"
#include "discovery/endpoint_staleness.h"
#include "discovery/list_call.h"
#include "dispatch/membership.h"
#include "dispatch/start_times.h"
#include "runtime/address.h"
#include "runtime/clock.h"
#include "runtime/log.h"

namespace mothrack::discovery {

// Used by the thread of the event loop only. Runs until it is destroyed; failures of the source are logged
// (the first of a run, and the answer that ends it) and never thrown.
class Discovery : private ListCall::Observer {
 public:
  using OnList = std::function<void(dispatch::MembershipList)>;

  // `seed` is of the random jitter. `start_times` and `log` must outlive this; `start_times` places each list
  // before `on_list` gets it.
  Discovery(boost::asio::io_context& io, runtime::Endpoint endpoint, const PollPolicy& policy,
            std::uint64_t seed, dispatch::StartTimes& start_times, runtime::Logger& log, OnList on_list);
  ~Discovery();

  // The list of this revision is held already: only what changed since is polled. Before the first Start().
  void SetKnownRevision(std::uint64_t revision) { revision_ = revision; }
  // Starts to poll; does nothing once started.
  void Start();
  // Changes over to another source at once and polls its full list. The old list stands until then.
  void SetEndpoint(runtime::Endpoint endpoint);

  struct Counts {
    std::uint64_t calls = 0;
    std::uint64_t full_list_calls = 0;  // of the calls, those for a full list
    std::uint64_t failed = 0;           // calls that brought no list, timed-out ones included
    std::uint64_t whole = 0;            // answers with a full list
    std::uint64_t changes = 0;          // answers with changes
    std::uint64_t lines = 0;            // upstreams in all answers
  };
  const Counts& counts() const { return counts_; }

 private:
  enum class State {
    kIdle,           // before Start()
    kSynchronizing,  // no answer yet, or a failure since the last one: calls do not wait
    kFollowing,      // the last call was answered: the next one is a watch
  };
  enum class CallKind { kFullList, kChanges, kWatch };

  void StartCall();
  CallKind NextCallKind() const;
  // `delay` from now; replaces whatever the timer was set for.
  void ScheduleCall(runtime::Duration delay);
  // For a full list: fails the call that is out after `timeout`, and keeps it open for a late answer.
  void ScheduleListTimeout(runtime::Duration timeout);
  void DropCalls();
  double Jitter() { return std::uniform_real_distribution<>()(random_); }

  void OnBody(ListCall& call, const std::string& body) override;
  void OnError(ListCall& call, const CallError& error) override;
  void Accept(dispatch::MembershipList list);
  void Fail(const CallError& error);

  boost::asio::io_context& io_;
  runtime::Endpoint endpoint_;
  const PollPolicy policy_;
  dispatch::StartTimes& start_times_;
  runtime::Logger& log_;
  const OnList on_list_;
  boost::asio::steady_timer timer_;  // the next call, or the timeout of a full list
  std::uint64_t timer_number_ = 0;   // a handler of an earlier setting of the timer does nothing
  std::shared_ptr<ListCall> call_;
  // The call for a full list that timed out first; accepted all the same if it is answered before others.
  std::shared_ptr<ListCall> late_call_;
  State state_ = State::kIdle;
  CallKind call_kind_ = CallKind::kFullList;  // of the call that was started last
  runtime::TimePoint call_started_;
  bool last_answer_had_changes_ = false;
  std::optional<std::uint64_t> revision_;  // of the list that is held; absent: the full list is needed
  int consecutive_failures_ = 0;
  std::mt19937_64 random_;
  Counts counts_;
};

}  // namespace mothrack::discovery
