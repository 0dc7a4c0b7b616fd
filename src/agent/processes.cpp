#include "agent/processes.h"

#include <dirent.h>
#include <fcntl.h>
#include <poll.h>
#include <signal.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <sys/syscall.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <boost/asio/posix/stream_descriptor.hpp>
#include <cerrno>
#include <chrono>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <set>
#include <sstream>
#include <stdexcept>
#include <utility>

#include "admin_client/admin_client.h"
#include "rollout/wire.h"

namespace mothrack::agent {
namespace {

namespace fs = std::filesystem;
using nlohmann::json;

constexpr mode_t kPrivate = 0600;
constexpr int kNoExec = 127;  // as a shell says it

// In the sidecar.
constexpr int kLockFd = 3;

void CloseFrom(int first) {
  if (::syscall(SYS_close_range, static_cast<unsigned>(first), ~0U, 0U) == 0) return;
  // A kernel before 5.9.
  for (long fd = first; fd < ::sysconf(_SC_OPEN_MAX); ++fd) ::close(static_cast<int>(fd));
}

// Closed with its object.
class Fd {
 public:
  Fd() = default;
  explicit Fd(int fd) : fd_(fd) {}
  ~Fd() { Close(); }
  Fd(Fd&& other) noexcept : fd_(std::exchange(other.fd_, -1)) {}
  Fd& operator=(Fd&& other) noexcept {
    std::swap(fd_, other.fd_);
    return *this;
  }
  int get() const { return fd_; }
  explicit operator bool() const { return fd_ >= 0; }
  void Close() {
    if (fd_ >= 0) ::close(std::exchange(fd_, -1));
  }

 private:
  int fd_ = -1;
};

int PidFd(pid_t pid) { return static_cast<int>(::syscall(SYS_pidfd_open, pid, 0)); }

// When the kernel started it, in ticks since boot: field 22, counted behind the name, which may hold
// anything. 0: there is no such process.
std::uint64_t StartTime(pid_t pid) {
  std::ifstream file("/proc/" + std::to_string(pid) + "/stat");
  std::string line;
  if (!std::getline(file, line)) return 0;
  const auto name_end = line.rfind(')');
  if (name_end == std::string::npos) return 0;
  std::istringstream rest(line.substr(name_end + 1));
  std::string field;
  for (int i = 3; i <= 22 && rest >> field; ++i) {
    if (i == 22) return std::strtoull(field.c_str(), nullptr, 10);
  }
  return 0;
}

bool WriteAll(int fd, const std::string& text) {
  std::size_t at = 0;
  while (at < text.size()) {
    const ssize_t wrote = ::write(fd, text.data() + at, text.size() - at);
    if (wrote < 0 && errno == EINTR) continue;
    if (wrote <= 0) return false;
    at += static_cast<std::size_t>(wrote);
  }
  return true;
}

// Whole and on disk under its name, or not at all.
bool WriteFile(const std::string& path, const std::string& text) {
  const std::string fresh = path + ".new";
  Fd file(::open(fresh.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, kPrivate));
  if (!file || !WriteAll(file.get(), text) || ::fsync(file.get()) != 0) return false;
  return ::rename(fresh.c_str(), path.c_str()) == 0;
}

// False, and errno set, where what was made or renamed in it may be gone after a crash of the machine.
bool SyncDirectory(const std::string& path) {
  const Fd directory(::open(path.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC));
  return directory && ::fsync(directory.get()) == 0;
}

std::string ReadFile(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

std::string Replaced(std::string text, const std::map<std::string, std::string>& words) {
  for (const auto& [name, value] : words) {
    const std::string mark = '{' + name + '}';
    for (auto at = text.find(mark); at != std::string::npos; at = text.find(mark, at + value.size())) {
      text.replace(at, mark.size(), value);
    }
  }
  return text;
}

bool LockedByAnother(const std::string& path) {
  const Fd lock(::open(path.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, kPrivate));
  return lock && ::flock(lock.get(), LOCK_EX | LOCK_NB) != 0 && errno == EWOULDBLOCK;
}

}  // namespace

struct Processes::Held {
  InstanceSpec spec;
  std::string directory;
  // The process; none where pid is 0.
  pid_t pid = 0;
  Fd alive;
  std::string token;
  std::string generation;
  // What its door said last; of another process: nothing.
  bool ready = false;
  bool draining = false;
  std::uint64_t taken = 0;
  std::uint64_t bad = 0;
  std::unique_ptr<boost::asio::posix::stream_descriptor> end;  // tells of its end
  bool asking = false;
  bool awaited = true;  // something is: the door is asked more often
  rollout::TimePoint ask_at{};
  rollout::TimePoint log_at{};

  std::string path(const char* name) const { return directory + '/' + name; }
  std::map<std::string, std::string> words(const std::string& files) const {
    return {{"instance", spec.name}, {"directory", directory}, {"generation", files}};
  }
  void Forget() {
    end.reset();
    pid = 0;
    alive.Close();
    token.clear();
    generation.clear();
    ready = draining = false;
    taken = bad = 0;
    awaited = true;
    ask_at = {};
  }
};

Processes::Processes(boost::asio::io_context& io, std::string directory,
                     const std::vector<InstanceSpec>& specs, std::vector<std::string> check,
                     const Limits& limits, runtime::Logger& log)
    : io_(io), directory_(std::move(directory)), check_(std::move(check)), limits_(limits), log_(log) {
  std::error_code error;
  fs::create_directories(directory_ + "/generations", error);
  if (error) throw std::runtime_error(directory_ + ": " + error.message());
  for (const InstanceSpec& spec : specs) {
    auto held = std::make_shared<Held>();
    held->spec = spec;
    held->directory = directory_ + "/instances/" + spec.name;
    fs::create_directories(held->directory, error);
    if (error) throw std::runtime_error(held->directory + ": " + error.message());
    Adopt(*held);
    if (held->pid != 0) {
      log_.Line(spec.name + ": adopted, pid " + std::to_string(held->pid) + ", generation " +
                held->generation);
    }
    held_.emplace(spec.name, std::move(held));
  }
}

// They go on without this.
Processes::~Processes() = default;

Processes::Held& Processes::Of(const std::string& instance) { return *held_.at(instance); }

// The lock says that a process lives; the file says which. Its start time tells it from one that has its
// number since.
void Processes::Adopt(Held& held) {
  if (!LockedByAnother(held.path("lock"))) return;
  const json file = json::parse(ReadFile(held.path("process.json")), nullptr, false);
  try {
    const auto pid = static_cast<pid_t>(rollout::Member<std::int64_t>(file, "pid"));
    const auto started = rollout::Member<std::uint64_t>(file, "started");
    Fd alive(PidFd(pid));
    if (pid <= 0 || !alive || started == 0 || StartTime(pid) != started) return;
    held.pid = pid;
    held.alive = std::move(alive);
    held.token = rollout::Member<std::string>(file, "token");
    held.generation = rollout::Member<std::string>(file, "generation");
  } catch (const std::invalid_argument&) {
    // It has the lock and has not written yet: the next look finds it.
  }
}

// Of the process that is held now.
void Processes::Watch(const std::shared_ptr<Held>& held) {
  const int copy = ::fcntl(held->alive.get(), F_DUPFD_CLOEXEC, 0);
  if (copy < 0) return;  // the tick finds its end, later
  held->end = std::make_unique<boost::asio::posix::stream_descriptor>(io_, copy);
  held->end->async_wait(
      boost::asio::posix::stream_descriptor::wait_read,
      [this, weak = std::weak_ptr(held), pid = held->pid](const boost::system::error_code& error) {
        const auto held = weak.lock();
        if (!error && held && held->pid == pid) News();
      });
}

void Processes::Poll(rollout::TimePoint now) {
  constexpr rollout::Duration kLogEvery{1000};
  for (const auto& [name, held] : held_) {
    if (held->pid != 0) {
      pollfd ended{held->alive.get(), POLLIN, 0};
      if (::poll(&ended, 1, 0) == 1) {
        int status = 0;
        const bool own = ::waitpid(held->pid, &status, WNOHANG) == held->pid;
        std::string how = "ended";
        if (own && WIFEXITED(status)) how += " with " + std::to_string(WEXITSTATUS(status));
        if (own && WIFSIGNALED(status)) how += " by signal " + std::to_string(WTERMSIG(status));
        log_.Line(name + ": pid " + std::to_string(held->pid) + ' ' + how);
        held->Forget();
      }
    } else {
      Adopt(*held);
    }
    if (held->pid != 0 && !held->end) Watch(held);
    if (held->pid != 0 && !held->asking && now >= held->ask_at) AskDoor(held, now);
    if (now >= held->log_at) {
      held->log_at = now + kLogEvery;
      BoundLog(*held);
    }
  }
}

void Processes::AskDoor(const std::shared_ptr<Held>& held, rollout::TimePoint now) {
  held->asking = true;
  held->ask_at = now + (held->awaited ? limits_.door_busy : limits_.door_idle);
  const std::string place = Replaced(held->spec.door, held->words(""));
  // Behind all upstreams: their list is not wanted here.
  admin_client::Ask(io_, {place, {}, "GET", "/v1/status?after=~", {}}, limits_.door_patience,
                    [this, weak = std::weak_ptr(held), pid = held->pid](const admin_client::Reply& reply) {
                      const auto held = weak.lock();
                      if (!held) return;
                      held->asking = false;
                      if (held->pid != pid || pid == 0) return;
                      const bool was_ready = std::exchange(held->ready, false);
                      held->draining = false;
                      // Not there yet: that costs the sidecar nothing, so it is tried again soon.
                      if (!reply.fault.empty() && held->awaited)
                        held->ask_at -= limits_.door_busy - limits_.door_absent;
                      if (!reply.ok() || !reply.body.is_object()) return;
                      const json& body = reply.body;
                      // A sidecar that was started beside it, or before, is another one.
                      if (!body.contains("process") || body["process"].value("pid", 0) != pid) return;
                      held->draining = body.value("state", "") == "draining";
                      held->ready = body.value("state", "") == "ready";
                      held->awaited = !held->ready;
                      std::uint64_t taken = 0;
                      std::uint64_t bad = 0;
                      for (const json& pool : body.value("pools", json::array())) {
                        for (const json& row : pool.value("counters", json::array())) {
                          taken += row.value("taken", std::uint64_t{0});
                          for (const char* outcome : {"refused", "failed", "late"})
                            bad += row.value(outcome, std::uint64_t{0});
                        }
                      }
                      held->taken = taken;
                      held->bad = bad;
                      if (held->ready != was_ready) News();
                    });
}

rollout::ProcessState Processes::Inspect(const std::string& instance) {
  const Held& held = Of(instance);
  // What holds the lock and is not known yet runs all the same: nothing may be started beside it.
  if (held.pid == 0) return {LockedByAnother(held.path("lock")), "", "", false, false};
  return {true, held.token, held.generation, held.ready, held.draining};
}

std::pair<std::uint64_t, std::uint64_t> Processes::Requests(const std::string& instance) {
  const Held& held = Of(instance);
  return {held.taken, held.bad};
}

void Processes::Do(const std::string& instance, const rollout::Action& action) {
  Held& held = Of(instance);
  const auto signal = [&held](int number) {
    if (held.pid != 0) ::syscall(SYS_pidfd_send_signal, held.alive.get(), number, nullptr, 0);
  };
  switch (action.kind) {
    case rollout::Action::Kind::kStart:
      return Start(held, action);
    case rollout::Action::Kind::kStop:
      log_.Line(instance + ": planned stop of pid " + std::to_string(held.pid));
      held.awaited = true;
      return signal(SIGTERM);
    case rollout::Action::Kind::kKill:
      return signal(SIGKILL);
    case rollout::Action::Kind::kSay:
      return log_.Line(instance + ": " + action.line);
  }
}

// The files of a generation as this instance gets them; where they lie.
std::string Processes::Prepare(const Held& held, const std::string& generation,
                               const std::string& from) const {
  const std::string to = held.path("files") + '/' + generation;
  std::error_code error;
  fs::create_directories(to, error);
  for (fs::directory_iterator it(from, error), end; !error && it != end; it.increment(error)) {
    const std::string name = it->path().filename().string();
    if (!WriteFile(to + '/' + name, Replaced(ReadFile(it->path()), held.words(to)))) return {};
  }
  return error ? std::string() : to;
}

// Runs the check over files that are not kept yet; what it says where it finds a fault.
std::string Processes::Checked(const std::string& generation, const std::string& from) const {
  if (check_.empty() || held_.empty()) return {};
  const Held& held = *held_.begin()->second;
  const std::string files = Prepare(held, ".check-" + generation, from);
  if (files.empty()) return "can't be checked: its files can't be written";
  std::vector<std::string> texts;
  for (const std::string& word : check_) texts.push_back(Replaced(word, held.words(files)));
  std::vector<char*> argv;
  for (std::string& text : texts) argv.push_back(text.data());
  argv.push_back(nullptr);
  int ends[2];
  if (::pipe2(ends, O_CLOEXEC) != 0) return std::string("can't be checked: ") + std::strerror(errno);
  Fd out(ends[0]);
  Fd in(ends[1]);
  const pid_t pid = ::fork();
  if (pid == 0) {
    char* none[] = {nullptr};
    ::dup2(in.get(), 1);
    ::dup2(in.get(), 2);
    CloseFrom(kLockFd);
    ::execve(argv[0], argv.data(), none);
    ::_exit(kNoExec);
  }
  in.Close();
  if (pid < 0) return std::string("can't be checked: ") + std::strerror(errno);
  constexpr std::size_t kMostSaid = 2000;
  std::string said;
  const auto until = std::chrono::steady_clock::now() + limits_.check;
  bool over = false;
  while (true) {
    const auto left = std::chrono::duration_cast<rollout::Duration>(until - std::chrono::steady_clock::now());
    pollfd ready{out.get(), POLLIN, 0};
    over = left.count() <= 0 || ::poll(&ready, 1, static_cast<int>(left.count())) <= 0;
    if (over) break;
    std::array<char, 1024> part;
    const ssize_t got = ::read(out.get(), part.data(), part.size());
    if (got <= 0) break;
    if (said.size() < kMostSaid) said.append(part.data(), static_cast<std::size_t>(got));
  }
  if (over) ::kill(pid, SIGKILL);
  int status = 0;
  while (::waitpid(pid, &status, 0) < 0 && errno == EINTR) {
  }
  std::error_code ignored;
  fs::remove_all(files, ignored);
  if (over) return "its check did not end in time";
  if (WIFEXITED(status) && WEXITSTATUS(status) == 0) return {};
  return "its check says: " + (said.empty() ? "nothing, and failed" : said.substr(0, kMostSaid));
}

void Processes::Start(Held& held, const rollout::Action& action) {
  if (held.pid != 0) return;
  const std::string files =
      Prepare(held, action.generation, directory_ + "/generations/" + action.generation);
  if (files.empty())
    return log_.Line(held.spec.name + ": can't be started: no files of " + action.generation);
  // All that allocates comes before the fork.
  const auto words = held.words(files);
  std::vector<std::string> texts;
  for (const std::string& word : held.spec.command) texts.push_back(Replaced(word, words));
  const std::size_t arguments = texts.size();
  for (const auto& [name, value] : held.spec.environment)
    texts.push_back(name + '=' + Replaced(value, words));
  std::vector<char*> argv;
  std::vector<char*> envp;
  for (std::size_t i = 0; i < texts.size(); ++i) (i < arguments ? argv : envp).push_back(texts[i].data());
  argv.push_back(nullptr);
  envp.push_back(nullptr);
  const std::string lock_path = held.path("lock");
  const std::string file_path = held.path("process.json");
  const std::string log_path = held.path("log");
  const std::string token = action.token;
  const std::string generation = action.generation;

  const pid_t pid = ::fork();
  if (pid < 0) return log_.Line(held.spec.name + ": can't be started: " + std::strerror(errno));
  if (pid == 0) {
    // The agent has one thread, so what follows may allocate. Not CLOEXEC: the sidecar keeps the lock.
    ::setsid();
    const int lock = ::open(lock_path.c_str(), O_RDWR | O_CREAT, kPrivate);
    if (lock < 0 || ::flock(lock, LOCK_EX | LOCK_NB) != 0) ::_exit(kNoExec);
    const json file = {{"pid", ::getpid()},
                       {"started", StartTime(::getpid())},
                       {"token", token},
                       {"generation", generation}};
    if (!WriteFile(file_path, file.dump())) ::_exit(kNoExec);
    const int log = ::open(log_path.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, kPrivate);
    const int none = ::open("/dev/null", O_RDONLY | O_CLOEXEC);
    ::dup2(none, 0);
    ::dup2(log, 1);
    ::dup2(log, 2);
    // Nothing else of the agent's goes along: whoever held its listening socket would stand in its
    // successor's way.
    ::dup2(lock, kLockFd);
    CloseFrom(kLockFd + 1);
    ::signal(SIGPIPE, SIG_DFL);
    sigset_t all;
    ::sigemptyset(&all);
    ::sigprocmask(SIG_SETMASK, &all, nullptr);
    ::execve(argv[0], argv.data(), envp.data());
    ::_exit(kNoExec);
  }
  held.Forget();
  held.pid = pid;
  held.alive = Fd(PidFd(pid));
  held.token = token;
  held.generation = generation;
  log_.Line(held.spec.name + ": started, pid " + std::to_string(pid) + ", generation " + generation +
            (token.empty() ? "" : ", for " + token));
}

// The process holds its log open, so the file itself stays: it is copied aside and cut. Lines that come
// between the two are lost; a pipe through the agent would lose them all when the agent dies.
void Processes::BoundLog(const Held& held) const {
  const std::string path = held.path("log");
  std::error_code error;
  const auto size = fs::file_size(path, error);
  if (error || size <= limits_.log_bytes) return;
  fs::copy_file(path, held.path("log.1"), fs::copy_options::overwrite_existing, error);
  if (!error) fs::resize_file(path, 0, error);
}

bool Processes::HasGeneration(const std::string& generation) const {
  return rollout::IsValidName(generation) && fs::is_directory(directory_ + "/generations/" + generation);
}

std::vector<std::string> Processes::Generations() const {
  std::set<std::string> names;
  std::error_code error;
  for (fs::directory_iterator it(directory_ + "/generations", error), end; !error && it != end;
       it.increment(error)) {
    const std::string name = it->path().filename().string();
    if (rollout::IsValidName(name)) names.insert(name);
  }
  return {names.begin(), names.end()};
}

std::map<std::string, std::string> Processes::FilesOf(const std::string& generation) const {
  std::map<std::string, std::string> files;
  if (!HasGeneration(generation)) return files;
  std::error_code error;
  for (fs::directory_iterator it(directory_ + "/generations/" + generation, error), end; !error && it != end;
       it.increment(error)) {
    files[it->path().filename().string()] = ReadFile(it->path());
  }
  return files;
}

std::string Processes::Keep(const std::string& generation, const std::map<std::string, std::string>& files) {
  if (!rollout::IsValidName(generation))
    return "generation: a name has letters, digits, '-', '_' and '.', at most 64";
  if (files.empty() || files.size() > kMostFiles) return "files: give 1 to " + std::to_string(kMostFiles);
  const std::string to = directory_ + "/generations/" + generation;
  for (const auto& [name, text] : files) {
    if (!rollout::IsValidName(name)) return "files: '" + name + "' is no name for a file of a generation";
    if (text.size() > kMostFileBytes)
      return name + ": longer than " + std::to_string(kMostFileBytes) + " bytes";
  }
  std::error_code error;
  if (HasGeneration(generation)) {
    return FilesOf(generation) == files
               ? ""
               : generation + " is there with other files; give the new ones a name of their own";
  }
  if (Generations().size() >= kMostGenerations) {
    return "there are " + std::to_string(kMostGenerations) +
           " generations already; remove some that nothing runs";
  }
  // Under a name that is none first: a generation is there whole, or not.
  const std::string fresh = directory_ + "/generations/." + generation;
  fs::remove_all(fresh, error);
  fs::create_directories(fresh, error);
  if (error) return fresh + ": " + error.message();
  for (const auto& [name, text] : files) {
    if (!WriteFile(fresh + '/' + name, text)) return fresh + '/' + name + ": " + std::strerror(errno);
  }
  if (const std::string fault = Checked(generation, fresh); !fault.empty()) {
    fs::remove_all(fresh, error);
    return generation + ": " + fault;
  }
  if (!SyncDirectory(fresh)) return fresh + ": " + std::strerror(errno);
  fs::rename(fresh, to, error);
  if (error) return to + ": " + error.message();
  const std::string parent = directory_ + "/generations";
  if (SyncDirectory(parent)) return {};
  // Taken back, as far as that goes: who is told of a fault may ask again, and must not be told that it is
  // there.
  const std::string fault = parent + ": " + std::strerror(errno);
  fs::rename(to, fresh, error);
  return fault;
}

std::string Processes::LogTail(const std::string& instance, std::size_t bytes) const {
  const std::string text = ReadFile(held_.at(instance)->path("log"));
  return text.size() > bytes ? text.substr(text.size() - bytes) : text;
}

bool Processes::awaited() const {
  for (const auto& [name, held] : held_) {
    if (held->pid != 0 && held->awaited) return true;
  }
  return false;
}

int Processes::pid(const std::string& instance) const { return held_.at(instance)->pid; }

}  // namespace mothrack::agent
