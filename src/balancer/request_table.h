// Request table: the requests without a final answer or with attempts that have not ended, and their timers.
#pragma once

#include <cstdint>
#include <optional>
#include <unordered_map>

#include "balancer/balancer.h"
#include "balancer/request.h"

namespace mothrack::balancer {

// The timer token of the tick. Tokens of requests' timers count from 1.
inline constexpr std::uint64_t kTickToken = 0;

class RequestTable {
 public:
  // Null if the id is already known. Pointers stay valid until RemoveIfEnded() removes the request.
  Request* Add(RequestId id) {
    const auto [entry, is_new] = requests_.try_emplace(id);
    if (!is_new) return nullptr;
    entry->second.id = id;
    return &entry->second;
  }
  // Null if unknown or already removed.
  Request* Find(RequestId id) {
    const auto found = requests_.find(id);
    return found == requests_.end() ? nullptr : &found->second;
  }
  // Removes the request if it has its final answer and all of its attempts have ended.
  void RemoveIfEnded(RequestId id) {
    const auto found = requests_.find(id);
    if (found != requests_.end() && found->second.ended && !found->second.HasPendingAttempt())
      requests_.erase(found);
  }

  // Returns a new timer token that maps to the request.
  std::uint64_t AddTimer(RequestId id) {
    timers_.emplace(++last_token_, id);
    return last_token_;
  }
  // Removes a fired timer and returns its request, which may no longer be in the table; absent if the token
  // is unknown.
  std::optional<RequestId> TakeTimer(std::uint64_t token) {
    const auto found = timers_.find(token);
    if (found == timers_.end()) return std::nullopt;
    const RequestId id = found->second;
    timers_.erase(found);
    return id;
  }

 private:
  // Never iterated: their order differs between libraries, and decisions must be deterministic.
  std::unordered_map<RequestId, Request> requests_;
  std::unordered_map<std::uint64_t, RequestId> timers_;  // by token
  std::uint64_t last_token_ = kTickToken;
};

}  // namespace mothrack::balancer
