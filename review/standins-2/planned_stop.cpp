// A planned stop while one page server of ten hangs: does each request that the sidecar had taken get an
// answer before the platform's SIGKILL?
//
// TROUBLE=0: no hang and no stop. TROUBLE=hang and TROUBLE=stop have one of the two.
#include "platform.h"

namespace {

using namespace platform;

constexpr int kUpstreams = 10;
constexpr std::int64_t kLimitMs = 4000;        // of a tally, and its X-Timeout-Ms
constexpr std::int64_t kEarnsNothingMs = 500;  // so much later an answer is not lost
// From SIGTERM to SIGKILL: "the longest deadline (3 s at most) and 0.7 s more", and a little.
constexpr std::int64_t kKillAfterMs = 3000 + 700 + 20;

struct Sent {
  std::string id;
  std::int64_t at = 0;  // NowMs() when its last byte was written
  bool tally = false;
  std::atomic<bool> held{false};      // it reached the upstream that hangs
  std::atomic<bool> answered{false};  // with a whole answer of any status, in time
  std::atomic<bool> finished{false};  // the client waits no longer
};

}  // namespace

int main(int count, char** values) {
  const Arguments arguments = ReadArguments(count, values);
  const char* trouble = std::getenv("TROUBLE");
  const std::string kind = trouble == nullptr ? "1" : trouble;
  const bool hangs = kind != "0" && kind != "stop";
  const bool stops = kind != "0" && kind != "hang";
  Record record(arguments.record);

  std::mutex mutex;
  std::map<std::string, std::shared_ptr<Sent>> requests;
  std::atomic<bool> hanging{false};
  std::vector<Target> targets;
  for (int i = 0; i < kUpstreams; ++i) {
    Target target{"s-" + std::to_string(i), 0, i % 2 == 0 ? "hall-a" : "hall-b"};
    Serve(Listen(target.port), [&, i](const std::shared_ptr<Connection>& connection) {
      Message request;
      while (ReadMessage(*connection, request, NowMs() + 60'000) == Got::kMessage) {
        const std::string id = request.Field("x-request-id");
        record.Line("upstream %d begins %s", i, id.c_str());
        if (i == 0 && hanging) {
          const std::lock_guard lock(mutex);
          if (const auto it = requests.find(id); it != requests.end()) it->second->held = true;
        }
        SleepMs(request.start.starts_with("GET") ? 60 : 130);
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

  int number = 0;
  const auto send = [&](bool tally) {
    auto sent = std::make_shared<Sent>();
    sent->id = std::to_string(100000 + ++number);
    sent->tally = tally;
    {
      const std::lock_guard lock(mutex);
      requests[sent->id] = sent;
    }
    const std::int64_t timeout = tally ? kLimitMs : 1000;
    const auto connection = Connection::To(sidecar.port());
    const bool written = connection && connection->Write(Request(tally ? "tally-submit" : "station-page",
                                                                 sent->id, timeout, !tally));
    sent->at = NowMs();
    record.Line("client sends %s %s%s", tally ? "tally" : "page", sent->id.c_str(), written ? "" : ": fails");
    if (!written) {
      sent->answered = sent->finished = true;  // not taken
      return;
    }
    std::thread([&record, sent, connection, timeout] {
      Message answer;
      const Got got = ReadMessage(*connection, answer, sent->at + timeout + kEarnsNothingMs);
      sent->answered = got == Got::kMessage;
      record.Line("client of %s gets %s %d after %lld ms", sent->id.c_str(), NameOf(got),
                  got == Got::kMessage ? answer.status() : 0, static_cast<long long>(NowMs() - sent->at));
      sent->finished = true;
    }).detach();
  };

  // Two seconds of ordinary traffic, then a burst of tallies, at the rate of the operators' site.
  for (int i = 0; i < 80; ++i) {
    send(i % 4 == 0);
    SleepMs(25);
  }
  if (hangs) {
    hanging = true;
    record.Line("upstream 0 hangs");
  }
  for (int i = 0; i < 60; ++i) {
    send(true);
    SleepMs(4);
  }
  SleepMs(30);
  const std::int64_t stopped_at = NowMs();
  int held = 0;
  {
    const std::lock_guard lock(mutex);
    for (const auto& [id, sent] : requests) held += sent->held ? 1 : 0;
  }
  record.Line("%d requests are held by the upstream that hangs", held);
  if (stops) {
    sidecar.Signal(SIGTERM);
    record.Line("SIGTERM");
    if (sidecar.EndsBy(stopped_at + kKillAfterMs)) {
      record.Line("the sidecar has ended on its own");
    } else {
      sidecar.Kill();
      record.Line("SIGKILL, %lld ms after SIGTERM", static_cast<long long>(NowMs() - stopped_at));
    }
  }
  SleepMs(stopped_at + kLimitMs + kEarnsNothingMs + 200 - NowMs());
  hanging = false;

  int lost = 0;
  int tallies_lost = 0;
  for (const auto& [id, sent] : requests) {
    if (sent->answered) continue;
    ++lost;
    tallies_lost += sent->tally ? 1 : 0;
    record.Line("LOST %s, sent %lld ms before the stop", id.c_str(),
                static_cast<long long>(stopped_at - sent->at));
  }
  if (hangs && held == 0) End(sidecar, record, kNotRun, "no request reached the upstream that hangs");
  End(sidecar, record, lost > 0 ? kBroken : kHeld,
      std::to_string(requests.size()) + " requests, " + std::to_string(held) +
          " at the upstream that hangs, " + std::to_string(lost) + " lost, of these " +
          std::to_string(tallies_lost) + " tallies");
}
