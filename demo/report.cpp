#include "report.h"

#include <iomanip>
#include <iostream>

namespace mothrack::demo {
namespace {

constexpr int kNameWidth = 26;

void PrintName(const std::string& name) {
  std::cout << "  " << std::left << std::setw(kNameWidth) << name << std::right;
}

void PrintClient(const std::string& name, const RequestCounters& counters) {
  PrintName(name);
  std::cout << std::setw(6) << counters.sent << " sent" << std::setw(7) << counters.served << " served"
            << std::setw(5) << counters.refused << " rejected" << std::setw(5) << counters.failed << " failed"
            << std::setw(5) << counters.unanswered << " unanswered   slowest " << std::fixed
            << std::setprecision(0) << counters.slowest_ms << " ms\n";
}

}  // namespace

void PrintClients(const ClientTotals& totals) {
  std::cout << "Results of the clients\n";
  PrintClient("pages (GET, safe)", totals.page);
  PrintClient("tally sheets (POST, unsafe)", totals.submit);
  PrintClient("DNS queries over UDP", totals.udp);
  PrintClient("DNS queries over TCP", totals.tcp);
}

void PrintServers(const std::vector<ServerRow>& rows) {
  std::cout << "\nRequests sent to             healthy  unresponsive  recovered\n";
  for (const ServerRow& row : rows) {
    PrintName(row.name);
    std::cout << std::setw(8) << row.when_healthy << std::setw(14) << row.when_unresponsive - row.when_healthy
              << std::setw(11) << row.when_recovered - row.when_unresponsive << '\n';
  }
}

}  // namespace mothrack::demo
