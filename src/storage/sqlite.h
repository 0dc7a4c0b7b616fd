// RAII wrappers of SQLite's C interface (https://www.sqlite.org/cintro.html) for the agent's store and the
// simulator's results. The sidecar does not link it.
//
// Every failure throws DatabaseError with the message of SQLite. Objects are not thread-safe. Statements and
// transactions must not outlive their database.
#pragma once

#include <sqlite3.h>

#include <cstdint>
#include <stdexcept>
#include <string>

namespace mothrack::storage {

// Thrown if an operation on a database fails.
class DatabaseError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// A connection to one database file, closed on destruction.
class Database {
 public:
  // Opens the file for reading and writing, and creates it if it does not exist.
  explicit Database(const std::string& path) {
    if (sqlite3_open_v2(path.c_str(), &db_, SQLITE_OPEN_READWRITE | SQLITE_OPEN_CREATE, nullptr) == SQLITE_OK)
      return;
    const std::string reason = db_ == nullptr ? "out of memory" : sqlite3_errmsg(db_);
    sqlite3_close(db_);
    throw DatabaseError(reason);
  }
  ~Database() { sqlite3_close(db_); }
  Database(const Database&) = delete;
  Database& operator=(const Database&) = delete;

  sqlite3* get() const { return db_; }
  // Sets how long an operation waits for a lock of another process before it fails, in milliseconds.
  void SetBusyTimeout(int ms) { sqlite3_busy_timeout(db_, ms); }
  // Executes one or more statements without parameters or results.
  void Run(const char* sql) {
    if (sqlite3_exec(db_, sql, nullptr, nullptr, nullptr) != SQLITE_OK)
      throw DatabaseError(sqlite3_errmsg(db_));
  }

 private:
  sqlite3* db_ = nullptr;
};

// A prepared statement. Bind its parameters first, then call Step() for each row.
class Statement {
 public:
  Statement(const Database& db, const char* sql) : db_(db.get()) {
    if (sqlite3_prepare_v2(db_, sql, -1, &statement_, nullptr) != SQLITE_OK)
      throw DatabaseError(sqlite3_errmsg(db_));
  }
  ~Statement() { sqlite3_finalize(statement_); }
  Statement(const Statement&) = delete;
  Statement& operator=(const Statement&) = delete;

  // Bind a parameter; the first one has the number 1. The text is copied.
  Statement& Text(int parameter, const std::string& text) {
    sqlite3_bind_text(statement_, parameter, text.data(), static_cast<int>(text.size()), SQLITE_TRANSIENT);
    return *this;
  }
  Statement& Number(int parameter, std::int64_t number) {
    sqlite3_bind_int64(statement_, parameter, number);
    return *this;
  }
  // Executes the statement up to its next row. Returns false if there is none.
  bool Step() {
    const int result = sqlite3_step(statement_);
    if (result != SQLITE_ROW && result != SQLITE_DONE) throw DatabaseError(sqlite3_errmsg(db_));
    return result == SQLITE_ROW;
  }
  // Read a column of the current row; the first one has the number 0. NULL is read as an empty text or 0.
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

// A write transaction, rolled back on destruction unless it was committed.
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
