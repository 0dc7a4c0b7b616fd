// Passes random events to the balancer and checks every action against the rules of retries, draining, slow
// start and final answers.
#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "balancer/helpers.h"

namespace mothrack::balancer::testing {
namespace {

bool ProvesNotRun(Outcome outcome) {
  return outcome == Outcome::kFull || outcome == Outcome::kConnectFailed || outcome == Outcome::kNotSent;
}

class RandomEvents : public ::testing::TestWithParam<std::uint64_t> {};

TEST_P(RandomEvents, KeepsTheRules) {
  std::mt19937_64 random(GetParam());
  const auto below = [&random](std::uint64_t n) { return random() % n; };
  Settings settings = DefaultSettings();
  settings.limits.hedging = below(2) == 0;
  settings.limits.probes = below(2) == 0;
  settings.limits.cancel = below(4) != 0;
  settings.limits.max_attempts = 1 + below(5);
  settings.classes[2].key_window = Duration(100000 + below(2000000));
  if (below(2) == 0) settings.tenants = {{"t", 0.5, 50}, {"u", 0.5, 50}};
  TestSidecar sidecar(settings, GetParam());

  struct OpenRequest {
    ClassId request_class{};
    TimePoint deadline;
    std::vector<std::pair<SentAttempt, std::optional<Outcome>>> attempts;
    bool ended = false;
  };
  std::map<RequestId, OpenRequest> requests;
  std::map<std::string, UpstreamInfo> upstreams;
  // The time of each attempt at an upstream in slow start, and its slow start factor then; by upstream.
  std::map<std::string, std::deque<std::pair<TimePoint, double>>> slow_start_sends;

  const auto check = [&]() {
    for (const Action& action : sidecar.actions) {
      if (const auto* probe = std::get_if<SendProbe>(&action)) {
        EXPECT_TRUE(settings.limits.probes);
        EXPECT_EQ(upstreams.at(probe->upstream.value).state, UpstreamState::kServing);
      }
      if (std::holds_alternative<CancelAttempt>(action)) {
        EXPECT_TRUE(settings.limits.cancel);
      }
      const auto* send = std::get_if<SendAttempt>(&action);
      const auto* reject = std::get_if<Reject>(&action);
      const auto* fail = std::get_if<Fail>(&action);
      if (send == nullptr && reject == nullptr && fail == nullptr) continue;
      const RequestId id = send != nullptr     ? send->request
                           : reject != nullptr ? reject->request
                                               : fail->request;
      ASSERT_TRUE(requests.contains(id));
      OpenRequest& request = requests.at(id);
      ASSERT_FALSE(request.ended) << "an action after the final answer";
      const Effect effect = settings.classes[static_cast<std::size_t>(request.request_class)].effect;
      const KeyScope scope = settings.classes[static_cast<std::size_t>(request.request_class)].key_scope;
      const Duration window = settings.classes[static_cast<std::size_t>(request.request_class)].key_window;
      bool may_have_run = false;
      for (const auto& [sent, outcome] : request.attempts) {
        if (outcome && ProvesNotRun(*outcome)) continue;
        may_have_run = true;
        if (send == nullptr) continue;
        if (!outcome) {
          EXPECT_TRUE(settings.limits.hedging);
        }
        EXPECT_NE(effect, Effect::kUnsafe);
        if (effect != Effect::kKeyed) continue;
        EXPECT_LE(sidecar.now - sent.at, window);
        const UpstreamInfo& from = upstreams.at(sent.upstream);
        const UpstreamInfo& to = upstreams.at(send->upstream.value);
        if (scope == KeyScope::kZone) {
          EXPECT_EQ(from.zone, to.zone);
        }
        if (scope == KeyScope::kCell) {
          EXPECT_EQ(from.cell, to.cell);
        }
      }
      if (reject != nullptr && may_have_run) {
        EXPECT_TRUE(effect == Effect::kSafe || (effect == Effect::kKeyed && scope == KeyScope::kAll));
      }
      if (send == nullptr) {
        request.ended = true;
        continue;
      }
      EXPECT_LT(sidecar.now, request.deadline);
      EXPECT_LT(request.attempts.size(), settings.limits.max_attempts);
      const UpstreamInfo& to = upstreams.at(send->upstream.value);
      EXPECT_EQ(to.state, UpstreamState::kServing);
      request.attempts.emplace_back(SentAttempt{id, AttemptId{request.attempts.size()}, send->upstream.value,
                                                send->timeout, sidecar.now},
                                    std::nullopt);
      if (to.started && sidecar.now - *to.started < settings.rules.slow_start_duration) {
        const double age = static_cast<double>((sidecar.now - *to.started) / 1us) /
                           static_cast<double>(settings.rules.slow_start_duration / 1us);
        slow_start_sends[to.id.value].emplace_back(
            sidecar.now,
            settings.rules.slow_start_initial_share + (1 - settings.rules.slow_start_initial_share) * age);
      }
    }
  };
  const auto change = [&](const std::string& id, bool restart) {
    UpstreamInfo& info = upstreams[id];
    if (info.id.value.empty()) {
      info = MakeUpstream(id);
      info.zone = below(2) == 0 ? "here" : "there";
      info.cell = static_cast<std::int64_t>(below(3));
    }
    info.state = below(3) == 0 ? UpstreamState::kDraining : UpstreamState::kServing;
    if (below(6) == 0) info.state = UpstreamState::kGone;
    if (restart) info.started = sidecar.now;
    sidecar.ChangeUpstream(info);
    check();
  };

  sidecar.ReplaceList({});
  for (char c = 'a'; c < 'g'; ++c) {
    UpstreamInfo info = MakeUpstream(std::string(1, c));
    info.zone = below(2) == 0 ? "here" : "there";
    upstreams[info.id.value] = info;
    sidecar.ChangeUpstream(info);
  }
  for (int step = 0; step < 12000; ++step) {
    sidecar.now += Duration(below(20000));
    while (!sidecar.timers.empty() && sidecar.timers.begin()->first <= sidecar.now) {
      const std::uint64_t token = sidecar.timers.begin()->second;
      sidecar.timers.erase(sidecar.timers.begin());
      sidecar.Handle(TimerFired{token});
      check();
    }
    // Every timer up to now has fired: open requests must be within their deadlines.
    for (auto it = requests.begin(); it != requests.end();) {
      OpenRequest& request = it->second;
      EXPECT_TRUE(request.ended || sidecar.now <= request.deadline + settings.rules.answer_grace)
          << "unanswered after its deadline";
      const bool settled = std::all_of(request.attempts.begin(), request.attempts.end(),
                                       [](const auto& a) { return a.second.has_value(); });
      it = request.ended && settled ? requests.erase(it) : std::next(it);
    }
    const auto roll = below(100);
    if (roll < 45) {
      RequestArrived arrival;
      arrival.request = RequestId{1000000u + static_cast<std::uint64_t>(step)};
      arrival.request_class = ClassId{below(5)};
      arrival.deadline = sidecar.now + Duration(1 + below(2000000));
      if (!settings.tenants.empty()) arrival.tenant = TenantId{below(2)};
      requests[arrival.request] = OpenRequest{arrival.request_class, arrival.deadline, {}, false};
      sidecar.Handle(arrival);
      check();
    } else if (roll < 93) {
      if (requests.empty()) continue;
      auto it = requests.begin();
      std::advance(it, below(requests.size()));
      OpenRequest& request = it->second;
      for (auto& [sent, outcome] : request.attempts) {
        if (outcome) continue;
        const Outcome drawn = below(10) < 6 ? Outcome::kServed : static_cast<Outcome>(1 + below(7));
        outcome = drawn;
        if (drawn == Outcome::kServed) request.ended = true;
        sidecar.Handle(
            AttemptEnded{sent.request, sent.attempt, drawn, sidecar.now - sent.at, request.ended, {}});
        check();
        break;
      }
    } else if (roll < 96) {
      if (requests.empty()) continue;
      auto it = requests.begin();
      std::advance(it, below(requests.size()));
      it->second.ended = true;
      sidecar.Handle(ClientDisconnected{it->first});
      check();
    } else if (roll < 97) {
      change(std::string(1, static_cast<char>('a' + below(6))), below(3) == 0);
    }
    if (HasFatalFailure()) return;
  }
  // There are about 45 first attempts a second, and seldom fewer than two of the six upstreams are listed. So
  // an upstream past slow start gets at most 22 a second, and one in slow start that times
  // `overload_multiple` and its slow start factor, plus two since attempts arrive unevenly.
  for (const auto& [id, sends] : slow_start_sends) {
    for (std::size_t i = 0; i < sends.size(); ++i) {
      std::size_t k = i;
      while (k + 1 < sends.size() && sends[k + 1].first - sends[i].first < settings.rules.overload_window)
        ++k;
      EXPECT_LE(static_cast<double>(k - i + 1), 2 + settings.rules.overload_multiple * sends[k].second * 22)
          << id;
    }
  }
  sidecar.Advance(5s);
  check();
}

INSTANTIATE_TEST_SUITE_P(Seeds, RandomEvents, ::testing::Range<std::uint64_t>(1, 25));

}  // namespace
}  // namespace mothrack::balancer::testing
