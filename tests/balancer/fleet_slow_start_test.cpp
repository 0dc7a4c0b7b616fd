// Upstreams in slow start under the aggregate of many sidecars.
#include <chrono>
#include <cstddef>
#include <string>

#include "balancer/helpers.h"

namespace mothrack::balancer::testing {
namespace {

// A hundred sidecars with a low rate each send an upstream in slow start a steady aggregate rate from its
// first second on: although the budget of each is a fraction of a request, they must not all wait until it
// reaches one request.
TEST(FleetSlowStart, LowRatesAddUpToTheBudgetFromTheFirstSecond) {
  constexpr int kSidecars = 100, kUpstreams = 20, kSeconds = 4;
  const auto send_requests = [](TestSidecar& sidecar, Duration time) {
    int to_new = 0;
    for (const TimePoint end = sidecar.now + time; sidecar.now < end;) {
      sidecar.Advance(50ms);
      to_new += sidecar.Serve(kUnsafe) == "z";  // about 16 a second
    }
    return to_new;
  };
  int sent = 0;
  for (const auto& sidecar : MakeSidecars(kSidecars)) {
    sidecar->ListUpstreams(kUpstreams);
    send_requests(*sidecar, 10s);
    UpstreamInfo in_slow_start = MakeUpstream("z");
    in_slow_start.started = sidecar->now;
    sidecar->ChangeUpstream(in_slow_start);
    sent += send_requests(*sidecar, Duration(1s) * kSeconds);
  }
  // Past slow start the upstream would get a 21st of all requests; in slow start it may get a tenth to a
  // quarter of that. If each sidecar waited until its budget reached one request, or gained no round robin
  // credit meanwhile, the upstream would get a third of that.
  const double share = kSidecars * 16.5 * kSeconds / (kUpstreams + 1);
  EXPECT_GT(sent, 0.045 * share);
  EXPECT_LT(sent, 0.45 * share);
}

// The settings give the minimum capacity of an upstream in slow start; its latency shows the actual capacity.
// With the usual latency it gets more requests than with a higher one.
TEST(FleetSlowStart, UpstreamsOfUsualLatencyGetMoreThanTheMinimum) {
  const auto slow_start_requests = [](Duration slow_start_latency) {
    TestSidecar sidecar;
    sidecar.ListUpstreams(6);
    for (int i = 0; i < 400; ++i) {
      sidecar.Advance(15ms);
      sidecar.Serve(kUnsafe);
    }
    for (const char* id : {"x", "y", "z"}) {
      UpstreamInfo in_slow_start = MakeUpstream(id);
      in_slow_start.started = sidecar.now - 2s;
      sidecar.ChangeUpstream(in_slow_start);
    }
    int to_new = 0;
    for (int i = 0; i < 300; ++i) {
      sidecar.Advance(15ms);
      const std::size_t before = sidecar.sent.size();
      sidecar.Arrive(kUnsafe);
      if (sidecar.sent.size() == before) continue;
      const bool is_new = sidecar.sent[before].upstream >= "x";
      to_new += is_new;
      sidecar.now += is_new ? slow_start_latency : Duration(10ms);
      sidecar.EndAttempt(sidecar.sent[before], Outcome::kServed);
    }
    return to_new;
  };
  const int slow = slow_start_requests(40ms), fast = slow_start_requests(10ms);
  EXPECT_GT(slow, 20);
  EXPECT_GT(fast, 1.25 * slow);
}

// Removed machines leave a record of connect failures; the machines that replace them have no connection yet.
TEST(FleetSlowStart, ConnectFailuresElsewhereDoNotDivertRequestsFromNewUpstreams) {
  TestSidecar sidecar;
  sidecar.ListUpstreams(8);
  const auto serve = [&sidecar](int requests) {
    int to_new = 0;
    for (int i = 0; i < requests; ++i) {
      const std::size_t before = sidecar.sent.size();
      sidecar.Arrive(kUnsafe);
      for (std::size_t k = before; k < sidecar.sent.size(); ++k) {
        const std::string id = sidecar.sent[k].upstream;
        to_new += id >= "x";
        sidecar.now += 5ms;
        const bool removed = id >= "e" && id < "x";
        sidecar.EndAttempt(sidecar.sent[k], removed ? Outcome::kConnectFailed : Outcome::kServed);
      }
      sidecar.Advance(20ms);
    }
    return to_new;
  };
  serve(100);
  for (const char* id : {"x", "y", "z"}) {
    UpstreamInfo added = MakeUpstream(id);
    added.started = sidecar.now - 4s;
    sidecar.ChangeUpstream(added);
  }
  EXPECT_GT(serve(200), 12);
}

}  // namespace
}  // namespace mothrack::balancer::testing
