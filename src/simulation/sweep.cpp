#include "simulation/sweep.h"

#include <poll.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cerrno>
#include <map>
#include <optional>
#include <stdexcept>

#include "simulation/results.h"
#include "simulation/simulation_run.h"

namespace mothrack::simulation {
namespace {

// A process that runs one job and writes its result as JSON.
struct Worker {
  std::size_t job = 0;
  pid_t pid = 0;
  std::string output;
};
using Workers = std::map<int, Worker>;  // by the file descriptor from which their output is read

// Runs the job in the worker process, writes its result to the descriptor `output_fd` and ends the process.
[[noreturn]] void RunWorker(const Job& job, int output_fd) {
  int code = 1;
  try {
    SimulationRun simulated(job.scenario, job.seed);
    const RunOutcome outcome = simulated.Run();
    const std::string text = ToJson(job.scenario, job.seed, outcome, simulated.figures(), false).dump();
    std::size_t offset = 0;
    while (offset < text.size()) {
      const ssize_t written = ::write(output_fd, text.data() + offset, text.size() - offset);
      if (written <= 0) ::_exit(1);
      offset += static_cast<std::size_t>(written);
    }
    code = 0;
  } catch (const std::exception&) {
    // The parent sees the failure by the exit code.
  }
  ::_exit(code);
}

void StartWorker(const std::vector<Job>& jobs, std::size_t job, Workers& workers) {
  int pipe[2];
  if (::pipe(pipe) != 0) throw std::runtime_error("cannot create a pipe for a worker process");
  const pid_t pid = ::fork();
  if (pid < 0) throw std::runtime_error("cannot fork a worker process");
  if (pid == 0) {
    ::close(pipe[0]);
    RunWorker(jobs[job], pipe[1]);
  }
  ::close(pipe[1]);
  workers[pipe[0]] = {job, pid, {}};
}

// Waits until a worker has written output or has ended. Returns the descriptors that are ready.
std::vector<int> WaitForOutput(const Workers& workers) {
  std::vector<pollfd> waits;
  waits.reserve(workers.size());
  for (const auto& [fd, worker] : workers) waits.push_back({fd, POLLIN, 0});
  if (::poll(waits.data(), waits.size(), -1) < 0 && errno != EINTR) throw std::runtime_error("poll");
  std::vector<int> ready;
  for (const pollfd& wait : waits) {
    if (wait.revents != 0) ready.push_back(wait.fd);
  }
  return ready;
}

// Reads the output that the worker has written. Returns its result once it has ended, a JSON null if it
// crashed, and nothing while it still runs.
std::optional<nlohmann::json> ReadOutput(int fd, Worker& worker) {
  char buffer[4096];
  const ssize_t count = ::read(fd, buffer, sizeof buffer);
  if (count > 0) {
    worker.output.append(buffer, static_cast<std::size_t>(count));
    return std::nullopt;
  }
  int status = 0;
  ::waitpid(worker.pid, &status, 0);
  ::close(fd);
  if (status != 0) return nlohmann::json();
  auto run = nlohmann::json::parse(worker.output, nullptr, false);
  return run.is_discarded() ? nlohmann::json() : run;
}

}  // namespace

void RunAll(const std::vector<Job>& jobs, std::size_t max_parallel,
            const std::function<bool(std::size_t, const nlohmann::json&)>& on_result) {
  Workers workers;
  std::size_t next = 0;
  bool starting = true;
  while (!workers.empty() || (starting && next < jobs.size())) {
    while (starting && next < jobs.size() && workers.size() < max_parallel)
      StartWorker(jobs, next++, workers);
    for (const int fd : WaitForOutput(workers)) {
      Worker& worker = workers[fd];
      const auto run = ReadOutput(fd, worker);
      if (!run) continue;
      starting = on_result(worker.job, *run) && starting;
      workers.erase(fd);
    }
  }
}

}  // namespace mothrack::simulation
