#include "agent/process_supervisor.h"

#include <fcntl.h>

#include <boost/asio/posix/stream_descriptor.hpp>
#include <cerrno>
#include <csignal>
#include <cstring>
#include <filesystem>
#include <stdexcept>
#include <utility>

#include "agent/child_process.h"
#include "agent/posix_io.h"
#include "agent/rendered_files.h"
#include "agent/sidecar_status.h"

namespace mothrack::agent {
namespace {

namespace fs = std::filesystem;

constexpr rollout::Duration kLogCheckInterval{1000};

std::vector<std::string> SubstituteAll(std::vector<std::string> texts,
                                       const std::map<std::string, std::string>& values) {
  for (std::string& text : texts) text = Substitute(text, values);
  return texts;
}

}  // namespace

// An instance, and its process if one runs.
struct ProcessSupervisor::ManagedInstance {
  InstanceSpec spec;
  std::string directory;
  ChildProcess process;
  SidecarStatus status;    // of `process`, from its last report
  RequestCounts requests;  // likewise
  std::unique_ptr<boost::asio::posix::stream_descriptor> exit_watch;
  bool poll_in_flight = false;
  bool awaits_state_change = true;  // polled more often
  rollout::TimePoint next_poll_at{};
  rollout::TimePoint next_log_check_at{};

  std::string PathOf(const char* name) const { return directory + '/' + name; }
  // The directory of a generation's files as rendered for the instance.
  std::string FilesDirectory(const std::string& generation) const {
    return PathOf("files") + '/' + generation;
  }
  // The values for placeholders in its command, environment and files. `files`: the directory with the
  // generation's rendered files.
  std::map<std::string, std::string> Placeholders(const std::string& files) const {
    return {{"instance", spec.name}, {"directory", directory}, {"generation", files}};
  }
  void ForgetProcess() {
    exit_watch.reset();
    process = ChildProcess();
    status = SidecarStatus();
    requests = RequestCounts();
    awaits_state_change = true;
    next_poll_at = {};
  }
};

ProcessSupervisor::ProcessSupervisor(boost::asio::io_context& io, std::string directory,
                                     const std::vector<InstanceSpec>& specs, std::vector<std::string> check,
                                     const Limits& limits, runtime::Logger& log)
    : io_(io),
      directory_(std::move(directory)),
      check_(std::move(check)),
      limits_(limits),
      log_(log),
      generations_(directory_ + "/generations",
                   [this](const std::string& generation, const std::string& files) {
                     return CheckGeneration(generation, files);
                   }) {
  for (const InstanceSpec& spec : specs) {
    auto instance = std::make_shared<ManagedInstance>();
    instance->spec = spec;
    instance->directory = directory_ + "/instances/" + spec.name;
    std::error_code error;
    fs::create_directories(instance->directory, error);
    if (error) throw std::runtime_error(instance->directory + ": " + error.message());
    FindProcess(*instance);
    if (instance->process.running()) {
      log_.Info("process_adopted", {{"instance", spec.name},
                                    {"pid", instance->process.pid},
                                    {"generation", instance->process.generation}});
    }
    instances_.emplace(spec.name, std::move(instance));
  }
}

ProcessSupervisor::~ProcessSupervisor() = default;

void ProcessSupervisor::NotifyStateChange() const {
  if (on_state_change_) on_state_change_();
}

void ProcessSupervisor::FindProcess(ManagedInstance& instance) const {
  if (auto process = FindRunning(instance.PathOf("lock"), instance.PathOf("process.json"))) {
    instance.process = std::move(*process);
  }
}

void ProcessSupervisor::CollectExit(ManagedInstance& instance) const {
  const auto exit_status = PollExit(instance.process);
  if (!exit_status) return;
  log_.Info("process_exited",
            {{"instance", instance.spec.name}, {"pid", instance.process.pid}, {"how", *exit_status}});
  instance.ForgetProcess();
}

// Notifies as soon as the present process exits, rather than at the next tick.
void ProcessSupervisor::WatchExit(const ManagedPointer& instance) {
  // The watch closes its descriptor, and the process needs one for signals, so the watch gets a duplicate.
  const int exit_fd = ::fcntl(instance->process.pid_fd.get(), F_DUPFD_CLOEXEC, 0);
  if (exit_fd < 0) return;  // Poll() collects the exit at the next tick
  instance->exit_watch = std::make_unique<boost::asio::posix::stream_descriptor>(io_, exit_fd);
  instance->exit_watch->async_wait(
      boost::asio::posix::stream_descriptor::wait_read,
      [this, weak = std::weak_ptr(instance), pid = instance->process.pid](const auto& error) {
        const auto locked = weak.lock();
        if (!error && locked && locked->process.pid == pid) NotifyStateChange();
      });
}

void ProcessSupervisor::Poll(rollout::TimePoint now) {
  for (const auto& [name, instance] : instances_) {
    if (instance->process.running()) {
      CollectExit(*instance);
    } else {
      FindProcess(*instance);
    }
    if (instance->process.running()) {
      if (!instance->exit_watch) WatchExit(instance);
      if (!instance->poll_in_flight && now >= instance->next_poll_at) PollAdminApi(instance, now);
    }
    if (now >= instance->next_log_check_at) {
      instance->next_log_check_at = now + kLogCheckInterval;
      BoundLog(*instance);
    }
  }
}

void ProcessSupervisor::PollAdminApi(const ManagedPointer& instance, rollout::TimePoint now) {
  instance->poll_in_flight = true;
  instance->next_poll_at =
      now + (instance->awaits_state_change ? limits_.poll_interval_awaited : limits_.poll_interval_settled);
  const std::string address = Substitute(instance->spec.admin_address, instance->Placeholders(""));
  // `~` sorts after the names of all upstreams, so `after=~` leaves their list out of the response.
  admin_client::SendRequest(io_, {address, {}, "GET", "/v1/status?after=~", {}}, limits_.poll_timeout,
                            [this, weak = std::weak_ptr(instance),
                             pid = instance->process.pid](const admin_client::Response& response) {
                              const auto locked = weak.lock();
                              if (!locked) return;
                              locked->poll_in_flight = false;
                              if (locked->process.pid == pid && pid != 0) {
                                OnAdminResponse(*locked, pid, response);
                              }
                            });
}

void ProcessSupervisor::OnAdminResponse(ManagedInstance& instance, int pid,
                                        const admin_client::Response& response) {
  const bool was_ready = std::exchange(instance.status.ready, false);
  instance.status.draining = false;
  // Nothing listens on the admin API yet, so a poll is cheap and is repeated soon.
  if (!response.transport_error.empty() && instance.awaits_state_change) {
    instance.next_poll_at -= limits_.poll_interval_awaited - limits_.poll_interval_unreachable;
  }
  if (!response.ok() || !response.body.is_object()) return;
  const auto status = ParseSidecarStatus(response.body, pid);
  if (!status) return;
  instance.status = *status;
  instance.awaits_state_change = !status->ready;
  instance.requests = SumRequests(response.body);
  if (status->ready != was_ready) NotifyStateChange();
}

rollout::ProcessState ProcessSupervisor::Inspect(const std::string& name) {
  const ManagedInstance& instance = Get(name);
  const ChildProcess& process = instance.process;
  // A process that holds the lock but has not written its file yet counts as running, so that no second one
  // is started.
  if (!process.running()) return {IsLockedByAnother(instance.PathOf("lock")), "", "", false, false};
  return {true, process.token, process.generation, instance.status.ready, instance.status.draining};
}

RequestCounts ProcessSupervisor::RequestsOf(const std::string& instance) { return Get(instance).requests; }

void ProcessSupervisor::Execute(const std::string& name, const rollout::Action& action) {
  ManagedInstance& instance = Get(name);
  switch (action.kind) {
    case rollout::Action::Kind::kStart:
      return Start(instance, action);
    case rollout::Action::Kind::kStop:
      log_.Info("process_stop_planned", {{"instance", name}, {"pid", instance.process.pid}});
      instance.awaits_state_change = true;
      return instance.process.Signal(SIGTERM);
    case rollout::Action::Kind::kKill:
      return instance.process.Signal(SIGKILL);
    case rollout::Action::Kind::kLog:
      return log_.Info("instance_report", {{"instance", name}, {"text", action.line}});
  }
}

std::optional<CheckError> ProcessSupervisor::CheckGeneration(const std::string& generation,
                                                             const std::string& directory) const {
  if (check_.empty() || instances_.empty()) return std::nullopt;
  const ManagedInstance& instance = *instances_.begin()->second;
  const std::string files = instance.FilesDirectory(".check-" + generation);
  const auto placeholders = instance.Placeholders(files);
  if (RenderFiles(generation, directory, files, placeholders)) {
    return CheckError{CheckError::Cause::kFilesNotWritten, generation};
  }
  const CommandResult result =
      RunCommand(SubstituteAll(check_, placeholders), static_cast<int>(limits_.check_timeout.count()));
  if (result.outcome != CommandResult::Outcome::kNotStarted) {
    std::error_code ignored;
    fs::remove_all(files, ignored);
  }
  return CheckErrorFrom(generation, result);
}

void ProcessSupervisor::Start(ManagedInstance& instance, const rollout::Action& action) {
  if (instance.process.running()) return;
  const std::string& name = instance.spec.name;
  const std::string files = instance.FilesDirectory(action.generation);
  const auto placeholders = instance.Placeholders(files);
  if (const auto error =
          RenderFiles(action.generation, generations_.DirectoryOf(action.generation), files, placeholders)) {
    return log_.Error("process_not_started", {{"instance", name}, {"cause", error->Message()}});
  }
  LaunchSpec launch;
  launch.arguments = SubstituteAll(instance.spec.command, placeholders);
  for (const auto& [variable, value] : instance.spec.environment) {
    launch.environment.push_back(variable + '=' + Substitute(value, placeholders));
  }
  launch.lock_path = instance.PathOf("lock");
  launch.process_file_path = instance.PathOf("process.json");
  launch.log_path = instance.PathOf("log");
  launch.token = action.token;
  launch.generation = action.generation;
  auto process = Launch(std::move(launch));
  if (!process) {
    return log_.Error("process_not_started", {{"instance", name}, {"cause", std::strerror(errno)}});
  }
  instance.ForgetProcess();
  instance.process = std::move(*process);
  log_.Info("process_started", {{"instance", name},
                                {"pid", instance.process.pid},
                                {"generation", action.generation},
                                {"step", action.token}});
}

// The process keeps its log open, so the file is copied and truncated rather than renamed. Lines that are
// written between the copy and the truncation are lost. A pipe through the agent would lose all lines while
// no agent runs.
void ProcessSupervisor::BoundLog(const ManagedInstance& instance) const {
  const std::string path = instance.PathOf("log");
  std::error_code error;
  const auto size = fs::file_size(path, error);
  if (error || size <= limits_.max_log_bytes) return;
  fs::copy_file(path, instance.PathOf("log.1"), fs::copy_options::overwrite_existing, error);
  if (!error) fs::resize_file(path, 0, error);
}

std::string ProcessSupervisor::LogTail(const std::string& instance, std::size_t bytes) const {
  const std::string text = ReadFile(Get(instance).PathOf("log"));
  return text.size() > bytes ? text.substr(text.size() - bytes) : text;
}

bool ProcessSupervisor::awaits_state_change() const {
  for (const auto& [name, instance] : instances_) {
    if (instance->process.running() && instance->awaits_state_change) return true;
  }
  return false;
}

int ProcessSupervisor::pid(const std::string& instance) const { return Get(instance).process.pid; }

}  // namespace mothrack::agent
