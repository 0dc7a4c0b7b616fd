// Case 1: clients that stop in the middle of a request and stay take all of the sidecar's client descriptors;
// the application's requests are not answered any more.
//
// stalled_uploads ROOT RECORD DIRECTORY TROUBLE; exits with 1 if the rule was broken, 0 if it held, 2 if it
// could not run.
#include <algorithm>

#include "../standins/deployment.h"

namespace {

using namespace review;

constexpr int kMemoryMb = 64;  // the pages say 32 to 192
constexpr int kSockets = 384;  // the pages say 256 to 1,024
constexpr int kUpstreams = 8;
constexpr int kClients = 40;
constexpr double kRequestsPerSecond = 160;
constexpr double kSeconds = 46;
constexpr double kBadFrom = 3;
constexpr double kBadUntil = 38;
constexpr double kBadPerSecond = 6;  // owed an end within 3 s (6 s with 60 MB): 36 at once at most
constexpr double kOwedS = 6;
constexpr std::size_t kAnnounced = 60U * 1024 * 1024;
constexpr std::size_t kSentPart = 2U * 1024 * 1024;
constexpr double kGraceS = 0.55;  // an answer up to half a second late is no loss, and 50 ms are slack

struct Shared {
  Record& record;
  const bool trouble;
  std::mutex mutex;
  std::map<std::string, bool> sent;
};

// A sound page server: reads each request to its end, answers what a client sent whole.
void ServeUpstream(Shared& shared, int number, const Server*& server, int fd) {
  Conn conn(fd);
  std::mt19937_64 random(static_cast<std::uint64_t>(fd) * 104729 + static_cast<std::uint64_t>(number));
  Message request;
  while (!server->stopping()) {
    if (!Readable(conn.fd(), 50) && !conn.HasInput()) continue;
    const auto result = conn.Read(request, Now() + 120);
    if (result != Conn::Result::kMessage) return;
    const std::string id = request.Field("x-request-id");
    const ClassOfWork* of = FindClass(request.Word(1));
    if (of == nullptr) {
      conn.Write(Answer(request.Word(1) == "/alive" ? 200 : 400, "-"));
      continue;
    }
    SleepMs(of->work_ms / 2 * (1 + std::uniform_real_distribution<>(0, 1)(random)));
    shared.record.Line("s-%d runs %s", number, id.c_str());
    if (!conn.Write(Answer(200, "answer to " + id))) return;
  }
}

struct Counts {
  std::atomic<int> sent{0}, served{0}, refused{0}, failed{0}, closed{0}, lost{0}, no_connection{0},
      foreign{0};
  std::atomic<int> bad{0}, bad_ended_in_time{0}, bad_open_most{0};
};

// One of the application's connections. If it ends with a request on it that got no answer, the request is
// sent once more on a new one.
void RunClient(Shared& shared, Counts& counts, std::uint16_t port, int number, double until) {
  std::mt19937_64 random(static_cast<std::uint64_t>(number) + 4711);
  std::exponential_distribution<> pause(kRequestsPerSecond / kClients);
  std::unique_ptr<Conn> conn;
  while (true) {
    SleepMs(std::min(pause(random), 2.0) * 1000);
    if (Now() >= until) return;
    const ClassOfWork& of = DrawClass(random);
    const std::string id = RandomId(random);
    ++counts.sent;
    const double sent_at = Now();
    shared.record.Line("client %d sends %s %s", number, id.c_str(), of.name);
    auto result = Conn::Result::kEnded;
    Message answer;
    for (int tries = 0; tries < 2 && result == Conn::Result::kEnded; ++tries) {
      if (!conn || !conn->open() || conn->HasInput()) conn = std::make_unique<Conn>(ConnectTo(port));
      if (!conn->open()) break;
      conn->Write(RequestText(of, id, number, of.deadline_ms, "tally sheet " + id));
      result = conn->Read(answer, sent_at + of.deadline_ms / 1000.0 + kGraceS);
      if (result != Conn::Result::kMessage) conn->Close();
    }
    if (result == Conn::Result::kTimeout) {
      ++counts.lost;
      shared.record.Line("BROKEN: client %d has no answer to %s (%s) %.3f s after it sent it", number,
                         id.c_str(), of.name, Now() - sent_at);
    } else if (result == Conn::Result::kEnded) {
      ++counts.closed;
      shared.record.Line("client %d: its connection ended before an answer to %s", number, id.c_str());
    } else {
      const int status = answer.status();
      ++(status == 200 ? counts.served : status == 503 || status == 429 ? counts.refused : counts.failed);
      if (status == 200 && answer.body != "answer to " + id) ++counts.foreign;
      shared.record.Line("client %d gets %d to %s", number, status, id.c_str());
    }
  }
}

// A bad client: half a request at full speed, then it stays until it is ended.
struct BadClient {
  std::unique_ptr<Conn> conn;
  int number = 0;
  std::string id;
  double begun = 0;
  std::size_t written = 0;
  bool stopped = false;  // it has sent its half
};

std::string HalfOfARequest(const std::string& id) {
  return "POST /tally-submit/s-1 HTTP/1.1\r\nHost: api.internal\r\nX-Request-ID: " + id +
         "\r\nX-Timeout-Ms: 4000\r\nContent-Length: " + std::to_string(kAnnounced) + "\r\n\r\n" +
         std::string(kSentPart, 'z');
}

// Sends what the socket takes. Returns false once the sidecar has answered or closed.
bool Continue(Shared& shared, BadClient& client) {
  if (Readable(client.conn->fd(), 0)) return false;
  if (client.stopped) return true;
  const std::string text = HalfOfARequest(client.id);
  while (client.written < text.size()) {
    const ssize_t size = ::send(client.conn->fd(), text.data() + client.written, text.size() - client.written,
                                MSG_NOSIGNAL | MSG_DONTWAIT);
    if (size < 0) return errno == EAGAIN;
    client.written += static_cast<std::size_t>(size);
  }
  shared.record.Line("bad client %d has sent its half of %s", client.number, client.id.c_str());
  client.stopped = true;
  return true;
}

void RunBadClients(Shared& shared, Counts& counts, std::uint16_t port, double begin, double until) {
  std::mt19937_64 random(99);
  std::vector<BadClient> clients;
  const auto end = [&](BadClient& client, const char* how) {
    const double stayed = Now() - client.begun;
    if (stayed <= kOwedS) ++counts.bad_ended_in_time;
    shared.record.Line("bad client %d: %s after %.1f s", client.number, how, stayed);
  };
  while (Now() < until) {
    const double due = begin + kBadFrom + counts.bad / kBadPerSecond;
    if (Now() >= due && due < begin + kBadUntil) {
      BadClient client;
      client.conn = std::make_unique<Conn>(ConnectTo(port));
      client.number = counts.bad++;
      client.id = RandomId(random);
      client.begun = Now();
      if (client.conn->open()) clients.push_back(std::move(client));
      counts.bad_open_most = std::max(counts.bad_open_most.load(), static_cast<int>(clients.size()));
      if (counts.bad % 12 == 0) {
        shared.record.Line("bad clients: %d so far, %zu not ended; requests lost so far: %d",
                           counts.bad.load(), clients.size(), counts.lost.load());
      }
    }
    for (std::size_t i = 0; i < clients.size();) {
      if (Continue(shared, clients[i])) {
        ++i;
        continue;
      }
      end(clients[i], "ended");
      clients.erase(clients.begin() + static_cast<std::ptrdiff_t>(i));
    }
    SleepMs(20);
  }
  for (BadClient& client : clients) end(client, "still not ended");
}

}  // namespace

int main(int argc, char** argv) {
  if (argc != 5) return 2;
  const std::string root = argv[1], directory = argv[3];
  ::signal(SIGPIPE, SIG_IGN);
  Record record(argv[2]);
  Shared shared{record, std::string(argv[4]) != "0", {}, {}};
  std::vector<const Server*> servers(kUpstreams, nullptr);
  std::vector<std::unique_ptr<Server>> upstreams;
  std::string targets;
  for (int i = 0; i < kUpstreams; ++i) {
    const Server*& self = servers[static_cast<std::size_t>(i)];
    upstreams.push_back(
        std::make_unique<Server>([&shared, i, &self](int fd) { ServeUpstream(shared, i, self, fd); }));
    self = upstreams.back().get();
    targets += (i > 0 ? "," : "") + Target("s-" + std::to_string(i), upstreams.back()->port(),
                                           i % 2 == 0 ? "bole-hall" : "kality-hall");
  }
  Discovery discovery;
  discovery.Publish(targets);
  const std::uint16_t port = FreePort();
  const std::string listen = "127.0.0.1:" + std::to_string(port);
  WriteFile(directory + "/config.json",
            Config(listen, discovery.address(), Settings("pushed", 3), targets, "", kMemoryMb, kSockets));
  Sidecar sidecar(root, directory + "/sidecar.log",
                  {{"LB_NAME", "n1"},
                   {"LB_LISTEN", listen},
                   {"LB_DISCOVERY", discovery.address()},
                   {"LB_CONFIG", directory + "/config.json"},
                   {"TMPDIR", directory + "/tmp"}});
  if (!WaitUntilUp(port, 30)) {
    std::fprintf(stderr, "the sidecar is not up\n");
    return 2;
  }
  Counts counts;
  const double begin = Now();
  std::vector<std::thread> threads;
  for (int i = 0; i < kClients; ++i) {
    threads.emplace_back(RunClient, std::ref(shared), std::ref(counts), port, i, begin + kSeconds);
  }
  if (shared.trouble) {
    threads.emplace_back(RunBadClients, std::ref(shared), std::ref(counts), port, begin, begin + kSeconds);
  }
  for (auto& thread : threads) thread.join();
  const bool crashed = !sidecar.running();
  sidecar.Signal(SIGTERM);
  if (!sidecar.Wait(6)) sidecar.Signal(SIGKILL);
  char summary[500];
  std::snprintf(summary, sizeof summary,
                "requests sent %d served %d refused %d failed %d closed %d never answered %d foreign %d; bad "
                "clients %d, "
                "ended within %.0f s %d, most at once %d; crashed: %s",
                counts.sent.load(), counts.served.load(), counts.refused.load(), counts.failed.load(),
                counts.closed.load(), counts.lost.load(), counts.foreign.load(), counts.bad.load(), kOwedS,
                counts.bad_ended_in_time.load(), counts.bad_open_most.load(), crashed ? "yes" : "no");
  record.Line("%s", summary);
  std::printf("%s\n", summary);
  if (counts.sent < 1000) return 2;
  return counts.lost > 0 || counts.foreign > 0 || crashed ? 1 : 0;
}
