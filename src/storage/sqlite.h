// SQLite as the project's packages use it: what fails throws std::runtime_error with SQLite's own words, and
// everything is closed with its object. Who includes this links SQLite; the sidecar does not.
#pragma once

#include <sqlite3.h>

#include <cstdint>
#include <stdexcept>
#include <string>

namespace mothrack::storage {

class Database {
 public:
  // Made where it is not there.
  explicit Database(const std::string& path) {
    if (sqlite3_open_v2(path.c_str(), &db_, SQLITE_OPEN_READWRITE | SQLITE_OPEN_CREATE, nullptr) == SQLITE_OK)
      return;
    const std::string why = db_ == nullptr ? "no memory" : sqlite3_errmsg(db_);
    sqlite3_close(db_);
    throw std::runtime_error(why);
  }
  ~Database() { sqlite3_close(db_); }
  Database(const Database&) = delete;
  Database& operator=(const Database&) = delete;

  sqlite3* get() const { return db_; }
  // Another process that looks at the file may hold it so long, in milliseconds.
  void WaitFor(int ms) { sqlite3_busy_timeout(db_, ms); }
  void Run(const char* sql) {
    if (sqlite3_exec(db_, sql, nullptr, nullptr, nullptr) != SQLITE_OK)
      throw std::runtime_error(sqlite3_errmsg(db_));
  }

 private:
  sqlite3* db_ = nullptr;
};

class Statement {
 public:
  Statement(const Database& db, const char* sql) : db_(db.get()) {
    if (sqlite3_prepare_v2(db_, sql, -1, &statement_, nullptr) != SQLITE_OK)
      throw std::runtime_error(sqlite3_errmsg(db_));
  }
  ~Statement() { sqlite3_finalize(statement_); }
  Statement(const Statement&) = delete;
  Statement& operator=(const Statement&) = delete;

  // Parameters count from 1, columns from 0.
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
    if (text == nullptr) return {};
    return {text, static_cast<std::size_t>(sqlite3_column_bytes(statement_, column))};
  }
  bool Null(int column) const { return sqlite3_column_type(statement_, column) == SQLITE_NULL; }
  std::int64_t Number(int column) const { return sqlite3_column_int64(statement_, column); }

 private:
  sqlite3* db_;
  sqlite3_stmt* statement_ = nullptr;
};

// Undone where it is not committed.
class Transaction {
 public:
  explicit Transaction(Database& db) : db_(db) { db_.Run("BEGIN IMMEDIATE"); }
  ~Transaction() {
    if (!committed_) sqlite3_exec(db_.get(), "ROLLBACK", nullptr, nullptr, nullptr);
  }
  Transaction(const Transaction&) = delete;
  Transaction& operator=(const Transaction&) = delete;
  void Commit() {
    db_.Run("COMMIT");
    committed_ = true;
  }

 private:
  Database& db_;
  bool committed_ = false;
};

}  // namespace mothrack::storage
