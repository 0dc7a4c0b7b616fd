// Interface to an agent's durable state: the lease, the plans of opened changes, and the step of each
// instance. Any call may fail. src/agent/sqlite_store.h stores the state on disk; tests inject failures.
// Called from the event loop only; a save blocks it until it is durable.
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

// The durable state that an agent starts from.
struct StoredState {
  rollout::LeaseState lease;
  std::map<std::string, rollout::InstanceRecord> records;
  std::map<std::string, rollout::Plan> plans;  // by change id: the open change and some former ones
};

// One line of the history, which is only shown to people.
struct Event {
  std::int64_t at_unix_ms = 0;
  std::string change;  // empty if it belongs to none
  std::string line;
};

// Why the store can't save.
struct StoreError {
  enum class Cause {
    kUnreadable,    // the file can't be opened or read; permanent
    kLaterVersion,  // the file was written by a later version of the program; permanent
    kDamaged,       // the content of the file contradicts itself or can't be parsed; permanent
    kSaveFailed     // the last save failed: no space, locked, I/O error, ... The next one may succeed
  };
  Cause cause = Cause::kUnreadable;
  std::string message;  // for the operator: the file, the cause and, if it is permanent, how to repair it
  bool operator==(const StoreError&) const = default;
};

class Store {
 public:
  virtual ~Store() = default;
  // Each save is atomic: without an error all of it is durable, with an error nothing has changed. `note` is
  // added to the history in the same transaction, unless its line is empty. `opened`: the plan of a change
  // that is opened by this save, or null.
  [[nodiscard]] virtual std::optional<StoreError> SaveLease(const rollout::LeaseState& state,
                                                            const rollout::Plan* opened,
                                                            const Event& note) = 0;
  [[nodiscard]] virtual std::optional<StoreError> SaveRecord(const std::string& instance,
                                                             const rollout::InstanceRecord& record,
                                                             const Event& note) = 0;
  // Adds only a line to the history. It may be lost, since nothing depends on it.
  virtual void Note(const Event& event) = 0;
  // Returns the latest lines of the history, `max_events` at most, oldest first.
  virtual std::vector<Event> Events(std::size_t max_events) const = 0;
  // Why the store can't save; nullopt if the last save succeeded.
  virtual std::optional<StoreError> error() const = 0;
  // The message of error(); empty if there is no error.
  std::string fault() const {
    const auto current = error();
    return current ? current->message : std::string();
  }
};

}  // namespace mothrack::agent
