// The loop's side of the peers' task: keeps the latest picture, with its age, and tells it. Lives in the
// thread of the event loop that it is given; whatever becomes of the task, nothing here waits.
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

class Link {
 public:
  // The task's, and a second descriptor of one eventfd for the loop.
  static constexpr std::size_t kFixedDescriptors = Task::kFixedDescriptors + 1;

  // Starts the task. Throws TaskError; where the system refuses what it needs, says so once and does without.
  Link(boost::asio::io_context& io, const Settings& settings, const std::string& name, runtime::Logger& log,
       Task::EachTurn each_turn = {});

  std::optional<std::string> local() const;  // nothing where it does without
  const PicturePtr& latest() const { return latest_; }
  std::optional<Duration> age() const;  // of the latest picture
  void Say(ToTask message);
  // Members are told at once where the task is well; nothing is waited for.
  void Leave() { Say(LeaveNow{}); }
  void Rekey() { Say(RekeyNow{}); }

  // For people, as JSON; a bounded number of members, those that are not alive first.
  nlohmann::json Report() const;
  static constexpr std::size_t kMostMembers = 300;

 private:
  void Await();

  std::unique_ptr<Task> task_;
  std::string refused_;
  PicturePtr latest_;
  boost::asio::posix::stream_descriptor wake_;
};

}  // namespace mothrack::gossip
