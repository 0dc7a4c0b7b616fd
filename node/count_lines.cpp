#include "count_lines.h"

#include <array>
#include <cmath>
#include <nlohmann/json.hpp>
#include <utility>

namespace mothrack {
namespace {

using nlohmann::json;

// Of upstreams, those that were sent most are named: a line must not grow with the list without end.
constexpr std::size_t kMostNamed = 200;
constexpr std::array<const char*, 8> kOutcomes = {"served", "error",     "full",     "timeout",
                                                  "noconn", "reset", "cancelled", "unsent"};

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

CountLines::CountLines(boost::asio::io_context& io, Duration every, const Sidecar& sidecar, Logger& log)
    : every_(every), sidecar_(sidecar), log_(log), timer_(io) {
  Schedule();
}

void CountLines::Schedule() {
  timer_.expires_after(every_);
  timer_.async_wait([this](const boost::system::error_code& error) {
    if (error) return;
    Write();
    Schedule();
  });
}

void CountLines::Write() {
  const kestrellb::Counts decided = sidecar_.dispatcher().counts();
  json line;
  Since attempts(line);
  attempts.Put("first", decided.first, decided_.first);
  attempts.Put("retries", decided.retries, decided_.retries);
  attempts.Put("copies", decided.copies, decided_.copies);
  attempts.Put("trials", decided.trials, decided_.trials);
  attempts.Put("connects", decided.connects, decided_.connects);
  attempts.Put("cold", decided.cold, decided_.cold);
  attempts.Put("overload", decided.overload, decided_.overload);
  attempts.Put("nobody", decided.nobody, decided_.nobody);
  attempts.Put("given_up", decided.given_up, decided_.given_up);
  attempts.Put("ejected", decided.ejected, decided_.ejected);
  attempts.Put("returned", decided.returned, decided_.returned);
  for (std::size_t i = 0; i < kOutcomes.size(); ++i) {
    attempts.Put(kOutcomes[i], decided.ended[i], decided_.ended[i]);
  }
  line["held"] = decided.held;
  if (decided.shed > 0) line["shed"] = Rounded(decided.shed);
  line["rate"] = Rounded(decided.rate);
  line["subset"] = Rounded(decided.subset);
  decided_ = decided;

  const HttpTransport::Counts connections = sidecar_.transport().counts();
  attempts.Put("opened", connections.opened, connections_.opened);
  attempts.Put("never_up", connections.failed, connections_.failed);
  attempts.Put("closed", connections.closed, connections_.closed);
  attempts.Put("evicted", connections.evicted, connections_.evicted);
  attempts.Put("probes", connections.probes, connections_.probes);
  connections_ = connections;

  const Discovery::Counts discovery = sidecar_.discovery().counts();
  attempts.Put("calls", discovery.calls, discovery_.calls);
  attempts.Put("whole_asked", discovery.whole_asked, discovery_.whole_asked);
  attempts.Put("calls_failed", discovery.failed, discovery_.failed);
  attempts.Put("lists", discovery.whole, discovery_.whole);
  attempts.Put("changes", discovery.changes, discovery_.changes);
  attempts.Put("lines", discovery.lines, discovery_.lines);
  discovery_ = discovery;

  // By upstream: attempts since, those that ended without an answer, calls held, connections that wait, warmth; and whether it is avoided.
  std::map<std::string, std::pair<std::uint64_t, std::uint64_t>> sent;
  json upstreams = json::object();
  int avoided = 0, cold = 0, listed = 0;
  for (const kestrellb::UpstreamView& view : sidecar_.dispatcher().upstreams()) {
    listed += view.state == kestrellb::UpstreamState::kServing;
    avoided += view.ejected_until.has_value();
    cold += view.warmth < 1;
    sent[view.id.value] = {view.sent, view.unanswered};
    const auto before = sent_.find(view.id.value);
    // A new process of it counts from nothing.
    const bool same = before != sent_.end() && before->second.first <= view.sent;
    const std::uint64_t since = view.sent - (same ? before->second.first : 0);
    const std::uint64_t unanswered = view.unanswered - (same ? before->second.second : 0);
    if (since == 0 && view.in_flight == 0 && view.idle == 0) continue;
    if (upstreams.size() >= kMostNamed) continue;
    upstreams[view.id.value] = {since, unanswered, view.in_flight, view.idle, Rounded(view.warmth)};
  }
  sent_ = std::move(sent);
  line["listed"] = listed;
  if (avoided > 0) line["avoided"] = avoided;
  if (cold > 0) line["cold_listed"] = cold;
  line["to"] = std::move(upstreams);
  log_.Figures("counts " + line.dump());
}

}  // namespace mothrack
