// An agent's store in one SQLite file. Each save is a transaction that is on disk when it returns
// (synchronous = FULL with a rollback journal: https://www.sqlite.org/atomiccommit.html). A file that is
// damaged or of a later version is reported and left unchanged: none of its content is used, and nothing is
// saved.
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
  // Creates the file if there is none. Does not throw if the file can't be used: error() then has the cause.
  explicit SqliteStore(const std::string& path);
  ~SqliteStore() override;

  // The content of the file when it was opened; empty if error() is permanent.
  const StoredState& stored() const { return stored_; }

  std::optional<StoreError> SaveLease(const rollout::LeaseState& state, const rollout::Plan* opened,
                                      const Event& note) override;
  std::optional<StoreError> SaveRecord(const std::string& instance, const rollout::InstanceRecord& record,
                                       const Event& note) override;
  void Note(const Event& event) override;
  // Returns an empty list if the events can't be read.
  std::vector<Event> Events(std::size_t max_events) const override;
  std::optional<StoreError> error() const override { return open_error_ ? open_error_ : save_error_; }

  // The version of the file's schema (PRAGMA user_version).
  static constexpr int kVersion = 1;
  // Older events and plans are deleted.
  static constexpr int kMaxEvents = 5000;
  static constexpr int kMaxPlans = 50;

 private:
  // Open() and Read() throw if the file can't be used.
  void Open(const std::string& path);
  void Read();
  std::optional<StoreError> Save(const Event& note, const std::function<void()>& write);
  void InsertEvent(const Event& event);

  const std::string path_;
  std::unique_ptr<storage::Database> db_;
  StoredState stored_;
  std::optional<StoreError> open_error_;  // permanent until the file is replaced and the agent restarted
  std::optional<StoreError> save_error_;  // of the last save
};

}  // namespace mothrack::agent
