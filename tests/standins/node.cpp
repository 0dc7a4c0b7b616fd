#include <fcntl.h>
#include <linux/close_range.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <map>
#include <stdexcept>
#include <utility>

#include "standins/peers.h"

namespace mothrack::testing {
namespace {

// Returns the environment variables that preload the library for the fault in `options`, and its settings. A
// process has at most one kind of fault.
std::vector<std::string> FaultEnvironment(const Node::Options& options) {
  // Turns off the address sanitizer's check that it is loaded first, since the preloaded library comes first.
  const std::string sanitizer = "ASAN_OPTIONS=verify_asan_link_order=0";
  if (!options.fault_plan.empty()) {
    return {"LD_PRELOAD=" MOTHRACK_FAULT_INJECTION, "FAULT_PLAN=" + options.fault_plan, sanitizer};
  }
  if (options.udp_send_interval != 0) {
    return {"LD_PRELOAD=" MOTHRACK_FULL_SEND_BUFFER,
            "UDP_SEND_INTERVAL=" + std::to_string(options.udp_send_interval), sanitizer};
  }
  if (options.socket_limit != 0) {
    return {"LD_PRELOAD=" MOTHRACK_SOCKET_LIMIT, "SOCKET_LIMIT=" + std::to_string(options.socket_limit),
            sanitizer};
  }
  if (options.lost_wakeups) return {"LD_PRELOAD=" MOTHRACK_LOST_WAKEUPS, sanitizer};
  return {};
}

// Returns the sidecar's environment, as NAME=VALUE by NAME: that of this process with the changes of
// `options`.
std::map<std::string, std::string> Environment(const Node::Options& options, const std::string& config_path) {
  std::map<std::string, std::string> variables;
  for (char** entry = environ; *entry != nullptr; ++entry) {
    const std::string text = *entry;
    variables[text.substr(0, text.find('='))] = text;
  }
  for (const char* name : {"LB_NAME", "LB_LISTEN", "LB_DISCOVERY", "LB_CONFIG", "LB_OPS", "TMPDIR"}) {
    variables.erase(name);
  }
  const auto set = [&variables](const std::string& name, const std::string& value) {
    variables[name] = name + '=' + value;
  };
  if (!options.ops.empty()) set("LB_OPS", options.ops);
  if (!options.tmpdir.empty()) set("TMPDIR", options.tmpdir);
  if (options.platform) {
    set("LB_NAME", "t1");
    set("LB_LISTEN", options.listen);
    set("LB_DISCOVERY", options.discovery);
    set("LB_CONFIG", config_path);
  }
  for (const auto& name : options.unset) variables.erase(name);
  for (const auto& entries : {options.environment, FaultEnvironment(options)}) {
    for (const auto& entry : entries) variables[entry.substr(0, entry.find('='))] = entry;
  }
  return variables;
}

// A null-terminated array of pointers into `texts`, as execve() takes it; valid as long as they are.
std::vector<char*> Pointers(std::vector<std::string>& texts) {
  std::vector<char*> pointers;
  for (std::string& text : texts) pointers.push_back(text.data());
  pointers.push_back(nullptr);
  return pointers;
}

// Fills the pipe, so that the next write to it blocks.
void FillPipe(int writing_end) {
  const int size = ::fcntl(writing_end, F_SETPIPE_SZ, 1);
  const std::string full(static_cast<std::size_t>(std::max(size, 1)), '\n');
  if (::write(writing_end, full.data(), full.size()) != size)
    throw std::runtime_error("cannot fill the log pipe of the node");
}

}  // namespace

Node::Node(const Options& options) {
  static std::atomic<int> count{0};
  config_path_ = std::filesystem::temp_directory_path() /
                 ("mothrack-test-" + std::to_string(::getpid()) + "-" + std::to_string(count++) + ".json");
  config_ = {{"name", "t1"},
             {"listen", options.listen},
             {"discovery", options.discovery},
             {"seed", "8c1f30d27a5be964"},
             {"limits", {{"cores", 1.0}, {"memory_mb", options.memory_mb}, {"sockets", options.sockets}}},
             {"settings", options.settings}};
  if (!options.known.is_null()) config_["known"] = {{"rev", 0}, {"all", true}, {"targets", options.known}};
  std::ofstream(config_path_) << (options.config_text.empty() ? config_.dump() : options.config_text);
  operator_path_ = config_path_ + ".toml";
  if (!options.operator_file.empty()) std::ofstream(operator_path_) << options.operator_file;

  // Everything is allocated before the fork: another thread may hold the allocator's lock at the fork, and
  // under the sanitizers a child that allocates then blocks forever.
  std::vector<std::string> variables;
  for (const auto& [name, entry] : Environment(options, config_path_)) variables.push_back(entry);
  std::vector<std::string> arguments = {MOTHRACK_PROGRAM};
  if (!options.operator_file.empty()) arguments.insert(arguments.end(), {"--config", operator_path_});
  const std::vector<char*> envp = Pointers(variables);
  const std::vector<char*> argv = Pointers(arguments);

  int ends[2];
  if (::pipe2(ends, O_CLOEXEC) != 0) throw std::runtime_error("cannot create the log pipe of the node");
  if (options.log_blocked) FillPipe(ends[1]);
  pid_ = ::fork();
  if (pid_ == 0) {
    ::dup2(ends[1], 2);
    // The sockets of this process's peers: while the sidecar held one, its close would not reach the other
    // side.
    ::close_range(STDERR_FILENO + 1, ~0U, CLOSE_RANGE_CLOEXEC);
    ::execve(argv[0], argv.data(), envp.data());
    ::_exit(127);
  }
  ::close(ends[1]);
  log_end_ = ends[0];
  if (!options.log_blocked) UnblockLog();
}

void Node::UnblockLog() {
  if (log_end_ < 0) return;
  reading_ = std::thread([this, from = std::exchange(log_end_, -1)] {
    char bytes[4096];
    ssize_t size = 0;
    while ((size = ::read(from, bytes, sizeof bytes)) > 0) {
      const std::lock_guard lock(mutex_);
      log_.append(bytes, static_cast<std::size_t>(size));
    }
    ::close(from);
  });
}

Node::~Node() {
  if (!status_) {
    ::kill(pid_, SIGKILL);
    Wait();
  }
  if (log_end_ >= 0) ::close(log_end_);
  if (reading_.joinable()) reading_.join();
  std::filesystem::remove(config_path_);
  std::filesystem::remove(operator_path_);
}

bool Node::WaitForPort(const std::string& prefix, std::uint16_t& port) {
  return Eventually([&] {
    const std::string text = log();
    const auto at = text.find(prefix);
    if (at == std::string::npos || text.find('\n', at) == std::string::npos) return false;
    port = static_cast<std::uint16_t>(std::stoi(text.substr(at + prefix.size())));
    return true;
  });
}

bool Node::Listening() { return WaitForPort("listening on 127.0.0.1:", port_); }

bool Node::OpsListening() { return WaitForPort("ops on 127.0.0.1:", ops_port_); }

bool Node::DnsListening() { return WaitForPort("dns on 127.0.0.1:", dns_port_); }

void Node::WriteOperatorFile(const std::string& text) {
  std::ofstream(operator_path_ + ".new") << text;
  std::filesystem::rename(operator_path_ + ".new", operator_path_);
}

void Node::ReloadOperatorFile(const std::string& text) {
  WriteOperatorFile(text);
  Signal(SIGHUP);
}

void Node::Signal(int number) { ::kill(pid_, number); }

void Node::Reload(const std::string& config_text) {
  std::ofstream(config_path_ + ".new") << config_text;
  std::filesystem::rename(config_path_ + ".new", config_path_);
  Signal(SIGHUP);
}

int Node::Wait() {
  if (!status_) {
    int status = 0;
    ::waitpid(pid_, &status, 0);
    status_ = WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
    if (reading_.joinable()) reading_.join();
  }
  return *status_;
}

std::string Node::log() const {
  const std::lock_guard lock(mutex_);
  return log_;
}

int Node::descriptors() const {
  int count = 0;
  for ([[maybe_unused]] const auto& entry :
       std::filesystem::directory_iterator("/proc/" + std::to_string(pid_) + "/fd")) {
    ++count;
  }
  return count;
}

}  // namespace mothrack::testing
