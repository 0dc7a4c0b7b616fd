// The processes of a machine's instances: started with a configuration generation, adopted after the agent's
// own death, stopped, their logs bounded.
//
// One directory an instance:
//   lock          locked by the process for as long as it lives, whoever its parent is. Nobody starts a
//   second one over
//                 it; and a file beside it counts only while the lock is held
//   process.json  pid, its start time by the kernel, token and generation; written by the process itself,
//   under the
//                 lock and before it becomes the sidecar
//   log, log.1    its standard output and error
// And one a generation, with its files: generations/NAME/. What is started for an instance gets, in the files
// and in its command and environment, {instance}, {directory} (the instance's) and {generation} (a directory
// with the files).
#pragma once

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "agent/agent.h"
#include "runtime/log.h"

namespace mothrack::agent {

struct InstanceSpec {
  std::string name;
  std::vector<std::string> command;
  std::map<std::string, std::string> environment;  // all that it gets
  std::string door;                                // of the sidecar; "unix:{directory}/door"
  std::string generation;                          // that it begins with
};

class Processes : public Machine {
 public:
  struct Limits {
    rollout::Duration check{5000};  // for the command that checks a generation
    std::uint64_t log_bytes =
        8 * 1024 * 1024;  // then the log is moved aside, and the one moved before is gone
    rollout::Duration door_patience{1000};
    rollout::Duration door_idle{1000};  // between two questions to a door
    rollout::Duration door_absent{20};  // the same while it is awaited and not there
    rollout::Duration door_busy{
        60};  // the same while something is awaited of it; the door answers 20 times a second
  };

  // Adopts what runs. Throws std::runtime_error where the directory can't be used.
  // `check`: a command that ends with 0 where a generation's files are good for an instance; empty: any are.
  Processes(boost::asio::io_context& io, std::string directory, const std::vector<InstanceSpec>& specs,
            std::vector<std::string> check, const Limits& limits, runtime::Logger& log);
  ~Processes() override;
  Processes(const Processes&) = delete;
  Processes& operator=(const Processes&) = delete;

  // Called from the event loop when a process has ended or its door said something new: Poll() and
  // Agent::Live() are due. Between such calls a tick is enough.
  void OnNews(std::function<void()> on_news) { on_news_ = std::move(on_news); }

  // Looks for what has ended, asks the doors, moves logs aside. Call it before Agent::Live().
  void Poll(rollout::TimePoint now);

  rollout::ProcessState Inspect(const std::string& instance) override;
  void Do(const std::string& instance, const rollout::Action& action) override;
  std::pair<std::uint64_t, std::uint64_t> Requests(const std::string& instance) override;
  bool HasGeneration(const std::string& generation) const override;

  // Keeps a generation: its files by their names, checked as the first instance gets them. The fault; empty:
  // it is kept, or was with the same files. Nothing else happens while the check runs.
  std::string Keep(const std::string& generation, const std::map<std::string, std::string>& files);
  std::vector<std::string> Generations() const;
  // As they were given; none where there is no such generation.
  std::map<std::string, std::string> FilesOf(const std::string& generation) const;
  // Of an instance's log, the last bytes.
  std::string LogTail(const std::string& instance, std::size_t bytes) const;
  int pid(const std::string& instance) const;
  // Is something of a door awaited?
  bool awaited() const;

  static constexpr std::size_t kMostGenerations = 32;
  static constexpr std::size_t kMostFiles = 32;
  static constexpr std::size_t kMostFileBytes = 256 * 1024;

 private:
  struct Held;

  Held& Of(const std::string& instance);
  void Adopt(Held& held);
  void Watch(const std::shared_ptr<Held>& held);
  void News() const {
    if (on_news_) on_news_();
  }
  void Start(Held& held, const rollout::Action& action);
  void AskDoor(const std::shared_ptr<Held>& held, rollout::TimePoint now);
  void BoundLog(const Held& held) const;
  std::string Prepare(const Held& held, const std::string& generation, const std::string& from) const;
  std::string Checked(const std::string& generation, const std::string& from) const;

  boost::asio::io_context& io_;
  const std::string directory_;
  const std::vector<std::string> check_;
  const Limits limits_;
  runtime::Logger& log_;
  std::map<std::string, std::shared_ptr<Held>> held_;
  std::function<void()> on_news_;
};

}  // namespace mothrack::agent
