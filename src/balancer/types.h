// Time and id types shared by the sidecar and the decision module.
#pragma once

#include <chrono>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <string>

namespace mothrack::balancer {

using Duration = std::chrono::microseconds;

// The sidecar's monotonic clock, in microseconds. It has no now(): the balancer knows only the time that is
// passed to handle().
struct Clock {
  using duration = Duration;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<Clock>;
  // NOLINTNEXTLINE(readability-identifier-naming): the standard library requires this name
  static constexpr bool is_steady = true;
};
using TimePoint = Clock::time_point;

// Ids are opaque. A request id is never reused; an upstream keeps its id when its process restarts.
enum class RequestId : std::uint64_t {};
enum class ClassId : std::size_t {};    // index into Settings::classes
enum class TenantId : std::size_t {};   // index into Settings::tenants
enum class AttemptId : std::size_t {};  // index of the attempt within its request, in SendAttempt order
struct UpstreamId {
  std::string value;
  // NOLINTNEXTLINE(modernize-use-nullptr): the linter reports the literal 0 of the generated comparison
  auto operator<=>(const UpstreamId&) const = default;
};

}  // namespace mothrack::balancer
