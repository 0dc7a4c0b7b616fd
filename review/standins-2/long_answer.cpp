// Answers of 768 KiB, and one page server of ten that hangs in the middle of its work and then goes on: does
// each client get the whole of an answer that its upstream goes on giving?
//
// TROUBLE=0: no hang.
#include "platform.h"

namespace {

using namespace platform;

constexpr int kUpstreams = 10;
constexpr int kClients = 30;
constexpr std::size_t kPiece = 64 * 1024;
constexpr std::size_t kPieces = 12;
constexpr std::int64_t kBetweenPiecesMs = 250;
constexpr std::int64_t kHangMs = 18'000;  // the pages: 6.8 to 21 s
constexpr std::int64_t kLimitMs = 2000;

}  // namespace

int main(int count, char** values) {
  const Arguments arguments = ReadArguments(count, values);
  Record record(arguments.record);
  std::atomic<bool> hanging{false};
  std::atomic<int> held{0};
  std::vector<Target> targets;
  for (int i = 0; i < kUpstreams; ++i) {
    Target target{"s-" + std::to_string(i), 0, i % 2 == 0 ? "hall-a" : "hall-b"};
    Serve(Listen(target.port), [&, i](const std::shared_ptr<Connection>& connection) {
      Message request;
      while (ReadMessage(*connection, request, NowMs() + 60'000) == Got::kMessage) {
        const std::string id = request.Field("x-request-id");
        record.Line("upstream %d begins %s", i, id.c_str());
        SleepMs(50);
        std::string head =
            "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(kPiece * kPieces) + "\r\n\r\n";
        for (std::size_t piece = 0; piece < kPieces; ++piece) {
          if (i == 0 && hanging) {
            if (piece > 0) ++held;
            record.Line("upstream %d hangs in %s after %zu pieces", i, id.c_str(), piece);
            while (hanging) SleepMs(5);
          }
          if (!connection->Write(head + std::string(kPiece, static_cast<char>('a' + piece)))) {
            record.Line("upstream %d can't go on with %s: its connection is closed", i, id.c_str());
            return;
          }
          head.clear();
          SleepMs(kBetweenPiecesMs);
        }
        record.Line("upstream %d has given all of %s", i, id.c_str());
      }
    });
    targets.push_back(target);
  }
  const std::vector<RequestClass> classes = {{"seat-table", true, 600, kLimitMs}};
  Sidecar sidecar(arguments.run, arguments.folder, classes, targets, StartDiscovery(targets));
  if (!sidecar.IsUp()) End(sidecar, record, kNotRun, "the sidecar is not up");

  std::atomic<int> begun{0};
  std::atomic<int> whole{0};
  std::atomic<int> lost{0};
  std::vector<std::thread> clients;
  for (int client = 0; client < kClients; ++client) {
    clients.emplace_back([&, client] {
      const std::string id = std::to_string(100000 + client);
      const auto connection = Connection::To(sidecar.port());
      if (!connection || !connection->Write(Request("seat-table", id, kLimitMs, true))) return;
      record.Line("client sends %s", id.c_str());
      Message answer;
      const std::int64_t sent = NowMs();
      const Got got = ReadMessage(*connection, answer, sent + 60'000);
      const auto after = static_cast<long long>(NowMs() - sent);
      const bool is_begun =
          got == Got::kMessage ? answer.status() == 200 : connection->buffer().starts_with("HTTP/1.1 200");
      if (!is_begun) return record.Line("client of %s gets %s %d", id.c_str(), NameOf(got), answer.status());
      ++begun;
      if (got == Got::kMessage && answer.body.size() == kPiece * kPieces) {
        ++whole;
        return record.Line("client of %s has the whole answer after %lld ms", id.c_str(), after);
      }
      ++lost;
      record.Line("LOST %s: %s after %lld ms and %zu bytes", id.c_str(), NameOf(got), after,
                  connection->buffer().size());
    });
    SleepMs(40);
  }
  SleepMs(600);
  if (arguments.trouble) {
    hanging = true;
    record.Line("upstream 0 hangs");
    SleepMs(kHangMs);
    hanging = false;
    record.Line("upstream 0 goes on");
  }
  for (auto& client : clients) client.join();
  const std::string figures = std::to_string(begun) + " answers begun, " + std::to_string(held) +
                              " held in the middle, " + std::to_string(whole) + " whole, " +
                              std::to_string(lost) + " cut off";
  if (begun == 0 || (arguments.trouble && held == 0)) End(sidecar, record, kNotRun, figures);
  End(sidecar, record, lost > 0 ? kBroken : kHeld, figures);
}
