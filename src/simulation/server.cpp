#include "simulation/server.h"

#include <algorithm>

namespace mothrack::simulation {

Server::Server(Simulator& sim, const Scenario& scenario, Random random, double speed)
    : sim_(sim), scenario_(scenario), random_(random), speed_(speed) {
  next_pause_ = sim_.now() + SecondsOf(random_.Exponential(scenario_.pause_every_s));
}

double Server::slow_start_factor() const {
  if (!ever_booted_ || scenario_.slow_start_s <= 0) return 1;
  const double elapsed_share = InSeconds(sim_.now() - booted_) / scenario_.slow_start_s;
  return std::min(
      1.0, scenario_.slow_start_initial_share + (1 - scenario_.slow_start_initial_share) * elapsed_share);
}

bool Server::Accept(Job job) {
  const auto max_calls = static_cast<std::size_t>(scenario_.cores * (1 + scenario_.queue_per_core));
  if (draining_ || in_flight() >= max_calls) return false;
  queue_.push_back(std::move(job));
  StartQueued();
  return true;
}

void Server::StartQueued() {
  while (!queue_.empty() && static_cast<double>(running_.size()) < scenario_.cores) {
    Job job = std::move(queue_.front());
    queue_.pop_front();
    const double load = static_cast<double>(in_flight() + 1) / scenario_.cores;
    const double thrash_factor =
        1 + scenario_.thrash * std::max(0.0, load / std::max(scenario_.thrash_at, 1e-9) - 1);
    double service_ms = job.work / (speed_ * slow_start_factor()) * slowdown_ * thrash_factor;
    if (scenario_.pause_ms > 0 && sim_.now() >= next_pause_) {
      service_ms += scenario_.pause_ms;
      next_pause_ = sim_.now() + SecondsOf(random_.Exponential(scenario_.pause_every_s));
    }
    const bool fails = random_.Chance(std::max(injected_error_rate_, scenario_.error_rate));
    const std::uint64_t id = job.id;
    if (job.on_started) job.on_started();
    running_.emplace(id, std::move(job));
    sim_.After(Milliseconds(service_ms), [this, id, fails, incarnation = incarnation_] {
      if (incarnation != incarnation_) return;
      const auto it = running_.find(id);
      const Job ended = std::move(it->second);
      running_.erase(it);
      if (ended.on_ended) ended.on_ended(fails ? End::kError : End::kDone);
      StartQueued();
    });
  }
}

void Server::Cancel(std::uint64_t id) {
  const auto it = std::find_if(queue_.begin(), queue_.end(), [id](const Job& job) { return job.id == id; });
  if (it != queue_.end()) queue_.erase(it);
}

void Server::Kill() {
  up_ = draining_ = false;
  ++incarnation_;
  std::vector<Job> reset;
  for (auto& job : queue_) reset.push_back(std::move(job));
  for (auto& [id, job] : running_) reset.push_back(std::move(job));
  queue_.clear();
  running_.clear();
  // Sorted by id, so that the order of the resets does not depend on the order of the hash table.
  std::sort(reset.begin(), reset.end(), [](const Job& a, const Job& b) { return a.id < b.id; });
  for (const Job& job : reset) {
    if (job.on_ended) job.on_ended(End::kReset);
  }
}

void Server::Boot() {
  up_ = ever_booted_ = true;
  draining_ = false;
  booted_ = sim_.now();
}

}  // namespace mothrack::simulation
