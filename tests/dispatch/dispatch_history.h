// One random history of the dispatcher in simulated time, drawn from a seed. Clients, upstreams and the
// endpoint list do anything that the interfaces allow, at random times and also from within callbacks. After
// each event the rules of src/dispatch/exchange.h and src/balancer/balancer.h are checked. The settings, and
// how often the transport ends attempts within Send(), differ by seed.
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

// Timers fire late by at most this, as those of an event loop do.
inline constexpr runtime::Duration kMaxTimerDelay = milliseconds(1);
inline constexpr int kUpstreams = 5;
inline constexpr int kEventsPerHistory = 120;

class ImpreciseTimer : public runtime::Timer {
 public:
  ImpreciseTimer(simulation::Simulator& sim, simulation::Random random)
      : sim_(sim), exact_(sim), random_(random) {}
  runtime::TimePoint Now() const override { return sim_.now(); }
  void Set(runtime::TimePoint at, std::function<void()> due) override {
    const auto late = static_cast<runtime::Duration::rep>(
        random_.Below(static_cast<std::size_t>(kMaxTimerDelay.count()) + 1));
    exact_.Set(std::max(at, sim_.now()) + runtime::Duration(late), std::move(due));
  }

 private:
  simulation::Simulator& sim_;
  simulation::SimulatedTimer exact_;
  simulation::Random random_;
};

struct RequestMessage : dispatch::Message {
  explicit RequestMessage(std::size_t request_number) : request_number(request_number) {}
  std::size_t request_number;
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
    balancer::RequestClass request_class;
    request_class.name = std::to_string(i);
    request_class.effect = i < 1 ? Effect::kSafe : i < 4 ? Effect::kKeyed : Effect::kUnsafe;
    request_class.key_scope = i == 2 ? KeyScope::kZone : i == 3 ? KeyScope::kCell : KeyScope::kAll;
    request_class.latency_objective = simulation::Milliseconds(random.Between(50, 500));
    request_class.deadline = simulation::Milliseconds(random.Between(200, 4000));
    request_class.key_window = simulation::Milliseconds(random.Between(50, 3000));
    request_class.late_priority_weight = random.Chance(0.5) ? 0.5 : 0;
    settings.classes.push_back(request_class);
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

// The rules by which violations are reported. Each has a test of its own.
enum class Rule {
  kGeneral,      // all that the others do not cover
  kAttemptEnds,  // each attempt that the module decides on ends exactly once
  kLateMark,     // a final answer states whether its deadline has passed
  kKeyScope,     // a keyed request is repeated only at upstreams that share its key
};

class DispatchHistory : private dispatch::Transport {
 public:
  explicit DispatchHistory(std::uint64_t seed)
      : random_(seed),
        settings_(DrawSettings(random_)),
        immediate_end_chance_(random_.Chance(0.5) ? 0.2 : 0),
        reentry_chance_(random_.Chance(0.5) ? 0.3 : 0),
        dispatcher_(std::make_unique<ImpreciseTimer>(sim_, random_.Fork()), settings_, seed, *this, log_,
                    [this] { OnSubscribe(); }) {
    ChangeList(MembershipUpdate::Kind::kRestored);
  }

  // Plays the history. Returns the first violation of each rule; empty if there is none.
  const std::map<Rule, std::string>& Run();
  // How often each situation occurred.
  const std::map<std::string_view, int>& situations() const { return situations_; }

 private:
  struct Request {
    std::size_t class_number = 0;
    std::optional<balancer::RequestId> id{};  // absent until Submit() returns
    runtime::TimePoint deadline{};
    bool arriving = false;
    bool disconnected = false;  // its client disconnected before its answer was complete
    int finals = 0;
    std::optional<dispatch::ExchangeId> streaming{};  // the attempt whose answer is being streamed
    std::vector<dispatch::ExchangeId> attempts{};
    std::optional<Outcome> last_outcome{};
    bool ended() const { return finals > 0 || disconnected; }
  };
  struct Attempt {
    std::size_t request_number = 0;
    std::string uid;
    balancer::UpstreamInfo upstream;
    runtime::TimePoint sent;
    bool writing = false;         // the first byte of its message was written
    bool written = false;         // the last byte of its message was written
    bool answer_started = false;  // its answer has begun
    bool unsendable = false;      // nothing of its message may be written any more
    bool cancelled = false;       // by the dispatcher
    bool abandoned = false;
    std::optional<Outcome> outcome{};
    dispatch::ExchangeHooks hooks{};
  };
  struct Event {
    int weight;  // how often it is drawn, relative to the others
    void (DispatchHistory::*run)();
  };
  static const std::vector<Event>& WeightedEvents() {
    static const std::vector<Event> events = {
        {20, &DispatchHistory::SubmitNew},
        {6, &DispatchHistory::CompleteDrawnBody},
        {8, &DispatchHistory::DisconnectClient},
        {2, &DispatchHistory::SubmitDuplicate},
        {12, &DispatchHistory::BeginWriting},
        {14, &DispatchHistory::CompleteWriting},
        {5, &DispatchHistory::StartDrawnAnswer},
        {22, &DispatchHistory::EndDrawnAttempt},
        {6, &DispatchHistory::ChangeOneUpstream},
        {2, &DispatchHistory::PublishFullList},
        {1, &DispatchHistory::FailMembership},
        {2, &DispatchHistory::Ban},
        {2, &DispatchHistory::Unban},
        {6, &DispatchHistory::EndProbe},
        {20, &DispatchHistory::AdvanceTime},
    };
    return events;
  }

  // ---- Checks ----

  // Reports `violation` unless `holds`.
  void Check(bool holds, const std::string& violation, Rule rule = Rule::kGeneral);
  // Whether a general rule was violated; later checks would then say nothing.
  bool HasFailed() const { return violations_.contains(Rule::kGeneral); }
  bool MayHaveRun(dispatch::ExchangeId id) const { return !ProvenNotRun(attempts_.at(id).outcome); }
  const balancer::RequestClass& ClassOf(const Request& request) const {
    return settings_.classes[request.class_number];
  }
  // Whether new attempts may be sent to the upstream.
  bool IsServing(const std::string& uid) const;

  // Called between two events, when neither the dispatcher nor a callback is on the stack.
  void CheckBetweenEvents();

  // Ends all requests, attempts and probes; then the counters must match what happened.
  void EndAllAndCheck();

  // ---- The transport ----

  void Send(dispatch::ExchangeId id, const std::string& uid, std::shared_ptr<const dispatch::Message> message,
            const dispatch::AttemptTimeouts& timeouts, dispatch::ExchangeHooks hooks) override;

  // Ends the attempt at once or leaves its end to a later event. The outcome is not always kCancelled.
  void Cancel(dispatch::ExchangeId id) override;

  void Abandon(dispatch::ExchangeId id) override;

  void Probe(dispatch::ExchangeId, const std::string&, OnEnd on_end) override;
  void CloseIdle(const std::string&) override {}

  void Apply(const std::string& uid, const dispatch::Location& location) override;

  // Draws an outcome that is possible in the attempt's state.
  Outcome DrawOutcome(const Attempt& attempt);

  void End(dispatch::ExchangeId id, Outcome outcome);

  void StartAnswer(dispatch::ExchangeId id);

  // ---- Clients ----

  void SubmitNew() { Submit("k" + std::to_string(requests_.size())); }

  // Returns false if the dispatcher does not accept the request.
  bool Submit(const std::string& key);

  // Submits the key of an open request again.
  void SubmitDuplicate();

  // Draws one of the accepted requests for which `matches` is true; nothing if there is none.
  std::optional<std::size_t> DrawRequest(const std::function<bool(const Request&)>& matches);

  void CompleteDrawnBody();
  void CompleteBody(std::size_t number);

  void DisconnectClient();
  void DisconnectClientOf(std::size_t number);

  void OnFinal(std::size_t number, dispatch::FinalAnswer final);

  // ---- Attempts ----

  // Draws one of the attempts in flight for which `matches` is true; nothing if there is none.
  std::optional<dispatch::ExchangeId> DrawAttempt(const std::function<bool(const Attempt&)>& matches);

  void BeginWriting();
  void CompleteWriting();
  void StartDrawnAnswer();
  void EndDrawnAttempt();
  void EndProbe();

  // ---- The endpoint list ----

  struct ListedUpstream {
    balancer::UpstreamInfo info;
    std::int64_t boot_ms = 0;
  };

  // Draws the upstream's state: it serves, as the same process or a new one, drains, or is removed.
  void DrawUpstream(int number);

  // Applies a list to the dispatcher; `only`: the upstream that has changed, for kChanges.
  void ChangeList(MembershipUpdate::Kind kind, const std::string& only = "");

  void ChangeOneUpstream();
  void PublishFullList() { ChangeList(MembershipUpdate::Kind::kFull); }
  void FailMembership() { dispatcher_.MembershipFailed(); }
  // Called while the dispatcher executes the module's actions. The call to discovery may fail at once.
  void OnSubscribe();
  void Ban();
  void Unban();

  void AdvanceTime();

  simulation::Simulator sim_;
  simulation::Random random_;
  const balancer::Settings settings_;
  // Probability that an attempt ends within Send().
  const double immediate_end_chance_;
  // Probability that a front end submits another request, or a client disconnects, within on_final.
  const double reentry_chance_;
  std::ostream discarded_{nullptr};
  runtime::Logger log_{"history", discarded_};
  std::deque<Request> requests_;  // accepted ones, by number; a deque keeps references valid
  std::map<dispatch::ExchangeId, Attempt> attempts_;
  std::vector<dispatch::ExchangeId> in_flight_;          // attempts that have not ended
  std::deque<OnEnd> probes_;                             // load probes that have not ended
  std::map<std::string, ListedUpstream> listed_;         // by uid
  std::map<std::string, dispatch::Location> locations_;  // by uid, as the transport knows them
  std::set<std::string> bans_;
  std::int64_t last_boot_ms_ = 0;
  std::size_t ended_reentrantly_ = 0;  // requests that ended within a call of the transport or a front end
  std::map<Rule, std::string> violations_;
  std::map<std::string_view, int> situations_;
  dispatch::Dispatcher dispatcher_;
};

}  // namespace mothrack::testing
