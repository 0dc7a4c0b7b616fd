// The four rules under a seeded random stream of events: every action is checked against them.
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

bool ProvesNotRun(Outcome o) {
  return o == Outcome::kFull || o == Outcome::kConnectFailed || o == Outcome::kNotSent;
}

class Stream : public ::testing::TestWithParam<std::uint64_t> {};

TEST_P(Stream, KeepsTheRules) {
  std::mt19937_64 random(GetParam());
  const auto below = [&random](std::uint64_t n) { return random() % n; };
  Settings s = DefaultSettings();
  s.limits.hedging = below(2) == 0;
  s.limits.probes = below(2) == 0;
  s.limits.cancel = below(4) != 0;
  s.limits.max_attempts = 1 + below(5);
  s.classes[2].key_window = Duration(100000 + below(2000000));
  if (below(2) == 0) s.tenants = {{"t", 0.5, 50}, {"u", 0.5, 50}};
  TestSidecar w(s, GetParam());

  struct Open {
    ClassId cls{};
    TimePoint deadline;
    std::vector<std::pair<SentAttempt, std::optional<Outcome>>> attempts;
    bool ended = false;
  };
  std::map<RequestId, Open> requests;
  std::map<std::string, UpstreamInfo> upstreams;
  std::map<std::string, std::deque<std::pair<TimePoint, double>>>
      slow_start_sends;  // time and slow start factor

  const auto check = [&]() {
    for (const Action& action : w.actions) {
      if (const auto* probe = std::get_if<SendProbe>(&action)) {
        EXPECT_TRUE(s.limits.probes);
        EXPECT_EQ(upstreams.at(probe->upstream.value).state, UpstreamState::kServing);
      }
      if (std::holds_alternative<CancelAttempt>(action)) {
        EXPECT_TRUE(s.limits.cancel);
      }
      const auto* send = std::get_if<SendAttempt>(&action);
      const auto* refuse = std::get_if<Reject>(&action);
      const auto* fail = std::get_if<Fail>(&action);
      if (send == nullptr && refuse == nullptr && fail == nullptr) continue;
      const RequestId id = send != nullptr     ? send->request
                           : refuse != nullptr ? refuse->request
                                               : fail->request;
      ASSERT_TRUE(requests.contains(id));
      Open& r = requests.at(id);
      ASSERT_FALSE(r.ended) << "an action after the end";
      const Effect effect = s.classes[static_cast<std::size_t>(r.cls)].effect;
      const KeyScope scope = s.classes[static_cast<std::size_t>(r.cls)].key_scope;
      const Duration window = s.classes[static_cast<std::size_t>(r.cls)].key_window;
      bool may_have_run = false;
      for (const auto& [sent, outcome] : r.attempts) {
        if (outcome && ProvesNotRun(*outcome)) continue;
        may_have_run = true;
        if (send == nullptr) continue;
        if (!outcome) {
          EXPECT_TRUE(s.limits.hedging);
        }
        EXPECT_NE(effect, Effect::kUnsafe);
        if (effect != Effect::kKeyed) continue;
        EXPECT_LE(w.now - sent.at, window);
        const UpstreamInfo& from = upstreams.at(sent.upstream);
        const UpstreamInfo& to = upstreams.at(send->upstream.value);
        if (scope == KeyScope::kZone) {
          EXPECT_EQ(from.zone, to.zone);
        }
        if (scope == KeyScope::kCell) {
          EXPECT_EQ(from.cell, to.cell);
        }
      }
      if (refuse != nullptr && may_have_run) {
        EXPECT_TRUE(effect == Effect::kSafe || (effect == Effect::kKeyed && scope == KeyScope::kAll));
      }
      if (send == nullptr) {
        r.ended = true;
        continue;
      }
      EXPECT_LT(w.now, r.deadline);
      EXPECT_LT(r.attempts.size(), s.limits.max_attempts);
      const UpstreamInfo& to = upstreams.at(send->upstream.value);
      EXPECT_EQ(to.state, UpstreamState::kServing);
      r.attempts.emplace_back(
          SentAttempt{id, AttemptId{r.attempts.size()}, send->upstream.value, send->timeout, w.now},
          std::nullopt);
      if (to.started && w.now - *to.started < s.rules.slow_start_duration) {
        const double age = static_cast<double>((w.now - *to.started) / 1us) /
                           static_cast<double>(s.rules.slow_start_duration / 1us);
        slow_start_sends[to.id.value].emplace_back(
            w.now, s.rules.slow_start_initial_share + (1 - s.rules.slow_start_initial_share) * age);
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
    if (restart) info.started = w.now;
    w.ChangeUpstream(info);
    check();
  };

  w.ReplaceList({});
  for (char c = 'a'; c < 'g'; ++c) {
    UpstreamInfo info = MakeUpstream(std::string(1, c));
    info.zone = below(2) == 0 ? "here" : "there";
    upstreams[info.id.value] = info;
    w.ChangeUpstream(info);
  }
  for (int step = 0; step < 12000; ++step) {
    w.now += Duration(below(20000));
    while (!w.timers.empty() && w.timers.begin()->first <= w.now) {
      const std::uint64_t token = w.timers.begin()->second;
      w.timers.erase(w.timers.begin());
      w.Handle(TimerFired{token});
      check();
    }
    // Every timer up to now has fired: open requests must be within their deadlines.
    for (auto it = requests.begin(); it != requests.end();) {
      Open& r = it->second;
      EXPECT_TRUE(r.ended || w.now <= r.deadline + s.rules.answer_grace) << "unanswered after its deadline";
      const bool settled = std::all_of(r.attempts.begin(), r.attempts.end(),
                                       [](const auto& a) { return a.second.has_value(); });
      it = r.ended && settled ? requests.erase(it) : std::next(it);
    }
    const auto roll = below(100);
    if (roll < 45) {
      RequestArrived e;
      e.request = RequestId{1000000u + static_cast<std::uint64_t>(step)};
      e.request_class = ClassId{below(5)};
      e.deadline = w.now + Duration(1 + below(2000000));
      if (!s.tenants.empty()) e.tenant = TenantId{below(2)};
      requests[e.request] = Open{e.request_class, e.deadline, {}, false};
      w.Handle(e);
      check();
    } else if (roll < 93) {
      if (requests.empty()) continue;
      auto it = requests.begin();
      std::advance(it, below(requests.size()));
      Open& r = it->second;
      for (auto& [sent, outcome] : r.attempts) {
        if (outcome) continue;
        const Outcome o = below(10) < 6 ? Outcome::kServed : static_cast<Outcome>(1 + below(7));
        outcome = o;
        if (o == Outcome::kServed) r.ended = true;
        w.Handle(AttemptEnded{sent.request, sent.attempt, o, w.now - sent.at, r.ended, {}});
        check();
        break;
      }
    } else if (roll < 96) {
      if (requests.empty()) continue;
      auto it = requests.begin();
      std::advance(it, below(requests.size()));
      it->second.ended = true;
      w.Handle(ClientDisconnected{it->first});
      check();
    } else if (roll < 97) {
      change(std::string(1, static_cast<char>('a' + below(6))), below(3) == 0);
    }
    if (HasFatalFailure()) return;
  }
  // About 45 first attempts a second, and seldom fewer than two of the six upstreams listed: a warm one gets
  // at most 22 a second, one in slow start `overload_multiple` times its factor of that, and one or two for
  // bunching.
  for (const auto& [id, sends] : slow_start_sends) {
    for (std::size_t i = 0; i < sends.size(); ++i) {
      std::size_t k = i;
      while (k + 1 < sends.size() && sends[k + 1].first - sends[i].first < s.rules.overload_window) ++k;
      EXPECT_LE(static_cast<double>(k - i + 1), 2 + s.rules.overload_multiple * sends[k].second * 22) << id;
    }
  }
  w.Advance(5s);
  check();
}

INSTANTIATE_TEST_SUITE_P(Seeds, Stream, ::testing::Range<std::uint64_t>(1, 25));

}  // namespace
}  // namespace mothrack::balancer::testing
