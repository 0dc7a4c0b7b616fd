// The contents of an SQLite file as text, to compare two files: their schema and rows must be equal, while
// other bytes, which the library manages, may differ.
#pragma once

#include <string>

#include "storage/sqlite.h"

namespace mothrack::testing {

// Returns the version, each object of the schema in the order of the names, and the rows of each table in the
// order of the first column. The text separates columns and distinguishes NULL from an empty string.
inline std::string DumpSqlite(const std::string& path) {
  const storage::Database db(path);
  storage::Statement version(db, "PRAGMA user_version");
  version.Step();
  std::string dump = "user_version " + std::to_string(version.Number(0)) + '\n';
  storage::Statement objects(db, "SELECT type, name, sql FROM sqlite_master ORDER BY name");
  while (objects.Step()) {
    dump += objects.Text(0) + ' ' + objects.Text(1) + ": " + objects.Text(2) + '\n';
    if (objects.Text(0) != "table") continue;
    const std::string name = objects.Text(1);
    storage::Statement columns(db, ("SELECT group_concat('quote(' || name || ')', '||'' | ''||') FROM "
                                    "pragma_table_info('" +
                                    name + "')")
                                       .c_str());
    columns.Step();
    const std::string row = columns.Text(0);
    storage::Statement rows(db, ("SELECT " + row + " FROM " + name + " ORDER BY 1").c_str());
    while (rows.Step()) dump += "  " + rows.Text(0) + '\n';
  }
  return dump;
}

}  // namespace mothrack::testing
