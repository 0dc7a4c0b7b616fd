// The client of the source of the endpoint list. Polls the source, watches it for changes, and polls again
// after failures as PollPolicy specifies. Design and bounds: docs/design/endpoint_staleness.md.
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

// Owned by the sidecar and used on the thread of the event loop only. Runs until it is destroyed. Failures of
// the source are never thrown; the first failure of a run and the answer that ends the run are logged.
class Discovery : private ListCall::Observer {
 public:
  using OnList = std::function<void(dispatch::MembershipList)>;

  // `seed` initializes the random jitter. `start_times` and `log` must outlive this object. `start_times`
  // adds the start times of processes to each list before `on_list` is called with it.
  Discovery(boost::asio::io_context& io, runtime::Endpoint endpoint, const PollPolicy& policy,
            std::uint64_t seed, dispatch::StartTimes& start_times, runtime::Logger& log, OnList on_list);
  ~Discovery();

  // The list of this revision is already known, so only later changes are polled. Must be called before
  // Start().
  void SetKnownRevision(std::uint64_t revision) { revision_ = revision; }
  // Starts polling; has no effect once started.
  void Start();
  // Switches to another source at once and polls its full list. The old list stays in use until that arrives.
  void SetEndpoint(runtime::Endpoint endpoint);

  // Counters since the start of the process.
  struct Counts {
    std::uint64_t calls = 0;
    std::uint64_t full_list_calls = 0;  // calls for a full list, included in `calls`
    std::uint64_t failed = 0;           // calls that returned no list, including timeouts
    std::uint64_t full_lists = 0;       // answers with a full list
    std::uint64_t change_lists = 0;     // answers with changes
    std::uint64_t upstreams = 0;        // upstreams in all answers together
  };
  const Counts& counts() const { return counts_; }

 private:
  enum class State {
    kIdle,           // before Start()
    kSynchronizing,  // no answer yet, or a failure since the last one: calls have no wait
    kFollowing,      // the last call was answered: the next one is a watch
  };
  enum class CallKind { kFullList, kChanges, kWatch };

  void StartCall();
  CallKind NextCallKind() const;
  // Schedules the next call in `delay` and replaces the current setting of the timer.
  void ScheduleCall(runtime::Duration delay);
  // Limits a call for a full list: counts it as failed after `timeout`, but keeps it open for a late answer.
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
  boost::asio::steady_timer timer_;  // next call, or timeout of a full list
  std::uint64_t timer_number_ = 0;   // invalidates the handlers of earlier settings of the timer
  std::shared_ptr<ListCall> call_;
  // The first call for a full list that timed out. Its answer is still accepted if it arrives before those of
  // later calls.
  std::shared_ptr<ListCall> late_call_;
  State state_ = State::kIdle;
  CallKind call_kind_ = CallKind::kFullList;  // of the latest call
  runtime::TimePoint call_started_;
  bool last_answer_had_changes_ = false;
  std::optional<std::uint64_t> revision_;  // of the known list; absent: the full list is needed
  int consecutive_failures_ = 0;
  std::mt19937_64 random_;
  Counts counts_;
};

}  // namespace mothrack::discovery
