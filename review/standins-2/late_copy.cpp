// Good answers that are followed by a second copy some milliseconds late: does each client get the answer
// that was made for its request?
//
// The line between the sidecar and an upstream of the other hall has the one-way delay of the operators'
// halls. An upstream sends the second copy only if not a byte of another request has reached it on that
// connection.
//
// TROUBLE=0: no second copies.
#include <condition_variable>
#include <deque>
#include <random>

#include "platform.h"

namespace {

using namespace platform;

constexpr int kUpstreams = 8;
constexpr int kClients = 24;
constexpr std::int64_t kRunMs = 40'000;
// One way, to upstreams of the sidecar's own hall and of the other one (the halls are 1.4 to 2.6 ms apart).
constexpr std::int64_t kNearUs = 200;
constexpr std::int64_t kFarUs = 2'000;
constexpr double kCopyShare = 0.05;  // of the answers
constexpr int kCopyFromUs = 1'000;   // "some milliseconds late"
constexpr int kCopyToUs = 5'000;

// One direction of a line: bytes arrive a fixed time after they were put in.
class Pipe {
 public:
  explicit Pipe(std::int64_t delay_us) : delay_us_(delay_us) {}
  void Put(std::string bytes) {
    const std::lock_guard lock(mutex_);
    queue_.emplace_back(NowUs() + delay_us_, std::move(bytes));
    changed_.notify_all();
  }
  void End() {
    const std::lock_guard lock(mutex_);
    ended_ = true;
    changed_.notify_all();
  }
  // Appends the next bytes to `bytes` once they arrive; false at the end of the line.
  bool Take(std::string& bytes) {
    std::unique_lock lock(mutex_);
    changed_.wait(lock, [this] { return ended_ || !queue_.empty(); });
    if (queue_.empty()) return false;
    const std::int64_t at = queue_.front().first;
    lock.unlock();
    if (at > NowUs()) std::this_thread::sleep_for(std::chrono::microseconds(at - NowUs()));
    lock.lock();
    bytes += queue_.front().second;
    queue_.pop_front();
    return true;
  }
  // Whether bytes have arrived by now that were not taken.
  bool HasArrived() {
    const std::lock_guard lock(mutex_);
    return ended_ || (!queue_.empty() && queue_.front().first <= NowUs());
  }

 private:
  const std::int64_t delay_us_;
  std::mutex mutex_;
  std::condition_variable changed_;
  std::deque<std::pair<std::int64_t, std::string>> queue_;
  bool ended_ = false;
};

}  // namespace

int main(int count, char** values) {
  const Arguments arguments = ReadArguments(count, values);
  Record record(arguments.record);
  std::atomic<int> copies{0};
  std::vector<Target> targets;
  for (int i = 0; i < kUpstreams; ++i) {
    Target target{"s-" + std::to_string(i), 0, i % 2 == 0 ? "hall-a" : "hall-b"};
    Serve(Listen(target.port), [&, i](const std::shared_ptr<Connection>& connection) {
      const std::int64_t delay_us = i % 2 == 0 ? kNearUs : kFarUs;
      const auto in = std::make_shared<Pipe>(delay_us);
      const auto out = std::make_shared<Pipe>(delay_us);
      std::thread([connection, in] {
        while (connection->Receive(NowMs() + 120'000) == Connection::Read::kBytes) {
          in->Put(std::exchange(connection->buffer(), {}));
        }
        in->End();
      }).detach();
      std::thread([connection, out] {
        for (std::string bytes; out->Take(bytes); bytes.clear()) {
          if (!connection->Write(bytes)) return;
        }
      }).detach();
      std::mt19937 random(std::random_device{}());
      std::string arrived;
      Message request;
      while (true) {
        while (TakeMessage(arrived, request) != Parsed::kWhole) {
          if (in->Take(arrived)) continue;
          out->End();
          return;
        }
        const std::string id = request.Field("x-request-id");
        SleepMs(std::uniform_int_distribution(30, 70)(random));
        const std::string answer = Response("made for " + id);
        out->Put(answer);
        record.Line("upstream %d answers %s", i, id.c_str());
        if (!arguments.trouble || std::uniform_real_distribution<>()(random) >= kCopyShare) continue;
        const int late = std::uniform_int_distribution(kCopyFromUs, kCopyToUs)(random);
        std::this_thread::sleep_for(std::chrono::microseconds(late));
        if (!arrived.empty() || in->HasArrived()) continue;  // something else waits on the connection
        out->Put(answer);
        ++copies;
        record.Line("upstream %d answers %s a second time, %d us late", i, id.c_str(), late);
      }
    });
    targets.push_back(target);
  }
  const std::vector<RequestClass> classes = {{"station-page", true, 400, 1000},
                                             {"tally-submit", false, 800, 4000}};
  Sidecar sidecar(arguments.run, arguments.folder, classes, targets, StartDiscovery(targets));
  if (!sidecar.IsUp()) End(sidecar, record, kNotRun, "the sidecar is not up");

  std::atomic<int> served{0};
  std::atomic<int> others{0};
  std::atomic<int> foreign{0};
  std::atomic<int> foreign_tallies{0};
  std::vector<std::thread> clients;
  const std::int64_t until = NowMs() + kRunMs;
  for (int client = 0; client < kClients; ++client) {
    clients.emplace_back([&, client] {
      std::mt19937 random(std::random_device{}());
      std::shared_ptr<Connection> connection;
      for (int number = 0; NowMs() < until; ++number) {
        const std::string id = std::to_string((client + 1) * 1'000'000 + number);
        const bool tally = number % 9 == 0;
        if (!connection) connection = Connection::To(sidecar.port());
        Message answer;
        record.Line("client %d sends %s %s", client, tally ? "tally" : "page", id.c_str());
        const bool got = connection &&
                         connection->Write(Request(tally ? "tally-submit" : "station-page", id,
                                                   tally ? 4000 : 1000, !tally)) &&
                         ReadMessage(*connection, answer, NowMs() + 5000) == Got::kMessage;
        if (!got || answer.Field("connection") == "close") connection = nullptr;
        if (got && answer.status() == 200) {
          ++served;
          record.Line("client %d gets 200 for %s: %s", client, id.c_str(), answer.body.c_str());
          if (answer.body != "made for " + id) {
            ++foreign;
            foreign_tallies += tally ? 1 : 0;
            record.Line("FOREIGN %s got the answer '%s'", id.c_str(), answer.body.c_str());
          }
        } else {
          ++others;
          record.Line("client %d gets %d for %s", client, got ? answer.status() : 0, id.c_str());
        }
        SleepMs(static_cast<std::int64_t>(std::exponential_distribution<>(1.0 / 55)(random)));
      }
    });
  }
  for (auto& client : clients) client.join();
  const std::string figures = std::to_string(served) + " served, " + std::to_string(others) + " not, " +
                              std::to_string(copies) + " second copies, " + std::to_string(foreign) +
                              " clients got the answer to another request, of these " +
                              std::to_string(foreign_tallies) + " tallies";
  if (served < 1000) End(sidecar, record, kNotRun, "too few were served: " + figures);
  End(sidecar, record, foreign > 0 ? kBroken : kHeld, figures);
}
