// The context that all decisions about one event share: settings, the event's time, random numbers, counters
// and the list of resulting actions.
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

  // Appends an action. May be called only between BeginEvent() and EndEvent().
  template <typename T>
  void Emit(T action) {
    actions_->emplace_back(std::move(action));
  }
  // Appends a Log action with one line of text.
  void EmitLog(std::string text) { Emit(Log{std::move(text)}); }

  const Settings settings;
  Random random;
  TimePoint now;  // time of the current event, or of the last one
  Counts counts;

 private:
  std::vector<Action>* actions_ = nullptr;
};

}  // namespace mothrack::balancer
