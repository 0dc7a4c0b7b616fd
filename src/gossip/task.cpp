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
constexpr int kMaxReadsPerTurn = 64;
// After the system refused to read, so that a broken socket does not make the thread spin.
constexpr Duration kReadPause{100};
// Pictures: at most this often where something changed, at least this often where nothing did, so that the
// loop can tell calm from death.
constexpr Duration kMinSnapshotInterval{100};
constexpr Duration kMaxSnapshotInterval{1000};
constexpr std::size_t kMaxSnapshotKeys =
    64;  // kinds of values in a snapshot; the parts of the fleet use a handful
// Where nothing is due.
constexpr Duration kMaxSleep{1000};
constexpr double kLinesPerSecond = 1;
constexpr double kLinesBurst = 20;

using Udp = boost::asio::ip::udp;

TimePoint SteadyNow() { return std::chrono::time_point_cast<Duration>(std::chrono::steady_clock::now()); }

std::uint64_t RandomSeed() {
  std::random_device random;
  return std::uint64_t{random()} << 32 | random();
}

std::uint64_t UnixMicroseconds() {
  return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::microseconds>(
                                        std::chrono::system_clock::now().time_since_epoch())
                                        .count());
}

std::string ErrorText(int error) { return std::generic_category().message(error); }

// Lines on standard error in the form of the program's own, bounded; never throws.
class TaskLog {
 public:
  explicit TaskLog(const std::string& name)
      : logger_(name, std::make_shared<spdlog::sinks::stderr_sink_mt>()),
        rate_limiter_(kLinesPerSecond, kLinesBurst, runtime::Now()) {
    logger_.set_pattern("%n: %v");
    logger_.set_error_handler([](const std::string&) {});  // whatever keeps it from writing, the task goes on
  }
  void Line(const std::string& text) noexcept {
    try {
      if (!rate_limiter_.Take(runtime::Now())) {
        ++suppressed_;
        return;
      }
      if (suppressed_ > 0) logger_.info("peers: {} lines left out", std::exchange(suppressed_, 0));
      logger_.info("peers: {}", text);
    } catch (...) {
    }
  }

 private:
  spdlog::logger logger_;
  runtime::RateLimiter rate_limiter_;
  std::uint64_t suppressed_ = 0;
};

class Socket {
 public:
  explicit Socket(const runtime::Endpoint& listen)
      : fd_(::socket(listen.protocol().family(), SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0)) {
    if (fd_ < 0) throw ResourceError("no socket: " + ErrorText(errno));
    const Udp::endpoint address(listen.address(), listen.port());
    if (::bind(fd_, address.data(), static_cast<socklen_t>(address.size())) != 0) {
      const int error = errno;
      ::close(fd_);
      throw TaskError("peers.listen: " + Text(listen) + ": " + ErrorText(error) +
                      "; free the address, or name another");
    }
  }
  ~Socket() { ::close(fd_); }
  Socket(const Socket&) = delete;
  Socket& operator=(const Socket&) = delete;

  int fd() const { return fd_; }
  runtime::Endpoint local() const {
    Udp::endpoint address;
    auto size = static_cast<socklen_t>(address.capacity());
    if (::getsockname(fd_, address.data(), &size) == 0) address.resize(size);
    return {address.address(), address.port()};
  }

 private:
  const int fd_;
};

KeyRing LoadKeys(const std::string& path) {
  try {
    return Load(path);
  } catch (const std::exception& e) {
    throw TaskError(std::string("peers.key_file: ") + e.what());
  }
}

MembershipUpdate LocalMember(const Settings& settings, const std::string& name,
                             const runtime::Endpoint& local) {
  if (!IsValidName(name)) {
    throw TaskError("peers: " + name.substr(0, kMaxNameSize) +
                    " can be no member's name; make it letters, digits, '-', "
                    "'_' and '.', at most " +
                    std::to_string(kMaxNameSize) + ", no dot first");
  }
  MembershipUpdate self;
  self.boot_id = {name, UnixMicroseconds()};
  self.role = settings.role;
  self.address = Text(settings.advertise.value_or(local));
  self.zone = settings.zone;
  return self;
}

}  // namespace

struct Task::Worker {
  Worker(const Settings& config, const std::string& name, TurnHook hook)
      : settings(config),
        turn_hook(std::move(hook)),
        socket(config.listen),
        log(name),
        seal(LoadKeys(config.key_file)),
        core(LocalMember(config, name, socket.local()), config.terms, RandomSeed(), SteadyNow()) {
    std::vector<std::string> seeds;
    for (const runtime::Endpoint& seed : config.seeds) seeds.push_back(Text(seed));
    core.SetSeeds(std::move(seeds));
  }

  void Run() noexcept {
    try {
      while (!stop) Turn();
      // What was said before the stop, so that the others learn at once of one that leaves.
      RunCommands(SteadyNow());
      Send();
    } catch (const std::exception& e) {
      Fail(e.what());
    } catch (...) {
      Fail("an unknown exception");
    }
  }

  const Settings settings;
  const TurnHook turn_hook;
  BoundedQueue<TaskCommand> commands{kMaxPendingCommands};
  BoundedQueue<MembershipSnapshotPtr> snapshots{kMaxPendingSnapshots};
  std::atomic<bool> stop{false};
  std::atomic<std::uint64_t> failures{0};
  const Socket socket;
  TaskLog log;

 private:
  void Fail(const std::string& why) noexcept {
    ++failures;
    log.Line("the task ended: " + why + "; this one goes on alone until it is started again");
  }

  void Turn() {
    if (turn_hook) turn_hook();
    Wait();
    const TimePoint now = SteadyNow();
    RunCommands(now);
    if (now >= read_paused_until) Read(now);
    if (now >= core.next()) core.Tick(now, out);
    Send();
    const TimePoint due = published_at + (changed ? kMinSnapshotInterval : kMaxSnapshotInterval);
    if (now >= due) PublishSnapshot(now);
  }

  // Two descriptors, known beforehand: poll is one call where epoll would be one, too, and a further
  // descriptor.
  void Wait() {
    const TimePoint now = SteadyNow();
    const TimePoint due =
        std::min({core.next(), published_at + (changed ? kMinSnapshotInterval : kMaxSnapshotInterval),
                  now + kMaxSleep});
    // At least 1 ms: whatever the core says is due, the thread does not spin.
    const auto wait = std::clamp<std::int64_t>((due - now).count(), 1, kMaxSleep.count());
    pollfd awaited[2] = {{commands.descriptor(), POLLIN, 0},
                         {now >= read_paused_until ? socket.fd() : -1, POLLIN, 0}};
    if (::poll(awaited, 2, static_cast<int>(wait)) > 0 && awaited[0].revents != 0) commands.ClearSignal();
  }

  void RunCommands(TimePoint now) {
    for (std::size_t i = 0; i < kMaxPendingCommands; ++i) {
      const auto message = commands.TryPop();
      if (!message) return;
      if (const auto* put = std::get_if<PutValueCommand>(&*message)) {
        if (!core.Put(put->key, put->bytes, put->ttl, now))
          log.Line("value " + put->key + " is beyond a bound");
        RememberKey(put->key);
        changed = true;
      } else if (std::holds_alternative<LeaveCommand>(*message)) {
        core.Leave(now, out);
        changed = true;
      } else {
        Rekey();
      }
    }
    commands.Signal();  // more may be there, and it was told already
  }

  void Rekey() {
    try {
      seal.Use(Load(settings.key_file));
      log.Line(settings.key_file + " read again");
    } catch (const std::exception& e) {
      log.Line(std::string("the old keys stay: ") + e.what());
    }
  }

  void Read(TimePoint now) {
    char bytes[kMaxDatagramSize + 1];  // one more tells what is too long
    for (int i = 0; i < kMaxReadsPerTurn; ++i) {
      Udp::endpoint from;
      auto from_size = static_cast<socklen_t>(from.capacity());
      const ssize_t size = ::recvfrom(socket.fd(), bytes, sizeof bytes, 0, from.data(), &from_size);
      if (size < 0) {
        if (errno == EAGAIN || errno == EWOULDBLOCK) return;
        if (errno == EINTR) continue;
        LogOnce("to read", errno);
        read_paused_until = now + kReadPause;
        return;
      }
      from.resize(from_size);
      Receive({bytes, static_cast<std::size_t>(size)}, from, now);
    }
  }

  // The seal first: whoever has no key costs a checksum and a count, and no memory.
  void Receive(std::string_view datagram, const Udp::endpoint& from, TimePoint now) {
    const Seal::Opened opened = seal.Open(datagram);
    if (opened.verdict != SealVerdict::kAccepted) return;
    const auto message = gossip::Decode(opened.payload);
    if (!message) {
      ++undecodable;
      return;
    }
    core.Receive(*message, Text({from.address(), from.port()}), now, out);
  }

  void Send() {
    for (const Datagram& datagram : out.datagrams) Send(datagram);
    for (const Change& change : out.changes) LogChange(change);
    changed = changed || !out.changes.empty();
    out.datagrams.clear();
    out.changes.clear();
  }

  void Send(const Datagram& datagram) {
    const auto to = runtime::ParseEndpoint(datagram.address);
    const auto sealed = seal.Close(Encode(datagram.message));
    if (!to || !sealed) {  // an address that a member says of itself is looked at here and not before
      ++send_failures;
      return;
    }
    const Udp::endpoint address(to->address(), to->port());
    const auto size = static_cast<socklen_t>(address.size());
    if (::sendto(socket.fd(), sealed->data(), sealed->size(), 0, address.data(), size) >= 0) return;
    ++send_failures;
    if (errno != EAGAIN && errno != EWOULDBLOCK) LogOnce("to send", errno);
  }

  // A refusal that stays is one line; how often shows in `unsent` and in the age of what is heard.
  void LogOnce(const std::string& what, int error) {
    if (logged_errors.insert(error).second)
      log.Line("the system refuses " + what + ": " + ErrorText(error) + "; does without");
  }

  void LogChange(const Change& change) {
    switch (change.what) {
      case Change::What::kMember: {
        const MemberState state = change.member.state;
        if (state == MemberState::kDead) log.Line(change.member.boot_id.name + " is dead");
        if (state == MemberState::kLeft) log.Line(change.member.boot_id.name + " left");
        break;
      }
      case Change::What::kValue:
        RememberKey(change.value.key);
        break;
      case Change::What::kValueExpired:
        break;
      case Change::What::kLocalBootRaised:
        log.Line("a former process of this name had a clock ahead of this one's; goes on as a later one");
        break;
    }
  }

  void RememberKey(const std::string& key) {
    if (keys_seen.size() < kMaxSnapshotKeys) keys_seen.insert(key);
  }

  void PublishSnapshot(TimePoint now) {
    auto snapshot = std::make_shared<gossip::MembershipSnapshot>();
    snapshot->created_at = now;
    snapshot->self = core.self();
    snapshot->health = core.health();
    snapshot->alive = core.alive();
    snapshot->known = core.known();
    snapshot->members = core.members();
    for (auto key = keys_seen.begin(); key != keys_seen.end();) {
      const auto views = core.Values(*key, now);
      for (const ValueView& view : views) {
        snapshot->values.push_back(*view.value);
        snapshot->values.back().age = view.age;
      }
      key = views.empty() ? keys_seen.erase(key) : std::next(key);
    }
    snapshot->counts = core.counts();
    snapshot->dropped = commands.dropped() + snapshots.dropped();
    const SealCounts& sealed = seal.counts();
    snapshot->unauthenticated = sealed.no_datagram + sealed.unknown_key + sealed.forged;
    snapshot->undecodable = undecodable;
    snapshot->replayed = sealed.replayed;
    snapshot->send_failures = send_failures;
    snapshots.Push(std::move(snapshot));
    published_at = now;
    changed = false;
  }

  Seal seal;
  Core core;
  CoreOutput out;
  TimePoint read_paused_until{};
  TimePoint published_at{};  // never: the first turn makes one
  bool changed = true;
  std::set<std::string> keys_seen;
  std::set<int> logged_errors;
  std::uint64_t undecodable = 0, send_failures = 0;
};

Task::Task(const Settings& settings, const std::string& name, TurnHook turn_hook) try {
  worker_ = std::make_shared<Worker>(settings, name, std::move(turn_hook));
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
  thread_ = std::thread([worker = worker_, end = std::move(end)]() mutable {
    worker->Run();
    worker.reset();
    end.set_value();
  });
} catch (const std::system_error& e) {
  throw ResourceError(std::string("no thread or eventfd: ") + e.what());
}

Task::~Task() { Stop(); }

void Task::Post(TaskCommand message) { worker_->commands.Push(std::move(message)); }

BoundedQueue<MembershipSnapshotPtr>& Task::snapshots() { return worker_->snapshots; }

bool Task::Stop() {
  if (!thread_.joinable()) return true;
  worker_->stop = true;
  worker_->commands.Signal();
  const bool ended = ended_.wait_for(kStopTimeout) == std::future_status::ready;
  ended ? thread_.join() : thread_.detach();
  return ended;
}

runtime::Endpoint Task::local() const { return worker_->socket.local(); }
std::uint64_t Task::failures() const { return worker_->failures; }
std::uint64_t Task::dropped() const { return worker_->commands.dropped() + worker_->snapshots.dropped(); }

}  // namespace mothrack::gossip
