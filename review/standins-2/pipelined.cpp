// Clients that send many requests at once on a connection: does each request that was sent get an answer in
// its time? The second word of the command line names what happens meanwhile:
//   stop    the sidecar is told to end while the first of the requests is with an upstream
//   hang    one page server of ten takes requests and answers none for some seconds
//
// TROUBLE=0: neither. TROUBLE=single: the same trouble, but one request at a time on each connection.
#include "platform.h"

namespace {

using namespace platform;

constexpr int kUpstreams = 10;
constexpr int kClients = 20;
constexpr int kAtOnce = 8;
constexpr std::int64_t kLimitMs = 4000;  // of a tally, and its X-Timeout-Ms
// So much after its time an answer is not lost: "up to half a second after its time it only earns nothing",
// the 50 ms by which each limit is longer on sockets, and GraceToAnswer of the settings.
constexpr std::int64_t kNotLostMs = 500 + 50 + 20;
constexpr std::int64_t kHangMs = 8000;
constexpr std::int64_t kKillAfterMs = 3000 + 700 + 20;
constexpr std::int64_t kWorkMs = 130;

}  // namespace

int main(int count, char** values) {
  const std::string what = count > 1 ? values[1] : "";
  const Arguments arguments = ReadArguments(count - 1, values + 1);
  const char* trouble = std::getenv("TROUBLE");
  const std::string kind = trouble == nullptr ? "1" : trouble;
  const bool stops = kind != "0" && what == "stop";
  const bool hangs = kind != "0" && what == "hang";
  const int at_once = kind == "single" ? 1 : kAtOnce;
  Record record(arguments.record);

  std::atomic<bool> hanging{false};
  std::atomic<int> held{0};
  std::atomic<int> late_begins{0};
  std::mutex mutex;
  std::map<std::string, std::int64_t> sent_at;  // NowMs(), by id
  std::vector<Target> targets;
  for (int i = 0; i < kUpstreams; ++i) {
    Target target{"s-" + std::to_string(i), 0, i % 2 == 0 ? "hall-a" : "hall-b"};
    Serve(Listen(target.port), [&, i](const std::shared_ptr<Connection>& connection) {
      Message request;
      while (ReadMessage(*connection, request, NowMs() + 60'000) == Got::kMessage) {
        const std::string id = request.Field("x-request-id");
        std::int64_t age = 0;
        {
          const std::lock_guard lock(mutex);
          age = NowMs() - sent_at[id];
        }
        record.Line("upstream %d begins %s, %lld ms after it was sent, told %s ms", i, id.c_str(),
                    static_cast<long long>(age), request.Field("x-timeout-ms").c_str());
        if (age > kLimitMs + 100) ++late_begins;
        if (i == 0 && hanging) ++held;
        SleepMs(kWorkMs);
        while (i == 0 && hanging) SleepMs(5);
        if (!connection->Write(Response("done " + id))) return;
        record.Line("upstream %d answers %s", i, id.c_str());
      }
    });
    targets.push_back(target);
  }
  const std::vector<RequestClass> classes = {{"station-page", true, 400, 1000},
                                             {"tally-submit", false, 800, kLimitMs}};
  Sidecar sidecar(arguments.run, arguments.folder, classes, targets, StartDiscovery(targets));
  if (!sidecar.IsUp()) End(sidecar, record, kNotRun, "the sidecar is not up");

  // Two rounds of each client: the first one without trouble, on the connection that it uses again.
  std::atomic<int> sent{0};
  std::atomic<int> lost{0};
  std::atomic<int> late{0};
  std::atomic<int> ready{0};
  std::atomic<bool> go{false};
  std::vector<std::thread> clients;
  for (int client = 0; client < kClients; ++client) {
    clients.emplace_back([&, client] {
      auto connection = Connection::To(sidecar.port());
      for (int round = 0; connection && round < 2; ++round) {
        const int requests = round == 0 ? 1 : at_once;
        if (round == 1) {
          ++ready;
          while (!go) SleepMs(1);
          SleepMs(client * 5);
        }
        std::string text;
        std::vector<std::string> ids;
        for (int i = 0; i < requests; ++i) {
          ids.push_back(std::to_string(100000 + client * 1000 + round * 100 + i));
          text += Request("tally-submit", ids.back(), kLimitMs, false);
        }
        {
          const std::lock_guard lock(mutex);
          for (const auto& id : ids) sent_at[id] = NowMs();
        }
        if (!connection->Write(text)) {
          record.Line("client %d can't send", client);
          return;
        }
        const std::int64_t at = NowMs();  // the time of a request counts from its last byte
        sent += requests;
        record.Line("client %d sends %s to %s at once", client, ids.front().c_str(), ids.back().c_str());
        // A client waits for all answers, some seconds longer than they may take.
        Got got = Got::kMessage;
        for (const auto& id : ids) {
          Message answer;
          if (got == Got::kMessage) got = ReadMessage(*connection, answer, at + 60'000);
          const std::int64_t after = NowMs() - at;
          if (got != Got::kMessage) {
            ++lost;
            record.Line("LOST %s: %s after %lld ms", id.c_str(), NameOf(got), static_cast<long long>(after));
          } else {
            record.Line("client %d gets %d for %s after %lld ms", client, answer.status(), id.c_str(),
                        static_cast<long long>(after));
            if (after <= kLimitMs + kNotLostMs) continue;
            ++lost;
            ++late;
            record.Line("LOST %s: answered %lld ms after its time", id.c_str(),
                        static_cast<long long>(after - kLimitMs));
          }
        }
      }
    });
  }
  while (ready < kClients) SleepMs(1);
  if (hangs) {
    hanging = true;
    record.Line("upstream 0 hangs");
  }
  go = true;
  if (stops) {
    SleepMs(kClients * 5 + 60);
    sidecar.Signal(SIGTERM);
    record.Line("SIGTERM");
    const std::int64_t stopped_at = NowMs();
    if (sidecar.EndsBy(stopped_at + kKillAfterMs)) {
      record.Line("the sidecar has ended on its own after %lld ms",
                  static_cast<long long>(NowMs() - stopped_at));
    } else {
      sidecar.Kill();
      record.Line("SIGKILL");
    }
  }
  if (hangs) {
    SleepMs(kHangMs);
    hanging = false;
    record.Line("upstream 0 answers again");
  }
  for (auto& client : clients) client.join();
  if (hangs && held == 0) End(sidecar, record, kNotRun, "no request reached the upstream that hangs");
  End(sidecar, record, lost > 0 ? kBroken : kHeld,
      std::to_string(sent) + " requests, " + std::to_string(held) + " at an upstream that hangs, " +
          std::to_string(lost) + " lost, of these " + std::to_string(late) +
          " answered too late; upstreams began " + std::to_string(late_begins) +
          " more than 0.1 s after their time");
}
