// The event loop's side of the gossip task: keeps the latest snapshot and its age, and reports it. Used on
// the thread of the event loop that it is given; whatever becomes of the task, nothing here waits.
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

class GossipClient {
 public:
  // The task's, and a second descriptor of one eventfd for the loop.
  static constexpr std::size_t kFixedDescriptors = Task::kFixedDescriptors + 1;

  // Starts the task. Throws TaskError; where the system refuses what it needs, says so once and does without.
  GossipClient(boost::asio::io_context& io, const Settings& settings, const std::string& name,
               runtime::Logger& log, Task::TurnHook turn_hook = {});

  std::optional<std::string> local() const;  // nothing where it does without
  const MembershipSnapshotPtr& latest() const { return latest_; }
  std::optional<Duration> age() const;  // of the latest snapshot
  void Post(TaskCommand message);
  // Members are report at once where the task is well; nothing is waited for.
  void Leave() { Post(LeaveCommand{}); }
  void ReloadKeys() { Post(ReloadKeysCommand{}); }

  // For people, as JSON; a bounded number of members, those that are not alive first.
  nlohmann::json Report() const;
  static constexpr std::size_t kMaxReportedMembers = 300;

 private:
  void Await();

  std::unique_ptr<Task> task_;
  std::string refusal_;
  MembershipSnapshotPtr latest_;
  boost::asio::posix::stream_descriptor signal_;
};

}  // namespace mothrack::gossip
