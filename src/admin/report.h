// The reports of the admin APIs, as JSON. Times are Unix milliseconds. Used on the thread of the event loop.
#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>

#include "dispatch/dispatcher.h"

namespace mothrack::admin {

// The process itself: its id, memory and open descriptors as the kernel reports them.
nlohmann::json ProcessReport(std::size_t max_descriptors);

// One pool: the number of open requests; counters by class, tenant and outcome (rows without requests are
// omitted); and the upstreams whose id is greater than `after`, at most kMaxUpstreams of them. "more" says
// whether others follow.
inline constexpr std::size_t kMaxUpstreams = 100;
nlohmann::json PoolReport(const std::string& name, const dispatch::Dispatcher& dispatcher,
                          const std::string& after);

// The statistics of the operator API: per class, the final answers of requests and the number of written
// attempts since the start of the process; the requests open now; and the number of listed upstreams and of
// those that are avoided, whether ejected or banned by an operator.
nlohmann::json OperatorStats(const dispatch::Dispatcher& dispatcher);

// The memory of this process that is resident, as the kernel reports it.
std::int64_t ResidentBytes();

// The current time of the system clock.
std::int64_t UnixMilliseconds();

}  // namespace mothrack::admin
