// The gossip task: a separate thread that owns the socket, the keys and the core. It receives commands and
// publishes snapshots. docs/design/gossip_task.md gives the reasons.
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

// Must always be used from the same thread. Only Stop() waits, for kStopTimeout at most.
class Task {
 public:
  // Number of descriptors that are always open: the socket and the eventfds of the two queues.
  static constexpr std::size_t kFixedDescriptors = 3;
  // How long Stop() waits for the thread. A healthy thread ends its turn within microseconds; one that is
  // stuck in a system call is detached.
  static constexpr std::chrono::milliseconds kStopTimeout{200};

  // A function that tests pass; called at the start of each turn, on the task's thread.
  using TurnHook = std::function<void()>;

  // Starts at once. `name` is the member's name and the prefix of its log lines. Throws TaskError and
  // ResourceError.
  Task(const Settings& settings, const std::string& name, TurnHook turn_hook = {});
  ~Task();
  Task(const Task&) = delete;
  Task& operator=(const Task&) = delete;

  // Sends a command; never waits. If the queue is full, the oldest command is dropped.
  void Post(TaskCommand command);
  void ReloadKeys() { Post(ReloadKeysCommand{}); }
  // The queue to which the task publishes its snapshots.
  BoundedQueue<MembershipSnapshotPtr>& snapshots();

  // Stops the thread after it has run the commands posted before, unless it is stuck. Returns false if it had
  // to be detached.
  bool Stop();

  runtime::Endpoint local() const;
  std::uint64_t failures() const;  // 1 once an exception has ended the thread
  std::uint64_t dropped() const;   // commands and snapshots dropped by a full queue

 private:
  std::shared_ptr<TaskWorker> worker_;  // shared with the thread, so that a detached one keeps what it uses
  std::future<void> ended_;             // ready when the thread no longer uses the worker
  std::thread thread_;
};

}  // namespace mothrack::gossip
