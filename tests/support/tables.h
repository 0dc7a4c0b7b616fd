// Reads conformance tables: the first table under a heading of a design page, as rows of cells by column.
// Tests run them row by row, so that page and code agree.
#pragma once

#include <fstream>
#include <map>
#include <stdexcept>
#include <string>
#include <vector>

namespace mothrack::testing {

using Row = std::map<std::string, std::string>;

// The cells of a row, without the spaces and backquotes around them.
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

// Returns the table under this heading. Throws std::runtime_error if there is no such page, heading or table,
// or if a row does not have one cell per column.
inline std::vector<Row> TableOf(const std::string& path, const std::string& heading) {
  std::ifstream page(path);
  if (!page) throw std::runtime_error("cannot read the page " + path);
  std::vector<std::string> columns;
  std::vector<Row> rows;
  bool in_section = false;
  for (std::string line; std::getline(page, line);) {
    const bool is_heading = line.starts_with('#');
    if (!in_section) {
      in_section = is_heading && line.substr(line.find_first_not_of("# ")) == heading;
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
    } else if (!columns.empty() || is_heading) {
      break;
    }
  }
  if (rows.empty()) throw std::runtime_error(path + ": no table under " + heading);
  return rows;
}

}  // namespace mothrack::testing
