// An agent's store in one SQLite file, each save a transaction that is on disk when it returns (synchronous =
// FULL, a journal that is written before). A file that is damaged, of a later version or not to be written is
// said so and left as it is: whatever can be read of it counts, nothing is saved.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "agent/store.h"
#include "storage/sqlite.h"

namespace mothrack::agent {

class SqliteStore : public Store {
 public:
  // Never throws for the file's sake: fault() tells. Makes the file where there is none.
  explicit SqliteStore(const std::string& path);
  ~SqliteStore() override;

  // What was kept when it was opened. Of a file that can't be read: nothing, and fault() tells.
  const Stored& stored() const { return stored_; }

  bool SaveLease(const rollout::LeaseState& state, const rollout::Plan* opened, const Event& note) override;
  bool SaveRecord(const std::string& instance, const rollout::InstanceRecord& record,
                  const Event& note) override;
  void Note(const Event& event) override;
  std::vector<Event> Events(std::size_t most) const override;
  std::string fault() const override { return fault_.empty() ? refused_ : fault_; }

  static constexpr int kVersion = 1;
  // Kept for people; older lines go.
  static constexpr int kMostEvents = 5000;
  static constexpr int kMostPlans = 50;

 private:
  void Open(const std::string& path);
  void Read();
  bool Save(const Event& note, const std::function<void()>& write);
  void Keep(const Event& event);

  const std::string path_;
  std::unique_ptr<storage::Database> db_;
  Stored stored_;
  std::string fault_;    // for good, until somebody mends the file
  std::string refused_;  // of the last save; empty once one succeeds
};

}  // namespace mothrack::agent
