// Smooth weighted round robin: chooses among the upstreams that may take a request.
//
// The algorithm is nginx's (upstream_round_robin): each candidate gains its weight as credit, and the one
// with the most credit is chosen and pays the sum of all weights. This spreads consecutive requests evenly.
// Upstreams that were already tried for the request, are suspect or are crowded are chosen only if no better
// one is left.
#pragma once

#include <cstddef>
#include <optional>
#include <vector>

namespace mothrack::balancer {

// An upstream is crowded if it has more attempts in flight than its share by weight plus this many.
inline constexpr double kCrowdedSlack = 0.5;

struct RotationRecord {
  double credit = 0;  // in units of weight
};

// An upstream that may take the request.
struct Candidate {
  RotationRecord* record = nullptr;
  std::size_t index = 0;  // returned by Choose()
  double weight = 0;
  int in_flight = 0;  // attempts
  bool tried = false;
  bool suspect = false;
  bool must_connect = false;  // it has no usable connection, and connecting is hard
};

class SmoothWeightedRoundRobin {
 public:
  // An upstream that enters or returns starts with random credit (`uniform`, from [0, 1)), so that the
  // sidecars, which learn of it at the same time, do not all choose it next.
  static void Enter(RotationRecord& record, double uniform, double listed_weight) {
    record.credit = (uniform - 0.5) * listed_weight;
  }

  // One choice: Clear(), Add() the candidates in order, then Choose().
  void Clear();
  void Add(const Candidate& candidate);
  // Adds an upstream without slow start budget, which can't be chosen but gains credit.
  void AddWaiting(RotationRecord& record, double weight) { waiting_.push_back({&record, weight}); }
  // Prefers upstreams not yet tried; among these healthy ones, then crowded ones, then suspect ones.
  // `only_untried_healthy` excludes those that were tried or are suspect. Returns the candidate's index;
  // absent if there is none.
  std::optional<std::size_t> Choose(bool only_untried_healthy);

 private:
  struct Waiting {
    RotationRecord* record;
    double weight;
  };

  bool IsCrowded(const Candidate& candidate) const;
  void KeepBest(bool only_untried_healthy);

  // State of one choice; members only to reuse their memory.
  std::vector<Candidate> candidates_;
  std::vector<const Candidate*> best_;  // of candidates_
  std::vector<Waiting> waiting_;
  double weight_ = 0;  // of the candidates that are not suspect
  int in_flight_ = 0;  // attempts at these, plus the one to be sent
};

}  // namespace mothrack::balancer
