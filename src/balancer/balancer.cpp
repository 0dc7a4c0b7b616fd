// Routes each event to Fleet and RequestHandler, in a fixed order.
//
// Fleet holds the state of the upstreams and chooses among them; RequestHandler decides what to do with each
// request. Each of their components makes one kind of decision and does not depend on the others.
// docs/ARCHITECTURE.md lists the components.
#include "balancer/balancer.h"

#include <algorithm>
#include <optional>
#include <utility>

#include "balancer/arithmetic.h"
#include "balancer/context.h"
#include "balancer/fleet.h"
#include "balancer/request_handler.h"
#include "balancer/request_table.h"
#include "balancer/tick.h"

namespace mothrack::balancer {
namespace {

// After a failed membership call, the next one follows within a fifth of `poll_within` or of this interval,
// whichever is shorter. The deployment counts a change as announced 6 s after it could first have been
// polled. The failed call and the next one take up to 2 s each. A fifth of this interval and one tick are the
// other 2 s.
constexpr Duration kMaxPollInterval = std::chrono::milliseconds(8750);
// The delay is a random share of that interval, from this share to twice this share, so that the sidecars do
// not all poll at the same time.
constexpr double kResubscribeShare = 0.1;

}  // namespace

class Balancer::Impl {
 public:
  Impl(Settings settings, std::uint64_t seed)
      : context_(std::move(settings), seed), fleet_(context_), request_handler_(context_, fleet_) {
    context_.settings.Validate();
  }

  void Handle(TimePoint now, const Event& event, std::vector<Action>& actions) {
    context_.BeginEvent(now, actions);
    if (!std::exchange(running_, true)) Start();
    std::visit([this](const auto& e) { Route(e); }, event);
    context_.EndEvent();
  }

  std::vector<UpstreamView> Upstreams(TimePoint now) const { return fleet_.Views(now); }

  Counts CountsNow() const {
    Counts counts = context_.counts;
    counts.in_flight = request_handler_.shedder().in_flight();
    counts.shed = request_handler_.shedder().shed();
    counts.rate = fleet_.usual_rate();
    counts.subset = std::min(fleet_.SubsetSize(), static_cast<double>(fleet_.ranked().size()));
    return counts;
  }

 private:
  void Start() {
    fleet_.Start();
    if (context_.settings.membership_on_request) context_.Emit(Subscribe{});
    SetTickTimer();
  }

  void Route(const MembershipUpdate& update) {
    if (update.kind != MembershipUpdate::Kind::kFailed) return fleet_.UpdateMembership(update);
    if (!context_.settings.membership_on_request) return;
    // The subscription to the endpoint list failed. An immediate new subscription would add to the load that
    // may have caused the failure.
    const Duration interval = std::min(context_.settings.rules.poll_within, kMaxPollInterval);
    const double share = kResubscribeShare + kResubscribeShare * context_.random.Uniform();
    subscribe_at_ = context_.now + Scaled(interval, share);
  }

  void Route(const TimerFired& event) {
    if (event.token != kTickToken) return request_handler_.HandleTimer(event.token);
    SetTickTimer();
    fleet_.RecordTick(request_handler_.shedder().weights());
    request_handler_.RecordTick();
    request_handler_.LogEndOfRejections();
    fleet_.EndExpiredEjections();
    if (subscribe_at_ && context_.now >= *subscribe_at_) {
      subscribe_at_.reset();
      context_.Emit(Subscribe{});
    }
  }

  // The events of requests and load probes.
  template <typename RequestEvent>
  void Route(const RequestEvent& event) {
    request_handler_.Handle(event);
  }

  void SetTickTimer() { context_.Emit(SetTimer{context_.now + kTickInterval, kTickToken}); }

  Context context_;
  Fleet fleet_;
  RequestHandler request_handler_;
  bool running_ = false;
  std::optional<TimePoint> subscribe_at_;  // the time of the next Subscribe after a failed membership call
};

Balancer::Balancer(Settings settings, std::uint64_t seed)
    : impl_(std::make_unique<Impl>(std::move(settings), seed)) {}
Balancer::~Balancer() = default;
Balancer::Balancer(Balancer&&) noexcept = default;
Balancer& Balancer::operator=(Balancer&&) noexcept = default;

void Balancer::handle(TimePoint now, const Event& event, std::vector<Action>& actions) {
  impl_->Handle(now, event, actions);
}

Counts Balancer::counts() const { return impl_->CountsNow(); }

std::vector<UpstreamView> Balancer::upstreams(TimePoint now) const { return impl_->Upstreams(now); }

}  // namespace mothrack::balancer
