// What the balancer keeps of a request, its attempts and the load probes that it waits for.
#pragma once

#include <algorithm>
#include <cstddef>
#include <optional>
#include <vector>

#include "balancer/balancer.h"
#include "balancer/connection_model.h"
#include "balancer/upstream.h"

namespace mothrack::balancer {

struct Attempt {
  UpstreamPtr upstream;
  TimePoint sent;
  bool half_open_probe = false;
  ConnectionUse connection{};
  bool in_flight = false;            // its upstream holds it: it has all of it, and has not begun to answer
  bool started = false;              // its answer has begun
  std::optional<Outcome> outcome{};  // absent while it is out

  // It is out, and its upstream has answered nothing at all since it was sent.
  bool IsUnanswered() const { return !outcome && upstream->in_flight.waiting_since <= sent; }
};

// An upstream that was asked for its load before a call.
struct ProbedUpstream {
  UpstreamPtr upstream;
  bool answered = false;
  std::optional<double> in_flight{};  // calls, as it says
  double served_per_s = 0;            // calls a second, as it says; 0 where it does not
};

struct Request {
  RequestId id{};
  const RequestClass* request_class = nullptr;
  std::size_t class_index = 0;
  Duration latency_objective{};  // an answer within it has its full worth
  TimePoint arrived;
  TimePoint deadline;
  TimePoint late_at;  // unanswered then, it is late against what is usual
  std::vector<Attempt> attempts;
  std::vector<ProbedUpstream> probed;  // while it waits for their reports
  bool ended = false;                  // it has its final answer: nothing more is sent for it
  bool arriving = false;               // its body still comes
  Duration time_allowed{};             // its time, then
  bool streaming = false;              // its answer has begun: it belongs to the client

  bool AnyOut() const {
    return std::any_of(attempts.begin(), attempts.end(), [](const Attempt& a) { return !a.outcome; });
  }
  // Nobody who holds an attempt of it says a word.
  bool IsUnanswered() const {
    return std::all_of(attempts.begin(), attempts.end(),
                       [](const Attempt& a) { return a.outcome || a.IsUnanswered(); });
  }
  // Null where there is no such attempt.
  Attempt* FindAttempt(AttemptId id) {
    const auto i = static_cast<std::size_t>(id);
    return i < attempts.size() ? &attempts[i] : nullptr;
  }
  // An upstream that may be among those asked says its load, or ended without.
  void RecordLoad(const Upstream& u, const LoadReport& load) {
    for (ProbedUpstream& p : probed) {
      if (p.upstream.get() != &u) continue;
      p.answered = true;
      p.in_flight = load.in_flight;
      p.served_per_s = load.rate.value_or(0);
    }
  }
  bool HasAllLoads() const {
    return std::all_of(probed.begin(), probed.end(), [](const ProbedUpstream& p) { return p.answered; });
  }
  // It was sent to this upstream, or has asked it for its load.
  bool HasTried(const Upstream& u) const {
    const auto same = [&u](const auto& a) { return a.upstream.get() == &u; };
    return std::any_of(attempts.begin(), attempts.end(), same) ||
           std::any_of(probed.begin(), probed.end(), same);
  }
};

}  // namespace mothrack::balancer
