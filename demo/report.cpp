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
            << std::setw(5) << counters.refused << " refused" << std::setw(5) << counters.failed << " failed"
            << std::setw(5) << counters.unanswered << " unanswered   slowest " << std::fixed
            << std::setprecision(0) << counters.slowest_ms << " ms\n";
}

}  // namespace

void PrintClients(const ClientTotals& totals) {
  std::cout << "Results of the clients\n";
  PrintClient("pages (GET, safe)", totals.page);
  PrintClient("tally sheets (POST, unsafe)", totals.submit);
  PrintClient("names over UDP", totals.udp);
  PrintClient("names over TCP", totals.tcp);
}

void PrintServers(const std::vector<ServerRow>& rows) {
  std::cout << "\nRequests sent to                 healthy    silent    back\n";
  for (const ServerRow& row : rows) {
    PrintName(row.name);
    std::cout << std::setw(6) << row.when_well << std::setw(10) << row.when_silent - row.when_well
              << std::setw(10) << row.when_back - row.when_silent << '\n';
  }
}

}  // namespace mothrack::demo
