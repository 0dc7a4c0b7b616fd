#include "standins/test_cluster.h"

#include <fcntl.h>
#include <signal.h>
#include <sys/file.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <ranges>
#include <sstream>
#include <stdexcept>
#include <thread>

#include "runtime/clock.h"
#include "standins/admin_client.h"
#include "support/loopback.h"

namespace mothrack::testing {
namespace {

namespace fs = std::filesystem;
using std::chrono::milliseconds;
using Clock = std::chrono::steady_clock;

constexpr int kMaxPrintedLines = 10;
// If a process does not start because a port is in use, StartAll() restarts it on other ports. This is the
// maximum number of such restarts.
constexpr int kMaxPortAttempts = 5;
constexpr milliseconds kDefaultProbe{500};  // default probe_ms of [peers], by which its intervals are scaled
// Discovery is in no zone, so that it is on no side of a partition of zones.
constexpr const char* kDiscoveryEndpoint = "discovery";

std::string ReadAll(const std::string& path) {
  std::ostringstream text;
  text << std::ifstream(path).rdbuf();
  return text.str();
}

// Returns a port that was free for TCP and UDP when it was checked. It is below the range of ephemeral ports,
// so that no connection takes it while its owner is down.
std::uint16_t FreePort() {
  static std::uint16_t next = static_cast<std::uint16_t>(10'000 + ::getpid() % 210 * 100);
  for (;;) {
    if (++next >= 32'000) next = 10'000;
    bool free = true;
    for (const int type : {SOCK_STREAM, SOCK_DGRAM}) {
      const int fd = ::socket(AF_INET, type | SOCK_CLOEXEC, 0);
      free = free && BindLoopback(fd, next);
      ::close(fd);
    }
    if (free) return next;
  }
}

// The port of an address "host:port".
std::uint16_t PortOf(const std::string& address) {
  return static_cast<std::uint16_t>(std::stoi(address.substr(address.find(':') + 1)));
}

// A null-terminated array of pointers into `texts` for execve(2); valid as long as `texts` is.
std::vector<char*> PointersTo(std::vector<std::string>& texts) {
  std::vector<char*> pointers;
  for (std::string& text : texts) pointers.push_back(text.data());
  pointers.push_back(nullptr);
  return pointers;
}

// Starts a child process whose output is appended to `log`. It is killed when the thread that started it
// ends.
pid_t StartProcess(std::vector<std::string> command, std::vector<std::string> environment,
                   const std::string& log) {
  // Allocates before the fork only: another thread may hold the allocator's lock at the fork.
  const std::vector<char*> argv = PointersTo(command);
  const std::vector<char*> envp = PointersTo(environment);
  const int fd = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
  const pid_t parent = ::getpid();
  const pid_t child = ::fork();
  if (child == 0) {
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (::getppid() != parent) ::_exit(126);
    ::dup2(fd, 1);
    ::dup2(fd, 2);
    ::execve(argv[0], argv.data(), envp.data());
    ::_exit(127);
  }
  ::close(fd);
  return child;
}

std::string Loopback(std::uint16_t port) { return "127.0.0.1:" + std::to_string(port); }

}  // namespace

std::string FirstLines(const std::vector<std::string>& lines) {
  std::string text;
  for (const std::string& line : lines | std::views::take(kMaxPrintedLines)) text += line + '\n';
  return text;
}

// Delegates, so that the object is complete before a process starts: if a start throws, the destructor runs
// and ends the processes that were started.
TestCluster::TestCluster(const Options& options) : TestCluster(options, NotStarted{}) {
  StartAll(Select("*"));
}

TestCluster::TestCluster(const Options& options, NotStarted)
    : options_(options), relay_(std::make_unique<FaultyRelay>(options.seed)) {
  WriteSharedFiles();
  relay_->AddEndpoint(kDiscoveryEndpoint, {});
  for (const std::string& zone : options_.zones) {
    for (int i = 0; i < options_.upstreams; ++i) AddUpstream(zone, zone + "-u" + std::to_string(i));
  }
  for (int i = 0; i < options_.sidecars; ++i) AddProcess(false, i);
  for (int i = 0; i < options_.agents; ++i) AddProcess(true, i);
  for (auto& [name, process] : processes_) {
    SetKeys(name, {Key(0)});
    if (!process.agent) ConnectThroughRelay(process);
  }
}

void TestCluster::WriteSharedFiles() const {
  fs::create_directories(path("g1"));
  std::ofstream(path("g1") + "/nothing") << "an agent has to have a generation\n";
  const json config = {{"name", "n"},
                       {"seed", "8c1f30d27a5be964"},
                       {"limits", {{"cores", 1.0}, {"memory_mb", 64}, {"sockets", 256}}},
                       {"settings", Settings()}};
  std::ofstream(path("config.json")) << config.dump();
}

void TestCluster::AddUpstream(const std::string& zone, const std::string& name) {
  relay_->AddEndpoint(name, {zone, "upstreams"});
  const auto run = [this, server = upstreams_.size(), handler = runs_.Handler()](
                       Wire& wire, const Request& request, int number) {
    const std::string target(request.target());
    record_.RequestStarted(server, std::string_view(target).substr(target.rfind('/') + 1), Clock::now());
    handler(wire, request, number);
  };
  upstreams_.push_back({name, zone, "active", 0, std::make_unique<Upstream>(run)});
}

void TestCluster::AddProcess(bool agent, int number) {
  const auto zones = static_cast<int>(options_.zones.size());
  Process process;
  process.agent = agent;
  process.number = static_cast<std::size_t>(number);
  process.name = (agent ? "a" : "s") + std::to_string(number);
  process.zone = options_.zones[static_cast<std::size_t>(number % zones)];
  process.machine = process.zone + '-' + std::to_string(number / zones);
  process.udp = FreePort();
  process.tcp = FreePort();
  relay_->AddEndpoint(process.name, {process.zone, process.machine, agent ? "agents" : "sidecars"},
                      process.udp);
  processes_[process.name] = std::move(process);
}

// Opens the relay's ports through which a sidecar reaches upstreams and discovery.
void TestCluster::ConnectThroughRelay(Process& sidecar) {
  for (const UpstreamEntry& entry : upstreams_) {
    sidecar.relay_ports[entry.name] =
        relay_->AddTcpPort(sidecar.name, entry.name, PortOf(entry.upstream->address()));
  }
  sidecar.discovery = std::make_unique<Discovery>(ListFor(sidecar));
  sidecar.relay_ports[kDiscoveryEndpoint] =
      relay_->AddTcpPort(sidecar.name, kDiscoveryEndpoint, PortOf(sidecar.discovery->address()));
}

TestCluster::~TestCluster() {
  Continue("*");
  traffic_.reset();
  Kill("*");
  for (const auto& [name, process] : processes_) {
    if (process.agent) EndInstance(process);
  }
}

std::vector<TestCluster::Process*> TestCluster::Select(const std::string& selector) {
  std::vector<Process*> selected;
  for (auto& [name, process] : processes_) {
    if (selector == "*" || selector == name || selector == process.machine || selector == process.zone ||
        selector == (process.agent ? "agents" : "sidecars")) {
      selected.push_back(&process);
    }
  }
  if (selected.empty()) throw std::logic_error("the cluster has no process that matches " + selector);
  return selected;
}

std::vector<std::string> TestCluster::Names(const std::string& selector) const {
  std::vector<std::string> names;
  for (const Process* process : const_cast<TestCluster*>(this)->Select(selector))
    names.push_back(process->name);
  return names;
}

const TestCluster::Process& TestCluster::ProcessNamed(const std::string& name) const {
  const auto it = processes_.find(name);
  if (it == processes_.end()) throw std::logic_error("the cluster has no process " + name);
  return it->second;
}

std::string TestCluster::MachineOf(const std::string& name) const { return ProcessNamed(name).machine; }
pid_t TestCluster::pid(const std::string& name) const { return ProcessNamed(name).pid; }
bool TestCluster::runs(const std::string& name) const { return ProcessNamed(name).pid > 0; }

json TestCluster::ListFor(const Process& process) const {
  std::vector<json> targets;
  for (const UpstreamEntry& entry : upstreams_) {
    if (entry.state == "gone") continue;
    json target =
        Target(entry.name, Loopback(process.relay_ports.at(entry.name)), entry.state, entry.boot_ms);
    target["az"] = entry.zone;
    targets.push_back(std::move(target));
  }
  return List(targets);
}

void TestCluster::SetUpstreamState(const std::string& upstream, const std::string& state) {
  const auto it = std::ranges::find(upstreams_, upstream, &UpstreamEntry::name);
  if (it == upstreams_.end()) throw std::logic_error("the cluster has no upstream " + upstream);
  it->state = state;
  for (auto& [name, process] : processes_) {
    if (!process.discovery) continue;
    process.discovery->Publish(ListFor(process));
    if (process.pid > 0) RecordNotified(process);
  }
}

std::string TestCluster::AddressOf(const std::string& upstream) const {
  const auto it = std::ranges::find(upstreams_, upstream, &UpstreamEntry::name);
  if (it == upstreams_.end()) throw std::logic_error("the cluster has no upstream " + upstream);
  return it->upstream->address();
}

void TestCluster::AnnounceRestart(const std::string& upstream, double per_s) {
  const auto it = std::ranges::find(upstreams_, upstream, &UpstreamEntry::name);
  if (it == upstreams_.end()) throw std::logic_error("the cluster has no upstream " + upstream);
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  it->boot_ms = std::chrono::duration_cast<milliseconds>(now).count();
  record_.UpstreamRestarted(static_cast<std::size_t>(it - upstreams_.begin()), per_s, Clock::now());
  SetUpstreamState(upstream, "active");
}

void TestCluster::RecordNotified(const Process& sidecar) {
  std::vector<bool> draining;
  for (const UpstreamEntry& upstream : upstreams_) draining.push_back(upstream.state != "active");
  record_.SidecarNotified(sidecar.number, draining, Clock::now());
}

std::string TestCluster::Key(int number) {
  std::string key(62, '5');
  for (const int digit : {number / 16 % 16, number % 16}) key += "0123456789abcdef"[digit];
  return key;
}

void TestCluster::SetKeys(const std::string& selector, const std::vector<std::string>& keys) {
  for (const Process* process : Select(selector)) {
    const std::string file = path(process->name + ".keys");
    std::ofstream(file + ".new");
    ::chmod((file + ".new").c_str(), 0600);
    std::ofstream stream(file + ".new");
    for (const std::string& key : keys) stream << key << '\n';
    stream.close();
    fs::rename(file + ".new", file);
  }
}

// The section [peers], with intervals scaled to the probe interval of the options.
std::string TestCluster::PeersSection(const Process& process) const {
  const auto scaled = [&](int default_ms) {
    return std::max<std::int64_t>(options_.probe.count() * default_ms / kDefaultProbe.count(), 10);
  };
  std::ostringstream peers;
  peers << "[peers]\nlisten = \"" << Loopback(process.udp) << "\"\nadvertise = \""
        << Loopback(relay_->advertised_port(process.name)) << "\"\nzone = \"" << process.zone
        << "\"\nkey_file = \"" << path(process.name + ".keys") << "\"\nprobe_ms = " << options_.probe.count()
        << "\nprobe_patience_ms = " << scaled(200)
        << "\ngossip_ms = " << std::max<std::int64_t>(scaled(100), 20)
        << "\ndigest_ms = " << std::max<std::int64_t>(scaled(1000), 100) << "\n";
  // The limit of datagrams is per second: shorter probe intervals need a higher one.
  peers << "datagrams_per_s = "
        << std::min<std::int64_t>(40 * kDefaultProbe.count() / options_.probe.count(), 1000) << "\nseeds = [";
  // One seed per zone, so that every side of a partition can rejoin the others.
  bool first = true;
  for (std::size_t i = 0; i < options_.zones.size(); ++i) {
    const std::string name = (options_.agents > 0 ? "a" : "s") + std::to_string(i);
    if (!processes_.contains(name) || name == process.name) continue;
    peers << (first ? "" : ", ") << '"' << Loopback(relay_->advertised_port(name)) << '"';
    first = false;
  }
  peers << "]\n" << options_.peers;
  return peers.str();
}

void TestCluster::WriteFile(const Process& process) const {
  const std::string peers = options_.with_peers ? PeersSection(process) : "";
  std::ofstream file(path(process.name + ".toml"));
  if (!process.agent) {
    file << "name = \"" << process.name << "\"\n[admin]\nlisten = \"unix:" << path(process.name + ".sock")
         << "\"\n"
         << peers << options_.operator_file;
    return;
  }
  // An agent needs at least one instance; this one only sleeps.
  file << "[agent]\nname = \"" << process.name << "\"\nhall = \"" << process.zone
       << "\"\nlisten = \"unix:" << path(process.name + ".sock") << "\"\ndirectory = \"" << path(process.name)
       << "\"\n[limits]\nfirst_pause_ms = 1000\n[generations]\ng1 = \"" << path("g1") << "\"\n"
       << "[[instance]]\nname = \"idle\"\ncommand = [\"/bin/sleep\", \"600\"]\ngeneration = \"g1\"\n"
       << peers << options_.agent_file;
}

std::vector<std::string> TestCluster::CommandOf(const Process& process) const {
  const std::string file = path(process.name + ".toml");
  if (process.agent) return {MOTHRACK_AGENT, file};
  return {MOTHRACK_PROGRAM, "--config", file};
}

// The test's own environment without the platform's variables (LB_*), which are set for each sidecar.
std::vector<std::string> TestCluster::EnvironmentOf(const Process& process) const {
  std::vector<std::string> variables;
  for (char** entry = environ; *entry != nullptr; ++entry) {
    if (!std::string_view(*entry).starts_with("LB_")) variables.emplace_back(*entry);
  }
  if (process.agent) return variables;
  variables.push_back("LB_NAME=" + process.name);
  variables.push_back("LB_LISTEN=" + Loopback(process.tcp));
  variables.push_back("LB_DISCOVERY=" + Loopback(process.relay_ports.at(kDiscoveryEndpoint)));
  variables.push_back("LB_CONFIG=" + path("config.json"));
  return variables;
}

void TestCluster::Spawn(Process& process) {
  WriteFile(process);
  const std::string log = path(process.name + ".log");
  process.log_from = ReadAll(log).size();
  process.pid = StartProcess(CommandOf(process), EnvironmentOf(process), log);
  if (!process.agent) RecordNotified(process);
}

bool TestCluster::WaitUntilListening(Process& process) {
  bool ended = false;
  const bool up = Eventually([&] {
    ended = ::waitpid(process.pid, nullptr, WNOHANG) == process.pid;
    const std::string text = Log(process.name).substr(process.log_from);
    // A sidecar opens its admin API last. Until then a call there reaches the socket file of the previous
    // process.
    return ended || text.find(process.agent ? "agent on " : "admin on ") != std::string::npos;
  });
  if (ended) process.pid = -1;
  return up && !ended;
}

void TestCluster::StartAll(const std::vector<Process*>& processes) {
  std::vector<Process*> down;
  for (Process* process : processes) {
    if (process->pid > 0) continue;
    Spawn(*process);
    down.push_back(process);
  }
  for (int i = 0; !down.empty(); ++i) {
    std::vector<Process*> again;
    for (Process* process : down) {
      if (!WaitUntilListening(*process)) again.push_back(process);
    }
    for (Process* process : again) {
      const std::string text = Log(process->name).substr(process->log_from);
      if (i >= kMaxPortAttempts || text.find("in use") == std::string::npos) {
        throw std::runtime_error(process->name + " does not start: " + text);
      }
      process->udp = FreePort();
      relay_->MoveEndpoint(process->name, process->udp);
      if (!traffic_) process->tcp = FreePort();
      Spawn(*process);
    }
    down = std::move(again);
  }
}

void TestCluster::Start(const std::string& selector) { StartAll(Select(selector)); }

void TestCluster::Signal(const std::string& selector, int number) {
  for (const Process* process : Select(selector)) {
    if (process->pid > 0) ::kill(process->pid, number);
  }
}

void TestCluster::Kill(const std::string& selector) {
  Signal(selector, SIGKILL);  // all before the first wait, as when a machine fails
  for (Process* process : Select(selector)) {
    if (process->pid <= 0) continue;
    ::waitpid(process->pid, nullptr, 0);
    process->pid = -1;
    if (!process->agent) record_.SidecarKilled(process->number, Clock::now());
  }
}

void TestCluster::Pause(const std::string& selector) { Signal(selector, SIGSTOP); }
void TestCluster::Continue(const std::string& selector) { Signal(selector, SIGCONT); }

// The instance outlives its agent. Its process file has the pid, and a lock file that is locked shows that it
// still runs.
void TestCluster::EndInstance(const Process& agent) const {
  const std::string directory = path(agent.name) + "/instances/idle";
  const auto file = json::parse(ReadAll(directory + "/process.json"), nullptr, false);
  const int lock = ::open((directory + "/lock").c_str(), O_RDWR | O_CLOEXEC);
  if (lock < 0) return;
  const bool runs = ::flock(lock, LOCK_EX | LOCK_NB) != 0;
  if (runs && file.is_object() && file.value("pid", 0) > 0) ::kill(file.value("pid", 0), SIGKILL);
  ::close(lock);
}

std::string TestCluster::Log(const std::string& name) const { return ReadAll(path(name + ".log")); }

json TestCluster::Status(const std::string& name) const {
  const Process& process = ProcessNamed(name);
  if (process.pid <= 0) return nullptr;
  const AdminClient admin("unix:" + path(name + ".sock"));
  const auto answer = admin.Get(process.agent ? "/v1/agent" : "/v1/status");
  return answer && answer->status == 200 ? answer->body : json(nullptr);
}

json TestCluster::Peers(const std::string& name) const {
  const json status = Status(name);
  return status.is_object() && status.contains("peers") ? status["peers"] : json(nullptr);
}

std::string TestCluster::StateAt(const std::string& observer, const std::string& member) const {
  const json peers = Peers(observer);
  if (!peers.is_object() || !peers.contains("members")) return "unknown";
  for (const json& entry : peers["members"]) {
    if (entry.value("name", "") == member) return entry.value("state", "unknown");
  }
  return "unknown";
}

bool TestCluster::AllSee(const std::vector<std::string>& observers, const std::vector<std::string>& members,
                         const std::string& state) const {
  for (const std::string& observer : observers) {
    const json peers = Peers(observer);
    if (!peers.is_object() || !peers.contains("members")) return false;
    std::map<std::string, std::string> states;
    for (const json& entry : peers["members"]) states[entry.value("name", "")] = entry.value("state", "");
    for (const std::string& member : members) {
      if (member != observer && states[member] != state) return false;
    }
  }
  return true;
}

std::optional<milliseconds> TestCluster::Await(const std::function<bool()>& condition,
                                               milliseconds timeout) const {
  const auto begin = Clock::now();
  while (!condition()) {
    if (Clock::now() - begin > timeout) return std::nullopt;
    std::this_thread::sleep_for(milliseconds(100));  // the admin API limits the rate of calls
  }
  return std::chrono::duration_cast<milliseconds>(Clock::now() - begin);
}

void TestCluster::BeginTraffic() {
  std::vector<std::uint16_t> ports;
  for (int i = 0; i < options_.sidecars; ++i) ports.push_back(ProcessNamed("s" + std::to_string(i)).tcp);
  traffic_ = std::make_unique<Traffic>(ports, options_.every,
                                       [this](const auto& request) { record_.RequestCompleted(request); });
}

std::vector<std::string> TestCluster::StopTrafficAndCheck(milliseconds drain) {
  if (!traffic_) return {"there was no traffic to check"};
  Continue("*");  // a client of a paused process would wait for it
  const auto unsafe = traffic_->Stop();
  return record_.Violations(unsafe, runs_.all(), drain);
}

}  // namespace mothrack::testing
