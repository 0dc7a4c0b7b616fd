// Compares a table of docs/design/change_freeze.md with the code: every row must be checked, and every
// checked case must have a row.
#pragma once

#include <gtest/gtest.h>

#include <map>
#include <string>
#include <utility>
#include <vector>

#include "change_freeze/clock_tolerance.h"
#include "support/tables.h"

namespace mothrack::change_freeze {

using mothrack::testing::Row;
using mothrack::testing::TableOf;

inline TimePoint At(int ms) { return TimePoint(Duration(ms)); }

// `keys`: the columns that identify a row. The destructor fails the test for each row that was not checked.
class ConformanceTable {
 public:
  ConformanceTable(const std::string& heading, std::vector<std::string> keys) : keys_(std::move(keys)) {
    for (const Row& row : TableOf(MOTHRACK_FREEZE_PAGE, heading)) {
      EXPECT_TRUE(rows_.emplace(KeyOf(row), row).second) << "duplicate row: " << KeyOf(row);
    }
  }
  ~ConformanceTable() {
    for (const auto& [key, row] : rows_) ADD_FAILURE() << "the test has no case for the row " << key;
  }
  // Compares the row that the code produces with the table's row of the same key.
  void Check(const Row& actual) {
    const auto row = rows_.find(KeyOf(actual));
    if (row == rows_.end()) {
      std::string cells;
      for (const auto& [column, cell] : actual) cells += column + "=" + cell + "; ";
      ADD_FAILURE() << "the page has no row for " << cells;
      return;
    }
    for (const auto& [column, cell] : row->second)
      EXPECT_EQ(cell, actual.at(column)) << KeyOf(actual) << ": " << column;
    rows_.erase(row);
  }

 private:
  std::string KeyOf(const Row& row) const {
    std::string key;
    for (const std::string& column : keys_) key += row.at(column) + ", ";
    return key;
  }
  std::vector<std::string> keys_;
  std::map<std::string, Row> rows_;
};

}  // namespace mothrack::change_freeze
