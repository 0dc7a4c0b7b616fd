// What tests of the gossip task share: a directory of their own, quick settings and a client of the task.
#pragma once

#include <sys/stat.h>

#include <chrono>
#include <fstream>
#include <string>
#include <utility>
#include <vector>

#include "gossip/task.h"
#include "standins/peers.h"
#include "support/temporary_directory.h"

namespace mothrack::gossip {

using mothrack::testing::Eventually;

// A directory for the task's files, with a file "keys" in it.
class TaskDirectory : public mothrack::testing::TemporaryDirectory {
 public:
  TaskDirectory() : TemporaryDirectory("gossip-task") { Keys("keys", {'a'}); }
  // A file of mode 0600; its path.
  std::string Write(const std::string& name, const std::string& text) const {
    std::ofstream(File(name)) << text;
    ::chmod(File(name).c_str(), 0600);
    return File(name);
  }
  // A key for each letter: 64 hex digits, not all alike.
  std::string Keys(const std::string& name, const std::vector<char>& letters) const {
    std::string text;
    for (const char c : letters)
      text += "0123456789abcdef0123456789abcdef0123456789abcdef" + std::string(16, c) + '\n';
    return Write(name, text);
  }
};

inline Settings FastSettings(const TaskDirectory& place, std::vector<runtime::Endpoint> seeds = {},
                             const std::string& keys = "keys") {
  Settings settings;
  settings.listen = *runtime::ParseEndpoint("127.0.0.1:0");
  settings.zone = "hall";
  settings.key_file = place.File(keys);
  settings.seeds = std::move(seeds);
  settings.protocol.probe_interval = Duration(100);
  settings.protocol.probe_timeout = Duration(40);
  settings.protocol.gossip_interval = Duration(20);
  settings.protocol.max_suspicion_multiplier = 1;
  return settings;
}

// The event loop side of the task, without an event loop.
class TaskClient {
 public:
  TaskClient(const TaskDirectory& place, const std::string& name, std::vector<runtime::Endpoint> seeds = {},
             const std::string& keys = "keys", Task::TurnHook turn_hook = {})
      : task(FastSettings(place, std::move(seeds), keys), name, std::move(turn_hook)) {}
  const MembershipSnapshot* Latest() {
    while (auto snapshot = task.snapshots().TryPop()) latest_ = *snapshot;
    return latest_.get();
  }
  bool HasState(const std::string& name, gossip::MemberState state) {
    const MembershipSnapshot* snapshot = Latest();
    if (snapshot == nullptr) return false;
    for (const MemberView& member : snapshot->members) {
      if (member.update.boot_id.name == name) return member.update.state == state;
    }
    return false;
  }
  Duration Age() {
    const MembershipSnapshot* snapshot = Latest();
    if (snapshot == nullptr) return Duration(-1);
    return std::chrono::time_point_cast<Duration>(std::chrono::steady_clock::now()) - snapshot->created_at;
  }
  Task task;

 private:
  MembershipSnapshotPtr latest_;
};

}  // namespace mothrack::gossip
