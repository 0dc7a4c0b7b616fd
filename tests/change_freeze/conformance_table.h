// The tables of docs/design/change_freeze.md against the code: every row is played, and everything that can
// be played has its row.
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

// `keys`: the columns that name a row. A row that was not played fails the test as this ends.
class ConformanceTable {
 public:
  ConformanceTable(const std::string& heading, std::vector<std::string> keys) : keys_(std::move(keys)) {
    for (const Row& row : TableOf(MOTHRACK_FREEZE_PAGE, heading)) {
      EXPECT_TRUE(rows_.emplace(KeyOf(row), row).second) << "twice: " << KeyOf(row);
    }
  }
  ~ConformanceTable() {
    for (const auto& [key, row] : rows_) ADD_FAILURE() << "the code knows no such row: " << key;
  }
  void Play(const Row& played) {
    const auto row = rows_.find(KeyOf(played));
    if (row == rows_.end()) {
      std::string cells;
      for (const auto& [column, cell] : played) cells += column + "=" + cell + "; ";
      ADD_FAILURE() << "the page has no row for " << cells;
      return;
    }
    for (const auto& [column, cell] : row->second)
      EXPECT_EQ(cell, played.at(column)) << KeyOf(played) << ": " << column;
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
