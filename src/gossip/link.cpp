#include "gossip/link.h"

#include <unistd.h>

#include <algorithm>
#include <array>
#include <utility>
#include <vector>

namespace mothrack::gossip {
namespace {

using nlohmann::json;

TimePoint SteadyNow() { return std::chrono::time_point_cast<Duration>(std::chrono::steady_clock::now()); }

constexpr std::array<const char*, 5> kStateNames = {"", "alive", "suspect", "dead", "left"};

const char* NameOf(MemberState state) {
  return kStateNames[static_cast<std::size_t>(state) % kStateNames.size()];
}
const char* NameOf(Role role) { return role == Role::kAgent ? "agent" : "sidecar"; }

json ToJson(const MembershipUpdate& update) {
  json report = json::object();
  report.emplace("name", update.boot_id.name);
  report.emplace("role", NameOf(update.role));
  report.emplace("state", NameOf(update.state));
  report.emplace("zone", update.zone);
  report.emplace("address", update.address);
  report.emplace("incarnation", update.incarnation);
  return report;
}

json ToJson(const Counts& counts) {
  return {{"sent", counts.sent},
          {"heard", counts.received},
          {"over_rate", counts.rate_limited},
          {"probes", counts.probes},
          {"probes_failed", counts.probes_failed},
          {"indirect", counts.indirect_probes},
          {"refuted", counts.refuted},
          {"suspected", counts.suspected},
          {"died", counts.died},
          {"returned", counts.returned},
          {"news_taken", counts.updates_applied},
          {"news_old", counts.updates_stale},
          {"values_taken", counts.values_applied},
          {"values_old", counts.values_stale},
          {"lapsed", counts.expired},
          {"not_taken", counts.rejected},
          {"digests", counts.digests},
          {"records", counts.records}};
}

}  // namespace

GossipClient::GossipClient(boost::asio::io_context& io, const Settings& settings, const std::string& name,
                           runtime::Logger& log, Task::TurnHook turn_hook)
    : signal_(io) {
  try {
    task_ = std::make_unique<Task>(settings, name, std::move(turn_hook));
    // A duplicate, because the stream descriptor closes the one that it owns.
    const int signal = ::dup(task_->snapshots().descriptor());
    if (signal < 0) throw ResourceError("cannot duplicate an eventfd for the event loop");
    signal_.assign(signal);
    AwaitSnapshot();
  } catch (const ResourceError& e) {
    task_.reset();
    refusal_ = e.what();
    log.Error("peers_refused", {{"cause", refusal_}});
  }
}

std::optional<std::string> GossipClient::local() const {
  if (!task_) return std::nullopt;
  return ToText(task_->local());
}

void GossipClient::AwaitSnapshot() {
  signal_.async_wait(boost::asio::posix::descriptor_base::wait_read,
                     [this](const boost::system::error_code& error) {
                       if (error) return;
                       auto& snapshots = task_->snapshots();
                       snapshots.ClearSignal();
                       // Keep only the latest snapshot. The queue never holds more than
                       // kMaxPendingSnapshots.
                       for (std::size_t i = 0; i < kMaxPendingSnapshots; ++i) {
                         auto snapshot = snapshots.TryPop();
                         if (!snapshot) break;
                         latest_ = std::move(*snapshot);
                       }
                       AwaitSnapshot();
                     });
}

std::optional<Duration> GossipClient::age() const {
  if (!latest_) return std::nullopt;
  return std::max(SteadyNow() - latest_->created_at, Duration(0));
}

void GossipClient::Post(TaskCommand command) {
  if (task_) task_->Post(std::move(command));
}

json GossipClient::Report() const {
  json report = {{"task", !task_                  ? "refused"
                          : task_->failures() > 0 ? "ended"
                                                  : "runs"},
                 {"age_ms", nullptr}};
  if (!refusal_.empty()) report["why"] = refusal_;
  if (task_) report["dropped"] = task_->dropped();
  if (!latest_) return report;
  const MembershipSnapshot& snapshot = *latest_;
  report["age_ms"] = age()->count();
  report["self"] = ToJson(snapshot.self);
  report["health"] = snapshot.health;
  report["alive"] = snapshot.alive;
  report["known"] = snapshot.known;
  std::array<std::size_t, kStateNames.size()> by_state{};
  for (const MemberView& member : snapshot.members) ++by_state[static_cast<std::size_t>(member.update.state)];
  json states = json::object();
  for (std::size_t i = 1; i < kStateNames.size(); ++i) states[kStateNames[i]] = by_state[i];
  report["states"] = std::move(states);
  // List unhealthy members first, because they are what an operator looks for.
  std::vector<const MemberView*> listed;
  for (const MemberView& member : snapshot.members) listed.push_back(&member);
  std::stable_partition(listed.begin(), listed.end(),
                        [](const auto* member) { return member->update.state != MemberState::kAlive; });
  json members = json::array();
  const TimePoint now = SteadyNow();
  for (std::size_t i = 0; i < listed.size() && i < kMaxReportedMembers; ++i) {
    json member = ToJson(listed[i]->update);
    member.emplace("age_ms", std::max(now - listed[i]->since, Duration(0)).count());
    members.push_back(std::move(member));
  }
  report["members"] = std::move(members);
  report["more"] = listed.size() - std::min(listed.size(), kMaxReportedMembers);
  report["values"] = snapshot.values.size();
  json counts = ToJson(snapshot.counts);
  counts["unheard"] = snapshot.unauthenticated;
  counts["unread"] = snapshot.undecodable;
  counts["repeated"] = snapshot.replayed;
  counts["unsent"] = snapshot.send_failures;
  report["counts"] = std::move(counts);
  return report;
}

}  // namespace mothrack::gossip
