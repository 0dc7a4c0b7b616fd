#include "discovery/discovery.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace mothrack::discovery {
namespace {

using balancer::MembershipUpdate;
using boost::system::error_code;
using std::chrono::duration_cast;
using std::chrono::milliseconds;

// Minimum time between the starts of two calls, so that an agent that answers at once is not polled in a busy
// loop. Well below 200 ms, beyond which a watch would no longer follow the answer immediately.
constexpr auto kMinCallInterval = milliseconds(50);
// The wait of a call that returns the changes up to now. The service requires a wait above 0.
constexpr auto kNoWait = milliseconds(1);
constexpr auto kListPath = "/discovery/hosts";

}  // namespace

Discovery::Discovery(boost::asio::io_context& io, runtime::Endpoint endpoint, const PollPolicy& policy,
                     std::uint64_t seed, dispatch::StartTimes& start_times, runtime::Logger& log,
                     OnList on_list)
    : io_(io),
      endpoint_(std::move(endpoint)),
      policy_(policy),
      start_times_(start_times),
      log_(log),
      on_list_(std::move(on_list)),
      timer_(io),
      random_(seed) {}

Discovery::~Discovery() { DropCalls(); }

void Discovery::Start() {
  if (state_ != State::kIdle) return;
  state_ = State::kSynchronizing;
  StartCall();
}

void Discovery::SetEndpoint(runtime::Endpoint endpoint) {
  DropCalls();
  timer_.cancel();
  endpoint_ = std::move(endpoint);
  revision_.reset();  // revisions of different sources are not comparable
  consecutive_failures_ = 0;
  state_ = State::kSynchronizing;
  StartCall();
}

void Discovery::ScheduleCall(runtime::Duration delay) {
  timer_.expires_after(delay);
  timer_.async_wait([this, number = ++timer_number_](error_code error) {
    if (!error && number == timer_number_) StartCall();
  });
}

void Discovery::ScheduleListTimeout(runtime::Duration timeout) {
  timer_.expires_after(timeout);
  timer_.async_wait([this, number = ++timer_number_](error_code error) {
    if (error || number != timer_number_) return;
    // Keep only one late call: a later one would be answered even later.
    if (!late_call_) late_call_ = std::exchange(call_, nullptr);
    Fail({FailedCall::Kind::kTimeout, "no full list within the timeout"});
  });
}

void Discovery::DropCalls() {
  for (const auto& call : {std::exchange(call_, nullptr), std::exchange(late_call_, nullptr)}) {
    if (call) call->Drop();
  }
}

Discovery::CallKind Discovery::NextCallKind() const {
  if (!revision_) return CallKind::kFullList;
  return state_ == State::kFollowing ? CallKind::kWatch : CallKind::kChanges;
}

void Discovery::StartCall() {
  ++timer_number_;
  call_started_ = runtime::Now();
  call_kind_ = NextCallKind();
  ++counts_.calls;
  counts_.full_list_calls += call_kind_ == CallKind::kFullList;
  if (call_ && !call_->reusable()) std::exchange(call_, nullptr)->Drop();
  if (!call_) {
    ListCall::Observer& observer = *this;  // because the base class is private
    call_ = std::make_shared<ListCall>(io_, endpoint_, observer);
  }
  const runtime::Duration timeout = consecutive_failures_ > 0 ? policy_.retry_timeout : policy_.list_timeout;
  if (call_kind_ == CallKind::kFullList) {
    call_->Start(kListPath, std::max(timeout, policy_.late_list_timeout));
    if (policy_.late_list_timeout > timeout) ScheduleListTimeout(timeout);
    return;
  }
  const bool watch = call_kind_ == CallKind::kWatch;
  const runtime::Duration wait = watch ? policy_.WatchWaitAfter(last_answer_had_changes_, Jitter()) : kNoWait;
  call_->Start(std::string(kListPath) + "?index=" + std::to_string(*revision_) +
                   "&wait=" + std::to_string(duration_cast<milliseconds>(wait).count()),
               wait + (watch ? policy_.watch_timeout : timeout));
}

void Discovery::OnBody(ListCall& call, const std::string& body) {
  dispatch::MembershipList list;
  try {
    list = ParseListText(body);
  } catch (const MalformedList& error) {
    return OnError(call, {FailedCall::Kind::kFault, std::string("malformed list: ") + error.what()});
  }
  // Keep the connection that answered first.
  if (&call == late_call_.get()) std::swap(call_, late_call_);
  if (late_call_) std::exchange(late_call_, nullptr)->Drop();
  // An older revision than the known one comes from a source that numbers its lists anew, so the changes in
  // between are unknown.
  if (revision_ && list.revision < *revision_ && list.update.kind == MembershipUpdate::Kind::kChanges) {
    revision_.reset();
    return Fail({FailedCall::Kind::kOutdated,
                 "revision " + std::to_string(list.revision) + " is older than the one held"});
  }
  Accept(std::move(list));
}

void Discovery::Accept(dispatch::MembershipList list) {
  ++(list.update.kind == MembershipUpdate::Kind::kFull ? counts_.full_lists : counts_.change_lists);
  counts_.upstreams += list.update.upstreams.size();
  if (consecutive_failures_ > 0) log_.FreeText("discovery answers again");
  consecutive_failures_ = 0;
  state_ = State::kFollowing;
  last_answer_had_changes_ = !list.update.upstreams.empty();
  revision_ = list.revision;
  ScheduleCall(std::max(runtime::Duration::zero(),
                        runtime::Duration(call_started_ + kMinCallInterval - runtime::Now())));
  start_times_.SetStartTimes(list, runtime::ReadClocks());
  on_list_(std::move(list));
}

void Discovery::OnError(ListCall& call, const CallError& error) {
  // The timeout of this call has already been counted as a failure.
  if (&call == late_call_.get()) return std::exchange(late_call_, nullptr)->Drop();
  Fail(error);
}

// The old list stays in use after a failure. With a shared service its revision is kept too, so that the next
// call requests only the changes since then, which costs the service least. A local agent may have restarted
// and number its lists anew, so its full list is polled, which costs it nothing.
void Discovery::Fail(const CallError& error) {
  if (call_) std::exchange(call_, nullptr)->Drop();
  ++counts_.failed;
  state_ = State::kSynchronizing;
  if (!policy_.on_request) revision_.reset();
  if (consecutive_failures_++ == 0) log_.FreeText("discovery: " + error.cause);
  const FailedCall call{error.kind, call_kind_ == CallKind::kWatch, consecutive_failures_,
                        runtime::Now() - call_started_};
  const runtime::Duration backoff = policy_.BackoffAfter(call, Jitter());
  ScheduleCall(std::max(backoff, runtime::Duration(call_started_ + kMinCallInterval - runtime::Now())));
}

}  // namespace mothrack::discovery
