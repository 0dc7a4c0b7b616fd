// Smooth weighted round robin: whose turn it is among the upstreams that may take a request.
//
// The algorithm is nginx's (upstream_round_robin: each candidate gains its weight, the one with the most
// credit is chosen and pays the sum). Guards against bunches of requests at one upstream, and keeps a request
// from an upstream that was tried for it, is suspect or crowded while a better one stands.
#pragma once

#include <cstddef>
#include <optional>
#include <vector>

namespace mothrack::balancer {

// An upstream that holds more unanswered attempts than its share and this many is crowded.
inline constexpr double kCrowdedSlack = 0.5;

struct RotationRecord {
  double credit = 0;  // in units of weight
};

// An upstream that may take the request.
struct Candidate {
  RotationRecord* record = nullptr;
  std::size_t index = 0;  // what Choose() gives back
  double weight = 0;
  int in_flight = 0;  // attempts that it holds
  bool tried = false;
  bool suspect = false;
  bool must_connect = false;  // it has no connection, and connecting is hard
};

class SmoothWeightedRoundRobin {
 public:
  // An upstream that enters or returns starts somewhere in its turn (`uniform`, from [0, 1)): no hoard of
  // credit, and sidecars that hear of it together do not all choose it next.
  static void Enter(RotationRecord& record, double uniform, double listed_weight) {
    record.credit = (uniform - 0.5) * listed_weight;
  }

  // One choice: clear, add the candidates in their order, then choose.
  void Clear();
  void Add(const Candidate& candidate);
  // It waits for its budget: it can't be chosen, but its turn comes nearer meanwhile.
  void AddWaiting(RotationRecord& record, double weight) { waiting_.push_back({&record, weight}); }
  // One not yet tried while any such stands, and of those one in good standing; then the crowded ones, then
  // the suspects. `only_good`: none that was tried or is suspect. Absent where there is none.
  std::optional<std::size_t> Choose(bool only_good);

 private:
  struct Waiting {
    RotationRecord* record;
    double weight;
  };

  bool IsCrowded(const Candidate& candidate) const;
  void KeepBest(bool only_good);

  // Of one choice, kept for their memory.
  std::vector<Candidate> candidates_;
  std::vector<const Candidate*> best_;  // of candidates_
  std::vector<Waiting> waiting_;
  double weight_ = 0;  // of the candidates that are not suspect
  int in_flight_ = 0;  // attempts that these hold, and the one to be sent
};

}  // namespace mothrack::balancer
