#include "standins/fleet.h"

#include <fcntl.h>
#include <signal.h>
#include <sys/file.h>
#include <sys/resource.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <sstream>

#include "standins/peers.h"

namespace mothrack::testing {
namespace {

namespace fs = std::filesystem;

std::string ReadAll(const std::string& path) {
  std::ostringstream text;
  text << std::ifstream(path).rdbuf();
  return text.str();
}

// Waits for the process to end. Returns its exit code, or 128 plus the signal that killed it.
int WaitForExitCode(pid_t pid) {
  int status = 0;
  if (::waitpid(pid, &status, 0) != pid) return -1;
  return WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
}

// Reserves ports for the sidecars and agents of one fleet. Each port is bound but not listening: a process
// that sets SO_REUSEADDR can still listen on it, and connections are refused while none does. The fleet of
// another test finds the port taken even while its sidecar is down; otherwise clients could reach that
// fleet's sidecar.
class PortReservations {
 public:
  // Returns distinct ports below the range of ephemeral ports, so that no connection uses one of them.
  std::vector<std::uint16_t> Reserve(std::size_t count) {
    std::vector<std::uint16_t> ports;
    static std::uint16_t next = static_cast<std::uint16_t>(10'000 + ::getpid() % 200 * 100);
    while (ports.size() < count) {
      if (++next >= 32'000) next = 10'000;
      boost::system::error_code error;
      tcp::acceptor holder(io_, tcp::v4());
      holder.bind({boost::asio::ip::make_address("127.0.0.1"), next}, error);
      if (error) continue;
      holder.set_option(tcp::acceptor::reuse_address(true));
      ::fcntl(holder.native_handle(), F_SETFD, FD_CLOEXEC);
      holders_.push_back(std::move(holder));
      ports.push_back(next);
    }
    return ports;
  }

 private:
  boost::asio::io_context io_;
  std::vector<tcp::acceptor> holders_;
};

}  // namespace

Fleet::Fleet(const Options& options) : options_(options) {
  WriteGeneration("g1");
  const auto sidecars =
      static_cast<std::size_t>(options_.agents) * static_cast<std::size_t>(options_.instances);
  const auto reservations = std::make_shared<PortReservations>();
  reserved_ports_ = reservations;
  ports_ = options_.ports ? reservations->Reserve(sidecars) : std::vector<std::uint16_t>(sidecars, 0);
  std::string list;
  std::string viewers;
  if (options_.tokens) {
    std::ofstream(path("tokens")) << "operator operator-token-123456\nviewer viewer-token-12345678\n";
    std::ofstream(path("operator")) << "operator-token-123456\n";
    std::ofstream(path("viewer")) << "viewer-token-12345678\n";
    for (const char* name : {"tokens", "operator", "viewer"}) ::chmod(path(name).c_str(), 0600);
  }
  for (int a = 0; a < options_.agents; ++a) {
    const std::string name = "a" + std::to_string(a);
    const std::string hall = a < (options_.agents + 1) / 2 ? "bole" : "kality";
    const std::string address = options_.tokens
                                    ? "127.0.0.1:" + std::to_string(reservations->Reserve(1).front())
                                    : "unix:" + path(name + ".sock");
    std::ofstream file(path(name + ".toml"));
    file << "[agent]\nname = \"" << name << "\"\nhall = \"" << hall << "\"\nlisten = \"" << address
         << "\"\ndirectory = \"" << path(name) << "\"\nlease_ms = 3000\ncheck = [\"" MOTHRACK_PROGRAM
         << "\", \"check\", \"{generation}/mothrack.toml\"]\n";
    if (options_.tokens) file << "tokens = \"" << path("tokens") << "\"\n";
    file << "[limits]\nfirst_pause_ms = 100\n"
         << options_.limits << "[generations]\ng1 = \"" << path("g1") << "\"\n";
    for (int i = 0; i < options_.instances; ++i) {
      const std::string sidecar = "[\"" MOTHRACK_PROGRAM "\", \"--config\", \"{generation}/mothrack.toml\"]";
      const std::string command = options_.command.empty() ? sidecar : options_.command;
      file << "[[instance]]\nname = \"n" << i << "\"\ncommand = "
           << (a == 0 && i == 0 && !options_.first_command.empty() ? options_.first_command : command)
           << "\nenvironment = { LB_NAME = \"" << name << "n" << i
           << "\", LB_LISTEN = \"127.0.0.1:" << ports_[static_cast<std::size_t>(a * options_.instances + i)]
           << "\", LB_DISCOVERY = \"127.0.0.1:1\", LB_CONFIG = "
              "\"{generation}/config.json\" }\ngeneration = \"g1\"\n";
    }
    const std::string entry =
        "[[agent]]\nname = \"" + name + "\"\nhall = \"" + hall + "\"\nplace = \"" + address + "\"\n";
    list += entry + (options_.tokens ? "token_file = \"" + path("operator") + "\"\n" : "");
    viewers += entry + "token_file = \"" + path("viewer") + "\"\n";
  }
  std::ofstream(path("agents.toml")) << list;
  std::ofstream(path("viewers.toml")) << viewers;
  for (int a = 0; a < options_.agents; ++a) StartAgent(a);
}

Fleet::~Fleet() {
  for (const auto& [agent, pid] : agents_) ::kill(pid, SIGKILL), WaitForExitCode(pid);
  // The sidecars outlive their agents. Their process files have the pids, and a lock file that is locked
  // shows that the sidecar still runs.
  for (int a = 0; a < options_.agents; ++a) {
    for (int i = 0; i < options_.instances; ++i) {
      const auto file = json::parse(ReadAll(DirectoryOf(a, i) + "/process.json"), nullptr, false);
      const int lock = ::open((DirectoryOf(a, i) + "/lock").c_str(), O_RDWR);
      if (lock < 0) continue;
      const bool runs = ::flock(lock, LOCK_EX | LOCK_NB) != 0;
      if (runs && file.is_object()) ::kill(file.value("pid", 0), SIGKILL);
      ::close(lock);
    }
  }
}

std::string Fleet::DirectoryOf(int agent, int instance) const {
  return path("a" + std::to_string(agent)) + "/instances/n" + std::to_string(instance);
}

std::string Fleet::WriteGeneration(const std::string& name, bool fault) const {
  fs::create_directories(path(name));
  std::ofstream(path(name) + "/mothrack.toml")
      << "name = \"{instance}\"\n# " << name << "\n[admin]\nlisten = \"unix:{directory}/door\"\n"
      << (fault ? "nonsense = 1\n" : "");
  json config = {{"name", "n"},
                 {"seed", "8c1f30d27a5be964"},
                 {"limits", {{"cores", 1.0}, {"memory_mb", 64}, {"sockets", 128}}},
                 {"settings", Settings()}};
  if (!options_.upstreams.is_null()) {
    config["known"] = {{"rev", 0}, {"all", true}, {"targets", options_.upstreams}};
  }
  std::ofstream(path(name) + "/config.json") << config.dump();
  return path(name);
}

pid_t Fleet::Spawn(const std::vector<std::string>& command, const std::string& out,
                   std::optional<std::uint64_t> file_bytes) const {
  std::vector<char*> argv;
  for (const std::string& word : command) argv.push_back(const_cast<char*>(word.c_str()));
  argv.push_back(nullptr);
  const int fd = ::open(out.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
  const pid_t pid = ::fork();
  if (pid == 0) {
    ::dup2(fd, 1);
    ::dup2(fd, 2);
    if (file_bytes) {
      const rlimit limit{*file_bytes, *file_bytes};
      ::setrlimit(RLIMIT_FSIZE, &limit);
    }
    ::execv(argv[0], argv.data());
    ::_exit(127);
  }
  ::close(fd);
  return pid;
}

void Fleet::StartAgent(int agent, std::optional<std::uint64_t> file_bytes) {
  const std::string name = "a" + std::to_string(agent);
  agents_[agent] = Spawn({MOTHRACK_AGENT, path(name + ".toml")}, path(name + ".log"), file_bytes);
}

int Fleet::RunSecondAgent(int agent) {
  const std::string name = "a" + std::to_string(agent);
  return WaitForExitCode(Spawn({MOTHRACK_AGENT, path(name + ".toml")}, path(name + ".log")));
}

void Fleet::KillAgent(int agent) {
  const auto it = agents_.find(agent);
  if (it == agents_.end()) return;
  ::kill(it->second, SIGKILL);
  WaitForExitCode(it->second);
  agents_.erase(it);
}

std::string Fleet::AgentLog(int agent) const { return ReadAll(path("a" + std::to_string(agent) + ".log")); }

CtlResult Fleet::Ctl(const std::vector<std::string>& arguments, const std::string& agents) const {
  std::vector<std::string> command = {MOTHRACK_CTL, "--agents", path(agents)};
  command.insert(command.end(), arguments.begin(), arguments.end());
  std::string out = path("out.XXXXXX");
  ::close(::mkstemp(out.data()));
  CtlResult result;
  result.code = WaitForExitCode(Spawn(command, out));
  result.out = ReadAll(out);
  ::unlink(out.c_str());
  return result;
}

pid_t Fleet::StartCtl(const std::vector<std::string>& arguments) const {
  std::vector<std::string> command = {MOTHRACK_CTL, "--agents", path("agents.toml")};
  command.insert(command.end(), arguments.begin(), arguments.end());
  return Spawn(command, path("ctl.log"));
}

CtlResult Fleet::WaitCtl(pid_t pid) { return {WaitForExitCode(pid), {}}; }

json Fleet::Status() const { return json::parse(Ctl({"status", "--json"}).out, nullptr, false); }

json Fleet::Instance(int agent, int instance) const {
  const json status = Status();
  try {
    return status.at("agents")
        .at("a" + std::to_string(agent))
        .at("instances")
        .at("n" + std::to_string(instance));
  } catch (const json::exception&) {
    return json::object();
  }
}

bool Fleet::AllReady(const std::string& generation) const {
  return Eventually([&] {
    const json status = Status();
    if (!status.is_object()) return false;
    for (const auto& [name, agent] : status["agents"].items()) {
      if (!agent.contains("instances")) return false;
      for (const auto& [instance, report] : agent["instances"].items()) {
        if (!report.value("ready", false) || report.value("generation", "") != generation) return false;
      }
    }
    return true;
  });
}

}  // namespace mothrack::testing
