// The main loop of the gossip task's thread: socket, keys, core, log, and the queues to and from the event
// loop.
#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

#include "gossip/bounded_queue.h"
#include "gossip/core.h"
#include "gossip/membership_snapshot.h"
#include "gossip/seal.h"
#include "gossip/settings.h"
#include "gossip/snapshot_publisher.h"
#include "gossip/task_command.h"
#include "gossip/task_log.h"
#include "gossip/udp_socket.h"

namespace mothrack::gossip {

// Created and queried by the event loop's thread, run by the task's thread. Members that both may use are
// marked.
class TaskWorker {
 public:
  using TurnHook = std::function<void()>;

  // Throws TaskError and ResourceError (task_error.h), and std::system_error if there is no eventfd.
  TaskWorker(const Settings& settings, const std::string& name, TurnHook turn_hook);

  // The body of the task's thread. Returns after RequestStop(), or when an exception has ended the task.
  void Run() noexcept;

  // May be called on any thread.
  void RequestStop();
  std::uint64_t failures() const { return failures_; }  // 1 once an exception has ended the task
  std::uint64_t dropped() const { return commands_.dropped() + snapshots_.dropped(); }
  runtime::Endpoint local() const { return socket_.local(); }

  // The event loop's thread pushes commands and pops snapshots.
  BoundedQueue<TaskCommand>& commands() { return commands_; }
  BoundedQueue<MembershipSnapshotPtr>& snapshots() { return snapshots_; }

 private:
  void RunTurn();
  // Waits until something is due or a command or datagram arrives.
  void Wait();
  void RunCommands(TimePoint now);
  void Run(const PutValueCommand& command, TimePoint now);
  void Run(const LeaveCommand& command, TimePoint now);
  void Run(const ReloadKeysCommand& command, TimePoint now);
  void ReceiveDatagrams(TimePoint now);
  void ReceiveDatagram(std::string_view datagram, const runtime::Endpoint& from, TimePoint now);
  // Sends, logs and clears the core's output.
  void FlushOutput();
  void Send(const Datagram& datagram);
  void OnChange(const Change& change);
  void PublishSnapshot(TimePoint now);
  void OnFailure(const std::string& cause) noexcept;

  const Settings settings_;
  const TurnHook turn_hook_;
  BoundedQueue<TaskCommand> commands_{kMaxPendingCommands};
  BoundedQueue<MembershipSnapshotPtr> snapshots_{kMaxPendingSnapshots};
  std::atomic<bool> stop_{false};
  std::atomic<std::uint64_t> failures_{0};
  const UdpSocket socket_;
  TaskLog log_;
  Seal seal_;
  Core core_;
  CoreOutput output_;
  SnapshotPublisher publisher_;
  TimePoint reading_paused_until_{};                   // after a failed read
  std::uint64_t undecodable_ = 0, send_failures_ = 0;  // see MembershipSnapshot
};

}  // namespace mothrack::gossip
