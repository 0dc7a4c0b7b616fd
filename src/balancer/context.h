// What every decision about one event shares: the settings, the event's time, the source of chance, the
// counters, and the actions that come of it.
#pragma once

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "balancer/balancer.h"
#include "balancer/random.h"

namespace mothrack::balancer {

class Context {
 public:
  Context(Settings settings, std::uint64_t seed) : settings(std::move(settings)), random(seed) {}

  void BeginEvent(TimePoint time, std::vector<Action>& actions) {
    now = time;
    actions_ = &actions;
  }
  void EndEvent() { actions_ = nullptr; }

  // Only while an event is handled.
  template <typename T>
  void Emit(T action) {
    actions_->emplace_back(std::move(action));
  }
  // One line for the people on call.
  void EmitLog(std::string text) { Emit(Log{std::move(text)}); }

  const Settings settings;
  Random random;
  TimePoint now;  // of the event, or of the last one
  Counts counts;

 private:
  std::vector<Action>* actions_ = nullptr;
};

}  // namespace mothrack::balancer
