#include "sidecar/counter_logger.h"

#include <array>
#include <cmath>
#include <nlohmann/json.hpp>
#include <utility>

namespace mothrack::sidecar {
namespace {

using nlohmann::json;

// Of upstreams, those that were sent most are named: a line must not grow with the list without end.
constexpr std::size_t kMostNamed = 200;
constexpr std::array<const char*, 8> kOutcomes = {"served", "error", "full",      "timeout",
                                                  "noconn", "reset", "cancelled", "unsent"};

// The counts by their names in the line.
template <typename Counts>
using Named = std::pair<const char*, std::uint64_t Counts::*>;
using Decided = balancer::Counts;
constexpr Named<Decided> kDecided[] = {
    {"first", &Decided::first},       {"retries", &Decided::retries},
    {"copies", &Decided::hedges},     {"trials", &Decided::half_open_probes},
    {"connects", &Decided::connects}, {"cold", &Decided::cold},
    {"overload", &Decided::overload}, {"nobody", &Decided::nobody},
    {"given_up", &Decided::given_up}, {"ejected", &Decided::ejected},
    {"returned", &Decided::returned}};
using Connections = http::HttpTransport::Counts;
constexpr Named<Connections> kConnections[] = {{"opened", &Connections::opened},
                                               {"never_up", &Connections::failed},
                                               {"closed", &Connections::closed},
                                               {"evicted", &Connections::evicted},
                                               {"probes", &Connections::probes}};
using Asked = discovery::Discovery::Counts;
constexpr Named<Asked> kDiscovery[] = {{"calls", &Asked::calls},         {"whole_asked", &Asked::whole_asked},
                                       {"calls_failed", &Asked::failed}, {"lists", &Asked::whole},
                                       {"changes", &Asked::changes},     {"lines", &Asked::lines}};

double Rounded(double value) { return std::round(value * 100) / 100; }

// What is not zero, since the last time.
class Since {
 public:
  explicit Since(json& line) : line_(line) {}
  void Put(const char* name, std::uint64_t now, std::uint64_t before) {
    if (now != before) line_[name] = now - before;
  }

 private:
  json& line_;
};

}  // namespace

CounterLogger::CounterLogger(boost::asio::io_context& io, runtime::Duration every, const Sidecar& sidecar,
                             runtime::Logger& log)
    : every_(every), sidecar_(sidecar), log_(log), timer_(io) {
  Schedule();
}

void CounterLogger::Schedule() {
  timer_.expires_after(every_);
  timer_.async_wait([this](const boost::system::error_code& error) {
    if (error) return;
    Write();
    Schedule();
  });
}

void CounterLogger::Write() {
  const balancer::Counts decided = sidecar_.dispatcher().counts();
  json line;
  Since since_last(line);
  for (const auto& [name, count] : kDecided) since_last.Put(name, decided.*count, decided_.*count);
  for (std::size_t i = 0; i < kOutcomes.size(); ++i) {
    since_last.Put(kOutcomes[i], decided.ended[i], decided_.ended[i]);
  }
  line["held"] = decided.held;
  if (decided.shed > 0) line["shed"] = Rounded(decided.shed);
  line["rate"] = Rounded(decided.rate);
  line["subset"] = Rounded(decided.subset);
  decided_ = decided;

  const http::HttpTransport::Counts connections = sidecar_.transport().counts();
  for (const auto& [name, count] : kConnections)
    since_last.Put(name, connections.*count, connections_.*count);
  connections_ = connections;

  const discovery::Discovery::Counts discovery = sidecar_.discovery().counts();
  for (const auto& [name, count] : kDiscovery) since_last.Put(name, discovery.*count, discovery_.*count);
  discovery_ = discovery;

  // By upstream: attempts since, those that ended without an answer, calls held, connections that wait,
  // warmth; and whether it is avoided.
  std::map<std::string, std::pair<std::uint64_t, std::uint64_t>> sent;
  json upstreams = json::object();
  int avoided = 0, cold = 0, listed = 0;
  for (const balancer::UpstreamView& view : sidecar_.dispatcher().upstreams()) {
    listed += view.state == balancer::UpstreamState::kServing;
    avoided += view.ejected_until.has_value();
    cold += view.slow_start_factor < 1;
    sent[view.id.value] = {view.sent, view.unanswered};
    const auto before = sent_.find(view.id.value);
    // A new process of it counts from nothing.
    const bool same = before != sent_.end() && before->second.first <= view.sent;
    const std::uint64_t since = view.sent - (same ? before->second.first : 0);
    const std::uint64_t unanswered = view.unanswered - (same ? before->second.second : 0);
    if (since == 0 && view.in_flight == 0 && view.idle == 0) continue;
    if (upstreams.size() >= kMostNamed) continue;
    upstreams[view.id.value] = {since, unanswered, view.in_flight, view.idle,
                                Rounded(view.slow_start_factor)};
  }
  sent_ = std::move(sent);
  line["listed"] = listed;
  if (avoided > 0) line["avoided"] = avoided;
  if (cold > 0) line["cold_listed"] = cold;
  line["to"] = std::move(upstreams);
  log_.Figures("counts " + line.dump());
}

}  // namespace mothrack::sidecar
