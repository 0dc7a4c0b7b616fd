#include "balancer/round_robin.h"

#include <algorithm>

namespace mothrack::balancer {
namespace {

// Rank of a candidate: lower is better.
constexpr int kCrowded = 1;
constexpr int kSuspect = 2;
constexpr int kTried = 3;  // added to the others
constexpr int kWorst = kTried + kSuspect;

void Gain(RotationRecord& record, double weight, double sum) {
  // Bounds the credit of an upstream that was no candidate for a while, as the sum has changed since.
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

std::optional<std::size_t> SmoothWeightedRoundRobin::Choose(bool only_good) {
  KeepBest(only_good);
  if (best_.empty()) return std::nullopt;
  double sum = 0;
  for (const Candidate* candidate : best_) sum += candidate->weight;
  const Candidate* chosen = best_.front();
  for (const Candidate* candidate : best_) {
    Gain(*candidate->record, candidate->weight, sum);
    if (candidate->record->credit > chosen->record->credit) chosen = candidate;
  }
  chosen->record->credit -= sum;
  for (const Waiting& waiting : waiting_) Gain(*waiting.record, waiting.weight, sum);
  return chosen->index;
}

// While connecting is hard, an upstream without a usable connection ranks like a crowded one.
bool SmoothWeightedRoundRobin::IsCrowded(const Candidate& candidate) const {
  const double share = in_flight_ * candidate.weight / weight_;
  return candidate.in_flight + 1 > kCrowdedSlack + 0.5 + share || candidate.must_connect;
}

void SmoothWeightedRoundRobin::KeepBest(bool only_good) {
  best_.clear();
  int best_standing = only_good ? kCrowded : kWorst + 1;
  for (const Candidate& candidate : candidates_) {
    int standing = candidate.tried ? kTried : 0;
    if (candidate.suspect) {
      standing += kSuspect;
    } else if (IsCrowded(candidate)) {
      standing += kCrowded;
    }
    if (standing > best_standing) continue;
    if (standing < best_standing) best_.clear();
    best_standing = standing;
    best_.push_back(&candidate);
  }
}

}  // namespace mothrack::balancer
