#include "sidecar/counter_logger.h"

#include <array>
#include <cmath>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>

#include "admin/report.h"

namespace mothrack::sidecar {
namespace {

using nlohmann::json;

// Bounds the length of a line: further upstreams are left out.
constexpr std::size_t kMaxUpstreamsNamed = 200;
// Names of the outcomes in the line, in the order of balancer::Outcome.
constexpr std::array<const char*, balancer::kOutcomes> kOutcomeNames = {
    "served", "error", "full", "timeout", "noconn", "reset", "cancelled", "unsent"};

// A counter and its name in the line, which tools/fleet_counts.py reads.
template <typename Counts>
using Named = std::pair<const char*, std::uint64_t Counts::*>;
using DecisionCounts = balancer::Counts;
constexpr Named<DecisionCounts> kDecisions[] = {
    {"first", &DecisionCounts::first},       {"retries", &DecisionCounts::retries},
    {"copies", &DecisionCounts::hedges},     {"trials", &DecisionCounts::half_open_probes},
    {"connects", &DecisionCounts::connects}, {"cold", &DecisionCounts::slow_start},
    {"overload", &DecisionCounts::overload}, {"nobody", &DecisionCounts::no_upstream},
    {"given_up", &DecisionCounts::given_up}, {"ejected", &DecisionCounts::ejected},
    {"returned", &DecisionCounts::returned}};
using ConnectionCounts = http::HttpTransport::Counts;
constexpr Named<ConnectionCounts> kConnections[] = {
    {"opened", &ConnectionCounts::opened},        {"never_up", &ConnectionCounts::failed},
    {"closed", &ConnectionCounts::closed},        {"evicted", &ConnectionCounts::evicted},
    {"probes", &ConnectionCounts::probes},        {"unsound_answers", &ConnectionCounts::unsound},
    {"idle_bytes", &ConnectionCounts::idle_bytes}};
using DiscoveryCounts = discovery::Discovery::Counts;
constexpr Named<DiscoveryCounts> kDiscovery[] = {
    {"calls", &DiscoveryCounts::calls},          {"whole_asked", &DiscoveryCounts::full_list_calls},
    {"calls_failed", &DiscoveryCounts::failed},  {"lists", &DiscoveryCounts::full_lists},
    {"changes", &DiscoveryCounts::change_lists}, {"lines", &DiscoveryCounts::upstreams}};

// The name of a counter of clients: the prefix and a reason.
template <typename Reason>
std::string NameOf(const char* prefix, std::size_t reason) {
  return prefix + std::string(http::LogNameOf(static_cast<Reason>(reason)));
}

double Rounded(double value) { return std::round(value * 100) / 100; }

// Adds the increments of the counters that grew since the previous line.
class CounterDelta {
 public:
  explicit CounterDelta(json& line) : line_(line) {}
  void Put(const std::string& name, std::uint64_t now, std::uint64_t before) {
    if (now != before) line_[name] = now - before;
  }
  template <typename Counts, std::size_t kCount>
  void PutAll(const Named<Counts> (&names)[kCount], const Counts& now, const Counts& before) {
    for (const auto& [name, count] : names) Put(name, now.*count, before.*count);
  }

 private:
  json& line_;
};

}  // namespace

CounterLogger::CounterLogger(boost::asio::io_context& io, runtime::Duration interval, const Sidecar& sidecar,
                             runtime::Logger& log)
    : interval_(interval), sidecar_(sidecar), log_(log), timer_(io) {
  Schedule();
}

void CounterLogger::Schedule() {
  timer_.expires_after(interval_);
  timer_.async_wait([this](const boost::system::error_code& error) {
    if (error) return;
    Write();
    Schedule();
  });
}

void CounterLogger::Write() {
  json line;
  PutDecisions(line);
  PutConnections(line);
  PutMemory(line);
  PutUpstreams(line);
  log_.CounterLine("counts " + line.dump());
}

void CounterLogger::PutDecisions(json& line) {
  const DecisionCounts decisions = sidecar_.dispatcher().counts();
  CounterDelta delta(line);
  delta.PutAll(kDecisions, decisions, decisions_);
  for (std::size_t i = 0; i < kOutcomeNames.size(); ++i) {
    delta.Put(kOutcomeNames[i], decisions.ended[i], decisions_.ended[i]);
  }
  line["held"] = decisions.in_flight;
  if (decisions.shed > 0) line["shed"] = Rounded(decisions.shed);
  line["rate"] = Rounded(decisions.rate);
  line["subset"] = Rounded(decisions.subset);
  decisions_ = decisions;
}

void CounterLogger::PutConnections(json& line) {
  CounterDelta delta(line);
  const ConnectionCounts connections = sidecar_.transport().counts();
  delta.PutAll(kConnections, connections, connections_);
  connections_ = connections;
  const http::ClientLog::Counts clients = sidecar_.client_counts();
  for (std::size_t i = 0; i < http::kRejections; ++i) {
    delta.Put(NameOf<http::Rejection>("rejected_", i), clients.rejected[i], clients_.rejected[i]);
  }
  for (std::size_t i = 0; i < http::kCloseReasons; ++i) {
    delta.Put(NameOf<http::CloseReason>("closed_", i), clients.closed[i], clients_.closed[i]);
  }
  clients_ = clients;
  const DiscoveryCounts discovery = sidecar_.discovery().counts();
  delta.PutAll(kDiscovery, discovery, discovery_);
  discovery_ = discovery;
}

// Writes the bytes that the budget for messages counts, how often it denied a reservation, and the resident
// bytes of the whole process. If the last grows without the first, something holds bytes that no budget
// counts.
void CounterLogger::PutMemory(json& line) {
  const runtime::MemoryBudget& memory = sidecar_.memory();
  line["memory"] = memory.used();
  line["resident"] = admin::ResidentBytes();
  CounterDelta(line).Put("memory_denied", memory.denied(), memory_denied_);
  memory_denied_ = memory.denied();
}

// Writes one array per upstream: the attempts since the previous line, those of them that ended without an
// answer, the attempts in flight, the idle connections, and the slow start factor.
void CounterLogger::PutUpstreams(json& line) {
  std::map<std::string, Attempts> attempts;
  json upstreams = json::object();
  int ejected = 0;
  int in_slow_start = 0;
  int listed = 0;
  for (const balancer::UpstreamView& view : sidecar_.dispatcher().upstreams()) {
    listed += view.state == balancer::UpstreamState::kServing;
    ejected += view.ejected_until.has_value();
    in_slow_start += view.slow_start_factor < 1;
    attempts[view.id.value] = {view.sent, view.unanswered};
    const auto before = attempts_.find(view.id.value);
    // The counters of a new process start from zero.
    const bool same_process = before != attempts_.end() && before->second.sent <= view.sent;
    const std::uint64_t sent = view.sent - (same_process ? before->second.sent : 0);
    const std::uint64_t unanswered = view.unanswered - (same_process ? before->second.unanswered : 0);
    if (sent == 0 && view.in_flight == 0 && view.idle == 0) continue;
    if (upstreams.size() >= kMaxUpstreamsNamed) continue;
    upstreams[view.id.value] = {sent, unanswered, view.in_flight, view.idle, Rounded(view.slow_start_factor)};
  }
  attempts_ = std::move(attempts);
  line["listed"] = listed;
  if (ejected > 0) line["avoided"] = ejected;
  if (in_slow_start > 0) line["cold_listed"] = in_slow_start;
  line["to"] = std::move(upstreams);
}

}  // namespace mothrack::sidecar
