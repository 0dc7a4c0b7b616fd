// The gossip task as the event loop uses it: sends commands to it, keeps its latest snapshot and reports it.
// Used on the thread of the given event loop. Never waits, whatever happens to the task.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/posix/stream_descriptor.hpp>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

#include "gossip/settings.h"
#include "gossip/task.h"
#include "runtime/log.h"

namespace mothrack::gossip {

// Owned by the sidecar or agent.
class GossipClient {
 public:
  // Number of descriptors that are always open: those of the task, plus a duplicate of one eventfd for the
  // event loop.
  static constexpr std::size_t kFixedDescriptors = Task::kFixedDescriptors + 1;

  // Starts the task. Throws TaskError. If the kernel refuses a resource, logs this once and continues without
  // gossip.
  GossipClient(boost::asio::io_context& io, const Settings& settings, const std::string& name,
               runtime::Logger& log, Task::TurnHook turn_hook = {});

  std::optional<std::string> local() const;  // the bound address; absent without gossip
  const MembershipSnapshotPtr& latest() const { return latest_; }
  std::optional<Duration> age() const;  // of the latest snapshot
  // Sends a command to the task; has no effect without gossip.
  void Post(TaskCommand command);
  // Returns at once; the task sends the leave messages when it next runs.
  void Leave() { Post(LeaveCommand{}); }
  void ReloadKeys() { Post(ReloadKeysCommand{}); }

  // A JSON report for operators. At most kMaxReportedMembers members are included, those that are not alive
  // first.
  nlohmann::json Report() const;
  static constexpr std::size_t kMaxReportedMembers = 300;

 private:
  void AwaitSnapshot();

  std::unique_ptr<Task> task_;
  std::string refusal_;  // why the kernel refused a resource; empty if it did not
  MembershipSnapshotPtr latest_;
  boost::asio::posix::stream_descriptor signal_;
};

}  // namespace mothrack::gossip
