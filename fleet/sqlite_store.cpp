#include "fleet/sqlite_store.h"

#include <sqlite3.h>
#include <sys/stat.h>

#include <algorithm>
#include <stdexcept>

#include "fleet/wire.h"

namespace mothrack::fleet {
namespace {

using nlohmann::json;

// Another process that looks at the file (a backup, a person) may hold it so long.
constexpr int kBusyMs = 500;

constexpr const char* kSchema =
    "CREATE TABLE lease (one INTEGER PRIMARY KEY CHECK (one = 1), highest INTEGER NOT NULL, holder TEXT, open TEXT);"
    "CREATE TABLE record (instance TEXT PRIMARY KEY, json TEXT NOT NULL);"
    "CREATE TABLE plan (id TEXT PRIMARY KEY, number INTEGER NOT NULL, json TEXT NOT NULL);"
    "CREATE TABLE event (number INTEGER PRIMARY KEY AUTOINCREMENT, at INTEGER NOT NULL, change TEXT, line TEXT);";

}  // namespace

class SqliteStore::Statement {
 public:
  Statement(sqlite3* db, const char* sql) : db_(db) {
    if (sqlite3_prepare_v2(db, sql, -1, &statement_, nullptr) != SQLITE_OK) throw std::runtime_error(sqlite3_errmsg(db));
  }
  ~Statement() { sqlite3_finalize(statement_); }
  Statement(const Statement&) = delete;
  Statement& operator=(const Statement&) = delete;

  Statement& Text(int at, const std::string& text) {
    sqlite3_bind_text(statement_, at, text.data(), static_cast<int>(text.size()), SQLITE_TRANSIENT);
    return *this;
  }
  Statement& Number(int at, std::int64_t number) {
    sqlite3_bind_int64(statement_, at, number);
    return *this;
  }
  // Is there a row?
  bool Step() {
    const int result = sqlite3_step(statement_);
    if (result != SQLITE_ROW && result != SQLITE_DONE) throw std::runtime_error(sqlite3_errmsg(db_));
    return result == SQLITE_ROW;
  }
  std::string Text(int column) const {
    const auto* text = reinterpret_cast<const char*>(sqlite3_column_text(statement_, column));
    return text == nullptr ? std::string() : std::string(text, static_cast<std::size_t>(sqlite3_column_bytes(statement_, column)));
  }
  bool Null(int column) const { return sqlite3_column_type(statement_, column) == SQLITE_NULL; }
  std::int64_t Number(int column) const { return sqlite3_column_int64(statement_, column); }

 private:
  sqlite3* db_;
  sqlite3_stmt* statement_ = nullptr;
};

// Undone where it is not committed.
class SqliteStore::Transaction {
 public:
  explicit Transaction(SqliteStore& store) : store_(store) { store_.Run("BEGIN IMMEDIATE"); }
  ~Transaction() {
    if (!committed_) sqlite3_exec(store_.db_, "ROLLBACK", nullptr, nullptr, nullptr);
  }
  Transaction(const Transaction&) = delete;
  Transaction& operator=(const Transaction&) = delete;
  void Commit() {
    store_.Run("COMMIT");
    committed_ = true;
  }

 private:
  SqliteStore& store_;
  bool committed_ = false;
};

SqliteStore::SqliteStore(const std::string& path) : path_(path) {
  try {
    Open(path);
    Read();
  } catch (const std::exception& e) {
    fault_ = path + ": " + e.what() + "; put a copy that is whole in its place, or move it away to begin anew";
  }
}

SqliteStore::~SqliteStore() { sqlite3_close(db_); }

void SqliteStore::Run(const char* sql) {
  if (sqlite3_exec(db_, sql, nullptr, nullptr, nullptr) != SQLITE_OK) throw std::runtime_error(sqlite3_errmsg(db_));
}

void SqliteStore::Open(const std::string& path) {
  if (sqlite3_open_v2(path.c_str(), &db_, SQLITE_OPEN_READWRITE | SQLITE_OPEN_CREATE, nullptr) != SQLITE_OK) {
    throw std::runtime_error(db_ == nullptr ? "no memory" : sqlite3_errmsg(db_));
  }
  ::chmod(path.c_str(), 0600);
  sqlite3_busy_timeout(db_, kBusyMs);
  // Written ahead and synced before a commit returns; the rollback journal rather than WAL, as saves are few and one
  // file is easier to copy than three.
  Run("PRAGMA journal_mode = DELETE");
  Run("PRAGMA synchronous = FULL");
  Statement version(db_, "PRAGMA user_version");
  version.Step();
  const auto found = version.Number(0);
  if (found > kVersion) {
    throw std::runtime_error("was written by a later version (" + std::to_string(found) + ", this one knows " +
                             std::to_string(kVersion) + ")");
  }
  Statement check(db_, "PRAGMA quick_check(1)");
  if (!check.Step() || check.Text(0) != "ok") throw std::runtime_error("is damaged: " + check.Text(0));
  if (found == 0) {
    Transaction whole(*this);
    Run(kSchema);
    Run(("PRAGMA user_version = " + std::to_string(kVersion)).c_str());
    whole.Commit();
  }
}

void SqliteStore::Read() {
  Stored read;
  Statement lease(db_, "SELECT highest, holder, open FROM lease");
  if (lease.Step()) {
    read.lease.highest = static_cast<Epoch>(lease.Number(0));
    if (!lease.Null(1)) read.lease.holder = HolderFrom(json::parse(lease.Text(1)));
    if (!lease.Null(2)) read.lease.open = HolderFrom(json::parse(lease.Text(2)));
  }
  Statement records(db_, "SELECT instance, json FROM record");
  while (records.Step()) read.records[records.Text(0)] = RecordFrom(json::parse(records.Text(1)));
  Statement plans(db_, "SELECT id, json FROM plan");
  while (plans.Step()) read.plans[plans.Text(0)] = PlanFrom(json::parse(plans.Text(1)));
  if (read.lease.open && !read.plans.contains(read.lease.open->change)) {
    throw std::runtime_error("has no plan of the open change " + read.lease.open->change);
  }
  stored_ = std::move(read);
}

bool SqliteStore::Save(const Event& note, const std::function<void()>& write) {
  if (!fault_.empty()) return false;
  try {
    Transaction whole(*this);
    write();
    if (!note.line.empty()) Keep(note);
    whole.Commit();
    refused_.clear();
    return true;
  } catch (const std::exception& e) {
    refused_ = path_ + ": " + e.what();
    return false;
  }
}

bool SqliteStore::SaveLease(const LeaseState& state, const Plan* opened, const Event& note) {
  return Save(note, [&] {
    Statement lease(db_, "INSERT OR REPLACE INTO lease VALUES (1, ?, ?, ?)");
    lease.Number(1, static_cast<std::int64_t>(state.highest));
    if (state.holder) lease.Text(2, ToJson(*state.holder).dump());
    if (state.open) lease.Text(3, ToJson(*state.open).dump());
    lease.Step();
    if (opened == nullptr) return;
    Statement plan(db_, "INSERT OR REPLACE INTO plan VALUES (?, (SELECT COALESCE(MAX(number), 0) + 1 FROM plan), ?)");
    plan.Text(1, opened->id).Text(2, ToJson(*opened).dump()).Step();
    Statement old(db_, "DELETE FROM plan WHERE number <= (SELECT MAX(number) FROM plan) - ?");
    old.Number(1, kMostPlans).Step();
  });
}

bool SqliteStore::SaveRecord(const std::string& instance, const InstanceRecord& record, const Event& note) {
  return Save(note, [&] {
    Statement save(db_, "INSERT OR REPLACE INTO record VALUES (?, ?)");
    save.Text(1, instance).Text(2, ToJson(record).dump()).Step();
  });
}

void SqliteStore::Keep(const Event& event) {
  Statement save(db_, "INSERT INTO event (at, change, line) VALUES (?, ?, ?)");
  save.Number(1, event.at_unix_ms).Text(2, event.change).Text(3, event.line).Step();
  Statement old(db_, "DELETE FROM event WHERE number <= (SELECT MAX(number) FROM event) - ?");
  old.Number(1, kMostEvents).Step();
}

void SqliteStore::Note(const Event& event) {
  const std::string before = refused_;
  Save(event, [] {});
  if (!refused_.empty() && before.empty()) refused_.clear();  // a line that is lost stops no change
}

std::vector<Event> SqliteStore::Events(std::size_t most) const {
  std::vector<Event> events;
  if (db_ == nullptr) return events;
  try {
    Statement read(db_, "SELECT at, change, line FROM event ORDER BY number DESC LIMIT ?");
    read.Number(1, static_cast<std::int64_t>(most));
    while (read.Step()) events.push_back({read.Number(0), read.Text(1), read.Text(2)});
  } catch (const std::exception&) {
    return {};
  }
  std::reverse(events.begin(), events.end());
  return events;
}

}  // namespace mothrack::fleet
