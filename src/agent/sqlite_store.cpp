#include "agent/sqlite_store.h"

#include <sys/stat.h>

#include <algorithm>
#include <stdexcept>

#include "rollout/wire.h"
#include "storage/sqlite.h"

namespace mothrack::agent {
namespace {

using nlohmann::json;
using storage::Statement;
using storage::Transaction;

// How long another process that reads the file, such as a backup, may lock it before a save fails.
constexpr int kBusyTimeoutMs = 500;
constexpr mode_t kFileMode = 0600;

constexpr const char* kSchema =
    "CREATE TABLE lease (one INTEGER PRIMARY KEY CHECK (one = 1), highest INTEGER NOT NULL, holder TEXT, "
    "open TEXT);"
    "CREATE TABLE record (instance TEXT PRIMARY KEY, json TEXT NOT NULL);"
    "CREATE TABLE plan (id TEXT PRIMARY KEY, number INTEGER NOT NULL, json TEXT NOT NULL);"
    "CREATE TABLE event (number INTEGER PRIMARY KEY AUTOINCREMENT, at INTEGER NOT NULL, change TEXT, line "
    "TEXT);";

// Thrown for a file that SQLite can read but the agent can't use.
class FileRejected : public std::runtime_error {
 public:
  FileRejected(StoreError::Cause cause, const std::string& what) : std::runtime_error(what), cause_(cause) {}
  StoreError::Cause cause() const { return cause_; }

 private:
  StoreError::Cause cause_;
};

StoreError OpenError(const std::string& path, StoreError::Cause cause, const std::exception& e) {
  return {cause, path + ": " + e.what() +
                     "; replace it with an intact copy, or move it away to start with an empty one"};
}

}  // namespace

SqliteStore::SqliteStore(const std::string& path) : path_(path) {
  try {
    Open(path);
    Read();
  } catch (const FileRejected& e) {
    open_error_ = OpenError(path, e.cause(), e);
  } catch (const std::runtime_error& e) {  // from SQLite
    open_error_ = OpenError(path, StoreError::Cause::kUnreadable, e);
  } catch (const std::exception& e) {  // a value that rollout/wire.h does not write
    open_error_ = OpenError(path, StoreError::Cause::kDamaged, e);
  }
}

SqliteStore::~SqliteStore() = default;

void SqliteStore::Open(const std::string& path) {
  db_ = std::make_unique<storage::Database>(path);
  ::chmod(path.c_str(), kFileMode);
  db_->SetBusyTimeout(kBusyTimeoutMs);
  // SQLite writes the old pages to a rollback journal before it changes the database file, and syncs the
  // file before a commit returns. The store uses a rollback journal rather than a write-ahead log (WAL),
  // since saves are few and one file is easier to copy than three.
  db_->Run("PRAGMA journal_mode = DELETE");
  db_->Run("PRAGMA synchronous = FULL");
  Statement version(*db_, "PRAGMA user_version");
  version.Step();
  const auto found = version.Number(0);
  if (found > kVersion) {
    throw FileRejected(StoreError::Cause::kLaterVersion, "was written by a later version (" +
                                                             std::to_string(found) + ", this one knows " +
                                                             std::to_string(kVersion) + ")");
  }
  Statement check(*db_, "PRAGMA quick_check(1)");
  if (!check.Step() || check.Text(0) != "ok") {
    throw FileRejected(StoreError::Cause::kDamaged, "is damaged: " + check.Text(0));
  }
  if (found == 0) {
    Transaction transaction(*db_);
    db_->Run(kSchema);
    db_->Run(("PRAGMA user_version = " + std::to_string(kVersion)).c_str());
    transaction.Commit();
  }
}

void SqliteStore::Read() {
  StoredState read;
  Statement lease(*db_, "SELECT highest, holder, open FROM lease");
  if (lease.Step()) {
    read.lease.highest = static_cast<rollout::Epoch>(lease.Number(0));
    if (!lease.Null(1)) read.lease.holder = rollout::HolderFrom(json::parse(lease.Text(1)));
    if (!lease.Null(2)) read.lease.open = rollout::HolderFrom(json::parse(lease.Text(2)));
  }
  Statement records(*db_, "SELECT instance, json FROM record");
  while (records.Step())
    read.records[records.Text(0)] = rollout::InstanceRecordFrom(json::parse(records.Text(1)));
  Statement plans(*db_, "SELECT id, json FROM plan");
  while (plans.Step()) read.plans[plans.Text(0)] = rollout::PlanFrom(json::parse(plans.Text(1)));
  if (read.lease.open && !read.plans.contains(read.lease.open->change)) {
    throw FileRejected(StoreError::Cause::kDamaged,
                       "has no plan of the open change " + read.lease.open->change);
  }
  stored_ = std::move(read);
}

std::optional<StoreError> SqliteStore::Save(const Event& note, const std::function<void()>& write) {
  if (open_error_) return open_error_;
  try {
    Transaction transaction(*db_);
    write();
    if (!note.line.empty()) InsertEvent(note);
    transaction.Commit();
    save_error_.reset();
  } catch (const std::exception& e) {
    save_error_ = StoreError{StoreError::Cause::kSaveFailed, path_ + ": " + e.what()};
  }
  return save_error_;
}

std::optional<StoreError> SqliteStore::SaveLease(const rollout::LeaseState& state,
                                                 const rollout::Plan* opened, const Event& note) {
  return Save(note, [&] {
    Statement lease(*db_, "INSERT OR REPLACE INTO lease VALUES (1, ?, ?, ?)");
    lease.Number(1, static_cast<std::int64_t>(state.highest));
    if (state.holder) lease.Text(2, rollout::ToJson(*state.holder).dump());
    if (state.open) lease.Text(3, rollout::ToJson(*state.open).dump());
    lease.Step();
    if (opened == nullptr) return;
    Statement plan(
        *db_, "INSERT OR REPLACE INTO plan VALUES (?, (SELECT COALESCE(MAX(number), 0) + 1 FROM plan), ?)");
    plan.Text(1, opened->id).Text(2, rollout::ToJson(*opened).dump()).Step();
    Statement old(*db_, "DELETE FROM plan WHERE number <= (SELECT MAX(number) FROM plan) - ?");
    old.Number(1, kMaxPlans).Step();
  });
}

std::optional<StoreError> SqliteStore::SaveRecord(const std::string& instance,
                                                  const rollout::InstanceRecord& record, const Event& note) {
  return Save(note, [&] {
    Statement save(*db_, "INSERT OR REPLACE INTO record VALUES (?, ?)");
    save.Text(1, instance).Text(2, rollout::ToJson(record).dump()).Step();
  });
}

void SqliteStore::InsertEvent(const Event& event) {
  Statement save(*db_, "INSERT INTO event (at, change, line) VALUES (?, ?, ?)");
  save.Number(1, event.at_unix_ms).Text(2, event.change).Text(3, event.line).Step();
  Statement old(*db_, "DELETE FROM event WHERE number <= (SELECT MAX(number) FROM event) - ?");
  old.Number(1, kMaxEvents).Step();
}

void SqliteStore::Note(const Event& event) {
  const bool failed_before = save_error_.has_value();
  Save(event, [] {});
  if (!failed_before) save_error_.reset();  // losing a line of the history is no reason to refuse changes
}

std::vector<Event> SqliteStore::Events(std::size_t max_events) const {
  std::vector<Event> events;
  if (!db_) return events;
  try {
    Statement read(*db_, "SELECT at, change, line FROM event ORDER BY number DESC LIMIT ?");
    read.Number(1, static_cast<std::int64_t>(max_events));
    while (read.Step()) events.push_back({read.Number(0), read.Text(1), read.Text(2)});
  } catch (const std::exception&) {
    return {};
  }
  std::reverse(events.begin(), events.end());
  return events;
}

}  // namespace mothrack::agent
