// What an agent must not forget, behind an interface that may fail at each call: the lease, the plans of
// changes that were opened, how far each instance's step is. src/agent/sqlite_store.h keeps it on disk; tests
// let it fail at will.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "rollout/instance.h"
#include "rollout/lease.h"
#include "rollout/plan.h"

namespace mothrack::agent {

struct Stored {
  rollout::LeaseState lease;
  std::map<std::string, rollout::InstanceRecord> records;
  std::map<std::string, rollout::Plan> plans;  // by their ids; of the open change, and of some before it
};

// One line of what happened, for people.
struct Event {
  std::int64_t at_unix_ms = 0;
  std::string change;  // empty: of none
  std::string line;
};

class Store {
 public:
  virtual ~Store() = default;
  // Each is one whole step: durable when it returns true, nothing changed when it returns false. `note` is
  // kept with it; empty: none.
  virtual bool SaveLease(const rollout::LeaseState& state, const rollout::Plan* opened,
                         const Event& note) = 0;
  virtual bool SaveRecord(const std::string& instance, const rollout::InstanceRecord& record,
                          const Event& note) = 0;
  // For people only: may be lost.
  virtual void Note(const Event& event) = 0;
  // The latest, oldest first.
  virtual std::vector<Event> Events(std::size_t most) const = 0;
  // Why nothing is taken; empty: all is well.
  virtual std::string fault() const = 0;
};

}  // namespace mothrack::agent
