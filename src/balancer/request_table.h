// Request table: the requests that have no final answer yet or whose attempts are still out, and their
// timers.
#pragma once

#include <cstdint>
#include <optional>
#include <unordered_map>

#include "balancer/balancer.h"
#include "balancer/request.h"

namespace mothrack::balancer {

// The token of the tick; those of requests' timers count from 1.
inline constexpr std::uint64_t kTickToken = 0;

class RequestTable {
 public:
  // Null where the id is known already. Pointers hold until the request is forgotten.
  Request* Add(RequestId id) {
    const auto [entry, is_new] = requests_.try_emplace(id);
    if (!is_new) return nullptr;
    entry->second.id = id;
    return &entry->second;
  }
  // Null where it is not known, or forgotten.
  Request* Find(RequestId id) {
    const auto found = requests_.find(id);
    return found == requests_.end() ? nullptr : &found->second;
  }
  // Where nothing more can come of it.
  void ForgetIfDone(RequestId id) {
    const auto found = requests_.find(id);
    if (found != requests_.end() && found->second.ended && !found->second.AnyOut()) requests_.erase(found);
  }

  // A token for a timer of the request.
  std::uint64_t AddTimer(RequestId id) {
    timers_.emplace(++last_token_, id);
    return last_token_;
  }
  // Whose timer it was; it may have been forgotten since. Absent where the token is not known.
  std::optional<RequestId> TakeTimer(std::uint64_t token) {
    const auto found = timers_.find(token);
    if (found == timers_.end()) return std::nullopt;
    const RequestId id = found->second;
    timers_.erase(found);
    return id;
  }

 private:
  std::unordered_map<RequestId, Request> requests_;      // looked up, never walked
  std::unordered_map<std::uint64_t, RequestId> timers_;  // looked up, never walked
  std::uint64_t last_token_ = kTickToken;
};

}  // namespace mothrack::balancer
