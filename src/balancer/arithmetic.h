// Arithmetic shared by the components of the decision module.
#pragma once

#include <algorithm>
#include <cstdint>
#include <string>

#include "balancer/balancer.h"

namespace mothrack::balancer {

inline double Seconds(Duration duration) { return static_cast<double>(duration.count()) / 1e6; }
// The duration times `factor`, rounded towards zero to a microsecond.
inline Duration Scaled(Duration duration, double factor) {
  return Duration(static_cast<Duration::rep>(static_cast<double>(duration.count()) * factor));
}

// A hash that spreads ids evenly and differently for each `seed`. It is the same on every platform (FNV-1a
// with splitmix64's finalizer).
inline std::uint64_t Hash(const std::string& id, std::uint64_t seed) {
  std::uint64_t hash = 0xcbf29ce484222325 ^ (seed * 0x9e3779b97f4a7c15);
  for (const char c : id) hash = (hash ^ static_cast<unsigned char>(c)) * 0x100000001b3;
  hash = (hash ^ (hash >> 30)) * 0xbf58476d1ce4e5b9;
  hash = (hash ^ (hash >> 27)) * 0x94d049bb133111eb;
  return hash ^ (hash >> 31);
}

// Moving average over all samples while there are fewer than `memory`, later over about the last `memory`.
struct Mean {
  double value = 0;
  double samples = 0;
  void Add(double sample, double memory) {
    samples = std::min(samples + 1, memory);
    value += (sample - value) / samples;
  }
};

// A mean in microseconds as a duration; `unknown` while the mean is below one microsecond.
inline Duration TimeOr(const Mean& mean, Duration unknown) {
  return mean.value >= 1 ? Duration(static_cast<Duration::rep>(mean.value)) : unknown;
}

// Whether the outcome proves that the upstream did not run the request.
inline bool ProvesNotRun(Outcome outcome) {
  return outcome == Outcome::kFull || outcome == Outcome::kConnectFailed || outcome == Outcome::kNotSent;
}

// Whether the outcome counts as a failure of the upstream.
inline bool IsFailure(Outcome outcome) {
  return outcome == Outcome::kError || outcome == Outcome::kTimeout || outcome == Outcome::kConnectFailed ||
         outcome == Outcome::kReset;
}

// Whether the upstream answered, with any result.
inline bool IsAnswer(Outcome outcome) {
  return outcome == Outcome::kServed || outcome == Outcome::kError || outcome == Outcome::kFull;
}

}  // namespace mothrack::balancer
