// Helpers for tests that run the agent and mothrackctl as programs: settings of long runs, crashes of agents,
// and resuming a change that another operator left open.
#pragma once

#include <chrono>
#include <cstdlib>
#include <random>
#include <string>
#include <thread>

#include "standins/fleet.h"
#include "standins/peers.h"

namespace mothrack::testing {

// Reads a number from the environment. FLEET_RUNS sets the number of runs, FLEET_SEED the first seed.
inline int EnvironmentNumber(const char* name, int fallback) {
  const char* text = std::getenv(name);
  return text == nullptr ? fallback : std::atoi(text);
}

// Kills agents and starts them again, `crashes` times, one at a time; agents and pauses are drawn from
// `random`.
inline void CrashAgents(Fleet& fleet, std::mt19937& random, int agents, int crashes) {
  for (int i = 0; i < crashes; ++i) {
    std::this_thread::sleep_for(std::chrono::milliseconds(random() % 2500));
    const int agent = static_cast<int>(random() % static_cast<unsigned>(agents));
    fleet.KillAgent(agent);
    std::this_thread::sleep_for(std::chrono::milliseconds(random() % 1000));
    fleet.StartAgent(agent);
  }
}

// Resumes the open change until it is completed. Returns true also if no change is open, since it was closed
// or never opened.
inline bool ResumeUntilNoneIsOpen(const Fleet& fleet) {
  return Eventually([&] {
    const auto resumed = fleet.Ctl({"resume"});
    return resumed.code == 0 || resumed.out.find("no change is open") != std::string::npos;
  });
}

}  // namespace mothrack::testing
