#include "soak/clients.h"

#include <sys/socket.h>

#include <algorithm>
#include <latch>
#include <memory>
#include <utility>

namespace mothrack::soak {
namespace {

// How long a client waits beyond its time before it counts a request as lost.
constexpr std::chrono::seconds kLostAfter{5};
// A slow writer takes this long from its first byte to its last at most; the deployment's clients may take 2
// s for a head.
constexpr Milliseconds kMaxSlowWrite{2000};
// The deployment ends a client that stops in a request within 3 s.
constexpr Milliseconds kBadClientLimit{3000};

std::uint64_t Below(std::mt19937_64& random, std::uint64_t bound) { return random() % bound; }

// Returns a number from `low` to `high`.
std::uint64_t Between(std::mt19937_64& random, std::uint64_t low, std::uint64_t high) {
  return low + Below(random, high - low + 1);
}

// How a request is made unsound, and when that is written.
enum class RequestDefect {
  kNone,
  kNoHost,
  kTwoHosts,
  kFragment,
  kBytesBehind,       // a length that is too short, or noise behind a GET, in one write
  kBytesBehindLater,  // the same in a second write, before the upstream answers
};
// The numbers of clients whose answers stall begin here.
constexpr int kFirstStalled = 200;
constexpr std::uint64_t kRequestDefects = 5;  // without kNone
// An upstream holds the answer to a request that becomes unsound later for this long.
constexpr Milliseconds kHoldAnswer{150};
constexpr const char* kBytesBehind = "cde";

struct RequestDraw {
  RequestDefect defect = RequestDefect::kNone;
  Effect effect{};
  Plan plan;
  Milliseconds timeout{};
  std::string body;
  bool chunked = false;
};

Plan DrawSlowAnswer(std::mt19937_64& random) {
  Plan plan;
  plan.framing = static_cast<Plan::Framing>(Below(random, Plan::kFramings));
  plan.size = Between(random, 22'000, 400'000);
  switch (Below(random, 3)) {
    case 0:  // steady, 60 kB a second
      plan.piece = 3000;
      plan.pause = Milliseconds(50);
      break;
    case 1:  // in lumps
      plan.piece = 30'000;
      plan.pause = Milliseconds(Between(random, 100, 400));
      break;
    default:  // late body
      plan.delay = Milliseconds(Between(random, 300, 1500));
      plan.piece = 20'000;
      plan.pause = Milliseconds(20);
  }
  return plan;
}

// A long answer whose upstream stalls in its middle for as long as the deployment's may, and then resumes.
// The part before the stall is too long for an answer that has to be complete in its client's time.
Plan DrawStallingAnswer(std::mt19937_64& random) {
  Plan plan;
  plan.framing = static_cast<Plan::Framing>(Below(random, Plan::kFramings));
  plan.size = Between(random, 150'000, 800'000);
  plan.piece = 10'000;
  plan.stall = Milliseconds(Between(random, 6800, 21'000));
  plan.stall_after = Between(random, 80'000, plan.size - 1);
  return plan;
}

// The answer to it is short and waits, so that nothing of it is passed on before the request is unsound.
void SpoilRequest(std::mt19937_64& random, RequestDraw& draw) {
  draw.defect = static_cast<RequestDefect>(1 + Below(random, kRequestDefects));
  draw.plan = Plan{};
  draw.plan.size = 1000;
  draw.plan.delay = kHoldAnswer;
  // Half of the bodies are streamed.
  const bool streams = draw.effect != Effect::kSafe && Below(random, 2) == 0;
  if (streams) draw.body.assign(Between(random, 70'000, 300'000), 'b');
}

RequestDraw DrawRequest(std::mt19937_64& random, bool stalls) {
  RequestDraw draw;
  draw.effect = static_cast<Effect>(Below(random, 3));
  draw.timeout = Milliseconds(Between(random, 400, 2500));
  const std::uint64_t kind = Below(random, 100);
  draw.plan.size = Between(random, 10, 4000);
  if (kind >= 55 && kind < 75) draw.plan = DrawSlowAnswer(random);
  if (kind >= 75) draw.plan.answer = static_cast<Plan::Answer>(Below(random, Plan::kAnswers));
  const bool uploads =
      draw.plan.answer == Plan::Answer::kReadsNothing || draw.plan.answer == Plan::Answer::kReadsSlowly;
  if (uploads) draw.effect = Effect::kUnsafe;
  if (draw.effect != Effect::kSafe) draw.body.assign(Between(random, 1, 2000), 'b');
  if (uploads || (draw.effect != Effect::kSafe && kind < 8))
    draw.body.assign(Between(random, 70'000, 900'000), 'b');
  draw.chunked = Below(random, 2) == 0;
  if (!uploads && Below(random, 8) == 0) SpoilRequest(random, draw);
  if (stalls && draw.plan.answer == Plan::Answer::kWhole && draw.defect == RequestDefect::kNone) {
    draw.plan = DrawStallingAnswer(random);
  }
  return draw;
}

std::string PathOf(Effect effect) {
  return effect == Effect::kSafe ? "/page/" : effect == Effect::kKeyed ? "/keyed/" : "/submit/";
}

std::string HeadOf(const RequestDraw& draw, const std::string& id) {
  const bool has_body = draw.effect != Effect::kSafe;
  const char* const fragment = draw.defect == RequestDefect::kFragment ? "#part" : "";
  const char* const host = draw.defect == RequestDefect::kNoHost     ? ""
                           : draw.defect == RequestDefect::kTwoHosts ? "Host: h\r\nHost: h\r\n"
                                                                     : "Host: h\r\n";
  std::string head = (has_body ? "POST " : "GET ") + PathOf(draw.effect) + id + draw.plan.ToText() +
                     fragment + " HTTP/1.1\r\n" + host + "X-Request-ID: " + id +
                     "\r\nX-Timeout-Ms: " + std::to_string(draw.timeout.count()) + "\r\n";
  if (draw.effect == Effect::kKeyed) head += "Idempotency-Key: k" + id + "\r\n";
  if (!has_body) return head + "\r\n";
  return head +
         (draw.chunked ? "Transfer-Encoding: chunked"
                       : "Content-Length: " + std::to_string(draw.body.size())) +
         "\r\n\r\n";
}

std::string BodyTextOf(const RequestDraw& draw) {
  if (draw.effect == Effect::kSafe || !draw.chunked) return draw.body;
  char size[32];
  std::snprintf(size, sizeof size, "%zx\r\n", draw.body.size());
  return size + draw.body + "\r\n0\r\n\r\n";
}

// Head and body as they are written, with what follows them at once.
std::string TextOf(const RequestDraw& draw, const std::string& id) {
  const std::string text = HeadOf(draw, id) + BodyTextOf(draw);
  return draw.defect == RequestDefect::kBytesBehind ? text + kBytesBehind : text;
}

// Reads the answer to a request and enters it in the books. `may_close`: the sidecar may close the connection
// without an answer. Returns whether the connection can be used further.
bool RecordAnswer(Books& books, Connection& connection, const RequestDraw& draw, const std::string& id,
                  bool may_close) {
  ResponseParser parser;
  // A long answer's time is that of its head; its body may take as long as its upstream needs.
  auto response = parser.Read(
      connection, Clock::now() + draw.timeout + draw.plan.stall + kLostAfter + std::chrono::seconds(8));
  Result& result = response.result;
  result.ended_at = Clock::now();
  if (result.kind == Result::Kind::kIdleClose && !may_close) result.kind = Result::Kind::kNoAnswer;
  const bool served = result.status == 200;
  const std::string expected = served ? BodyOf(id, draw.plan.size) : "";
  if (served && result.kind == Result::Kind::kAnswered) result.body_matches = response.body == expected;
  if (served && result.kind == Result::Kind::kTruncated)
    result.body_matches = expected.starts_with(response.body);
  books.OnResult(id, result);
  return response.keeps_connection;
}

}  // namespace

void Clients::Start(int usual, int leaving) {
  for (int i = 0; i < usual; ++i) threads_.emplace_back([this, i] { Run(i, false); });
  for (int i = 0; i < leaving; ++i) threads_.emplace_back([this, i] { RunLeaving(i); });
}

void Clients::StartStalled(int count) {
  for (int i = 0; i < count; ++i) threads_.emplace_back([this, i] { Run(kFirstStalled + i, true); });
}

void Clients::StartCrowd(int connections) {
  threads_.emplace_back([this, connections] { RunCrowd(connections); });
}

void Clients::StartFlood() {
  threads_.emplace_back([this] { RunFlood(); });
}

void Clients::Stop() {
  stopping_ = true;
  for (std::thread& thread : threads_) thread.join();
  threads_.clear();
}

void Clients::Run(int number, bool stalls) {
  Random random(seed_ * 1000 + static_cast<std::uint64_t>(number));
  Connection connection;
  bool reused = false;
  for (int i = 0; !stopping_; ++i) {
    if (!connection.is_open()) {
      connection = Connection::To(port_);
      reused = false;
      // The sidecar has ended.
      if (!connection.is_open()) return;
    }
    const std::string id =
        "s" + std::to_string(seed_) + "c" + std::to_string(number) + "r" + std::to_string(i);
    if (!Exchange(connection, reused, random, id, stalls)) connection.Close();
    reused = true;
    std::this_thread::sleep_for(Milliseconds(Between(random, 0, 40)));
  }
}

bool Clients::WriteRequest(Connection& connection, Random& random, const std::string& text,
                           const std::string& body) {
  const TimePoint deadline = Clock::now() + kLostAfter;
  const bool slow = Below(random, 10) == 0;
  // Some heads come in two pieces, cut anywhere.
  const std::size_t cut = Below(random, 5) == 0 ? 1 + Below(random, text.size() - 1) : text.size();
  if (!connection.Send(text.substr(0, cut), deadline)) return false;
  if (cut < text.size()) std::this_thread::sleep_for(Milliseconds(1 + Below(random, 5)));
  if (!connection.Send(text.substr(cut), deadline)) return false;
  const std::size_t piece =
      slow ? std::max<std::size_t>(body.size() / 5, 1) : std::max<std::size_t>(body.size(), 1);
  for (std::size_t at = 0; at < body.size(); at += piece) {
    if (!connection.Send(std::string_view(body).substr(at, piece), deadline)) return false;
    if (slow) std::this_thread::sleep_for(Milliseconds(100));
  }
  return true;
}

bool Clients::Exchange(Connection& connection, bool reused, Random& random, const std::string& id,
                       bool stalls) {
  const RequestDraw draw = DrawRequest(random, stalls);
  const bool sound = draw.defect == RequestDefect::kNone;
  const bool later = draw.defect == RequestDefect::kBytesBehindLater;
  if (!sound && !later) books_.OnUnsound(id);
  bool written = sound ? WriteRequest(connection, random, HeadOf(draw, id), BodyTextOf(draw))
                       : connection.Send(TextOf(draw, id), Clock::now() + kLostAfter);
  if (later) {
    std::this_thread::sleep_for(Milliseconds(Below(random, 20)));
    written = connection.Send(kBytesBehind, Clock::now() + kLostAfter) && written;
    books_.OnUnsound(id);
  }
  // A client that is answered before it has sent everything reads what there is.
  books_.OnSent(id, draw.effect, draw.plan, draw.timeout);
  const bool keeps_connection = RecordAnswer(books_, connection, draw, id, reused || !written);
  return keeps_connection && written && sound;
}

void Clients::RunLeaving(int number) {
  Random random(seed_ * 1000 + 500 + static_cast<std::uint64_t>(number));
  for (int i = 0; !stopping_; ++i) {
    const std::string id =
        "s" + std::to_string(seed_) + "l" + std::to_string(number) + "r" + std::to_string(i);
    RequestDraw draw = DrawRequest(random, false);
    draw.effect = Effect::kUnsafe;
    if (draw.body.empty()) draw.body = "b";
    std::string text = HeadOf(draw, id) + BodyTextOf(draw);
    Connection connection = Connection::To(port_);
    if (!connection.is_open()) return;
    books_.OnSent(id, draw.effect, draw.plan, draw.timeout);
    // Much more behind it, under ids that nobody waits for.
    const bool pipelines = Below(random, 2) == 0;
    std::vector<std::string> followers;
    for (int k = 0; pipelines && k < 50; ++k) {
      followers.push_back(id + "f" + std::to_string(k));
      RequestDraw follower;
      follower.effect = Effect::kSafe;
      follower.timeout = draw.timeout;
      books_.OnSent(followers.back(), follower.effect, follower.plan, follower.timeout);
      text += HeadOf(follower, followers.back());
    }
    connection.Send(text, Clock::now() + std::chrono::seconds(1));
    std::this_thread::sleep_for(Milliseconds(Below(random, 60)));
    Below(random, 2) == 0 ? connection.Reset() : connection.Close();
    books_.OnLeft(id);
    for (const std::string& follower : followers) books_.OnLeft(follower);
    // The same id again, at once or later: it must not run a second time.
    std::this_thread::sleep_for(Milliseconds(Below(random, 400)));
    Connection again = Connection::To(port_);
    if (!again.is_open()) return;
    books_.OnSentAgain(id);
    if (again.Send(HeadOf(draw, id) + BodyTextOf(draw), Clock::now() + std::chrono::seconds(1))) {
      ResponseParser().Read(again, Clock::now() + draw.timeout + kLostAfter);
    }
  }
}

void Clients::RunCrowd(int connections) {
  struct Member {
    Connection connection;
    TimePoint begun;
    bool stops = false;
  };
  Random random(seed_ * 1000 + 900);
  std::vector<Member> members;
  for (int i = 0; i < connections && !stopping_; ++i) {
    Member member{Connection::To(port_), Clock::now(), false};
    if (!member.connection.is_open()) break;
    const TimePoint deadline = Clock::now() + Milliseconds(200);
    const std::string id = "s" + std::to_string(seed_) + "m" + std::to_string(i);
    RequestDraw draw;
    draw.effect = Effect::kUnsafe;
    draw.timeout = Milliseconds(2500);
    draw.body.assign(300'000, 'b');
    std::string text;
    switch (Below(random, 3)) {
      case 0:  // stops half way through a large request
        text = HeadOf(draw, id) + draw.body.substr(0, draw.body.size() / 2);
        member.stops = true;
        break;
      case 1:  // a head of very many short fields that does not end
        text = "GET /page/" + id + " HTTP/1.1\r\n";
        for (int k = 0; k < 3000; ++k) text += "a:\r\n";
        member.stops = true;
        break;
      default:  // a long answer that is not read
        draw.effect = Effect::kSafe;
        draw.plan.size = 400'000;
        text = HeadOf(draw, id);
    }
    member.connection.Send(text, deadline);
    member.begun = Clock::now();
    members.push_back(std::move(member));
  }
  const TimePoint end = Clock::now() + kBadClientLimit + Books::kAnswerSlack;
  while (!stopping_ && Clock::now() < end) std::this_thread::sleep_for(Milliseconds(20));
  if (stopping_) return;
  for (Member& member : members) {
    std::string received;
    if (!member.stops) continue;
    if (member.connection.Receive(received, 1, Clock::now()) == Connection::Received::kDeadline) {
      books_.AddViolation(Rule::kStalledClient, "neither an error nor a close within 3.5 s");
    }
  }
}

void Clients::RunFlood() {
  Random random(seed_ * 1000 + 950);
  const TimePoint end = Clock::now() + std::chrono::seconds(3);
  for (std::uint64_t i = 0; !stopping_ && Clock::now() < end;) {
    Connection connection = Connection::To(port_);
    if (!connection.is_open()) return;
    std::string received;
    auto state = Connection::Received::kDeadline;
    while (!stopping_ && Clock::now() < end && state != Connection::Received::kEnd) {
      std::string text;
      for (int k = 0; k < 50; ++k, ++i) {
        const std::string name = std::to_string(seed_) + "x" + std::to_string(i);
        const bool sound = Below(random, 2) == 0;
        if (Below(random, 40) == 0) text += "noise ";
        text += "GET /" + (sound ? "page" : "class" + name) + "/" + name +
                " HTTP/1.1\r\nHost: h\r\nX-Request-ID: " + name + "\r\nX-Tenant-Id: t" + name +
                "\r\nX-Timeout-Ms: 500\r\n\r\n";
      }
      if (!connection.Send(text, Clock::now() + Milliseconds(500))) break;
      state = connection.Receive(received, 65536, Clock::now() + Milliseconds(1));
      received.clear();
    }
  }
}

void Clients::StartSlowWriters(int clients) {
  const auto begun = std::make_shared<std::latch>(clients);
  for (int i = 0; i < clients; ++i) {
    threads_.emplace_back([this, i, begun] { RunSlowWriter(i, [&] { begun->count_down(); }); });
  }
  begun->wait();
}

void Clients::RunSlowWriter(int number, const std::function<void()>& on_begun) {
  Random random(seed_ * 1000 + 700 + static_cast<std::uint64_t>(number));
  const std::string id = "s" + std::to_string(seed_) + "w" + std::to_string(number);
  RequestDraw draw;
  draw.effect = static_cast<Effect>(Below(random, 3));
  draw.timeout = Milliseconds(Between(random, 1500, 3000));
  draw.plan.size = Between(random, 10, 4000);
  if (Below(random, 2) == 0) draw.plan.answer = Plan::Answer::kNone;
  if (draw.effect != Effect::kSafe) draw.body.assign(Between(random, 1, 2000), 'b');
  const std::string text = HeadOf(draw, id) + BodyTextOf(draw);
  const std::size_t cut = 1 + Below(random, text.size() - 1);
  const Milliseconds pause(Between(random, 100, static_cast<std::uint64_t>(kMaxSlowWrite.count())));
  Connection connection = Connection::To(port_);
  const TimePoint deadline = Clock::now() + kLostAfter;
  bool written = connection.is_open() && connection.Send(text.substr(0, cut), deadline);
  on_begun();
  std::this_thread::sleep_for(pause);
  written = written && connection.Send(text.substr(cut), deadline);
  if (!written) return;
  books_.OnSent(id, draw.effect, draw.plan, draw.timeout);
  RecordAnswer(books_, connection, draw, id, false);
}

}  // namespace mothrack::soak
