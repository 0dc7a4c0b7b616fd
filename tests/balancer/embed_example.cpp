// A minimal sidecar: passes events to the balancer and carries out the returned actions. README.md shows it.
#include <cstdio>
#include <variant>
#include <vector>

#include "balancer/balancer.h"

using namespace std::chrono_literals;

// Prints the actions; a real sidecar would use its sockets and timers here. The actions that are not named
// are left out for brevity.
struct CarryOut {
  void operator()(const mothrack::balancer::SendAttempt& a) {
    std::printf("send to %s\n", a.upstream.value.c_str());
  }
  void operator()(const mothrack::balancer::Reject&) { std::printf("refuse\n"); }
  void operator()(const mothrack::balancer::Fail&) { std::printf("fail\n"); }
  void operator()(const mothrack::balancer::Log& a) { std::printf("log: %s\n", a.text.c_str()); }
  template <typename Other>
  void operator()(const Other&) {}
};

int main() {
  mothrack::balancer::Settings settings;
  settings.classes.push_back({.name = "lookup",
                              .latency_objective = 200ms,
                              .deadline = 1s,
                              .effect = mothrack::balancer::Effect::kSafe});
  mothrack::balancer::Balancer balancer(settings, /*seed=*/42);

  std::vector<mothrack::balancer::Action> actions;
  mothrack::balancer::TimePoint now{1s};  // from the sidecar's own monotonic clock
  mothrack::balancer::MembershipUpdate list;
  list.kind = mothrack::balancer::MembershipUpdate::Kind::kRestored;
  list.upstreams.push_back({.id = {"10.0.0.1:80"}});
  list.upstreams.push_back({.id = {"10.0.0.2:80"}});
  balancer.handle(now, list, actions);
  balancer.handle(
      now,
      mothrack::balancer::RequestArrived{.request = mothrack::balancer::RequestId{1}, .deadline = now + 1s},
      actions);

  CarryOut carry_out;
  bool sent = false;
  for (const mothrack::balancer::Action& action : actions) {
    std::visit(carry_out, action);
    sent = sent || std::holds_alternative<mothrack::balancer::SendAttempt>(action);
  }
  return sent ? 0 : 1;
}
