#include "balancer/round_robin.h"

#include <algorithm>

namespace mothrack::balancer {
namespace {

// Rank of a candidate: lower is better.
constexpr int kCrowdedRank = 1;
constexpr int kSuspectRank = 2;
constexpr int kTriedRank = 3;  // added to the rank of a tried candidate
constexpr int kWorstRank = kTriedRank + kSuspectRank;

void AddCredit(RotationRecord& record, double weight, double sum) {
  // Bounds the credit that an upstream kept while it was no candidate, since the sum may have changed.
  record.credit = std::clamp(record.credit, -sum, sum) + weight;
}

}  // namespace

void SmoothWeightedRoundRobin::Clear() {
  candidates_.clear();
  waiting_.clear();
  weight_ = 0;
  in_flight_ = 1;
}

void SmoothWeightedRoundRobin::Add(const Candidate& candidate) {
  candidates_.push_back(candidate);
  if (candidate.suspect) return;
  weight_ += candidate.weight;
  in_flight_ += candidate.in_flight;
}

std::optional<std::size_t> SmoothWeightedRoundRobin::Choose(bool only_untried_healthy) {
  KeepBest(only_untried_healthy);
  if (best_.empty()) return std::nullopt;
  double sum = 0;
  for (const Candidate* candidate : best_) sum += candidate->weight;
  const Candidate* chosen = best_.front();
  for (const Candidate* candidate : best_) {
    AddCredit(*candidate->record, candidate->weight, sum);
    if (candidate->record->credit > chosen->record->credit) chosen = candidate;
  }
  chosen->record->credit -= sum;
  for (const Waiting& waiting : waiting_) AddCredit(*waiting.record, waiting.weight, sum);
  return chosen->index;
}

// While connecting is hard, an upstream without a usable connection ranks like a crowded one.
bool SmoothWeightedRoundRobin::IsCrowded(const Candidate& candidate) const {
  const double share = in_flight_ * candidate.weight / weight_;
  return candidate.in_flight + 1 > kCrowdedSlack + 0.5 + share || candidate.must_connect;
}

void SmoothWeightedRoundRobin::KeepBest(bool only_untried_healthy) {
  best_.clear();
  int best_rank = only_untried_healthy ? kCrowdedRank : kWorstRank + 1;
  for (const Candidate& candidate : candidates_) {
    int rank = candidate.tried ? kTriedRank : 0;
    if (candidate.suspect) {
      rank += kSuspectRank;
    } else if (IsCrowded(candidate)) {
      rank += kCrowdedRank;
    }
    if (rank > best_rank) continue;
    if (rank < best_rank) best_.clear();
    best_rank = rank;
    best_.push_back(&candidate);
  }
}

}  // namespace mothrack::balancer
