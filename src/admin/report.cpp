#include "admin/report.h"

#include <unistd.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <filesystem>
#include <fstream>
#include <system_error>
#include <vector>

namespace mothrack::admin {
namespace {

using nlohmann::json;

constexpr std::array<const char*, dispatch::RequestCounters::kOutcomes> kOutcomeNames = {
    "served", "refused", "failed", "late", "left"};

const char* NameOf(balancer::UpstreamState state) {
  switch (state) {
    case balancer::UpstreamState::kServing:
      return "serving";
    case balancer::UpstreamState::kDraining:
      return "draining";
    case balancer::UpstreamState::kGone:
      break;
  }
  return "gone";
}

// Inserts the members one by one. With a braced list, nlohmann::json first builds an array for every pair,
// which was most of the cost of an answer.
json ToJson(const balancer::UpstreamView& view, runtime::TimePoint now, std::int64_t unix_now) {
  json upstream = json::object();
  upstream.emplace("id", view.id.value);
  upstream.emplace("state", NameOf(view.state));
  upstream.emplace("in_flight", view.in_flight);
  upstream.emplace("cold", view.slow_start_factor < 1);
  upstream.emplace("warmth", view.slow_start_factor);
  if (view.ejected_until) {
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(*view.ejected_until - now);
    upstream["ejected"] = {{"until_ms", unix_now + left.count()},
                           {"why", std::to_string(view.ejected_after) + " failures in a row"}};
  }
  return upstream;
}

json Counters(const dispatch::Dispatcher& dispatcher) {
  const balancer::Settings& settings = dispatcher.settings();
  json rows = json::array();
  for (const dispatch::RequestCounters::Row& row : dispatcher.request_counters().rows()) {
    if (row.accepted == 0) continue;
    json counted = {
        {"class", settings.classes[static_cast<std::size_t>(row.request_class)].name},
        {"tenant", row.tenant ? settings.tenants[static_cast<std::size_t>(*row.tenant)].name : ""},
        {"taken", row.accepted}};
    for (std::size_t i = 0; i < kOutcomeNames.size(); ++i) counted[kOutcomeNames[i]] = row.ended[i];
    rows.push_back(std::move(counted));
  }
  return rows;
}

}  // namespace

std::int64_t UnixMilliseconds() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

std::int64_t ResidentBytes() {
  std::int64_t pages = 0;
  std::int64_t resident = 0;
  std::ifstream("/proc/self/statm") >> pages >> resident;
  return resident * ::sysconf(_SC_PAGESIZE);
}

json ProcessReport(std::size_t max_descriptors) {
  std::size_t open = 0;
  std::error_code error;
  for (std::filesystem::directory_iterator fd("/proc/self/fd", error), end; !error && fd != end;
       fd.increment(error)) {
    ++open;
  }
  return {{"pid", ::getpid()},
          {"memory_bytes", ResidentBytes()},
          {"descriptors", open > 0 ? open - 1 : 0},  // without the one of the directory being read
          {"most_descriptors", max_descriptors}};
}

json PoolReport(const std::string& name, const dispatch::Dispatcher& dispatcher, const std::string& after) {
  const runtime::TimePoint now = runtime::Now();
  const std::int64_t unix_now = UnixMilliseconds();
  const auto views = dispatcher.upstreams();
  json upstreams = json::array();
  auto next = std::find_if(views.begin(), views.end(), [&](const auto& v) { return v.id.value > after; });
  for (; next != views.end() && upstreams.size() < kMaxUpstreams; ++next) {
    upstreams.push_back(ToJson(*next, now, unix_now));
  }
  return {{"name", name},
          {"open", dispatcher.open()},
          {"counters", Counters(dispatcher)},
          {"upstreams", std::move(upstreams)},
          {"more", next != views.end()}};
}

json OperatorStats(const dispatch::Dispatcher& dispatcher) {
  struct Sums {
    std::uint64_t answered = 0, deferred = 0, errored = 0, sends = 0;
  };
  const auto& classes = dispatcher.settings().classes;
  std::vector<Sums> sums(classes.size());
  for (const dispatch::RequestCounters::Row& row : dispatcher.request_counters().rows()) {
    Sums& sum = sums[static_cast<std::size_t>(row.request_class)];
    sum.answered += row.Count(dispatch::RequestCounters::Outcome::kServed);
    sum.deferred += row.Count(dispatch::RequestCounters::Outcome::kRejected);
    sum.errored += row.Count(dispatch::RequestCounters::Outcome::kFailed) +
                   row.Count(dispatch::RequestCounters::Outcome::kLate);
    sum.sends += row.sent;
  }
  json transactions = json::object();
  for (std::size_t i = 0; i < classes.size(); ++i) {
    const Sums& sum = sums[i];
    transactions[classes[i].name] = {{"answered", sum.answered},
                                     {"deferred", sum.deferred},
                                     {"errored", sum.errored},
                                     {"sends", sum.sends}};
  }
  const dispatch::UpstreamOverrides& overrides = dispatcher.upstream_overrides();
  std::size_t avoided = 0;
  for (const auto& view : dispatcher.upstreams()) {
    avoided += view.ejected_until.has_value() || overrides.bans().contains(view.id.value);
  }
  return {{"transactions", std::move(transactions)},
          {"current", dispatcher.in_flight()},
          {"cluster_size", overrides.listed()},
          {"cluster_unhealthy", avoided}};
}

}  // namespace mothrack::admin
