// The gossip task: a thread of its own that owns the socket, the keys and the core, is told by commands and
// answers by snapshots. docs/design/gossip_task.md has the reasons.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <future>
#include <memory>
#include <string>
#include <thread>

#include "gossip/bounded_queue.h"
#include "gossip/membership_snapshot.h"
#include "gossip/settings.h"
#include "gossip/task_command.h"
#include "gossip/task_error.h"

namespace mothrack::gossip {

class TaskWorker;

// Used from one thread, always the same. Nothing here waits but Stop(), and that for kStopTimeout at most.
class Task {
 public:
  // Open all the time: the socket and the queues' two eventfds.
  static constexpr std::size_t kFixedDescriptors = 3;
  // The turn of a healthy thread is over in microseconds; one that is stuck in the system is left behind.
  static constexpr std::chrono::milliseconds kStopTimeout{200};

  // For tests: called at the beginning of each turn, on the task's thread.
  using TurnHook = std::function<void()>;

  // Starts at once. `name` is the member's, and stands before each log line. Throws TaskError and
  // ResourceError.
  Task(const Settings& settings, const std::string& name, TurnHook turn_hook = {});
  ~Task();
  Task(const Task&) = delete;
  Task& operator=(const Task&) = delete;

  void Post(TaskCommand command);
  void ReloadKeys() { Post(ReloadKeysCommand{}); }
  BoundedQueue<MembershipSnapshotPtr>& snapshots();

  // Commands that were posted before are run first, unless the thread is stuck. False where it had to be left
  // behind.
  bool Stop();

  runtime::Endpoint local() const;
  std::uint64_t failures() const;  // 1 once an exception ended the thread
  std::uint64_t dropped() const;   // by both queues

 private:
  std::shared_ptr<TaskWorker> worker_;  // shared with the thread: one that is left behind keeps what it uses
  std::future<void> ended_;
  std::thread thread_;
};

}  // namespace mothrack::gossip
