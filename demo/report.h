// The summary that the demo prints at its end.
#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include "clients.h"

namespace mothrack::demo {

// The results of the clients of each kind.
struct ClientTotals {
  RequestCounters page;
  RequestCounters submit;
  RequestCounters udp;
  RequestCounters tcp;

  int unanswered() const { return page.unanswered + submit.unanswered + udp.unanswered + tcp.unanswered; }
};

// The number of requests that one server had received by the end of each phase of the last servers.
struct ServerRow {
  std::string name;
  std::size_t when_healthy = 0;
  std::size_t when_unresponsive = 0;
  std::size_t when_recovered = 0;
};

// Both functions print to standard output.
void PrintClients(const ClientTotals& totals);
void PrintServers(const std::vector<ServerRow>& rows);

}  // namespace mothrack::demo
