// The clients of a SimulationRun: arrivals, requests to the sidecars, retries and results.
#include <algorithm>
#include <cmath>
#include <utility>

#include "simulation/simulation_run_state.h"

namespace mothrack::simulation {
namespace {

// Seconds after which the next arrival is drawn again if none was due, because the rate may have changed.
constexpr double kMaxArrivalWait = 0.25;
// Retries that a client which disconnects early makes in addition to Scenario::retries.
constexpr int kImpatientRetries = 2;
// InjectedFault::kDroppedAnswer drops the answer to one in this many requests.
constexpr std::uint64_t kDroppedAnswerEvery = 997;

RequestOutcome RequestOutcomeOf(const dispatch::FinalAnswer& final) {
  switch (final.kind) {
    case dispatch::FinalAnswer::Kind::kServed:
      return RequestOutcome::kServed;
    case dispatch::FinalAnswer::Kind::kRejected:
      return RequestOutcome::kRefused;
    case dispatch::FinalAnswer::Kind::kFailed:
      break;
  }
  return RequestOutcome::kFailed;
}

}  // namespace

double SimulationRun::LoadFactor() const {
  const double now_s = InSeconds(runtime::TimePoint(sim_.now() - kEpoch));
  return burst_factor_ * (1 + scenario_.wave * std::sin(6.283185307179586 * now_s / scenario_.wave_s));
}

void SimulationRun::ScheduleNextArrival(Sidecar& sidecar) {
  const double rate = sidecar.rate * sidecar.rate_factor * LoadFactor();
  const double wait = sidecar.random.Exponential(1 / std::max(rate, 1e-9));
  sim_.After(SecondsOf(std::min(wait, kMaxArrivalWait)),
             [this, &sidecar, wait, incarnation = std::weak_ptr(sidecar.incarnation)] {
               if (incarnation.expired() || !sidecar.open) return;
               if (wait <= kMaxArrivalWait) BeginClientRequest(sidecar);
               ScheduleNextArrival(sidecar);
             });
}

std::size_t SimulationRun::DrawClass() {
  double draw = 0;
  for (const ClassLoad& class_load : scenario_.classes) draw += class_load.share;
  draw *= arrivals_.Uniform();
  std::size_t cls = 0;
  while (cls + 1 < scenario_.classes.size() && draw >= scenario_.classes[cls].share) {
    draw -= scenario_.classes[cls++].share;
  }
  return cls;
}

void SimulationRun::BeginClientRequest(Sidecar& sidecar) {
  const std::size_t cls = DrawClass();
  const ClassLoad& class_load = scenario_.classes[cls];
  auto pending = std::make_shared<PendingClientRequest>();
  pending->number = ++last_client_request_;
  pending->cls = cls;
  pending->requested_at = sim_.now();
  pending->until = sim_.now() + Milliseconds(class_load.deadline_ms);
  pending->work = class_load.work_ms * arrivals_.LogNormal(class_load.work_cv);
  pending->impatient = impatient_share_ > 0 && arrivals_.Chance(impatient_share_);
  const double retries = scenario_.retries;
  pending->max_client_attempts =
      1 + static_cast<int>(retries) + (arrivals_.Chance(retries - std::floor(retries)) ? 1 : 0);
  if (pending->impatient) pending->max_client_attempts += kImpatientRetries;
  sidecar.pending_requests[pending->number] = pending;
  SimulationEvent event;
  event.kind = SimulationEvent::Kind::kRequested;
  event.request = pending->number;
  event.cls = cls;
  Record(event);
  SendRequest(sidecar, pending);
}

void SimulationRun::SendRequest(Sidecar& sidecar, std::shared_ptr<PendingClientRequest> pending) {
  ++pending->client_attempts;
  const std::uint64_t request = ++last_request_;
  ++accepted_;
  auto client_request = std::make_shared<ClientRequest>();
  client_request->request = request;
  client_request->cls = pending->cls;
  client_request->work = pending->work;
  SimulationEvent event;
  event.kind = SimulationEvent::Kind::kAccepted;
  event.sidecar = sidecar.id;
  event.request = request;
  event.cls = pending->cls;
  event.until = pending->until;
  Record(event);
  dispatch::NewRequest new_request;
  new_request.request_class = balancer::ClassId{pending->cls};
  new_request.deadline = pending->until;
  new_request.message = client_request;
  new_request.on_final = [this, &sidecar, pending, request](dispatch::FinalAnswer final) {
    OnFinalAnswer(sidecar, pending, request, final);
  };
  const auto id = sidecar.dispatcher->Submit(std::move(new_request));
  if (!pending->impatient || !id) return;
  // The client disconnects at a third of its latency objective and retries at once.
  const runtime::Duration leaves_after =
      Milliseconds(scenario_.classes[pending->cls].latency_objective_ms / 3);
  const int client_attempts = pending->client_attempts;
  sim_.After(leaves_after, [this, &sidecar, request, id, client_attempts,
                            incarnation = std::weak_ptr(sidecar.incarnation), pending = std::move(pending)] {
    if (incarnation.expired() || !sidecar.pending_requests.contains(pending->number) ||
        pending->client_attempts != client_attempts)
      return;
    if (pending->client_attempts >= pending->max_client_attempts) return;
    SimulationEvent left;
    left.kind = SimulationEvent::Kind::kClientLeft;
    left.sidecar = sidecar.id;
    left.request = request;
    Record(left);
    sidecar.dispatcher->OnClientDisconnected(*id);
    SendRequest(sidecar, pending);
  });
}

void SimulationRun::OnFinalAnswer(Sidecar& sidecar, const std::shared_ptr<PendingClientRequest>& pending,
                                  std::uint64_t request, const dispatch::FinalAnswer& final) {
  if (injected_fault_ == InjectedFault::kDroppedAnswer && request % kDroppedAnswerEvery == 0) return;
  SimulationEvent event;
  event.kind = SimulationEvent::Kind::kAnswered;
  event.sidecar = sidecar.id;
  event.request = request;
  event.cls = pending->cls;
  event.request_outcome = RequestOutcomeOf(final);
  Record(event);
  const bool may_retry = event.request_outcome != RequestOutcome::kServed &&
                         pending->client_attempts < pending->max_client_attempts &&
                         (event.request_outcome == RequestOutcome::kRefused ||
                          scenario_.classes[pending->cls].effect == balancer::Effect::kSafe);
  runtime::Duration wait =
      Milliseconds(scenario_.backoff_ms * (0.5 + sidecar.random.Uniform()) * pending->client_attempts);
  wait = std::max(wait, final.retry_after);
  if (!may_retry || sim_.now() + wait >= pending->until) {
    RecordResolved(*pending, event.request_outcome);
    sidecar.pending_requests.erase(pending->number);
    return;
  }
  sim_.After(wait, [this, &sidecar, pending, incarnation = std::weak_ptr(sidecar.incarnation)] {
    if (!incarnation.expired()) SendRequest(sidecar, pending);
  });
}

void SimulationRun::RecordResolved(const PendingClientRequest& pending, RequestOutcome request_outcome) {
  SimulationEvent event;
  event.kind = SimulationEvent::Kind::kResolved;
  event.request = pending.number;
  event.cls = pending.cls;
  event.request_outcome = request_outcome;
  event.late =
      sim_.now() > pending.requested_at + Milliseconds(scenario_.classes[pending.cls].latency_objective_ms);
  Record(event);
}

}  // namespace mothrack::simulation
