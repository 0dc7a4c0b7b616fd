// A keyed class whose upstreams drop repeats for one second, and a hall that is cut off for three: does a
// request run a second time, after its repeats are no longer dropped?
//
// A hall that is cut off says nothing: open connections stay open and silent, new ones never come up. When it
// is back, what was written to a connection arrives, unless the sidecar has closed that connection meanwhile.
//
// TROUBLE=0: no cut.
#include <random>

#include "platform.h"

namespace {

using namespace platform;

constexpr int kUpstreams = 10;
constexpr int kClients = 60;
constexpr int kCuts = 6;
constexpr std::int64_t kCutMs = 3000;  // the pages have cuts of up to 6 s
constexpr std::int64_t kBetweenCutsMs = 8000;
constexpr std::int64_t kWindowMs = 1000;
constexpr std::int64_t kLimitMs = 4000;
// What the pages add to a limit: 50 ms on sockets, 0.15 s for a sidecar that is held up. 50 ms for the
// stand-in.
constexpr std::int64_t kSlackMs = 50 + 150 + 50;

std::atomic<bool> cut{false};

// One upstream's listening socket, whose line may be cut.
class Door {
 public:
  explicit Door(bool may_be_cut) : may_be_cut_(may_be_cut) { listening_ = Listen(port_); }
  std::uint16_t port() const { return port_; }
  bool IsCut() const { return may_be_cut_ && cut; }

  void Serve(const std::function<void(Connection&)>& serve) {
    std::thread([this, serve] {
      while (true) {
        if (IsCut()) {
          // A full backlog: the kernel drops what asks for a new connection.
          ::listen(listening_, 0);
          std::vector<int> fillers;
          for (int i = 0; i < 4; ++i) {
            fillers.push_back(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
            const sockaddr_in address = Loopback(port_);
            ::connect(fillers.back(), reinterpret_cast<const sockaddr*>(&address), sizeof address);
          }
          while (IsCut()) SleepMs(2);
          for (const int filler : fillers) ::close(filler);
          ::listen(listening_, 512);
        }
        pollfd polled{listening_, POLLIN, 0};
        if (::poll(&polled, 1, 2) <= 0 || IsCut()) continue;
        const int fd = ::accept4(listening_, nullptr, nullptr, SOCK_CLOEXEC);
        if (fd < 0) continue;
        std::thread([serve, connection = std::make_shared<Connection>(fd)] { serve(*connection); }).detach();
      }
    }).detach();
  }

  // Like ReadMessage(), but nothing arrives while the line is cut; what a closed connection had not delivered
  // by then never arrives.
  bool Read(Connection& connection, Message& message) const {
    bool was_cut = false;
    while (true) {
      if (IsCut()) {
        was_cut = true;
        SleepMs(2);
        continue;
      }
      if (was_cut && IsClosed(connection)) return false;
      was_cut = false;
      pollfd polled{connection.fd(), POLLIN, 0};
      const int ready = ::poll(&polled, 1, 5);
      if (ready <= 0 || IsCut()) continue;
      if (connection.Receive(NowMs() + 1) != Connection::Read::kBytes) return false;
      if (TakeMessage(connection.buffer(), message) == Parsed::kWhole) return true;
    }
  }
  bool Write(Connection& connection, const std::string& bytes) const {
    while (IsCut()) SleepMs(2);
    return connection.Write(bytes);
  }

 private:
  static bool IsClosed(const Connection& connection) {
    pollfd polled{connection.fd(), POLLRDHUP, 0};
    return ::poll(&polled, 1, 0) > 0;
  }

  const bool may_be_cut_;
  std::uint16_t port_ = 0;
  int listening_ = -1;
};

// The memory of repeats, which all upstreams share.
struct Effects {
  struct Effect {
    std::int64_t first_at = 0;  // NowMs() when the last byte of the first attempt had come
    int upstream = 0;
  };
  std::mutex mutex;
  std::map<std::string, Effect> by_key;
  int repeats = 0;  // dropped
  int twice = 0;
};

}  // namespace

int main(int count, char** values) {
  const Arguments arguments = ReadArguments(count, values);
  Record record(arguments.record);
  Effects effects;
  std::vector<Target> targets;
  for (int i = 0; i < kUpstreams; ++i) {
    const bool far = i % 2 == 1;
    auto* const door = new Door(far);  // lives as long as the process
    targets.push_back({"s-" + std::to_string(i), door->port(), far ? "hall-b" : "hall-a"});
    door->Serve([&, i, door](Connection& connection) {
      std::mt19937 random(std::random_device{}());
      Message request;
      while (door->Read(connection, request)) {
        const std::string key = request.Field("idempotency-key");
        const std::int64_t now = NowMs();
        {
          const std::lock_guard lock(effects.mutex);
          const auto [it, is_new] = effects.by_key.try_emplace(key, Effects::Effect{now, i});
          const auto age = static_cast<long long>(now - it->second.first_at);
          if (is_new) {
            record.Line("upstream %d runs %s", i, key.c_str());
          } else if (age <= kWindowMs + kSlackMs) {
            ++effects.repeats;
            record.Line("upstream %d drops the repeat of %s after %lld ms", i, key.c_str(), age);
          } else {
            ++effects.twice;
            record.Line("TWICE upstream %d runs %s again, %lld ms after upstream %d", i, key.c_str(), age,
                        it->second.upstream);
          }
        }
        SleepMs(std::uniform_int_distribution(60, 140)(random));
        if (!door->Write(connection, Response("done " + key))) return;
      }
    });
  }
  const std::vector<RequestClass> classes = {{"note-result", false, 600, kLimitMs, kWindowMs, 0.5}};
  Sidecar sidecar(arguments.run, arguments.folder, classes, targets, StartDiscovery(targets));
  if (!sidecar.IsUp()) End(sidecar, record, kNotRun, "the sidecar is not up");

  std::atomic<bool> done{false};
  std::atomic<int> served{0};
  std::atomic<int> others{0};
  std::vector<std::thread> clients;
  for (int client = 0; client < kClients; ++client) {
    clients.emplace_back([&, client] {
      std::mt19937 random(std::random_device{}());
      std::shared_ptr<Connection> connection;
      for (int number = 0; !done; ++number) {
        const std::string id = std::to_string((client + 1) * 1'000'000 + number);
        if (!connection) connection = Connection::To(sidecar.port());
        Message answer;
        record.Line("client %d sends %s", client, id.c_str());
        const bool got = connection &&
                         connection->Write(Request("note-result", id, kLimitMs, false, "key-" + id)) &&
                         ReadMessage(*connection, answer, NowMs() + kLimitMs + 1000) == Got::kMessage;
        if (!got || answer.Field("connection") == "close") connection = nullptr;
        ++(got && answer.status() == 200 ? served : others);
        record.Line("client %d gets %d for %s", client, got ? answer.status() : 0, id.c_str());
        SleepMs(static_cast<std::int64_t>(std::exponential_distribution<>(1.0 / 400)(random)));
      }
    });
  }
  SleepMs(5000);
  for (int i = 0; i < kCuts; ++i) {
    if (arguments.trouble) {
      cut = true;
      record.Line("hall-b is cut off");
    }
    SleepMs(kCutMs);
    if (arguments.trouble) record.Line("hall-b is back");
    cut = false;
    SleepMs(kBetweenCutsMs);
  }
  done = true;
  for (auto& client : clients) client.join();
  const std::string figures = std::to_string(served) + " served, " + std::to_string(others) + " not, " +
                              std::to_string(effects.repeats) + " repeats dropped, " +
                              std::to_string(effects.twice) + " ran twice";
  if (served < 500) End(sidecar, record, kNotRun, "too few were served: " + figures);
  End(sidecar, record, effects.twice > 0 ? kBroken : kHeld, figures);
}
