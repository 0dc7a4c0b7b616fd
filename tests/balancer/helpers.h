// Test helpers: a balancer with a clock, timers and a record of its actions, driven through handle().
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
  RequestClass request_class;
  request_class.name = std::move(name);
  request_class.latency_objective = 400ms;
  request_class.deadline = 2s;
  request_class.effect = effect;
  request_class.key_window = 5s;
  return request_class;
}

inline constexpr ClassId kSafe{0};
inline constexpr ClassId kUnsafe{1};
inline constexpr ClassId kKeyedAll{2};
inline constexpr ClassId kKeyedZone{3};
inline constexpr ClassId kKeyedCell{4};

inline Settings DefaultSettings() {
  Settings settings;
  settings.classes = {MakeClass("safe", Effect::kSafe), MakeClass("unsafe", Effect::kUnsafe),
                      MakeClass("keyed-all", Effect::kKeyed), MakeClass("keyed-zone", Effect::kKeyed),
                      MakeClass("keyed-cell", Effect::kKeyed)};
  settings.classes[3].key_scope = KeyScope::kZone;
  settings.classes[4].key_scope = KeyScope::kCell;
  settings.zone = "here";
  settings.limits.max_attempts = 4;
  settings.limits.hedging = true;
  return settings;
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

// A fake sidecar: passes events to a balancer and records the resulting actions.
class TestSidecar {
 public:
  explicit TestSidecar(Settings settings = DefaultSettings(), std::uint64_t seed = 7)
      : balancer_(std::move(settings), seed) {}

  const Balancer& balancer() const { return balancer_; }

  // Passes a list of `count` upstreams: "a", "b", ...
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

  // Passes one event. The actions that it caused replace those in `actions` and are added to the records
  // below.
  void Handle(const Event& event) {
    actions.clear();
    balancer_.handle(now, event, actions);
    for (const Action& action : actions)
      std::visit([this](const auto& alternative) { Record(alternative); }, action);
  }

  RequestId Arrive(ClassId request_class = kSafe, Duration timeout = 2s) {
    RequestArrived arrival;
    arrival.request = RequestId{++last_request_};
    arrival.request_class = request_class;
    arrival.deadline = now + timeout;
    Handle(arrival);
    return arrival.request;
  }

  // `answer_time`: when its answer began, if that was before its end.
  void EndAttempt(const SentAttempt& sent, Outcome outcome, bool finished = false,
                  std::optional<Duration> answer_time = std::nullopt) {
    Handle(AttemptEnded{sent.request,
                        sent.attempt,
                        outcome,
                        now - sent.at,
                        finished || outcome == Outcome::kServed,
                        {},
                        answer_time});
  }

  // Advances the clock and fires the timers that become due meanwhile, in order.
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

  // Ends every attempt from index `from` on: with `outcome` at the upstream `bad`, served elsewhere. Returns
  // the number of attempts at `bad`.
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

  // Sends a request whose attempts are served after 10 ms. Returns the upstream of the first one, or "".
  std::string Serve(ClassId request_class = kSafe) {
    const std::size_t before = sent.size();
    Arrive(request_class);
    now += 10ms;
    EndAttempts(before);
    return sent.size() == before ? "" : sent[before].upstream;
  }

  // Sends requests that are served except at `bad`, where they end with `outcome`, until that has happened
  // `failures` times. There are 100 ms between two requests, so that half-open probes become due: a suspect
  // upstream gets no other requests.
  void FailInARow(const std::string& bad, int failures, Outcome outcome = Outcome::kError) {
    for (int guard = 0; failures > 0 && guard < 3000; ++guard) {
      const std::size_t before = sent.size();
      Arrive(kSafe);
      now += 10ms;
      failures -= EndAttempts(before, bad, outcome);
      if (failures > 0) Advance(100ms);
    }
    EXPECT_LE(failures, 0) << bad << " got too few requests";
  }

  // Sends `requests` requests that are served. Returns the number of them by upstream.
  std::map<std::string, int> CountServed(int requests, ClassId request_class = kSafe) {
    std::map<std::string, int> spread;
    for (int i = 0; i < requests; ++i) ++spread[Serve(request_class)];
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
  void Record(const SendAttempt& action) {
    EXPECT_GT(action.timeout, Duration::zero());
    sent.push_back(
        {action.request, AttemptId{attempts_[action.request]++}, action.upstream.value, action.timeout, now});
  }
  void Record(const CancelAttempt& action) { cancelled.emplace_back(action.request, action.attempt); }
  void Record(const Reject& action) {
    rejected.push_back(action.request);
    last_retry_after = action.retry_after;
  }
  void Record(const Fail& action) { failed.push_back(action.request); }
  void Record(const SetTimer& action) { timers.emplace(action.at, action.token); }
  void Record(const SendProbe& action) { probed.push_back(action.upstream.value); }
  void Record(const CloseIdle& action) { closed.push_back(action.upstream.value); }
  void Record(const Subscribe&) { ++subscribed; }
  void Record(const Log& action) { logs.push_back(action.text); }

  Balancer balancer_;
  std::uint64_t last_request_ = 0;
  std::map<RequestId, std::size_t> attempts_;
};

// `count` sidecars that share no state.
inline std::vector<std::unique_ptr<TestSidecar>> MakeSidecars(int count,
                                                              const Settings& settings = DefaultSettings()) {
  std::vector<std::unique_ptr<TestSidecar>> sidecars;
  for (int i = 0; i < count; ++i)
    sidecars.push_back(std::make_unique<TestSidecar>(settings, 1000 + static_cast<std::uint64_t>(i)));
  return sidecars;
}

}  // namespace mothrack::balancer::testing
