// The reports of the admin APIs, as JSON. Times are Unix milliseconds.
#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>

#include "dispatch/dispatcher.h"

namespace mothrack::admin {

// The process itself: its id, memory and open descriptors, as the system counts them.
nlohmann::json ProcessReport(std::size_t max_descriptors);

// One pool: requests open, counters by class, tenant and outcome (rows that count nothing are left out), and
// those upstreams whose id is greater than `after`, at most kMaxUpstreams of them; "more" says that others
// follow.
inline constexpr std::size_t kMaxUpstreams = 100;
nlohmann::json PoolReport(const std::string& name, const dispatch::Dispatcher& dispatcher,
                          const std::string& after);

// The platform's figures: by class what became of requests and the attempts that were written, since the
// process began; what is open now; upstreams in the list, and those of them that are avoided, by hand or by
// choice.
nlohmann::json Figures(const dispatch::Dispatcher& dispatcher);

// Now, as the system's clock has it.
std::int64_t UnixMilliseconds();

}  // namespace mothrack::admin
