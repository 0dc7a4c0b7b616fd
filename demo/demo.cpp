// Demonstrates the sidecar on loopback, between clients of each protocol and three stand-in page servers and
// three stand-in resolvers. One server and one resolver become unresponsive and recover later. Prints a
// summary at the end, and fails if a request was lost or a submission ran twice.
#include <atomic>
#include <chrono>
#include <csignal>
#include <cstddef>
#include <iostream>
#include <map>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "clients.h"
#include "page_server.h"
#include "report.h"
#include "standins/peers.h"
#include "standins/resolver.h"

namespace mothrack::demo {
namespace {

using std::chrono::milliseconds;
using testing::Node;
using testing::StandinResolver;

constexpr int kServers = 3;           // of each kind
constexpr milliseconds kPhase{2500};  // of healthy and of unresponsive servers
// The phase after the servers have recovered. It is long enough for the sidecar to use them again: a
// half-open probe of an unresponsive upstream takes the deadline of its class, and the next probe follows 1 s
// later.
constexpr milliseconds kRecoveryPhase{6000};

// The page servers and resolvers behind the sidecar. The last one of each kind becomes unresponsive.
class Servers {
 public:
  Servers() {
    for (int i = 1; i <= kServers; ++i) {
      pages_.push_back(std::make_unique<PageServer>(PageName(i)));
      resolvers_.push_back(std::make_unique<StandinResolver>(StandinResolver::Echo()));
    }
  }

  testing::json Targets() const {
    std::vector<testing::json> targets;
    for (int i = 1; i <= kServers; ++i) {
      targets.push_back(testing::Target(PageName(i), pages_[Index(i)]->address()));
    }
    return testing::List(targets);
  }

  std::string OperatorFile() const {
    std::string file = "[dns]\nlisten = [\"127.0.0.1:0\"]\n";
    for (int i = 1; i <= kServers; ++i) {
      file += "[[dns.resolver]]\nuid = \"" + ResolverName(i) + "\"\nendpoint = \"" +
              resolvers_[Index(i)]->address() + "\"\n";
    }
    return file;
  }

  void MakeLastUnresponsive() {
    pages_.back()->SetUnresponsive(true);
    resolvers_.back()->SetScript(StandinResolver::Unresponsive());
  }

  void RestoreLast() {
    pages_.back()->SetUnresponsive(false);
    resolvers_.back()->SetScript(StandinResolver::Echo());
  }

  // Returns a row without counts for each server, page servers first.
  std::vector<ServerRow> Rows() const {
    std::vector<ServerRow> rows;
    for (int i = 1; i <= kServers; ++i) rows.push_back({PageName(i)});
    for (int i = 1; i <= kServers; ++i) rows.push_back({ResolverName(i)});
    return rows;
  }

  // Stores the number of requests that each server has received so far in the member `count` of its row.
  // `rows` must come from Rows().
  void CountInto(std::vector<ServerRow>& rows, std::size_t ServerRow::*count) const {
    auto row = rows.begin();
    for (const auto& page : pages_) (*row++).*count = page->requests().size();
    for (const auto& resolver : resolvers_) (*row++).*count = static_cast<std::size_t>(resolver->queries());
  }

  // Returns the number of unsafe requests that ran more than once on all page servers together.
  int CountRepeatedSubmissions() const {
    std::map<std::string, int> runs;
    for (const auto& page : pages_) {
      for (const auto& request : page->requests()) {
        if (request.method_string() == "POST") ++runs[std::string(request["X-Request-ID"])];
      }
    }
    int repeated = 0;
    for (const auto& [id, times] : runs) repeated += times > 1;
    return repeated;
  }

 private:
  static std::size_t Index(int number) { return static_cast<std::size_t>(number - 1); }
  static std::string PageName(int number) { return "page-" + std::to_string(number); }
  static std::string ResolverName(int number) { return "resolver-" + std::to_string(number); }

  std::vector<std::unique_ptr<PageServer>> pages_;
  std::vector<std::unique_ptr<StandinResolver>> resolvers_;
};

// Sends requests of all kinds through `node` while the last servers are healthy, unresponsive and recovered.
ClientTotals RunPhases(const Node& node, Servers& servers, std::vector<ServerRow>& rows) {
  std::atomic<bool> stop{false};
  ClientTotals totals;
  std::vector<std::thread> clients;
  clients.emplace_back([&] { totals.page = SendHttp(node.port(), stop, HttpRequestKind::kPage); });
  clients.emplace_back([&] { totals.submit = SendHttp(node.port(), stop, HttpRequestKind::kSubmit); });
  clients.emplace_back([&] { totals.udp = SendDns(node.dns_port(), stop, DnsProtocol::kUdp); });
  clients.emplace_back([&] { totals.tcp = SendDns(node.dns_port(), stop, DnsProtocol::kTcp); });

  std::this_thread::sleep_for(kPhase);
  servers.CountInto(rows, &ServerRow::when_healthy);
  servers.MakeLastUnresponsive();
  std::this_thread::sleep_for(kPhase);
  servers.CountInto(rows, &ServerRow::when_unresponsive);
  servers.RestoreLast();
  std::this_thread::sleep_for(kRecoveryPhase);

  stop = true;
  for (auto& client : clients) client.join();
  servers.CountInto(rows, &ServerRow::when_recovered);
  return totals;
}

Node::Options SidecarOptions(const Servers& servers, const testing::Discovery& discovery) {
  Node::Options options;
  options.discovery = discovery.address();
  options.settings["Limits"]["SecondCopies"] = true;
  options.known = servers.Targets();
  options.operator_file = servers.OperatorFile();
  return options;
}

// Returns the exit code.
int Run() {
  Servers servers;
  const testing::Discovery discovery(servers.Targets());
  Node node(SidecarOptions(servers, discovery));
  if (!node.Listening() || !node.DnsListening()) {
    std::cerr << "the sidecar did not start:\n" << node.log();
    return 1;
  }
  std::cout
      << "A sidecar between 3 page servers and 3 resolvers: HTTP on port " << node.port() << ", DNS on port "
      << node.dns_port() << ".\nFor " << kPhase.count() / 1000.0
      << " s all servers are healthy; then page-3 and resolver-3 become unresponsive; then they recover.\n\n";

  std::vector<ServerRow> rows = servers.Rows();
  const ClientTotals totals = RunPhases(node, servers, rows);
  PrintClients(totals);
  PrintServers(rows);
  const int repeated = servers.CountRepeatedSubmissions();
  const int lost = totals.unanswered();
  std::cout << "\nRequests without an answer: " << lost << ". Tally sheets that ran twice: " << repeated
            << ".\n";

  node.Signal(SIGTERM);
  const int code = node.Wait();
  std::cout << "The sidecar's log:\n" << node.log() << "It exited with status " << code << ".\n";
  return lost == 0 && repeated == 0 && code == 0 ? 0 : 1;
}

}  // namespace
}  // namespace mothrack::demo

int main() {
  std::signal(SIGPIPE, SIG_IGN);
  return mothrack::demo::Run();
}
