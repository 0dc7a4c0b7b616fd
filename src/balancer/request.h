// The record of one request: its attempts, and the load probes that it waits for.
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
  bool in_flight = false;            // the upstream has all of the request and has not begun to answer
  bool started = false;              // its answer has begun
  bool request_incomplete = false;   // see AttemptEnded
  std::optional<Outcome> outcome{};  // absent while the attempt has not ended

  // Whether it has not ended and its upstream has answered no attempt at all since this one was sent.
  bool IsUnanswered() const { return !outcome && upstream->in_flight.waiting_since <= sent; }
};

// What the end of an attempt says about its upstream's latency.
struct AnswerTiming {
  Outcome outcome{};
  Duration elapsed{};
};

// An upstream that was sent a load probe on behalf of a request.
struct ProbedUpstream {
  UpstreamPtr upstream;
  bool answered = false;
  std::optional<double> in_flight{};  // requests, as reported
  double served_per_s = 0;            // requests per second, as reported; 0 if it did not report
};

struct Request {
  RequestId id{};
  const RequestClass* request_class = nullptr;
  std::size_t class_index = 0;
  Duration latency_objective{};  // an answer within it has its full priority weight
  TimePoint arrived;
  TimePoint deadline;
  TimePoint late_at;  // when it becomes late compared to the usual answer time of its class
  std::vector<Attempt> attempts;
  std::vector<ProbedUpstream> probed;  // the upstreams whose load reports it waits for
  bool ended = false;                  // it has its final answer: no further attempt is made
  bool arriving = false;               // its body is still being received
  Duration time_allowed{};             // while arriving: the time it will have once complete
  bool streaming = false;              // a streamed answer to the client has begun

  bool HasPendingAttempt() const {
    return std::any_of(attempts.begin(), attempts.end(),
                       [](const Attempt& attempt) { return !attempt.outcome; });
  }
  // Whether no upstream with a pending attempt of this request has answered anything since the attempt was
  // sent.
  bool IsUnanswered() const {
    return std::all_of(attempts.begin(), attempts.end(),
                       [](const Attempt& attempt) { return attempt.outcome || attempt.IsUnanswered(); });
  }
  // Null if there is no such attempt.
  Attempt* FindAttempt(AttemptId id) {
    const auto index = static_cast<std::size_t>(id);
    return index < attempts.size() ? &attempts[index] : nullptr;
  }
  // Records the report with which a load probe of the upstream ended. No effect if this request does not wait
  // for it.
  void RecordLoad(const Upstream& upstream, const LoadReport& load) {
    for (ProbedUpstream& probe : probed) {
      if (probe.upstream.get() != &upstream) continue;
      probe.answered = true;
      probe.in_flight = load.in_flight;
      probe.served_per_s = load.rate.value_or(0);
    }
  }
  bool HasAllLoadReports() const {
    return std::all_of(probed.begin(), probed.end(),
                       [](const ProbedUpstream& probe) { return probe.answered; });
  }
  // Whether it was sent to this upstream or waits for its load report.
  bool HasTried(const Upstream& upstream) const {
    const auto same = [&upstream](const auto& entry) { return entry.upstream.get() == &upstream; };
    return std::any_of(attempts.begin(), attempts.end(), same) ||
           std::any_of(probed.begin(), probed.end(), same);
  }
};

}  // namespace mothrack::balancer
