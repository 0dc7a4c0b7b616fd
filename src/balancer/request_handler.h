// The request handler: decides about a request from its arrival to its final answer.
//
// Each request is admitted or rejected, sent, retried or hedged if that helps and is allowed, and gets
// exactly one final answer: that of an attempt, a Reject or a Fail.
#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include "balancer/balancer.h"
#include "balancer/context.h"
#include "balancer/fleet.h"
#include "balancer/load_probes.h"
#include "balancer/load_shedder.h"
#include "balancer/request.h"
#include "balancer/request_table.h"
#include "balancer/retry_policy.h"

namespace mothrack::balancer {

class RequestHandler {
 public:
  RequestHandler(Context& context, Fleet& fleet);

  // The events of a request, as events.h defines them.
  void Handle(const RequestArrived& event);
  void Handle(const RequestComplete& event);
  void Handle(const AnswerStarted& event);
  void Handle(const AttemptEnded& event);
  void Handle(const ClientDisconnected& event);
  void Handle(const ProbeEnded& event);
  void HandleTimer(std::uint64_t token);
  void RecordTick() { shedder_.RecordTick(fleet_.SumWeights()); }
  // Logs the end of an interval of rejections if it has just ended.
  void LogEndOfRejections();

  const LoadShedder& shedder() const { return shedder_; }

 private:
  enum class Reason { kRequest, kHedge, kHalfOpenProbe };

  void Advance(Request& request);
  bool IsAdmitted(const Request& request);
  void RecordRejection(const std::string& why);
  bool SendOrProbe(Request& request);
  void ChooseByLoad(Request& request);
  void SendTo(Request& request, const UpstreamPtr& upstream, Reason reason);
  bool SendHalfOpenProbe(Request& request);
  void Hedge(Request& request);
  void ScheduleHedge(Request& request);
  void SetRequestTimer(const Request& request, TimePoint at);
  void RecordInFlight(Attempt& attempt);
  void RecordReleased(Attempt& attempt);
  void RecordLateness(const Request& request, const Attempt& attempt, Outcome outcome, Duration elapsed);
  void Finish(Request& request);
  void End(Request& request);
  void Cancel(const Request& request, std::size_t attempt);

  Context& context_;
  Fleet& fleet_;
  RequestTable requests_;
  RetryPolicy retries_;
  LoadProbes probes_;
  LoadShedder shedder_;
  std::vector<Duration> usual_times_;  // scratch space, a member only to reuse its memory
};

}  // namespace mothrack::balancer
