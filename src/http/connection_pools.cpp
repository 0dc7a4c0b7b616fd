#include "http/connection_pools.h"

#include <algorithm>
#include <chrono>
#include <utility>
#include <vector>

namespace mothrack::http {
namespace {

using balancer::UpstreamState;
using std::chrono::milliseconds;

// The upstream's idle timer starts when it has written its response, the pool's when the response was read,
// and the next request also needs time to arrive. So an idle connection is closed earlier than the upstream's
// limit: by a tenth of the limit and at least by kMinIdleMargin, but never before half of the limit.
constexpr int kIdleMarginDivisor = 10;
constexpr runtime::Duration kMinIdleMargin = milliseconds(500);
constexpr runtime::Duration kSweepInterval = milliseconds(250);

runtime::Duration MaxIdle(runtime::Duration limit) {
  return std::max(limit / 2, limit - std::max(limit / kIdleMarginDivisor, kMinIdleMargin));
}

}  // namespace

ConnectionPools::ConnectionPools(boost::asio::io_context& io, runtime::Duration upstream_idle_limit,
                                 runtime::Descriptors& descriptors, TransportCounters& counters)
    : io_(io),
      descriptors_(descriptors),
      counters_(counters),
      max_idle_(MaxIdle(upstream_idle_limit)),
      sweep_timer_(
          io, [] { return kSweepInterval; },
          [this] {
            CloseAged();
            return true;
          }) {
  sweep_timer_.Restart();
}

ConnectionPools::~ConnectionPools() {
  for (const auto& [uid, pool] : pools_) {
    for (const auto& connection : pool->idle) connection->Close();
  }
}

std::shared_ptr<UpstreamPool> ConnectionPools::Apply(const std::string& uid,
                                                     const dispatch::Location& location) {
  auto& pool = pools_[uid];
  if (!pool) pool = std::make_shared<UpstreamPool>();
  const dispatch::Location before = std::exchange(pool->location, location);
  const bool moved = before.endpoint != location.endpoint || before.boot_ms != location.boot_ms;
  if (location.state == UpstreamState::kServing && !moved) return nullptr;
  auto old = pool;
  if (moved) {
    // Connections that are in use lead to the previous process or address, so they are not pooled again.
    pool = std::make_shared<UpstreamPool>();
    pool->location = location;
    old->location.state = UpstreamState::kGone;
  }
  if (location.state == UpstreamState::kGone) pools_.erase(uid);
  for (const auto& connection : std::exchange(old->idle, {})) connection->Close();
  return old;
}

std::shared_ptr<UpstreamConnection> ConnectionPools::Acquire(const std::string& uid) {
  const auto it = pools_.find(uid);
  if (it == pools_.end() || it->second->location.state != UpstreamState::kServing) return nullptr;
  if (auto connection = TakeIdle(*it->second)) return connection;
  return Open(it->second);
}

std::shared_ptr<UpstreamConnection> ConnectionPools::TakeIdle(UpstreamPool& pool) {
  while (!pool.idle.empty()) {
    auto connection = std::move(pool.idle.back());
    pool.idle.pop_back();
    if (connection->LooksAlive() && runtime::Now() - connection->idle_since() < max_idle_) {
      return connection;
    }
    connection->Close();
  }
  return nullptr;
}

// Idle connections are evicted to free descriptors. If that is not enough, the attempt is not sent. This is
// not a failure of the upstream, and it proves that nothing has run.
std::shared_ptr<UpstreamConnection> ConnectionPools::Open(const std::shared_ptr<UpstreamPool>& pool) {
  while (!descriptors_.HasCapacity(runtime::Descriptors::Side::kUpstream)) {
    if (!EvictIdle()) return nullptr;
  }
  do {
    auto connection = std::make_shared<UpstreamConnection>(io_, descriptors_, counters_, pool);
    if (!connection->OpenSocket()) return connection;
    connection->Close();
  } while (EvictIdle());
  return nullptr;
}

void ConnectionPools::Release(const std::shared_ptr<UpstreamConnection>& connection) {
  const auto pool = connection->pool();
  if (!pool || pool->location.state != UpstreamState::kServing) return connection->Close();
  pool->idle.push_back(connection);
}

void ConnectionPools::CloseIdle(const std::string& uid) {
  const auto it = pools_.find(uid);
  if (it == pools_.end()) return;
  for (const auto& connection : std::exchange(it->second->idle, {})) connection->Close();
}

bool ConnectionPools::EvictIdle() {
  UpstreamPool* pool_of_longest_idle = nullptr;
  for (const auto& [uid, pool] : pools_) {
    if (pool->idle.empty()) continue;
    if (pool_of_longest_idle == nullptr ||
        pool->idle.front()->idle_since() < pool_of_longest_idle->idle.front()->idle_since()) {
      pool_of_longest_idle = pool.get();
    }
  }
  if (pool_of_longest_idle == nullptr) return false;
  ++counters_.evicted;
  pool_of_longest_idle->idle.front()->Close();
  pool_of_longest_idle->idle.erase(pool_of_longest_idle->idle.begin());
  return true;
}

// Closes connections that have been idle for nearly as long as the upstream allows. A request written while
// the upstream closes the connection ends with an RST, and a non-idempotent request could then not be
// retried.
void ConnectionPools::CloseAged() {
  const runtime::TimePoint now = runtime::Now();
  for (const auto& [uid, pool] : pools_) {
    std::erase_if(pool->idle, [&](const auto& connection) {
      if (now - connection->idle_since() < max_idle_) return false;
      connection->Close();
      return true;
    });
  }
}

}  // namespace mothrack::http
