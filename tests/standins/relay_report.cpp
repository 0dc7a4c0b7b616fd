#include "standins/relay_report.h"

#include <sstream>

namespace mothrack::testing::relay {
namespace {

bool HasFaults(const Counts& counts) {
  return counts.lost + counts.cut + counts.queue_full + counts.send_errors + counts.duplicated +
             counts.reordered + counts.resets !=
         0;
}

}  // namespace

std::string Describe(const Topology& topology, std::uint64_t unknown_senders) {
  std::ostringstream text;
  for (const auto& [names, link] : topology.links()) {
    const Counts& counts = link->counts;
    if (!HasFaults(counts)) continue;
    text << names.first << " > " << names.second << ": " << counts.received << " received, "
         << counts.delivered << " delivered; dropped " << counts.lost << " by loss, " << counts.cut
         << " by a cut, " << counts.queue_full << " by a full queue, " << counts.send_errors
         << " by the system; duplicated " << counts.duplicated << ", reordered " << counts.reordered
         << "; TCP " << counts.connections << " connections, " << counts.resets << " reset\n";
  }
  if (unknown_senders > 0) text << unknown_senders << " datagrams from unknown senders\n";
  return text.str();
}

}  // namespace mothrack::testing::relay
