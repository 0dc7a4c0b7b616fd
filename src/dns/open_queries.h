// The client queries that have no response yet, and their number per client. Used on the thread of the event
// loop only.
#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <utility>

#include "balancer/balancer.h"
#include "dns/message.h"
#include "dns/query.h"

namespace mothrack::dns {

// Sends the response to the client. Called at most once.
using Respond = std::function<void(Buffer response)>;

// A forwarded query and how to respond to it.
struct OpenQuery {
  balancer::RequestId id{};
  ClientQuery client_query;
  std::shared_ptr<const Query> query;
  Respond respond;
  std::string client_address;  // empty over TCP
};

// The table of open queries. The caller enforces the bounds.
class OpenQueries {
 public:
  // The key of an open query. Its address is stable until Remove().
  using Handle = const std::string*;

  // The key must not be in the table.
  Handle Insert(const std::string& key, OpenQuery query) {
    if (!query.client_address.empty()) ++by_address_[query.client_address];
    if (query.query->opcode == kUpdate) ++updates_;
    return &queries_.emplace(key, std::move(query)).first->first;
  }

  // Returns null if there is no such query.
  OpenQuery* Find(const std::string& key) {
    const auto it = queries_.find(key);
    return it == queries_.end() ? nullptr : &it->second;
  }

  // Invalidates `handle`.
  void Remove(Handle handle) {
    const auto it = queries_.find(*handle);
    const OpenQuery& query = it->second;
    if (!query.client_address.empty()) {
      const auto count = by_address_.find(query.client_address);
      if (--count->second == 0) by_address_.erase(count);
    }
    if (query.query->opcode == kUpdate) --updates_;
    queries_.erase(it);
  }

  bool Contains(const std::string& key) const { return queries_.contains(key); }
  std::size_t size() const { return queries_.size(); }
  // The number of open UPDATEs.
  std::size_t updates() const { return updates_; }
  // The number of open queries over UDP from one address.
  std::size_t SizeOf(const std::string& client_address) const {
    const auto it = by_address_.find(client_address);
    return it == by_address_.end() ? 0 : it->second;
  }

 private:
  std::unordered_map<std::string, OpenQuery> queries_;  // keyed by client, id, opcode and question
  std::unordered_map<std::string, std::size_t> by_address_;
  std::size_t updates_ = 0;
};

}  // namespace mothrack::dns
