#include "dispatch/id_memory.h"

namespace mothrack::dispatch {

bool IdMemory::Take(const std::string& name, runtime::TimePoint now) {
  Forget(now);
  return taken_.insert(name).second;
}

void IdMemory::Know(const std::string& name, runtime::TimePoint now) {
  if (Take(name, now)) Ended(name, now);
}

void IdMemory::Ended(std::string name, runtime::TimePoint now) { ended_.emplace_back(now, std::move(name)); }

void IdMemory::Forget(runtime::TimePoint now) {
  while (!ended_.empty() && (ended_.size() > most_ || now - ended_.front().first > memory_)) {
    taken_.erase(ended_.front().second);
    ended_.pop_front();
  }
}

}  // namespace mothrack::dispatch
