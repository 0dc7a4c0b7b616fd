// Case 3: an upstream hangs in the middle of long answers and then gives the rest; the sidecar has cut them
// off.
//
// hung_answer ROOT RECORD DIRECTORY TROUBLE; exits with 1 if the rule was broken, 0 if it held, 2 if it could
// not run.
#include <algorithm>

#include "../standins/deployment.h"

namespace {

using namespace review;

constexpr int kUpstreams = 8;  // one of them hangs: 12.5%; the pages say up to 18%
constexpr int kHangs = 2;      // its number
constexpr double kHangAt = 5;
constexpr double kHangS = 18;  // the pages say 6.8 to 21 s
constexpr int kReaders = 24;   // clients that ask for long answers
constexpr int kOthers = 20;    // clients that ask for short ones
constexpr double kSeconds = 27;
constexpr std::size_t kLongBody =
    768 * 1024;  // the pages say up to 32 MB; above 64 KiB the first bytes are timed
constexpr std::size_t kPiece = 32 * 1024;
constexpr double kPieceMs = 100;

struct Shared {
  Record& record;
  const bool trouble;
  double hang_from = 1e9, hang_until = 1e9;  // set before the clients start
  std::mutex mutex;
  std::map<std::string, std::string> given;  // id: what its upstream did with a long answer
};

bool Hangs(const Shared& shared, int number) {
  return shared.trouble && number == kHangs && Now() >= shared.hang_from && Now() < shared.hang_until;
}

// While the server hangs it takes connections and bytes, and gives nothing.
void WaitWhileHung(const Shared& shared, int number, const Server& server) {
  while (Hangs(shared, number) && !server.stopping()) SleepMs(5);
}

std::string LongBody(const std::string& id) {
  std::string body;
  while (body.size() < kLongBody) body += "results of " + id + " at " + std::to_string(body.size()) + '\n';
  body.resize(kLongBody);
  return body;
}

// Writes a long answer piece by piece. Returns false if the sidecar ended the connection before the last
// piece.
bool GiveLongAnswer(Shared& shared, int number, const Server& server, Conn& conn, const std::string& id) {
  const std::string text = Answer(200, LongBody(id));
  const double begun = Now();
  bool hung = false;
  for (std::size_t at = 0; at < text.size(); at += kPiece) {
    hung = hung || Hangs(shared, number);
    WaitWhileHung(shared, number, server);
    const bool open = !conn.HasInput() && conn.Write(text.substr(at, kPiece));
    if (!open) {
      const std::lock_guard lock(shared.mutex);
      shared.given[id] = "cut off";
      shared.record.Line(
          "s-%d goes on with its answer to %s, begun at %.3f%s: the sidecar has closed the connection",
          number, id.c_str(), begun, hung ? ", hung meanwhile" : "");
      return false;
    }
    SleepMs(kPieceMs);
  }
  const std::lock_guard lock(shared.mutex);
  shared.given[id] = "given";
  shared.record.Line("s-%d has given its whole answer to %s, begun at %.3f%s", number, id.c_str(), begun,
                     hung ? ", hung meanwhile" : "");
  return true;
}

void ServeUpstream(Shared& shared, int number, const Server*& server, int fd) {
  Conn conn(fd);
  std::mt19937_64 random(static_cast<std::uint64_t>(fd) * 104729 + static_cast<std::uint64_t>(number));
  Message request;
  double last = Now();
  while (!server->stopping()) {
    const auto result = conn.Read(request, Now() + 0.05);
    if (result == Conn::Result::kEnded || Now() - last > 40) return;
    if (result == Conn::Result::kTimeout) continue;
    WaitWhileHung(shared, number, *server);
    last = Now();
    const std::string target = request.Word(1);
    const std::string id = request.Field("x-request-id");
    const ClassOfWork* of = FindClass(target);
    if (of == nullptr) {
      conn.Write(Answer(target == "/alive" ? 200 : 400, "-"));
      continue;
    }
    SleepMs(of->work_ms / 2 * (1 + std::uniform_real_distribution<>(0, 1)(random)));
    WaitWhileHung(shared, number, *server);
    shared.record.Line("s-%d runs %s %s", number, id.c_str(), target.c_str());
    if (target.find("/s-long") == std::string::npos) {
      if (!conn.Write(Answer(200, "answer to " + id))) return;
    } else if (!GiveLongAnswer(shared, number, *server, conn, id)) {
      return;
    }
  }
}

struct Counts {
  std::atomic<int> sent{0}, whole{0}, not_begun{0}, cut{0}, failed_otherwise{0}, foreign{0}, others_sent{0},
      others_served{0};
};

// Reads an answer and says when its first and its last bytes came.
struct Reading {
  double first = 0, last = 0;
  bool ended = false;  // the sidecar ended the connection
  std::string bytes;
};

Reading ReadAnswer(int fd, double until) {
  Reading reading;
  std::size_t whole = 0;
  while (Now() < until) {
    if (!Readable(fd, 100)) continue;
    char bytes[65536];
    const ssize_t size = ::recv(fd, bytes, sizeof bytes, 0);
    if (size <= 0) {
      reading.ended = true;
      return reading;
    }
    if (reading.bytes.empty()) reading.first = Now();
    reading.last = Now();
    reading.bytes.append(bytes, static_cast<std::size_t>(size));
    const std::size_t head = reading.bytes.find("\r\n\r\n");
    if (whole == 0 && head != std::string::npos) {
      const std::size_t field = reading.bytes.find("Content-Length: ");
      const std::size_t length =
          field < head ? std::strtoul(reading.bytes.c_str() + field + 16, nullptr, 10) : 0;
      whole = head + 4 + length;
    }
    if (whole > 0 && reading.bytes.size() >= whole) return reading;
  }
  return reading;
}

// Asks for one long answer after the other, each on a connection of its own, and waits for all that comes.
void ReadLong(Shared& shared, Counts& counts, std::uint16_t port, int number, double until) {
  std::mt19937_64 random(static_cast<std::uint64_t>(number) + 17);
  const ClassOfWork& of = kClasses[2];
  SleepMs(100.0 * number);
  while (Now() < until) {
    const std::string id = RandomId(random);
    const int fd = ConnectTo(port);
    if (fd < 0) return;
    Conn conn(fd);
    ++counts.sent;
    const double sent = Now();
    shared.record.Line("reader %d sends %s", number, id.c_str());
    std::string text = RequestText(of, id, number, of.deadline_ms, "");
    text.replace(text.find("/s-"), 3, "/s-long");
    conn.Write(text);
    const Reading reading = ReadAnswer(conn.fd(), sent + 30);
    const std::size_t head = reading.bytes.find("\r\n\r\n");
    const bool served = reading.bytes.rfind("HTTP/1.1 200", 0) == 0;
    if (head == std::string::npos || !served) {
      ++counts.not_begun;
      shared.record.Line("reader %d gets no served answer to %s: %.30s", number, id.c_str(),
                         reading.bytes.c_str());
      continue;
    }
    const std::string body = reading.bytes.substr(head + 4);
    const std::string own = LongBody(id);
    if (body == own) {
      ++counts.whole;
      shared.record.Line("reader %d gets the whole answer to %s, from %.3f to %.3f", number, id.c_str(),
                         reading.first, reading.last);
      continue;
    }
    if (own.rfind(body, 0) != 0) {
      ++counts.foreign;
      shared.record.Line("reader %d gets other bytes to %s", number, id.c_str());
      continue;
    }
    // The rest: did the upstream still give it?
    std::string given;
    for (const double wait = shared.hang_until + 3; given.empty() && Now() < wait; SleepMs(20)) {
      const std::lock_guard lock(shared.mutex);
      given = shared.given[id];
    }
    const bool broken = reading.first - sent < of.deadline_ms / 1000.0 && given == "cut off";
    ++(broken ? counts.cut : counts.failed_otherwise);
    shared.record.Line(
        "%sreader %d: answer to %s begun after %.3f s, ended with %zu of %zu bytes; its upstream: %s",
        broken ? "BROKEN: " : "", number, id.c_str(), reading.first - sent, body.size(), own.size(),
        given.c_str());
  }
}

void AskOthers(Shared& shared, Counts& counts, std::uint16_t port, int number, double until) {
  std::mt19937_64 random(static_cast<std::uint64_t>(number) + 4711);
  std::unique_ptr<Conn> conn;
  while (Now() < until) {
    SleepMs(std::exponential_distribution<>(1)(random) * 400);
    if (!conn || !conn->open() || conn->HasInput()) conn = std::make_unique<Conn>(ConnectTo(port));
    const ClassOfWork& of = DrawClass(random);
    const std::string id = RandomId(random);
    ++counts.others_sent;
    conn->Write(RequestText(of, id, number, of.deadline_ms, "tally sheet " + id));
    Message answer;
    if (conn->Read(answer, Now() + of.deadline_ms / 1000.0 + 0.5) != Conn::Result::kMessage) {
      conn.reset();
      continue;
    }
    shared.record.Line("client %d gets %d to %s", number, answer.status(), id.c_str());
    if (answer.status() == 200) ++counts.others_served;
  }
}

}  // namespace

int main(int argc, char** argv) {
  if (argc != 5) return 2;
  const std::string root = argv[1], directory = argv[3];
  ::signal(SIGPIPE, SIG_IGN);
  Record record(argv[2]);
  Shared shared{record, std::string(argv[4]) != "0", 1e9, 1e9, {}, {}};
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
  WriteFile(directory + "/config.json", Config(listen, discovery.address(), Settings("pushed", 3), targets));
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
  shared.hang_from = begin + kHangAt;
  shared.hang_until = begin + kHangAt + kHangS;
  std::vector<std::thread> clients;
  for (int i = 0; i < kReaders; ++i) {
    clients.emplace_back(ReadLong, std::ref(shared), std::ref(counts), port, i, begin + kSeconds);
  }
  for (int i = 0; i < kOthers; ++i) {
    clients.emplace_back(AskOthers, std::ref(shared), std::ref(counts), port, i, begin + kSeconds);
  }
  for (auto& client : clients) client.join();
  const bool crashed = !sidecar.running();
  sidecar.Signal(SIGTERM);
  sidecar.Wait(6);
  char summary[400];
  std::snprintf(summary, sizeof summary,
                "long answers: asked %d whole %d not begun %d, cut off while their upstream gave the rest "
                "%d, otherwise "
                "incomplete %d, foreign %d; short: asked %d served %d; crashed: %s",
                counts.sent.load(), counts.whole.load(), counts.not_begun.load(), counts.cut.load(),
                counts.failed_otherwise.load(), counts.foreign.load(), counts.others_sent.load(),
                counts.others_served.load(), crashed ? "yes" : "no");
  record.Line("%s", summary);
  std::printf("%s\n", summary);
  if (crashed || counts.whole < counts.sent / 2) return 2;
  return counts.cut > 0 || counts.foreign > 0 ? 1 : 0;
}
