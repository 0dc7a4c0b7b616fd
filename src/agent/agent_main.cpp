// mothrack-agent: looks after the sidecars of one machine, by its fleet file.
#include <fcntl.h>
#include <sys/file.h>
#include <unistd.h>

#include <CLI/CLI.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iostream>
#include <sstream>
#include <string>

#include "agent/agent_api.h"
#include "agent/agent_file.h"
#include "agent/clock.h"
#include "agent/sqlite_store.h"
#ifdef MOTHRACK_WITH_PEERS
#include "gossip/link.h"
#endif

namespace mothrack::agent {
namespace {

// Two agents over one directory would each start what the other started.
int LockDirectory(const std::string& directory) {
  std::filesystem::create_directories(directory);
  const std::string path = directory + "/agent.lock";
  const int lock = ::open(path.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0600);
  if (lock < 0) throw std::runtime_error(path + ": can't be opened");
  if (::flock(lock, LOCK_EX | LOCK_NB) != 0) {
    throw std::runtime_error(directory + ": another agent has it; end that first, or give this one its own");
  }
  return lock;
}

// The generations that the file names are kept like those that a tool sends.
void KeepNamed(const AgentFile& file, ProcessSupervisor& processes) {
  for (const auto& [name, from] : file.generations) {
    if (processes.HasGeneration(name)) continue;
    std::map<std::string, std::string> files;
    std::error_code error;
    for (std::filesystem::directory_iterator it(from, error), end; !error && it != end; it.increment(error)) {
      std::ostringstream text;
      text << std::ifstream(it->path(), std::ios::binary).rdbuf();
      files[it->path().filename().string()] = text.str();
    }
    if (error) throw FileError("generations." + name + ": " + from + ": " + error.message());
    if (const auto rejection = processes.generations().Keep(name, files)) {
      throw FileError("generations." + name + ": " + rejection->message);
    }
  }
}

// While a door is awaited.
constexpr rollout::Duration kSoon{20};

int Run(const std::string& path) {
  std::signal(SIGPIPE, SIG_IGN);
  // A file at its limit is a disk that takes no more: what write() returns says so, to the store and to
  // whoever asks. Its sidecars inherit that, or a line of their log would end them.
  std::signal(SIGXFSZ, SIG_IGN);
  const AgentFile file = LoadAgentFile(path);
  const int lock = LockDirectory(file.directory);
  boost::asio::io_context io(1);
  runtime::Logger log(file.name);
  SqliteStore store(file.directory + "/state.sqlite");
  if (!store.fault().empty()) log.Line(store.fault() + "; no change is taken until then");
  ProcessSupervisor processes(io, file.directory, file.instances, file.check, file.process_limits, log);
  KeepNamed(file, processes);
  std::map<std::string, std::string> instances;
  for (const InstanceSpec& spec : file.instances) instances[spec.name] = spec.generation;
  Agent agent(store, processes, store.stored(), instances, file.limits, file.lease_time, SteadyNow());
  AgentApi api(io, file, agent, processes, store, log);
  std::cerr << file.name << ": agent on " << api.local() << std::endl;
#ifdef MOTHRACK_WITH_PEERS
  std::optional<gossip::GossipClient> peers;
  boost::asio::signal_set rekey(io);
  std::function<void()> rekey_on_signal;
  if (file.peers) {
    peers.emplace(io, *file.peers, file.name, log);
    api.ReportPeers([&] { return peers->Report(); });
    if (const auto local = peers->local()) std::cerr << file.name << ": peers on " << *local << std::endl;
    rekey.add(SIGHUP);  // reads the keys again, and nothing else
    rekey_on_signal = [&] {
      rekey.async_wait([&](const boost::system::error_code& error, int) {
        if (error) return;
        peers->ReloadKeys();
        rekey_on_signal();
      });
    };
    rekey_on_signal();
  }
#endif

  boost::asio::steady_timer tick(io);
  const std::function<void()> live = [&] {
    processes.Poll(SteadyNow());
    agent.ReconcileInstances(SteadyNow(), UnixNow());
    tick.expires_after(processes.awaits_state_change() ? kSoon : Agent::kTickInterval);
    tick.async_wait([&](const boost::system::error_code& error) {
      if (!error) live();
    });
  };
  // At the next turn of the event loop: what tells may be in the midst of its work.
  processes.OnStateChange([&] { boost::asio::post(io, live); });
  api.OnStepAccepted([&] { boost::asio::post(io, live); });
  live();
  // Its instances run on: a later agent adopts them.
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
      log.Line(e.what());  // one caller's trouble must not end the others
    }
  }
  ::close(lock);
  return 0;
}

}  // namespace
}  // namespace mothrack::agent

int main(int argc, char** argv) {
  CLI::App app{
      "mothrack-agent: looks after the sidecars of one machine. It starts, stops and restarts them, adopts "
      "what runs\n"
      "when it is started anew, and takes changes from mothrackctl. SIGTERM ends it; the sidecars run on."};
  app.set_version_flag("--version", "mothrack-agent " MOTHRACK_VERSION);
  std::string path;
  bool check = false;
  app.add_option("FILE", path, "the fleet file (TOML), as deploy/agent.toml")->required();
  app.add_flag("--check", check, "validate the file and end");
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& e) {
    return app.exit(e);
  }
  try {
    if (check) return mothrack::agent::LoadAgentFile(path), 0;
    return mothrack::agent::Run(path);
  } catch (const std::exception& e) {
    std::cerr << "mothrack-agent: " << e.what() << std::endl;
    return 1;
  }
}
