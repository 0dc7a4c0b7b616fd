#include "simulation/sweep.h"

#include <poll.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cerrno>
#include <map>
#include <stdexcept>

#include "simulation/results.h"
#include "simulation/simulation_run.h"

namespace mothrack::simulation {
namespace {

struct Worker {
  std::size_t job = 0;
  pid_t pid = 0;
  std::string output;
};

[[noreturn]] void Work(const Job& job, int to) {
  int code = 1;
  try {
    SimulationRun world(job.scenario, job.seed);
    const Outcome outcome = world.Run();
    const std::string text = ToJson(job.scenario, job.seed, outcome, world.figures(), false).dump();
    std::size_t at = 0;
    while (at < text.size()) {
      const ssize_t wrote = ::write(to, text.data() + at, text.size() - at);
      if (wrote <= 0) ::_exit(1);
      at += static_cast<std::size_t>(wrote);
    }
    code = 0;
  } catch (const std::exception&) {
    // Told by what is missing.
  }
  ::_exit(code);
}

}  // namespace

void PlayAll(const std::vector<Job>& jobs, std::size_t at_once,
             const std::function<bool(std::size_t, const nlohmann::json&)>& done) {
  std::map<int, Worker> workers;  // by what they write to
  std::size_t next = 0;
  bool going = true;
  while (!workers.empty() || (going && next < jobs.size())) {
    while (going && next < jobs.size() && workers.size() < at_once) {
      int pipe[2];
      if (::pipe(pipe) != 0) throw std::runtime_error("no pipe for a worker");
      const pid_t pid = ::fork();
      if (pid < 0) throw std::runtime_error("no process for a worker");
      if (pid == 0) {
        ::close(pipe[0]);
        Work(jobs[next], pipe[1]);
      }
      ::close(pipe[1]);
      workers[pipe[0]] = {next++, pid, {}};
    }
    std::vector<pollfd> waits;
    for (const auto& [fd, worker] : workers) waits.push_back({fd, POLLIN, 0});
    if (::poll(waits.data(), waits.size(), -1) < 0 && errno != EINTR) throw std::runtime_error("poll");
    for (const pollfd& wait : waits) {
      if (wait.revents == 0) continue;
      Worker& worker = workers[wait.fd];
      char buffer[4096];
      const ssize_t got = ::read(wait.fd, buffer, sizeof buffer);
      if (got > 0) {
        worker.output.append(buffer, static_cast<std::size_t>(got));
        continue;
      }
      int status = 0;
      ::waitpid(worker.pid, &status, 0);
      ::close(wait.fd);
      const auto run = status == 0 ? nlohmann::json::parse(worker.output, nullptr, false) : nlohmann::json();
      going = done(worker.job, run.is_discarded() ? nlohmann::json() : run) && going;
      workers.erase(wait.fd);
    }
  }
}

}  // namespace mothrack::simulation
