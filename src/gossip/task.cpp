#include "gossip/task.h"

#include <poll.h>
#include <pthread.h>
#include <spdlog/logger.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <sys/socket.h>

#include <algorithm>
#include <atomic>
#include <boost/asio/ip/udp.hpp>
#include <cerrno>
#include <csignal>
#include <cstring>
#include <limits>
#include <random>
#include <set>
#include <utility>

#include "gossip/keys.h"
#include "gossip/seal.h"
#include "gossip/wire.h"
#include "runtime/rate_limiter.h"

namespace mothrack::gossip {
namespace {

// Read in one turn. With the longest message it takes a healthy machine well under 10 ms, after which the
// boxes and the clock have their turn again: a flood delays the task's own probes by that much and no more.
constexpr int kMostReads = 64;
// After the system refused to read, so that a broken socket does not make the thread spin.
constexpr Duration kDeaf{100};
// Pictures: at most this often where something changed, at least this often where nothing did, so that the
// loop can tell calm from death.
constexpr Duration kSoonest{100};
constexpr Duration kLatest{1000};
constexpr std::size_t kMostPictureKeys =
    64;  // kinds of values in a picture; the parts of the fleet use a handful
// Where nothing is due.
constexpr Duration kLongestSleep{1000};
constexpr double kLinesPerSecond = 1;
constexpr double kLinesBurst = 20;

using Udp = boost::asio::ip::udp;

TimePoint SteadyNow() { return std::chrono::time_point_cast<Duration>(std::chrono::steady_clock::now()); }

std::uint64_t Random() {
  std::random_device random;
  return std::uint64_t{random()} << 32 | random();
}

std::uint64_t UnixMicroseconds() {
  return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::microseconds>(
                                        std::chrono::system_clock::now().time_since_epoch())
                                        .count());
}

std::string TextOf(int error) { return std::generic_category().message(error); }

// Lines on standard error in the form of the program's own, bounded; never throws.
class Talk {
 public:
  explicit Talk(const std::string& name)
      : logger_(name, std::make_shared<spdlog::sinks::stderr_sink_mt>()),
        rate_limiter_(kLinesPerSecond, kLinesBurst, runtime::Now()) {
    logger_.set_pattern("%n: %v");
    logger_.set_error_handler([](const std::string&) {});  // whatever keeps it from writing, the task goes on
  }
  void Line(const std::string& text) noexcept {
    try {
      if (!rate_limiter_.Take(runtime::Now())) {
        ++left_out_;
        return;
      }
      if (left_out_ > 0) logger_.info("peers: {} lines left out", std::exchange(left_out_, 0));
      logger_.info("peers: {}", text);
    } catch (...) {
    }
  }

 private:
  spdlog::logger logger_;
  runtime::RateLimiter rate_limiter_;
  std::uint64_t left_out_ = 0;
};

class Socket {
 public:
  explicit Socket(const runtime::Endpoint& listen)
      : fd_(::socket(listen.protocol().family(), SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0)) {
    if (fd_ < 0) throw Refused("no socket: " + TextOf(errno));
    const Udp::endpoint place(listen.address(), listen.port());
    if (::bind(fd_, place.data(), static_cast<socklen_t>(place.size())) != 0) {
      const int error = errno;
      ::close(fd_);
      throw TaskError("peers.listen: " + Text(listen) + ": " + TextOf(error) +
                      "; free the address, or name another");
    }
  }
  ~Socket() { ::close(fd_); }
  Socket(const Socket&) = delete;
  Socket& operator=(const Socket&) = delete;

  int fd() const { return fd_; }
  runtime::Endpoint local() const {
    Udp::endpoint place;
    auto size = static_cast<socklen_t>(place.capacity());
    if (::getsockname(fd_, place.data(), &size) == 0) place.resize(size);
    return {place.address(), place.port()};
  }

 private:
  const int fd_;
};

KeyRing KeysOf(const std::string& path) {
  try {
    return Load(path);
  } catch (const std::exception& e) {
    throw TaskError(std::string("peers.key_file: ") + e.what());
  }
}

MemberNews SelfOf(const Settings& settings, const std::string& name, const runtime::Endpoint& local) {
  if (!GoodName(name)) {
    throw TaskError("peers: " + name.substr(0, kMostName) +
                    " can be no member's name; make it letters, digits, '-', "
                    "'_' and '.', at most " +
                    std::to_string(kMostName) + ", no dot first");
  }
  MemberNews self;
  self.life = {name, UnixMicroseconds()};
  self.role = settings.role;
  self.address = Text(settings.advertise.value_or(local));
  self.zone = settings.zone;
  return self;
}

}  // namespace

struct Task::State {
  State(const Settings& told, const std::string& name, EachTurn hook)
      : settings(told),
        each_turn(std::move(hook)),
        socket(told.listen),
        talk(name),
        seal(KeysOf(told.key_file)),
        core(SelfOf(told, name, socket.local()), told.terms, Random(), SteadyNow()) {
    std::vector<std::string> seeds;
    for (const runtime::Endpoint& seed : told.seeds) seeds.push_back(Text(seed));
    core.Seeds(std::move(seeds));
  }

  void Run() noexcept {
    try {
      while (!stop) Turn();
      // What was said before the stop, so that the others learn at once of one that leaves.
      TakeMessages(SteadyNow());
      Send();
    } catch (const std::exception& e) {
      Died(e.what());
    } catch (...) {
      Died("an unknown exception");
    }
  }

  const Settings settings;
  const EachTurn each_turn;
  Box<ToTask> to_task{kMostToTask};
  Box<PicturePtr> pictures{kMostPictures};
  std::atomic<bool> stop{false};
  std::atomic<std::uint64_t> deaths{0};
  const Socket socket;
  Talk talk;

 private:
  void Died(const std::string& why) noexcept {
    ++deaths;
    talk.Line("the task ended: " + why + "; this one goes on alone until it is started again");
  }

  void Turn() {
    if (each_turn) each_turn();
    Wait();
    const TimePoint now = SteadyNow();
    TakeMessages(now);
    if (now >= deaf_until) Read(now);
    if (now >= core.next()) core.Tick(now, out);
    Send();
    const TimePoint due = pictured + (changed ? kSoonest : kLatest);
    if (now >= due) Picture(now);
  }

  // Two descriptors, known beforehand: poll is one call where epoll would be one, too, and a further
  // descriptor.
  void Wait() {
    const TimePoint now = SteadyNow();
    const TimePoint due =
        std::min({core.next(), pictured + (changed ? kSoonest : kLatest), now + kLongestSleep});
    // At least 1 ms: whatever the core says is due, the thread does not spin.
    const auto wait = std::clamp<std::int64_t>((due - now).count(), 1, kLongestSleep.count());
    pollfd awaited[2] = {{to_task.descriptor(), POLLIN, 0},
                         {now >= deaf_until ? socket.fd() : -1, POLLIN, 0}};
    if (::poll(awaited, 2, static_cast<int>(wait)) > 0 && awaited[0].revents != 0) to_task.Quiet();
  }

  void TakeMessages(TimePoint now) {
    for (std::size_t i = 0; i < kMostToTask; ++i) {
      const auto message = to_task.Take();
      if (!message) return;
      if (const auto* put = std::get_if<PutValue>(&*message)) {
        if (!core.Put(put->key, put->bytes, put->lasts, now))
          talk.Line("value " + put->key + " is beyond a bound");
        Know(put->key);
        changed = true;
      } else if (std::holds_alternative<LeaveNow>(*message)) {
        core.Leave(now, out);
        changed = true;
      } else {
        Rekey();
      }
    }
    to_task.Wake();  // more may be there, and it was told already
  }

  void Rekey() {
    try {
      seal.Use(Load(settings.key_file));
      talk.Line(settings.key_file + " read again");
    } catch (const std::exception& e) {
      talk.Line(std::string("the old keys stay: ") + e.what());
    }
  }

  void Read(TimePoint now) {
    char bytes[kMostDatagram + 1];  // one more tells what is too long
    for (int i = 0; i < kMostReads; ++i) {
      Udp::endpoint from;
      auto from_size = static_cast<socklen_t>(from.capacity());
      const ssize_t size = ::recvfrom(socket.fd(), bytes, sizeof bytes, 0, from.data(), &from_size);
      if (size < 0) {
        if (errno == EAGAIN || errno == EWOULDBLOCK) return;
        if (errno == EINTR) continue;
        SayOnce("to read", errno);
        deaf_until = now + kDeaf;
        return;
      }
      from.resize(from_size);
      Hear({bytes, static_cast<std::size_t>(size)}, from, now);
    }
  }

  // The seal first: whoever has no key costs a checksum and a count, and no memory.
  void Hear(std::string_view datagram, const Udp::endpoint& from, TimePoint now) {
    const Seal::Opened opened = seal.Open(datagram);
    if (opened.verdict != Verdict::kHeard) return;
    const auto message = gossip::Read(opened.payload);
    if (!message) {
      ++unread;
      return;
    }
    core.Hear(*message, Text({from.address(), from.port()}), now, out);
  }

  void Send() {
    for (const Datagram& datagram : out.datagrams) Send(datagram);
    for (const Change& change : out.changes) Note(change);
    changed = changed || !out.changes.empty();
    out.datagrams.clear();
    out.changes.clear();
  }

  void Send(const Datagram& datagram) {
    const auto to = runtime::ParseEndpoint(datagram.address);
    const auto sealed = seal.Close(Write(datagram.message));
    if (!to || !sealed) {  // an address that a member says of itself is looked at here and not before
      ++unsent;
      return;
    }
    const Udp::endpoint place(to->address(), to->port());
    const auto size = static_cast<socklen_t>(place.size());
    if (::sendto(socket.fd(), sealed->data(), sealed->size(), 0, place.data(), size) >= 0) return;
    ++unsent;
    if (errno != EAGAIN && errno != EWOULDBLOCK) SayOnce("to send", errno);
  }

  // A refusal that stays is one line; how often shows in `unsent` and in the age of what is heard.
  void SayOnce(const std::string& what, int error) {
    if (said.insert(error).second)
      talk.Line("the system refuses " + what + ": " + TextOf(error) + "; does without");
  }

  void Note(const Change& change) {
    switch (change.what) {
      case Change::What::kMember: {
        const State_ state = change.member.state;
        if (state == State_::kDead) talk.Line(change.member.life.name + " is dead");
        if (state == State_::kLeft) talk.Line(change.member.life.name + " left");
        break;
      }
      case Change::What::kValue:
        Know(change.value.key);
        break;
      case Change::What::kLapsed:
        break;
      case Change::What::kSelfReborn:
        talk.Line("a former process of this name had a clock ahead of this one's; goes on as a later one");
        break;
    }
  }

  void Know(const std::string& key) {
    if (keys_seen.size() < kMostPictureKeys) keys_seen.insert(key);
  }

  void Picture(TimePoint now) {
    auto picture = std::make_shared<gossip::Picture>();
    picture->made = now;
    picture->self = core.self();
    picture->health = core.health();
    picture->alive = core.alive();
    picture->known = core.known();
    picture->members = core.members();
    for (auto key = keys_seen.begin(); key != keys_seen.end();) {
      const auto views = core.Values(*key, now);
      for (const ValueView& view : views) {
        picture->values.push_back(*view.value);
        picture->values.back().age = view.age;
      }
      key = views.empty() ? keys_seen.erase(key) : std::next(key);
    }
    picture->counts = core.counts();
    picture->dropped = to_task.dropped() + pictures.dropped();
    const SealCounts& sealed = seal.counts();
    picture->unheard = sealed.no_datagram + sealed.unknown_key + sealed.forged;
    picture->unread = unread;
    picture->repeated = sealed.repeated;
    picture->unsent = unsent;
    pictures.Push(std::move(picture));
    pictured = now;
    changed = false;
  }

  using State_ = gossip::State;

  Seal seal;
  Core core;
  Out out;
  TimePoint deaf_until{};
  TimePoint pictured{};  // never: the first turn makes one
  bool changed = true;
  std::set<std::string> keys_seen;
  std::set<int> said;
  std::uint64_t unread = 0, unsent = 0;
};

Task::Task(const Settings& settings, const std::string& name, EachTurn each_turn) try {
  state_ = std::make_shared<State>(settings, name, std::move(each_turn));
  std::promise<void> end;
  ended_ = end.get_future();
  // Signals are the loop's.
  sigset_t all, before;
  ::sigfillset(&all);
  ::pthread_sigmask(SIG_SETMASK, &all, &before);
  struct Restore {
    const sigset_t& mask;
    ~Restore() { ::pthread_sigmask(SIG_SETMASK, &mask, nullptr); }
  } restore{before};
  thread_ = std::thread([state = state_, end = std::move(end)]() mutable {
    state->Run();
    state.reset();
    end.set_value();
  });
} catch (const std::system_error& e) {
  throw Refused(std::string("no thread or eventfd: ") + e.what());
}

Task::~Task() { Stop(); }

void Task::Say(ToTask message) { state_->to_task.Push(std::move(message)); }

Box<PicturePtr>& Task::pictures() { return state_->pictures; }

bool Task::Stop() {
  if (!thread_.joinable()) return true;
  state_->stop = true;
  state_->to_task.Wake();
  const bool ended = ended_.wait_for(kStopPatience) == std::future_status::ready;
  ended ? thread_.join() : thread_.detach();
  return ended;
}

runtime::Endpoint Task::local() const { return state_->socket.local(); }
std::uint64_t Task::deaths() const { return state_->deaths; }
std::uint64_t Task::dropped() const { return state_->to_task.dropped() + state_->pictures.dropped(); }

}  // namespace mothrack::gossip
