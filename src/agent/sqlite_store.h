// An agent's store in one SQLite file. Each save is a transaction that is on disk when it returns
// (synchronous = FULL with a rollback journal: https://www.sqlite.org/atomiccommit.html). A file that is
// damaged or of a later version is reported and left as it is: nothing of it counts, and nothing is saved.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "agent/store.h"
#include "storage/sqlite.h"

namespace mothrack::agent {

class SqliteStore : public Store {
 public:
  // Makes the file where there is none. Never throws because of the file: error() has what is wrong with it.
  explicit SqliteStore(const std::string& path);
  ~SqliteStore() override;

  // What the file held when it was opened; empty where error() is for good.
  const Stored& stored() const { return stored_; }

  std::optional<StoreError> SaveLease(const rollout::LeaseState& state, const rollout::Plan* opened,
                                      const Event& note) override;
  std::optional<StoreError> SaveRecord(const std::string& instance, const rollout::InstanceRecord& record,
                                       const Event& note) override;
  void Note(const Event& event) override;
  // Empty where they can't be read.
  std::vector<Event> Events(std::size_t most) const override;
  std::optional<StoreError> error() const override { return open_error_ ? open_error_ : save_error_; }

  // Of the file's layout (PRAGMA user_version).
  static constexpr int kVersion = 1;
  // Older ones are deleted.
  static constexpr int kMaxEvents = 5000;
  static constexpr int kMaxPlans = 50;

 private:
  // Both throw what is wrong with the file.
  void Open(const std::string& path);
  void Read();
  std::optional<StoreError> Save(const Event& note, const std::function<void()>& write);
  void InsertEvent(const Event& event);

  const std::string path_;
  std::unique_ptr<storage::Database> db_;
  Stored stored_;
  std::optional<StoreError> open_error_;  // for good: until the file is replaced and the agent restarted
  std::optional<StoreError> save_error_;  // of the last save
};

}  // namespace mothrack::agent
