// Upstreams in slow start under the aggregate of many sidecars.
#include <chrono>
#include <cstddef>
#include <string>

#include "balancer/helpers.h"

namespace mothrack::balancer::testing {
namespace {

// A hundred sidecars with a low rate each send an upstream in slow start a steady aggregate rate from its
// first second: a budget of a fraction of a request each must not make all of them wait until it is a whole
// one.
TEST(FleetSlowStart, LowRatesAddUpToTheBudgetFromTheFirstSecond) {
  constexpr int kSidecars = 100, kUpstreams = 20, kSeconds = 4;
  const auto calls = [](TestSidecar& w, Duration time) {
    int to_new = 0;
    for (const TimePoint end = w.now + time; w.now < end;) {
      w.Advance(50ms);
      to_new += w.Serve(kUnsafe) == "z";  // some 16 a second
    }
    return to_new;
  };
  int sent = 0;
  for (const auto& w : MakeSidecars(kSidecars)) {
    w->ListUpstreams(kUpstreams);
    calls(*w, 10s);
    UpstreamInfo warming_up = MakeUpstream("z");
    warming_up.started = w->now;
    w->ChangeUpstream(warming_up);
    sent += calls(*w, Duration(1s) * kSeconds);
  }
  // Warm, it would get a 21st of all requests; in slow start it may get a tenth to a quarter of that. If each
  // sidecar waited for a budget of one whole request, or kept its turn meanwhile, it would get a third of
  // this.
  const double share = kSidecars * 16.5 * kSeconds / (kUpstreams + 1);
  EXPECT_GT(sent, 0.045 * share);
  EXPECT_LT(sent, 0.45 * share);
}

// The endpoint list states the minimum capacity of an upstream in slow start; its answers show the real one.
TEST(FleetSlowStart, WarmingUpstreamsOfUsualLatencyGetMoreThanTheMinimum) {
  const auto slow_start_requests = [](Duration warming_up_latency) {
    TestSidecar w;
    w.ListUpstreams(6);
    for (int i = 0; i < 400; ++i) {
      w.Advance(15ms);
      w.Serve(kUnsafe);
    }
    for (const char* id : {"x", "y", "z"}) {
      UpstreamInfo warming_up = MakeUpstream(id);
      warming_up.started = w.now - 2s;
      w.ChangeUpstream(warming_up);
    }
    int to_new = 0;
    for (int i = 0; i < 300; ++i) {
      w.Advance(15ms);
      const std::size_t before = w.sent.size();
      w.Arrive(kUnsafe);
      if (w.sent.size() == before) continue;
      const bool is_new = w.sent[before].upstream >= "x";
      to_new += is_new;
      w.now += is_new ? warming_up_latency : Duration(10ms);
      w.EndAttempt(w.sent[before], Outcome::kServed);
    }
    return to_new;
  };
  const int slow = slow_start_requests(40ms), fast = slow_start_requests(10ms);
  EXPECT_GT(slow, 20);
  EXPECT_GT(fast, 1.25 * slow);
}

// Removed machines leave a record of connect failures; the machines that replace them have no connection yet.
TEST(FleetSlowStart, ConnectFailuresElsewhereDoNotDivertRequestsFromNewUpstreams) {
  TestSidecar w;
  w.ListUpstreams(8);
  const auto serve = [&w](int calls) {
    int to_new = 0;
    for (int i = 0; i < calls; ++i) {
      const std::size_t before = w.sent.size();
      w.Arrive(kUnsafe);
      for (std::size_t k = before; k < w.sent.size(); ++k) {
        const std::string id = w.sent[k].upstream;
        to_new += id >= "x";
        w.now += 5ms;
        const bool removed = id >= "e" && id < "x";
        w.EndAttempt(w.sent[k], removed ? Outcome::kConnectFailed : Outcome::kServed);
      }
      w.Advance(20ms);
    }
    return to_new;
  };
  serve(100);
  for (const char* id : {"x", "y", "z"}) {
    UpstreamInfo added = MakeUpstream(id);
    added.started = w.now - 4s;
    w.ChangeUpstream(added);
  }
  EXPECT_GT(serve(200), 12);
}

}  // namespace
}  // namespace mothrack::balancer::testing
