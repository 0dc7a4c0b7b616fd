// What an agent must not forget, behind an interface that may fail at each call: the lease, the plans of
// changes that were opened, the step of each instance. src/agent/sqlite_store.h has it on disk; tests inject
// failures. Called from the event loop only; a save blocks it until it is durable.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "rollout/instance.h"
#include "rollout/lease.h"
#include "rollout/plan.h"

namespace mothrack::agent {

// All that is durable, as an agent starts from it.
struct Stored {
  rollout::LeaseState lease;
  std::map<std::string, rollout::InstanceRecord> records;
  std::map<std::string, rollout::Plan> plans;  // by change id: of the open change, and of some before it
};

// One line of the history, for people.
struct Event {
  std::int64_t at_unix_ms = 0;
  std::string change;  // empty: of none
  std::string line;
};

// Why nothing is saved.
struct StoreError {
  enum class Cause {
    kUnreadable,    // the file can't be opened or read; for good
    kLaterVersion,  // the file was written by a later version of the program; for good
    kDamaged,       // what the file holds contradicts itself or can't be parsed; for good
    kSaveFailed     // the last save: no space, locked, I/O error, ... The next one may succeed
  };
  Cause cause = Cause::kUnreadable;
  std::string message;  // for the operator: the file, the cause and, where it is for good, how to mend it
  bool operator==(const StoreError&) const = default;
};

class Store {
 public:
  virtual ~Store() = default;
  // Each save is atomic: no error means that all of it is durable, an error that nothing has changed. `note`
  // goes into the history with it; one without a line is left out. `opened`: the plan of a change that is
  // opened by this, or null.
  [[nodiscard]] virtual std::optional<StoreError> SaveLease(const rollout::LeaseState& state,
                                                            const rollout::Plan* opened,
                                                            const Event& note) = 0;
  [[nodiscard]] virtual std::optional<StoreError> SaveRecord(const std::string& instance,
                                                             const rollout::InstanceRecord& record,
                                                             const Event& note) = 0;
  // A line of the history alone. For people only, so it may be lost.
  virtual void Note(const Event& event) = 0;
  // The latest `most` lines of the history, oldest first.
  virtual std::vector<Event> Events(std::size_t most) const = 0;
  // Why nothing is saved; nothing: the last save succeeded.
  virtual std::optional<StoreError> error() const = 0;
  // The same for the operator; empty: all is well.
  std::string fault() const {
    const auto current = error();
    return current ? current->message : std::string();
  }
};

}  // namespace mothrack::agent
