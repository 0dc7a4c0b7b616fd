#include "standins/relay_report.h"

#include <sstream>

namespace mothrack::testing::relay {
namespace {

bool HasFaults(const Counts& c) {
  return c.lost + c.cut + c.queue_full + c.send_errors + c.duplicated + c.reordered + c.resets != 0;
}

}  // namespace

std::string Describe(const Topology& topology, std::uint64_t unknown_senders) {
  std::ostringstream text;
  for (const auto& [names, link] : topology.links()) {
    const Counts& c = link->counts;
    if (!HasFaults(c)) continue;
    text << names.first << " > " << names.second << ": " << c.received << " came, " << c.delivered
         << " delivered; dropped " << c.lost << " by chance, " << c.cut << " by a cut, " << c.queue_full
         << " for room, " << c.send_errors << " by the system; repeated " << c.duplicated << ", reordered "
         << c.reordered << "; TCP " << c.connections << " connections, " << c.resets << " reset\n";
  }
  if (unknown_senders > 0) text << unknown_senders << " datagrams of strangers\n";
  return text.str();
}

}  // namespace mothrack::testing::relay
