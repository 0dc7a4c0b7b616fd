// mothrack-agent: supervises the sidecars of one machine as its agent file says (src/agent/agent_file.h).
// Everything runs in one event loop on one thread. The exit code is 1 if the file is invalid or something
// that it names can't be used.
#include <fcntl.h>
#include <sys/file.h>

#include <CLI/CLI.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <csignal>
#include <filesystem>
#include <iostream>
#include <map>
#include <optional>
#include <stdexcept>
#include <string>

#include "agent/agent_api.h"
#include "agent/agent_file.h"
#include "agent/clock.h"
#include "agent/directory_files.h"
#include "agent/posix_io.h"
#include "agent/sqlite_store.h"
#ifdef MOTHRACK_WITH_PEERS
#include "gossip/link.h"
#endif

namespace mothrack::agent {
namespace {

// Locks the directory for as long as the result exists. Two agents on one directory would each start the same
// instances.
UniqueFd LockDirectory(const std::string& directory) {
  std::filesystem::create_directories(directory);
  const std::string path = directory + "/agent.lock";
  UniqueFd lock(::open(path.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, kPrivateMode));
  if (!lock) throw std::runtime_error(path + ": can't be opened");
  if (::flock(lock.get(), LOCK_EX | LOCK_NB) != 0) {
    throw std::runtime_error(
        directory + ": another agent uses it; stop that agent first, or give this one another directory");
  }
  return lock;
}

// Stores the generations that the agent file names. Throws FileError.
void StoreNamedGenerations(const AgentFile& file, ProcessSupervisor& processes) {
  for (const auto& [name, from] : file.generations) {
    if (processes.HasGeneration(name)) continue;
    const auto [files, error] = ReadDirectory(from, DirectoryEntries::kAll);
    const std::string key = "generations." + name + ": ";
    if (error) throw FileError(key + from + ": " + error.message());
    if (const auto rejection = processes.generations().Add(name, files)) {
      throw FileError(key + rejection->message);
    }
  }
}

std::map<std::string, std::string> FirstGenerations(const AgentFile& file) {
  std::map<std::string, std::string> generations;
  for (const InstanceSpec& spec : file.instances) generations[spec.name] = spec.generation;
  return generations;
}

// Polls the processes and reconciles the instances: at each tick, and whenever something has changed.
class SupervisionLoop {
 public:
  SupervisionLoop(boost::asio::io_context& io, ProcessSupervisor& processes, Agent& agent)
      : io_(io), processes_(processes), agent_(agent), tick_(io) {}

  void RunNow() {
    processes_.Poll(SteadyNow());
    agent_.ReconcileInstances(SteadyNow(), UnixNow());
    tick_.expires_after(processes_.awaits_state_change() ? kTickWhileAwaiting : Agent::kTickInterval);
    tick_.async_wait([this](const boost::system::error_code& error) {
      if (!error) RunNow();
    });
  }
  // Runs at the next turn of the event loop, since the caller may be in the middle of its own work.
  void RunSoon() {
    boost::asio::post(io_, [this] { RunNow(); });
  }

 private:
  // The tick while a process is about to become ready or to exit.
  static constexpr rollout::Duration kTickWhileAwaiting{20};

  boost::asio::io_context& io_;
  ProcessSupervisor& processes_;
  Agent& agent_;
  boost::asio::steady_timer tick_;
};

#ifdef MOTHRACK_WITH_PEERS
// Runs gossip with the other processes of the machine's hall. SIGHUP reloads its keys, and nothing else.
class PeersRunner {
 public:
  PeersRunner(boost::asio::io_context& io, const gossip::Settings& settings, const std::string& name,
              runtime::Logger& log)
      : client_(io, settings, name, log), reload_signal_(io, SIGHUP) {
    if (const auto local = client_.local()) std::cerr << name << ": peers on " << *local << std::endl;
    ReloadKeysOnSignal();
  }

  nlohmann::json Report() const { return client_.Report(); }
  // Announces to the other members that this process exits.
  void Leave() { client_.Leave(); }

 private:
  void ReloadKeysOnSignal() {
    reload_signal_.async_wait([this](const boost::system::error_code& error, int) {
      if (error) return;
      client_.ReloadKeys();
      ReloadKeysOnSignal();
    });
  }

  gossip::GossipClient client_;
  boost::asio::signal_set reload_signal_;
};
#endif

// Runs the agent until SIGTERM or SIGINT and returns its exit code. Throws if the agent can't start.
int Run(const std::string& path) {
  std::signal(SIGPIPE, SIG_IGN);
  // With SIGXFSZ ignored, a write beyond the file size limit fails with EFBIG, which the store reports as a
  // failed save. The sidecars inherit this; otherwise a log line beyond the limit would terminate them.
  std::signal(SIGXFSZ, SIG_IGN);
  const AgentFile file = LoadAgentFile(path);
  const UniqueFd lock = LockDirectory(file.directory);
  boost::asio::io_context io(1);
  runtime::Logger log(file.name);
  SqliteStore store(file.directory + "/state.sqlite");
  if (!store.fault().empty()) log.Error("store_unusable", {{"cause", store.fault()}});
  ProcessSupervisor processes(io, file.directory, file.instances, file.check, file.process_limits, log);
  StoreNamedGenerations(file, processes);
  Agent agent(store, processes, store.stored(), FirstGenerations(file), file.limits, file.lease_time,
              SteadyNow());
  AgentApi api(io, file, agent, processes, store, log);
  std::cerr << file.name << ": agent on " << api.local() << std::endl;
#ifdef MOTHRACK_WITH_PEERS
  std::optional<PeersRunner> peers;
  if (file.peers) {
    peers.emplace(io, *file.peers, file.name, log);
    api.ReportPeers([&] { return peers->Report(); });
  }
#endif

  SupervisionLoop supervision(io, processes, agent);
  processes.OnStateChange([&] { supervision.RunSoon(); });
  api.OnStepReceived([&] { supervision.RunSoon(); });
  supervision.RunNow();
  // The sidecars keep running when the agent exits; the next agent adopts them.
  boost::asio::signal_set stop(io, SIGTERM, SIGINT);
  stop.async_wait([&](const boost::system::error_code& error, int) {
    if (error) return;
#ifdef MOTHRACK_WITH_PEERS
    if (peers) peers->Leave();
#endif
    io.stop();
  });
  while (!io.stopped()) {
    try {
      io.run();
    } catch (const std::exception& e) {
      log.Error("unexpected_exception",
                {{"cause", e.what()}});  // an error in one call must not stop the agent
    }
  }
  return 0;
}

// Parses and executes the command line; returns the exit code.
int RunCommandLine(int argc, char** argv) {
  CLI::App app{
      "mothrack-agent: supervises the sidecars of one machine. It starts, stops and restarts them, adopts\n"
      "running sidecars when it is restarted, and carries out changes from mothrackctl. SIGTERM stops the\n"
      "agent; the sidecars keep running."};
  app.set_version_flag("--version", "mothrack-agent " MOTHRACK_VERSION);
  std::string path;
  bool check = false;
  app.add_option("FILE", path, "the agent file (TOML), such as deploy/agent.toml")->required();
  app.add_flag("--check", check, "validate the file and exit");
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& e) {
    return app.exit(e);
  }
  if (!check) return Run(path);
  LoadAgentFile(path);
  return 0;
}

}  // namespace
}  // namespace mothrack::agent

int main(int argc, char** argv) {
  try {
    return mothrack::agent::RunCommandLine(argc, argv);
  } catch (const std::exception& e) {
    std::cerr << "mothrack-agent: " << e.what() << std::endl;
    return 1;
  }
}
