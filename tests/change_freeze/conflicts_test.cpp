// What may go on while something is wrong: the page's table row by row.
#include "change_freeze/conflicts.h"

#include <gtest/gtest.h>

#include "change_freeze/conformance_table.h"

namespace mothrack::change_freeze {
namespace {

TEST(FreezeTables, WhatConflicts) {
  ConformanceTable table("What conflicts", {"change", "where"});
  for (int change = 0; change < 8; ++change) {
    for (int where = 0; where < 4; ++where) {
      Row row{{"change", kChangeKinds[change]}, {"where", kRelations[where]}};
      for (int incident = 0; incident < 4; ++incident) {
        row[kIncidentKinds[incident]] =
            kEffects[static_cast<int>(EffectOf(static_cast<ChangeKind>(change), static_cast<Relation>(where),
                                               static_cast<IncidentKind>(incident)))];
      }
      table.Play(row);
    }
  }
}

}  // namespace
}  // namespace mothrack::change_freeze
