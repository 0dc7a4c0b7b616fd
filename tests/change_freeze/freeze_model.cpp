#include "change_freeze/freeze_model.h"

#include "change_freeze/simulated_cluster.h"

namespace mothrack::change_freeze::testing {

History RunHistory(std::uint64_t seed, int voters, InjectedFault injected) {
  return SimulatedCluster(seed, voters, injected, nullptr).Run();
}
History RunHistory(std::uint64_t seed, int voters, const Script& script) {
  return SimulatedCluster(seed, voters, InjectedFault::kNothing, &script).Run();
}

}  // namespace mothrack::change_freeze::testing
