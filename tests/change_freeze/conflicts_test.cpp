// The effects of incidents on changes: the table "What conflicts" of docs/design/change_freeze.md row by row.
#include "change_freeze/conflicts.h"

#include <gtest/gtest.h>

#include "change_freeze/conformance_table.h"

namespace mothrack::change_freeze {
namespace {

TEST(FreezeTables, WhatConflicts) {
  ConformanceTable table("What conflicts", {"change", "where"});
  for (int change = 0; change < 8; ++change) {
    for (int relation = 0; relation < 4; ++relation) {
      Row row{{"change", kChangeKinds[change]}, {"where", kRelations[relation]}};
      for (int incident = 0; incident < 4; ++incident) {
        row[kIncidentKinds[incident]] = kEffects[static_cast<int>(
            EffectOf(static_cast<ChangeKind>(change), static_cast<Relation>(relation),
                     static_cast<IncidentKind>(incident)))];
      }
      table.Check(row);
    }
  }
}

}  // namespace
}  // namespace mothrack::change_freeze
