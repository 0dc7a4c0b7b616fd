#include "balancer/subset.h"

namespace mothrack::balancer {

void Subset::Mark(const std::vector<SubsetMember>& ranked, double size, bool rate_known,
                  double listed_weight) {
  double left = size;
  double weight = 0;
  for (const SubsetMember& member : ranked) {
    member.record->in_subset = left > 0;
    if (!member.record->in_subset) continue;
    weight += member.weight;
    left -= member.capacity;
  }
  share_ = rate_known && listed_weight > 0 ? std::max(weight / listed_weight, share_) : 0;
}

}  // namespace mothrack::balancer
