// The responses to recent UPDATEs. A client that lost a response retransmits its UPDATE, which must not run a
// second time (RFC 2136 has no key that identifies a repeat). Used on the thread of the event loop only.
#pragma once

#include <cstddef>
#include <deque>
#include <string>
#include <unordered_map>
#include <utility>

#include "dns/message.h"
#include "runtime/clock.h"

namespace mothrack::dns {

// Owned by Frontend, which bounds the number of entries.
class UpdateCache {
 public:
  // An entry is kept for `retention`, and until the next Expire() after that.
  explicit UpdateCache(runtime::Duration retention) : retention_(retention) {}

  // Returns null if there is no entry. The result is valid until the next Insert() or Expire().
  const Buffer* Find(const std::string& key) const {
    const auto it = responses_.find(key);
    return it == responses_.end() ? nullptr : &it->second;
  }

  void Insert(const std::string& key, const Buffer& response) {
    responses_.emplace(key, response);
    by_age_.emplace_back(runtime::Now(), key);
  }

  // Removes entries older than the retention time.
  void Expire() {
    const runtime::TimePoint now = runtime::Now();
    while (!by_age_.empty() && now - by_age_.front().first > retention_) {
      responses_.erase(by_age_.front().second);
      by_age_.pop_front();
    }
  }

  std::size_t size() const { return responses_.size(); }

 private:
  const runtime::Duration retention_;
  std::unordered_map<std::string, Buffer> responses_;
  std::deque<std::pair<runtime::TimePoint, std::string>> by_age_;  // oldest first
};

}  // namespace mothrack::dns
