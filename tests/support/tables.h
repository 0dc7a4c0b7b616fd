// Conformance tables: the first table under a heading of a design page, as rows of cells by column. Tests
// run them row by row, so that page and code agree.
#pragma once

#include <fstream>
#include <map>
#include <stdexcept>
#include <string>
#include <vector>

namespace mothrack::testing {

using Row = std::map<std::string, std::string>;

inline std::vector<std::string> Cells(const std::string& line) {
  std::vector<std::string> cells;
  for (std::size_t at = line.find('|'); at != std::string::npos;) {
    const auto end = line.find('|', at + 1);
    if (end == std::string::npos) break;
    std::string cell = line.substr(at + 1, end - at - 1);
    const auto first = cell.find_first_not_of(" `");
    cells.push_back(first == std::string::npos ? ""
                                               : cell.substr(first, cell.find_last_not_of(" `") - first + 1));
    at = end;
  }
  return cells;
}

// Throws if there is no such heading or table, or if a row's number of cells is not that of the columns.
inline std::vector<Row> TableOf(const std::string& path, const std::string& heading) {
  std::ifstream page(path);
  if (!page) throw std::runtime_error("no page " + path);
  std::vector<std::string> columns;
  std::vector<Row> rows;
  bool there = false;
  for (std::string line; std::getline(page, line);) {
    const bool title = line.starts_with('#');
    if (!there) {
      there = title && line.substr(line.find_first_not_of("# ")) == heading;
      continue;
    }
    if (line.starts_with('|')) {
      const auto cells = Cells(line);
      if (columns.empty()) {
        columns = cells;
      } else if (line.find_first_not_of("|-: ") != std::string::npos) {
        if (cells.size() != columns.size()) throw std::runtime_error(path + ": " + heading + ": " + line);
        Row row;
        for (std::size_t i = 0; i < cells.size(); ++i) row[columns[i]] = cells[i];
        rows.push_back(row);
      }
    } else if (!columns.empty() || title) {
      break;
    }
  }
  if (rows.empty()) throw std::runtime_error(path + ": no table under " + heading);
  return rows;
}

}  // namespace mothrack::testing
