// A planned stop while a quarter of the page servers hang, with clients that write slowly: does each request
// that came more than 0.7 s after SIGTERM get an answer before the platform's SIGKILL?
//
// TROUBLE=0: no hang and no stop. TROUBLE=hang and TROUBLE=stop have one of the two.
#include "platform.h"

namespace {

using namespace platform;

constexpr int kUpstreams = 12;
constexpr int kHanging = 3;
constexpr int kSlowClients = 40;
constexpr std::int64_t kLimitMs = 3000;  // of a tally, the longest deadline, and its X-Timeout-Ms
// So much after its time an answer is not lost: "up to half a second after its time it only earns nothing",
// the 50 ms by which each limit is longer on sockets, and GraceToAnswer of the settings.
constexpr std::int64_t kNotLostMs = 500 + 50 + 20;
// From SIGTERM to SIGKILL: "the longest deadline (3 s at most) and 0.7 s more", and a little.
constexpr std::int64_t kKillAfterMs = kLimitMs + 700 + 20;
constexpr std::int64_t kCameLateMs = 700;  // what came so long after SIGTERM must not be found unanswered
// A slow client's request is written in this many pieces, 1.9 s from the first to the last byte at most.
constexpr int kPieces = 6;
constexpr std::int64_t kBetweenPiecesMs = 370;
constexpr std::int64_t kHangAfterStopMs = 1600;

struct Sent {
  std::string id;
  std::int64_t at = 0;                // NowMs() when its last byte was written; 0: it was not taken
  std::atomic<bool> held{false};      // it reached an upstream that hangs
  std::atomic<bool> answered{false};  // with a whole answer of any status, in time
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
        const bool holds = i < kHanging && hanging;
        record.Line("upstream %d %s %s", i, holds ? "holds" : "begins", id.c_str());
        if (holds) {
          const std::lock_guard lock(mutex);
          if (const auto it = requests.find(id); it != requests.end()) it->second->held = true;
        }
        SleepMs(130);
        while (i < kHanging && hanging) SleepMs(5);
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

  // Sends one tally in `pieces`, and waits for its answer.
  const auto submit = [&](const std::string& id, int pieces) {
    auto sent = std::make_shared<Sent>();
    sent->id = id;
    {
      const std::lock_guard lock(mutex);
      requests[id] = sent;
    }
    const auto connection = Connection::To(sidecar.port());
    const std::string text = Request("tally-submit", id, kLimitMs, false);
    const std::size_t size = text.size() / static_cast<std::size_t>(pieces) + 1;
    for (std::size_t at = 0; connection && at < text.size(); at += size) {
      if (at > 0) SleepMs(kBetweenPiecesMs);
      pollfd polled{connection->fd(), POLLIN | POLLRDHUP, 0};
      if (::poll(&polled, 1, 0) != 0 || !connection->Write(text.substr(at, size))) {
        record.Line("client of %s is answered or closed before its last byte", id.c_str());
        return;
      }
      if (at == 0) record.Line("client writes the first of %d pieces of %s", pieces, id.c_str());
    }
    if (!connection) return;
    sent->at = NowMs();
    record.Line("client has written all of %s", id.c_str());
    Message answer;
    const Got got = ReadMessage(*connection, answer, sent->at + kLimitMs + kNotLostMs);
    sent->answered = got == Got::kMessage;
    record.Line("client of %s gets %s %d after %lld ms", id.c_str(), NameOf(got),
                got == Got::kMessage ? answer.status() : 0, static_cast<long long>(NowMs() - sent->at));
  };

  // Two seconds of ordinary traffic, then the clients that write slowly, then the stop.
  std::vector<std::thread> clients;
  for (int i = 0; i < 80; ++i) {
    clients.emplace_back(submit, std::to_string(100000 + i), 1);
    SleepMs(25);
  }
  for (int i = 0; i < kSlowClients; ++i) {
    clients.emplace_back(submit, std::to_string(200000 + i), kPieces);
    SleepMs(2);
  }
  SleepMs(50);
  const std::int64_t stopped_at = NowMs();
  if (stops) {
    sidecar.Signal(SIGTERM);
    record.Line("SIGTERM");
  }
  SleepMs(stopped_at + kHangAfterStopMs - NowMs());
  if (hangs) {
    hanging = true;
    record.Line("upstreams 0 to %d hang", kHanging - 1);
  }
  if (stops && sidecar.EndsBy(stopped_at + kKillAfterMs)) {
    record.Line("the sidecar has ended on its own");
  } else if (stops) {
    sidecar.Kill();
    record.Line("SIGKILL, %lld ms after SIGTERM", static_cast<long long>(NowMs() - stopped_at));
  }
  for (auto& client : clients) client.join();

  int late = 0;
  int held = 0;
  int lost = 0;
  for (const auto& [id, sent] : requests) {
    if (sent->at <= stopped_at + kCameLateMs) continue;
    ++late;
    held += sent->held ? 1 : 0;
    if (sent->answered) continue;
    ++lost;
    record.Line("LOST %s, which came %lld ms after SIGTERM", id.c_str(),
                static_cast<long long>(sent->at - stopped_at));
  }
  const std::string figures = std::to_string(late) + " requests came more than 0.7 s after the stop, " +
                              std::to_string(held) + " of them to an upstream that hangs, " +
                              std::to_string(lost) + " lost";
  if (late == 0 || (hangs && held == 0)) End(sidecar, record, kNotRun, figures);
  End(sidecar, record, lost > 0 ? kBroken : kHeld, figures);
}
