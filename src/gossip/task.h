// The peers' own thread: it owns the socket, the keys and the core, and tells the loop by pictures in a box.
// Nothing of it is waited for but its end, and that for kStopTimeout at most. docs/design/peers_task.md has
// the reasons.
#pragma once

#include <cstdint>
#include <functional>
#include <future>
#include <memory>
#include <stdexcept>
#include <string>
#include <thread>

#include "gossip/bounded_queue.h"
#include "gossip/settings.h"

namespace mothrack::gossip {

// Something that an operator can mend: an address in use, a key file with a fault. One line.
class TaskError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// The system gives no socket, eventfd or thread: whoever asked does without. One line.
class ResourceError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

class Task {
 public:
  // Open all the time: the socket and the boxes' two eventfds.
  static constexpr std::size_t kFixedDescriptors = 3;
  // Of a healthy thread its turn is over in microseconds; one that is stuck in the system is left behind.
  static constexpr std::chrono::milliseconds kStopTimeout{200};

  // For tests: called at the beginning of each turn, on the task's thread.
  using TurnHook = std::function<void()>;

  // Starts at once. `name` is the member's, and stands before each log line. Throws TaskError and Refused.
  Task(const Settings& settings, const std::string& name, TurnHook turn_hook = {});
  ~Task();
  Task(const Task&) = delete;
  Task& operator=(const Task&) = delete;

  // From one thread, always the same. Never waits.
  void Post(TaskCommand message);
  void Rekey() { Post(ReloadKeysCommand{}); }
  BoundedQueue<MembershipSnapshotPtr>& snapshots();

  // What was said before is done first, unless the thread is stuck. False where it had to be left behind.
  bool Stop();

  runtime::Endpoint local() const;
  std::uint64_t failures() const;  // 1 once an exception ended the thread
  std::uint64_t dropped() const;   // by both boxes

 private:
  struct Worker;  // shared with the thread, so that one that is left behind holds what it uses
  std::shared_ptr<Worker> worker_;
  std::future<void> ended_;
  std::thread thread_;
};

}  // namespace mothrack::gossip
