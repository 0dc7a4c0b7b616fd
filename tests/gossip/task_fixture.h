// Fixtures of tests of the gossip task: a temporary directory, settings with short intervals and a client of
// the task.
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

// A temporary directory for the task's files that contains a key file "keys".
class TaskDirectory : public mothrack::testing::TemporaryDirectory {
 public:
  TaskDirectory() : TemporaryDirectory("gossip-task") { WriteKeys("keys", {'a'}); }
  // Writes a file of mode 0600 and returns its path.
  std::string Write(const std::string& name, const std::string& text) const {
    std::ofstream(File(name)) << text;
    ::chmod(File(name).c_str(), 0600);
    return File(name);
  }
  // Writes a key file with one key for each letter, a hex digit that ends the key. Returns its path.
  std::string WriteKeys(const std::string& name, const std::vector<char>& letters) const {
    std::string text;
    for (const char letter : letters)
      text += "0123456789abcdef0123456789abcdef0123456789abcdef" + std::string(16, letter) + '\n';
    return Write(name, text);
  }
};

inline Settings FastSettings(const TaskDirectory& directory, std::vector<runtime::Endpoint> seeds = {},
                             const std::string& keys = "keys") {
  Settings settings;
  settings.listen = *runtime::ParseEndpoint("127.0.0.1:0");
  settings.zone = "hall";
  settings.key_file = directory.File(keys);
  settings.seeds = std::move(seeds);
  settings.protocol.probe_interval = Duration(100);
  settings.protocol.probe_timeout = Duration(40);
  settings.protocol.gossip_interval = Duration(20);
  settings.protocol.max_suspicion_multiplier = 1;
  return settings;
}

// Uses the task as the event loop does, but without an event loop.
class TaskClient {
 public:
  TaskClient(const TaskDirectory& directory, const std::string& name,
             std::vector<runtime::Endpoint> seeds = {}, const std::string& keys = "keys",
             Task::TurnHook turn_hook = {})
      : task(FastSettings(directory, std::move(seeds), keys), name, std::move(turn_hook)) {}
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
