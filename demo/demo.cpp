// The sidecar at its job, on loopback: three stand-in page servers and three stand-in resolvers behind it, a
// client of each protocol before it. Halfway one server and one resolver go silent, later they come back.
// Ends with an account, and fails where a request was lost or a submission ran twice.
#include <atomic>
#include <chrono>
#include <csignal>
#include <iomanip>
#include <iostream>
#include <map>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "standins/dns_client.h"
#include "standins/peers.h"
#include "standins/resolver.h"

namespace {

using namespace mothrack::testing;
using std::chrono::milliseconds;
using Clock = std::chrono::steady_clock;

constexpr milliseconds kPhase{2500};
// A half-open probe of one that does not respond takes its class's deadline, and the next one comes 1 s
// later.
constexpr milliseconds kReturn{6000};
constexpr milliseconds kEach{8};  // a client's pause between requests

// A page server that answers, or accepts requests and does not respond.
class PageServer {
 public:
  explicit PageServer(const std::string& name)
      : upstream_([this, name](Wire& wire, const Request&, int) {
          while (unresponsive_ && !ended_) std::this_thread::sleep_for(milliseconds(10));
          wire.Answer(200, name + '\n');
        }) {}
  ~PageServer() { ended_ = true; }
  void SetUnresponsive(bool unresponsive) { unresponsive_ = unresponsive; }
  std::string address() const { return upstream_.address(); }
  std::size_t requests() const { return upstream_.requests().size(); }
  std::vector<Request> seen() const { return upstream_.requests(); }

 private:
  std::atomic<bool> unresponsive_{false};
  std::atomic<bool> ended_{false};
  Upstream upstream_;
};

struct RequestCounters {
  int sent = 0;
  int served = 0;
  int refused = 0;
  int failed = 0;
  int unanswered = 0;
  double slowest_ms = 0;

  void RecordLatency(Clock::time_point began) {
    slowest_ms =
        std::max(slowest_ms, std::chrono::duration<double, std::milli>(Clock::now() - began).count());
  }
};

void Print(const std::string& name, const RequestCounters& t) {
  std::cout << "  " << std::left << std::setw(26) << name << std::right << std::setw(6) << t.sent << " asked"
            << std::setw(7) << t.served << " served" << std::setw(5) << t.refused << " refused"
            << std::setw(5) << t.failed << " failed" << std::setw(5) << t.unanswered
            << " unanswered   slowest " << std::fixed << std::setprecision(0) << t.slowest_ms << " ms\n";
}

RequestCounters SendHttp(std::uint16_t port, const std::atomic<bool>& stop, bool submit) {
  RequestCounters counters;
  auto client = std::make_unique<Client>(port);
  for (int i = 0; !stop; ++i) {
    const std::string id = (submit ? "s" : "p") + std::to_string(i);
    const auto began = Clock::now();
    ++counters.sent;
    const auto response = submit
                              ? client->Post("/submit/station-" + std::to_string(i % 50), id, "tally", 1500)
                              : client->Get("/page/station-" + std::to_string(i % 50), id, 1500);
    counters.RecordLatency(began);
    if (!response) {
      ++counters.unanswered;
      client = std::make_unique<Client>(port);
    } else {
      ++(response->result_int() == 200   ? counters.served
         : response->result_int() == 503 ? counters.refused
                                         : counters.failed);
    }
    std::this_thread::sleep_for(kEach);
  }
  return counters;
}

RequestCounters SendDns(std::uint16_t port, const std::atomic<bool>& stop, bool tcp) {
  RequestCounters counters;
  DnsUdpClient udp(port);
  auto stream = std::make_unique<DnsTcpClient>(port);
  for (std::uint16_t i = 0; !stop; ++i) {
    QuerySpec spec;
    spec.name = "tally-intake-" + std::to_string(i % 50) + ".example.org";
    spec.id = i;
    const auto began = Clock::now();
    ++counters.sent;
    const auto answer = tcp ? stream->Query(MakeQuery(spec)) : udp.Query(MakeQuery(spec));
    counters.RecordLatency(began);
    if (!answer) {
      ++counters.unanswered;
      stream = std::make_unique<DnsTcpClient>(port);
    } else {
      ++(RcodeOf(*answer) == 0   ? counters.served
         : RcodeOf(*answer) == 5 ? counters.refused
                                 : counters.failed);
    }
    std::this_thread::sleep_for(kEach);
  }
  return counters;
}

void PrintServer(const std::string& name, std::size_t before, std::size_t during, std::size_t after) {
  std::cout << "  " << std::left << std::setw(26) << name << std::right << std::setw(6) << before
            << std::setw(10) << during << std::setw(10) << after << '\n';
}

// Unsafe requests that ran more than once, over all servers.
int CountRepeatedSubmissions(const std::vector<std::unique_ptr<PageServer>>& pages) {
  // Rule two: an unsafe request runs once at most, whichever servers it met.
  std::map<std::string, int> runs;
  for (const auto& page : pages) {
    for (const auto& request : page->seen()) {
      if (request.method_string() == "POST") ++runs[std::string(request["X-Request-ID"])];
    }
  }
  int twice = 0;
  for (const auto& [id, times] : runs) twice += times > 1;
  return twice;
}

}  // namespace

int main() {
  std::signal(SIGPIPE, SIG_IGN);
  std::vector<std::unique_ptr<PageServer>> pages;
  std::vector<std::unique_ptr<StandinResolver>> resolvers;
  std::vector<json> targets;
  std::string file = "[dns]\nlisten = [\"127.0.0.1:0\"]\n";
  for (int i = 1; i <= 3; ++i) {
    pages.push_back(std::make_unique<PageServer>("page-" + std::to_string(i)));
    targets.push_back(Target("page-" + std::to_string(i), pages.back()->address()));
    resolvers.push_back(std::make_unique<StandinResolver>(StandinResolver::Echo()));
    file += "[[dns.resolver]]\nuid = \"resolver-" + std::to_string(i) + "\"\nendpoint = \"" +
            resolvers.back()->address() + "\"\n";
  }
  Discovery discovery(List(targets));
  Node::Options options;
  options.discovery = discovery.address();
  options.settings["Limits"]["SecondCopies"] = true;
  options.known = List(targets);
  options.operator_file = file;
  Node node(options);
  if (!node.Listening() || !node.DnsListening()) {
    std::cerr << "the sidecar did not start:\n" << node.log();
    return 1;
  }
  std::cout << "A sidecar between 3 page servers and 3 resolvers: HTTP on port " << node.port()
            << ", DNS on port " << node.dns_port() << ".\nFor " << kPhase.count() / 1000.0
            << " s all is well; then page-3 and resolver-3 go silent; then they are back.\n\n";

  std::atomic<bool> stop{false};
  RequestCounters get, post, udp, tcp;
  std::vector<std::thread> clients;
  clients.emplace_back([&] { get = SendHttp(node.port(), stop, false); });
  clients.emplace_back([&] { post = SendHttp(node.port(), stop, true); });
  clients.emplace_back([&] { udp = SendDns(node.dns_port(), stop, false); });
  clients.emplace_back([&] { tcp = SendDns(node.dns_port(), stop, true); });
  std::vector<std::vector<std::size_t>> counts;
  const auto count = [&] {
    std::vector<std::size_t> now;
    for (const auto& page : pages) now.push_back(page->requests());
    for (const auto& resolver : resolvers) now.push_back(static_cast<std::size_t>(resolver->queries()));
    counts.push_back(now);
  };
  std::this_thread::sleep_for(kPhase);
  count();
  pages[2]->SetUnresponsive(true);
  resolvers[2]->SetScript(StandinResolver::Unresponsive());
  std::this_thread::sleep_for(kPhase);
  count();
  pages[2]->SetUnresponsive(false);
  resolvers[2]->SetScript(StandinResolver::Echo());
  std::this_thread::sleep_for(kReturn);
  stop = true;
  for (auto& client : clients) client.join();
  count();

  std::cout << "What the clients got\n";
  Print("pages (GET, safe)", get);
  Print("tally sheets (POST, unsafe)", post);
  Print("names over UDP", udp);
  Print("names over TCP", tcp);
  std::cout << "\nWhat was sent to                all well    silent    back\n";
  for (std::size_t i = 0; i < 6; ++i) {
    const std::string name = (i < 3 ? "page-" : "resolver-") + std::to_string(i % 3 + 1);
    PrintServer(name, counts[0][i], counts[1][i] - counts[0][i], counts[2][i] - counts[1][i]);
  }
  const int twice = CountRepeatedSubmissions(pages);
  const int lost = get.unanswered + post.unanswered + udp.unanswered + tcp.unanswered;
  std::cout << "\nRequests without an answer: " << lost << ". Tally sheets that ran twice: " << twice
            << ".\n";
  node.Signal(SIGTERM);
  const int code = node.Wait();
  std::cout << "The sidecar's log:\n" << node.log() << "It ended with " << code << ".\n";
  return lost == 0 && twice == 0 && code == 0 ? 0 : 1;
}
