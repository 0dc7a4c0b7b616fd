// One balancer with a clock, timers and a record of its actions, for tests through handle().
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "balancer/balancer.h"
#include "gtest/gtest.h"

namespace mothrack::balancer::testing {

using namespace std::chrono_literals;

inline RequestClass MakeClass(std::string name, Effect effect) {
  RequestClass c;
  c.name = std::move(name);
  c.latency_objective = 400ms;
  c.deadline = 2s;
  c.effect = effect;
  c.key_window = 5s;
  return c;
}

inline constexpr ClassId kSafe{0};
inline constexpr ClassId kUnsafe{1};
inline constexpr ClassId kKeyedAll{2};
inline constexpr ClassId kKeyedZone{3};
inline constexpr ClassId kKeyedCell{4};

inline Settings DefaultSettings() {
  Settings s;
  s.classes = {MakeClass("safe", Effect::kSafe), MakeClass("unsafe", Effect::kUnsafe),
               MakeClass("keyed-all", Effect::kKeyed), MakeClass("keyed-zone", Effect::kKeyed),
               MakeClass("keyed-cell", Effect::kKeyed)};
  s.classes[3].key_scope = KeyScope::kZone;
  s.classes[4].key_scope = KeyScope::kCell;
  s.zone = "here";
  s.limits.max_attempts = 4;
  s.limits.hedging = true;
  return s;
}

inline UpstreamInfo MakeUpstream(std::string id, UpstreamState state = UpstreamState::kServing) {
  UpstreamInfo info;
  info.id.value = std::move(id);
  info.zone = "here";
  info.state = state;
  return info;
}

struct SentAttempt {
  RequestId request{};
  AttemptId attempt{};
  std::string upstream;
  Duration timeout{};
  TimePoint at;
};

class TestSidecar {
 public:
  explicit TestSidecar(Settings settings = DefaultSettings(), std::uint64_t seed = 7)
      : balancer_(std::move(settings), seed) {}

  // Upstreams "a", "b", ... up to `count`.
  void ListUpstreams(int count) {
    MembershipUpdate update;
    update.kind = MembershipUpdate::Kind::kRestored;
    for (int i = 0; i < count; ++i)
      update.upstreams.push_back(MakeUpstream(std::string(1, static_cast<char>('a' + i))));
    Handle(update);
  }
  void ReplaceList(std::vector<UpstreamInfo> list) {
    Handle(MembershipUpdate{MembershipUpdate::Kind::kFull, std::move(list)});
  }
  void ChangeUpstream(UpstreamInfo info) {
    Handle(MembershipUpdate{MembershipUpdate::Kind::kChanges, {std::move(info)}});
  }

  // Hands over one event; everything it caused is in `actions` (this event's only) and in the records below.
  void Handle(const Event& event) {
    actions.clear();
    balancer_.handle(now, event, actions);
    for (const Action& action : actions) std::visit([this](const auto& a) { Record(a); }, action);
  }

  RequestId Arrive(ClassId request_class = kSafe, Duration timeout = 2s) {
    RequestArrived e;
    e.request = RequestId{++last_request_};
    e.request_class = request_class;
    e.deadline = now + timeout;
    Handle(e);
    return e.request;
  }

  void EndAttempt(const SentAttempt& sent, Outcome outcome, bool finished = false) {
    Handle(AttemptEnded{
        sent.request, sent.attempt, outcome, now - sent.at, finished || outcome == Outcome::kServed, {}});
  }

  // Moves the clock on and fires the timers that come due on the way, in order.
  void Advance(Duration by) {
    const TimePoint end = now + by;
    while (!timers.empty() && timers.begin()->first <= end) {
      now = std::max(now, timers.begin()->first);
      const std::uint64_t token = timers.begin()->second;
      timers.erase(timers.begin());
      Handle(TimerFired{token});
    }
    now = end;
  }

  // Ends every attempt sent from number `from` on: with `outcome` at `bad`, served elsewhere. How many hit
  // `bad`.
  int EndAttempts(std::size_t from, const std::string& bad = "", Outcome outcome = Outcome::kServed) {
    int hits = 0;
    bool served = false;
    for (std::size_t i = from; i < sent.size(); ++i) {
      const SentAttempt attempt = sent[i];
      const bool hit = attempt.upstream == bad;
      hits += hit;
      EndAttempt(attempt, hit ? outcome : Outcome::kServed, served);
      served = served || !hit || outcome == Outcome::kServed;
    }
    return hits;
  }

  // A request that is served at once: the upstream that served it, or "".
  std::string Serve(ClassId request_class = kSafe) {
    const std::size_t before = sent.size();
    Arrive(request_class);
    now += 10ms;
    EndAttempts(before);
    return sent.size() == before ? "" : sent[before].upstream;
  }

  // Requests that are served, except at `bad`, where they end with `outcome`, until `bad` has had `failures`.
  // Slow enough for half-open probes, which are all that a suspect upstream gets.
  void FailInARow(const std::string& bad, int failures, Outcome outcome = Outcome::kError) {
    for (int guard = 0; failures > 0 && guard < 3000; ++guard) {
      const std::size_t before = sent.size();
      Arrive(kSafe);
      now += 10ms;
      failures -= EndAttempts(before, bad, outcome);
      if (failures > 0) Advance(100ms);
    }
    EXPECT_LE(failures, 0) << bad << " took too few calls";
  }

  // How often each upstream is picked in `calls` served calls.
  std::map<std::string, int> CountServed(int calls, ClassId request_class = kSafe) {
    std::map<std::string, int> spread;
    for (int i = 0; i < calls; ++i) ++spread[Serve(request_class)];
    return spread;
  }

  bool HasLogged(const std::string& part) const {
    for (const std::string& line : logs) {
      if (line.find(part) != std::string::npos) return true;
    }
    return false;
  }

  TimePoint now{1000s};
  std::vector<Action> actions;
  std::vector<SentAttempt> sent;
  std::vector<RequestId> rejected;
  std::vector<RequestId> failed;
  std::vector<std::pair<RequestId, AttemptId>> cancelled;
  std::vector<std::string> logs;
  std::vector<std::string> probed;
  std::vector<std::string> closed;
  int subscribed = 0;
  Duration last_retry_after{};
  std::multimap<TimePoint, std::uint64_t> timers;

 private:
  void Record(const SendAttempt& a) {
    EXPECT_GT(a.timeout, Duration::zero());
    sent.push_back({a.request, AttemptId{attempts_[a.request]++}, a.upstream.value, a.timeout, now});
  }
  void Record(const CancelAttempt& a) { cancelled.emplace_back(a.request, a.attempt); }
  void Record(const Reject& a) {
    rejected.push_back(a.request);
    last_retry_after = a.retry_after;
  }
  void Record(const Fail& a) { failed.push_back(a.request); }
  void Record(const SetTimer& a) { timers.emplace(a.at, a.token); }
  void Record(const SendProbe& a) { probed.push_back(a.upstream.value); }
  void Record(const CloseIdle& a) { closed.push_back(a.upstream.value); }
  void Record(const Subscribe&) { ++subscribed; }
  void Record(const Log& a) { logs.push_back(a.text); }

  Balancer balancer_;
  std::uint64_t last_request_ = 0;
  std::map<RequestId, std::size_t> attempts_;
};

// `count` sidecars that share nothing but their endpoint list.
inline std::vector<std::unique_ptr<TestSidecar>> MakeSidecars(int count,
                                                              const Settings& settings = DefaultSettings()) {
  std::vector<std::unique_ptr<TestSidecar>> fleet;
  for (int i = 0; i < count; ++i)
    fleet.push_back(std::make_unique<TestSidecar>(settings, 1000 + static_cast<std::uint64_t>(i)));
  return fleet;
}

}  // namespace mothrack::balancer::testing
