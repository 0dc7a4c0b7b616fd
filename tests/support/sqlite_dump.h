// The contents of an SQLite file as text, to compare two files: their bytes may differ in what the library
// writes for itself, but their schema and rows must not.
#pragma once

#include <string>

#include "storage/sqlite.h"

namespace mothrack::testing {

// The version, each object of the schema, and each row of each table, by the order of their keys. The text
// separates columns and distinguishes NULL from an empty text.
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
