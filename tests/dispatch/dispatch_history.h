// One history of the dispatcher in simulated time, drawn from a seed: clients, upstreams and the endpoint
// list do at random moments all that they may do, also from within a call, and after each event the rules of
// src/dispatch/exchange.h and of src/balancer/balancer.h are checked. Settings, and how eagerly the transport
// ends attempts at once, differ by seed.
#pragma once

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <ostream>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "dispatch/dispatcher.h"
#include "simulation/simulator.h"

namespace mothrack::testing {

using balancer::Effect;
using balancer::KeyScope;
using balancer::MembershipUpdate;
using balancer::Outcome;
using balancer::UpstreamState;
using std::chrono::milliseconds;

// Timers fire up to this much after their time, as those of an event loop do.
inline constexpr runtime::Duration kGranularity = milliseconds(1);
inline constexpr int kUpstreams = 5;
inline constexpr int kEvents = 120;  // of one history

class LateTimer : public runtime::Timer {
 public:
  LateTimer(simulation::Simulator& sim, simulation::Random random)
      : sim_(sim), exact_(sim), random_(random) {}
  runtime::TimePoint Now() const override { return sim_.now(); }
  void Set(runtime::TimePoint at, std::function<void()> due) override {
    const auto late = static_cast<runtime::Duration::rep>(
        random_.Below(static_cast<std::size_t>(kGranularity.count()) + 1));
    exact_.Set(std::max(at, sim_.now()) + runtime::Duration(late), std::move(due));
  }

 private:
  simulation::Simulator& sim_;
  simulation::SimulatedTimer exact_;
  simulation::Random random_;
};

struct RequestMessage : dispatch::Message {
  explicit RequestMessage(std::size_t call) : call(call) {}
  std::size_t call;
};
struct Answer : dispatch::Reply {
  explicit Answer(dispatch::ExchangeId attempt) : attempt(attempt) {}
  dispatch::ExchangeId attempt;
};

inline bool ProvenNotRun(std::optional<Outcome> outcome) {
  return outcome == Outcome::kFull || outcome == Outcome::kConnectFailed || outcome == Outcome::kNotSent;
}

inline balancer::Settings DrawSettings(simulation::Random& random) {
  balancer::Settings settings;
  for (int i = 0; i < 5; ++i) {
    balancer::RequestClass cls;
    cls.name = std::to_string(i);
    cls.effect = i < 1 ? Effect::kSafe : i < 4 ? Effect::kKeyed : Effect::kUnsafe;
    cls.key_scope = i == 2 ? KeyScope::kZone : i == 3 ? KeyScope::kCell : KeyScope::kAll;
    cls.latency_objective = simulation::Milliseconds(random.Between(50, 500));
    cls.deadline = simulation::Milliseconds(random.Between(200, 4000));
    cls.key_window = simulation::Milliseconds(random.Between(50, 3000));
    cls.late_priority_weight = random.Chance(0.5) ? 0.5 : 0;
    settings.classes.push_back(cls);
  }
  settings.limits.max_attempts = 1 + random.Below(4);
  settings.limits.hedging = random.Chance(0.5);
  settings.limits.cancel = random.Chance(0.8);
  settings.limits.probes = random.Chance(0.3);
  settings.load_by_probe = settings.limits.probes;
  settings.membership_on_request = random.Chance(0.5);
  settings.rules.poll_within = simulation::Milliseconds(random.Between(500, 5000));
  settings.rules.slow_start_duration = simulation::Milliseconds(random.Between(500, 5000));
  return settings;
}

// Each has a test of its own; the first is all that the others are not.
enum class Rule { kAll, kAttemptEnds, kTime, kKeyScope };

class DispatchHistory : private dispatch::Transport {
 public:
  explicit DispatchHistory(std::uint64_t seed)
      : random_(seed),
        settings_(DrawSettings(random_)),
        immediate_end_chance_(random_.Chance(0.5) ? 0.2 : 0),
        reentry_chance_(random_.Chance(0.5) ? 0.3 : 0),
        dispatcher_(std::make_unique<LateTimer>(sim_, random_.Fork()), settings_, seed, *this, log_,
                    [this] { OnSubscribe(); }) {
    ChangeList(MembershipUpdate::Kind::kRestored);
  }

  // What was broken first, by rule; empty where all went well.
  const std::map<Rule, std::string>& Run();
  const std::map<std::string_view, int>& seen() const { return seen_; }

 private:
  struct Call {
    std::size_t cls = 0;
    std::optional<balancer::RequestId> id{};  // not yet where its Final comes first
    runtime::TimePoint deadline{};
    bool arriving = false;
    bool disconnected = false;  // its client, before its answer was whole
    int finals = 0;
    std::optional<dispatch::ExchangeId> streams{};  // the attempt with which its answer has begun and goes on
    std::vector<dispatch::ExchangeId> attempts{};
    std::optional<Outcome> last{};
    bool ended() const { return finals > 0 || disconnected; }
  };
  struct Attempt {
    std::size_t call = 0;
    std::string uid;
    balancer::UpstreamInfo place;
    runtime::TimePoint sent;
    bool begun = false;      // to be written
    bool written = false;    // all of it
    bool started = false;    // its answer
    bool never = false;      // nothing of it may be written any more
    bool cancelled = false;  // by the dispatcher
    bool abandoned = false;
    std::optional<Outcome> outcome{};
    dispatch::ExchangeHooks hooks{};
  };
  struct Event {
    int weight;
    void (DispatchHistory::*run)();
  };
  static const std::vector<Event>& WeightedEvents() {
    static const std::vector<Event> events = {
        {20, &DispatchHistory::Arrive},
        {6, &DispatchHistory::CompleteOneBody},
        {8, &DispatchHistory::DisconnectClient},
        {2, &DispatchHistory::SubmitDuplicate},
        {12, &DispatchHistory::BeginOne},
        {14, &DispatchHistory::WriteOne},
        {5, &DispatchHistory::StartOneAnswer},
        {22, &DispatchHistory::EndOne},
        {6, &DispatchHistory::ChangeOneUpstream},
        {2, &DispatchHistory::PublishFullList},
        {1, &DispatchHistory::FailMembership},
        {2, &DispatchHistory::Ban},
        {2, &DispatchHistory::Unban},
        {6, &DispatchHistory::EndProbe},
        {20, &DispatchHistory::Wait},
    };
    return events;
  }

  // ---- What holds ----

  void Check(bool holds, const std::string& what, Rule rule = Rule::kAll);
  // What follows would say nothing.
  bool IsBroken() const { return broken_.contains(Rule::kAll); }
  bool MayHaveRun(dispatch::ExchangeId id) const { return !ProvenNotRun(attempts_.at(id).outcome); }
  const balancer::RequestClass& ClassOf(const Call& call) const { return settings_.classes[call.cls]; }
  bool Serves(const std::string& uid) const;

  // Between two events, when nothing is on the stack.
  void CheckBetweenEvents();

  // All that is under way ends; then the accounts have to be even.
  void EndAllAndCheck();

  // ---- The transport ----

  void Send(dispatch::ExchangeId id, const std::string& uid, std::shared_ptr<const dispatch::Message> message,
            runtime::Duration timeout, dispatch::ExchangeHooks hooks) override;

  // May end it at once, later, or with the answer that was on its way.
  void Cancel(dispatch::ExchangeId id) override;

  void Abandon(dispatch::ExchangeId id) override;

  void Probe(dispatch::ExchangeId, const std::string&, OnEnd on_end) override;
  void CloseIdle(const std::string&) override {}

  void Apply(const std::string& uid, const dispatch::Location& location) override;

  Outcome AnyOutcome(const Attempt& attempt);

  void End(dispatch::ExchangeId id, Outcome outcome);

  void StartAnswer(dispatch::ExchangeId id);

  // ---- Clients ----

  void Arrive() { Submit("k" + std::to_string(calls_.size())); }

  bool Submit(const std::string& key);

  // A copy of a request that is open.
  void SubmitDuplicate();

  std::optional<std::size_t> AnyCall(const std::function<bool(const Call&)>& fits);

  void CompleteOneBody();
  void CompleteBody(std::size_t number);

  void DisconnectClient();
  void DisconnectClientOf(std::size_t number);

  void OnFinal(std::size_t number, dispatch::FinalAnswer final);

  // ---- Attempts ----

  std::optional<dispatch::ExchangeId> AnyAttempt(const std::function<bool(const Attempt&)>& fits);

  void BeginOne();
  void WriteOne();
  void StartOneAnswer();
  void EndOne();
  void EndProbe();

  // ---- The list ----

  struct Entry {
    balancer::UpstreamInfo info;
    std::int64_t boot_ms = 0;
  };

  // One serves anew, as the same process or another, drains, or is gone.
  void DrawUpstream(int number);

  void ChangeList(MembershipUpdate::Kind kind, const std::string& only = "");

  void ChangeOneUpstream();
  void PublishFullList() { ChangeList(MembershipUpdate::Kind::kFull); }
  void FailMembership() { dispatcher_.MembershipFailed(); }
  // The source is asked from within the module's turn, and may fail at once.
  void OnSubscribe();
  void Ban();
  void Unban();

  void Wait();

  simulation::Simulator sim_;
  simulation::Random random_;
  const balancer::Settings settings_;
  const double immediate_end_chance_;  // how often an attempt ends within Send()
  const double reentry_chance_;        // how often a front acts within a Final
  std::ostream discarded_{nullptr};
  runtime::Logger log_{"history", discarded_};
  std::deque<Call> calls_;  // those taken; kept where they are
  std::map<dispatch::ExchangeId, Attempt> attempts_;
  std::vector<dispatch::ExchangeId> out_;
  std::deque<OnEnd> probes_;
  std::map<std::string, Entry> listed_;
  std::map<std::string, dispatch::Location> locations_;
  std::set<std::string> bans_;
  std::int64_t last_boot_ms_ = 0;
  std::size_t ended_reentrantly_ = 0;  // requests that ended from within a call of the transport or the front
  std::map<Rule, std::string> broken_;
  std::map<std::string_view, int> seen_;
  dispatch::Dispatcher dispatcher_;
};

}  // namespace mothrack::testing
